//! Open-loop arrivals: the time at which each request starts, independent of the system's answers.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The factor by which a burst raises the rate.
const BURST_FACTOR: f64 = 10.0;

/// How the arrival rate changes over a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Profile {
    /// No requests.
    None,
    /// A constant rate, in requests a second.
    Steady(f64),
    /// A constant rate with a burst of one second at ten times that rate.
    Burst {
        /// The rate outside the burst, in requests a second.
        rate: f64,
        /// When the burst starts, in seconds.
        at_s: f64,
    },
}

impl Profile {
    fn rate_at(self, time_s: f64) -> f64 {
        match self {
            Self::None => 0.0,
            Self::Steady(rate) => rate,
            Self::Burst { rate, at_s } => {
                let is_burst = (at_s..at_s + 1.0).contains(&time_s);
                if is_burst { rate * BURST_FACTOR } else { rate }
            }
        }
    }

    fn peak_rate(self) -> f64 {
        match self {
            Self::None => 0.0,
            Self::Steady(rate) => rate,
            Self::Burst { rate, .. } => rate * BURST_FACTOR,
        }
    }
}

/// Returns the times of all arrivals of a Poisson process; equal seeds give equal times.
pub fn schedule(profile: Profile, length: Duration, seed: u64) -> Vec<Duration> {
    let peak_rate = profile.peak_rate();
    if peak_rate <= 0.0 {
        return Vec::new();
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut time_s = 0.0;
    loop {
        let uniform: f64 = rng.gen_range(f64::EPSILON..1.0);
        time_s += -uniform.ln() / peak_rate;
        if time_s >= length.as_secs_f64() {
            return arrivals;
        }
        // Thinning: draws arrivals at the peak rate and keeps a share for the current rate.
        if rng.gen_bool(profile.rate_at(time_s) / peak_rate) {
            arrivals.push(Duration::from_secs_f64(time_s));
        }
    }
}
