//! A retry budget: limits retries to a share of the requests, so that they cannot amplify an
//! overload.

/// The largest number of unused retries that can accumulate.
const MAX_BALANCE: f64 = 20.0;

/// The retry budget of one daemon.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget that allows `ratio` retries per request and starts with the full balance.
    pub fn new(ratio: f64) -> Self {
        Self { ratio, balance: MAX_BALANCE }
    }

    /// Records the first attempt of a request, which adds to the balance.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE);
    }

    /// Withdraws one retry from the balance; returns `false` if none is left.
    pub fn take_retry(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
