//! The step time of a replica as a linear function of its streams, learned from batch tokens.
//!
//! Load reports of engines arrive late, but the time between two tokens of a batch stream shows the
//! current step time. A least-squares fit with exponentially decaying weights gives the base time
//! of a step and the time that each stream adds.

/// The factor applied to the weight of old samples at each new one.
const DECAY_FACTOR: f64 = 0.97;
/// The variance of the stream counts below which the slope is not reliable.
const MIN_STREAM_VARIANCE: f64 = 2.0;
/// The total sample weight below which there is no fit.
const MIN_TOTAL_WEIGHT: f64 = 5.0;
/// The smallest slope of the fit, as a fraction of the mean step time.
const MIN_SLOPE_FRACTION: f64 = 0.0005;

/// A least-squares fit with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepTimeModel {
    weight_sum: f64,
    streams_sum: f64,
    time_sum: f64,
    streams_squared_sum: f64,
    product_sum: f64,
}

/// The fitted step time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepTimeLine {
    /// The time of a step without streams.
    pub base_us: f64,
    /// The time that each stream adds to a step.
    pub per_stream_us: f64,
}

impl StepTimeModel {
    /// Adds the measured time of a step with this many streams.
    pub fn add_sample(&mut self, streams: u32, step_us: u64) {
        let (x, y) = (f64::from(streams), step_us as f64);
        self.weight_sum = self.weight_sum * DECAY_FACTOR + 1.0;
        self.streams_sum = self.streams_sum * DECAY_FACTOR + x;
        self.time_sum = self.time_sum * DECAY_FACTOR + y;
        self.streams_squared_sum = self.streams_squared_sum * DECAY_FACTOR + x * x;
        self.product_sum = self.product_sum * DECAY_FACTOR + x * y;
    }

    /// Returns the fit, or `None` while the samples are too few or too similar.
    pub fn fit(&self) -> Option<StepTimeLine> {
        if self.weight_sum < MIN_TOTAL_WEIGHT {
            return None;
        }
        let mean_streams = self.streams_sum / self.weight_sum;
        let mean_time = self.time_sum / self.weight_sum;
        let variance = self.streams_squared_sum / self.weight_sum - mean_streams * mean_streams;
        if variance < MIN_STREAM_VARIANCE {
            return None;
        }
        let covariance = self.product_sum / self.weight_sum - mean_streams * mean_time;
        let slope = (covariance / variance).max(mean_time * MIN_SLOPE_FRACTION);
        let base_us = (mean_time - slope * mean_streams).max(mean_time * 0.1);
        Some(StepTimeLine { base_us, per_stream_us: slope })
    }
}

impl StepTimeLine {
    /// Returns the maximum number of streams that can be added to `online` streams without slowing
    /// their steps by more than `percent`.
    pub fn max_added_streams(&self, online: u32, percent: u32) -> u32 {
        let online = f64::from(online);
        let allowed_slowdown_us =
            (self.base_us + self.per_stream_us * online) * f64::from(percent) / 100.0;
        (allowed_slowdown_us / self.per_stream_us).floor().min(f64::from(u32::MAX)) as u32
    }
}
