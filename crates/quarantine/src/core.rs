//! Decides from crashes and sound answers which prompt parts are quarantined.
//!
//! A part is quarantined when replicas of three incarnations crashed while they began to answer
//! requests with it, and no such request was answered since. Parts that sound requests share, such
//! as the first one, are cleared by their answers. A crash counts only against the part that has
//! gone longest without a sound answer, if that part is quarantined.

use std::collections::HashMap;
use std::collections::HashSet;

use wire::Millis;

use crate::part::PromptPart;
use crate::part::ReplicaIncarnation;
use crate::record::Crash;
use crate::record::PartRecord;
use crate::record::is_protected;
use crate::record::signed;
use crate::view::MAX_VIEW_PARTS;
use crate::view::QuarantineView;

/// The number of crashed incarnations from which a part is quarantined.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// The most parts with crashes that are remembered.
pub const MAX_PARTS: usize = 256;
/// The most parts whose last sound answer is remembered.
pub const MAX_SOUND_PARTS: usize = 4_096;
/// How long a change is sent with every heartbeat; a peer that misses all of them gets it later.
const PUSH_PERIOD_MS: i64 = 1_000;
/// How much newer this daemon's sound answer must be than the one that a peer reports, for a reply.
const REPLY_AFTER_MS: i64 = 2_000;
/// The shortest time between two messages that are sent because of a change.
const MIN_PUSH_INTERVAL_MS: i64 = 100;

/// A change in what is known of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A crash counts against the part.
    Marked {
        /// The part.
        part: PromptPart,
        /// The number of crashes that count against it.
        crashes: usize,
    },
    /// Requests with the part are refused from now on.
    Quarantined {
        /// The part.
        part: PromptPart,
        /// The number of crashes that count against it.
        crashes: usize,
    },
    /// One request with the part is let through.
    TrialBegun {
        /// The part.
        part: PromptPart,
    },
    /// Requests with the part are served again.
    Lifted {
        /// The part.
        part: PromptPart,
    },
}

/// Chooses the daemons that act for all others, by part.
pub trait Delegates {
    /// Returns whether this daemon is the one that lets trials of a part through.
    fn is_trial_owner(&self, part: PromptPart) -> bool;

    /// Returns whether this daemon is one of the few that act first on a part: they reply with their
    /// sound answers and let distinguishing requests through.
    fn is_reporter(&self, part: PromptPart) -> bool;
}

/// Whether a request with a quarantined part may be sent, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Permit {
    /// It may not.
    Refused,
    /// It is a trial, some time after the last crash.
    Trial,
    /// All crashes of the part also count against another part, which the request does not have. Its
    /// answer tells which of the two causes them.
    Distinguishing,
}

/// The evidence of one daemon and its peers about prompt parts.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<PromptPart, PartRecord>,
    /// When this daemon last received a sound answer to a request with a part.
    sounds: HashMap<PromptPart, i64>,
    changes: Vec<Change>,
    has_unsent: bool,
    pushed_ms: Option<i64>,
}

impl Quarantine {
    /// Records that an incarnation of a replica crashed and lost a request that it had begun to
    /// answer at most.
    pub fn record_crash(
        &mut self,
        now_ms: Millis,
        parts: &[PromptPart],
        incarnation: ReplicaIncarnation,
    ) {
        let now_ms = signed(now_ms);
        for part in parts {
            let sound_ms = self.sounds.get(part).copied();
            if is_protected(sound_ms, now_ms) {
                continue;
            }
            let record =
                self.records.entry(*part).or_insert_with(|| PartRecord::new(now_ms, sound_ms));
            record.add_request(now_ms);
            if record.add_crash(now_ms, Crash { incarnation, at_ms: now_ms }) {
                record.changed_ms = Some(now_ms);
                self.has_unsent = true;
                let crashes = record.crashes.len();
                self.changes.push(Change::Marked { part: *part, crashes });
            }
        }
        self.evict();
        self.update_quarantined();
    }

    /// Records that an answer to a request with these parts has progressed or is complete.
    pub fn record_sound(&mut self, now_ms: Millis, parts: &[PromptPart]) {
        let now_ms = signed(now_ms);
        let mut is_changed = false;
        for part in parts {
            self.sounds.insert(*part, now_ms);
            let Some(record) = self.records.get_mut(part) else { continue };
            if record.add_sound(now_ms, now_ms) {
                record.changed_ms = Some(now_ms);
                is_changed = true;
            }
        }
        self.evict_sounds();
        if is_changed {
            self.has_unsent = true;
            self.update_quarantined();
        }
    }

