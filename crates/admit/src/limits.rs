//! Admission control of online requests, without I/O.

use std::collections::BTreeMap;

use wire::Millis;
use wire::OrgName;
use wire::Reason;
use wire::Refusal;

/// The time over which an unused rate accumulates, in seconds.
const BURST_S: f64 = 2.0;
/// The minimum burst in requests, so that a small share of a rate still admits single requests.
const MIN_BURST: f64 = 4.0;
/// The retry delay suggested to an organisation with too many requests in flight.
const IN_FLIGHT_RETRY_AFTER_MS: Millis = 250;

/// The limits of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrgLimit {
    /// Requests per second over the whole fleet.
    pub requests_per_s: f64,
    /// Requests in flight at this daemon.
    pub max_in_flight: u32,
}

#[derive(Clone, Debug)]
struct OrgState {
    tokens: f64,
    refilled_at_ms: Millis,
    in_flight: u32,
}

/// The admission state of one daemon: a token bucket and a count of requests per organisation.
#[derive(Debug, Default)]
pub struct OrgLimiter {
    live_daemons: usize,
    orgs: BTreeMap<OrgName, OrgState>,
}

impl OrgLimiter {
    /// Creates the state for a fleet of one daemon.
    pub fn new() -> Self {
        Self { live_daemons: 1, orgs: BTreeMap::new() }
    }

    /// Sets the number of daemons that share each organisation's rate.
    pub fn set_live_daemons(&mut self, live_daemons: usize) {
        self.live_daemons = live_daemons.max(1);
    }

    /// Admits or refuses a request; the end of an admitted request must be reported by `on_end`.
    pub fn admit(
        &mut self,
        now_ms: Millis,
        org: &OrgName,
        limit: OrgLimit,
        deadline_ms: Millis,
    ) -> Result<(), Refusal> {
        if deadline_ms <= now_ms {
            let message = "the deadline had passed when the request arrived";
            return Err(Refusal::not_run(Reason::Deadline, message));
        }
        let rate_per_ms = limit.requests_per_s / self.live_daemons as f64 / 1000.0;
        let burst = (rate_per_ms * BURST_S * 1000.0).max(MIN_BURST);
        let state = self.orgs.entry(org.clone()).or_insert(OrgState {
            tokens: burst,
            refilled_at_ms: now_ms,
            in_flight: 0,
        });
        if state.in_flight >= limit.max_in_flight {
            let message = format!("'{org}' has {} requests in flight here", state.in_flight);
            let refusal = Refusal::not_run(Reason::ConcurrencyLimit, message);
            return Err(refusal.with_retry_after(IN_FLIGHT_RETRY_AFTER_MS));
        }
        let elapsed_ms = now_ms.saturating_sub(state.refilled_at_ms) as f64;
        state.refilled_at_ms = now_ms;
        state.tokens = (state.tokens + elapsed_ms * rate_per_ms).min(burst);
        if state.tokens < 1.0 {
            let wait_ms = ((1.0 - state.tokens) / rate_per_ms).ceil() as Millis;
            let message = format!("'{org}' is over its {} requests a second", limit.requests_per_s);
            return Err(Refusal::not_run(Reason::RateLimit, message).with_retry_after(wait_ms));
        }
        state.tokens -= 1.0;
        state.in_flight += 1;
        Ok(())
    }

    /// Records that an admitted request has ended.
    pub fn on_end(&mut self, org: &OrgName) {
        if let Some(state) = self.orgs.get_mut(org) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}
