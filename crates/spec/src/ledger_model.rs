//! The model of a job's ledger: owners that crash, pause and race, and answers that are lost.

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
use crate::ledger_environment::ItemAttempt;
use crate::ledger_environment::Store;
use crate::ledger_environment::StoreReply;
use crate::ledger_environment::Target;
use crate::ledger_environment::Value;
use crate::ledger_environment::Write;
use crate::mutation::Mutation;

/// The time of all events except ticks.
const NOW_MS: Millis = 10_000_000;
/// The time of ticks: late enough that every wait that began at `NOW_MS` is over.
const LATER_MS: Millis = 20_000_000;

/// How often each fault may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Owners that start, one after another or at the same time.
    pub starts: u32,
    /// Owners that crash.
    pub crashes: u32,
    /// Answers of the object API that are lost, before or after the write takes effect.
    pub lost_answers: u32,
    /// Attempts that are lost with their engine, or whose answer is lost.
    pub lost_attempts: u32,
    /// Attempts that engines refuse.
    pub refusals: u32,
    /// Cancellations by the caller.
    pub cancels: u32,
    /// Owners that hand the job back.
    pub hand_backs: u32,
    /// Ticks of owners' clocks.
    pub ticks: u32,
}

/// The job, the faults and the mutation of one model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerSetup {
    /// The parameters of the job.
    pub params: JobParams,
    /// The faults that may happen.
    pub budget: Budget,
    /// The seeded fault, if any.
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
    attempts: BTreeSet<ItemAttempt>,
    runs: BTreeMap<(u32, u32), u32>,
    resumable_runs: BTreeSet<(u32, u32)>,
    recorded_outcomes: BTreeMap<(u32, u32), Outcome>,
    highest_epoch: u64,
    epoch_owners: BTreeMap<u64, usize>,
    was_finished: bool,
    broken_invariant: Option<&'static str>,
}

impl LedgerModel {
    /// Returns the state before any owner has started.
    pub fn new(setup: LedgerSetup) -> Self {
        Self {
            setup,
            store: Store::default(),
            owners: BTreeMap::new(),
            next_owner: 1,
            writes: Vec::new(),
            reads: BTreeSet::new(),
            attempts: BTreeSet::new(),
            runs: BTreeMap::new(),
            resumable_runs: BTreeSet::new(),
            recorded_outcomes: BTreeMap::new(),
            highest_epoch: 0,
            epoch_owners: BTreeMap::new(),
            was_finished: false,
            broken_invariant: None,
        }
    }

