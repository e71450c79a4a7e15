//! Decides which callers may read and end a job, and passes callers on to the job's home.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use gate::Caller;
use http::StatusCode;
use log::info;
use wire::OrgName;

use crate::job::Job;
use crate::manager::JobManager;
use crate::serve::CallOrigin;

/// The start of the query with the caller's organisation.
const ORGANISATION_QUERY: &str = "organisation=";
/// The query of a caller without a key.
const ANONYMOUS_QUERY: &str = "anonymous";
/// The query of a caller whom the forwarding daemon cannot check.
const UNKNOWN_QUERY: &str = "unknown";

/// Whether a caller may read and end a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// It may.
    Granted,
    /// It may not; for the caller the job does not exist.
    Denied,
    /// This daemon cannot tell without a current configuration.
    Undecided,
}

/// Returns the access of a caller to a job of `owner`; `is_open` tells whether the job's route needs
/// no key.
///
/// A job without an owner was submitted without a key: on an open route, or before the configuration
/// had organisations.
pub fn access(caller: &Caller, owner: Option<&OrgName>, is_open: bool) -> Access {
    let is_granted = match (caller, owner) {
        (Caller::Unchecked, _) | (Caller::Unknown | Caller::Member(_), None) => true,
        (Caller::Unknown, Some(_)) => return Access::Undecided,
        (Caller::Member(organisation), Some(owner)) => organisation == owner,
        (Caller::Anonymous, None) => is_open,
        (Caller::Anonymous, Some(_)) => false,
    };
    if is_granted { Access::Granted } else { Access::Denied }
}

/// Returns the query that tells a job's home who calls; empty for a caller who is not checked, as
/// from a daemon that does not know organisations.
pub fn encode_caller(caller: &Caller) -> String {
    match caller {
        Caller::Unchecked => String::new(),
        Caller::Unknown => format!("?{UNKNOWN_QUERY}"),
        Caller::Anonymous => format!("?{ANONYMOUS_QUERY}"),
        Caller::Member(organisation) => {
            format!("?{ORGANISATION_QUERY}{}", URL_SAFE_NO_PAD.encode(organisation.as_str()))
        }
    }
}

/// Decodes the caller from the query of a forwarded call; a query that cannot be read is that of an
/// unknown caller.
pub fn decode_caller(query: Option<&str>) -> Caller {
    let organisation = match query {
        None => return Caller::Unchecked,
        Some(ANONYMOUS_QUERY) => return Caller::Anonymous,
        Some(query) => query.strip_prefix(ORGANISATION_QUERY),
    };
    organisation
        .and_then(|text| String::from_utf8(URL_SAFE_NO_PAD.decode(text).ok()?).ok())
        .map_or(Caller::Unknown, |name| Caller::Member(OrgName::from(name)))
}

impl JobManager {
    /// Returns the answer to a caller who may not read or end a job.
    ///
    /// A daemon that forwards a call gets another status than a client, so that it does not take
    /// this one for a daemon without the job.
    pub(crate) fn deny(
        &self,
        caller: &Caller,
        job: &Job,
        origin: CallOrigin,
    ) -> Option<StatusCode> {
        let is_open = self.route_of(job).is_some_and(|route| route.is_open);
        let access = access(caller, job.organisation.as_ref(), is_open);
        let status = match (access, origin) {
            (Access::Granted, _) => return None,
            (Access::Undecided, _) => StatusCode::SERVICE_UNAVAILABLE,
            (Access::Denied, CallOrigin::Client) => StatusCode::NOT_FOUND,
            (Access::Denied, CallOrigin::Peer) => StatusCode::FORBIDDEN,
        };
        self.deps.counters.count("job_calls_denied");
        info!(
            "event=job_call_denied job={} organisation=\"{}\" owner=\"{}\" status={}",
            job.id,
            caller.organisation().map_or("-", OrgName::as_str).escape_debug(),
            job.organisation.as_ref().map_or("-", OrgName::as_str).escape_debug(),
            status.as_u16()
        );
        Some(status)
    }
}
