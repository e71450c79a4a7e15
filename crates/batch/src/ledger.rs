//! The item ledger of one job at its owner, as a pure core.
//!
//! The durable head names the owner's epoch; the durable chunk records hold marks and outcomes.
//! Every write is conditional on the version that was read, so a deposed owner's write fails.
//! Items of a non-idempotent job are marked in the record before they are dispatched; a marked
//! item whose run was lost is resumed or closed as interrupted, and is never run again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wire::DaemonName;
use wire::Millis;
use wire::Version;
use wire::job::ChunkRecord;
use wire::job::Head;
use wire::job::OutcomeKind;
use wire::link::ItemEnd;

use crate::chunk::Chunk;
use crate::chunk::ItemState;
use crate::chunk::PendingWrite;
use crate::chunk::Tries;
pub use crate::ledger_step::Action;
pub use crate::ledger_step::Event;
pub use crate::ledger_step::JobFacts;
pub use crate::ledger_step::LedgerLimits;
pub use crate::ledger_step::WriteEnd;

/// The pause before a write without an answer is repeated.
const WRITE_RETRY_MS: Millis = 500;
/// The pause before an item is tried again after a loss; it doubles with each further one.
const LOSS_PAUSE_MS: Millis = 100;
/// Items in flight before the first answers are there.
const FIRST_IN_FLIGHT: u32 = 16;
/// The smallest limit on items in flight.
const MIN_IN_FLIGHT: u32 = 4;
/// The pause between two cuts of the limit on items in flight.
const CUT_EVERY_MS: Millis = 100;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    Reading,
    Claiming,
    Working,
    Ending,
    Over,
}

/// The ledger core of one job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub(crate) own: DaemonName,
    pub(crate) facts: JobFacts,
    pub(crate) limits: LedgerLimits,
    pub(crate) phase: Phase,
    pub(crate) head: Head,
    pub(crate) head_version: Version,
    pub(crate) head_write: Option<PendingWrite<Head>>,
    pub(crate) head_written_at_ms: Millis,
    pub(crate) is_head_dirty: bool,
    pub(crate) existing: BTreeSet<u32>,
    pub(crate) next_chunk: u32,
    pub(crate) open: BTreeMap<u32, Chunk>,
    pub(crate) next_write: u64,
    pub(crate) is_cancelled: bool,
    pub(crate) is_leaving: bool,
    pub(crate) in_flight_limit: u32,
    pub(crate) cut_at_ms: Option<Millis>,
}

impl Ledger {
    /// Creates the ledger of a job that this daemon wants to own; it starts with `HeadRead`.
    pub fn new(own: DaemonName, facts: JobFacts, limits: LedgerLimits, is_cancelled: bool) -> Self {
        Self {
            own,
            facts,
            limits,
            phase: Phase::Reading,
            head: Head::default(),
            head_version: Version::ABSENT,
            head_write: None,
            head_written_at_ms: 0,
            is_head_dirty: false,
            existing: BTreeSet::new(),
            next_chunk: 0,
            open: BTreeMap::new(),
            next_write: 1,
            is_cancelled,
            is_leaving: false,
            in_flight_limit: FIRST_IN_FLIGHT.min(limits.max_in_flight),
            cut_at_ms: None,
        }
    }

    /// Returns the head as it stands here, chunks not yet written included.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns whether the ledger has ended.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// Returns the items of open chunks that have an outcome.
    pub fn ended_in_open_chunks(&self) -> u32 {
        self.open.values().map(|chunk| chunk.count(|state| *state == ItemState::Ended)).sum()
    }

    /// Sets the most items in flight.
    pub fn set_max_in_flight(&mut self, max_in_flight: u32) {
        self.limits.max_in_flight = max_in_flight.max(MIN_IN_FLIGHT);
        self.in_flight_limit = self.in_flight_limit.min(self.limits.max_in_flight);
    }

