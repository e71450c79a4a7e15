//! What the clients of one run observed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use platform_stub::client::ItemResult;

/// The kind of a client request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A stream that must run at most once.
    Stream,
    /// A stream that another replica may resume.
    Resumable,
    /// A plain, idempotent request.
    Lookup,
}

impl RequestKind {
    /// Returns the deadline that the platform stub's client sends, in milliseconds.
    pub fn deadline_ms(self) -> u64 {
        match self {
            Self::Stream | Self::Resumable => 5_000,
            Self::Lookup => 2_000,
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer arrived completely.
    Answered {
        /// The status.
        status: u16,
        /// Whether the body is the complete body that belongs to this request.
        is_own: bool,
    },
    /// The connection ended before the answer was complete.
    Cut,
    /// The connection could not be opened, or the request was not sent.
    Unconnected,
    /// No answer arrived within the time-out of the client.
    Late,
    /// The client closed the connection.
    Left,
}

/// One online request of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// The request's id.
    pub id: String,
    /// The kind of request.
    pub kind: RequestKind,
    /// The daemon to which it was sent.
    pub daemon: usize,
    /// Whether the connection had carried a request before.
    pub is_connection_reused: bool,
    /// When it was sent, in milliseconds of the run.
    pub sent_ms: u64,
    /// When it ended, in milliseconds of the run.
    pub ended_ms: u64,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// One job of a client.
#[derive(Clone, Debug, Default)]
pub struct JobObservation {
    /// The number of events of each item, by its id.
    pub items: BTreeMap<String, u64>,
    /// The organisation that submits it, if the run has organisations.
    pub organisation: Option<&'static str>,
    /// The status of each submission, 0 where no answer came.
    pub submit_statuses: Vec<u16>,
    /// When it was accepted, in milliseconds of the run.
    pub accepted_ms: Option<u64>,
    /// Whether the client has asked to end the job.
    pub is_end_requested: bool,
    /// When a daemon acknowledged the end, in milliseconds of the run.
    pub ended_ms: Option<u64>,
    /// The result first read at each position.
    pub results: Vec<ItemResult>,
    /// Descriptions of results that changed and of answers that denied the job.
    pub contradictions: Vec<String>,
}

impl JobObservation {
    /// Adds a page of results that starts at `from`, and records what contradicts earlier pages.
    pub fn add_page(&mut self, from: usize, page: Vec<ItemResult>) {
        for (position, result) in (from..).zip(page) {
            match self.results.get(position) {
                Some(known) if *known == result => {}
                Some(known) => self.contradictions.push(format!(
                    "position {position} showed {} ({}) and then {} ({})",
                    known.id, known.state, result.id, result.state
                )),
                None if position == self.results.len() => self.results.push(result),
                None => {}
            }
        }
    }
}

/// One request that tests whether a daemon knows an added route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteQuery {
    /// The daemon.
    pub daemon: usize,
    /// How often the daemon's process had been started.
    pub starts: u32,
    /// The number of the route that was added.
    pub route: u64,
    /// When the route was added, in milliseconds of the run.
    pub added_ms: u64,
    /// When the request was sent, in milliseconds of the run.
    pub sent_ms: u64,
    /// When the answer arrived, in milliseconds of the run.
    pub ended_ms: u64,
    /// Whether the daemon knew the route.
    pub is_known: bool,
}

/// One request of a client that sends with different keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRequest {
    /// The request's id.
    pub id: String,
    /// The key that it was sent with.
    pub key: String,
    /// The daemon to which it was sent.
    pub daemon: usize,
    /// How often the daemon's process had been started; none if it was restarted meanwhile.
    pub starts: Option<u32>,
    /// When it was sent, in milliseconds of the run.
    pub sent_ms: u64,
    /// When it ended, in milliseconds of the run.
    pub ended_ms: u64,
    /// The status of its answer, 0 where no answer came.
    pub status: u16,
}

/// Everything that clients observed.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// Online requests.
    pub requests: Vec<ClientRequest>,
    /// Jobs by id.
    pub jobs: BTreeMap<String, JobObservation>,
    /// Requests that tested added routes.
    pub route_queries: Vec<RouteQuery>,
    /// The ids of all requests that were sent to test routes, answered or not.
    pub route_request_ids: BTreeSet<String>,
    /// Requests of clients that send with different keys.
    pub key_requests: Vec<KeyRequest>,
    /// The organisation of each request and item that was sent with a key of one, by id.
    pub organisations: BTreeMap<String, &'static str>,
}

impl Observation {
    /// Records the organisation that sends a request or an item.
    pub fn record_organisation(&mut self, id: &str, organisation: &'static str) {
        self.organisations.insert(id.to_owned(), organisation);
    }
}
