//! The model of a job's ledger: owners that crash, pause and race, over lost answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use batch::ledger::Action;
use batch::ledger::Event;
use batch::ledger::JobParams;
use batch::ledger::Ledger;
use batch::ledger::LedgerLimits;
use batch::ledger::WriteResult;
use wire::DaemonName;
use wire::Millis;
use wire::Version;
use wire::job::ChunkRecord;
use wire::job::LedgerHead;
use wire::job::Outcome;
use wire::job::OutcomeKind;
use wire::link::ItemEnd;

use crate::checker::Model;
use crate::ledger_world::Met;
use crate::ledger_world::Store;
use crate::ledger_world::Target;
use crate::ledger_world::Try;
use crate::ledger_world::Value;
use crate::ledger_world::Write;
use crate::mutation::Mutation;

/// The time of all events but ticks.
const NOW_MS: Millis = 10_000_000;
/// The time of ticks, after every pause that began at `NOW_MS`.
const LATER_MS: Millis = 20_000_000;

/// How often each fault may strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Owners that start, one after the other or at once.
    pub starts: u32,
    /// Owners that crash.
    pub crashes: u32,
    /// Answers of the object API that are lost, before or after the effect.
    pub lost_answers: u32,
    /// Tries that are lost on the way, or with their engine.
    pub lost_tries: u32,
    /// Tries that engines do not take.
    pub refusals: u32,
    /// Cancels by the caller.
    pub cancels: u32,
    /// Owners that hand the job back.
    pub hand_backs: u32,
    /// Ticks of owners' clocks.
    pub ticks: u32,
}

/// What is modelled.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerSetup {
    /// The job.
    pub params: JobParams,
    /// The faults.
    pub budget: Budget,
    /// The seeded fault.
    pub mutation: Option<Mutation>,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerModel {
    setup: LedgerSetup,
    store: Store,
    owners: BTreeMap<usize, Ledger>,
    next_owner: usize,
    writes: Vec<Write>,
    reads: BTreeSet<(usize, u32)>,
    tries: BTreeSet<Try>,
    runs: BTreeMap<(u32, u32), u32>,
    kept_runs: BTreeSet<(u32, u32)>,
    recorded: BTreeMap<(u32, u32), Outcome>,
    highest_epoch: u64,
    epoch_owners: BTreeMap<u64, usize>,
    was_finished: bool,
    broken: Option<&'static str>,
}

impl LedgerModel {
    /// The state before any owner has started.
    pub fn new(setup: LedgerSetup) -> Self {
        Self {
            setup,
            store: Store::default(),
            owners: BTreeMap::new(),
            next_owner: 1,
            writes: Vec::new(),
            reads: BTreeSet::new(),
            tries: BTreeSet::new(),
            runs: BTreeMap::new(),
            kept_runs: BTreeSet::new(),
            recorded: BTreeMap::new(),
            highest_epoch: 0,
            epoch_owners: BTreeMap::new(),
            was_finished: false,
            broken: None,
        }
    }

    fn is(&self, mutation: Mutation) -> bool {
        self.setup.mutation == Some(mutation)
    }

    fn start_owner(&mut self) {
        let owner = self.next_owner;
        self.next_owner += 1;
        let limits = LedgerLimits {
            open_chunks: 1,
            mark_group: 2,
            group_commit_ms: 0,
            record_within_ms: 0,
            max_attempts: 3,
            max_in_flight: 4,
        };
        let name = DaemonName::from(format!("d{owner}"));
        let params = self.setup.params.clone();
        let ledger = Ledger::new(name, params, limits, self.store.is_cancelled);
        self.owners.insert(owner, ledger);
        let mut head = self.store.head.value.clone();
        if self.is(Mutation::EpochNotRaised) {
            head.epoch = head.epoch.saturating_sub(1);
        }
        let recorded_chunks = if self.is(Mutation::IgnoreExistingRecords) {
            BTreeSet::new()
        } else {
            self.store.existing()
        };
        let version = self.store.head.version;
        self.step_owner(owner, NOW_MS, Event::HeadRead { head, version, recorded_chunks });
    }

    fn step_owner(&mut self, owner: usize, now_ms: Millis, event: Event) {
        let Some(ledger) = self.owners.get_mut(&owner) else {
            return;
        };
        let actions = ledger.step(now_ms, event);
        for action in actions {
            self.take_action(owner, action);
        }
    }

