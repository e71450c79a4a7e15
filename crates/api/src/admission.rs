//! Admission of requests by organisation, and their deadlines.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use admit::OrgLimiter;
use admit::limits::OrgLimit;
use bundle::schema::Organisation;
use fleet::MembershipService;
use http::HeaderMap;
use kernel::Services;
use wire::Millis;
use wire::OrgName;
use wire::Refusal;

use crate::request::parse_header;

/// Header with the time that the caller is willing to wait, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Longest time from arrival to deadline.
const MAX_DEADLINE_MS: Millis = 3_600_000;

/// Applies the organisations' limits at one daemon.
pub struct Admission {
    services: Arc<Services>,
    members: Arc<MembershipService>,
    limiter: Mutex<OrgLimiter>,
}

impl Admission {
    /// Creates the admission control of a daemon.
    pub fn new(services: Arc<Services>, members: Arc<MembershipService>) -> Arc<Self> {
        Arc::new(Self { services, members, limiter: Mutex::new(OrgLimiter::new()) })
    }

    /// Returns the deadline of a request on the daemon's clock.
    pub fn deadline_ms(&self, headers: &HeaderMap) -> Result<Millis, Refusal> {
        let wait_ms = parse_header::<Millis>(headers, DEADLINE_HEADER)?
            .unwrap_or(self.services.settings.online.default_deadline_ms);
        Ok(self.services.clock.now_ms() + wait_ms.min(MAX_DEADLINE_MS))
    }

    /// Admits a request, which counts as in flight until its permit is dropped.
    pub fn admit(
        self: &Arc<Self>,
        org: &Organisation,
        deadline_ms: Millis,
    ) -> Result<Permit, Refusal> {
        let live_daemons = self.members.serving_daemons().len();
        let limit =
            OrgLimit { requests_per_s: org.requests_per_s, max_in_flight: org.max_in_flight };
        let mut limiter = self.limiter();
        limiter.set_live_daemons(live_daemons);
        limiter.admit(self.services.clock.now_ms(), &org.name, limit, deadline_ms)?;
        Ok(Permit { admission: Arc::clone(self), org: org.name.clone() })
    }

    fn limiter(&self) -> MutexGuard<'_, OrgLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An admitted request; it stops counting as in flight when the permit is dropped.
pub struct Permit {
    admission: Arc<Admission>,
    org: OrgName,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.limiter().on_end(&self.org);
    }
}
