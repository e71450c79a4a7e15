//! The model of a job's results on the platform's store: homes that race, lost answers, late writes.

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
/// The size of an object of the store, in bytes.
const MAX_OBJECT_BYTES: usize = 1 << 20;
/// No item fails for good or is given up.
const LIMITS: JobLimits =
    JobLimits { due_ms: 1_000_000, retention_ms: 1_000_000, max_attempts: 100 };

/// How often each fault may strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Further homes that take the job over, whether the earlier ones are gone or not.
    pub adoptions: u32,
    /// Answers that are lost after the write met the store.
    pub lost_answers: u32,
    /// Writes that their home gives up before they meet the store.
    pub late_writes: u32,
    /// Ends asked by the client.
    pub ends: u32,
}

/// A write of a status on its way to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    holder: usize,
    number: u32,
    expected: u64,
    status: JobStatus,
}

/// One daemon that is, wants to be, or was the job's home.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holder {
    job: Job,
    /// The number of the write that it waits for.
    waits_for: Option<u32>,
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
    broken: Option<&'static str>,
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
    /// The state after the first home has accepted a job of `items`.
    pub fn new(items_count: usize, budget: Budget, mutation: Option<Mutation>) -> Self {
        let mut job = Job::new("j".into(), "host", "/", 0, items(items_count), Vec::new());
        job.revision = 1;
        let first = Holder { job, waits_for: None, is_home: true, parts_written: 0 };
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
            broken: None,
        }
    }

    /// Returns the results that a status lists.
    fn results_of(&self, status: &JobStatus) -> Vec<ItemResult> {
        let parts = status.result_parts.iter();
        let parts = parts.filter_map(|part| self.parts.get(&part.name)).flatten();
        parts.chain(&status.results).cloned().collect()
    }

    fn recorded(&self) -> Vec<ItemResult> {
        self.status.as_ref().map(|status| self.results_of(status)).unwrap_or_default()
    }

    fn finish_item(&mut self, holder: usize) {
        let job = &mut self.holders[holder].job;
        let Some(next) = job.start_next(NOW_MS) else { return };
        // The text names the home, so that a result of another home is told apart.
        let text = format!("{} by {holder}", next.item.id);
        let output = Progress { text, events: 1, last_event: Some(1) };
        job.end_run(NOW_MS, next.index, ItemRunEnd::Completed, output, &LIMITS);
    }

    fn begin_write(&mut self, holder: usize) {
        let job = &self.holders[holder].job;
        let status = job.status(&home(holder), MAX_OBJECT_BYTES);
        let number = self.next_write;
        self.writes.push(Write { holder, number, expected: job.revision, status });
        self.next_write += 1;
        self.holders[holder].waits_for = Some(number);
    }

    fn spill(&mut self, holder: usize) {
        let inline = self.holders[holder].job.inline_results();
        let Some(first) = inline.first().cloned() else { return };
        let held = &mut self.holders[holder];
        let name = if self.mutation == Some(Mutation::PartsByPlace) {
            held.job.result_parts.len().to_string()
        } else {
            record::result_part_name("j", &home(holder), held.parts_written)
        };
        held.parts_written += 1;
        self.parts.insert(name.clone(), vec![first]);
        held.job.add_result_part(ResultPart { name, count: 1 });
    }

    fn read_record(&self) -> Job {
        let count = self.holders[0].job.total();
        let mut job = Job::read(NOW_MS, 0, "j".into(), "host", "/", items(count), self.recorded());
        job.apply_record(self.revision, self.status.as_ref());
        job
    }

    fn adopt(&mut self) {
        let job = self.read_record();
        self.holders.push(Holder { job, waits_for: None, is_home: false, parts_written: 0 });
        self.begin_write(self.holders.len() - 1);
    }

    /// A write meets the store; its home learns of it unless it gave up or the answer is lost.
    fn meet(&mut self, write: usize, is_answer_lost: bool) {
        let write = self.writes.remove(write);
        let is_conditional = self.mutation != Some(Mutation::UnconditionalStatus);
        let reply = if write.expected == self.revision || !is_conditional {
            self.apply(write.status.clone());
            StatusWriteReply::Applied(self.revision)
        } else {
            let found = self.status.clone().unwrap_or_else(|| JobStatus {
                home: home(0),
                is_ended: false,
                result_parts: Vec::new(),
                results: Vec::new(),
                progress: Vec::new(),
            });
            StatusWriteReply::Conflict(self.revision, Box::new(found))
        };
        let held = &mut self.holders[write.holder];
        if held.waits_for != Some(write.number) {
            return;
        }
        held.waits_for = None;
        if is_answer_lost {
            return;
        }
        match held.job.apply_write_reply(NOW_MS, &home(write.holder), &write.status, reply) {
            StatusWriteOutcome::Written => {
                held.is_home = true;
                self.is_end_acknowledged |= held.job.is_ended && !held.job.has_unwritten();
            }
            StatusWriteOutcome::Deposed(_) => held.is_home = false,
        }
    }

    fn apply(&mut self, status: JobStatus) {
        let before = self.recorded();
        self.revision += 1;
        self.status = Some(status);
        if !self.recorded().starts_with(&before) {
            self.broken = Some("a result that was written keeps its position and content");
        }
    }

    fn look(&mut self) {
        let recorded = self.recorded();
        let is_listed_once = |result: &ItemResult| {
            recorded.iter().filter(|other| other.item == result.item).count() == 1
        };
        if !recorded.iter().all(is_listed_once) {
            self.broken = Some("an item is listed once");
        }
        let is_whole = self.status.as_ref().is_none_or(|status| recorded.len() == status.count());
        if !is_whole {
            self.broken = Some("every part of the results is there and whole");
        }
        let is_early = self.mutation == Some(Mutation::ShownBeforeWritten);
        for held in self.holders.iter().filter(|held| held.is_home) {
            let shown =
                if is_early { held.job.results() } else { held.job.written_results().to_vec() };
            if !recorded.starts_with(&shown) {
                self.broken = Some("what a home shows is in the record at the same position");
            }
        }
        let is_ended = self.status.as_ref().is_some_and(|status| status.is_ended);
        if self.is_end_acknowledged && !is_ended {
            self.broken = Some("a job whose end was acknowledged stays ended");
        }
    }

    fn successor(&self, step: impl Into<String>, change: impl FnOnce(&mut Self)) -> (String, Self) {
        let mut next = self.clone();
        change(&mut next);
        next.look();
        (step.into(), next)
    }

    fn holder_steps(&self, holder: usize, next: &mut Vec<(String, Self)>) {
        let held = &self.holders[holder];
        if held.waits_for.is_some() {
            if self.budget.late_writes > 0 {
                next.push(self.successor(format!("home {holder} gives a write up"), |state| {
                    state.budget.late_writes -= 1;
                    state.holders[holder].waits_for = None;
                }));
            }
            return;
        }
        if !held.is_home {
            let named = self.status.as_ref().map(|status| &status.home);
            if named == Some(&home(holder)) {
                next.push(self.successor(format!("home {holder} reads its claim"), |state| {
                    state.holders[holder].job = state.read_record();
                    state.begin_write(holder);
                }));
            }
            return;
        }
        next.push(self.successor(format!("home {holder} finishes an item"), |state| {
            state.finish_item(holder);
        }));
        if held.job.has_unwritten() {
            next.push(self.successor(format!("home {holder} writes"), |state| {
                state.begin_write(holder);
            }));
            next.push(self.successor(
                format!("home {holder} moves a result into a part"),
                |state| {
                    state.spill(holder);
                },
            ));
        }
        if self.budget.ends > 0 {
            next.push(self.successor(format!("the client ends the job at {holder}"), |state| {
                state.budget.ends -= 1;
                state.holders[holder].job.end();
            }));
        }
    }
}

impl Model for JobModel {
    fn next(&self) -> Vec<(String, Self)> {
        let mut next = Vec::new();
        for holder in 0..self.holders.len() {
            self.holder_steps(holder, &mut next);
        }
        for (index, write) in self.writes.iter().enumerate() {
            let name = format!("write {} of home {} meets the store", write.number, write.holder);
            next.push(self.successor(name.clone(), |state| state.meet(index, false)));
            if self.budget.lost_answers > 0 {
                next.push(self.successor(format!("{name}, its answer is lost"), |state| {
                    state.budget.lost_answers -= 1;
                    state.meet(index, true);
                }));
            }
        }
        if self.budget.adoptions > 0 && self.status.as_ref().is_none_or(|status| !status.is_ended) {
            next.push(self.successor("another home reads the record", |state| {
                state.budget.adoptions -= 1;
                state.adopt();
            }));
        }
        next.retain(|(_, state)| state != self);
        next
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
    }
}
