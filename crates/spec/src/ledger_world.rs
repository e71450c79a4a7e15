//! The world round the ledger in the model: the object API, the network and the engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wire::Version;
use wire::job::ChunkRecord;
use wire::job::LedgerHead;
use wire::job::Outcome;

/// One object with the write that made it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Object<T> {
    /// The value.
    pub value: T,
    /// The version.
    pub version: Version,
    /// The owner and number of the write.
    pub write: (usize, u64),
}

/// What a write changes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// The head.
    Head,
    /// One chunk.
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

/// A write on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// The owner that sent it; a restarted daemon is another owner.
    pub owner: usize,
    /// Its number at that owner.
    pub write: u64,
    /// What it changes.
    pub target: Target,
    /// The value.
    pub value: Value,
    /// The version that must be there.
    pub expected: Version,
    /// Whether the sender was already told that no answer came.
    pub is_given_up: bool,
}

/// A try at an item on its way or at an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Try {
    /// The owner that dispatched it.
    pub owner: usize,
    /// The chunk.
    pub chunk: u32,
    /// The item.
    pub item: u32,
    /// The number of the try.
    pub attempt: u32,
    /// Whether it may only resume a run.
    pub resume_only: bool,
    /// Whether the engine has it.
    pub is_started: bool,
    /// Whether it should stop.
    pub is_stopped: bool,
}

/// The durable objects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Store {
    /// The head.
    pub head: Object<LedgerHead>,
    /// The chunk records.
    pub chunks: BTreeMap<u32, Object<ChunkRecord>>,
    /// The version made last.
    pub last_version: u64,
    /// Whether the manifest says that the job is cancelled.
    pub is_cancelled: bool,
}

/// How a write met the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    /// It took effect, now or earlier.
    Applied(Version),
    /// Another version was there.
    Conflict,
}

impl Store {
    /// Applies a write; `is_conditional` is false only for a mutation.
    pub fn apply(&mut self, write: &Write, is_conditional: bool) -> Met {
        let id = (write.owner, write.write);
        let (version, known) = self.current(&write.target);
        if known == id && version != Version::ABSENT {
            return Met::Applied(version);
        }
        if is_conditional && version != write.expected {
            return Met::Conflict;
        }
        self.last_version += 1;
        let version = Version(self.last_version);
        match (&write.target, &write.value) {
            (Target::Head, Value::Head(value)) => {
                self.head = Object { value: value.clone(), version, write: id };
            }
            (Target::Chunk(chunk), Value::Chunk(value)) => {
                let object = Object { value: value.clone(), version, write: id };
                self.chunks.insert(*chunk, object);
            }
            _ => {}
        }
        Met::Applied(version)
    }

    /// Returns a chunk's record; an absent one is empty.
    pub fn chunk(&self, chunk: u32) -> (ChunkRecord, Version) {
        self.chunks.get(&chunk).map_or((ChunkRecord::default(), Version::ABSENT), |object| {
            (object.value.clone(), object.version)
        })
    }

    /// Returns the chunks that have a record.
    pub fn existing(&self) -> BTreeSet<u32> {
        self.chunks.keys().copied().collect()
    }

    /// Returns every recorded outcome.
    pub fn outcomes(&self) -> BTreeMap<(u32, u32), Outcome> {
        self.chunks
            .iter()
            .flat_map(|(chunk, object)| {
                let outcomes = object.value.outcomes.iter();
                outcomes.map(|entry| ((*chunk, entry.item), entry.outcome.clone()))
            })
            .collect()
    }

    fn current(&self, target: &Target) -> (Version, (usize, u64)) {
        match target {
            Target::Head => (self.head.version, self.head.write),
            Target::Chunk(chunk) => {
                self.chunks.get(chunk).map_or((Version::ABSENT, (0, 0)), |o| (o.version, o.write))
            }
        }
    }
}
