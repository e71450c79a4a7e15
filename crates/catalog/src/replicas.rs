//! The live replicas, from the platform's list or from a peer's view of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;

use crate::view::ReplicaView;
use crate::view::ViewEntry;
use crate::view::digest;

/// How long after the store's return a missing record may still come back: records that lapsed
/// during an outage are renewed within two seconds, and the renewal takes a moment to be seen.
pub const LAPSE_HOLD_MS: Millis = 2_300;
/// The changes that are remembered for peers; one that lags further behind gets the whole list.
const MAX_CHANGES: usize = 512;

/// A record and, if it is missing from the list, when it counts as gone.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    record: ReplicaRecord,
    gone_at_ms: Option<Millis>,
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
    /// The revisions at which replicas changed, the oldest first.
    changed: VecDeque<(u64, ReplicaName)>,
    /// Every change after this revision is in `changed`.
    complete_after: u64,
    generation: u64,
    is_store_lost: bool,
    hold_until_ms: Millis,
}

impl ReplicaSet {
    /// Returns the store's revision of the last change of the set; 0 before the first list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a number that is another one after every change of the set.
    pub fn generation(&self) -> u64 {
        self.generation
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
        let listed: BTreeSet<&ReplicaName> = records.iter().map(|record| &record.name).collect();
        let missing: Vec<ReplicaName> =
            self.entries.keys().filter(|name| !listed.contains(name)).cloned().collect();
        changes.extend(records.into_iter().filter_map(|record| self.set(record)));
        changes.extend(missing.into_iter().filter_map(|name| self.remove(now_ms, &name)));
        if !changes.is_empty() {
            self.revision = revision;
        }
        self.note(&changes);
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
        self.note(change.as_slice());
        change
    }

    /// Takes a peer's view if it is newer and goes on from what is known here, or if it is another
    /// whole list of the same revision.
    pub fn adopt(&mut self, now_ms: Millis, view: ReplicaView) -> Vec<ReplicaChange> {
        let is_news = match view.since {
            Some(since) => view.revision > self.revision && since <= self.revision,
            None => view.revision >= self.revision && view.digest != self.digest(),
        };
        if !is_news {
            return Vec::new();
        }
        self.revision = view.revision;
        self.seen_revision = self.seen_revision.max(view.revision);
        let gone = match view.since {
            Some(_) => view.gone,
            None => {
                let listed: BTreeSet<&ReplicaName> =
                    view.entries.iter().map(|entry| &entry.record.name).collect();
                self.entries.keys().filter(|name| !listed.contains(name)).cloned().collect()
            }
        };
        let mut changes = Vec::new();
        for name in gone {
            if self.entries.remove(&name).is_some() {
                changes.push(ReplicaChange::Gone(name));
            }
        }
        for entry in view.entries {
            let name = entry.record.name.clone();
            changes.extend(self.set(entry.record));
            if let (Some(left_ms), Some(own)) = (entry.hold_left_ms, self.entries.get_mut(&name)) {
                own.gone_at_ms = Some(now_ms + left_ms);
            }
        }
        self.note(&changes);
        changes
    }

    /// Returns the whole set as a view for peers.
    pub fn view(&self, now_ms: Millis) -> ReplicaView {
        ReplicaView {
            revision: self.revision,
            since: None,
            entries: self.entries.values().map(|entry| view_entry(entry, now_ms)).collect(),
            gone: Vec::new(),
            digest: self.digest(),
        }
    }

    /// Returns what changed after a revision, or the whole set if too much did.
    pub fn view_since(&self, now_ms: Millis, since: u64) -> ReplicaView {
        if since == 0 || since < self.complete_after {
            return self.view(now_ms);
        }
        let names: BTreeSet<&ReplicaName> = self
            .changed
            .iter()
            .filter(|(revision, _)| *revision > since)
            .map(|(_, name)| name)
            .collect();
        let (present, gone): (Vec<&ReplicaName>, Vec<&ReplicaName>) =
            names.into_iter().partition(|name| self.entries.contains_key(*name));
        let entries = present.into_iter().filter_map(|name| self.entries.get(name));
        ReplicaView {
            revision: self.revision,
            since: Some(since),
            entries: entries.map(|entry| view_entry(entry, now_ms)).collect(),
            gone: gone.into_iter().cloned().collect(),
            digest: self.digest(),
        }
    }

    /// Returns a number that differs between sets with different records.
    pub fn digest(&self) -> u64 {
        digest(self.records())
    }

    /// Remembers for peers that replicas changed at the present revision.
    fn note(&mut self, changes: &[ReplicaChange]) {
        self.generation += u64::from(!changes.is_empty());
        for change in changes {
            let name = match change {
                ReplicaChange::Set(record) => record.name.clone(),
                ReplicaChange::Gone(name) => name.clone(),
            };
            self.changed.push_back((self.revision, name));
        }
        while self.changed.len() > MAX_CHANGES {
            if let Some((revision, _)) = self.changed.pop_front() {
                self.complete_after = self.complete_after.max(revision);
            }
        }
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
        let changes: Vec<ReplicaChange> = over.into_iter().map(ReplicaChange::Gone).collect();
        self.note(&changes);
        changes
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

fn view_entry(entry: &Entry, now_ms: Millis) -> ViewEntry {
    ViewEntry {
        record: entry.record.clone(),
        hold_left_ms: entry.gone_at_ms.map(|at_ms| at_ms.saturating_sub(now_ms)),
    }
}
