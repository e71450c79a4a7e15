//! For how long the store has answered the daemons of the fleet without a gap.
//!
//! Records expire only while the store is down for all, not while one daemon cannot reach it. Each
//! daemon reports its own latest answer, never one that it heard of: otherwise the delays of the
//! reports would add up from daemon to daemon and hide an outage. For the same reason the
//! ages in a report are counted from when it was sent, not from when it arrived.

use serde::Deserialize;
use serde::Serialize;
use wire::Millis;

use crate::sender_clock::SendTime;
use crate::sender_clock::SenderClocks;

/// The longest time without an answer to any daemon that does not count as an outage. Records
/// expire after three missed heartbeats of a replica, which takes an outage of over two seconds.
pub const MAX_CONTACT_GAP_MS: Millis = 1_300;
/// The time between two ticks, normally 50 ms, from which on this daemon counts as paused.
const PAUSE_THRESHOLD_MS: Millis = 400;
/// How long after a pause answers and reports may have arrived during the pause.
const AFTER_PAUSE_MS: Millis = 300;

/// What a daemon tells its peers about the store's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactReport {
    /// The age of the answer since which any daemon has had answers without a gap.
    pub since_age_ms: Millis,
    /// The age of the sender's own latest answer.
    pub latest_age_ms: Millis,
}

/// The time in which some daemon has had answers of the store without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreContact {
    interval: Option<Interval>,
    own_latest_ms: Option<i64>,
    ticked_ms: Option<Millis>,
    /// Before this time, what arrives may have been waiting during a pause of this daemon.
    unreliable_until_ms: Millis,
    /// When this daemon last noticed that the contact was interrupted. A report of unknown delay may have
    /// been sent before.
    noticed_gap_ms: Option<i64>,
    clocks: SenderClocks,
}

/// Times on this daemon's clock, which are negative before its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Interval {
    since_ms: i64,
    latest_ms: i64,
}

impl StoreContact {
    /// Records that the store answered a call of this daemon at `answered_ms`.
    pub fn record_answer(&mut self, now_ms: Millis, answered_ms: Millis) {
        if self.is_unreliable(now_ms) || answered_ms < self.unreliable_until_ms {
            return;
        }
        let answered_ms = signed(answered_ms.min(now_ms));
        self.own_latest_ms = self.own_latest_ms.max(Some(answered_ms));
        self.extend(Interval { since_ms: answered_ms, latest_ms: answered_ms });
    }

    /// Merges the report of a peer whose delay is unknown. It says nothing about the time before a
    /// gap that this daemon noticed, since it may be older than the gap.
    pub fn merge(&mut self, now_ms: Millis, report: ContactReport) {
        if self.is_unreliable(now_ms) {
            return;
        }
        let Interval { since_ms, latest_ms } = Interval::reported(signed(now_ms), report);
        let from_ms = self.noticed_gap_ms.unwrap_or(i64::MIN);
        if latest_ms >= from_ms {
            self.extend(Interval { since_ms: since_ms.max(from_ms), latest_ms });
        }
    }

    /// Merges the report of a peer that states when it was sent, so that its delay is known once the
    /// sender has been heard for a while.
    pub fn merge_sent(&mut self, now_ms: Millis, sent: SendTime<'_>, report: ContactReport) {
        let Some(delay_ms) = self.clocks.record_arrival(now_ms, sent) else {
            return self.merge(now_ms, report);
        };
        if !self.is_unreliable(now_ms) {
            self.extend(Interval::reported(signed(now_ms) - signed(delay_ms), report));
        }
    }

    /// Returns the report for peers; `None` if this daemon has had no answer in the interval.
    pub fn report(&self, now_ms: Millis) -> Option<ContactReport> {
        let since_ms = self.interval?.since_ms;
        let latest_ms = self.own_latest_ms.filter(|latest_ms| *latest_ms >= since_ms)?;
        Some(ContactReport {
            since_age_ms: age_ms(now_ms, since_ms),
            latest_age_ms: age_ms(now_ms, latest_ms),
        })
    }

