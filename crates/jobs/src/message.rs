//! Messages about jobs between daemons.

use serde::Deserialize;
use serde::Serialize;
use wire::JobId;

/// The jobs of one home, sent with its heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatJobs {
    /// The unfinished jobs, and the finished ones that are kept for readers.
    pub jobs: Vec<JobSummary>,
    /// The tokens of unfinished items on each route, by organisation.
    pub waiting: Vec<WaitingTokens>,
}

/// One job of a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// The job's id.
    pub job: JobId,
    /// Whether the job is unfinished.
    pub is_open: bool,
}

/// The tokens of one organisation's unfinished items of one home on one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingTokens {
    /// The hash of the route's host and path prefix, and of the organisation if there is one.
    pub route: u64,
    /// The sum of the tokens.
    pub tokens: u64,
}

/// A message about one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobMessage {
    /// Asks the receiver to adopt a job that no daemon runs: its home is gone, or its record names
    /// the receiver, which does not know the job.
    Adopt {
        /// The job's id.
        job: JobId,
    },
}
