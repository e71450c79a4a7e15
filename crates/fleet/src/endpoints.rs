//! The list of daemon addresses that callers get.

use serde::Deserialize;
use serde::Serialize;
use wire::DataCentre;
use wire::Millis;
use wire::rendezvous;

use crate::membership::DaemonInfo;

/// The daemon addresses for one caller, in order of preference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoints {
    /// The addresses, the preferred one first.
    pub endpoints: Vec<Endpoint>,
    /// How long the caller may cache this list.
    pub keep_ms: Millis,
}

/// The address of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The base URL.
    pub url: String,
    /// The data centre of the host.
    pub data_centre: DataCentre,
}

/// Returns the addresses of `daemons` in order of preference for `caller`.
///
/// Daemons in the caller's data centre come first; rendezvous hashing spreads callers over daemons.
pub fn for_caller(
    daemons: &[DaemonInfo],
    caller: &str,
    data_centre: Option<&str>,
    keep_ms: Millis,
) -> Endpoints {
    let mut ordered: Vec<&DaemonInfo> = daemons.iter().collect();
    ordered.sort_by_key(|daemon| {
        let is_remote = data_centre.is_some_and(|wanted| daemon.data_centre.as_str() != wanted);
        let weight = rendezvous::weight(caller, daemon.daemon.as_str());
        (is_remote, std::cmp::Reverse(weight))
    });
    let endpoints = ordered
        .into_iter()
        .map(|daemon| Endpoint { url: base_url(daemon), data_centre: daemon.data_centre.clone() })
        .collect();
    Endpoints { endpoints, keep_ms }
}

fn base_url(daemon: &DaemonInfo) -> String {
    let scheme = if daemon.callers_tls { "https" } else { "http" };
    format!("{scheme}://{}", daemon.callers_address)
}
