//! The messages by which daemons exchange the list of live replicas, complete or as a difference.

use serde::Deserialize;
use serde::Serialize;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;
use wire::rendezvous;

/// One entry of a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewEntry {
    /// The record of the replica.
    pub record: ReplicaRecord,
    /// For a record that is missing from the store, the rest of its hold, in which it may return.
    pub hold_left_ms: Option<Millis>,
}

/// The list of replicas as one daemon knows it, or the changes in it since a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// The revision of the list that the view reflects.
    pub revision: u64,
    /// The revision since which the view contains every change; `None` if it is the complete list.
    pub since: Option<u64>,
    /// The records, or those that have changed.
    pub entries: Vec<ViewEntry>,
    /// The replicas that were removed, if the view is not the complete list.
    pub gone: Vec<ReplicaName>,
    /// The digest of the sender's complete list.
    pub digest: u64,
}

/// Returns a digest of the records that does not depend on their order.
pub fn digest<'a>(records: impl Iterator<Item = &'a ReplicaRecord>) -> u64 {
    records.fold(0, |digest, record| digest ^ hash(record))
}

/// Returns a hash of a record's name, start time, slots and draining state.
fn hash(record: &ReplicaRecord) -> u64 {
    let mut bytes = Vec::with_capacity(record.name.as_str().len() + 16);
    bytes.extend_from_slice(record.name.as_str().as_bytes());
    bytes.extend_from_slice(&record.started_unix_ms.to_be_bytes());
    bytes.extend_from_slice(&record.slots.to_be_bytes());
    bytes.push(u8::from(record.is_draining));
    rendezvous::hash(&bytes)
}
