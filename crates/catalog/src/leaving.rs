//! The replicas that have announced that they leave, whatever their records say.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;

/// How long an announcement is kept without a record of its replica; a record may vanish for a
/// while and return while the replica still runs.
pub const UNLISTED_KEEP_MS: Millis = 600_000;

/// One life of a replica, from its start to its end.
///
/// The name and the start time identify it. The address separates two incarnations without a start
/// time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The name, which a later incarnation may have as well.
    pub name: ReplicaName,
    /// When it started, in milliseconds since the Unix epoch; 0 if its record does not say.
    pub started_unix_ms: Millis,
    /// The address on which it listens.
    pub address: SocketAddr,
}

impl From<&ReplicaRecord> for Incarnation {
    fn from(record: &ReplicaRecord) -> Self {
        Self {
            name: record.name.clone(),
            started_unix_ms: record.started_unix_ms,
            address: record.address,
        }
    }
}

/// The incarnations that have announced that they leave, and when each was last listed.
#[derive(Clone, Debug, Default)]
pub struct LeavingReplicas {
    listed_at_ms: HashMap<Incarnation, Millis>,
}

impl LeavingReplicas {
    /// Records an announcement; returns whether it is new.
    pub fn insert(&mut self, now_ms: Millis, incarnation: Incarnation) -> bool {
        self.listed_at_ms.insert(incarnation, now_ms).is_none()
    }

    /// Returns whether the replica of a record has announced that it leaves.
    pub fn contains(&self, record: &ReplicaRecord) -> bool {
        !self.listed_at_ms.is_empty() && self.listed_at_ms.contains_key(&Incarnation::from(record))
    }

    /// Handles the removal of a record. Without a start time a later record of the same name and
    /// address counts as a new incarnation.
    pub fn record_removal(&mut self, name: &ReplicaName) {
        self.listed_at_ms
            .retain(|incarnation, _| incarnation.started_unix_ms != 0 || incarnation.name != *name);
    }

    /// Forgets the incarnations that have not been listed for a long time.
    pub fn tick(&mut self, now_ms: Millis, is_listed: impl Fn(&Incarnation) -> bool) {
        self.listed_at_ms.retain(|incarnation, listed_at_ms| {
            if is_listed(incarnation) {
                *listed_at_ms = now_ms;
            }
            now_ms < *listed_at_ms + UNLISTED_KEEP_MS
        });
    }
}
