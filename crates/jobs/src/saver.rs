//! Writes results into a job's record, in groups, under the condition of its revision.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use store::Call;
use store::CallClass;
use store::Reply;
use store::StoreError;
use wire::JobId;

use crate::board::Board;
use crate::board::JobCell;
use crate::item::Listed;
use crate::job::Job;
use crate::record;
use crate::record::JOB_KIND;
use crate::record::JobStatus;
use crate::record::RESULTS_KIND;

/// How long one write is tried before its content is made anew.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);
/// The pause after a write that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(150);

/// How a write ended.
enum Written {
    Yes,
    Deposed,
    Failed(StoreError),
}

impl Board {
    /// Writes what is not written yet, until nothing is left or the job has another home.
    pub async fn save(self: Rc<Self>, cell: Rc<JobCell>) {
        if cell.is_saving.replace(true) {
            return;
        }
        let id = cell.job.borrow().id.clone();
        while !cell.is_deposed.get() {
            match self.save_once(&id, &cell).await {
                Written::Yes => {
                    cell.changed.notify_waiters();
                    if !cell.job.borrow().has_unsaved() {
                        break;
                    }
                }
                Written::Deposed => break,
                Written::Failed(error) => {
                    warn!("event=results_not_written job={id} error=\"{error}\"");
                    tokio::time::sleep(FAILED_PAUSE).await;
                }
            }
        }
        cell.is_saving.set(false);
    }

    /// Returns a job's status with this daemon as its home and `inline` as the results beside the
    /// parts.
    pub(crate) fn status_of(&self, job: &Job, inline: Vec<Listed>) -> JobStatus {
        JobStatus {
            home: self.own.clone(),
            is_ended: job.is_ended,
            result_parts: job.result_parts,
            results: inline,
            progress: job.saved_progress(record::progress_room(self.parts.max_object_bytes)),
        }
    }

    async fn save_once(&self, id: &JobId, cell: &JobCell) -> Written {
        if let Err(error) = self.spill(id, cell).await {
            return Written::Failed(error);
        }
        let (status, count, spilled, revision) = {
            let job = cell.job.borrow();
            let results = job.results();
            let status = self.status_of(&job, results[job.spilled.min(results.len())..].to_vec());
            (status, results.len(), job.spilled, job.revision)
        };
        let body = match record::to_json(&status) {
            Ok(body) => body,
            Err(error) => return Written::Failed(malformed(id, error.message)),
        };
        let call = Call::SetStatus {
            kind: JOB_KIND,
            name: id.to_string(),
            revision: Some(revision),
            status: body,
        };
        match self.parts.store.until(CallClass::Ledger, &call, WRITE_PATIENCE).await {
            Ok(Reply::Object(object)) => {
                let now_ms = self.now_ms();
                let mut job = cell.job.borrow_mut();
                job.saved(now_ms, object.revision, count, status.is_ended);
                if job.is_over() {
                    let age_ms = (now_ms as i64 - job.submitted_ms).max(0);
                    self.parts.counters.observe("job_ms", age_ms as u64);
                }
                info!(
                    "event=results_written job={id} listed={} total={} revision={} ended={}",
                    job.listed().len(),
                    job.total(),
                    job.revision,
                    job.is_ended
                );
                Written::Yes
            }
            Ok(Reply::Conflict(Some(object))) => {
                let found = JobStatus::decode(&object.status).ok();
                match found {
                    // A write whose answer was lost took effect.
                    Some(found) if found.home == self.own => {
                        let now_ms = self.now_ms();
                        let count = spilled + found.results.len();
                        let mut job = cell.job.borrow_mut();
                        job.saved(now_ms, object.revision, count, found.is_ended);
                        Written::Yes
                    }
                    found => {
                        self.drop_job(id, found.map(|found| found.home).as_ref());
                        Written::Deposed
                    }
                }
            }
            Ok(Reply::Absent) => {
                self.drop_job(id, None);
                Written::Deposed
            }
            Ok(_) => Written::Failed(StoreError::Conflict),
            Err(error) => Written::Failed(error),
        }
    }

    /// Moves the first results into a part of their own if the record has no room for all.
    async fn spill(&self, id: &JobId, cell: &JobCell) -> Result<(), StoreError> {
        loop {
            let (part, moved): (usize, Vec<Listed>) = {
                let job = cell.job.borrow();
                let results = job.results();
                let inline = &results[job.spilled.min(results.len())..];
                let count = record::overflow(inline, job.value_bytes, self.parts.max_object_bytes);
                (job.result_parts, inline[..count].to_vec())
            };
            if moved.is_empty() {
                return Ok(());
            }
            let value = record::to_json(&moved).map_err(|error| malformed(id, error.message))?;
            let name = record::part_name(id.as_str(), part);
            let call = Call::Replace { kind: RESULTS_KIND, name, revision: None, value };
            self.write_part(call).await?;
            let mut job = cell.job.borrow_mut();
            job.result_parts = part + 1;
            job.spilled += moved.len();
        }
    }

    /// Writes a part; one that exists from an earlier try is replaced.
    pub(crate) async fn write_part(&self, call: Call) -> Result<(), StoreError> {
        let Call::Replace { kind, name, value, .. } = &call else { return Ok(()) };
        let create = Call::Create { kind, name: name.clone(), value: value.clone() };
        match self.parts.store.until(CallClass::Ledger, &create, WRITE_PATIENCE).await? {
            Reply::Conflict(_) => {
                self.parts.store.until(CallClass::Ledger, &call, WRITE_PATIENCE).await.map(|_| ())
            }
            _ => Ok(()),
        }
    }
}

fn malformed(id: &JobId, message: String) -> StoreError {
    StoreError::Malformed { key: id.to_string(), message }
}
