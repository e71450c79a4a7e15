//! What one daemon tells another of the live replicas: the whole list, or what changed in it.

use serde::Deserialize;
use serde::Serialize;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;
use wire::rendezvous;

/// One entry of a view that is handed to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewEntry {
    /// The record.
    pub record: ReplicaRecord,
    /// For a missing record, how long it may still come back.
    pub hold_left_ms: Option<Millis>,
}

/// The list as one daemon sees it, or what changed in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// The store's revision that the view shows.
    pub revision: u64,
    /// The revision after which the view tells every change; none if it is the whole list.
    pub since: Option<u64>,
    /// The records.
    pub entries: Vec<ViewEntry>,
    /// The replicas that are gone, if the view is not the whole list.
    pub gone: Vec<ReplicaName>,
    /// The digest of the sender's whole list.
    pub digest: u64,
}

/// Returns a number that differs between lists with different records, in whatever order they come.
pub fn digest<'a>(records: impl Iterator<Item = &'a ReplicaRecord>) -> u64 {
    records.fold(0, |digest, record| digest ^ hash(record))
}

/// Hashes what may change of a record, besides its name.
fn hash(record: &ReplicaRecord) -> u64 {
    let mut bytes = Vec::with_capacity(record.name.as_str().len() + 16);
    bytes.extend_from_slice(record.name.as_str().as_bytes());
    bytes.extend_from_slice(&record.started_unix_ms.to_be_bytes());
    bytes.extend_from_slice(&record.slots.to_be_bytes());
    bytes.push(u8::from(record.is_draining));
    rendezvous::hash(&bytes)
}
