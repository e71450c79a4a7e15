//! Online requests in flight on each replica, reported in coarse levels, as a pure core.
//!
//! A rise is reported at once, since batch work must give way at once. A fall is reported after
//! a pause, so that a load that goes up and down sends few reports.

use std::collections::BTreeMap;

use wire::Millis;
use wire::ReplicaName;
use wire::link::OnlineLevel;

/// The pause before a fall is reported.
const FALL_PAUSE_MS: Millis = 250;
/// How often a level over 0 is repeated, so that its receiver can drop it after a loss.
pub const REFRESH_MS: Millis = 2_000;

#[derive(Clone, Debug, Default)]
struct Count {
    in_flight: u32,
    reported: u32,
    reported_at_ms: Millis,
    fell_at_ms: Option<Millis>,
}

/// The online counts of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Levels {
    counts: BTreeMap<ReplicaName, Count>,
}

impl Levels {
    /// Records a request sent to a replica; a report to send at once is returned.
    pub fn on_start(&mut self, now_ms: Millis, replica: &ReplicaName) -> Option<OnlineLevel> {
        let count = self.counts.entry(replica.clone()).or_default();
        count.in_flight += 1;
        count.fell_at_ms = None;
        if count.in_flight <= count.reported {
            return None;
        }
        count.reported = level_of(count.in_flight);
        count.reported_at_ms = now_ms;
        Some(OnlineLevel { replica: replica.clone(), level: count.reported })
    }

    /// Records that a request ended at a replica.
    pub fn on_end(&mut self, now_ms: Millis, replica: &ReplicaName) {
        if let Some(count) = self.counts.get_mut(replica) {
            count.in_flight = count.in_flight.saturating_sub(1);
            if level_of(count.in_flight) < count.reported {
                count.fell_at_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Returns the falls and repetitions that are due.
    pub fn due(&mut self, now_ms: Millis) -> Vec<OnlineLevel> {
        let mut reports = Vec::new();
        for (replica, count) in &mut self.counts {
            let has_fallen = count.fell_at_ms.is_some_and(|at| now_ms >= at + FALL_PAUSE_MS);
            let is_stale = count.reported > 0 && now_ms >= count.reported_at_ms + REFRESH_MS;
            if has_fallen || is_stale {
                count.reported = level_of(count.in_flight);
                count.reported_at_ms = now_ms;
                count.fell_at_ms = None;
                reports.push(OnlineLevel { replica: replica.clone(), level: count.reported });
            }
        }
        self.counts.retain(|_, count| count.in_flight > 0 || count.reported > 0);
        reports
    }
}

/// Rounds a count up to a reporting level: exact up to 4, then in steps of about a quarter.
fn level_of(in_flight: u32) -> u32 {
    if in_flight <= 4 {
        return in_flight;
    }
    let step = (in_flight.next_power_of_two() / 8).max(1);
    in_flight.div_ceil(step) * step
}
