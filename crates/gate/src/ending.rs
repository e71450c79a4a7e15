//! What a daemon that is about to stop still takes.

use wire::Millis;

/// The part of the grace time in which every request is taken: clients learn from the directory
/// in that time that the daemon leaves, and the longest request ends within the rest.
const TAKING_PARTS: (Millis, Millis) = (3, 8);

/// The end of a daemon, known from the moment at which it was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    takes_all_until_ms: Millis,
    ends_at_ms: Millis,
}

impl Ending {
    /// Returns the end of a daemon that was asked at `now_ms` to stop within `grace_ms`.
    pub fn new(now_ms: Millis, grace_ms: Millis) -> Self {
        let (part, parts) = TAKING_PARTS;
        Self { takes_all_until_ms: now_ms + grace_ms * part / parts, ends_at_ms: now_ms + grace_ms }
    }

    /// Returns whether a request that may last until `give_up_at_ms` is taken.
    pub fn takes(&self, now_ms: Millis, give_up_at_ms: Millis) -> bool {
        now_ms <= self.takes_all_until_ms || give_up_at_ms <= self.ends_at_ms
    }
}
