//! What a home writes into a job's record, and what the store's answer to a write means.
//!
//! Every write of a status names the revision that the home knows, so that a home that was replaced
//! cannot write any more. An answer may be lost after the write took effect, and a write may take
//! effect seconds after its home gave it up; then the next one meets the home's own earlier status.

use wire::Millis;

use crate::item::Listed;
use crate::job::Job;
use crate::record;
use crate::record::Home;
use crate::record::JobStatus;
use crate::record::ResultPart;

/// How the store met a write of a job's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Met {
    /// It took effect and made this revision.
    Applied(u64),
    /// The record had another revision, and this status.
    Conflict(u64, Box<JobStatus>),
    /// There is no such record, or its status cannot be read.
    Lost,
}

/// What a write led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteEnd {
    /// The record holds results of this home.
    Written,
    /// The job has another home, if one is known.
    Deposed(Option<Home>),
}

impl Job {
    /// Returns the status that `home` should write into a record of `max_object_bytes`.
    pub fn status(&self, home: &Home, max_object_bytes: usize) -> JobStatus {
        JobStatus {
            home: home.clone(),
            is_ended: self.is_ended,
            result_parts: self.result_parts.clone(),
            results: self.inline_results(),
            progress: self.saved_progress(record::progress_room(max_object_bytes)),
        }
    }

    /// Returns the results that lie in no part.
    pub fn inline_results(&self) -> Vec<Listed> {
        let mut results = self.results();
        let in_parts = record::count_in_parts(&self.result_parts).min(results.len());
        results.split_off(in_parts)
    }

    /// Takes the answer to a write of `written` by `home`.
    pub fn write_met(
        &mut self,
        now_ms: Millis,
        home: &Home,
        written: &JobStatus,
        met: Met,
    ) -> WriteEnd {
        match met {
            Met::Applied(revision) => {
                self.saved(now_ms, revision, written.count(), written.is_ended);
                WriteEnd::Written
            }
            // An earlier write of this home took effect without its answer.
            Met::Conflict(revision, found) if found.home == *home => {
                self.saved(now_ms, revision, found.count(), found.is_ended);
                WriteEnd::Written
            }
            Met::Conflict(_, found) => WriteEnd::Deposed(Some(found.home)),
            Met::Lost => WriteEnd::Deposed(None),
        }
    }

    /// Takes the revision and status of the record from which the job was read.
    pub fn take_record(&mut self, revision: u64, status: Option<&JobStatus>) {
        self.revision = revision;
        if let Some(status) = status {
            self.result_parts.clone_from(&status.result_parts);
            self.is_ended = status.is_ended;
            self.restore(status.progress.clone());
        }
    }

    /// Notes that the first results beside the parts lie in a further part.
    pub fn spilled(&mut self, part: ResultPart) {
        self.result_parts.push(part);
    }
}
