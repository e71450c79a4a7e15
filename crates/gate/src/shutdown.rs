//! Which requests a daemon still accepts during its shutdown.

use wire::Millis;

/// The fraction of the grace period in which every request is accepted: within it clients learn
/// from the directory that the daemon leaves, and the longest request ends within the rest.
const ACCEPT_ALL_FRACTION: (Millis, Millis) = (3, 8);

/// The times at which a stopping daemon starts to refuse long requests and at which it exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownWindow {
    accepts_all_until_ms: Millis,
    exits_at_ms: Millis,
}

impl ShutdownWindow {
    /// Returns the window of a daemon that was told at `now_ms` to stop within `grace_ms`.
    pub fn new(now_ms: Millis, grace_ms: Millis) -> Self {
        let (numerator, denominator) = ACCEPT_ALL_FRACTION;
        Self {
            accepts_all_until_ms: now_ms + grace_ms * numerator / denominator,
            exits_at_ms: now_ms + grace_ms,
        }
    }

    /// Returns whether a request that may last until `give_up_at_ms` is accepted.
    pub fn accepts(&self, now_ms: Millis, give_up_at_ms: Millis) -> bool {
        now_ms <= self.accepts_all_until_ms || give_up_at_ms <= self.exits_at_ms
    }
}
