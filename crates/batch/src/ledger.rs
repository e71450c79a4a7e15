//! The item ledger of one job at its owner, as a state machine without I/O.
//!
//! The durable head holds the owner and its epoch; the durable chunk records hold start marks and
//! outcomes. Every write is conditional on the version that was read, so writes of a deposed owner,
//! whose job another owner has claimed, fail. Items of a non-idempotent job are marked in the
//! record before they are dispatched; a marked item whose run was lost is resumed or ended as
//! interrupted, and never runs again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wire::DaemonName;
use wire::Millis;
use wire::Version;
use wire::job::ChunkRecord;
use wire::job::LedgerHead;
use wire::job::OutcomeKind;
use wire::link::ItemEnd;

use crate::chunk::Chunk;
use crate::chunk::ItemState;
use crate::chunk::PendingWrite;
use crate::chunk::RetryState;
pub use crate::ledger_types::Action;
pub use crate::ledger_types::Event;
pub use crate::ledger_types::JobParams;
pub use crate::ledger_types::LedgerLimits;
pub use crate::ledger_types::WriteResult;

/// Delay before an unanswered write is retried.
const WRITE_RETRY_MS: Millis = 500;
/// Base delay before an item is retried after an unknown outcome; doubles with each backend loss.
const RETRY_DELAY_MS: Millis = 100;
/// Initial limit on items in flight, before the first results arrive.
const INITIAL_IN_FLIGHT: u32 = 16;
/// Lower bound of the limit on items in flight.
const MIN_IN_FLIGHT: u32 = 4;
/// Minimum interval between two reductions of the limit on items in flight.
const LIMIT_CUT_INTERVAL_MS: Millis = 100;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    ReadingHead,
    Claiming,
    Active,
    Closing,
    Ended,
}

/// The ledger of one job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub(crate) own_name: DaemonName,
    pub(crate) params: JobParams,
    pub(crate) limits: LedgerLimits,
    pub(crate) phase: Phase,
    pub(crate) head: LedgerHead,
    pub(crate) head_version: Version,
    pub(crate) head_write: Option<PendingWrite<LedgerHead>>,
    pub(crate) head_written_at_ms: Millis,
    pub(crate) is_head_dirty: bool,
    pub(crate) recorded_chunks: BTreeSet<u32>,
    pub(crate) next_chunk: u32,
    pub(crate) open_chunks: BTreeMap<u32, Chunk>,
    pub(crate) next_write_number: u64,
    pub(crate) is_cancelled: bool,
    pub(crate) is_handing_back: bool,
    pub(crate) in_flight_limit: u32,
    pub(crate) limit_cut_at_ms: Option<Millis>,
}

impl Ledger {
    /// Creates the ledger of a job that this daemon is about to claim; the first event that it
    /// expects is `HeadRead`.
    pub fn new(
        own_name: DaemonName,
        params: JobParams,
        limits: LedgerLimits,
        is_cancelled: bool,
    ) -> Self {
        Self {
            own_name,
            params,
            limits,
            phase: Phase::ReadingHead,
            head: LedgerHead::default(),
            head_version: Version::ABSENT,
            head_write: None,
            head_written_at_ms: 0,
            is_head_dirty: false,
            recorded_chunks: BTreeSet::new(),
            next_chunk: 0,
            open_chunks: BTreeMap::new(),
            next_write_number: 1,
            is_cancelled,
            is_handing_back: false,
            in_flight_limit: INITIAL_IN_FLIGHT.min(limits.max_in_flight),
            limit_cut_at_ms: None,
        }
    }

    /// Returns the head, including changes that are not written yet.
    pub fn head(&self) -> &LedgerHead {
        &self.head
    }

    /// Returns whether the ledger has ended and ignores further events.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns the number of items in open chunks that have an outcome.
    pub fn ended_in_open_chunks(&self) -> u32 {
        self.open_chunks.values().map(|chunk| chunk.count(|state| *state == ItemState::Ended)).sum()
    }

