//! The answer that tells callers which addresses to use.

use serde::Deserialize;
use serde::Serialize;
use wire::DataCentre;
use wire::Millis;
use wire::rendezvous;

use crate::membership::DaemonInfo;

/// The addresses for one caller, the best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoints {
    /// The addresses.
    pub endpoints: Vec<Endpoint>,
    /// How long the caller may keep this answer.
    pub keep_ms: Millis,
}

/// One address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The base URL.
    pub url: String,
    /// The data centre of the host.
    pub data_centre: DataCentre,
}

/// Orders the daemons for one caller: its data centre first, and spread over callers by hash.
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