    /// Takes one event and returns what to do.
    pub fn step(&mut self, now_ms: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.phase == Phase::Over {
            return actions;
        }
        match event {
            Event::HeadRead { head, version, existing } => {
                self.on_head_read(head, version, existing, &mut actions);
            }
            Event::HeadWritten { write, end } => {
                self.on_head_written(now_ms, write, end, &mut actions);
            }
            Event::ChunkRead { chunk, record, version } => {
                self.on_chunk_read(chunk, record, version, &mut actions);
            }
            Event::ChunkWritten { chunk, write, end } => {
                self.on_chunk_written(now_ms, chunk, write, end, &mut actions);
            }
            Event::ItemEnded { chunk, item, attempt, end } => {
                self.on_item_ended(now_ms, chunk, item, attempt, end);
            }
            Event::Cancel => self.on_cancel(now_ms, &mut actions),
            Event::HandBack => self.on_hand_back(&mut actions),
            Event::Tick => {}
        }
        self.proceed(now_ms, &mut actions);
        actions
    }

    fn on_head_read(
        &mut self,
        head: Head,
        version: Version,
        existing: BTreeSet<u32>,
        actions: &mut Vec<Action>,
    ) {
        if self.phase != Phase::Reading {
            return;
        }
        self.head = head;
        self.head_version = version;
        self.existing = existing;
        if self.head.finished {
            self.phase = Phase::Over;
            actions.push(Action::Finished);
            return;
        }
        self.phase = Phase::Claiming;
        self.head.epoch += 1;
        self.head.owner = Some(self.own.clone());
        self.write_head(actions);
    }

    pub(crate) fn write_head(&mut self, actions: &mut Vec<Action>) {
        let write = self.take_write_number();
        let head = self.head.clone();
        self.is_head_dirty = false;
        self.head_write = Some(PendingWrite { write, value: head.clone(), retry_at_ms: None });
        actions.push(Action::WriteHead { write, head, expected: self.head_version });
    }

    fn on_head_written(
        &mut self,
        now_ms: Millis,
        write: u64,
        end: WriteEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.head_write.as_mut().filter(|pending| pending.write == write)
        else {
            return;
        };
        let version = match end {
            WriteEnd::Applied(version) => version,
            WriteEnd::NoAnswer => {
                pending.retry_at_ms = Some(now_ms + WRITE_RETRY_MS);
                return;
            }
            WriteEnd::Conflict => return self.depose(actions),
        };
        let written = pending.value.clone();
        self.head_write = None;
        self.head_version = version;
        self.head_written_at_ms = now_ms;
        if self.phase == Phase::Claiming {
            self.phase = Phase::Working;
        }
        if self.phase == Phase::Ending {
            self.phase = Phase::Over;
            let is_finished = written.finished;
            actions.push(if is_finished { Action::Finished } else { Action::HandedBack });
        }
    }

    fn depose(&mut self, actions: &mut Vec<Action>) {
        self.phase = Phase::Over;
        self.stop_running(actions, |_| true);
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
        let Some(open) = self.open.get_mut(&chunk).filter(|open| open.is_loading) else {
            return;
        };
        let overtaken = open.adopt(record, version);
        actions.extend(overtaken.into_iter().map(|item| Action::Stop { chunk, item }));
    }

    fn on_chunk_written(
        &mut self,
        now_ms: Millis,
        chunk: u32,
        write: u64,
        end: WriteEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get_mut(&chunk) else {
            return;
        };
        let Some(pending) = open.write.as_mut().filter(|pending| pending.write == write) else {
            return;
        };
        match end {
            WriteEnd::Applied(version) => {
                let record = pending.value.clone();
                open.on_written(now_ms, record, version);
            }
            WriteEnd::NoAnswer => pending.retry_at_ms = Some(now_ms + WRITE_RETRY_MS),
            WriteEnd::Conflict => {
                open.write = None;
                open.is_loading = true;
                actions.push(Action::ReadChunk { chunk });
            }
        }
    }

