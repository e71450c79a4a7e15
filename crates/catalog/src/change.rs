//! A change of the set of live replicas.

use wire::ReplicaName;
use wire::ReplicaRecord;

/// A change of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaChange {
    /// The replica is new or its record has changed.
    Set(ReplicaRecord),
    /// The replica was removed.
    Gone(ReplicaName),
}

impl ReplicaChange {
    /// Returns the name of the replica.
    pub fn name(&self) -> &ReplicaName {
        match self {
            Self::Set(record) => &record.name,
            Self::Gone(name) => name,
        }
    }
}
