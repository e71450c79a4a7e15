//! Writes results into a job's record, in groups, under the condition of its revision.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;
use store::Call;
use store::CallClass;
use store::Reply;
use store::StoreError;
use wire::JobId;
use wire::Millis;

use crate::board::Board;
use crate::board::JobCell;
use crate::item::Listed;
use crate::job::Job;
use crate::ledger::Met;
use crate::ledger::WriteEnd;
use crate::record;
use crate::record::JOB_KIND;
use crate::record::JobStatus;
use crate::record::RESULTS_KIND;
use crate::record::ResultPart;

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

    async fn save_once(&self, id: &JobId, cell: &JobCell) -> Written {
        if let Err(error) = self.spill(id, cell).await {
            return Written::Failed(error);
        }
        let (status, revision) = {
            let job = cell.job.borrow();
            (job.status(&self.own, self.parts.max_object_bytes), job.revision)
        };
        let call = match status_call(id, revision, &status) {
            Ok(call) => call,
            Err(error) => return Written::Failed(error),
        };
        let met = match self.parts.store.until(CallClass::Ledger, &call, WRITE_PATIENCE).await {
            Ok(Reply::Object(object)) => Met::Applied(object.revision),
            Ok(Reply::Conflict(Some(object))) => match JobStatus::decode(&object.status) {
                Ok(found) => Met::Conflict(object.revision, Box::new(found)),
                Err(error) => {
                    warn!("event=job_record_malformed job={id} error=\"{error}\"");
                    Met::Lost
                }
            },
            Ok(Reply::Absent) => Met::Lost,
            Ok(_) => return Written::Failed(StoreError::Conflict),
            Err(error) => return Written::Failed(error),
        };
        let now_ms = self.now_ms();
        let end = cell.job.borrow_mut().write_met(now_ms, &self.own, &status, met);
        match end {
            WriteEnd::Written => {
                self.note_written(&cell.job.borrow(), now_ms);
                Written::Yes
            }
            WriteEnd::Deposed(home) => {
                self.drop_job(id, home.as_ref());
                Written::Deposed
            }
        }
    }

    fn note_written(&self, job: &Job, now_ms: Millis) {
        if job.is_over() {
            let age_ms = (now_ms as i64 - job.submitted_ms).max(0);
            self.parts.counters.observe("job_ms", age_ms as u64);
        }
        info!(
            "event=results_written job={} listed={} total={} revision={} ended={}",
            job.id,
            job.listed().len(),
            job.total(),
            job.revision,
            job.is_ended
        );
    }

    /// Moves the first results into a part of their own if the record has no room for all.
    async fn spill(&self, id: &JobId, cell: &JobCell) -> Result<(), StoreError> {
        loop {
            let moved: Vec<Listed> = {
                let job = cell.job.borrow();
                let mut inline = job.inline_results();
                let max_bytes = self.parts.max_object_bytes;
                inline.truncate(record::overflow(&inline, job.value_bytes, max_bytes));
                inline
            };
            if moved.is_empty() {
                return Ok(());
            }
            let value = record::to_json(&moved).map_err(|error| malformed(id, error.message))?;
            let number = self.next_part.replace(self.next_part.get() + 1);
            let name = record::result_part_name(id.as_str(), &self.own, number);
            self.write_part(RESULTS_KIND, name.clone(), value).await?;
            cell.job.borrow_mut().spilled(ResultPart { name, count: moved.len() });
        }
    }

    /// Writes a part; one that exists has the same content, from an earlier try.
    pub(crate) async fn write_part(
        &self,
        kind: &'static str,
        name: String,
        value: Bytes,
    ) -> Result<(), StoreError> {
        let call = Call::Create { kind, name, value };
        self.parts.store.until(CallClass::Ledger, &call, WRITE_PATIENCE).await.map(|_| ())
    }
}

/// Returns the call that writes a job's status under the condition of a revision.
pub(crate) fn status_call(
    id: &JobId,
    revision: u64,
    status: &JobStatus,
) -> Result<Call, StoreError> {
    let status = record::to_json(status).map_err(|error| malformed(id, error.message))?;
    Ok(Call::SetStatus { kind: JOB_KIND, name: id.to_string(), revision: Some(revision), status })
}

pub(crate) fn malformed(id: &JobId, message: String) -> StoreError {
    StoreError::Malformed { key: id.to_string(), message }
}
