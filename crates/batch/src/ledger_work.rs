//! What the ledger does after each event: it opens, dispatches, writes and closes chunks.

use wire::Millis;

use crate::chunk::Chunk;
use crate::chunk::ItemState;
use crate::chunk::PendingWrite;
use crate::chunk::Tries;
use crate::ledger::Ledger;
use crate::ledger::Phase;
use crate::ledger_step::Action;

/// How often the head is written while chunks end.
const HEAD_EVERY_MS: Millis = 5_000;
/// Lost backend servers after which an item runs alone on its replica.
const DEATHS_TO_RUN_ALONE: u32 = 2;

impl Ledger {
    /// Does whatever the state allows now.
    pub(crate) fn proceed(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        self.repeat_head_write(now_ms, actions);
        if self.phase != Phase::Working {
            return;
        }
        if self.is_cancelled {
            self.cancel_waiting(now_ms);
        }
        if self.is_leaving {
            self.open.values_mut().for_each(Chunk::unmark);
        }
        self.close_chunks(actions);
        self.open_chunks(actions);
        if self.is_cancelled {
            self.cancel_waiting(now_ms);
        }
        self.dispatch(now_ms, actions);
        self.write_chunks(now_ms, actions);
        self.finish_or_write_head(now_ms, actions);
    }

    fn repeat_head_write(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let expected = self.head_version;
        if let Some(pending) = self.head_write.as_mut()
            && pending.retry_at_ms.is_some_and(|at_ms| now_ms >= at_ms)
        {
            pending.retry_at_ms = None;
            let (write, head) = (pending.write, pending.value.clone());
            actions.push(Action::WriteHead { write, head, expected });
        }
    }

