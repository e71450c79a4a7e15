//! One open chunk of a job's ledger: the durable record and the state of each item.

use std::collections::BTreeMap;

use wire::Millis;
use wire::Version;
use wire::job::ChunkRecord;
use wire::job::ItemOutcome;
use wire::job::Outcome;
use wire::job::OutcomeKind;

/// Where an item without a recorded outcome stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ItemState {
    /// The item may be started, or marked first if it is not idempotent.
    Pending(Tries),
    /// The mark is being written.
    Marking,
    /// The mark is recorded and the item was certainly not run since.
    Marked(Tries),
    /// A try is in progress.
    Running(Tries),
    /// An earlier run may exist; it can only be resumed.
    Orphaned(Tries),
    /// The item has its outcome, recorded or not.
    Ended,
}

/// What has been tried for an item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tries {
    /// The number of the current or next try.
    pub attempt: u32,
    /// Backend servers lost while they ran the item.
    pub deaths: u32,
    /// When the item may be tried again.
    pub not_before_ms: Millis,
    /// Whether the current try may only resume an earlier run.
    pub resume_only: bool,
}

/// A write in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingWrite<T> {
    /// The number of the write, from which its id is made.
    pub write: u64,
    /// What is written.
    pub value: T,
    /// When a write without an answer is repeated.
    pub retry_at_ms: Option<Millis>,
}

/// One open chunk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Chunk {
    /// The version of the durable record.
    pub version: Version,
    /// The durable record.
    pub record: ChunkRecord,
    /// The state of each item.
    pub items: Vec<ItemState>,
    /// Outcomes that are not recorded yet.
    pub unrecorded: BTreeMap<u32, Outcome>,
    /// The write in progress.
    pub write: Option<PendingWrite<ChunkRecord>>,
    /// When the oldest unrecorded outcome came.
    pub dirty_since_ms: Option<Millis>,
    /// When the last write ended.
    pub written_at_ms: Option<Millis>,
    /// Whether the durable record is being read.
    pub is_loading: bool,
}

impl Chunk {
    /// Opens a chunk that has no durable record.
    pub fn fresh(items: u32) -> Self {
        Self {
            version: Version::ABSENT,
            record: ChunkRecord::default(),
            items: vec![ItemState::Pending(Tries::default()); items as usize],
            unrecorded: BTreeMap::new(),
            write: None,
            dirty_since_ms: None,
            written_at_ms: None,
            is_loading: false,
        }
    }

    /// Opens a chunk whose durable record must be read first.
    pub fn loading(items: u32) -> Self {
        Self { is_loading: true, ..Self::fresh(items) }
    }

    /// Takes the durable record of an earlier owner, and returns the items running here that it
    /// has ended.
    ///
    /// Recorded outcomes win. An item that another owner has marked, and that does not run here,
    /// can only be resumed.
    pub fn adopt(&mut self, record: ChunkRecord, version: Version) -> Vec<u32> {
        self.is_loading = false;
        self.write = None;
        self.version = version;
        let mut overtaken = Vec::new();
        for ItemOutcome { item, .. } in &record.outcomes {
            let Some(state) = self.items.get_mut(*item as usize) else {
                continue;
            };
            if matches!(state, ItemState::Running(_)) {
                overtaken.push(*item);
            }
            *state = ItemState::Ended;
            self.unrecorded.remove(item);
        }
        for (item, state) in self.items.iter_mut().enumerate() {
            let is_marked = record.started.contains(item as u32);
            let was_mine = self.record.started.contains(item as u32);
            match state {
                ItemState::Pending(tries) | ItemState::Marked(tries) if is_marked && !was_mine => {
                    *state = ItemState::Orphaned(*tries);
                }
                ItemState::Marking if is_marked => {
                    *state = ItemState::Orphaned(Tries::default());
                }
                ItemState::Marking => *state = ItemState::Pending(Tries::default()),
                _ => {}
            }
        }
        self.record = record;
        overtaken
    }

    /// Ends an item with an outcome that is still to be recorded; the first outcome stays.
    pub fn end_item(&mut self, now_ms: Millis, item: u32, kind: OutcomeKind, text: String) {
        if self.items[item as usize] == ItemState::Ended {
            return;
        }
        self.items[item as usize] = ItemState::Ended;
        self.unrecorded.insert(item, Outcome { kind, text });
        self.dirty_since_ms.get_or_insert(now_ms);
    }

    /// Returns the record with all unrecorded outcomes and the marks of items being marked.
    pub fn next_record(&self, epoch: u64) -> ChunkRecord {
        let mut record = self.record.clone();
        record.epoch = epoch;
        for (item, state) in self.items.iter().enumerate() {
            match state {
                ItemState::Marking => {
                    record.started.insert(item as u32);
                }
                ItemState::Pending(_) => record.started.remove(item as u32),
                _ => {}
            }
        }
        let fresh = self.unrecorded.iter();
        record.outcomes.extend(
            fresh.map(|(item, outcome)| ItemOutcome { item: *item, outcome: outcome.clone() }),
        );
        record.outcomes.sort_by_key(|outcome| outcome.item);
        record
    }

    /// Takes a write that took effect.
    pub fn on_written(&mut self, now_ms: Millis, record: ChunkRecord, version: Version) {
        for outcome in &record.outcomes {
            self.unrecorded.remove(&outcome.item);
        }
        for (item, state) in self.items.iter_mut().enumerate() {
            if *state == ItemState::Marking && record.started.contains(item as u32) {
                *state = ItemState::Marked(Tries::default());
            }
        }
        self.dirty_since_ms = (!self.unrecorded.is_empty()).then_some(now_ms);
        self.written_at_ms = Some(now_ms);
        self.record = record;
        self.version = version;
        self.write = None;
    }

    /// Takes back the marks of items that were certainly not run, for the next owner.
    pub fn unmark(&mut self) {
        for state in &mut self.items {
            if let ItemState::Marked(tries) = state {
                *state = ItemState::Pending(*tries);
            }
        }
    }

    /// Returns whether the durable record holds marks that were taken back.
    pub fn has_stale_marks(&self) -> bool {
        let is_stale = |(item, state): (usize, &ItemState)| {
            matches!(state, ItemState::Pending(_)) && self.record.started.contains(item as u32)
        };
        self.items.iter().enumerate().any(is_stale)
    }

    /// Returns whether every item has its outcome.
    pub fn is_ended(&self) -> bool {
        !self.is_loading && self.items.iter().all(|state| *state == ItemState::Ended)
    }

    /// Returns whether every item has its outcome in the durable record.
    pub fn is_recorded(&self) -> bool {
        self.is_ended() && self.unrecorded.is_empty() && self.write.is_none()
    }

    /// Returns the number of items in one of the states that `is_counted` accepts.
    pub fn count(&self, is_counted: impl Fn(&ItemState) -> bool) -> u32 {
        self.items.iter().filter(|state| is_counted(state)).count() as u32
    }
}
