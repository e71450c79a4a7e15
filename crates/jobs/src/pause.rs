//! Detects that this daemon stood still for so long that another one may hold its jobs now.

use wire::Millis;

/// The time between two checks from which on a daemon counts as paused. Peers adopt its jobs after
/// 2,000 ms of silence, of which its last heartbeats may have missed a part.
pub const PAUSE_THRESHOLD_MS: Millis = 1_000;

/// Counts the pauses of this daemon by the time between two checks, normally tens of milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    checked_ms: Option<Millis>,
    pauses: u64,
}

impl PauseDetector {
    /// Returns how long this daemon was paused, if it was since the previous check.
    pub fn check(&mut self, now_ms: Millis) -> Option<Millis> {
        let checked_ms = self.checked_ms.replace(now_ms)?;
        let paused_ms = now_ms.saturating_sub(checked_ms);
        if paused_ms < PAUSE_THRESHOLD_MS {
            return None;
        }
        self.pauses += 1;
        Some(paused_ms)
    }

    /// Returns the number of pauses so far.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}
