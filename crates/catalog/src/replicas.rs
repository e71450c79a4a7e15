//! The set of live replicas, updated from the store or from the view of a peer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;

use crate::leaving::Incarnation;
use crate::leaving::LeavingReplicas;
use crate::view::ReplicaView;
use crate::view::ViewEntry;
use crate::view::digest;

/// How long missing records are kept on hold, that is, in use, once the store is reachable again:
/// records that expired during an outage are renewed within two seconds, and a renewal takes a
/// moment to be seen.
pub const MISSING_HOLD_MS: Millis = 2_300;
/// The number of changes kept for peers; a peer that lags further behind gets the complete list.
const MAX_CHANGES: usize = 512;

/// A record and, if it is missing from the store, when its hold ends and it is removed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    record: ReplicaRecord,
    remove_at_ms: Option<Millis>,
}

/// A change of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaChange {
    /// The replica is new or its record has changed.
    Set(ReplicaRecord),
    /// The replica was removed.
    Gone(ReplicaName),
}

/// The replicas in use, with the recent changes.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSet {
    revision: u64,
    /// The latest revision received from the store or a peer, even without a change of the set.
    seen_revision: u64,
    entries: BTreeMap<ReplicaName, Entry>,
    /// The replicas that changed and the revisions at which they did, the oldest first.
    recent_changes: VecDeque<(u64, ReplicaName)>,
    /// Every change after this revision is in `recent_changes`.
    complete_after: u64,
    generation: u64,
    is_store_unreachable: bool,
    hold_until_ms: Millis,
    leaving: LeavingReplicas,
}

impl ReplicaSet {
    /// Returns the revision of the last change of the set, or 0 before the first list. It is the
    /// store's, except that the end of a hold may raise it to one more.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a counter that increases with every change of the set.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the records in use, including missing ones on hold.
    pub fn records(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the record of a replica.
    pub fn get(&self, name: &ReplicaName) -> Option<&ReplicaRecord> {
        self.entries.get(name).map(|entry| &entry.record)
    }

    /// Returns the records of the replicas that may get new requests.
    pub fn usable_records(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.records().filter(|record| self.accepts_requests(record))
    }

    /// Returns whether the replica of a record is in use and may get new requests.
    pub fn is_usable(&self, replica: &ReplicaRecord) -> bool {
        self.is_listed(&Incarnation::from(replica))
            && self.get(&replica.name).is_some_and(|listed| self.accepts_requests(listed))
    }

    /// Records that a replica has announced that it leaves; returns whether that is new.
    ///
    /// No record undoes it except that of another incarnation.
    pub fn record_leaving(&mut self, now_ms: Millis, incarnation: Incarnation) -> bool {
        self.leaving.insert(now_ms, incarnation)
    }

    /// Returns whether an incarnation is in use.
    pub fn is_listed(&self, incarnation: &Incarnation) -> bool {
        self.get(&incarnation.name).is_some_and(|record| Incarnation::from(record) == *incarnation)
    }

    /// Returns whether the replica of a record has announced that it leaves.
    pub fn is_leaving(&self, replica: &ReplicaRecord) -> bool {
        self.leaving.contains(replica)
    }

    fn accepts_requests(&self, record: &ReplicaRecord) -> bool {
        !record.is_draining && !self.is_leaving(record)
    }

    /// Sets the store as unreachable; records that go missing now may only have expired.
    pub fn set_store_unreachable(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Sets the store as reachable; after an outage this starts the hold of missing records.
    pub fn set_store_reachable(&mut self, now_ms: Millis) {
        if self.is_store_unreachable {
            self.is_store_unreachable = false;
            self.hold_until_ms = now_ms + MISSING_HOLD_MS;
        }
    }

    /// Replaces the set by the complete list of a revision and returns the changes.
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
        self.record_changes(&changes);
        changes
    }

    /// Applies one change of a revision; returns it if it had an effect.
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
        self.record_changes(change.as_slice());
        change
    }

