//! How long items run, as learned from those that were completed.

use wire::Millis;

/// The least time that an item is thought to need; its output has no known length.
const MIN_LEFT_MS: Millis = 600;
/// What is added to the time that an item still needs, in percent, for the times at which online
/// requests take its slot.
const INTERRUPTION_PERCENT: u64 = 30;
/// The weight of the newest item in the pace.
const PACE_WEIGHT: f64 = 0.1;
/// The events of an item before any was seen.
const FIRST_EVENTS: f64 = 200.0;
/// The time between two events before any was seen, in milliseconds.
const FIRST_GAP_MS: f64 = 22.0;

/// How long items run, as learned from those that were completed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    events: f64,
    gap_ms: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self { events: FIRST_EVENTS, gap_ms: FIRST_GAP_MS }
    }
}

impl Pace {
    /// Learns from a completed item whose last try made `tried` of its `events` in `took_ms`.
    pub fn learn(&mut self, events: u32, tried: u32, took_ms: Millis) {
        self.events += PACE_WEIGHT * (f64::from(events) - self.events);
        if tried > 0 {
            let gap_ms = took_ms as f64 / f64::from(tried);
            self.gap_ms += PACE_WEIGHT * (gap_ms - self.gap_ms);
        }
    }

    /// Returns how long the first `events` events of an item take.
    pub fn time_of(&self, events: u32) -> Millis {
        (f64::from(events) * self.gap_ms) as Millis
    }

    /// Returns how long an item still needs after `events` events, interruptions included.
    pub fn time_left(&self, events: u32) -> Millis {
        let left_ms = ((self.events - f64::from(events)) * self.gap_ms).max(0.0) as Millis;
        left_ms.max(MIN_LEFT_MS) * (100 + INTERRUPTION_PERCENT) / 100
    }
}
