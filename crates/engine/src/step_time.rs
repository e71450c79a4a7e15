//! The step time of a replica as a line over its streams, learned from the lane's own tokens.
//!
//! Engines report their load late, but the time between two tokens of a batch stream shows at
//! once how long a step takes. A weighted least-squares fit gives the time of an empty step and
//! what each stream adds; old samples fade.

/// How much an old sample keeps of its weight at each new one.
const FADE: f64 = 0.97;
/// The spread of streams among the samples from which on the slope is trusted.
const MIN_VARIANCE: f64 = 2.0;
/// Samples needed before the fit is used.
const MIN_WEIGHT: f64 = 5.0;
/// The smallest cost of a stream that is believed, as a part of the empty step.
const MIN_SLOPE: f64 = 0.0005;

/// A fading least-squares line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepTime {
    weight: f64,
    streams: f64,
    time: f64,
    streams_squared: f64,
    product: f64,
}

/// The fitted line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The time of an empty step, in microseconds.
    pub empty_us: f64,
    /// What each stream adds, in microseconds.
    pub per_stream_us: f64,
}

impl StepTime {
    /// Adds a sample: a step with this many streams took this long.
    pub fn add(&mut self, streams: u32, step_us: u64) {
        let (x, y) = (f64::from(streams), step_us as f64);
        self.weight = self.weight * FADE + 1.0;
        self.streams = self.streams * FADE + x;
        self.time = self.time * FADE + y;
        self.streams_squared = self.streams_squared * FADE + x * x;
        self.product = self.product * FADE + x * y;
    }

    /// Returns the line, or `None` while the samples say too little.
    pub fn line(&self) -> Option<Line> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let mean_streams = self.streams / self.weight;
        let mean_time = self.time / self.weight;
        let variance = self.streams_squared / self.weight - mean_streams * mean_streams;
        if variance < MIN_VARIANCE {
            return None;
        }
        let covariance = self.product / self.weight - mean_streams * mean_time;
        let slope = (covariance / variance).max(mean_time * MIN_SLOPE);
        let empty_us = (mean_time - slope * mean_streams).max(mean_time * 0.1);
        Some(Line { empty_us, per_stream_us: slope })
    }
}

impl Line {
    /// Returns the most streams beside `online` that slow its steps by at most `percent`.
    pub fn streams_beside(&self, online: u32, percent: u32) -> u32 {
        let online = f64::from(online);
        let allowed_us = (self.empty_us + self.per_stream_us * online) * f64::from(percent) / 100.0;
        (allowed_us / self.per_stream_us).floor().min(f64::from(u32::MAX)) as u32
    }
}
