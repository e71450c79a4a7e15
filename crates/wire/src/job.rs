//! Jobs, lots, items, outcomes and the ledger records kept in the object API.

use serde::Deserialize;
use serde::Serialize;

use crate::BitSet;
use crate::DaemonName;
use crate::JobId;
use crate::Millis;
use crate::ModelName;
use crate::OrgName;

/// The maximum number of items in a job.
pub const MAX_JOB_ITEMS: u32 = 720_000;
/// The number of items in one lot, except the last.
pub const LOT_ITEMS: u32 = 4096;
/// The largest uncompressed lot, in bytes.
pub const MAX_LOT_BYTES: usize = 16 << 20;
/// The largest prompt of one item or request, in bytes.
pub const MAX_PROMPT_BYTES: usize = 64 << 10;
/// The number of items in one ledger chunk, except the last; it divides `LOT_ITEMS`.
pub const CHUNK_ITEMS: u32 = 256;

/// One item of a job as the caller sends it, one JSON line each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// The caller's id for the item, returned with the result.
    pub custom_id: String,
    /// The text to complete.
    pub prompt: String,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// The parameters of a job as the caller submits it, without its items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The caller's key; a resend with the same key is the same job.
    pub key: String,
    /// The model that runs the items.
    pub model: ModelName,
    /// Whether an item may run again after its first run was lost.
    pub idempotent: bool,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub due_unix_ms: Millis,
    /// The lots in order.
    pub lots: Vec<LotRef>,
}

/// A reference to a lot by its content; a lot that is sent twice is stored once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LotRef {
    /// The SHA-256 of the uncompressed JSON lines, in hexadecimal.
    pub digest: String,
    /// The number of items in the lot.
    pub items: u32,
}

/// An accepted job; a job counts as accepted once this object exists in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The job.
    pub job: JobId,
    /// The organisation that owns the job.
    pub org: OrgName,
    /// The parameters that the caller submitted.
    pub spec: JobSpec,
    /// The number of items in all lots.
    pub items: u32,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: Millis,
    /// Whether the job has been cancelled; never reset.
    pub cancelled: bool,
}

impl Manifest {
    /// Returns the number of ledger chunks.
    pub fn chunk_count(&self) -> u32 {
        self.items.div_ceil(CHUNK_ITEMS)
    }

    /// Returns the number of items in `chunk`.
    pub fn chunk_items(&self, chunk: u32) -> u32 {
        CHUNK_ITEMS.min(self.items.saturating_sub(chunk * CHUNK_ITEMS))
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// The item has an answer.
    Done,
    /// The backend server refused the item, or its attempts are used up.
    Failed,
    /// A non-idempotent item was started and its answer was lost; it was not run again.
    Interrupted,
    /// The job was cancelled before the item ended.
    Cancelled,
}

/// The final outcome of an item; each item has exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// How the item ended.
    pub kind: OutcomeKind,
    /// The answer for `Done`, otherwise a sentence that states the cause.
    pub text: String,
}

/// One recorded outcome inside a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ItemOutcome {
    /// The item's index in the chunk.
    pub item: u32,
    /// Its outcome.
    pub outcome: Outcome,
}

/// The durable record of one chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// The epoch of the owner that wrote the record.
    pub epoch: u64,
    /// Items of a non-idempotent job that were marked as started before their dispatch.
    pub started: BitSet,
    /// The outcomes so far, in order of item.
    pub outcomes: Vec<ItemOutcome>,
}

/// The number of items by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Items with an answer.
    pub done: u32,
    /// Items that failed permanently.
    pub failed: u32,
    /// Items interrupted after their start.
    pub interrupted: u32,
    /// Items cancelled with their job.
    pub cancelled: u32,
}

impl OutcomeCounts {
    /// Counts one more outcome.
    pub fn add(&mut self, kind: OutcomeKind) {
        let count = match kind {
            OutcomeKind::Done => &mut self.done,
            OutcomeKind::Failed => &mut self.failed,
            OutcomeKind::Interrupted => &mut self.interrupted,
            OutcomeKind::Cancelled => &mut self.cancelled,
        };
        *count += 1;
    }

    /// Returns the number of items that have ended.
    pub fn total(&self) -> u32 {
        self.done + self.failed + self.interrupted + self.cancelled
    }
}

/// The stored head of a job's ledger: its owner and its progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LedgerHead {
    /// Incremented by one at every change of owner.
    pub epoch: u64,
    /// The owner of this epoch.
    pub owner: Option<DaemonName>,
    /// The chunks in which every item has a recorded outcome.
    pub done_chunks: BitSet,
    /// Outcomes in the done chunks.
    pub counts: OutcomeCounts,
    /// Whether every item has its outcome.
    pub finished: bool,
}
