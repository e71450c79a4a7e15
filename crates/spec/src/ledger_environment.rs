//! The environment of the ledger in its model: the object API, the network and the engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wire::Version;
use wire::job::ChunkRecord;
use wire::job::LedgerHead;
use wire::job::Outcome;

/// One stored object and the write that produced it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Object<T> {
    /// The value.
    pub value: T,
    /// The version.
    pub version: Version,
    /// The owner that wrote it, and the number of its write.
    pub written_by: (usize, u64),
}

/// The object that a write changes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// The head.
    Head,
    /// The record of one chunk.
    Chunk(u32),
}

/// The value of a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Value {
    /// A head.
    Head(LedgerHead),
    /// A chunk record.
    Chunk(ChunkRecord),
}

/// A write that has not reached the store yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// The owner that sent it; a restarted daemon counts as a new owner.
    pub owner: usize,
    /// Its number among the owner's writes.
    pub number: u64,
    /// The object that it changes.
    pub target: Target,
    /// The value.
    pub value: Value,
    /// The version that the object must have.
    pub expected: Version,
    /// Whether the sender has already been told that no answer came.
    pub is_timed_out: bool,
}

/// An attempt at an item, on its way to an engine or running there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemAttempt {
    /// The owner that dispatched it.
    pub owner: usize,
    /// The chunk.
    pub chunk: u32,
    /// The item.
    pub item: u32,
    /// The number of the attempt.
    pub number: u32,
    /// Whether it may only resume an earlier run.
    pub resume_only: bool,
    /// Whether the engine has started it.
    pub is_started: bool,
    /// Whether its owner has asked to stop it.
    pub is_stop_requested: bool,
}

/// The durable objects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Store {
    /// The head.
    pub head: Object<LedgerHead>,
    /// The chunk records.
    pub chunks: BTreeMap<u32, Object<ChunkRecord>>,
    /// The version of the latest write.
    pub last_version: u64,
    /// Whether the manifest says that the job is cancelled.
    pub is_cancelled: bool,
}

/// The store's reply to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The write has taken effect, now or when it was sent before.
    Applied(Version),
    /// The object has another version than the expected one.
    Conflict,
}

impl Store {
    /// Applies a write; `is_conditional` is false only for a mutation.
    pub fn apply(&mut self, write: &Write, is_conditional: bool) -> StoreReply {
        let id = (write.owner, write.number);
        let (version, writer) = self.version_and_writer(&write.target);
        if writer == id && version != Version::ABSENT {
            return StoreReply::Applied(version);
        }
        if is_conditional && version != write.expected {
            return StoreReply::Conflict;
        }
        self.last_version += 1;
        let version = Version(self.last_version);
        match (&write.target, &write.value) {
            (Target::Head, Value::Head(value)) => {
                self.head = Object { value: value.clone(), version, written_by: id };
            }
            (Target::Chunk(chunk), Value::Chunk(value)) => {
                let object = Object { value: value.clone(), version, written_by: id };
                self.chunks.insert(*chunk, object);
            }
            _ => {}
        }
        StoreReply::Applied(version)
    }

    /// Returns the record of a chunk, or an empty one if there is none.
    pub fn read_chunk(&self, chunk: u32) -> (ChunkRecord, Version) {
        self.chunks.get(&chunk).map_or((ChunkRecord::default(), Version::ABSENT), |object| {
            (object.value.clone(), object.version)
        })
    }

    /// Returns the chunks that have a record.
    pub fn recorded_chunks(&self) -> BTreeSet<u32> {
        self.chunks.keys().copied().collect()
    }

    /// Returns every recorded outcome by chunk and item.
    pub fn outcomes(&self) -> BTreeMap<(u32, u32), Outcome> {
        self.chunks
            .iter()
            .flat_map(|(chunk, object)| {
                let outcomes = object.value.outcomes.iter();
                outcomes.map(|entry| ((*chunk, entry.item), entry.outcome.clone()))
            })
            .collect()
    }

    fn version_and_writer(&self, target: &Target) -> (Version, (usize, u64)) {
        match target {
            Target::Head => (self.head.version, self.head.written_by),
            Target::Chunk(chunk) => self
                .chunks
                .get(chunk)
                .map_or((Version::ABSENT, (0, 0)), |object| (object.version, object.written_by)),
        }
    }
}
