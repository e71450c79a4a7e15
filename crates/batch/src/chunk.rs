//! An open chunk of a job's ledger: its durable record and the state of each of its items.

use std::collections::BTreeMap;

use wire::Millis;
use wire::Version;
use wire::job::ChunkRecord;
use wire::job::ItemOutcome;
use wire::job::Outcome;
use wire::job::OutcomeKind;

/// State of an item in an open chunk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ItemState {
    /// The item may be dispatched; a non-idempotent item must be marked first.
    Pending(RetryState),
    /// The start mark of the item is being written.
    Marking,
    /// The start mark is recorded and the item has certainly not run since.
    Marked(RetryState),
    /// An attempt is in progress.
    Running(RetryState),
    /// An earlier run may exist, so the item may only be resumed.
    Orphaned(RetryState),
    /// The item has an outcome, which may not be recorded yet.
    Ended,
}

/// Retry state of an item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RetryState {
    /// Number of the current attempt, or of the next one if none is in progress.
    pub attempt: u32,
    /// Number of backend servers that were lost while they ran the item.
    pub backend_losses: u32,
    /// Earliest time of the next attempt.
    pub not_before_ms: Millis,
    /// Whether the current attempt may only resume an earlier run.
    pub resume_only: bool,
}

/// A conditional write that has not been confirmed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingWrite<T> {
    /// Number of the write; the write id is derived from it.
    pub number: u64,
    /// The value being written.
    pub value: T,
    /// When an unanswered write is retried; `None` while an answer is awaited.
    pub retry_at_ms: Option<Millis>,
}

/// An open chunk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Chunk {
    /// Version of the durable record.
    pub version: Version,
    /// The durable record as last read or written.
    pub record: ChunkRecord,
    /// State of each item, by index in the chunk.
    pub items: Vec<ItemState>,
    /// Outcomes that are not in the durable record yet, by item.
    pub unrecorded: BTreeMap<u32, Outcome>,
    /// The write in progress, if any.
    pub write: Option<PendingWrite<ChunkRecord>>,
    /// When the oldest unrecorded outcome arrived.
    pub dirty_since_ms: Option<Millis>,
    /// When the last successful write was confirmed.
    pub written_at_ms: Option<Millis>,
    /// Whether the durable record is being read.
    pub is_loading: bool,
}

impl Chunk {
    /// Creates a chunk that has no durable record.
    pub fn new(items: u32) -> Self {
        Self {
            version: Version::ABSENT,
            record: ChunkRecord::default(),
            items: vec![ItemState::Pending(RetryState::default()); items as usize],
            unrecorded: BTreeMap::new(),
            write: None,
            dirty_since_ms: None,
            written_at_ms: None,
            is_loading: false,
        }
    }

    /// Creates a chunk whose durable record must be read before it is worked on.
    pub fn loading(items: u32) -> Self {
        Self { is_loading: true, ..Self::new(items) }
    }

    /// Merges a durable record that was read into the state of the items.
    ///
    /// Recorded outcomes take precedence; returns the items that run here although the record has
    /// an outcome for them. An item that was marked by another owner and does not run here may
    /// only be resumed.
    pub fn merge_record(&mut self, record: ChunkRecord, version: Version) -> Vec<u32> {
        self.is_loading = false;
        self.write = None;
        self.version = version;
        let mut superseded = Vec::new();
        for ItemOutcome { item, .. } in &record.outcomes {
            let Some(state) = self.items.get_mut(*item as usize) else {
                continue;
            };
            if matches!(state, ItemState::Running(_)) {
                superseded.push(*item);
            }
            *state = ItemState::Ended;
            self.unrecorded.remove(item);
        }
        for (item, state) in self.items.iter_mut().enumerate() {
            let is_marked = record.started.contains(item as u32);
            let is_own_mark = self.record.started.contains(item as u32);
            match state {
                ItemState::Pending(retry) | ItemState::Marked(retry)
                    if is_marked && !is_own_mark =>
                {
                    *state = ItemState::Orphaned(*retry);
                }
                ItemState::Marking if is_marked => {
                    *state = ItemState::Orphaned(RetryState::default());
                }
                ItemState::Marking => *state = ItemState::Pending(RetryState::default()),
                _ => {}
            }
        }
        self.record = record;
        superseded
    }

    /// Ends an item with an outcome that is yet to be recorded; keeps an earlier outcome.
    pub fn end_item(&mut self, now_ms: Millis, item: u32, kind: OutcomeKind, text: String) {
        if self.items[item as usize] == ItemState::Ended {
            return;
        }
        self.items[item as usize] = ItemState::Ended;
        self.unrecorded.insert(item, Outcome { kind, text });
        self.dirty_since_ms.get_or_insert(now_ms);
    }

    /// Returns the record to write next, with all unrecorded outcomes and new marks, and without
    /// the marks of items that are pending again.
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
        let unrecorded = self.unrecorded.iter();
        record.outcomes.extend(
            unrecorded.map(|(item, outcome)| ItemOutcome { item: *item, outcome: outcome.clone() }),
        );
        record.outcomes.sort_by_key(|outcome| outcome.item);
        record
    }

    /// Applies the result of a write that took effect.
    pub fn on_written(&mut self, now_ms: Millis, record: ChunkRecord, version: Version) {
        for outcome in &record.outcomes {
            self.unrecorded.remove(&outcome.item);
        }
        for (item, state) in self.items.iter_mut().enumerate() {
            if *state == ItemState::Marking && record.started.contains(item as u32) {
                *state = ItemState::Marked(RetryState::default());
            }
        }
        self.dirty_since_ms = (!self.unrecorded.is_empty()).then_some(now_ms);
        self.written_at_ms = Some(now_ms);
        self.record = record;
        self.version = version;
        self.write = None;
    }

    /// Makes marked items pending again, as they have certainly not run, so that the next owner
    /// may dispatch them.
    pub fn withdraw_marks(&mut self) {
        for state in &mut self.items {
            if let ItemState::Marked(retry) = state {
                *state = ItemState::Pending(*retry);
            }
        }
    }

    /// Returns whether the durable record still has marks of items that are pending again.
    pub fn has_stale_marks(&self) -> bool {
        let is_stale = |(item, state): (usize, &ItemState)| {
            matches!(state, ItemState::Pending(_)) && self.record.started.contains(item as u32)
        };
        self.items.iter().enumerate().any(is_stale)
    }

    /// Returns whether every item has an outcome.
    pub fn is_ended(&self) -> bool {
        !self.is_loading && self.items.iter().all(|state| *state == ItemState::Ended)
    }

    /// Returns whether every item has its outcome in the durable record and no write is pending.
    pub fn is_recorded(&self) -> bool {
        self.is_ended() && self.unrecorded.is_empty() && self.write.is_none()
    }

    /// Returns the number of items whose state satisfies `is_counted`.
    pub fn count(&self, is_counted: impl Fn(&ItemState) -> bool) -> u32 {
        self.items.iter().filter(|state| is_counted(state)).count() as u32
    }
}
