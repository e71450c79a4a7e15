//! The arithmetic of the limit and its allowance.

use wire::Millis;

/// The share of the overage that covers the life of a credit, as a divisor.
const CREDIT_LIFE_DIVISOR: f64 = 4.0;
/// The bounds of the life of a credit: a round trip takes some milliseconds, and a longer life than
/// the upper bound would leave credit where the demand was.
const CREDIT_LIFE_MS: (f64, f64) = (40.0, 250.0);
/// The part of the remaining allowance that the fixed shares take; the rest covers the initial levels
/// of buckets and for votes that are delayed for longer than [`crate::election::VOTE_DELAY_MS`].
const FIXED_PART: f64 = 0.5;

/// The number of daemons that hold the fixed share of an organisation. More would hold less than one
/// request each for small organisations; fewer would all be cut off by one partition.
pub const SHARE_HOLDERS: usize = 5;
/// The most terms of a group in one window of 5 s that begin without the levels of the previous owner.
/// A daemon votes for another owner at the earliest 1,050 ms after its last vote, so for 6 owners at
/// most; each needs more than half of the daemons.
const TERMS_PER_WINDOW: f64 = 11.0;

/// How far the requests of an organisation may exceed its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// The length of the sliding window, in milliseconds.
    pub window_ms: Millis,
    /// The part of the quota by which it may be exceeded in a window.
    pub overage: f64,
    /// The requests by which the quota may be exceeded in a window in addition.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self { window_ms: 5_000, overage: 0.1, slack: 20.0 }
    }
}

/// The rate limit of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The requests per second.
    pub rate_per_s: f64,
    /// The requests that may come at once.
    pub burst: f64,
}

impl Limit {
    /// Returns whether requests are limited at all.
    pub fn is_limiting(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// Returns the size of the token bucket; one request must fit, whatever the burst is.
    pub fn capacity(&self) -> f64 {
        self.burst.max(1.0)
    }
}

impl QuotaSettings {
    /// Returns how long after it was asked for a credit may be spent, in milliseconds.
    ///
    /// Credits that were granted up to this long before a window may be spent in it.
    pub fn credit_life_ms(&self) -> Millis {
        let life_ms = self.window_ms as f64 * self.overage / CREDIT_LIFE_DIVISOR;
        life_ms.clamp(CREDIT_LIFE_MS.0, CREDIT_LIFE_MS.1) as Millis
    }

    /// Returns the most requests that may be admitted in one window.
    pub fn bound(&self, limit: &Limit) -> f64 {
        let quota = limit.rate_per_s * self.window_ms as f64 / 1_000.0 + limit.burst;
        quota * (1.0 + self.overage) + self.slack
    }

    /// Returns the requests in one window that all daemons together may admit without an owner.
    pub fn fixed_total(&self, limit: &Limit) -> u64 {
        (self.remaining_allowance(limit) * FIXED_PART) as u64
    }

    /// Returns the level of a bucket at the start of a term without the levels of the previous owner:
    /// one request at most, without which small organisations would wait for their first token.
    pub fn initial_level(&self, limit: &Limit) -> f64 {
        (self.remaining_allowance(limit) * (1.0 - FIXED_PART) / TERMS_PER_WINDOW).min(1.0)
    }

    /// Returns the part of the bound that owners do not grant.
    fn remaining_allowance(&self, limit: &Limit) -> f64 {
        let granted_ms = (self.window_ms + self.credit_life_ms()) as f64;
        let granted = limit.rate_per_s * granted_ms / 1_000.0 + limit.capacity();
        (self.bound(limit) - granted).max(0.0)
    }
}

/// Returns the part of `total` that the daemon of a rank gets; the daemons of the first ranks share
/// it equally, the remainder goes to the first of them.
pub fn fixed_share(total: u64, rank: usize) -> u64 {
    if rank >= SHARE_HOLDERS {
        return 0;
    }
    let holders = SHARE_HOLDERS as u64;
    total / holders + u64::from((rank as u64) < total % holders)
}