    /// Merges the view of a peer and returns the changes.
    ///
    /// A difference is merged only if it is newer and starts at a revision that is known here; a
    /// complete list also if it differs from this one under the same revision.
    pub fn merge_view(&mut self, now_ms: Millis, view: ReplicaView) -> Vec<ReplicaChange> {
        let is_applicable = match view.since {
            Some(since) => view.revision > self.revision && since <= self.revision,
            None => view.revision >= self.revision && view.digest != self.digest(),
        };
        if !is_applicable {
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
            if let (Some(left_ms), Some(existing)) =
                (entry.hold_left_ms, self.entries.get_mut(&name))
            {
                existing.remove_at_ms = Some(now_ms.saturating_add(left_ms));
            }
        }
        self.record_changes(&changes);
        changes
    }

    /// Returns the complete set as a view for peers.
    pub fn view(&self, now_ms: Millis) -> ReplicaView {
        ReplicaView {
            revision: self.revision,
            since: None,
            entries: self.entries.values().map(|entry| view_entry(entry, now_ms)).collect(),
            gone: Vec::new(),
            digest: self.digest(),
        }
    }

    /// Returns the changes after a revision, or the complete set if not all of them are kept.
    pub fn view_since(&self, now_ms: Millis, since: u64) -> ReplicaView {
        if since == 0 || since < self.complete_after {
            return self.view(now_ms);
        }
        let names: BTreeSet<&ReplicaName> = self
            .recent_changes
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

    /// Returns a digest of the records in the set.
    pub fn digest(&self) -> u64 {
        digest(self.records())
    }

    /// Keeps changes at the current revision for peers.
    fn record_changes(&mut self, changes: &[ReplicaChange]) {
        self.generation += u64::from(!changes.is_empty());
        for change in changes {
            let name = match change {
                ReplicaChange::Set(record) => record.name.clone(),
                ReplicaChange::Gone(name) => {
                    self.leaving.record_removal(name);
                    name.clone()
                }
            };
            self.recent_changes.push_back((self.revision, name));
        }
        while self.recent_changes.len() > MAX_CHANGES {
            if let Some((revision, _)) = self.recent_changes.pop_front() {
                self.complete_after = self.complete_after.max(revision);
            }
        }
    }

    /// Removes the records whose hold has ended, unless the store is unreachable.
    pub fn tick(&mut self, now_ms: Millis) -> Vec<ReplicaChange> {
        let entries = &self.entries;
        self.leaving.tick(now_ms, |incarnation| {
            let entry = entries.get(&incarnation.name);
            entry.is_some_and(|entry| Incarnation::from(&entry.record) == *incarnation)
        });
        if self.is_store_unreachable {
            return Vec::new();
        }
        let has_expired = |entry: &Entry| entry.remove_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        let expired: Vec<ReplicaName> = self
            .entries
            .iter()
            .filter(|(_, entry)| has_expired(entry))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.entries.remove(name);
        }
        if !expired.is_empty() {
            self.revision = self.revision.saturating_add(1).max(self.seen_revision);
        }
        let changes: Vec<ReplicaChange> = expired.into_iter().map(ReplicaChange::Gone).collect();
        self.record_changes(&changes);
        changes
    }

    fn set(&mut self, record: ReplicaRecord) -> Option<ReplicaChange> {
        let name = record.name.clone();
        let old = self.entries.insert(name, Entry { record: record.clone(), remove_at_ms: None });
        let is_same = old.is_some_and(|old| old.record == record);
        (!is_same).then_some(ReplicaChange::Set(record))
    }

    fn remove(&mut self, now_ms: Millis, name: &ReplicaName) -> Option<ReplicaChange> {
        if self.is_store_unreachable || now_ms < self.hold_until_ms {
            let hold_until_ms = self.hold_until_ms.max(now_ms);
            if let Some(entry) = self.entries.get_mut(name) {
                entry.remove_at_ms.get_or_insert(hold_until_ms);
            }
            return None;
        }
        self.entries.remove(name).map(|_| ReplicaChange::Gone(name.clone()))
    }
}

fn view_entry(entry: &Entry, now_ms: Millis) -> ViewEntry {
    ViewEntry {
        record: entry.record.clone(),
        hold_left_ms: entry.remove_at_ms.map(|at_ms| at_ms.saturating_sub(now_ms)),
    }
}
