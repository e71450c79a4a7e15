//! The adapter round the admission core, and the deadline of a request.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use admit::Limits;
use admit::limits::OrgLimit;
use bundle::schema::Organisation;
use fleet::MembershipService;
use http::HeaderMap;
use kernel::Services;
use wire::Millis;
use wire::OrgName;
use wire::Refusal;

use crate::request::parsed_header;

/// The header that tells how long the caller waits.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The longest deadline, in milliseconds.
const MAX_DEADLINE_MS: Millis = 3_600_000;

/// Admission at one daemon.
pub struct Admission {
    services: Arc<Services>,
    members: Arc<MembershipService>,
    limits: Mutex<Limits>,
}

impl Admission {
    /// Creates the adapter.
    pub fn new(services: Arc<Services>, members: Arc<MembershipService>) -> Arc<Self> {
        Arc::new(Self { services, members, limits: Mutex::new(Limits::new()) })
    }

    /// Returns a request's deadline on the daemon's clock.
    pub fn deadline_ms(&self, headers: &HeaderMap) -> Result<Millis, Refusal> {
        let wait_ms = parsed_header::<Millis>(headers, DEADLINE_HEADER)?
            .unwrap_or(self.services.settings.online.default_deadline_ms);
        Ok(self.services.clock.now_ms() + wait_ms.min(MAX_DEADLINE_MS))
    }

    /// Admits a request; it is in flight until the permit is dropped.
    pub fn admit(
        self: &Arc<Self>,
        org: &Organisation,
        deadline_ms: Millis,
    ) -> Result<Permit, Refusal> {
        let live = self.members.serving_daemons().len();
        let limit =
            OrgLimit { requests_per_s: org.requests_per_s, max_in_flight: org.max_in_flight };
        let mut limits = self.limits();
        limits.set_live_daemons(live);
        limits.admit(self.services.clock.now_ms(), &org.name, limit, deadline_ms)?;
        Ok(Permit { admission: Arc::clone(self), org: org.name.clone() })
    }

    fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An admitted request.
pub struct Permit {
    admission: Arc<Admission>,
    org: OrgName,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.limits().on_end(&self.org);
    }
}
