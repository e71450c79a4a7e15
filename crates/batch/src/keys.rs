//! The keys of a job's objects.

use wire::JobId;
use wire::OrgName;
use wire::job::LotRef;
use wire::rendezvous::shard_of;

/// Returns the key of a job's manifest.
pub fn manifest(job: &JobId) -> String {
    format!("jobs/{job}")
}

/// Returns the key of a lot; the same content has the same key.
pub fn lot(org: &OrgName, lot: &LotRef) -> String {
    format!("lots/{org}/{}-{}", lot.digest, lot.items)
}

/// Returns the prefix of the markers of jobs that are not over, of one shard.
pub fn open_shard(shard: u32) -> String {
    format!("open/{shard:03}/")
}

/// Returns the key of the marker of a job that is not over.
pub fn open_marker(job: &JobId) -> String {
    format!("{}{job}", open_shard(shard_of(job.as_str())))
}

/// Returns the key of the head of a job's ledger.
pub fn head(job: &JobId) -> String {
    format!("ledger/{job}/head")
}

/// Returns the prefix of the chunk records of a job.
pub fn chunks(job: &JobId) -> String {
    format!("ledger/{job}/chunks/")
}

/// Returns the key of one chunk record.
pub fn chunk(job: &JobId, chunk: u32) -> String {
    format!("{}{chunk:05}", chunks(job))
}

/// Returns the key of one part of a chunk record that is too large for one object.
pub fn chunk_part(job: &JobId, chunk: u32, digest: &str) -> String {
    format!("parts/{job}/{chunk:05}/{digest}")
}
