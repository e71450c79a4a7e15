//! Decides when a stopping daemon releases a job that it cannot record in the object API.

use wire::Millis;

/// Measures for how long a stopping daemon has only waited for the object API.
#[derive(Clone, Debug)]
pub struct StopGrace {
    grace_ms: Millis,
    waiting_since_ms: Option<Millis>,
}

impl StopGrace {
    /// Creates a measurement that ends after `grace_ms` without progress.
    pub fn new(grace_ms: Millis) -> Self {
        Self { grace_ms, waiting_since_ms: None }
    }

    /// Returns whether the grace period is over.
    ///
    /// It starts anew while `is_waiting` is false, that is, while the daemon is not stopping or
    /// runs an item of the job, and whenever the job makes progress.
    pub fn is_over(&mut self, now_ms: Millis, is_waiting: bool, has_progress: bool) -> bool {
        if !is_waiting || has_progress {
            self.waiting_since_ms = None;
        }
        if !is_waiting {
            return false;
        }
        let since_ms = *self.waiting_since_ms.get_or_insert(now_ms);
        now_ms >= since_ms + self.grace_ms
    }
}
