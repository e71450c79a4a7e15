//! Ejection of failing replicas, which never removes all of them.

use wire::Millis;

/// The number of consecutive failures after which a replica is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// The duration of the first ejection; it doubles with each further one.
const FIRST_EJECTION_MS: Millis = 1_000;
/// The longest ejection.
const MAX_EJECTION_MS: Millis = 30_000;

/// The failures and ejections of one replica.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    failures: u32,
    ejections: u32,
    until_ms: Millis,
}

impl Ejection {
    /// Records a success, which ends any ejection and resets the counts.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure.
    pub fn on_failure(&mut self, now_ms: Millis) {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return;
        }
        let duration_ms = (FIRST_EJECTION_MS << self.ejections.min(5)).min(MAX_EJECTION_MS);
        self.until_ms = now_ms + duration_ms;
        self.ejections += 1;
        // A single failure after this ejection starts the next one.
        self.failures = FAILURES_TO_EJECT - 1;
    }

    /// Returns whether the replica is ejected now.
    pub fn is_ejected(&self, now_ms: Millis) -> bool {
        now_ms < self.until_ms
    }
}

/// Removes ejected members, or none if more than half are ejected.
pub fn drop_ejected<T>(members: Vec<T>, is_ejected: impl Fn(&T) -> bool) -> Vec<T> {
    let ejected = members.iter().filter(|member| is_ejected(member)).count();
    if ejected * 2 > members.len() {
        return members;
    }
    members.into_iter().filter(|member| !is_ejected(member)).collect()
}