    /// Sets the upper bound of the limit on items in flight.
    pub fn set_max_in_flight(&mut self, max_in_flight: u32) {
        self.limits.max_in_flight = max_in_flight.max(MIN_IN_FLIGHT);
        self.in_flight_limit = self.in_flight_limit.min(self.limits.max_in_flight);
    }

    /// Handles an event and returns the actions to perform.
    pub fn step(&mut self, now_ms: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.phase == Phase::Ended {
            return actions;
        }
        match event {
            Event::HeadRead { head, version, recorded_chunks } => {
                self.on_head_read(head, version, recorded_chunks, &mut actions);
            }
            Event::HeadWritten { write_number, result } => {
                self.on_head_written(now_ms, write_number, result, &mut actions);
            }
            Event::ChunkRead { chunk, record, version } => {
                self.on_chunk_read(chunk, record, version, &mut actions);
            }
            Event::ChunkWritten { chunk, write_number, result } => {
                self.on_chunk_written(now_ms, chunk, write_number, result, &mut actions);
            }
            Event::ItemEnded { chunk, item, attempt, end } => {
                self.on_item_ended(now_ms, chunk, item, attempt, end);
            }
            Event::Cancel => self.on_cancel(now_ms, &mut actions),
            Event::HandBack => self.on_hand_back(&mut actions),
            Event::Tick => {}
        }
        self.advance(now_ms, &mut actions);
        actions
    }

    fn on_head_read(
        &mut self,
        head: LedgerHead,
        version: Version,
        recorded_chunks: BTreeSet<u32>,
        actions: &mut Vec<Action>,
    ) {
        if self.phase != Phase::ReadingHead {
            return;
        }
        self.head = head;
        self.head_version = version;
        self.recorded_chunks = recorded_chunks;
        if self.head.finished {
            self.phase = Phase::Ended;
            actions.push(Action::Finished);
            return;
        }
        self.phase = Phase::Claiming;
        self.head.epoch += 1;
        self.head.owner = Some(self.own_name.clone());
        self.write_head(actions);
    }

    pub(crate) fn write_head(&mut self, actions: &mut Vec<Action>) {
        let write_number = self.allocate_write_number();
        let head = self.head.clone();
        self.is_head_dirty = false;
        self.head_write =
            Some(PendingWrite { number: write_number, value: head.clone(), retry_at_ms: None });
        actions.push(Action::WriteHead { write_number, head, expected: self.head_version });
    }

