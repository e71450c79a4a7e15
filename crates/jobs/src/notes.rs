//! What a home tells every daemon of its jobs.

use serde::Deserialize;
use serde::Serialize;
use wire::JobId;

/// The jobs of one home, as its heartbeats carry them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeNotes {
    /// The jobs that still run, and those that are kept for readers.
    pub jobs: Vec<JobNote>,
    /// The tokens that wait on each route, by the hash of the route's host and prefix.
    pub waiting: Vec<WaitingTokens>,
}

/// One job of a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobNote {
    /// The job.
    pub job: JobId,
    /// Whether it is not over yet.
    pub is_open: bool,
}

/// The tokens that wait at one home on one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingTokens {
    /// The hash of the route's host and prefix.
    pub route: u64,
    /// The tokens.
    pub tokens: u64,
}

/// A message about one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobMessage {
    /// No daemon runs the job: its home is gone, or the receiver is its home and does not know.
    Adopt {
        /// The job.
        job: JobId,
    },
}