    /// Returns a part because of which a request must not be sent, if there is one.
    pub fn blocking_part(
        &self,
        now_ms: Millis,
        parts: &[PromptPart],
        delegates: &dyn Delegates,
    ) -> Option<PromptPart> {
        let mut quarantined = parts.iter().copied().filter(|part| self.is_quarantined(*part));
        quarantined
            .find(|part| self.permit(signed(now_ms), *part, parts, delegates) == Permit::Refused)
    }

    /// Records a request that is about to be sent; returns a part because of which it must not be.
    pub fn admit(
        &mut self,
        now_ms: Millis,
        parts: &[PromptPart],
        delegates: &dyn Delegates,
    ) -> Result<(), PromptPart> {
        let blocking = self.blocking_part(now_ms, parts, delegates);
        let now_ms = signed(now_ms);
        for part in parts.iter().copied() {
            if !self.is_quarantined(part) {
                continue;
            }
            let permit = self.permit(now_ms, part, parts, delegates);
            let Some(record) = self.records.get_mut(&part) else { continue };
            record.add_request(now_ms);
            match permit {
                _ if blocking.is_some() => continue,
                Permit::Distinguishing => record.begin_distinguishing(now_ms),
                Permit::Trial => {
                    record.begin_trial(now_ms);
                    self.has_unsent = true;
                }
                Permit::Refused => continue,
            }
            self.changes.push(Change::TrialBegun { part });
        }
        blocking.map_or(Ok(()), Err)
    }

    /// Returns whether a request with a quarantined part may be sent.
    fn permit(
        &self,
        now_ms: i64,
        part: PromptPart,
        parts: &[PromptPart],
        delegates: &dyn Delegates,
    ) -> Permit {
        let Some(record) = self.records.get(&part) else { return Permit::Refused };
        if record.is_trial_due(now_ms) && delegates.is_trial_owner(part) {
            return Permit::Trial;
        }
        let is_distinguishing = self.records.iter().any(|(other, other_record)| {
            other_record.is_quarantined
                && !parts.contains(other)
                && record.is_explained_by(other_record)
        });
        if is_distinguishing && record.is_distinguishing_due(now_ms, delegates.is_reporter(part)) {
            return Permit::Distinguishing;
        }
        Permit::Refused
    }

    fn is_quarantined(&self, part: PromptPart) -> bool {
        self.records.get(&part).is_some_and(|record| record.is_quarantined)
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        self.records.values().filter(|record| record.is_quarantined).count()
    }

    /// Returns the number of parts with evidence and of those whose sound answers are remembered.
    pub fn sizes(&self) -> (usize, usize) {
        (self.records.len(), self.sounds.len())
    }

    /// Merges what a peer knows.
    ///
    /// A reporter replies at once if it received a sound answer for a part that the peer suspects.
    pub fn merge(&mut self, now_ms: Millis, view: &QuarantineView, delegates: &dyn Delegates) {
        let now_ms = signed(now_ms);
        let mut is_changed = false;
        for part_view in view.parts.iter().take(MAX_VIEW_PARTS) {
            let part = part_view.part;
            if !self.records.contains_key(&part) && part_view.crashes.is_empty() {
                continue;
            }
            let sound_ms = self.sounds.get(&part).copied();
            let record =
                self.records.entry(part).or_insert_with(|| PartRecord::new(now_ms, sound_ms));
            is_changed |= record.merge(now_ms, part_view);
            let Some(sound_ms) = sound_ms else { continue };
            let reported_ms = part_view.sound_age_ms.map(|age_ms| now_ms - i64::from(age_ms));
            let is_newer = reported_ms.is_none_or(|ms| sound_ms > ms + REPLY_AFTER_MS);
            if is_newer && delegates.is_reporter(part) {
                record.changed_ms = Some(now_ms);
                self.has_unsent = true;
            }
        }
        if is_changed {
            self.evict();
            self.update_quarantined();
        }
    }

