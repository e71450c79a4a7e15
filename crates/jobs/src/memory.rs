//! The memory of jobs and of the answers about them.

use std::rc::Rc;

use budget::Kind;
use budget::Reservation;
use bytes::Bytes;
use log::info;
use wire::JobId;
use wire::Millis;
use wire::Reason;
use wire::Refusal;

use crate::job::Job;
use crate::manager::JobHandle;
use crate::manager::JobManager;

/// What a submission takes in addition to its body while it is decoded, encoded and stored, as a
/// multiple of the body. Base64 texts take up to the body's size, the decoded bodies and the input up
/// to twice that; the texts are dropped before the input is encoded.
const SUBMISSION_FACTOR: usize = 2;
/// What an item and its result take beside their texts, in bytes.
const ITEM_BYTES: usize = 512;
/// The interval at which the sizes of jobs are brought up to date; items run for seconds.
const MEASURE_INTERVAL_MS: Millis = 1_000;
/// The largest answer about a job that is not counted, so that ordinary polls are answered while slow
/// readers use the limit up. A connection's buffers take as much.
const UNCOUNTED_ANSWER_BYTES: usize = 4 << 10;
/// The retry delay sent to a client whose job does not fit into the memory for jobs.
const RETRY_AFTER_MS: Millis = 800;

impl Job {
    /// Returns about how many bytes the job holds in memory.
    pub fn held_bytes(&self) -> usize {
        let items = self.items_held_bytes();
        let results = self.results_held_bytes();
        (items + results).saturating_add(self.total().saturating_mul(ITEM_BYTES))
    }
}

impl JobManager {
    /// Reserves the memory in which a submission is decoded and stored.
    pub(crate) fn reserve_submission(
        &self,
        id: &JobId,
        body_bytes: usize,
    ) -> Result<Reservation, Refusal> {
        let budget = &self.deps.budget;
        let mut reservation = budget.reserve(Kind::Jobs);
        let wanted_bytes = body_bytes.saturating_mul(SUBMISSION_FACTOR);
        if reservation.resize(wanted_bytes).is_ok() {
            return Ok(reservation);
        }
        let held_bytes = budget.used_bytes(Kind::Jobs);
        info!(
            "event=job_without_memory job={id} wanted_bytes={wanted_bytes} jobs_held_bytes={held_bytes} \
             held_bytes={}",
            budget.total_used_bytes()
        );
        let message = "the memory for jobs is used up";
        Err(Refusal::not_run(Reason::NoMemory, message).with_retry_after(RETRY_AFTER_MS))
    }

    /// Returns an answer's body such that it counts until the client has read it, or `None` if slow
    /// readers use up the memory for output.
    pub(crate) fn hold_answer(&self, body: Bytes) -> Option<Bytes> {
        if body.len() <= UNCOUNTED_ANSWER_BYTES {
            return Some(body);
        }
        let budget = &self.deps.budget;
        let mut reservation = budget.reserve(Kind::Output);
        if reservation.resize(body.len()).is_err() {
            self.deps.counters.count("answers_without_memory");
            info!(
                "event=job_answer_without_memory bytes={} output_held_bytes={} held_bytes={}",
                body.len(),
                budget.used_bytes(Kind::Output),
                budget.total_used_bytes()
            );
            return None;
        }
        Some(reservation.attach(body))
    }

    /// Counts what the jobs hold now, once in a while.
    ///
    /// Jobs that were accepted are kept whatever they hold: their size only keeps new ones out.
    pub(crate) fn measure_jobs(&self, handles: &[Rc<JobHandle>], now_ms: Millis) {
        if now_ms < self.measured_ms.get().saturating_add(MEASURE_INTERVAL_MS) {
            return;
        }
        self.measured_ms.set(now_ms);
        for handle in handles {
            handle.measure();
        }
    }
}

impl JobHandle {
    /// Counts what the job holds now.
    pub(crate) fn measure(&self) {
        let held_bytes = self.job.borrow().held_bytes();
        if let Some(memory) = &mut *self.memory.borrow_mut() {
            memory.resize_unchecked(held_bytes);
        }
    }
}
