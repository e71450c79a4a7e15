//! The set of live replicas, updated from the store or from the view of a peer.
//!
//! Only an answer of the store places, clears or ends the hold of a missing record, and every
//! revision is one of the store. A daemon that does not watch the store copies the result.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;

use crate::contact::ContactReport;
use crate::contact::StoreContact;
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

/// A record with the latest information on it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    record: ReplicaRecord,
    /// The latest revision at which the store or a peer is known to have had the record.
    confirmed_revision: u64,
    /// For a record that is missing from the store, when its hold ends.
    hold_until_ms: Option<Millis>,
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
    entries: BTreeMap<ReplicaName, Entry>,
    /// The replicas that changed and the revisions at which they did, the oldest first.
    recent_changes: VecDeque<(u64, ReplicaName)>,
    /// Every change after this revision is in `recent_changes`.
    complete_after: u64,
    generation: u64,
    is_store_unreachable: bool,
    hold_until_ms: Millis,
    leaving: LeavingReplicas,
    contact: StoreContact,
}

impl ReplicaSet {
    /// Returns the store's revision at the last change of a record or hold, or 0 before the first list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a counter that increases with every change of the set.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the fleet's contact with the store.
    pub fn contact(&self) -> &StoreContact {
        &self.contact
    }

    /// Records that the store answered a call of this daemon at `answered_ms`.
    pub fn record_store_answer(&mut self, now_ms: Millis, answered_ms: Millis) {
        self.contact.record_answer(now_ms, answered_ms);
    }

    /// Merges the report of a peer on the store's answers.
    pub fn merge_contact(&mut self, now_ms: Millis, report: ContactReport) {
        self.contact.merge(now_ms, report);
    }

    /// Returns the revision at which the record of a replica is known to have been in the store.
    pub fn confirmed_revision(&self, name: &ReplicaName) -> Option<u64> {
        self.entries.get(name).map(|entry| entry.confirmed_revision)
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

    /// Sets the store as unreachable or not watched by this daemon; records that are missing from its
    /// next answer may only have expired.
    pub fn set_store_unreachable(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Sets the store as reachable; after an outage this starts the hold of missing records.
    pub fn set_store_reachable(&mut self, now_ms: Millis) {
        if self.is_store_unreachable {
            self.is_store_unreachable = false;
            self.hold_until_ms = now_ms + MISSING_HOLD_MS;
            for entry in self.entries.values_mut().filter(|entry| entry.hold_until_ms.is_some()) {
                entry.hold_until_ms = Some(self.hold_until_ms);
            }
        }
    }

    /// Returns when the next hold ends, so that a new list must show whether the record is gone.
    pub fn next_hold_end_ms(&self) -> Option<Millis> {
        self.entries.values().filter_map(|entry| entry.hold_until_ms).min()
    }

    /// Returns the number of records on hold.
    pub fn held_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.hold_until_ms.is_some()).count()
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
        let mut changes = Vec::new();
        let listed: BTreeSet<&ReplicaName> = records.iter().map(|record| &record.name).collect();
        let missing: Vec<ReplicaName> =
            self.entries.keys().filter(|name| !listed.contains(name)).cloned().collect();
        changes.extend(records.into_iter().filter_map(|record| self.set(revision, record)));
        let mut held = Vec::new();
        for name in missing {
            match self.remove(now_ms, &name) {
                Removal::Done => changes.push(ReplicaChange::Gone(name)),
                Removal::Held => held.push(name),
                Removal::None => {}
            }
        }
        if !changes.is_empty() || !held.is_empty() {
            self.revision = revision;
        }
        self.record_changes(&changes);
        self.record_for_peers(held);
        changes
    }

    /// Applies one change of a revision; returns it if it had an effect.
    pub fn apply(
        &mut self,
        now_ms: Millis,
        revision: u64,
        change: ReplicaChange,
    ) -> Option<ReplicaChange> {
        let (change, held) = match change {
            ReplicaChange::Set(record) => (self.set(revision, record), None),
            ReplicaChange::Gone(name) => match self.remove(now_ms, &name) {
                Removal::Done => (Some(ReplicaChange::Gone(name)), None),
                Removal::Held => (None, Some(name)),
                Removal::None => (None, None),
            },
        };
        if change.is_some() || held.is_some() {
            self.revision = self.revision.max(revision);
        }
        self.record_changes(change.as_slice());
        self.record_for_peers(held);
        change
    }