    fn has_mutation(&self, mutation: Mutation) -> bool {
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
            max_backend_losses: 3,
            max_in_flight: 4,
        };
        let name = DaemonName::from(format!("d{owner}"));
        let params = self.setup.params.clone();
        let ledger = Ledger::new(name, params, limits, self.store.is_cancelled);
        self.owners.insert(owner, ledger);
        let mut head = self.store.head.value.clone();
        if self.has_mutation(Mutation::EpochNotRaised) {
            head.epoch = head.epoch.saturating_sub(1);
        }
        let recorded_chunks = if self.has_mutation(Mutation::IgnoreExistingRecords) {
            BTreeSet::new()
        } else {
            self.store.recorded_chunks()
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
            self.apply_action(owner, action);
        }
    }

    fn apply_action(&mut self, owner: usize, action: Action) {
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
                let resume_only = resume_only && !self.has_mutation(Mutation::RunInsteadOfResume);
                self.attempts.insert(ItemAttempt {
                    owner,
                    chunk,
                    item,
                    number: attempt,
                    resume_only,
                    is_started: false,
                    is_stop_requested: false,
                });
            }
            Action::Stop { chunk, item } => self.stop_attempt(owner, chunk, item),
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
        if let (Value::Head(head), true) = (&mut value, self.has_mutation(Mutation::FinishEarly)) {
            head.finished |= head.epoch > 0 && !self.store.chunks.is_empty();
        }
        if let (Value::Chunk(record), true) =
            (&mut value, self.has_mutation(Mutation::CancelOverwrites))
        {
            cancel_outcomes(record, self.store.is_cancelled);
        }
        let is_chunk = matches!(target, Target::Chunk(_));
        let write =
            Write { owner, number: write_number, target, value, expected, is_timed_out: false };
        // A repeated write replaces the one that has not reached the store yet.
        self.writes.retain(|known| {
            (known.owner, known.number, &known.target) != (owner, write.number, &write.target)
        });
        self.writes.push(write.clone());
        if is_chunk && self.has_mutation(Mutation::MarkAfterDispatch) {
            let Target::Chunk(chunk) = write.target else {
                return;
            };
            let result = WriteResult::Applied(Version(self.store.last_version + 1));
            let event = Event::ChunkWritten { chunk, write_number: write.number, result };
            self.step_owner(owner, NOW_MS, event);
        }
    }

    fn stop_attempt(&mut self, owner: usize, chunk: u32, item: u32) {
        let is_same_item = |attempt: &ItemAttempt| {
            (attempt.owner, attempt.chunk, attempt.item) == (owner, chunk, item)
        };
        let stopped: Vec<ItemAttempt> =
            self.attempts.iter().filter(|attempt| is_same_item(attempt)).cloned().collect();
        for attempt in stopped {
            self.attempts.remove(&attempt);
            self.attempts.insert(ItemAttempt { is_stop_requested: true, ..attempt });
        }
    }

    /// Applies a write to the store and answers it, unless the sender has timed out or the answer is
    /// lost.
    fn deliver_write(&mut self, index: usize, has_answer: bool) {
        let write = self.writes.remove(index);
        let ignores_version =
            self.has_mutation(Mutation::IgnoreExistingRecords) && write.target != Target::Head;
        let is_conditional = !ignores_version && !self.has_mutation(Mutation::NoVersionCondition);
        let reply = self.store.apply(&write, is_conditional);
        self.check_store();
        if write.is_timed_out {
            return;
        }
        let result = match reply {
            _ if !has_answer => WriteResult::NoAnswer,
            StoreReply::Applied(version) => WriteResult::Applied(version),
            StoreReply::Conflict => WriteResult::Conflict,
        };
        self.answer_write(&write, result);
    }

    /// Tells the sender that no answer came; the write may still reach the store later.
    fn time_out_write(&mut self, index: usize) {
        self.writes[index].is_timed_out = true;
        let write = self.writes[index].clone();
        self.answer_write(&write, WriteResult::NoAnswer);
    }

    fn answer_write(&mut self, write: &Write, result: WriteResult) {
        let (owner, write_number) = (write.owner, write.number);
        let is_unanswered = result == WriteResult::NoAnswer;
        let is_trusted = is_unanswered && self.has_mutation(Mutation::TrustTimedOutWrite);
        let result = if is_trusted {
            WriteResult::Applied(Version(self.store.last_version))
        } else {
            result
        };
        match &write.target {
            Target::Head => {
                self.step_owner(owner, NOW_MS, Event::HeadWritten { write_number, result });
            }
            Target::Chunk(chunk) => {
                let chunk = *chunk;
                if is_unanswered && self.has_mutation(Mutation::ForgetTimedOutWrite) {
                    // The owner assumes that the record is unchanged.
                    let conflict =
                        Event::ChunkWritten { chunk, write_number, result: WriteResult::Conflict };
                    self.step_owner(owner, NOW_MS, conflict);
                    self.reads.remove(&(owner, chunk));
                    let record = ChunkRecord::default();
                    let version = self.store.read_chunk(chunk).1;
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
        let (mut record, version) = self.store.read_chunk(chunk);
        if self.has_mutation(Mutation::OverwriteOnConflict) {
            record = ChunkRecord::default();
        }
        self.step_owner(owner, NOW_MS, Event::ChunkRead { chunk, record, version });
    }

    fn start_attempt(&mut self, attempt: &ItemAttempt) {
        self.attempts.remove(attempt);
        let key = (attempt.chunk, attempt.item);
        *self.runs.entry(key).or_insert(0) += 1;
        self.resumable_runs.insert(key);
        self.attempts.insert(ItemAttempt { is_started: true, ..attempt.clone() });
        let has_run_twice = !self.setup.params.idempotent && self.runs[&key] > 1;
        if has_run_twice {
            self.broken_invariant = Some("a non-idempotent item runs at most once");
        }
    }

    fn end_attempt(&mut self, attempt: &ItemAttempt, end: ItemEnd) {
        self.attempts.remove(attempt);
        let event = Event::ItemEnded {
            chunk: attempt.chunk,
            item: attempt.item,
            attempt: attempt.number,
            end,
        };
        self.step_owner(attempt.owner, NOW_MS, event);
    }

    fn lose_attempt(&mut self, attempt: &ItemAttempt) {
        let end = if self.has_mutation(Mutation::LostCountsAsNotRun) {
            ItemEnd::NotRun { retry_after_ms: 0 }
        } else {
            ItemEnd::BackendFault { detail: String::new() }
        };
        self.resumable_runs.remove(&(attempt.chunk, attempt.item));
        self.end_attempt(attempt, end);
    }

    fn check_store(&mut self) {
        self.check_outcomes();
        self.check_head();
    }

    fn check_outcomes(&mut self) {
        let outcomes = self.store.outcomes();
        let is_unchanged =
            self.recorded_outcomes.iter().all(|(key, outcome)| outcomes.get(key) == Some(outcome));
        if !is_unchanged {
            self.broken_invariant = Some("a recorded outcome is never changed");
        }
        let is_unique = self.store.chunks.values().all(|object| {
            let items: BTreeSet<u32> =
                object.value.outcomes.iter().map(|entry| entry.item).collect();
            items.len() == object.value.outcomes.len()
        });
        if !is_unique {
            self.broken_invariant = Some("an item has one outcome");
        }
        self.recorded_outcomes = outcomes;
    }

    fn check_head(&mut self) {
        let head = &self.store.head;
        if head.value.epoch < self.highest_epoch {
            self.broken_invariant = Some("the epoch never falls");
        }
        self.highest_epoch = self.highest_epoch.max(head.value.epoch);
        if head.version != Version::ABSENT {
            let owner = head.written_by.0;
            let epoch_owner = *self.epoch_owners.entry(head.value.epoch).or_insert(owner);
            if epoch_owner != owner {
                self.broken_invariant = Some("an epoch has one owner");
            }
        }
        if self.was_finished && !head.value.finished {
            self.broken_invariant = Some("a finished job stays finished");
        }
        self.was_finished |= head.value.finished;
        if head.value.finished {
            self.check_finished(&self.store.head.value.clone());
        }
    }

    fn check_finished(&mut self, head: &LedgerHead) {
        let params = &self.setup.params;
        let is_cancelled = self.store.is_cancelled;
        let is_complete = (0..params.items).all(|index| {
            let key = (index / params.chunk_items, index % params.chunk_items);
            self.recorded_outcomes.contains_key(&key)
                || (is_cancelled && !head.done_chunks.contains(key.0))
        });
        if !is_complete {
            self.broken_invariant = Some("a finished job has an outcome for each item");
        }
        if head.counts.total() != params.items {
            self.broken_invariant = Some("the counts of a finished job add up to its items");
        }
    }

    fn successor(&self, step: impl Into<String>, change: impl FnOnce(&mut Self)) -> (String, Self) {
        let mut state = self.clone();
        change(&mut state);
        (step.into(), state)
    }

    fn add_fault_steps(&self, successors: &mut Vec<(String, Self)>) {
        let budget = self.setup.budget;
        if budget.starts > 0 {
            successors.push(self.successor("an owner starts", |state| {
                state.setup.budget.starts -= 1;
                state.start_owner();
            }));
        }
        if budget.cancels > 0 && !self.was_finished {
            successors.push(self.successor("the job is cancelled", |state| {
                state.setup.budget.cancels -= 1;
                state.store.is_cancelled = true;
            }));
        }
        for owner in self.owners.keys().copied() {
            if budget.crashes > 0 {
                successors.push(self.successor(format!("owner {owner} crashes"), |state| {
                    state.setup.budget.crashes -= 1;
                    state.owners.remove(&owner);
                }));
            }
            if self.store.is_cancelled {
                successors.push(self.successor(
                    format!("owner {owner} learns of the cancellation"),
                    |state| {
                        state.step_owner(owner, NOW_MS, Event::Cancel);
                    },
                ));
            }
            if budget.hand_backs > 0 {
                successors.push(self.successor(
                    format!("owner {owner} hands the job back"),
                    |state| {
                        state.setup.budget.hand_backs -= 1;
                        state.step_owner(owner, NOW_MS, Event::HandBack);
                    },
                ));
            }
            if budget.ticks > 0 {
                successors.push(self.successor(format!("owner {owner} gets a tick"), |state| {
                    state.setup.budget.ticks -= 1;
                    state.step_owner(owner, LATER_MS, Event::Tick);
                }));
            }
        }
    }

    fn add_store_steps(&self, successors: &mut Vec<(String, Self)>) {
        let can_lose = self.setup.budget.lost_answers > 0;
        for (index, write) in self.writes.iter().enumerate() {
            let name =
                format!("write {} of owner {} ({:?})", write.number, write.owner, write.target);
            successors.push(self.successor(format!("{name} reaches the store"), |state| {
                state.deliver_write(index, true);
            }));
            if can_lose && !write.is_timed_out {
                successors.push(self.successor(
                    format!("{name} reaches the store, its answer is lost"),
                    |state| {
                        state.setup.budget.lost_answers -= 1;
                        state.deliver_write(index, false);
                    },
                ));
                successors.push(self.successor(
                    format!("{name} times out at its owner"),
                    |state| {
                        state.setup.budget.lost_answers -= 1;
                        state.time_out_write(index);
                    },
                ));
            }
        }
        for (owner, chunk) in &self.reads {
            successors.push(self.successor(
                format!("owner {owner} reads chunk {chunk}"),
                |state| {
                    state.deliver_read(*owner, *chunk);
                },
            ));
        }
    }

    fn add_attempt_steps(&self, successors: &mut Vec<(String, Self)>) {
        for attempt in &self.attempts {
            let name = format!(
                "attempt {} at {}.{} of owner {}",
                attempt.number, attempt.chunk, attempt.item, attempt.owner
            );
            if attempt.is_stop_requested {
                successors.push(self.successor(format!("{name} is stopped"), |state| {
                    if attempt.is_started {
                        state.resumable_runs.remove(&(attempt.chunk, attempt.item));
                    }
                    state.end_attempt(attempt, ItemEnd::Stopped);
                }));
            }
            if attempt.resume_only {
                successors.push(self.successor(
                    format!("{name} tries to resume its run"),
                    |state| {
                        let is_resumable =
                            state.resumable_runs.contains(&(attempt.chunk, attempt.item));
                        let done = ItemEnd::Done { text: String::new() };
                        state.end_attempt(
                            attempt,
                            if is_resumable { done } else { ItemEnd::CannotResume },
                        );
                    },
                ));
                continue;
            }
            if attempt.is_started {
                successors.push(self.successor(format!("{name} completes"), |state| {
                    state.end_attempt(attempt, ItemEnd::Done { text: String::new() });
                }));
            } else {
                successors.push(
                    self.successor(format!("{name} starts"), |state| state.start_attempt(attempt)),
                );
            }
            self.add_failing_attempt_steps(attempt, &name, successors);
        }
    }

    fn add_failing_attempt_steps(
        &self,
        attempt: &ItemAttempt,
        name: &str,
        successors: &mut Vec<(String, Self)>,
    ) {
        let budget = self.setup.budget;
        if budget.lost_attempts > 0 && attempt.is_started {
            successors.push(self.successor(format!("{name} is lost with its engine"), |state| {
                state.setup.budget.lost_attempts -= 1;
                state.lose_attempt(attempt);
            }));
            successors.push(self.successor(format!("the answer of {name} is lost"), |state| {
                state.setup.budget.lost_attempts -= 1;
                state.end_attempt(attempt, ItemEnd::Unknown);
            }));
        }
        if budget.refusals > 0 && !attempt.is_started {
            successors.push(self.successor(format!("{name} is refused"), |state| {
                state.setup.budget.refusals -= 1;
                state.end_attempt(attempt, ItemEnd::NotRun { retry_after_ms: 0 });
            }));
        }
    }
}

impl Model for LedgerModel {
    fn successors(&self) -> Vec<(String, Self)> {
        let mut successors = Vec::new();
        self.add_store_steps(&mut successors);
        self.add_attempt_steps(&mut successors);
        self.add_fault_steps(&mut successors);
        successors.retain(|(_, state)| state != self);
        successors
    }

    fn broken_invariant(&self) -> Option<&'static str> {
        self.broken_invariant
    }
}

fn cancel_outcomes(record: &mut ChunkRecord, is_cancelled: bool) {
    if is_cancelled {
        for entry in &mut record.outcomes {
            entry.outcome.kind = OutcomeKind::Cancelled;
        }
    }
}