    /// Forgets parts without recent requests.
    pub fn tick(&mut self, now_ms: Millis) {
        let now_ms = signed(now_ms);
        let count = self.records.len();
        let changes = &mut self.changes;
        self.records.retain(|part, record| {
            let is_expired = record.is_expired(now_ms);
            if is_expired && record.is_quarantined {
                changes.push(Change::Lifted { part: *part });
            }
            !is_expired
        });
        if self.records.len() < count {
            self.update_quarantined();
        }
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the message to send to every peer at once because of a change of this daemon.
    pub fn take_push(&mut self, now_ms: Millis) -> Option<QuarantineView> {
        let is_too_early =
            self.pushed_ms.is_some_and(|ms| signed(now_ms) < ms + MIN_PUSH_INTERVAL_MS);
        if !self.has_unsent || is_too_early {
            return None;
        }
        self.has_unsent = false;
        self.pushed_ms = Some(signed(now_ms));
        self.recent_view(now_ms)
    }

    /// Returns the recent changes of this daemon, which are sent to every peer with a heartbeat.
    pub fn recent_view(&self, now_ms: Millis) -> Option<QuarantineView> {
        let since_ms = signed(now_ms) - PUSH_PERIOD_MS;
        self.view(now_ms, |record| record.changed_ms.is_some_and(|ms| ms > since_ms))
    }

    /// Returns all that is known, which a few peers get with each round of heartbeats.
    pub fn complete_view(&self, now_ms: Millis) -> Option<QuarantineView> {
        self.view(now_ms, |_| true)
    }

    fn view(
        &self,
        now_ms: Millis,
        is_included: impl Fn(&PartRecord) -> bool,
    ) -> Option<QuarantineView> {
        let mut included: Vec<(&PromptPart, &PartRecord)> =
            self.records.iter().filter(|(_, record)| is_included(record)).collect();
        included.sort_by_key(|(_, record)| std::cmp::Reverse(suspicion(record)));
        included.truncate(MAX_VIEW_PARTS);
        let now_ms = signed(now_ms);
        let parts = included
            .into_iter()
            .map(|(part, record)| record.to_view(now_ms, *part, self.sounds.get(part).copied()));
        let view = QuarantineView { parts: parts.collect() };
        (!view.parts.is_empty()).then_some(view)
    }

    /// Decides anew which parts are quarantined.
    fn update_quarantined(&mut self) {
        let mut candidates: Vec<(i64, PromptPart)> = self
            .records
            .iter()
            .filter(|(_, record)| record.crashes.len() >= CRASHES_TO_QUARANTINE)
            .map(|(part, record)| (record.sound_ms(), *part))
            .collect();
        candidates.sort();
        let mut quarantined = HashSet::new();
        let mut explained: HashSet<ReplicaIncarnation> = HashSet::new();
        for group in candidates.chunk_by(|(a, _), (b, _)| a == b) {
            let records =
                group.iter().filter_map(|(_, part)| Some((part, self.records.get(part)?)));
            let suspects: Vec<(&PromptPart, &PartRecord)> = records
                .filter(|(_, record)| {
                    count_unexplained(record, &explained) >= CRASHES_TO_QUARANTINE
                })
                .collect();
            for (part, record) in suspects {
                quarantined.insert(*part);
                explained.extend(record.crashes.iter().map(|crash| crash.incarnation));
            }
        }
        for (part, record) in &mut self.records {
            let is_quarantined = quarantined.contains(part);
            if is_quarantined == record.is_quarantined {
                continue;
            }
            record.is_quarantined = is_quarantined;
            let crashes = record.crashes.len();
            self.changes.push(if is_quarantined {
                Change::Quarantined { part: *part, crashes }
            } else {
                Change::Lifted { part: *part }
            });
        }
    }

    /// Removes the least suspect records beyond the limit.
    fn evict(&mut self) {
        if self.records.len() <= MAX_PARTS {
            return;
        }
        let mut ranked: Vec<(PromptPart, (bool, usize, i64))> =
            self.records.iter().map(|(part, record)| (*part, suspicion(record))).collect();
        ranked.sort_by_key(|(_, suspicion)| std::cmp::Reverse(*suspicion));
        for (part, _) in ranked.drain(MAX_PARTS..) {
            self.records.remove(&part);
        }
    }

    /// Removes the older half of the remembered sound answers beyond the limit.
    fn evict_sounds(&mut self) {
        if self.sounds.len() <= MAX_SOUND_PARTS {
            return;
        }
        let mut times: Vec<i64> = self.sounds.values().copied().collect();
        let middle = times.len() / 2;
        let median_ms = *times.select_nth_unstable(middle).1;
        self.sounds.retain(|_, sound_ms| *sound_ms > median_ms);
    }
}

/// Returns the rank of a record: quarantined, then by crashes, then by the last crash.
fn suspicion(record: &PartRecord) -> (bool, usize, i64) {
    (record.is_quarantined, record.crashes.len(), record.last_crash_ms())
}

fn count_unexplained(record: &PartRecord, explained: &HashSet<ReplicaIncarnation>) -> usize {
    record.crashes.iter().filter(|crash| !explained.contains(&crash.incarnation)).count()
}
