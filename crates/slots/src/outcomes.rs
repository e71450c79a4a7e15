//! The outcomes of runs that a holder reports to the owners of replicas.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use wire::ReplicaName;
use wire::RequestId;
use wire::rendezvous;

/// The most failures of a replica that wait for the next message to its owner; more are dropped,
/// since far fewer decide.
const MAX_PENDING_FAILURES: usize = 16;
/// The most successes of a replica that wait for the next message to its owner.
const MAX_PENDING_SUCCESSES: u16 = 64;

/// Outcomes of runs at one replica, appended to messages to its owner.
///
/// Builds before it ignore bytes after a complete message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// The number of successes.
    pub successes: u16,
    /// The hashes of the requests whose runs failed.
    pub failures: Vec<u32>,
}

impl OutcomeReport {
    /// Returns whether the report has no outcome.
    pub fn is_empty(&self) -> bool {
        self.successes == 0 && self.failures.is_empty()
    }

    /// Returns a report with one outcome: the latest failure if there is one, else a success.
    pub fn last(&self) -> Self {
        let failures: Vec<u32> = self.failures.last().copied().into_iter().collect();
        let successes = if failures.is_empty() { self.successes.min(1) } else { 0 };
        Self { successes, failures }
    }
}

/// Returns a hash that tells the requests of some seconds apart.
pub fn request_hash(request: &RequestId) -> u32 {
    // The low half suffices for the few failures that are kept.
    rendezvous::hash(request.as_str().as_bytes()) as u32
}

/// Collects outcomes until a message to the owner of their replica is sent.
#[derive(Clone, Debug, Default)]
pub struct PendingOutcomes {
    replicas: HashMap<ReplicaName, OutcomeReport>,
}

impl PendingOutcomes {
    /// Records a success.
    pub fn record_success(&mut self, replica: &ReplicaName) {
        let report = self.replicas.entry(replica.clone()).or_default();
        report.successes = (report.successes + 1).min(MAX_PENDING_SUCCESSES);
    }

    /// Records a failure of a request's run.
    pub fn record_failure(&mut self, replica: &ReplicaName, request: &RequestId) {
        let report = self.replicas.entry(replica.clone()).or_default();
        if report.failures.len() < MAX_PENDING_FAILURES {
            report.failures.push(request_hash(request));
        }
    }

    /// Takes the outcomes of a replica.
    pub fn take(&mut self, replica: &ReplicaName) -> OutcomeReport {
        self.replicas.remove(replica).unwrap_or_default()
    }
}
