//! Builds the status that a home writes into a job's record, and applies the store's replies.
//!
//! Every status write is conditional on the revision that the home knows, so that a replaced home
//! can no longer write. The reply may be lost after the write took effect, and a write may take
//! effect seconds after its home abandoned it; the next write then conflicts with the home's own
//! earlier status.

use wire::Millis;

use crate::item::ItemResult;
use crate::job::Job;
use crate::record;
use crate::record::Home;
use crate::record::JobStatus;
use crate::record::ResultPart;

/// The store's reply to a status write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusWriteReply {
    /// The write took effect and created this revision.
    Applied(u64),
    /// The record has another revision, with this status.
    Conflict(u64, Box<JobStatus>),
    /// The record does not exist, or its status cannot be decoded.
    RecordLost,
}

/// The effect of a status write on the writing home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusWriteOutcome {
    /// The record holds a status of this home.
    Written,
    /// This daemon is no longer the home; names the new one if it is known.
    Deposed(Option<Home>),
}

impl Job {
    /// Returns the status that `home` writes into a record of at most `max_object_bytes`.
    pub fn status(&self, home: &Home, max_object_bytes: usize) -> JobStatus {
        JobStatus {
            home: home.clone(),
            is_ended: self.is_ended,
            result_parts: self.result_parts.clone(),
            results: self.inline_results(),
            progress: self.saved_progress(record::max_progress_bytes(max_object_bytes)),
        }
    }

    /// Returns the results that are stored in the status itself instead of in a part.
    pub fn inline_results(&self) -> Vec<ItemResult> {
        let mut results = self.results();
        let in_parts = record::count_in_parts(&self.result_parts).min(results.len());
        results.split_off(in_parts)
    }

    /// Applies the reply to the write of `written` by `home`.
    pub fn apply_write_reply(
        &mut self,
        now_ms: Millis,
        home: &Home,
        written: &JobStatus,
        reply: StatusWriteReply,
    ) -> StatusWriteOutcome {
        match reply {
            StatusWriteReply::Applied(revision) => {
                self.mark_written(now_ms, revision, written.result_count(), written.is_ended);
                StatusWriteOutcome::Written
            }
            // An earlier write of this home took effect, but its reply was lost.
            StatusWriteReply::Conflict(revision, found) if found.home == *home => {
                self.mark_written(now_ms, revision, found.result_count(), found.is_ended);
                StatusWriteOutcome::Written
            }
            StatusWriteReply::Conflict(_, found) => StatusWriteOutcome::Deposed(Some(found.home)),
            StatusWriteReply::RecordLost => StatusWriteOutcome::Deposed(None),
        }
    }

    /// Applies the revision and status of the record from which the job was read.
    pub fn apply_record(&mut self, revision: u64, status: Option<&JobStatus>) {
        self.revision = revision;
        if let Some(status) = status {
            self.result_parts.clone_from(&status.result_parts);
            self.is_ended = status.is_ended;
            self.restore_progress(status.progress.clone());
        }
        self.release_inputs();
    }

    /// Adds a part that holds the first results of those outside the existing parts.
    pub fn add_result_part(&mut self, part: ResultPart) {
        self.result_parts.push(part);
    }
}
