//! Callers of the modelled fleet that return after a refusal, and what they get.

use std::collections::VecDeque;

/// How long a caller waits for its answer, from its first attempt on.
pub const DEADLINE_MS: u64 = 5_000;
/// The latest first event of an attempt that is on time.
pub const OBJECTIVE_MS: u64 = 300;
/// A caller that is refused within this time and on time when it returns is nearly as well off as one that
/// is on time at once.
const EARLY_REFUSAL_MS: u64 = 75;
/// How long before the objective a slot must be granted, as `FIRST_EVENT_LATENCY_MS` of the gate.
pub const FIRST_EVENT_MS: u64 = 60;
/// The divisor of the remaining time for the longest `Retry-After` that callers honour, and for the wait
/// in a queue.
pub const REMAINING_DIVISOR: u64 = 3;
/// The divisor of the remaining time for the `Retry-After` of a refusal without an expected time.
const BLIND_RETRY_DIVISOR: u64 = 6;
const MIN_RETRY_MS: u64 = 50;
/// The time from the slot to the first event.
const PROMPT_MS: u64 = 15;

/// A caller with its state between attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Caller {
    /// When its first attempt began.
    pub since_ms: u64,
    /// When this attempt began.
    pub attempt_at_ms: u64,
    /// The attempts before this one.
    pub retries: u32,
    /// The attempts after the first one that it makes at most.
    pub max_retries: u32,
    pub organisation: Option<u64>,
    pub is_refused_early: bool,
}

impl Caller {
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        (self.since_ms + DEADLINE_MS).saturating_sub(now_ms)
    }

    /// Returns the caller as it returns, and after how long, unless it gives up.
    pub fn after_refusal(&self, now_ms: u64, slot_in_ms: Option<u64>) -> Option<(Self, u64)> {
        let remaining_ms = self.remaining_ms(now_ms);
        if self.retries >= self.max_retries || remaining_ms == 0 {
            return None;
        }
        let blind_ms = remaining_ms / BLIND_RETRY_DIVISOR;
        let wait_ms = slot_in_ms.unwrap_or(blind_ms).max(MIN_RETRY_MS);
        let wait_ms = wait_ms.min(remaining_ms / REMAINING_DIVISOR);
        let is_early = now_ms <= self.attempt_at_ms + EARLY_REFUSAL_MS;
        let next = Self {
            attempt_at_ms: now_ms + wait_ms,
            retries: self.retries + 1,
            is_refused_early: is_early && self.retries == 0,
            ..*self
        };
        Some((next, wait_ms))
    }
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    pub on_time: u64,
    /// On time at the second attempt after an early refusal.
    pub second: u64,
    pub late: u64,
    pub never: u64,
    /// Refused attempts, of any caller.
    pub refusals: u64,
}

impl Outcomes {
    pub fn served(&self) -> u64 {
        self.on_time + self.second + self.late
    }

    pub fn total(&self) -> u64 {
        self.served() + self.never
    }

    pub fn plus(self, other: Self) -> Self {
        Self {
            on_time: self.on_time + other.on_time,
            second: self.second + other.second,
            late: self.late + other.late,
            never: self.never + other.never,
            refusals: self.refusals + other.refusals,
        }
    }

    /// Records a served caller.
    pub fn record_end(&mut self, caller: &Caller, started_ms: u64, now_ms: u64) {
        let is_on_time = started_ms + PROMPT_MS <= caller.attempt_at_ms + OBJECTIVE_MS;
        if now_ms > caller.since_ms + DEADLINE_MS {
            self.never += 1;
        } else if is_on_time && caller.retries == 0 {
            self.on_time += 1;
        } else if is_on_time && caller.retries == 1 && caller.is_refused_early {
            self.second += 1;
        } else {
            self.late += 1;
        }
    }
}

/// A load of returning callers.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The demand at a time, as a factor of the requests per second of the fleet.
    pub demand: fn(u64) -> f64,
    /// Whether a replica is in service at a time.
    pub is_in_service: fn(usize, u64) -> bool,
    pub has_organisations: bool,
    /// Callers that begin within these times are counted.
    pub counted_ms: (u64, u64),
    /// Whether owners refuse early.
    pub refuses_early: bool,
}

/// Returns the most callers that `capacity` runs per ms can serve whose run begins within `window_ms` of
/// their first attempt, and the number of all callers: each unit of capacity serves the oldest caller
/// whose window is still open.
pub fn most_served(
    counted_ms: (u64, u64),
    window_ms: u64,
    demand: impl Fn(u64) -> f64,
    capacity: impl Fn(u64) -> f64,
) -> (f64, f64) {
    let mut waiting: VecDeque<(u64, f64)> = VecDeque::new();
    let (mut served, mut all) = (0.0, 0.0);
    for now_ms in 0..counted_ms.1 + window_ms {
        waiting.push_back((now_ms, demand(now_ms)));
        let is_counted = |at_ms: u64| (counted_ms.0..counted_ms.1).contains(&at_ms);
        if is_counted(now_ms) {
            all += demand(now_ms);
        }
        while waiting.front().is_some_and(|(at_ms, _)| at_ms + window_ms < now_ms) {
            waiting.pop_front();
        }
        let mut left = capacity(now_ms);
        while let Some((at_ms, amount)) = waiting.front_mut() {
            let taken = amount.min(left);
            left -= taken;
            *amount -= taken;
            if is_counted(*at_ms) {
                served += taken;
            }
            if *amount > 1e-12 {
                break;
            }
            waiting.pop_front();
        }
    }
    (served, all)
}
