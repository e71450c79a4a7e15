//! Steps that the ledger takes after each event: opening, dispatching, writing and closing chunks.

use wire::Millis;

use crate::chunk::Chunk;
use crate::chunk::ItemState;
use crate::chunk::PendingWrite;
use crate::chunk::RetryState;
use crate::ledger::Ledger;
use crate::ledger::Phase;
use crate::ledger_types::Action;

/// Minimum interval between writes of the head while chunks are being completed.
const HEAD_WRITE_INTERVAL_MS: Millis = 5_000;
/// Number of backend losses after which an item runs alone on its replica.
const LOSSES_TO_RUN_ALONE: u32 = 2;

impl Ledger {
    /// Performs all steps that the current state allows.
    pub(crate) fn advance(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        self.retry_head_write(now_ms, actions);
        if self.phase != Phase::Active {
            return;
        }
        if self.is_cancelled {
            self.cancel_waiting(now_ms);
        }
        if self.is_handing_back {
            self.open_chunks.values_mut().for_each(Chunk::withdraw_marks);
        }
        self.close_chunks(actions);
        self.open_next_chunks(actions);
        if self.is_cancelled {
            self.cancel_waiting(now_ms);
        }
        self.dispatch(now_ms, actions);
        self.write_chunks(now_ms, actions);
        self.finish_or_write_head(now_ms, actions);
    }

    fn retry_head_write(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let expected = self.head_version;
        if let Some(pending) = self.head_write.as_mut()
            && pending.retry_at_ms.is_some_and(|at_ms| now_ms >= at_ms)
        {
            pending.retry_at_ms = None;
            let (write_number, head) = (pending.number, pending.value.clone());
            actions.push(Action::WriteHead { write_number, head, expected });
        }
    }

    fn close_chunks(&mut self, actions: &mut Vec<Action>) {
        let recorded: Vec<u32> = self
            .open_chunks
            .iter()
            .filter(|(_, open)| open.is_recorded())
            .map(|(chunk, _)| *chunk)
            .collect();
        for chunk in recorded {
            let Some(open) = self.open_chunks.remove(&chunk) else {
                continue;
            };
            for outcome in &open.record.outcomes {
                self.head.counts.add(outcome.outcome.kind);
            }
            self.head.done_chunks.insert(chunk);
            self.is_head_dirty = true;
            actions.push(Action::CloseChunk { chunk });
        }
    }

    fn open_next_chunks(&mut self, actions: &mut Vec<Action>) {
        while !self.is_handing_back && (self.open_chunks.len() as u32) < self.limits.open_chunks {
            let Some(chunk) = self.take_next_chunk() else {
                return;
            };
            let items = self.params.items_of(chunk);
            if self.recorded_chunks.contains(&chunk) {
                self.open_chunks.insert(chunk, Chunk::loading(items));
                actions.push(Action::ReadChunk { chunk });
            } else {
                self.open_chunks.insert(chunk, Chunk::new(items));
            }
        }
    }

    /// Returns the next chunk to open; for a cancelled job only chunks that have a record.
    fn take_next_chunk(&mut self) -> Option<u32> {
        while self.next_chunk < self.params.chunk_count() {
            let chunk = self.next_chunk;
            self.next_chunk += 1;
            let is_skipped = self.is_cancelled && !self.recorded_chunks.contains(&chunk);
            if !is_skipped && !self.head.done_chunks.contains(chunk) {
                return Some(chunk);
            }
        }
        None
    }

    fn dispatch(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        if self.is_handing_back || self.is_cancelled {
            return;
        }
        let mut capacity = self.in_flight_limit.saturating_sub(self.in_flight());
        for (chunk, open) in &mut self.open_chunks {
            if open.is_loading {
                continue;
            }
            for (item, state) in open.items.iter_mut().enumerate() {
                if capacity == 0 {
                    return;
                }
                let Some(retry) = next_attempt(state, self.params.idempotent, now_ms) else {
                    continue;
                };
                *state = ItemState::Running(retry);
                capacity -= 1;
                actions.push(Action::Dispatch {
                    chunk: *chunk,
                    item: item as u32,
                    attempt: retry.attempt,
                    resume_only: retry.resume_only,
                    alone: retry.backend_losses >= LOSSES_TO_RUN_ALONE,
                });
            }
        }
    }

    fn write_chunks(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let chunks: Vec<u32> = self.open_chunks.keys().copied().collect();
        for chunk in chunks {
            self.write_chunk(now_ms, chunk, actions);
        }
    }