    /// Notices pauses of this daemon, and gaps in the contact while it runs.
    pub fn tick(&mut self, now_ms: Millis) {
        if self.is_paused(now_ms) {
            self.unreliable_until_ms = now_ms + AFTER_PAUSE_MS;
        }
        self.ticked_ms = Some(now_ms);
        self.clocks.tick(now_ms);
        let has_run_through_gap = now_ms > self.unreliable_until_ms + MAX_CONTACT_GAP_MS;
        if self.interval.is_some() && has_run_through_gap && self.is_interrupted(now_ms) {
            self.noticed_gap_ms = Some(signed(now_ms));
        }
    }

    /// Returns when the contact began, or `None` before the first answer. The time is negative if that
    /// was before the start of this daemon's clock.
    pub fn since_ms(&self) -> Option<i64> {
        self.interval.map(|interval| interval.since_ms)
    }

    /// Returns when any daemon is known to have had an answer, or `None` before the first one.
    pub fn latest_ms(&self) -> Option<i64> {
        self.interval.map(|interval| interval.latest_ms)
    }

    /// Returns the time since any daemon is known to have had an answer, or `None` before the first.
    pub fn latest_age_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.latest_ms().map(|latest_ms| age_ms(now_ms, latest_ms))
    }

    /// Returns the time since the contact began, or `None` before the first answer.
    pub fn since_age_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.since_ms().map(|since_ms| age_ms(now_ms, since_ms))
    }

    /// Returns whether the contact lasted for `duration_ms`, up to the latest answer.
    pub fn has_lasted(&self, duration_ms: Millis) -> bool {
        self.interval
            .is_some_and(|interval| interval.latest_ms - interval.since_ms >= signed(duration_ms))
    }

    /// Returns whether the contact has lasted for `duration_ms` and still does.
    pub fn is_unbroken_for(&self, now_ms: Millis, duration_ms: Millis) -> bool {
        self.has_lasted(duration_ms) && !self.is_interrupted(now_ms)
    }

    /// Returns whether there may have been an outage since the latest answer.
    pub fn is_interrupted(&self, now_ms: Millis) -> bool {
        self.latest_age_ms(now_ms).is_none_or(|age_ms| age_ms > MAX_CONTACT_GAP_MS)
    }

    fn is_paused(&self, now_ms: Millis) -> bool {
        self.ticked_ms.is_some_and(|ticked_ms| now_ms >= ticked_ms + PAUSE_THRESHOLD_MS)
    }

    fn is_unreliable(&self, now_ms: Millis) -> bool {
        now_ms < self.unreliable_until_ms || self.is_paused(now_ms)
    }

    /// Joins an interval that touches the known one; of two separate ones the later counts.
    fn extend(&mut self, other: Interval) {
        let joined = match self.interval {
            None => other,
            Some(known) if known.touches(other) => Interval {
                since_ms: known.since_ms.min(other.since_ms),
                latest_ms: known.latest_ms.max(other.latest_ms),
            },
            Some(known) if known.latest_ms > other.latest_ms => known,
            Some(_) => other,
        };
        self.interval = Some(joined);
    }
}

impl Interval {
    /// Returns the contact that a report of a peer states, by the time at which it was sent.
    fn reported(sent_ms: i64, report: ContactReport) -> Self {
        let latest_ms = sent_ms - signed(report.latest_age_ms);
        Self { since_ms: (sent_ms - signed(report.since_age_ms)).min(latest_ms), latest_ms }
    }

    fn touches(self, other: Self) -> bool {
        let gap_ms = signed(MAX_CONTACT_GAP_MS);
        other.since_ms <= self.latest_ms + gap_ms && self.since_ms <= other.latest_ms + gap_ms
    }
}

/// Converts a time or an age; those of peers are bounded, so that sums cannot overflow.
fn signed(ms: Millis) -> i64 {
    ms.min(1 << 60) as i64
}

fn age_ms(now_ms: Millis, at_ms: i64) -> Millis {
    (signed(now_ms) - at_ms).max(0) as Millis
}
