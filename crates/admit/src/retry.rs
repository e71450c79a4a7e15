//! Retries as a share of requests, so that they cannot multiply an overload.

/// Retries that may add up while none is needed.
const MAX_SAVED: f64 = 20.0;

/// The retry budget of one daemon.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget that allows `ratio` retries for each request, with a full reserve.
    pub fn new(ratio: f64) -> Self {
        Self { ratio, saved: MAX_SAVED }
    }

    /// Records a first try.
    pub fn on_request(&mut self) {
        self.saved = (self.saved + self.ratio).min(MAX_SAVED);
    }

    /// Takes one retry, or returns `false` when there is none left.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
