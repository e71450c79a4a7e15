//! Removes jobs whose results need not be kept any longer.

use std::rc::Rc;
use std::time::Duration;

use kernel::Clock;
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

/// How much longer than asked jobs are kept, as a part of the time asked: the time of day may jump
/// by seconds, and a client may be in the middle of its last read.
const MARGIN_PARTS: Millis = 2;
/// How long one removal is tried.
const PATIENCE: Duration = Duration::from_secs(5);
/// The pause after a removal that failed.
const FAILED_PAUSE: Duration = Duration::from_secs(10);

impl Board {
    /// Starts the removal of jobs that are over and have been kept for long enough.
    pub(crate) fn remove_old(self: &Rc<Self>, cells: &[Rc<JobCell>], now_ms: Millis) {
        for cell in cells {
            let is_old = {
                let job = cell.job.borrow();
                let age_ms = now_ms as i64 - job.submitted_ms;
                job.is_over() && age_ms >= self.kept_ms() as i64
            };
            if is_old && !cell.is_saving.replace(true) {
                spawn_local(self.clone().remove(cell.clone()));
            }
        }
    }

    /// Removes the record of an ended job that no daemon holds, if it is old.
    pub(crate) fn remove_unheld(
        self: &Rc<Self>,
        id: &JobId,
        record: &JobRecord,
        status: JobStatus,
    ) {
        let age_ms = Clock::unix_ms().saturating_sub(record.submitted_unix_ms);
        if age_ms < self.kept_ms() {
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
