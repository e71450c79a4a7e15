//! Removes jobs whose results no longer have to be kept.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use store::Call;
use store::CallClass;
use store::StoreError;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::JobId;
use wire::Millis;

use crate::manager::JobHandle;
use crate::manager::JobManager;
use crate::manager::RecordUse;
use crate::record;
use crate::record::INPUT_KIND;
use crate::record::JOB_KIND;
use crate::record::JobRecord;
use crate::record::JobStatus;
use crate::record::RESULTS_KIND;
use crate::record::ResultPart;
use crate::sweep::CLEAN_INTERVAL_MS;

/// Jobs are kept longer than configured by the configured time divided by this, because a client may
/// be in the middle of its last read.
const MARGIN_DIVISOR: Millis = 2;
/// An ended job that this daemon did not remove is forgotten after this multiple of the time for
/// which jobs are kept, plus one clean-up interval.
const FORGET_FACTOR: Millis = 2;
/// How long the removal of one object is tried.
const REMOVE_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay after a failed removal.
const REMOVE_RETRY_DELAY: Duration = Duration::from_secs(10);

/// The ended jobs that no daemon holds, with the time at which this daemon first read each.
///
/// The submission time in their records is a wall-clock time, which may have jumped, so it is not
/// used. A daemon that newly becomes responsible for a range of records keeps them for the full
/// retention time again.
#[derive(Debug, Default)]
pub struct UnheldJobs {
    first_read_ms: HashMap<JobId, Millis>,
}

impl UnheldJobs {
    /// Notes that a job was read, and returns whether it has been kept for `keep_ms` since the first
    /// read. If so, the job is forgotten.
    pub fn observe(&mut self, now_ms: Millis, keep_ms: Millis, id: &JobId) -> bool {
        let first_read_ms = *self.first_read_ms.entry(id.clone()).or_insert(now_ms);
        let is_expired = now_ms >= first_read_ms + keep_ms;
        if is_expired {
            self.first_read_ms.remove(id);
        }
        is_expired
    }

    /// Forgets jobs that were first read more than `after_ms` ago; other daemons have removed them.
    pub fn forget(&mut self, now_ms: Millis, after_ms: Millis) {
        self.first_read_ms.retain(|_, first_read_ms| now_ms < *first_read_ms + after_ms);
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.first_read_ms.len()
    }

    /// Returns whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.first_read_ms.is_empty()
    }
}

impl JobManager {
    /// Forgets ended jobs that other daemons must have removed by now.
    pub(crate) fn forget_unheld(&self) {
        let after_ms = self.keep_ms() * FORGET_FACTOR + CLEAN_INTERVAL_MS;
        self.unheld_jobs.borrow_mut().forget(self.now_ms(), after_ms);
    }

    /// Starts the removal of finished jobs that have been kept for long enough.
    pub(crate) fn remove_expired(self: &Rc<Self>, handles: &[Rc<JobHandle>], now_ms: Millis) {
        for handle in handles {
            let is_expired = handle.job.borrow().is_removable(now_ms, self.keep_ms());
            if is_expired && let Some(record_use) = handle.use_record() {
                spawn_local(self.clone().remove(handle.clone(), record_use));
            }
        }
    }

    /// Removes the objects of an ended job that no daemon holds, if this daemon has known it for long
    /// enough.
    pub(crate) fn remove_unheld(
        self: &Rc<Self>,
        id: &JobId,
        record: &JobRecord,
        status: JobStatus,
    ) {
        let (now_ms, keep_ms) = (self.now_ms(), self.keep_ms());
        if !self.unheld_jobs.borrow_mut().observe(now_ms, keep_ms, id) {
            return;
        }
        let (manager, id, input_parts) = (self.clone(), id.clone(), record.input_parts);
        spawn_local(async move {
            if let Err(error) = manager.remove_objects(&id, input_parts, &status.result_parts).await
            {
                warn!("event=job_not_removed job={id} error=\"{error}\"");
            }
        });
    }

    fn keep_ms(&self) -> Millis {
        self.deps.keep_jobs_ms + self.deps.keep_jobs_ms / MARGIN_DIVISOR
    }

    async fn remove(self: Rc<Self>, handle: Rc<JobHandle>, record_use: RecordUse) {
        let (id, input_parts, result_parts) = {
            let job = handle.job.borrow();
            (job.id.clone(), job.input_parts, job.result_parts.clone())
        };
        match self.remove_objects(&id, input_parts, &result_parts).await {
            Ok(()) => {
                self.jobs.borrow_mut().remove(&id);
                self.forget_home(&id);
                record_use.retire();
            }
            Err(error) => {
                warn!("event=job_not_removed job={id} error=\"{error}\"");
                sleep(REMOVE_RETRY_DELAY).await;
            }
        }
    }

    /// Removes a job's objects, the record first, so that no record ever refers to missing parts.
    async fn remove_objects(
        &self,
        id: &JobId,
        input_parts: usize,
        result_parts: &[ResultPart],
    ) -> Result<(), StoreError> {
        let inputs = (0..input_parts).map(|part| record::input_part_name(id.as_str(), part));
        let inputs = inputs.map(|name| (INPUT_KIND, name));
        let mut parts = Vec::new();
        for part in result_parts {
            let fragments = self.fragment_count(part, REMOVE_TIMEOUT).await?;
            parts.extend((0..fragments).map(|number| record::fragment_name(&part.name, number)));
            parts.push(part.name.clone());
        }
        let results = parts.into_iter().map(|name| (RESULTS_KIND, name));
        let objects = std::iter::once((JOB_KIND, id.to_string())).chain(inputs).chain(results);
        for (kind, name) in objects {
            let call = Call::Remove { kind, name };
            self.deps.store.call_with_retries(CallClass::Status, &call, REMOVE_TIMEOUT).await?;
        }
        self.deps.counters.count("jobs_removed");
        info!("event=job_removed job={id}");
        Ok(())
    }
}