    fn on_head_written(
        &mut self,
        now_ms: Millis,
        write_number: u64,
        result: WriteResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) =
            self.head_write.as_mut().filter(|pending| pending.number == write_number)
        else {
            return;
        };
        let version = match result {
            WriteResult::Applied(version) => version,
            WriteResult::NoAnswer => {
                pending.retry_at_ms = Some(now_ms + WRITE_RETRY_MS);
                return;
            }
            WriteResult::Conflict => return self.depose(actions),
        };
        let written = pending.value.clone();
        self.head_write = None;
        self.head_version = version;
        self.head_written_at_ms = now_ms;
        if self.phase == Phase::Claiming {
            self.phase = Phase::Active;
        }
        if self.phase == Phase::Closing {
            self.phase = Phase::Ended;
            let is_finished = written.finished;
            actions.push(if is_finished { Action::Finished } else { Action::HandedBack });
        }
    }

    /// Ends the ledger without further writes, since this daemon no longer owns the job.
    fn depose(&mut self, actions: &mut Vec<Action>) {
        self.phase = Phase::Ended;
        self.stop_attempts(actions, |_| true);
        actions.push(Action::Deposed);
    }

    fn on_chunk_read(
        &mut self,
        chunk: u32,
        record: ChunkRecord,
        version: Version,
        actions: &mut Vec<Action>,
    ) {
        if record.epoch > self.head.epoch {
            return self.depose(actions);
        }
        let Some(open) = self.open_chunks.get_mut(&chunk).filter(|open| open.is_loading) else {
            return;
        };
        let superseded = open.merge_record(record, version);
        actions.extend(superseded.into_iter().map(|item| Action::Stop { chunk, item }));
    }

    fn on_chunk_written(
        &mut self,
        now_ms: Millis,
        chunk: u32,
        write_number: u64,
        result: WriteResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open_chunks.get_mut(&chunk) else {
            return;
        };
        let Some(pending) = open.write.as_mut().filter(|pending| pending.number == write_number)
        else {
            return;
        };
        match result {
            WriteResult::Applied(version) => {
                let record = pending.value.clone();
                open.on_written(now_ms, record, version);
            }
            WriteResult::NoAnswer => pending.retry_at_ms = Some(now_ms + WRITE_RETRY_MS),
            WriteResult::Conflict => {
                open.write = None;
                open.is_loading = true;
                actions.push(Action::ReadChunk { chunk });
            }
        }
    }

    fn on_item_ended(&mut self, now_ms: Millis, chunk: u32, item: u32, attempt: u32, end: ItemEnd) {
        let Some(open) = self.open_chunks.get_mut(&chunk) else {
            return;
        };
        let Some(ItemState::Running(retry)) = open.items.get(item as usize).cloned() else {
            return;
        };
        if retry.attempt != attempt {
            return;
        }
        let is_cancelled = self.is_cancelled;
        let mut end_item = |kind, text| open.end_item(now_ms, item, kind, text);
        match end {
            ItemEnd::Done { text } => {
                end_item(OutcomeKind::Done, text);
                self.raise_in_flight_limit();
            }
            ItemEnd::ItemFault { detail } => end_item(OutcomeKind::Failed, detail),
            ItemEnd::Stopped if is_cancelled => {
                end_item(OutcomeKind::Cancelled, CANCELLED_TEXT.to_owned());
            }
            ItemEnd::CannotResume => {
                end_item(OutcomeKind::Interrupted, INTERRUPTED_TEXT.to_owned());
            }
            ItemEnd::NotRun { retry_after_ms } => {
                self.on_item_not_run(now_ms, chunk, item, retry, retry_after_ms);
                self.reduce_in_flight_limit(now_ms);
            }
            ItemEnd::BackendFault { detail } => {
                self.on_outcome_unknown(now_ms, chunk, item, retry, Some(detail));
            }
            ItemEnd::Unknown | ItemEnd::Stopped => {
                self.on_outcome_unknown(now_ms, chunk, item, retry, None);
            }
        }
    }

    /// Puts an item that has certainly not run back into its state before the attempt.
    fn on_item_not_run(
        &mut self,
        now_ms: Millis,
        chunk: u32,
        item: u32,
        retry: RetryState,
        retry_after_ms: Millis,
    ) {
        let next = RetryState {
            attempt: retry.attempt + 1,
            not_before_ms: now_ms + retry_after_ms,
            resume_only: false,
            ..retry
        };
        let state = match (retry.resume_only, self.params.idempotent) {
            (true, _) => ItemState::Orphaned(next),
            (false, true) => ItemState::Pending(next),
            (false, false) => ItemState::Marked(next),
        };
        self.set_item_state(chunk, item, state);
    }

    /// Handles an attempt whose item may have run: retries an idempotent item, and allows a
    /// non-idempotent one only to be resumed.
    ///
    /// `backend_loss` is the detail of the fault if a backend server was lost.
    fn on_outcome_unknown(
        &mut self,
        now_ms: Millis,
        chunk: u32,
        item: u32,
        retry: RetryState,
        backend_loss: Option<String>,
    ) {
        let backend_losses = retry.backend_losses + u32::from(backend_loss.is_some());
        if backend_losses >= self.limits.max_backend_losses {
            let detail = backend_loss.unwrap_or_default();
            let text =
                format!("{backend_losses} backend servers were lost while they ran it: {detail}");
            let kind =
                if self.params.idempotent { OutcomeKind::Failed } else { OutcomeKind::Interrupted };
            if let Some(open) = self.open_chunks.get_mut(&chunk) {
                open.end_item(now_ms, item, kind, text);
            }
            return;
        }
        let delay_ms = RETRY_DELAY_MS << backend_losses.min(6);
        let next = RetryState {
            attempt: retry.attempt + 1,
            backend_losses,
            not_before_ms: now_ms + delay_ms,
            resume_only: false,
        };
        let state = if self.params.idempotent {
            ItemState::Pending(next)
        } else {
            ItemState::Orphaned(next)
        };
        self.set_item_state(chunk, item, state);
    }

    fn on_cancel(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        if self.is_cancelled {
            return;
        }
        self.is_cancelled = true;
        self.stop_attempts(actions, |_| true);
        self.cancel_waiting(now_ms);
    }

    /// Cancels items that are not running; items being marked are cancelled once that write ends.
    pub(crate) fn cancel_waiting(&mut self, now_ms: Millis) {
        for open in self.open_chunks.values_mut().filter(|open| !open.is_loading) {
            for item in 0..open.items.len() as u32 {
                let is_waiting = matches!(
                    open.items[item as usize],
                    ItemState::Pending(_) | ItemState::Marked(_) | ItemState::Orphaned(_)
                );
                if is_waiting {
                    let text = CANCELLED_TEXT.to_owned();
                    open.end_item(now_ms, item, OutcomeKind::Cancelled, text);
                }
            }
        }
    }

    fn on_hand_back(&mut self, actions: &mut Vec<Action>) {
        if self.is_handing_back {
            return;
        }
        self.is_handing_back = true;
        if self.phase == Phase::ReadingHead {
            self.phase = Phase::Ended;
            return actions.push(Action::HandedBack);
        }
        // The next owner runs idempotent items again; non-idempotent items run to their end here.
        let is_stopped = self.params.idempotent;
        self.stop_attempts(actions, |_| is_stopped);
    }

    pub(crate) fn stop_attempts(
        &self,
        actions: &mut Vec<Action>,
        is_stopped: impl Fn(&RetryState) -> bool,
    ) {
        for (chunk, open) in &self.open_chunks {
            for (item, state) in open.items.iter().enumerate() {
                if matches!(state, ItemState::Running(retry) if is_stopped(retry)) {
                    actions.push(Action::Stop { chunk: *chunk, item: item as u32 });
                }
            }
        }
    }

    pub(crate) fn in_flight(&self) -> u32 {
        let is_running = |state: &ItemState| matches!(state, ItemState::Running(_));
        self.open_chunks.values().map(|open| open.count(is_running)).sum()
    }

    fn raise_in_flight_limit(&mut self) {
        self.in_flight_limit = (self.in_flight_limit + 1).min(self.limits.max_in_flight);
    }

    fn reduce_in_flight_limit(&mut self, now_ms: Millis) {
        if self.limit_cut_at_ms.is_some_and(|at_ms| now_ms < at_ms + LIMIT_CUT_INTERVAL_MS) {
            return;
        }
        self.limit_cut_at_ms = Some(now_ms);
        let cut = (self.in_flight_limit / 8).max(1);
        self.in_flight_limit = self.in_flight_limit.saturating_sub(cut).max(MIN_IN_FLIGHT);
    }

    fn set_item_state(&mut self, chunk: u32, item: u32, state: ItemState) {
        if let Some(open) = self.open_chunks.get_mut(&chunk) {
            open.items[item as usize] = state;
        }
    }

    pub(crate) fn allocate_write_number(&mut self) -> u64 {
        let write_number = self.next_write_number;
        self.next_write_number += 1;
        write_number
    }
}

/// Outcome text of an item that was cancelled with its job.
pub const CANCELLED_TEXT: &str = "the job was cancelled";
/// Outcome text of a non-idempotent item whose run was lost.
pub const INTERRUPTED_TEXT: &str = "the run was lost after its start and was not repeated";