    fn take_action(&mut self, owner: usize, action: Action) {
        match action {
            Action::WriteHead { write_number, head, expected } => {
                self.send_write(owner, write_number, Target::Head, Value::Head(head), expected);
            }
            Action::WriteChunk { chunk, write_number, record, expected } => {
                let value = Value::Chunk(record);
                self.send_write(owner, write_number, Target::Chunk(chunk), value, expected);
            }
            Action::ReadChunk { chunk } => {
                self.reads.insert((owner, chunk));
            }
            Action::Dispatch { chunk, item, attempt, resume_only, .. } => {
                let resume_only = resume_only && !self.is(Mutation::RunInsteadOfResume);
                self.tries.insert(Try {
                    owner,
                    chunk,
                    item,
                    attempt,
                    resume_only,
                    is_started: false,
                    is_stopped: false,
                });
            }
            Action::Stop { chunk, item } => self.stop_try(owner, chunk, item),
            Action::CloseChunk { .. } | Action::Finished | Action::Deposed | Action::HandedBack => {
            }
        }
    }

    fn send_write(
        &mut self,
        owner: usize,
        write_number: u64,
        target: Target,
        value: Value,
        expected: Version,
    ) {
        let mut value = value;
        if let (Value::Head(head), true) = (&mut value, self.is(Mutation::FinishEarly)) {
            head.finished |= head.epoch > 0 && !self.store.chunks.is_empty();
        }
        if let (Value::Chunk(record), true) = (&mut value, self.is(Mutation::CancelOverwrites)) {
            cancel_outcomes(record, self.store.is_cancelled);
        }
        let is_chunk = matches!(target, Target::Chunk(_));
        let write =
            Write { owner, write: write_number, target, value, expected, is_given_up: false };
        // A repeated write takes the place of the one that is still on its way.
        self.writes.retain(|known| {
            (known.owner, known.write, &known.target) != (owner, write.write, &write.target)
        });
        self.writes.push(write.clone());
        if is_chunk && self.is(Mutation::MarkAfterDispatch) {
            let Target::Chunk(chunk) = write.target else {
                return;
            };
            let result = WriteResult::Applied(Version(self.store.last_version + 1));
            let event = Event::ChunkWritten { chunk, write_number: write.write, result };
            self.step_owner(owner, NOW_MS, event);
        }
    }

    fn stop_try(&mut self, owner: usize, chunk: u32, item: u32) {
        let is_meant = |t: &Try| (t.owner, t.chunk, t.item) == (owner, chunk, item);
        let stopped: Vec<Try> = self.tries.iter().filter(|t| is_meant(t)).cloned().collect();
        for one in stopped {
            self.tries.remove(&one);
            self.tries.insert(Try { is_stopped: true, ..one });
        }
    }

    /// Lets a write meet the store, and answers unless the answer is lost.
    fn deliver_write(&mut self, index: usize, has_answer: bool) {
        let write = self.writes.remove(index);
        let is_blind = self.is(Mutation::IgnoreExistingRecords) && write.target != Target::Head;
        let is_conditional = !is_blind && !self.is(Mutation::NoVersionCondition);
        let met = self.store.apply(&write, is_conditional);
        self.on_store_changed();
        if write.is_given_up {
            return;
        }
        let result = match met {
            _ if !has_answer => WriteResult::NoAnswer,
            Met::Applied(version) => WriteResult::Applied(version),
            Met::Conflict => WriteResult::Conflict,
        };
        self.answer_write(&write, result);
    }

    /// Tells the sender that no answer came, while the write is still on its way.
    fn give_up_write(&mut self, index: usize) {
        self.writes[index].is_given_up = true;
        let write = self.writes[index].clone();
        self.answer_write(&write, WriteResult::NoAnswer);
    }

    fn answer_write(&mut self, write: &Write, result: WriteResult) {
        let (owner, write_number) = (write.owner, write.write);
        let is_unanswered = result == WriteResult::NoAnswer;
        let trusted = is_unanswered && self.is(Mutation::TrustTimedOutWrite);
        let result =
            if trusted { WriteResult::Applied(Version(self.store.last_version)) } else { result };
        match &write.target {
            Target::Head => {
                self.step_owner(owner, NOW_MS, Event::HeadWritten { write_number, result });
            }
            Target::Chunk(chunk) => {
                let chunk = *chunk;
                if is_unanswered && self.is(Mutation::ForgetTimedOutWrite) {
                    // The owner believes that the record is still the old one.
                    let conflict =
                        Event::ChunkWritten { chunk, write_number, result: WriteResult::Conflict };
                    self.step_owner(owner, NOW_MS, conflict);
                    self.reads.remove(&(owner, chunk));
                    let record = ChunkRecord::default();
                    let version = self.store.chunk(chunk).1;
                    let read = Event::ChunkRead { chunk, record, version };
                    return self.step_owner(owner, NOW_MS, read);
                }
                let event = Event::ChunkWritten { chunk, write_number, result };
                self.step_owner(owner, NOW_MS, event);
            }
        }
    }

