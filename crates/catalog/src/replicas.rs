//! The live replicas, from the platform's list or from a peer's view of it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;

/// How long after the store's return a missing record may still come back: records that lapsed
/// during an outage are renewed within two seconds, and the renewal takes a moment to be seen.
pub const LAPSE_HOLD_MS: Millis = 2_300;

/// A record and, if it is missing from the list, when it counts as gone.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    record: ReplicaRecord,
    gone_at_ms: Option<Millis>,
}

/// One entry of a view that is handed to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewEntry {
    /// The record.
    pub record: ReplicaRecord,
    /// For a missing record, how long it may still come back.
    pub hold_left_ms: Option<Millis>,
}

/// The whole list as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// The store's revision that the view shows.
    pub revision: u64,
    /// The records.
    pub entries: Vec<ViewEntry>,
}

/// What changed for one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaChange {
    /// A new incarnation, or another record of a known one.
    Set(ReplicaRecord),
    /// The replica is gone.
    Gone(ReplicaName),
}

/// The replicas that are listed now.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSet {
    revision: u64,
    seen_revision: u64,
    entries: BTreeMap<ReplicaName, Entry>,
    is_store_lost: bool,
    hold_until_ms: Millis,
}

impl ReplicaSet {
    /// Returns the store's revision of the last change of the set; 0 before the first list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the records that are in use, those that are missing on hold included.
    pub fn records(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns one record.
    pub fn get(&self, name: &ReplicaName) -> Option<&ReplicaRecord> {
        self.entries.get(name).map(|entry| &entry.record)
    }

    /// Notes that the store does not answer; records that vanish now may have lapsed only.
    pub fn store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Notes that the store answers again.
    pub fn store_returned(&mut self, now_ms: Millis) {
        if self.is_store_lost {
            self.is_store_lost = false;
            self.hold_until_ms = now_ms + LAPSE_HOLD_MS;
        }
    }

    /// Replaces the set by a whole list as of `revision`.
    pub fn replace(
        &mut self,
        now_ms: Millis,
        revision: u64,
        records: Vec<ReplicaRecord>,
    ) -> Vec<ReplicaChange> {
        if revision < self.revision {
            return Vec::new();
        }
        self.seen_revision = revision;
        let mut changes = Vec::new();
        let mut missing: Vec<ReplicaName> = self.entries.keys().cloned().collect();
        missing.retain(|name| !records.iter().any(|record| record.name == *name));
        changes.extend(records.into_iter().filter_map(|record| self.set(record)));
        changes.extend(missing.into_iter().filter_map(|name| self.remove(now_ms, &name)));
        if !changes.is_empty() {
            self.revision = revision;
        }
        changes
    }

    /// Applies one change of the list as of `revision`.
    pub fn apply(
        &mut self,
        now_ms: Millis,
        revision: u64,
        change: ReplicaChange,
    ) -> Option<ReplicaChange> {
        self.seen_revision = self.seen_revision.max(revision);
        let change = match change {
            ReplicaChange::Set(record) => self.set(record),
            ReplicaChange::Gone(name) => self.remove(now_ms, &name),
        };
        if change.is_some() {
            self.revision = self.revision.max(revision);
        }
        change
    }

    /// Takes a peer's view if it is newer.
    pub fn adopt(&mut self, now_ms: Millis, view: ReplicaView) -> Vec<ReplicaChange> {
        if view.revision <= self.revision {
            return Vec::new();
        }
        self.revision = view.revision;
        self.seen_revision = self.seen_revision.max(view.revision);
        let names: Vec<ReplicaName> = self.entries.keys().cloned().collect();
        let is_absent =
            |name: &ReplicaName| !view.entries.iter().any(|entry| entry.record.name == *name);
        let absent: Vec<ReplicaName> = names.into_iter().filter(is_absent).collect();
        let mut changes = Vec::new();
        for name in absent {
            self.entries.remove(&name);
            changes.push(ReplicaChange::Gone(name));
        }
        for entry in view.entries {
            let name = entry.record.name.clone();
            changes.extend(self.set(entry.record));
            if let (Some(left_ms), Some(own)) = (entry.hold_left_ms, self.entries.get_mut(&name)) {
                own.gone_at_ms = Some(now_ms + left_ms);
            }
        }
        changes
    }

    /// Returns the set as a view for peers.
    pub fn view(&self, now_ms: Millis) -> ReplicaView {
        let entries = self.entries.values().map(|entry| ViewEntry {
            record: entry.record.clone(),
            hold_left_ms: entry.gone_at_ms.map(|at_ms| at_ms.saturating_sub(now_ms)),
        });
        ReplicaView { revision: self.revision, entries: entries.collect() }
    }

    /// Removes the records whose hold has ended.
    pub fn tick(&mut self, now_ms: Millis) -> Vec<ReplicaChange> {
        if self.is_store_lost {
            return Vec::new();
        }
        let is_over = |entry: &Entry| entry.gone_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        let over: Vec<ReplicaName> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_over(entry))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &over {
            self.entries.remove(name);
        }
        if !over.is_empty() {
            self.revision = (self.revision + 1).max(self.seen_revision);
        }
        over.into_iter().map(ReplicaChange::Gone).collect()
    }

    fn set(&mut self, record: ReplicaRecord) -> Option<ReplicaChange> {
        let name = record.name.clone();
        let old = self.entries.insert(name, Entry { record: record.clone(), gone_at_ms: None });
        let is_same = old.is_some_and(|old| old.record == record);
        (!is_same).then_some(ReplicaChange::Set(record))
    }

    fn remove(&mut self, now_ms: Millis, name: &ReplicaName) -> Option<ReplicaChange> {
        if self.is_store_lost || now_ms < self.hold_until_ms {
            let hold_until_ms = self.hold_until_ms.max(now_ms);
            if let Some(entry) = self.entries.get_mut(name) {
                entry.gone_at_ms.get_or_insert(hold_until_ms);
            }
            return None;
        }
        self.entries.remove(name).map(|_| ReplicaChange::Gone(name.clone()))
    }
}