    fn close_chunks(&mut self, actions: &mut Vec<Action>) {
        let done: Vec<u32> = self
            .open
            .iter()
            .filter(|(_, open)| open.is_recorded())
            .map(|(chunk, _)| *chunk)
            .collect();
        for chunk in done {
            let Some(open) = self.open.remove(&chunk) else {
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

    fn open_chunks(&mut self, actions: &mut Vec<Action>) {
        while !self.is_leaving && (self.open.len() as u32) < self.limits.open_chunks {
            let Some(chunk) = self.take_next_chunk() else {
                return;
            };
            let items = self.facts.items_of(chunk);
            if self.existing.contains(&chunk) {
                self.open.insert(chunk, Chunk::loading(items));
                actions.push(Action::ReadChunk { chunk });
            } else {
                self.open.insert(chunk, Chunk::fresh(items));
            }
        }
    }

    /// Returns the next chunk with work; a cancelled job opens only chunks that have a record.
    fn take_next_chunk(&mut self) -> Option<u32> {
        while self.next_chunk < self.facts.chunk_count() {
            let chunk = self.next_chunk;
            self.next_chunk += 1;
            let is_skipped = self.is_cancelled && !self.existing.contains(&chunk);
            if !is_skipped && !self.head.done_chunks.contains(chunk) {
                return Some(chunk);
            }
        }
        None
    }

    fn dispatch(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        if self.is_leaving || self.is_cancelled {
            return;
        }
        let mut room = self.in_flight_limit.saturating_sub(self.in_flight());
        for (chunk, open) in &mut self.open {
            if open.is_loading {
                continue;
            }
            for (item, state) in open.items.iter_mut().enumerate() {
                if room == 0 {
                    return;
                }
                let Some(tries) = next_try(state, self.facts.idempotent, now_ms) else {
                    continue;
                };
                *state = ItemState::Running(tries);
                room -= 1;
                actions.push(Action::Dispatch {
                    chunk: *chunk,
                    item: item as u32,
                    attempt: tries.attempt,
                    resume_only: tries.resume_only,
                    alone: tries.deaths >= DEATHS_TO_RUN_ALONE,
                });
            }
        }
    }

    fn write_chunks(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        let chunks: Vec<u32> = self.open.keys().copied().collect();
        for chunk in chunks {
            self.write_chunk(now_ms, chunk, actions);
        }
    }

    fn write_chunk(&mut self, now_ms: Millis, chunk: u32, actions: &mut Vec<Action>) {
        let marks = self.marks_wanted();
        let epoch = self.head.epoch;
        let write = self.next_write;
        let is_leaving = self.is_leaving;
        let Some(open) = self.open.get_mut(&chunk).filter(|open| !open.is_loading) else {
            return;
        };
        if let Some(pending) = open.write.as_mut() {
            if pending.retry_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                pending.retry_at_ms = None;
                let (write, record) = (pending.write, pending.value.clone());
                let expected = open.version;
                actions.push(Action::WriteChunk { chunk, write, record, expected });
            }
            return;
        }
        let is_due = if self.facts.idempotent {
            is_idempotent_write_due(open, now_ms, self.limits.record_within_ms, is_leaving)
        } else {
            mark_items(open, now_ms, self.limits.group_commit_ms, marks);
            is_marked_write_due(open, now_ms, self.limits.group_commit_ms, is_leaving)
        };
        if !is_due {
            return;
        }
        let record = open.next_record(epoch);
        let expected = open.version;
        open.write = Some(PendingWrite { write, value: record.clone(), retry_at_ms: None });
        actions.push(Action::WriteChunk { chunk, write, record, expected });
        self.next_write += 1;
    }

    /// Returns how many more items may be marked now.
    fn marks_wanted(&self) -> u32 {
        if self.is_leaving || self.is_cancelled {
            return 0;
        }
        let is_ahead = |state: &ItemState| {
            matches!(state, ItemState::Marking | ItemState::Marked(_) | ItemState::Running(_))
        };
        let ahead: u32 = self.open.values().map(|open| open.count(is_ahead)).sum();
        let target = self.in_flight_limit + self.limits.mark_group / 2;
        target.saturating_sub(ahead).min(self.limits.mark_group)
    }

    fn finish_or_write_head(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        if self.head_write.is_some() {
            return;
        }
        if self.is_finished() {
            self.head.finished = true;
            self.head.counts.cancelled += self.facts.items - self.head.counts.total();
            self.phase = Phase::Ending;
            return self.write_head(actions);
        }
        if self.is_leaving && self.is_all_recorded() {
            self.head.owner = None;
            self.phase = Phase::Ending;
            return self.write_head(actions);
        }
        if self.is_head_dirty && now_ms >= self.head_written_at_ms + HEAD_EVERY_MS {
            self.write_head(actions);
        }
    }

    fn is_finished(&self) -> bool {
        if !self.open.is_empty() {
            return false;
        }
        let left = (self.next_chunk..self.facts.chunk_count())
            .filter(|chunk| !self.head.done_chunks.contains(*chunk))
            .any(|chunk| !self.is_cancelled || self.existing.contains(&chunk));
        !left
    }

    fn is_all_recorded(&self) -> bool {
        self.open.values().all(|open| {
            let is_quiet = open.unrecorded.is_empty()
                && open.write.is_none()
                && !open.is_loading
                && !open.has_stale_marks();
            let has_running =
                open.count(|state| matches!(state, ItemState::Running(_) | ItemState::Marking)) > 0;
            is_quiet && !has_running
        })
    }
}

/// Returns the try with which an item may be dispatched now.
fn next_try(state: &ItemState, idempotent: bool, now_ms: Millis) -> Option<Tries> {
    let tries = match state {
        ItemState::Pending(tries) if idempotent => *tries,
        ItemState::Marked(tries) => *tries,
        ItemState::Orphaned(tries) => Tries { resume_only: true, ..*tries },
        _ => return None,
    };
    (now_ms >= tries.not_before_ms).then_some(tries)
}

/// Chooses items to be marked with the next write of their chunk.
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
    is_leaving: bool,
) -> bool {
    let has_marks = open.count(|state| *state == ItemState::Marking) > 0;
    let has_waited = open.dirty_since_ms.is_some_and(|since| now_ms >= since + group_commit_ms);
    let is_last = !open.unrecorded.is_empty() && (open.is_ended() || is_leaving);
    has_marks || has_waited || is_last || open.has_stale_marks()
}

fn is_idempotent_write_due(
    open: &Chunk,
    now_ms: Millis,
    record_within_ms: Millis,
    is_leaving: bool,
) -> bool {
    let has_waited = open.dirty_since_ms.is_some_and(|since| now_ms >= since + record_within_ms);
    let is_last = !open.unrecorded.is_empty() && (open.is_ended() || is_leaving);
    has_waited || is_last
}
