//! What clients saw in one run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use platform_stub::client::ItemResult;

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// A stream that must not run twice.
    Stream,
    /// A stream that may go on elsewhere.
    Resumable,
    /// A plain request that may be repeated.
    Lookup,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A whole answer.
    Answered {
        /// The status.
        status: u16,
        /// Whether the body is the replica's whole body for this request.
        is_own: bool,
    },
    /// The connection ended without a whole answer.
    Cut,
    /// No connection was made.
    Unconnected,
    /// No end in time.
    Late,
    /// The client left.
    Left,
}

/// One request of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The request's id.
    pub id: String,
    /// What it asked for.
    pub ask: Ask,
    /// The daemon.
    pub daemon: usize,
    /// Whether the connection had carried a request before.
    pub is_kept: bool,
    /// When it was sent, in milliseconds of the run.
    pub sent_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// How it ended.
    pub seen: Seen,
}

/// One job of a client.
#[derive(Clone, Debug, Default)]
pub struct JobSeen {
    /// The events of each item, by its id.
    pub items: BTreeMap<String, u64>,
    /// The statuses of the hand-ins, 0 where there was none.
    pub statuses: Vec<u16>,
    /// When it was accepted.
    pub accepted_ms: Option<u64>,
    /// Whether the client asked for its end.
    pub is_end_asked: bool,
    /// When the end was acknowledged.
    pub ended_ms: Option<u64>,
    /// What was read at each position.
    pub listed: Vec<ItemResult>,
    /// Positions whose result changed, and answers that deny the job, as sentences.
    pub contradictions: Vec<String>,
}

impl JobSeen {
    /// Takes a page of results in and notes what contradicts earlier pages.
    pub fn read(&mut self, from: usize, page: Vec<ItemResult>) {
        for (place, result) in (from..).zip(page) {
            match self.listed.get(place) {
                Some(known) if *known == result => {}
                Some(known) => self.contradictions.push(format!(
                    "position {place} showed {} ({}) and then {} ({})",
                    known.id, known.state, result.id, result.state
                )),
                None if place == self.listed.len() => self.listed.push(result),
                None => {}
            }
        }
    }
}

/// One question whether a daemon knows a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteSeen {
    /// The daemon.
    pub daemon: usize,
    /// How often its process had been started.
    pub life: u32,
    /// The number of the route that was added.
    pub route: u64,
    /// When the route was added.
    pub added_ms: u64,
    /// When it was asked for.
    pub sent_ms: u64,
    /// When the answer came.
    pub ended_ms: u64,
    /// Whether the daemon knew it.
    pub is_known: bool,
}

/// All that clients saw.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// Online requests.
    pub attempts: Vec<Attempt>,
    /// Jobs by id.
    pub jobs: BTreeMap<String, JobSeen>,
    /// Questions about added routes.
    pub routes: Vec<RouteSeen>,
    /// The ids of all requests that were sent for the questions about routes.
    pub route_ids: BTreeSet<String>,
}
