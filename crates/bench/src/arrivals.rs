//! Open-loop arrivals: when each request should start, whatever the system does.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The rate of a burst over the rate around it.
const BURST_FACTOR: f64 = 10.0;

/// How the arrival rate changes over a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Profile {
    /// No requests.
    None,
    /// A constant rate in requests a second.
    Steady(f64),
    /// A constant rate with one second of ten times as much.
    Burst {
        /// The rate outside the burst, in requests a second.
        rate: f64,
        /// When the burst starts, in seconds.
        at_s: f64,
    },
}

impl Profile {
    fn rate_at(self, second: f64) -> f64 {
        match self {
            Self::None => 0.0,
            Self::Steady(rate) => rate,
            Self::Burst { rate, at_s } => {
                let is_burst = (at_s..at_s + 1.0).contains(&second);
                if is_burst { rate * BURST_FACTOR } else { rate }
            }
        }
    }

    fn highest_rate(self) -> f64 {
        match self {
            Self::None => 0.0,
            Self::Steady(rate) => rate,
            Self::Burst { rate, .. } => rate * BURST_FACTOR,
        }
    }
}

/// Returns the times of all arrivals, Poisson distributed, the same for the same seed.
pub fn schedule(profile: Profile, length: Duration, seed: u64) -> Vec<Duration> {
    let highest = profile.highest_rate();
    if highest <= 0.0 {
        return Vec::new();
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut second = 0.0;
    loop {
        let uniform: f64 = rng.gen_range(f64::EPSILON..1.0);
        second += -uniform.ln() / highest;
        if second >= length.as_secs_f64() {
            return arrivals;
        }
        // Thinning: of arrivals at the highest rate, the wanted share is kept.
        if rng.gen_bool(profile.rate_at(second) / highest) {
            arrivals.push(Duration::from_secs_f64(second));
        }
    }
}
