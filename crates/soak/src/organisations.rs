//! The organisations of a run: their keys, their quotas and the operator's changes to both.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

/// The organisations whose clients send ordinary requests and jobs, below their quotas.
pub const USUAL: [&str; 2] = ["usual-0", "usual-1"];
/// The organisation that sends many times its quota.
pub const HOT: &str = "hot";
/// The organisation whose quota is lowered.
pub const LOWERED: &str = "lowered";
/// The organisation some of whose keys are revoked.
pub const ROTATING: &str = "rotating";
/// The organisation whose requests test the added routes.
pub const OPERATOR: &str = "operator";
/// The number of keys of the rotating organisation; the last one is never revoked.
pub const ROTATING_KEYS: usize = 3;
/// A key that is in no configuration.
pub const UNKNOWN_KEY: &str = "soak-key-of-nobody";
/// The beginning of every key, which no log may contain.
pub const KEY_PREFIX: &str = "soak-key-";

/// The length of the window in which a quota is checked, in milliseconds; the platform's
/// `quota_window_s`.
pub const QUOTA_WINDOW_MS: u64 = 5_000;
/// The factor by which a window may exceed the quota; one more than the platform's `quota_overage`.
const MAX_OVERAGE_FACTOR: f64 = 1.1;
/// The number of requests by which a window may exceed the quota; the platform's `quota_slack`.
const QUOTA_SLACK: f64 = 20.0;

/// The limit on the requests of an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// The number of requests per second.
    pub rate_per_s: u64,
    /// The number of requests that may come at once.
    pub burst: u64,
}

impl Quota {
    /// Returns the maximum number of requests that may be sent and run in one window.
    pub fn max_in_window(self) -> f64 {
        let allowance = self.rate_per_s * QUOTA_WINDOW_MS / 1_000 + self.burst;
        allowance as f64 * MAX_OVERAGE_FACTOR + QUOTA_SLACK
    }
}

/// Returns the first quota of an organisation, or nothing if it has none.
pub fn first_quota(organisation: &str) -> Option<Quota> {
    match organisation {
        HOT => Some(Quota { rate_per_s: 10, burst: 5 }),
        LOWERED => Some(Quota { rate_per_s: 20, burst: 10 }),
        name if USUAL.contains(&name) => Some(Quota { rate_per_s: 400, burst: 200 }),
        _ => None,
    }
}

/// The quota of the organisation whose quota is lowered, after the change.
pub const LOWERED_QUOTA: Quota = Quota { rate_per_s: 4, burst: 2 };

/// Returns a key of an organisation; only the rotating one has keys other than 0.
pub fn key(organisation: &str, number: usize) -> String {
    format!("{KEY_PREFIX}{organisation}-{number}")
}

/// The operator's changes to the organisations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Organisations {
    /// When each revoked key was revoked, in milliseconds of the run.
    pub revoked_ms: BTreeMap<String, u64>,
    /// When the quota was lowered, in milliseconds of the run.
    pub lowered_ms: Option<u64>,
}

impl Organisations {
    /// Revokes a key of the rotating organisation.
    pub fn revoke(&mut self, number: usize, now_ms: u64) {
        self.revoked_ms.insert(key(ROTATING, number), now_ms);
    }

    /// Returns the organisations as the configuration lists them.
    pub fn to_json(&self) -> Value {
        let names = USUAL.into_iter().chain([HOT, LOWERED, ROTATING, OPERATOR]);
        names.map(|name| self.organisation_json(name)).collect()
    }

    fn organisation_json(&self, name: &str) -> Value {
        let count = if name == ROTATING { ROTATING_KEYS } else { 1 };
        let keys: Vec<String> = (0..count)
            .map(|number| key(name, number))
            .filter(|key| !self.revoked_ms.contains_key(key))
            .collect();
        let is_lowered = name == LOWERED && self.lowered_ms.is_some();
        let quota = if is_lowered { Some(LOWERED_QUOTA) } else { first_quota(name) };
        let mut organisation = json!({ "name": name, "api_keys": keys });
        if let Some(quota) = quota {
            organisation["rate_per_s"] = json!(quota.rate_per_s);
            organisation["burst"] = json!(quota.burst);
        }
        organisation
    }
}
