//! The set of live replicas, updated from the store or from the view of a peer.
//!
//! Only an answer of the store adds a record, finds it missing or removes it, and every revision is
//! one of the store. A daemon that does not watch the store copies the result. A missing record may
//! have expired in an outage, so it stays in use until the fleet has been in contact with the store
//! for `MISSING_HOLD_MS`, which each daemon determines by the reports of all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;

use crate::change::ReplicaChange;
use crate::contact::ContactReport;
use crate::contact::StoreContact;
use crate::leaving::Incarnation;
use crate::leaving::LeavingReplicas;
use crate::sender_clock::SendTime;
use crate::view::ReplicaView;
use crate::view::ViewEntry;
use crate::view::digest;

/// How long missing records are kept on hold, that is, in use, once the store answers some daemon
/// again: records that expired during an outage are renewed within two seconds, and a renewal takes
/// a moment to be seen.
pub const MISSING_HOLD_MS: Millis = 2_300;
/// How much longer a hold lasts at a daemon that is not told of its end: a record that returned in
/// time may still be on its way there.
pub const HOLD_SPREAD_MS: Millis = 300;
/// The number of changes kept for peers; a peer that lags further behind gets the complete list.
const MAX_CHANGES: usize = 512;

/// A record with the latest information on it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    record: ReplicaRecord,
    /// The latest revision at which the store or a peer is known to have had the record.
    confirmed_revision: u64,
    /// Set for a record that is missing from the store.
    missing: Option<Missing>,
}