    /// Merges the view of a peer and returns the changes.
    ///
    /// A difference is merged only if it is newer and starts at a revision that is known here; a
    /// complete list also if it differs from this one under the same revision; a record on hold does
    /// not come back by it, since the hold may have ended here. A record that is confirmed here at a
    /// newer revision than the view's stays, and this set then counts as newer.
    pub fn merge_view(&mut self, now_ms: Millis, view: ReplicaView) -> Vec<ReplicaChange> {
        let is_applicable = match view.since {
            Some(since) => view.revision > self.revision && since <= self.revision,
            None => view.revision >= self.revision && view.digest != self.digest(),
        };
        if !is_applicable {
            return Vec::new();
        }
        let gone = match view.since {
            Some(_) => view.gone,
            None => {
                let listed: BTreeSet<&ReplicaName> =
                    view.entries.iter().map(|entry| &entry.record.name).collect();
                self.entries.keys().filter(|name| !listed.contains(name)).cloned().collect()
            }
        };
        let is_outdated = |entry: &Entry| entry.confirmed_revision <= view.revision;
        let (gone, kept): (Vec<_>, Vec<_>) =
            gone.into_iter().partition(|name| self.entries.get(name).is_none_or(is_outdated));
        let newest_kept = kept.iter().filter_map(|name| self.entries.get(name));
        let newest_kept = newest_kept.map(|entry| entry.confirmed_revision).max();
        let mut changes = Vec::new();
        for name in gone {
            if self.entries.remove(&name).is_some() {
                changes.push(ReplicaChange::Gone(name));
            }
        }
        for entry in view.entries {
            changes.extend(self.merge_entry(now_ms, view.revision, entry));
        }
        self.revision = view.revision;
        self.record_changes(&changes);
        if let Some(revision) = newest_kept {
            self.revision = revision;
            self.record_for_peers(kept);
        }
        changes
    }

    fn merge_entry(
        &mut self,
        now_ms: Millis,
        revision: u64,
        entry: ViewEntry,
    ) -> Option<ReplicaChange> {
        let known = self.entries.get(&entry.record.name);
        let has_hold_ended =
            known.is_none() && entry.hold_left_ms.is_some() && self.revision == revision;
        if has_hold_ended || known.is_some_and(|known| known.confirmed_revision > revision) {
            return None;
        }
        let hold_until_ms =
            entry.hold_left_ms.map(|left_ms| now_ms.saturating_add(left_ms.min(MISSING_HOLD_MS)));
        let is_same_record = known.is_some_and(|known| known.record == entry.record);
        let was_held = known.is_some_and(|known| known.hold_until_ms.is_some());
        let is_same = is_same_record && was_held == hold_until_ms.is_some();
        let record = entry.record;
        let merged = Entry { record: record.clone(), confirmed_revision: revision, hold_until_ms };
        self.entries.insert(record.name.clone(), merged);
        (!is_same).then_some(ReplicaChange::Set(record))
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
        let mut names = Vec::with_capacity(changes.len());
        for change in changes {
            match change {
                ReplicaChange::Set(record) => names.push(record.name.clone()),
                ReplicaChange::Gone(name) => {
                    self.leaving.record_removal(name);
                    names.push(name.clone());
                }
            }
        }
        self.record_for_peers(names);
    }

    fn record_for_peers(&mut self, names: impl IntoIterator<Item = ReplicaName>) {
        let revision = self.revision;
        self.recent_changes.extend(names.into_iter().map(|name| (revision, name)));
        while self.recent_changes.len() > MAX_CHANGES {
            if let Some((revision, _)) = self.recent_changes.pop_front() {
                self.complete_after = self.complete_after.max(revision);
            }
        }
    }

    /// Forgets the announcements of replicas that have not been listed for a long time.
    pub fn tick(&mut self, now_ms: Millis) {
        self.contact.tick(now_ms);
        let entries = &self.entries;
        self.leaving.tick(now_ms, |incarnation| {
            let entry = entries.get(&incarnation.name);
            entry.is_some_and(|entry| Incarnation::from(&entry.record) == *incarnation)
        });
    }

    /// Sets a record that the store has at a revision. The return of a record on hold is a change
    /// too, since peers may have copied the hold.
    fn set(&mut self, revision: u64, record: ReplicaRecord) -> Option<ReplicaChange> {
        let entry =
            Entry { record: record.clone(), confirmed_revision: revision, hold_until_ms: None };
        let old = self.entries.insert(record.name.clone(), entry);
        let is_same = old.is_some_and(|old| old.record == record && old.hold_until_ms.is_none());
        (!is_same).then_some(ReplicaChange::Set(record))
    }

    /// Removes a record that the store does not have, or places it on hold.
    fn remove(&mut self, now_ms: Millis, name: &ReplicaName) -> Removal {
        let is_after_outage = self.is_store_unreachable || now_ms < self.hold_until_ms;
        let Some(entry) = self.entries.get_mut(name) else { return Removal::None };
        match entry.hold_until_ms {
            None if is_after_outage => {
                entry.hold_until_ms = Some(self.hold_until_ms.max(now_ms));
                return Removal::Held;
            }
            Some(until_ms) if is_after_outage || now_ms < until_ms => return Removal::None,
            _ => {}
        }
        self.entries.remove(name);
        Removal::Done
    }
}

/// What became of a record that the store does not have.
enum Removal {
    /// Nothing: there is no such record, or its hold goes on.
    None,
    /// It was placed on hold.
    Held,
    /// It was removed.
    Done,
}

fn view_entry(entry: &Entry, now_ms: Millis) -> ViewEntry {
    ViewEntry {
        record: entry.record.clone(),
        hold_left_ms: entry.hold_until_ms.map(|until_ms| until_ms.saturating_sub(now_ms)),
    }
}
