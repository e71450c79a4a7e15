//! Parameters, events and actions of the ledger.

use std::collections::BTreeSet;

use wire::Millis;
use wire::Version;
use wire::job::CHUNK_ITEMS;
use wire::job::ChunkRecord;
use wire::job::LedgerHead;
use wire::link::ItemEnd;

/// Limits that a ledger observes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LedgerLimits {
    /// Maximum number of chunks that are open at the same time.
    pub open_chunks: u32,
    /// Maximum number of items marked in one write.
    pub mark_group: u32,
    /// Longest time that marks and outcomes of non-idempotent items wait to be written.
    pub group_commit_ms: Millis,
    /// Longest time that outcomes of idempotent items wait to be written.
    pub record_within_ms: Millis,
    /// An item is not retried after this many backend servers were lost while they ran it.
    pub max_backend_losses: u32,
    /// Upper bound of the limit on items in flight.
    pub max_in_flight: u32,
}

/// Properties of a job that its ledger depends on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct JobParams {
    /// The number of items.
    pub items: u32,
    /// The number of items in every chunk but the last.
    pub chunk_items: u32,
    /// Whether items may run more than once.
    pub idempotent: bool,
}

impl JobParams {
    /// Returns the properties of a job with chunks of `CHUNK_ITEMS` items.
    pub fn new(items: u32, idempotent: bool) -> Self {
        Self { items, chunk_items: CHUNK_ITEMS, idempotent }
    }

    /// Returns the number of chunks.
    pub fn chunk_count(&self) -> u32 {
        self.items.div_ceil(self.chunk_items)
    }

    /// Returns the number of items in a chunk.
    pub fn items_of(&self, chunk: u32) -> u32 {
        self.chunk_items.min(self.items - chunk * self.chunk_items)
    }
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// The write took effect and produced this version.
    Applied(Version),
    /// The object had a version other than the expected one.
    Conflict,
    /// No answer arrived; the write may still take effect.
    NoAnswer,
}

/// Event that the ledger handles.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The durable head and the list of chunk records were read.
    HeadRead {
        /// The head, or the default if none is stored.
        head: LedgerHead,
        /// Version of the head.
        version: Version,
        /// Chunks that have a durable record.
        recorded_chunks: BTreeSet<u32>,
    },
    /// A write of the head ended.
    HeadWritten {
        /// Number of the write.
        write_number: u64,
        /// Result of the write.
        result: WriteResult,
    },
    /// The record of a chunk was read.
    ChunkRead {
        /// The chunk.
        chunk: u32,
        /// The record, or the default if none is stored.
        record: ChunkRecord,
        /// Version of the record.
        version: Version,
    },
    /// A write of a chunk record ended.
    ChunkWritten {
        /// The chunk.
        chunk: u32,
        /// Number of the write.
        write_number: u64,
        /// Result of the write.
        result: WriteResult,
    },
    /// An attempt at an item ended.
    ItemEnded {
        /// The chunk.
        chunk: u32,
        /// The item's index in the chunk.
        item: u32,
        /// Number of the attempt.
        attempt: u32,
        /// Result of the attempt.
        end: ItemEnd,
    },
    /// The job was cancelled.
    Cancel,
    /// This daemon must give up the job, as it is shutting down or another daemon owns the job's
    /// shard.
    HandBack,
    /// Periodic timer event.
    Tick,
}

/// Action that the runner performs for the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Writes the head if its stored version is `expected`.
    WriteHead {
        /// Number of the write; a retry keeps it.
        write_number: u64,
        /// The head.
        head: LedgerHead,
        /// Version that the stored object must have.
        expected: Version,
    },
    /// Reads the record of a chunk.
    ReadChunk {
        /// The chunk.
        chunk: u32,
    },
    /// Writes the record of a chunk if its stored version is `expected`.
    WriteChunk {
        /// The chunk.
        chunk: u32,
        /// Number of the write; a retry keeps it.
        write_number: u64,
        /// The record.
        record: ChunkRecord,
        /// Version that the stored object must have.
        expected: Version,
    },
    /// Starts an attempt at an item.
    Dispatch {
        /// The chunk.
        chunk: u32,
        /// The item's index in the chunk.
        item: u32,
        /// Number of the attempt.
        attempt: u32,
        /// Whether the attempt may only resume an earlier run.
        resume_only: bool,
        /// Whether the item must not share its replica with other batch items.
        alone: bool,
    },
    /// Stops the attempt at an item; `ItemEnded` still follows.
    Stop {
        /// The chunk.
        chunk: u32,
        /// The item's index in the chunk.
        item: u32,
    },
    /// Releases the input of a chunk whose outcomes are all recorded.
    CloseChunk {
        /// The chunk.
        chunk: u32,
    },
    /// Reports that every item has a recorded outcome and the job has ended.
    Finished,
    /// Reports that another owner has a higher epoch; this ledger writes nothing more.
    Deposed,
    /// Reports that the job is given up, with all outcomes recorded and no owner in the head.
    ///
    /// A ledger that had not read the head yet leaves it as it is.
    HandedBack,
}