/// The hold of a record that is missing from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Missing {
    /// When this daemon learned that the record is missing.
    noticed_ms: Millis,
    /// Whether the hold has ended, so that the replica is gone unless the record returns.
    has_hold_ended: bool,
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

    /// Merges the report of a peer on the store's answers whose delay is unknown.
    pub fn merge_contact(&mut self, now_ms: Millis, report: ContactReport) {
        self.contact.merge(now_ms, report);
    }

    /// Merges the report of a peer on the store's answers that states when it was sent.
    pub fn merge_sent_contact(
        &mut self,
        now_ms: Millis,
        sent: SendTime<'_>,
        report: ContactReport,
    ) {
        self.contact.merge_sent(now_ms, sent, report);
    }

    /// Returns the revision at which the record of a replica is known to have been in the store.
    pub fn confirmed_revision(&self, name: &ReplicaName) -> Option<u64> {
        self.entries.get(name).map(|entry| entry.confirmed_revision)
    }

    /// Returns the records, including missing ones.
    pub fn records(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the record of a replica.
    pub fn get(&self, name: &ReplicaName) -> Option<&ReplicaRecord> {
        self.entries.get(name).map(|entry| &entry.record)
    }

    /// Returns the records of the replicas that may get new requests.
    pub fn usable_records(&self) -> impl Iterator<Item = &ReplicaRecord> {
        let usable = self.entries.values().filter(|entry| self.accepts_requests(entry));
        usable.map(|entry| &entry.record)
    }

    /// Returns whether the replica of a record is in use and may get new requests.
    pub fn is_usable(&self, replica: &ReplicaRecord) -> bool {
        self.is_listed(&Incarnation::from(replica))
            && self.entries.get(&replica.name).is_some_and(|entry| self.accepts_requests(entry))
    }

    /// Returns whether the record of a replica is missing from the store.
    pub fn is_missing(&self, name: &ReplicaName) -> bool {
        self.entries.get(name).is_some_and(|entry| entry.missing.is_some())
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

    fn accepts_requests(&self, entry: &Entry) -> bool {
        !entry.record.is_draining
            && !entry.missing.is_some_and(|missing| missing.has_hold_ended)
            && !self.is_leaving(&entry.record)
    }

    /// Returns when the next hold ends, so that a new list must show whether the record is gone.
    pub fn next_hold_end_ms(&self) -> Option<Millis> {
        let ends_ms = self.missing().map(|missing| match self.contact.since_ms() {
            _ if missing.has_hold_ended => missing.noticed_ms,
            Some(since_ms) => missing.noticed_ms.max(hold_end_ms(since_ms)),
            None => missing.noticed_ms.saturating_add(MISSING_HOLD_MS),
        });
        ends_ms.min()
    }

    /// Returns the number of missing records that are on hold.
    pub fn held_count(&self) -> usize {
        self.missing().filter(|missing| !missing.has_hold_ended).count()
    }

    fn missing(&self) -> impl Iterator<Item = Missing> {
        self.entries.values().filter_map(|entry| entry.missing)
    }

    /// Returns whether a record that an answer of the store lacks cannot have expired in an outage.
    fn is_removal_certain(&self, now_ms: Millis) -> bool {
        self.contact.is_unbroken_for(now_ms, MISSING_HOLD_MS)
    }

    /// Replaces the set by the complete list of a revision and returns the changes. The answer with
    /// the list is to be recorded before, as with `apply`.
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
        let may_hide_return = self.may_hide_return();
        if !changes.is_empty() || !held.is_empty() || may_hide_return {
            self.revision = revision;
        }
        self.record_changes(&changes);
        self.record_for_peers(held);
        if may_hide_return {
            // Peers may hold a record that expired and returned unchanged since the list before.
            self.complete_after = revision;
        }
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
            ReplicaChange::Set(record) => {
                let name = record.name.clone();
                let change = self.set(revision, record);
                let is_hidden_return = change.is_none() && self.may_hide_return();
                (change, is_hidden_return.then_some(name))
            }
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

    /// Returns whether peers may hold a record that expired and returned unchanged since the answer
    /// before, so that an answer which changes nothing here is news to them.
    fn may_hide_return(&self) -> bool {
        !self.contact.has_lasted(2 * MISSING_HOLD_MS)
    }

    /// Merges the view of a peer and returns the changes.
    ///
    /// A difference is merged only if it is newer and starts at a revision that is known here; a
    /// complete list also if it differs from this one under the same revision; a missing record does
    /// not come back by it, since it may have been removed here. A record that is confirmed here at a
    /// newer revision than the view's stays, and this set then counts as newer. Whether a record that is
    /// missing at the peer may have expired is decided by the contact with the store known here.
    pub fn merge_view(&mut self, now_ms: Millis, view: ReplicaView) -> Vec<ReplicaChange> {
        let is_applicable = match view.since {
            Some(since) => view.revision > self.revision && since <= self.revision,
            None => {
                view.revision > self.revision
                    || view.revision == self.revision && view.digest != self.digest()
            }
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
        // Passed on even if they change nothing here: other peers may lack them.
        let mut passed_on = kept.clone();
        for name in gone {
            passed_on.push(name.clone());
            let is_removed = match view.since {
                Some(_) => self.entries.remove(&name).is_some(),
                // A peer that started in an outage never knew the records that expired in it.
                None => matches!(self.remove(now_ms, &name), Removal::Done),
            };
            if is_removed {
                changes.push(ReplicaChange::Gone(name));
            }
        }
        passed_on.extend(view.entries.iter().map(|entry| entry.record.name.clone()));
        for entry in view.entries {
            changes.extend(self.merge_entry(now_ms, view.revision, entry));
        }
        self.revision = view.revision;
        if view.since.is_none() {
            self.complete_after = self.complete_after.max(view.revision);
        }
        self.count_changes(&changes);
        self.revision = newest_kept.unwrap_or(view.revision);
        self.record_for_peers(passed_on);
        changes
    }

    fn merge_entry(
        &mut self,
        now_ms: Millis,
        revision: u64,
        entry: ViewEntry,
    ) -> Option<ReplicaChange> {
        let known = self.entries.get(&entry.record.name);
        let is_missing = entry.hold_left_ms.is_some();
        let was_removed = known.is_none() && is_missing && self.revision == revision;
        let is_known_newer = known.is_some_and(|known| {
            known.confirmed_revision > revision
                || is_missing && known.missing.is_none() && known.confirmed_revision == revision
        });
        if was_removed || is_known_newer {
            return None;
        }
        let known_missing = known.and_then(|known| known.missing);
        let missing = is_missing.then(|| known_missing.unwrap_or_else(|| self.new_hold(now_ms)));
        let is_same_record = known.is_some_and(|known| known.record == entry.record);
        let is_same = is_same_record && known_missing.is_some() == is_missing;
        let record = entry.record;
        let merged = Entry { record: record.clone(), confirmed_revision: revision, missing };
        self.entries.insert(record.name.clone(), merged);
        (!is_same).then_some(ReplicaChange::Set(record))
    }

    fn new_hold(&self, now_ms: Millis) -> Missing {
        Missing { noticed_ms: now_ms, has_hold_ended: self.is_removal_certain(now_ms) }
    }

    /// Returns the complete set as a view for peers.
    pub fn view(&self, now_ms: Millis) -> ReplicaView {
        ReplicaView {
            revision: self.revision,
            since: None,
            entries: self.entries.values().map(|entry| self.view_entry(entry, now_ms)).collect(),
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
            entries: entries.map(|entry| self.view_entry(entry, now_ms)).collect(),
            gone: gone.into_iter().cloned().collect(),
            digest: self.digest(),
        }
    }

    fn view_entry(&self, entry: &Entry, now_ms: Millis) -> ViewEntry {
        let hold_left_ms = entry.missing.map(|missing| match self.contact.since_ms() {
            Some(since_ms) if !missing.has_hold_ended => {
                hold_end_ms(since_ms).saturating_sub(now_ms)
            }
            _ => 0,
        });
        ViewEntry { record: entry.record.clone(), hold_left_ms }
    }

    /// Returns a digest of the records in the set.
    pub fn digest(&self) -> u64 {
        digest(self.records())
    }

    /// Keeps changes at the current revision for peers.
    fn record_changes(&mut self, changes: &[ReplicaChange]) {
        self.count_changes(changes);
        self.record_for_peers(changes.iter().map(|change| change.name().clone()));
    }

    fn count_changes(&mut self, changes: &[ReplicaChange]) {
        self.generation += u64::from(!changes.is_empty());
        for change in changes {
            if let ReplicaChange::Gone(name) = change {
                self.leaving.record_removal(name);
            }
        }
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

    /// Ends the holds of records that have not returned in time and forgets the announcements of
    /// replicas that have not been listed for a long time; returns the replicas whose holds ended.
    ///
    /// The records stay until an answer of the store, or a peer that had one, removes them.
    pub fn tick(&mut self, now_ms: Millis) -> Vec<ReplicaName> {
        self.contact.tick(now_ms);
        let ended = self.end_holds();
        self.generation += u64::from(!ended.is_empty());
        let entries = &self.entries;
        self.leaving.tick(now_ms, |incarnation| {
            let entry = entries.get(&incarnation.name);
            entry.is_some_and(|entry| Incarnation::from(&entry.record) == *incarnation)
        });
        ended
    }

    fn end_holds(&mut self) -> Vec<ReplicaName> {
        let Some(latest_ms) = self.contact.latest_ms() else { return Vec::new() };
        if !self.contact.has_lasted(MISSING_HOLD_MS + HOLD_SPREAD_MS) {
            return Vec::new();
        }
        let mut ended = Vec::new();
        for (name, entry) in &mut self.entries {
            let Some(missing) = &mut entry.missing else { continue };
            // The contact may be an old one if its latest answer came before the record went missing.
            if !missing.has_hold_ended && missing.noticed_ms as i64 <= latest_ms {
                missing.has_hold_ended = true;
                ended.push(name.clone());
            }
        }
        ended
    }

    /// Sets a record that the store has at a revision. The return of a record on hold is a change
    /// too, since peers may have copied the hold.
    fn set(&mut self, revision: u64, record: ReplicaRecord) -> Option<ReplicaChange> {
        let entry = Entry { record: record.clone(), confirmed_revision: revision, missing: None };
        let old = self.entries.insert(record.name.clone(), entry);
        let is_same = old.is_some_and(|old| old.record == record && old.missing.is_none());
        (!is_same).then_some(ReplicaChange::Set(record))
    }

    /// Removes a record that the store does not have, or places it on hold.
    fn remove(&mut self, now_ms: Millis, name: &ReplicaName) -> Removal {
        let is_certain = self.is_removal_certain(now_ms);
        let Some(entry) = self.entries.get_mut(name) else { return Removal::None };
        match entry.missing {
            None if !is_certain => {
                entry.missing = Some(Missing { noticed_ms: now_ms, has_hold_ended: false });
                Removal::Held
            }
            Some(missing) if !is_certain && !missing.has_hold_ended => Removal::None,
            _ => {
                self.entries.remove(name);
                Removal::Done
            }
        }
    }
}

/// Returns when holds end if the contact with the store began at `since_ms`.
fn hold_end_ms(since_ms: i64) -> Millis {
    since_ms.saturating_add(MISSING_HOLD_MS as i64).max(0) as Millis
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
