//! Writes results into a job's record, in groups, conditional on the record's revision.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;
use serde::Serialize;
use store::Call;
use store::CallClass;
use store::Reply;
use store::StoreError;
use wire::JobId;
use wire::Millis;

use crate::item::ItemResult;
use crate::job::Job;
use crate::manager::JobHandle;
use crate::manager::JobManager;
use crate::record;
use crate::record::JOB_KIND;
use crate::record::JobStatus;
use crate::record::RESULTS_KIND;
use crate::record::ResultPart;
use crate::record::ResultsObject;
use crate::status::StatusWriteOutcome;
use crate::status::StatusWriteReply;

/// How long one write is tried before it is rebuilt from the current state of the job.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay after a failed write.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The result of one attempt to write a job's status.
enum StatusWrite {
    Written,
    /// This daemon is no longer the home of the job.
    Deposed,
    Failed(StoreError),
}

impl JobManager {
    /// Writes the job's status until nothing is left to write or the job has another home; does
    /// nothing while another task uses the record.
    pub async fn write_results(self: Rc<Self>, handle: Rc<JobHandle>) {
        let Some(_record_use) = handle.use_record() else { return };
        let id = handle.job.borrow().id.clone();
        while !handle.is_deposed.get() {
            match self.write_status(&id, &handle).await {
                StatusWrite::Written => {
                    handle.changed.notify_waiters();
                    if !handle.job.borrow().has_unwritten() {
                        break;
                    }
                }
                StatusWrite::Deposed => break,
                StatusWrite::Failed(error) => {
                    if matches!(error, StoreError::TooLarge { .. }) {
                        handle.record_oversized_write();
                        self.deps.counters.count("job_objects_too_large");
                    }
                    warn!(
                        "event=results_not_written job={id} listed={} max_object_bytes={} \
                         error=\"{error}\"",
                        handle.job.borrow().written_results().len(),
                        handle.max_object_bytes(self.deps.max_object_bytes)
                    );
                    tokio::time::sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn write_status(&self, id: &JobId, handle: &JobHandle) -> StatusWrite {
        if let Err(error) = self.spill(id, handle).await {
            return StatusWrite::Failed(error);
        }
        let started_ms = self.now_ms();
        let max_bytes = handle.max_object_bytes(self.deps.max_object_bytes);
        let (status, revision) = {
            let mut job = handle.job.borrow_mut();
            job.begin_write(started_ms);
            (job.status(&self.own_home, max_bytes), job.revision)
        };
        let call = match status_call(id, revision, &status) {
            Ok(call) => call,
            Err(error) => return StatusWrite::Failed(error),
        };
        let reply = match self
            .deps
            .store
            .call_with_retries(CallClass::Ledger, &call, WRITE_TIMEOUT)
            .await
        {
            Ok(Reply::Object(object)) => StatusWriteReply::Applied(object.revision),
            Ok(Reply::Conflict(Some(object))) => match JobStatus::decode(&object.status) {
                Ok(found) => StatusWriteReply::Conflict(object.revision, Box::new(found)),
                Err(error) => {
                    warn!("event=job_record_malformed job={id} error=\"{error}\"");
                    StatusWriteReply::RecordLost
                }
            },
            Ok(Reply::Absent) => StatusWriteReply::RecordLost,
            Ok(_) => return StatusWrite::Failed(StoreError::Conflict),
            Err(error) => return StatusWrite::Failed(error),
        };
        let now_ms = self.now_ms();
        let outcome =
            handle.job.borrow_mut().apply_write_reply(now_ms, &self.own_home, &status, reply);
        match outcome {
            StatusWriteOutcome::Written => {
                // Listed items have released their inputs, which new jobs may need at once.
                handle.measure();
                self.log_written(&handle.job.borrow(), now_ms, now_ms.saturating_sub(started_ms));
                StatusWrite::Written
            }
            StatusWriteOutcome::Deposed(home) => {
                self.drop_deposed_job(id, home.as_ref());
                StatusWrite::Deposed
            }
        }
    }

    fn log_written(&self, job: &Job, now_ms: Millis, took_ms: Millis) {
        if job.is_finished() {
            let age_ms = (now_ms as i64).saturating_sub(job.submitted_ms).max(0);
            self.deps.counters.observe("job_ms", age_ms as u64);
        }
        info!(
            "event=results_written job={} listed={} total={} revision={} ended={} took_ms={took_ms}",
            job.id,
            job.written_results().len(),
            job.total(),
            job.revision,
            job.is_ended
        );
    }

    /// Moves the first results into parts for as long as the record has no room for all.
    async fn spill(&self, id: &JobId, handle: &JobHandle) -> Result<(), StoreError> {
        let max_bytes = handle.max_object_bytes(self.deps.max_object_bytes);
        loop {
            let moved: Vec<ItemResult> = {
                let job = handle.job.borrow();
                let mut inline = job.inline_results();
                inline.truncate(record::overflow_count(&inline, job.value_bytes, max_bytes));
                inline
            };
            if moved.is_empty() {
                return Ok(());
            }
            let number = self.next_result_part.replace(self.next_result_part.get() + 1);
            let name = record::result_part_name(id.as_str(), &self.own_home, number);
            let count = moved.len();
            let mut object = ResultsObject::Results(moved);
            let mut value = encode_part(id, &object)?;
            if let ResultsObject::Results(moved) = &object
                && let [result] = moved.as_slice()
                && value.len() > record::max_part_bytes(max_bytes)
            {
                object = self.write_fragments(id, &name, result, max_bytes).await?;
                value = encode_part(id, &object)?;
            }
            self.write_part(RESULTS_KIND, name.clone(), value).await?;
            handle.job.borrow_mut().add_result_part(ResultPart { name, count });
        }
    }

    /// Writes a result that is too large for an object into several; returns the part's value.
    async fn write_fragments(
        &self,
        id: &JobId,
        part: &str,
        result: &ItemResult,
        max_object_bytes: usize,
    ) -> Result<ResultsObject, StoreError> {
        let text = record::encode_result(result).map_err(|error| malformed(id, error.message))?;
        let fragments = record::split_text(&text, max_object_bytes);
        for (number, fragment) in fragments.iter().enumerate() {
            let name = record::fragment_name(part, number);
            self.write_part(RESULTS_KIND, name, encode_part(id, fragment)?).await?;
        }
        Ok(ResultsObject::Split { fragments: fragments.len() })
    }

    /// Writes a part; one that exists already has the same content, from an earlier attempt.
    pub(crate) async fn write_part(
        &self,
        kind: &'static str,
        name: String,
        value: Bytes,
    ) -> Result<(), StoreError> {
        let call = Call::Create { kind, name, value };
        self.deps.store.call_with_retries(CallClass::Ledger, &call, WRITE_TIMEOUT).await.map(|_| ())
    }
}

/// Returns the call that writes a job's status on the condition that its record has `revision`.
pub(crate) fn status_call(
    id: &JobId,
    revision: u64,
    status: &JobStatus,
) -> Result<Call, StoreError> {
    let status = record::to_json(status).map_err(|error| malformed(id, error.message))?;
    Ok(Call::SetStatus { kind: JOB_KIND, name: id.to_string(), revision: Some(revision), status })
}

fn encode_part<T: Serialize>(id: &JobId, value: &T) -> Result<Bytes, StoreError> {
    record::to_json(value).map_err(|error| malformed(id, error.message))
}

pub(crate) fn malformed(id: &JobId, message: String) -> StoreError {
    StoreError::Malformed { key: id.to_string(), message }
}