    fn deliver_read(&mut self, owner: usize, chunk: u32) {
        self.reads.remove(&(owner, chunk));
        let (mut record, version) = self.store.chunk(chunk);
        if self.is(Mutation::OverwriteOnConflict) {
            record = ChunkRecord::default();
        }
        self.step_owner(owner, NOW_MS, Event::ChunkRead { chunk, record, version });
    }

    fn start_try(&mut self, one: &Try) {
        self.tries.remove(one);
        let key = (one.chunk, one.item);
        *self.runs.entry(key).or_insert(0) += 1;
        self.kept_runs.insert(key);
        self.tries.insert(Try { is_started: true, ..one.clone() });
        let is_doubled = !self.setup.params.idempotent && self.runs[&key] > 1;
        if is_doubled {
            self.broken = Some("a non-idempotent item runs at most once");
        }
    }

    fn end_try(&mut self, one: &Try, end: ItemEnd) {
        self.tries.remove(one);
        let event =
            Event::ItemEnded { chunk: one.chunk, item: one.item, attempt: one.attempt, end };
        self.step_owner(one.owner, NOW_MS, event);
    }

    fn lose_try(&mut self, one: &Try) {
        let end = if self.is(Mutation::LostCountsAsNotRun) {
            ItemEnd::NotRun { retry_after_ms: 0 }
        } else {
            ItemEnd::BackendFault { detail: String::new() }
        };
        self.kept_runs.remove(&(one.chunk, one.item));
        self.end_try(one, end);
    }

    fn on_store_changed(&mut self) {
        self.check_outcomes();
        self.check_head();
    }

    fn check_outcomes(&mut self) {
        let now = self.store.outcomes();
        let is_kept = self.recorded.iter().all(|(key, outcome)| now.get(key) == Some(outcome));
        if !is_kept {
            self.broken = Some("a recorded outcome is never changed");
        }
        let is_single = self.store.chunks.values().all(|object| {
            let items: BTreeSet<u32> = object.value.outcomes.iter().map(|o| o.item).collect();
            items.len() == object.value.outcomes.len()
        });
        if !is_single {
            self.broken = Some("an item has one outcome");
        }
        self.recorded = now;
    }

    fn check_head(&mut self) {
        let head = &self.store.head;
        if head.value.epoch < self.highest_epoch {
            self.broken = Some("the epoch never falls");
        }
        self.highest_epoch = self.highest_epoch.max(head.value.epoch);
        if head.version != Version::ABSENT {
            let owner = head.write.0;
            let first = *self.epoch_owners.entry(head.value.epoch).or_insert(owner);
            if first != owner {
                self.broken = Some("an epoch has one owner");
            }
        }
        if self.was_finished && !head.value.finished {
            self.broken = Some("a finished job stays finished");
        }
        self.was_finished |= head.value.finished;
        if head.value.finished {
            self.check_finished(&self.store.head.value.clone());
        }
    }

    fn check_finished(&mut self, head: &LedgerHead) {
        let params = &self.setup.params;
        let is_cancelled = self.store.is_cancelled;
        let is_whole = (0..params.items).all(|index| {
            let key = (index / params.chunk_items, index % params.chunk_items);
            self.recorded.contains_key(&key) || (is_cancelled && !head.done_chunks.contains(key.0))
        });
        if !is_whole {
            self.broken = Some("a finished job has an outcome for each item");
        }
        if head.counts.total() != params.items {
            self.broken = Some("the counts of a finished job add up to its items");
        }
    }

    fn successor(&self, step: impl Into<String>, change: impl FnOnce(&mut Self)) -> (String, Self) {
        let mut next = self.clone();
        change(&mut next);
        (step.into(), next)
    }

