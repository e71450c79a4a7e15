//! The fleet's call rate on the object API, divided by the live daemons and served by class.

use wire::Millis;

/// What a call is for, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallClass {
    /// Leases of daemons.
    Lease,
    /// The bundle in force.
    Bundle,
    /// Claims of keyed requests and of jobs.
    Claim,
    /// The item ledger.
    Ledger,
    /// Lots, status and results.
    Status,
}

impl CallClass {
    /// Every class, the most urgent first.
    pub const ALL: [Self; 5] = [Self::Lease, Self::Bundle, Self::Claim, Self::Ledger, Self::Status];

    /// Returns the name used in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::Bundle => "bundle",
            Self::Claim => "claim",
            Self::Ledger => "ledger",
            Self::Status => "status",
        }
    }

    /// Returns the share of the burst that more urgent classes keep for themselves.
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

/// The time over which unused calls add up, in milliseconds.
const BURST_MS: f64 = 2_000.0;
/// The smallest burst, so that a large fleet's small share still allows a group of calls.
const MIN_BURST_CALLS: f64 = 20.0;

/// A token bucket in which urgent classes may go lower than the others.
#[derive(Clone, Debug)]
pub struct Budget {
    fleet_calls_per_s: f64,
    live_daemons: usize,
    tokens: f64,
    filled_at_ms: Millis,
}

impl Budget {
    /// Creates a full budget for a fleet of one daemon.
    pub fn new(fleet_calls_per_s: f64, now_ms: Millis) -> Self {
        let mut budget =
            Self { fleet_calls_per_s, live_daemons: 1, tokens: 0.0, filled_at_ms: now_ms };
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

    /// Takes one call, or returns how long to wait for it.
    pub fn take(&mut self, now_ms: Millis, class: CallClass) -> Result<(), Millis> {
        self.fill(now_ms);
        let floor = self.burst() * class.reserved_share();
        let missing = floor + 1.0 - self.tokens;
        if missing <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = missing / self.calls_per_ms();
        Err((wait_ms.ceil() as Millis).max(1))
    }

    fn fill(&mut self, now_ms: Millis) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_at_ms);
        self.filled_at_ms = now_ms;
        self.tokens = (self.tokens + elapsed_ms as f64 * self.calls_per_ms()).min(self.burst());
    }

    fn calls_per_ms(&self) -> f64 {
        self.fleet_calls_per_s / self.live_daemons as f64 / 1000.0
    }

    fn burst(&self) -> f64 {
        (self.calls_per_ms() * BURST_MS).max(MIN_BURST_CALLS)
    }
}
