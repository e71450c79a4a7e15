//! Who sends a request, as far as the configuration in force requires it to be known.

use std::fmt;
use std::sync::Arc;

use catalog::contact::MAX_CONTACT_GAP_MS;
use slots::Share;
use wire::Configuration;
use wire::OrgName;
use wire::Reason;
use wire::Refusal;
use wire::Route;
use wire::RouteKind;
use wire::organisation::key_hash;

use crate::gateway::Gateway;
use crate::gateway::UNCONFIGURED_RETRY_MS;

/// The key that a client sent, which neither the log nor Debug output shows.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Returns the key for a look-up in the configuration.
    pub fn as_secret(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ApiKey {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

/// Formats the hash of the key.
impl fmt::Display for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&key_hash(&self.0))
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ApiKey({self})")
    }
}

/// The sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no organisations: credentials are forwarded as the client sent them.
    Unchecked,
    /// No current configuration is known, so this daemon cannot tell whether callers need keys.
    Unknown,
    /// A client without a valid key, on an open route.
    Anonymous,
    /// A client with a key of this organisation.
    Member(OrgName),
}

impl Caller {
    /// Returns the organisation of the caller.
    pub fn organisation(&self) -> Option<&OrgName> {
        match self {
            Self::Member(organisation) => Some(organisation),
            Self::Unchecked | Self::Unknown | Self::Anonymous => None,
        }
    }

    /// Returns whether the credentials of the client must not reach a replica.
    pub fn is_checked(&self) -> bool {
        *self != Self::Unchecked
    }
}

/// Returns the caller with a key, or `None` if the configuration requires another key.
pub fn identify(
    configuration: &Configuration,
    is_open: bool,
    key: Option<&ApiKey>,
) -> Option<Caller> {
    if !configuration.has_organisations() {
        return Some(Caller::Unchecked);
    }
    let organisation = key.and_then(|key| configuration.organisation_of_key(key.as_secret()));
    match organisation {
        Some(organisation) => Some(Caller::Member(organisation.name.clone())),
        None => is_open.then_some(Caller::Anonymous),
    }
}

impl Gateway {
    /// Returns the caller of a request for a route, or the refusal of its key.
    pub(crate) fn authenticate(
        &self,
        route: &Route,
        key: Option<&ApiKey>,
    ) -> Result<Caller, Refusal> {
        let in_force = self.in_force.borrow();
        let caller = match in_force.current() {
            // A newer configuration may have organisations, whose keys replicas must not get.
            Some(configuration)
                if key.is_some()
                    && !configuration.has_organisations()
                    && in_force.is_outdated() =>
            {
                return Err(outdated_key());
            }
            Some(configuration) => identify(configuration, route.is_open, key),
            None => Some(Caller::Unchecked),
        };
        drop(in_force);
        caller.ok_or_else(|| self.refuse_key())
    }

    /// Returns the caller of a call about a job, which names no route.
    ///
    /// A call without a key may be about a job of an open route, which the job's home decides.
    pub(crate) fn authenticate_job_call(&self, key: Option<&ApiKey>) -> Result<Caller, Refusal> {
        let in_force = self.in_force.borrow();
        let caller = match in_force.current() {
            None => Some(Caller::Unknown),
            Some(configuration) if !configuration.has_organisations() => {
                // A newer configuration may have organisations.
                let is_outdated = in_force.is_outdated();
                Some(if is_outdated { Caller::Unknown } else { Caller::Unchecked })
            }
            Some(configuration) => {
                let is_open = |route: &Arc<Route>| route.kind == RouteKind::Batch && route.is_open;
                let may_be_open = key.is_none() && configuration.routes().iter().any(is_open);
                identify(configuration, may_be_open, key)
            }
        };
        drop(in_force);
        caller.ok_or_else(|| self.refuse_key())
    }

    /// Returns the refusal of a request that waited for a slot and whose caller is no longer the one
    /// that was admitted, since a newer configuration came into force meanwhile.
    pub(crate) fn check_waiting_caller(
        &self,
        route: &Route,
        key: Option<&ApiKey>,
        caller: &Caller,
    ) -> Result<(), Refusal> {
        match self.authenticate(route, key)? {
            // Organisations that were removed cannot be told from those that never were.
            Caller::Unchecked => Ok(()),
            current if current == *caller => Ok(()),
            _ => Err(outdated_key()),
        }
    }

    /// Returns by which organisation and priority a request waits for a slot; `None` if the
    /// configuration has no organisations. The organisation's priority takes precedence.
    pub(crate) fn share(&self, route: &Route, caller: &Caller) -> Option<Share> {
        let organisation = match caller {
            Caller::Unchecked | Caller::Unknown => return None,
            Caller::Anonymous | Caller::Member(_) => caller.organisation(),
        };
        let in_force = self.in_force.borrow();
        let priority = organisation
            .and_then(|name| in_force.current()?.organisation(name)?.priority)
            .unwrap_or(route.priority);
        Some(Share::new(organisation, priority))
    }

    /// Returns the refusal of a missing or unknown key, which may be valid in a newer configuration.
    fn refuse_key(&self) -> Refusal {
        let list = self.slots.list_state();
        let is_cut_off = list.store_age_ms.is_none_or(|age_ms| age_ms > MAX_CONTACT_GAP_MS);
        if self.in_force.borrow().is_outdated() || is_cut_off {
            return outdated_key();
        }
        Refusal::not_run(Reason::Unauthenticated, "send a valid key")
    }

    /// Returns the hash of a request's key for the log, or `-` if it has none or needs none.
    pub(crate) fn logged_key_hash(&self, key: Option<&ApiKey>) -> String {
        let in_force = self.in_force.borrow();
        let needs_key = in_force.current().is_some_and(|current| current.has_organisations());
        key.filter(|_| needs_key).map_or("-".to_owned(), ApiKey::to_string)
    }
}

fn outdated_key() -> Refusal {
    let message = "the key may be one of a newer configuration, which is on its way";
    Refusal::not_run(Reason::OutdatedBundle, message).with_retry_after(UNCONFIGURED_RETRY_MS)
}
