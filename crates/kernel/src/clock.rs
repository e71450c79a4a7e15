//! Clocks for adapters; pure logic gets the time as an argument.

use std::io::ErrorKind;
use std::path::Path;
use std::path::PathBuf;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::warn;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use wire::Millis;

/// The environment variable with the path of a file that holds the offset of the wall clock, in
/// signed milliseconds; fault tests use it to step the clock.
pub const SHIFT_FILE_VARIABLE: &str = "CROCUS_CLOCK_SHIFT_FILE";

/// A monotonic clock that starts at zero, with access to the wall clock.
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
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = now.map_or(0, |elapsed| elapsed.as_millis() as Millis);
        now_ms.saturating_add_signed(shift_ms())
    }
}

/// Returns the offset of the wall clock in milliseconds; 0 outside of tests.
fn shift_ms() -> i64 {
    static FILE: OnceLock<Option<PathBuf>> = OnceLock::new();
    let file = FILE.get_or_init(|| std::env::var_os(SHIFT_FILE_VARIABLE).map(PathBuf::from));
    file.as_deref().map_or(0, read_shift_ms)
}

/// Reads the offset from its file; a file that does not exist means 0.
fn read_shift_ms(file: &Path) -> i64 {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) if error.kind() == ErrorKind::NotFound => return 0,
        Err(error) => {
            warn!("event=clock_shift_not_read file=\"{}\" error=\"{error}\"", file.display());
            return 0;
        }
    };
    text.trim().parse().unwrap_or_else(|error| {
        warn!("event=clock_shift_not_read file=\"{}\" error=\"{error}\"", file.display());
        0
    })
}

/// A monotonic clock that also advances while the host is suspended; deadlines and leases are
/// measured with it.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { start: time_since_boot() }
    }

    /// Returns the milliseconds since the clock was started.
    pub fn now_ms(&self) -> Millis {
        time_since_boot().saturating_sub(self.start).as_millis() as Millis
    }
}

fn time_since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
