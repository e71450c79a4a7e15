//! The model of a job's results in the platform's store: homes that race, lost answers, late writes.

use std::collections::BTreeMap;

use bytes::Bytes;
use jobs::item::Item;
use jobs::item::ItemResult;
use jobs::job::ItemRunEnd;
use jobs::job::Job;
use jobs::job::JobLimits;
use jobs::progress::Progress;
use jobs::record;
use jobs::record::Home;
use jobs::record::JobStatus;
use jobs::record::ResultPart;
use jobs::status::StatusWriteOutcome;
use jobs::status::StatusWriteReply;
use wire::Millis;

use crate::checker::Model;
use crate::mutation::Mutation;

/// The time of all events.
const NOW_MS: Millis = 1_000;
/// The largest object that the store accepts, in bytes.
const MAX_OBJECT_BYTES: usize = 1 << 20;
/// Limits that no item reaches, so that every item can complete.
const LIMITS: JobLimits =
    JobLimits { due_ms: 1_000_000, retention_ms: 1_000_000, max_attempts: 100 };

/// How often each fault may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Further homes that take the job over, whether or not the earlier ones have failed.
    pub adoptions: u32,
    /// Answers that are lost after the write reached the store.
    pub lost_answers: u32,
    /// Writes that time out at their home before they reach the store.
    pub late_writes: u32,
    /// Requests of the client to end the job.
    pub ends: u32,
}

/// A write of a status that has not reached the store yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    holder: usize,
    number: u32,
    expected: u64,
    status: JobStatus,
}

/// One daemon that is the job's home, was it, or has claimed to be it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holder {
    job: Job,
    /// The number of the write whose answer it waits for.
    pending_write: Option<u32>,
    is_home: bool,
    parts_written: u64,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct JobModel {
    budget: Budget,
    mutation: Option<Mutation>,
    revision: u64,
    status: Option<JobStatus>,
    parts: BTreeMap<String, Vec<ItemResult>>,
    holders: Vec<Holder>,
    writes: Vec<Write>,
    next_write: u32,
    is_end_acknowledged: bool,
    broken_invariant: Option<&'static str>,
}

fn home(holder: usize) -> Home {
    Home { daemon: "daemon".into(), incarnation: holder as u64 }
}

fn items(count: usize) -> Vec<Item> {
    let item = |number: usize| Item {
        id: format!("i{number}").into(),
        path: String::new(),
        headers: Vec::new(),
        body: Bytes::new(),
        tokens: 1,
    };
    (0..count).map(item).collect()
}

impl JobModel {
    /// Returns the state after the first home has accepted a job of `items_count` items.
    pub fn new(items_count: usize, budget: Budget, mutation: Option<Mutation>) -> Self {
        let mut job = Job::new("j".into(), "host", "/", 0, items(items_count), Vec::new());
        job.revision = 1;
        let first = Holder { job, pending_write: None, is_home: true, parts_written: 0 };
        Self {
            budget,
            mutation,
            revision: 1,
            status: None,
            parts: BTreeMap::new(),
            holders: vec![first],
            writes: Vec::new(),
            next_write: 0,
            is_end_acknowledged: false,
            broken_invariant: None,
        }
    }

    /// Returns the results that a status lists.
    fn listed_results(&self, status: &JobStatus) -> Vec<ItemResult> {
        let parts = status.result_parts.iter();
        let parts = parts.filter_map(|part| self.parts.get(&part.name)).flatten();
        parts.chain(&status.results).cloned().collect()
    }

    fn recorded_results(&self) -> Vec<ItemResult> {
        self.status.as_ref().map(|status| self.listed_results(status)).unwrap_or_default()
    }

    fn finish_item(&mut self, holder: usize) {
        let job = &mut self.holders[holder].job;
        let Some(started) = job.start_next(NOW_MS) else { return };
        // The text names the home, so that results of different homes differ.
        let text = format!("{} by {holder}", started.item.id);
        let output = Progress { text, events: 1, last_event: Some(1) };
        job.end_run(NOW_MS, started.index, ItemRunEnd::Completed, output, &LIMITS);
    }

    fn begin_write(&mut self, holder: usize) {
        let job = &self.holders[holder].job;
        let status = job.status(&home(holder), MAX_OBJECT_BYTES);
        let number = self.next_write;
        self.writes.push(Write { holder, number, expected: job.revision, status });
        self.next_write += 1;
        self.holders[holder].pending_write = Some(number);
    }

    fn move_to_part(&mut self, holder: usize) {
        let inline = self.holders[holder].job.inline_results();
        let Some(first) = inline.first().cloned() else { return };
        let holder_state = &mut self.holders[holder];
        let name = if self.mutation == Some(Mutation::PartsByPlace) {
            holder_state.job.result_parts.len().to_string()
        } else {
            record::result_part_name("j", &home(holder), holder_state.parts_written)
        };
        holder_state.parts_written += 1;
        self.parts.insert(name.clone(), vec![first]);
        holder_state.job.add_result_part(ResultPart { name, count: 1 });
    }

    fn read_record(&self) -> Job {
        let count = self.holders[0].job.total();
        let mut job = Job::from_record(
            NOW_MS,
            0,
            "j".into(),
            "host",
            "/",
            items(count),
            self.recorded_results(),
        );
        job.apply_record(self.revision, self.status.as_ref());
        job
    }

    fn start_adoption(&mut self) {
        let job = self.read_record();
        self.holders.push(Holder { job, pending_write: None, is_home: false, parts_written: 0 });
        self.begin_write(self.holders.len() - 1);
    }

