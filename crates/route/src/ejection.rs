//! Ejection of replicas that fail, which never empties the set.

use wire::Millis;

/// Failures in a row before a replica is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// The length of the first ejection; it doubles with each further one.
const FIRST_EJECTION_MS: Millis = 1_000;
/// The longest ejection.
const MAX_EJECTION_MS: Millis = 30_000;

/// The recent record of one replica.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    failures: u32,
    ejections: u32,
    until_ms: Millis,
}

impl Ejection {
    /// Records an answer, which ends any ejection.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure.
    pub fn on_failure(&mut self, now_ms: Millis) {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return;
        }
        let length_ms = (FIRST_EJECTION_MS << self.ejections.min(5)).min(MAX_EJECTION_MS);
        self.until_ms = now_ms + length_ms;
        self.ejections += 1;
        // One more failure after the ejection is enough for the next.
        self.failures = FAILURES_TO_EJECT - 1;
    }

    /// Returns whether the replica is ejected now.
    pub fn is_ejected(&self, now_ms: Millis) -> bool {
        now_ms < self.until_ms
    }
}

/// Drops ejected members unless more than half would go; then all stay.
pub fn keep_enough<T>(members: Vec<T>, is_ejected: impl Fn(&T) -> bool) -> Vec<T> {
    let ejected = members.iter().filter(|member| is_ejected(member)).count();
    if ejected * 2 > members.len() {
        return members;
    }
    members.into_iter().filter(|member| !is_ejected(member)).collect()
}
