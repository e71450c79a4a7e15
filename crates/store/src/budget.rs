//! Limits calls to the object API to this daemon's share of the fleet's rate, by priority class.

use wire::Millis;

/// The priority class of a call, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallClass {
    /// Calls for leases of daemons.
    Lease,
    /// Calls for the bundle in force.
    Bundle,
    /// Calls for claims of keyed requests and of jobs.
    Claim,
    /// Calls for the item ledger.
    Ledger,
    /// Calls for lots, status and results.
    Status,
}

impl CallClass {
    /// Every class, the most urgent first.
    pub const ALL: [Self; 5] = [Self::Lease, Self::Bundle, Self::Claim, Self::Ledger, Self::Status];

    /// Returns the name as it appears in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::Bundle => "bundle",
            Self::Claim => "claim",
            Self::Ledger => "ledger",
            Self::Status => "status",
        }
    }

    /// Returns the share of the burst that is reserved for more urgent classes.
    fn reserved_share(self) -> f64 {
        match self {
            Self::Lease => 0.0,
            Self::Bundle => 0.1,
            Self::Claim => 0.2,
            Self::Ledger => 0.3,
            Self::Status => 0.5,
        }
    }
}

/// The time over which unused calls accumulate, in milliseconds.
const BURST_MS: f64 = 2_000.0;
/// The minimum burst; in a large fleet a daemon's small share must still allow a group of calls.
const MIN_BURST_CALLS: f64 = 20.0;

/// A token bucket that reserves tokens for the more urgent classes.
#[derive(Clone, Debug)]
pub struct CallBudget {
    fleet_calls_per_s: f64,
    live_daemons: usize,
    tokens: f64,
    refilled_at_ms: Millis,
}

impl CallBudget {
    /// Creates a full budget for a fleet of one daemon.
    pub fn new(fleet_calls_per_s: f64, now_ms: Millis) -> Self {
        let mut budget =
            Self { fleet_calls_per_s, live_daemons: 1, tokens: 0.0, refilled_at_ms: now_ms };
        budget.tokens = budget.burst();
        budget
    }

    /// Sets the number of daemons that share the fleet's rate.
    pub fn set_live_daemons(&mut self, live_daemons: usize) {
        self.live_daemons = live_daemons.max(1);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Sets the rate of the whole fleet.
    pub fn set_fleet_rate(&mut self, fleet_calls_per_s: f64) {
        self.fleet_calls_per_s = fleet_calls_per_s;
        self.tokens = self.tokens.min(self.burst());
    }

    /// Takes the token for one call, or returns how long to wait for it.
    pub fn take_call(&mut self, now_ms: Millis, class: CallClass) -> Result<(), Millis> {
        self.refill(now_ms);
        let reserved = self.burst() * class.reserved_share();
        let missing_tokens = reserved + 1.0 - self.tokens;
        if missing_tokens <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = missing_tokens / self.calls_per_ms();
        Err((wait_ms.ceil() as Millis).max(1))
    }

    fn refill(&mut self, now_ms: Millis) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = now_ms;
        self.tokens = (self.tokens + elapsed_ms as f64 * self.calls_per_ms()).min(self.burst());
    }

    fn calls_per_ms(&self) -> f64 {
        self.fleet_calls_per_s / self.live_daemons as f64 / 1000.0
    }

    fn burst(&self) -> f64 {
        (self.calls_per_ms() * BURST_MS).max(MIN_BURST_CALLS)
    }
}