    /// Applies a write to the store and answers its home, unless the home has timed out or the answer
    /// is lost.
    fn deliver_write(&mut self, write: usize, is_answer_lost: bool) {
        let write = self.writes.remove(write);
        let is_conditional = self.mutation != Some(Mutation::UnconditionalStatus);
        let reply = if write.expected == self.revision || !is_conditional {
            self.apply(write.status.clone());
            StatusWriteReply::Applied(self.revision)
        } else {
            let current = self.status.clone().unwrap_or_else(|| JobStatus {
                home: home(0),
                is_ended: false,
                result_parts: Vec::new(),
                results: Vec::new(),
                progress: Vec::new(),
            });
            StatusWriteReply::Conflict(self.revision, Box::new(current))
        };
        let holder_state = &mut self.holders[write.holder];
        if holder_state.pending_write != Some(write.number) {
            return;
        }
        holder_state.pending_write = None;
        if is_answer_lost {
            return;
        }
        match holder_state.job.apply_write_reply(NOW_MS, &home(write.holder), &write.status, reply)
        {
            StatusWriteOutcome::Written => {
                holder_state.is_home = true;
                self.is_end_acknowledged |=
                    holder_state.job.is_ended && !holder_state.job.has_unwritten();
            }
            StatusWriteOutcome::Deposed(_) => holder_state.is_home = false,
        }
    }

    fn apply(&mut self, status: JobStatus) {
        let before = self.recorded_results();
        self.revision += 1;
        self.status = Some(status);
        if !self.recorded_results().starts_with(&before) {
            self.broken_invariant =
                Some("a result that was written keeps its position and content");
        }
    }

    fn check_invariants(&mut self) {
        let recorded_results = self.recorded_results();
        let is_unique = |result: &ItemResult| {
            recorded_results.iter().filter(|other| other.item == result.item).count() == 1
        };
        if !recorded_results.iter().all(is_unique) {
            self.broken_invariant = Some("an item is listed once");
        }
        let is_complete = self
            .status
            .as_ref()
            .is_none_or(|status| recorded_results.len() == status.result_count());
        if !is_complete {
            self.broken_invariant = Some("every part of the results is there and whole");
        }
        let shows_unwritten = self.mutation == Some(Mutation::ShownBeforeWritten);
        for holder in self.holders.iter().filter(|holder| holder.is_home) {
            let visible = if shows_unwritten {
                holder.job.results()
            } else {
                holder.job.written_results().to_vec()
            };
            if !recorded_results.starts_with(&visible) {
                self.broken_invariant =
                    Some("what a home shows is in the record at the same position");
            }
        }
        let is_ended = self.status.as_ref().is_some_and(|status| status.is_ended);
        if self.is_end_acknowledged && !is_ended {
            self.broken_invariant = Some("a job whose end was acknowledged stays ended");
        }
    }

    fn successor(&self, step: impl Into<String>, change: impl FnOnce(&mut Self)) -> (String, Self) {
        let mut state = self.clone();
        change(&mut state);
        state.check_invariants();
        (step.into(), state)
    }

    fn add_holder_steps(&self, holder: usize, successors: &mut Vec<(String, Self)>) {
        let holder_state = &self.holders[holder];
        if holder_state.pending_write.is_some() {
            if self.budget.late_writes > 0 {
                successors.push(self.successor(
                    format!("a write of home {holder} times out"),
                    |state| {
                        state.budget.late_writes -= 1;
                        state.holders[holder].pending_write = None;
                    },
                ));
            }
            return;
        }
        if !holder_state.is_home {
            let recorded_home = self.status.as_ref().map(|status| &status.home);
            if recorded_home == Some(&home(holder)) {
                successors.push(self.successor(
                    format!("home {holder} reads its claim"),
                    |state| {
                        state.holders[holder].job = state.read_record();
                        state.begin_write(holder);
                    },
                ));
            }
            return;
        }
        successors.push(self.successor(format!("home {holder} finishes an item"), |state| {
            state.finish_item(holder);
        }));
        if holder_state.job.has_unwritten() {
            successors.push(self.successor(format!("home {holder} writes"), |state| {
                state.begin_write(holder);
            }));
            successors.push(self.successor(
                format!("home {holder} moves a result into a part"),
                |state| {
                    state.move_to_part(holder);
                },
            ));
        }
        if self.budget.ends > 0 {
            successors.push(self.successor(
                format!("the client ends the job at {holder}"),
                |state| {
                    state.budget.ends -= 1;
                    state.holders[holder].job.end();
                },
            ));
        }
    }
}

impl Model for JobModel {
    fn successors(&self) -> Vec<(String, Self)> {
        let mut successors = Vec::new();
        for holder in 0..self.holders.len() {
            self.add_holder_steps(holder, &mut successors);
        }
        for (index, write) in self.writes.iter().enumerate() {
            let name = format!("write {} of home {} reaches the store", write.number, write.holder);
            successors
                .push(self.successor(name.clone(), |state| state.deliver_write(index, false)));
            if self.budget.lost_answers > 0 {
                successors.push(self.successor(format!("{name}, its answer is lost"), |state| {
                    state.budget.lost_answers -= 1;
                    state.deliver_write(index, true);
                }));
            }
        }
        if self.budget.adoptions > 0 && self.status.as_ref().is_none_or(|status| !status.is_ended) {
            successors.push(self.successor("another home reads the record", |state| {
                state.budget.adoptions -= 1;
                state.start_adoption();
            }));
        }
        successors.retain(|(_, state)| state != self);
        successors
    }

    fn broken_invariant(&self) -> Option<&'static str> {
        self.broken_invariant
    }
}
