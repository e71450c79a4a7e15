//! What the ledger core is told and what it asks for.

use std::collections::BTreeSet;

use wire::Millis;
use wire::Version;
use wire::job::CHUNK_ITEMS;
use wire::job::ChunkRecord;
use wire::job::Head;
use wire::link::ItemEnd;

/// The limits of one ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LedgerLimits {
    /// Chunks worked on at once.
    pub open_chunks: u32,
    /// Items marked in one write.
    pub mark_group: u32,
    /// The longest wait of marks and outcomes of non-idempotent items for their write.
    pub group_commit_ms: Millis,
    /// The longest wait of outcomes of idempotent items for their write.
    pub record_within_ms: Millis,
    /// Backend servers that may be lost to one item before it fails.
    pub max_attempts: u32,
    /// The most items in flight.
    pub max_in_flight: u32,
}

/// What the ledger must know of its job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct JobFacts {
    /// The number of items.
    pub items: u32,
    /// The number of items in each chunk but the last.
    pub chunk_items: u32,
    /// Whether items may run again.
    pub idempotent: bool,
}

impl JobFacts {
    /// Returns the facts of a job with chunks of the usual size.
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

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteEnd {
    /// It took effect and made this version.
    Applied(Version),
    /// The object had another version.
    Conflict,
    /// No answer; the write may still take effect.
    NoAnswer,
}

/// What the ledger is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The durable head was read, with the chunks that have a record.
    HeadRead {
        /// The head; the default if there is none.
        head: Head,
        /// Its version.
        version: Version,
        /// Chunks with a durable record.
        existing: BTreeSet<u32>,
    },
    /// A write of the head ended.
    HeadWritten {
        /// The number of the write.
        write: u64,
        /// How it ended.
        end: WriteEnd,
    },
    /// A chunk's record was read.
    ChunkRead {
        /// The chunk.
        chunk: u32,
        /// The record; the default if there is none.
        record: ChunkRecord,
        /// Its version.
        version: Version,
    },
    /// A write of a chunk's record ended.
    ChunkWritten {
        /// The chunk.
        chunk: u32,
        /// The number of the write.
        write: u64,
        /// How it ended.
        end: WriteEnd,
    },
    /// A try at an item ended.
    ItemEnded {
        /// The chunk.
        chunk: u32,
        /// The item's index in the chunk.
        item: u32,
        /// The number of the try.
        attempt: u32,
        /// How it ended.
        end: ItemEnd,
    },
    /// The job was cancelled.
    Cancel,
    /// This daemon gives the job back: it leaves, or another daemon is the job's home.
    HandBack,
    /// Time has passed.
    Tick,
}

/// What the adapter does.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Writes the head if it has the version `expected`.
    WriteHead {
        /// The number of the write; a repeated write keeps it.
        write: u64,
        /// The head.
        head: Head,
        /// The version that must be there.
        expected: Version,
    },
    /// Reads a chunk's record.
    ReadChunk {
        /// The chunk.
        chunk: u32,
    },
    /// Writes a chunk's record if it has the version `expected`.
    WriteChunk {
        /// The chunk.
        chunk: u32,
        /// The number of the write; a repeated write keeps it.
        write: u64,
        /// The record.
        record: ChunkRecord,
        /// The version that must be there.
        expected: Version,
    },
    /// Starts a try at an item.
    Dispatch {
        /// The chunk.
        chunk: u32,
        /// The item's index in the chunk.
        item: u32,
        /// The number of the try.
        attempt: u32,
        /// Whether the try may only resume an earlier run.
        resume_only: bool,
        /// Whether the item shares its replica with no other batch item.
        alone: bool,
    },
    /// Stops a try; it still ends with `ItemEnded`.
    Stop {
        /// The chunk.
        chunk: u32,
        /// The item's index in the chunk.
        item: u32,
    },
    /// Drops the input of a chunk that is done.
    CloseChunk {
        /// The chunk.
        chunk: u32,
    },
    /// Every item has its outcome; the job is over.
    Finished,
    /// Another owner has a higher epoch; nothing more is written.
    Deposed,
    /// Everything is recorded and the head names no owner.
    HandedBack,
}
