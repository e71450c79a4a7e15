//! Detects clients that do not read their answers.

use std::time::Duration;

/// The time between two checks of whether a client reads.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// After how many checks in a row a client that has not read is disconnected. Clients within the limits
/// wait at most 5 s for a request, and their slowest links carry megabytes in that time.
pub const MAX_UNREAD_CHECKS: u32 = 5;
/// The bytes that must be sent between two checks of a client that reads.
pub const MIN_READ_BYTES: usize = 16 << 10;

/// Counts the checks at which bytes waited because the client had not read those before.
///
/// Checks are counted instead of time, so that a pause of this process counts as one check. A client
/// that reads a few bytes now and then counts as one that does not read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnreadAnswer {
    unread_checks: u32,
    sent_bytes: usize,
}

impl UnreadAnswer {
    /// Records that bytes were sent.
    pub fn record_sent(&mut self, bytes: usize) {
        self.sent_bytes = self.sent_bytes.saturating_add(bytes);
    }

    /// Checks the connection, on which bytes wait or not; returns whether it must be closed.
    pub fn check(&mut self, is_blocked: bool) -> bool {
        let has_read = self.sent_bytes >= MIN_READ_BYTES;
        self.sent_bytes = 0;
        self.unread_checks = if is_blocked && !has_read { self.unread_checks + 1 } else { 0 };
        self.unread_checks >= MAX_UNREAD_CHECKS
    }
}
