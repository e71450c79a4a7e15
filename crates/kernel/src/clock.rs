//! Time for the adapters; the pure cores get it as an argument.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use wire::Millis;

/// A monotonic clock that starts near zero, beside the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the milliseconds since the clock was started.
    pub fn now_ms(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// Returns the milliseconds since the Unix epoch.
    pub fn unix_ms() -> Millis {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as Millis)
    }
}

/// A clock that goes on while the host is suspended; deadlines and leases are counted on it.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the milliseconds since the clock was started.
    pub fn now_ms(&self) -> Millis {
        since_boot().saturating_sub(self.start).as_millis() as Millis
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