    fn on_item_ended(&mut self, now_ms: Millis, chunk: u32, item: u32, attempt: u32, end: ItemEnd) {
        let Some(open) = self.open.get_mut(&chunk) else {
            return;
        };
        let Some(ItemState::Running(tries)) = open.items.get(item as usize).cloned() else {
            return;
        };
        if tries.attempt != attempt {
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
                self.on_item_not_run(now_ms, chunk, item, tries, retry_after_ms);
                self.cut_in_flight_limit(now_ms);
            }
            ItemEnd::BackendFault { detail } => {
                self.on_item_lost(now_ms, chunk, item, tries, Some(detail));
            }
            ItemEnd::Unknown | ItemEnd::Stopped => {
                self.on_item_lost(now_ms, chunk, item, tries, None);
            }
        }
    }

    /// The item was certainly not run: it goes back to where it was before the try.
    fn on_item_not_run(
        &mut self,
        now_ms: Millis,
        chunk: u32,
        item: u32,
        tries: Tries,
        retry_after_ms: Millis,
    ) {
        let next = Tries {
            attempt: tries.attempt + 1,
            not_before_ms: now_ms + retry_after_ms,
            resume_only: false,
            ..tries
        };
        let state = match (tries.resume_only, self.facts.idempotent) {
            (true, _) => ItemState::Orphaned(next),
            (false, true) => ItemState::Pending(next),
            (false, false) => ItemState::Marked(next),
        };
        self.set_item(chunk, item, state);
    }

    /// The item may have run: an idempotent one is tried again, another one is only resumed.
    fn on_item_lost(
        &mut self,
        now_ms: Millis,
        chunk: u32,
        item: u32,
        tries: Tries,
        death: Option<String>,
    ) {
        let deaths = tries.deaths + u32::from(death.is_some());
        if deaths >= self.limits.max_attempts {
            let detail = death.unwrap_or_default();
            let text = format!("{deaths} backend servers were lost while they ran it: {detail}");
            let kind =
                if self.facts.idempotent { OutcomeKind::Failed } else { OutcomeKind::Interrupted };
            if let Some(open) = self.open.get_mut(&chunk) {
                open.end_item(now_ms, item, kind, text);
            }
            return;
        }
        let pause_ms = LOSS_PAUSE_MS << deaths.min(6);
        let next = Tries {
            attempt: tries.attempt + 1,
            deaths,
            not_before_ms: now_ms + pause_ms,
            resume_only: false,
        };
        let state = if self.facts.idempotent {
            ItemState::Pending(next)
        } else {
            ItemState::Orphaned(next)
        };
        self.set_item(chunk, item, state);
    }

    fn on_cancel(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        if self.is_cancelled {
            return;
        }
        self.is_cancelled = true;
        self.stop_running(actions, |_| true);
        self.cancel_waiting(now_ms);
    }

    /// Ends items that are not running; marks in progress end when their write has.
    pub(crate) fn cancel_waiting(&mut self, now_ms: Millis) {
        for open in self.open.values_mut().filter(|open| !open.is_loading) {
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
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        if self.phase == Phase::Reading {
            self.phase = Phase::Over;
            return actions.push(Action::HandedBack);
        }
        // Idempotent items run again at the next owner; the others end here.
        let is_stopped = self.facts.idempotent;
        self.stop_running(actions, |_| is_stopped);
    }

    pub(crate) fn stop_running(
        &self,
        actions: &mut Vec<Action>,
        is_stopped: impl Fn(&Tries) -> bool,
    ) {
        for (chunk, open) in &self.open {
            for (item, state) in open.items.iter().enumerate() {
                if matches!(state, ItemState::Running(tries) if is_stopped(tries)) {
                    actions.push(Action::Stop { chunk: *chunk, item: item as u32 });
                }
            }
        }
    }

    pub(crate) fn in_flight(&self) -> u32 {
        let is_running = |state: &ItemState| matches!(state, ItemState::Running(_));
        self.open.values().map(|open| open.count(is_running)).sum()
    }

    fn raise_in_flight_limit(&mut self) {
        self.in_flight_limit = (self.in_flight_limit + 1).min(self.limits.max_in_flight);
    }

    fn cut_in_flight_limit(&mut self, now_ms: Millis) {
        if self.cut_at_ms.is_some_and(|at_ms| now_ms < at_ms + CUT_EVERY_MS) {
            return;
        }
        self.cut_at_ms = Some(now_ms);
        let cut = (self.in_flight_limit / 8).max(1);
        self.in_flight_limit = self.in_flight_limit.saturating_sub(cut).max(MIN_IN_FLIGHT);
    }

    fn set_item(&mut self, chunk: u32, item: u32, state: ItemState) {
        if let Some(open) = self.open.get_mut(&chunk) {
            open.items[item as usize] = state;
        }
    }

    pub(crate) fn take_write_number(&mut self) -> u64 {
        let write = self.next_write;
        self.next_write += 1;
        write
    }
}

/// The text of an item that was cancelled with its job.
pub const CANCELLED_TEXT: &str = "the job was cancelled";
/// The text of a non-idempotent item whose run was lost.
pub const INTERRUPTED_TEXT: &str = "the run was lost after its start and was not repeated";