    fn fault_steps(&self, next: &mut Vec<(String, Self)>) {
        let budget = self.setup.budget;
        if budget.starts > 0 {
            next.push(self.successor("an owner starts", |state| {
                state.setup.budget.starts -= 1;
                state.start_owner();
            }));
        }
        if budget.cancels > 0 && !self.was_finished {
            next.push(self.successor("the job is cancelled", |state| {
                state.setup.budget.cancels -= 1;
                state.store.is_cancelled = true;
            }));
        }
        for owner in self.owners.keys().copied() {
            if budget.crashes > 0 {
                next.push(self.successor(format!("owner {owner} crashes"), |state| {
                    state.setup.budget.crashes -= 1;
                    state.owners.remove(&owner);
                }));
            }
            if self.store.is_cancelled {
                next.push(self.successor(format!("owner {owner} hears of the cancel"), |state| {
                    state.step_owner(owner, NOW_MS, Event::Cancel);
                }));
            }
            if budget.hand_backs > 0 {
                next.push(self.successor(format!("owner {owner} hands back"), |state| {
                    state.setup.budget.hand_backs -= 1;
                    state.step_owner(owner, NOW_MS, Event::HandBack);
                }));
            }
            if budget.ticks > 0 {
                next.push(self.successor(format!("owner {owner} waits"), |state| {
                    state.setup.budget.ticks -= 1;
                    state.step_owner(owner, LATER_MS, Event::Tick);
                }));
            }
        }
    }

    fn store_steps(&self, next: &mut Vec<(String, Self)>) {
        let can_lose = self.setup.budget.lost_answers > 0;
        for (index, write) in self.writes.iter().enumerate() {
            let name =
                format!("write {} of owner {} ({:?})", write.write, write.owner, write.target);
            next.push(self.successor(format!("{name} arrives"), |state| {
                state.deliver_write(index, true);
            }));
            if can_lose && !write.is_given_up {
                next.push(self.successor(format!("{name} arrives, its answer is lost"), |state| {
                    state.setup.budget.lost_answers -= 1;
                    state.deliver_write(index, false);
                }));
                next.push(self.successor(format!("{name} is late"), |state| {
                    state.setup.budget.lost_answers -= 1;
                    state.give_up_write(index);
                }));
            }
        }
        for (owner, chunk) in &self.reads {
            next.push(self.successor(format!("owner {owner} reads chunk {chunk}"), |state| {
                state.deliver_read(*owner, *chunk);
            }));
        }
    }

    fn try_steps(&self, next: &mut Vec<(String, Self)>) {
        for one in &self.tries {
            let name =
                format!("try {} at {}.{} of owner {}", one.attempt, one.chunk, one.item, one.owner);
            if one.is_stopped {
                next.push(self.successor(format!("{name} is stopped"), |state| {
                    if one.is_started {
                        state.kept_runs.remove(&(one.chunk, one.item));
                    }
                    state.end_try(one, ItemEnd::Stopped);
                }));
            }
            if one.resume_only {
                next.push(self.successor(format!("{name} looks for its run"), |state| {
                    let is_kept = state.kept_runs.contains(&(one.chunk, one.item));
                    let done = ItemEnd::Done { text: String::new() };
                    state.end_try(one, if is_kept { done } else { ItemEnd::CannotResume });
                }));
                continue;
            }
            if one.is_started {
                next.push(self.successor(format!("{name} is done"), |state| {
                    state.end_try(one, ItemEnd::Done { text: String::new() });
                }));
            } else {
                next.push(self.successor(format!("{name} starts"), |state| state.start_try(one)));
            }
            self.failing_try_steps(one, &name, next);
        }
    }

    fn failing_try_steps(&self, one: &Try, name: &str, next: &mut Vec<(String, Self)>) {
        let budget = self.setup.budget;
        if budget.lost_tries > 0 && one.is_started {
            next.push(self.successor(format!("{name} is lost with its engine"), |state| {
                state.setup.budget.lost_tries -= 1;
                state.lose_try(one);
            }));
            next.push(self.successor(format!("the answer of {name} is lost"), |state| {
                state.setup.budget.lost_tries -= 1;
                state.end_try(one, ItemEnd::Unknown);
            }));
        }
        if budget.refusals > 0 && !one.is_started {
            next.push(self.successor(format!("{name} is not taken"), |state| {
                state.setup.budget.refusals -= 1;
                state.end_try(one, ItemEnd::NotRun { retry_after_ms: 0 });
            }));
        }
    }
}

impl Model for LedgerModel {
    fn next(&self) -> Vec<(String, Self)> {
        let mut next = Vec::new();
        self.store_steps(&mut next);
        self.try_steps(&mut next);
        self.fault_steps(&mut next);
        next.retain(|(_, state)| state != self);
        next
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
    }
}

fn cancel_outcomes(record: &mut ChunkRecord, is_cancelled: bool) {
    if is_cancelled {
        for entry in &mut record.outcomes {
            entry.outcome.kind = OutcomeKind::Cancelled;
        }
    }
}
