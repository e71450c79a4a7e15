//! Refuses jobs with items that replicas must not get.

use std::rc::Rc;
use std::time::Duration;

use gate::Caller;
use log::info;
use wire::JobId;
use wire::Millis;
use wire::Reason;
use wire::Refusal;

use crate::adoption::LoadedJob;
use crate::item::Submission;
use crate::manager::JobManager;

/// The shortest and the longest retry delay sent to a client whose job has a quarantined part.
const MIN_RETRY_AFTER_MS: Millis = 1_000;
const MAX_RETRY_AFTER_MS: Millis = 30_000;

/// Whether a submitted job is new to the fleet.
pub(crate) enum Novelty {
    /// No job with its id was accepted before.
    New,
    /// It was accepted before.
    Repeated,
}

impl JobManager {
    /// Refuses a job with an item that has a quarantined part, unless it was accepted before.
    ///
    /// The client can submit it again without that item; once accepted, the item would be owed but not
    /// run.
    pub(crate) async fn check_quarantine(
        self: &Rc<Self>,
        id: &JobId,
        host: &str,
        caller: &Caller,
        submission: &Submission,
        store_timeout: Duration,
    ) -> Result<Novelty, Refusal> {
        let Some(refusal) = self.refuse_items(host, submission) else { return Ok(Novelty::New) };
        match self.load(id, store_timeout).await {
            Ok(LoadedJob::Local(handle)) => self.check_owner(&handle, caller),
            Ok(LoadedJob::Remote(home, handle)) => {
                // The home may have given up before it received the answer that the record exists.
                self.notify_home(id, &home.daemon);
                self.note_home(id, &home);
                self.check_owner(&handle, caller)
            }
            Ok(LoadedJob::NotFound) => {
                self.deps.counters.count("jobs_with_quarantined_part");
                Err(refusal)
            }
            Err(error) => {
                info!("event=job_not_read job={id} error=\"{error}\"");
                // It may have been accepted before.
                Err(Refusal::may_have_run(Reason::StoreUnavailable, error.to_string()))
            }
        }
    }

    /// Returns the refusal of a job because of an item with a quarantined part.
    fn refuse_items(&self, host: &str, submission: &Submission) -> Option<Refusal> {
        let guard = &self.deps.crash_guard;
        if !guard.has_quarantined_parts() {
            return None;
        }
        let parts = submission.items.iter().map(|item| self.prompt_parts(host, item));
        let (number, suspect) = guard.refuse_job(&parts.collect::<Vec<_>>())?;
        let trial_in_ms = guard.trial_due_in_ms(suspect).unwrap_or(MAX_RETRY_AFTER_MS);
        let message = format!(
            "item {} has a prompt part that crashed replicas and is quarantined ({suspect})",
            submission.items[number].id
        );
        let retry_after_ms = trial_in_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        Some(Refusal::not_run(Reason::Quarantined, message).with_retry_after(retry_after_ms))
    }
}
