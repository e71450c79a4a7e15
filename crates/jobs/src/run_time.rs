//! Estimates how long items run, from moving averages over completed ones.

use wire::Millis;

/// The lower bound of the time left, because the length of an item's output is not known.
const MIN_LEFT_MS: Millis = 600;
/// The allowance for interruptions by online requests, in percent of the time left.
const INTERRUPTION_PERCENT: u64 = 30;
/// The weight of the newest item in the moving averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// The number of events of an item that is assumed before any item has completed.
const INITIAL_EVENTS: f64 = 200.0;
/// The time between two events that is assumed before any item has completed.
const INITIAL_GAP_MS: f64 = 22.0;

/// Moving averages of the number of events of an item and of the time between two events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTimeEstimate {
    mean_events: f64,
    mean_gap_ms: f64,
}

impl Default for RunTimeEstimate {
    fn default() -> Self {
        Self { mean_events: INITIAL_EVENTS, mean_gap_ms: INITIAL_GAP_MS }
    }
}

impl RunTimeEstimate {
    /// Updates the averages with a completed item whose last run produced `run_events` of its
    /// `events` in `took_ms`.
    pub fn update(&mut self, events: u32, run_events: u32, took_ms: Millis) {
        self.mean_events += NEWEST_WEIGHT * (f64::from(events) - self.mean_events);
        if run_events > 0 {
            let gap_ms = took_ms as f64 / f64::from(run_events);
            self.mean_gap_ms += NEWEST_WEIGHT * (gap_ms - self.mean_gap_ms);
        }
    }

    /// Returns the expected time for the first `events` events of an item.
    pub fn expected_ms(&self, events: u32) -> Millis {
        (f64::from(events) * self.mean_gap_ms) as Millis
    }

    /// Returns the expected time that an item still needs after `events` events, with the allowance
    /// for interruptions.
    pub fn expected_left_ms(&self, events: u32) -> Millis {
        let left_ms =
            ((self.mean_events - f64::from(events)) * self.mean_gap_ms).max(0.0) as Millis;
        left_ms.max(MIN_LEFT_MS) * (100 + INTERRUPTION_PERCENT) / 100
    }
}
