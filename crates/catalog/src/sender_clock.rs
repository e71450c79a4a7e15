//! The delay of peers' reports, from the times on their senders' clocks.
//!
//! The clocks of two daemons differ by an unknown time, which stays the same while both run. The
//! smallest difference between the arrival and the sending of a report is that time plus the
//! shortest time on the way, so a report with a larger difference is late by the rest.

use std::collections::BTreeMap;

use wire::DaemonName;
use wire::Millis;

/// How long the smallest difference is kept at least. Clocks drift by some 6 ms in this time. A clock that
/// stood still while its host was suspended gives correct delays again after at most twice this time.
const WINDOW_MS: Millis = 60_000;
/// How long a sender must have been heard before the delay of its reports is known: reports that
/// were held up together also arrive together.
const MIN_HEARD_MS: Millis = 1_000;
/// The most clocks that are remembered: ten times the largest fleet, since a restart adds one for each daemon.
/// The delay of further senders counts as unknown.
const MAX_CLOCKS: usize = 4_096;

/// When a report was sent, by the clock of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendTime<'a> {
    /// The sender.
    pub sender: &'a DaemonName,
    /// The sender's incarnation; the clock starts anew with each.
    pub incarnation: u64,
    /// The time on the sender's clock.
    pub sent_ms: Millis,
}

/// The clocks of the senders that were heard lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SenderClocks {
    clocks: BTreeMap<(DaemonName, u64), SenderClock>,
}

/// The differences between this daemon's clock and a sender's at the arrival of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SenderClock {
    first_heard_ms: Millis,
    last_heard_ms: Millis,
    window_began_ms: Millis,
    /// The smallest difference in the current window.
    smallest_ms: i64,
    /// The smallest difference in the window before.
    previous_smallest_ms: Option<i64>,
}

impl SenderClocks {
    /// Records the arrival of a report and returns its delay; `None` while the delay is unknown.
    pub fn record_arrival(&mut self, now_ms: Millis, sent: SendTime<'_>) -> Option<Millis> {
        let difference_ms = signed(now_ms) - signed(sent.sent_ms);
        let sender = (sent.sender.clone(), sent.incarnation);
        if self.clocks.len() >= MAX_CLOCKS && !self.clocks.contains_key(&sender) {
            return None;
        }
        let clock =
            self.clocks.entry(sender).or_insert_with(|| SenderClock::new(now_ms, difference_ms));
        clock.record(now_ms, difference_ms);
        (now_ms >= clock.first_heard_ms + MIN_HEARD_MS).then(|| clock.delay_ms(difference_ms))
    }

    /// Returns the number of clocks that are remembered.
    pub fn remembered(&self) -> usize {
        self.clocks.len()
    }

    /// Forgets the senders that have been silent for two windows.
    pub fn tick(&mut self, now_ms: Millis) {
        self.clocks.retain(|_, clock| now_ms < clock.last_heard_ms + 2 * WINDOW_MS);
    }
}

impl SenderClock {
    fn new(now_ms: Millis, difference_ms: i64) -> Self {
        Self {
            first_heard_ms: now_ms,
            last_heard_ms: now_ms,
            window_began_ms: now_ms,
            smallest_ms: difference_ms,
            previous_smallest_ms: None,
        }
    }

    fn record(&mut self, now_ms: Millis, difference_ms: i64) {
        self.last_heard_ms = now_ms;
        if now_ms >= self.window_began_ms + WINDOW_MS {
            self.window_began_ms = now_ms;
            self.previous_smallest_ms = Some(self.smallest_ms);
            self.smallest_ms = difference_ms;
        }
        self.smallest_ms = self.smallest_ms.min(difference_ms);
    }

    fn delay_ms(&self, difference_ms: i64) -> Millis {
        let smallest_ms = self.previous_smallest_ms.unwrap_or(i64::MAX).min(self.smallest_ms);
        (difference_ms - smallest_ms).max(0) as Millis
    }
}

/// Converts a time; those of peers are bounded, so that differences cannot overflow.
fn signed(ms: Millis) -> i64 {
    ms.min(1 << 60) as i64
}
