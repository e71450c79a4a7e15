//! Keys of a job's objects in the object API.

use wire::JobId;
use wire::OrgName;
use wire::job::LotRef;
use wire::rendezvous::shard_of;

/// Returns the key of a job's manifest.
pub fn manifest(job: &JobId) -> String {
    format!("jobs/{job}")
}

/// Returns the key of a lot, which is derived from its content.
pub fn lot(org: &OrgName, lot: &LotRef) -> String {
    format!("lots/{org}/{}-{}", lot.digest, lot.items)
}

/// Returns the key prefix of the open-job markers of a shard.
pub fn open_marker_prefix(shard: u32) -> String {
    format!("open/{shard:03}/")
}

/// Returns the key of a job's open-job marker, which exists until the job has ended.
pub fn open_marker(job: &JobId) -> String {
    format!("{}{job}", open_marker_prefix(shard_of(job.as_str())))
}

/// Returns the key of the head of a job's ledger.
pub fn head(job: &JobId) -> String {
    format!("ledger/{job}/head")
}

/// Returns the key prefix of a job's chunk records.
pub fn chunk_prefix(job: &JobId) -> String {
    format!("ledger/{job}/chunks/")
}

/// Returns the key of a chunk record.
pub fn chunk(job: &JobId, chunk: u32) -> String {
    format!("{}{chunk:05}", chunk_prefix(job))
}

/// Returns the key of a part of a chunk record that is too large for one object.
pub fn chunk_part(job: &JobId, chunk: u32, digest: &str) -> String {
    format!("parts/{job}/{chunk:05}/{digest}")
}
