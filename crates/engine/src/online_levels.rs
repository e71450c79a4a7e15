//! Online requests in flight on each replica, reported in coarse levels, as a pure state machine.
//!
//! An increase is reported at once, since batch streams must be paused at once. A decrease is
//! reported after a delay, so that fluctuating load causes few reports.

use std::collections::BTreeMap;

use wire::Millis;
use wire::ReplicaName;
use wire::link::OnlineLevel;

/// The delay before a decrease is reported.
const DECREASE_REPORT_DELAY_MS: Millis = 250;
/// How often a level above 0 is reported again, so that the receiver can expire it when reports
/// stop.
pub const REFRESH_INTERVAL_MS: Millis = 2_000;

#[derive(Clone, Debug, Default)]
struct ReplicaCount {
    in_flight: u32,
    reported_level: u32,
    reported_at_ms: Millis,
    below_since_ms: Option<Millis>,
}

/// The online requests of one daemon, counted by replica.
#[derive(Clone, Debug, Default)]
pub struct OnlineLevels {
    counts: BTreeMap<ReplicaName, ReplicaCount>,
}

impl OnlineLevels {
    /// Records a request sent to a replica and returns a report if one must be sent at once.
    pub fn on_start(&mut self, now_ms: Millis, replica: &ReplicaName) -> Option<OnlineLevel> {
        let count = self.counts.entry(replica.clone()).or_default();
        count.in_flight += 1;
        count.below_since_ms = None;
        if count.in_flight <= count.reported_level {
            return None;
        }
        count.reported_level = round_up_to_level(count.in_flight);
        count.reported_at_ms = now_ms;
        Some(OnlineLevel { replica: replica.clone(), level: count.reported_level })
    }

    /// Records that a request ended at a replica.
    pub fn on_end(&mut self, now_ms: Millis, replica: &ReplicaName) {
        if let Some(count) = self.counts.get_mut(replica) {
            count.in_flight = count.in_flight.saturating_sub(1);
            if round_up_to_level(count.in_flight) < count.reported_level {
                count.below_since_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Returns the decreases and refreshes that are due and records them as reported.
    pub fn take_due_reports(&mut self, now_ms: Millis) -> Vec<OnlineLevel> {
        let mut reports = Vec::new();
        for (replica, count) in &mut self.counts {
            let is_decrease_due = count
                .below_since_ms
                .is_some_and(|since_ms| now_ms >= since_ms + DECREASE_REPORT_DELAY_MS);
            let is_refresh_due =
                count.reported_level > 0 && now_ms >= count.reported_at_ms + REFRESH_INTERVAL_MS;
            if is_decrease_due || is_refresh_due {
                count.reported_level = round_up_to_level(count.in_flight);
                count.reported_at_ms = now_ms;
                count.below_since_ms = None;
                reports.push(OnlineLevel { replica: replica.clone(), level: count.reported_level });
            }
        }
        self.counts.retain(|_, count| count.in_flight > 0 || count.reported_level > 0);
        reports
    }
}

/// Rounds a count up to a reporting level: exact up to 4, then in steps of an eighth of the next
/// power of two.
fn round_up_to_level(in_flight: u32) -> u32 {
    if in_flight <= 4 {
        return in_flight;
    }
    let step = (in_flight.next_power_of_two() / 8).max(1);
    in_flight.div_ceil(step) * step
}