    fn write_chunk(&mut self, now_ms: Millis, chunk: u32, actions: &mut Vec<Action>) {
        let marks = self.mark_budget();
        let epoch = self.head.epoch;
        let write_number = self.next_write_number;
        let is_handing_back = self.is_handing_back;
        let Some(open) = self.open_chunks.get_mut(&chunk).filter(|open| !open.is_loading) else {
            return;
        };
        if let Some(pending) = open.write.as_mut() {
            if pending.retry_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                pending.retry_at_ms = None;
                let (write_number, record) = (pending.number, pending.value.clone());
                let expected = open.version;
                actions.push(Action::WriteChunk { chunk, write_number, record, expected });
            }
            return;
        }
        let is_due = if self.params.idempotent {
            is_idempotent_write_due(open, now_ms, self.limits.record_within_ms, is_handing_back)
        } else {
            mark_items(open, now_ms, self.limits.group_commit_ms, marks);
            is_marked_write_due(open, now_ms, self.limits.group_commit_ms, is_handing_back)
        };
        if !is_due {
            return;
        }
        let record = open.next_record(epoch);
        let expected = open.version;
        open.write =
            Some(PendingWrite { number: write_number, value: record.clone(), retry_at_ms: None });
        actions.push(Action::WriteChunk { chunk, write_number, record, expected });
        self.next_write_number += 1;
    }

    /// Returns the number of further items that may be marked now.
    fn mark_budget(&self) -> u32 {
        if self.is_handing_back || self.is_cancelled {
            return 0;
        }
        let is_marked_or_running = |state: &ItemState| {
            matches!(state, ItemState::Marking | ItemState::Marked(_) | ItemState::Running(_))
        };
        let active: u32 =
            self.open_chunks.values().map(|open| open.count(is_marked_or_running)).sum();
        let target = self.in_flight_limit + self.limits.mark_group / 2;
        target.saturating_sub(active).min(self.limits.mark_group)
    }

    fn finish_or_write_head(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        if self.head_write.is_some() {
            return;
        }
        if self.is_finished() {
            self.head.finished = true;
            self.head.counts.cancelled += self.params.items - self.head.counts.total();
            self.phase = Phase::Closing;
            return self.write_head(actions);
        }
        if self.is_handing_back && self.is_all_recorded() {
            self.head.owner = None;
            self.phase = Phase::Closing;
            return self.write_head(actions);
        }
        if self.is_head_dirty && now_ms >= self.head_written_at_ms + HEAD_WRITE_INTERVAL_MS {
            self.write_head(actions);
        }
    }

    fn is_finished(&self) -> bool {
        if !self.open_chunks.is_empty() {
            return false;
        }
        let has_open_work = (self.next_chunk..self.params.chunk_count())
            .filter(|chunk| !self.head.done_chunks.contains(*chunk))
            .any(|chunk| !self.is_cancelled || self.recorded_chunks.contains(&chunk));
        !has_open_work
    }

    fn is_all_recorded(&self) -> bool {
        self.open_chunks.values().all(|open| {
            let is_settled = open.unrecorded.is_empty()
                && open.write.is_none()
                && !open.is_loading
                && !open.has_stale_marks();
            let has_active_items =
                open.count(|state| matches!(state, ItemState::Running(_) | ItemState::Marking)) > 0;
            is_settled && !has_active_items
        })
    }
}

/// Returns the retry state for the next attempt if the item may be dispatched now.
fn next_attempt(state: &ItemState, idempotent: bool, now_ms: Millis) -> Option<RetryState> {
    let retry = match state {
        ItemState::Pending(retry) if idempotent => *retry,
        ItemState::Marked(retry) => *retry,
        ItemState::Orphaned(retry) => RetryState { resume_only: true, ..*retry },
        _ => return None,
    };
    (now_ms >= retry.not_before_ms).then_some(retry)
}

/// Selects up to `marks` pending items to be marked in the next write of the chunk.
fn mark_items(open: &mut Chunk, now_ms: Millis, group_commit_ms: Millis, marks: u32) {
    let has_waited = open.written_at_ms.is_none_or(|at_ms| now_ms >= at_ms + group_commit_ms);
    if !has_waited {
        return;
    }
    let pending = open
        .items
        .iter_mut()
        .filter(|state| matches!(state, ItemState::Pending(_)))
        .take(marks as usize);
    pending.for_each(|state| *state = ItemState::Marking);
}

fn is_marked_write_due(
    open: &Chunk,
    now_ms: Millis,
    group_commit_ms: Millis,
    is_handing_back: bool,
) -> bool {
    let has_marks = open.count(|state| *state == ItemState::Marking) > 0;
    let has_waited = open.dirty_since_ms.is_some_and(|since| now_ms >= since + group_commit_ms);
    let is_final_write = !open.unrecorded.is_empty() && (open.is_ended() || is_handing_back);
    has_marks || has_waited || is_final_write || open.has_stale_marks()
}

fn is_idempotent_write_due(
    open: &Chunk,
    now_ms: Millis,
    record_within_ms: Millis,
    is_handing_back: bool,
) -> bool {
    let has_waited = open.dirty_since_ms.is_some_and(|since| now_ms >= since + record_within_ms);
    let is_final_write = !open.unrecorded.is_empty() && (open.is_ended() || is_handing_back);
    has_waited || is_final_write
}
