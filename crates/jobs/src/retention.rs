//! Removes jobs whose results need not be kept any longer.

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

use crate::board::Board;
use crate::board::JobCell;
use crate::record;
use crate::record::INPUT_KIND;
use crate::record::JOB_KIND;
use crate::record::JobRecord;
use crate::record::JobStatus;
use crate::record::RESULTS_KIND;
use crate::record::ResultPart;
use crate::sweep::CLEAN_EVERY_MS;

/// How much longer than asked jobs are kept, as a part of the time asked: a client may be in the
/// middle of its last read.
const MARGIN_PARTS: Millis = 2;
/// After how many times the time that jobs are kept, and one turn of the records, an ended job is
/// forgotten that was not removed here.
const FORGET_PARTS: Millis = 2;
/// How long one removal is tried.
const PATIENCE: Duration = Duration::from_secs(5);
/// The pause after a removal that failed.
const FAILED_PAUSE: Duration = Duration::from_secs(10);

/// The ended jobs that no daemon holds, and since when this one knows them.
///
/// Their records tell the time of day at which they were handed in; clocks jump, so it decides
/// nothing. A daemon that begins to read a range of records keeps them for the whole time anew.
#[derive(Debug, Default)]
pub struct Unheld {
    since_ms: HashMap<JobId, Millis>,
}

impl Unheld {
    /// Notes that a job was read, and returns whether it was kept for `kept_ms` since the first
    /// time; it is forgotten then.
    pub fn is_kept_long_enough(&mut self, now_ms: Millis, kept_ms: Millis, id: &JobId) -> bool {
        let since_ms = *self.since_ms.entry(id.clone()).or_insert(now_ms);
        let is_old = now_ms >= since_ms + kept_ms;
        if is_old {
            self.since_ms.remove(id);
        }
        is_old
    }

    /// Forgets jobs that were first read too long ago: other daemons have removed them.
    pub fn forget(&mut self, now_ms: Millis, after_ms: Millis) {
        self.since_ms.retain(|_, since_ms| now_ms < *since_ms + after_ms);
    }

    /// Returns the number of jobs that are remembered.
    pub fn len(&self) -> usize {
        self.since_ms.len()
    }

    /// Returns whether no job is remembered.
    pub fn is_empty(&self) -> bool {
        self.since_ms.is_empty()
    }
}

impl Board {
    /// Forgets ended jobs that other daemons must have removed by now.
    pub(crate) fn forget_unheld(&self) {
        let after_ms = self.kept_ms() * FORGET_PARTS + CLEAN_EVERY_MS;
        self.unheld.borrow_mut().forget(self.now_ms(), after_ms);
    }

    /// Starts the removal of jobs that are over and have been kept for long enough.
    pub(crate) fn remove_old(self: &Rc<Self>, cells: &[Rc<JobCell>], now_ms: Millis) {
        for cell in cells {
            let is_old = cell.job.borrow().is_kept_long_enough(now_ms, self.kept_ms());
            if is_old && !cell.is_saving.replace(true) {
                spawn_local(self.clone().remove(cell.clone()));
            }
        }
    }

    /// Removes the record of an ended job that no daemon holds, if this one has known it for long
    /// enough.
    pub(crate) fn remove_unheld(
        self: &Rc<Self>,
        id: &JobId,
        record: &JobRecord,
        status: JobStatus,
    ) {
        let (now_ms, kept_ms) = (self.now_ms(), self.kept_ms());
        if !self.unheld.borrow_mut().is_kept_long_enough(now_ms, kept_ms, id) {
            return;
        }
        let (board, id, input_parts) = (self.clone(), id.clone(), record.input_parts);
        spawn_local(async move {
            if let Err(error) = board.remove_objects(&id, input_parts, &status.result_parts).await {
                warn!("event=job_not_removed job={id} error=\"{error}\"");
            }
        });
    }

    fn kept_ms(&self) -> Millis {
        self.parts.keep_jobs_ms + self.parts.keep_jobs_ms / MARGIN_PARTS
    }

    async fn remove(self: Rc<Self>, cell: Rc<JobCell>) {
        let (id, input_parts, result_parts) = {
            let job = cell.job.borrow();
            (job.id.clone(), job.input_parts, job.result_parts.clone())
        };
        match self.remove_objects(&id, input_parts, &result_parts).await {
            Ok(()) => {
                self.jobs.borrow_mut().remove(&id);
                self.unlearn(&id);
            }
            Err(error) => {
                warn!("event=job_not_removed job={id} error=\"{error}\"");
                sleep(FAILED_PAUSE).await;
                cell.is_saving.set(false);
            }
        }
    }

    /// Removes the record first, so that no record ever lacks its parts.
    async fn remove_objects(
        &self,
        id: &JobId,
        input_parts: usize,
        result_parts: &[ResultPart],
    ) -> Result<(), StoreError> {
        let inputs = (0..input_parts).map(|part| record::input_part_name(id.as_str(), part));
        let inputs = inputs.map(|name| (INPUT_KIND, name));
        let results = result_parts.iter().map(|part| (RESULTS_KIND, part.name.clone()));
        let objects = std::iter::once((JOB_KIND, id.to_string())).chain(inputs).chain(results);
        for (kind, name) in objects {
            let call = Call::Remove { kind, name };
            self.parts.store.until(CallClass::Status, &call, PATIENCE).await?;
        }
        self.parts.counters.count("jobs_removed");
        info!("event=job_removed job={id}");
        Ok(())
    }
}
