//! Decides from crashes and sound answers which prompt parts and which requests are quarantined.
//!
//! Both are quarantined when replicas of three incarnations crashed while they began to answer such
//! a request, and none was answered since. A request that comes again is recognised by its
//! fingerprint. It is judged first: a part is quarantined only if two of its crashes or more remain
//! besides those of any single request. Parts that sound requests share, such as the first one, are
//! cleared by their answers. Among parts, a crash counts only against the one that has gone longest
//! without a sound answer, if that part is quarantined.

use std::collections::HashMap;
use std::collections::HashSet;

use wire::Millis;

use crate::part::ReplicaIncarnation;
use crate::record::Crash;
use crate::record::SuspectRecord;
use crate::record::is_protected;
use crate::record::signed;
use crate::suspect::Suspect;
use crate::view::EvidenceView;
use crate::view::MAX_VIEW_SUSPECTS;
use crate::view::PartView;
use crate::view::QuarantineView;
use crate::view::RequestView;

/// The number of crashed incarnations from which a suspect is quarantined.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// The number of a part's crashes that no single request may share for the part to be quarantined.
const CRASHES_OF_OTHER_REQUESTS: usize = 2;
/// The most suspects with crashes that are remembered.
pub const MAX_SUSPECTS: usize = 256;
/// The most suspects whose last sound answer is remembered.
pub const MAX_SOUND_SUSPECTS: usize = 4_096;
/// How long a change is sent with every heartbeat; a peer that misses all of them gets it later.
const PUSH_PERIOD_MS: i64 = 1_000;
/// How much newer this daemon's sound answer must be than the one that a peer reports, for a reply.
const REPLY_AFTER_MS: i64 = 2_000;
/// The shortest time between two messages that are sent because of a change.
const MIN_PUSH_INTERVAL_MS: i64 = 100;

/// A change in what is known of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A crash counts against it.
    Marked {
        /// The suspect.
        suspect: Suspect,
        /// The number of crashes that count against it.
        crashes: usize,
    },
    /// Such requests are refused from now on.
    Quarantined {
        /// The suspect.
        suspect: Suspect,
        /// The number of crashes that count against it.
        crashes: usize,
    },
    /// One such request is let through.
    TrialBegun {
        /// The suspect.
        suspect: Suspect,
    },
    /// Such requests are served again.
    Lifted {
        /// The suspect.
        suspect: Suspect,
    },
}

/// Chooses the daemons that act for all others, by suspect.
pub trait Delegates {
    /// Returns how many ready daemons may begin trials of a suspect before this one, or `None` if
    /// this daemon may not begin any.
    fn trial_rank(&self, suspect: Suspect) -> Option<usize>;

    /// Returns whether this daemon is one of the few that act first on a suspect: they reply with
    /// their sound answers and let distinguishing requests through.
    fn is_reporter(&self, suspect: Suspect) -> bool;
}

/// The evidence of one daemon and its peers about prompt parts and requests.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    pub(crate) records: HashMap<Suspect, SuspectRecord>,
    /// When this daemon last received a sound answer to a request with a suspect.
    sounds: HashMap<Suspect, i64>,
    pub(crate) changes: Vec<Change>,
    pub(crate) has_unsent: bool,
    pushed_ms: Option<i64>,
}

impl Quarantine {
    /// Records that an incarnation of a replica crashed and lost a request that it had begun to
    /// answer at most.
    pub fn record_crash(
        &mut self,
        now_ms: Millis,
        suspects: &[Suspect],
        incarnation: ReplicaIncarnation,
    ) {
        let now_ms = signed(now_ms);
        for suspect in suspects {
            let sound_ms = self.sounds.get(suspect).copied();
            if is_protected(sound_ms, now_ms) {
                continue;
            }
            let record = self
                .records
                .entry(*suspect)
                .or_insert_with(|| SuspectRecord::new(now_ms, suspect.is_request(), sound_ms));
            record.add_request(now_ms);
            if record.add_crash(now_ms, Crash { incarnation, at_ms: now_ms }) {
                record.changed_ms = Some(now_ms);
                self.has_unsent = true;
                let crashes = record.crashes.len();
                self.changes.push(Change::Marked { suspect: *suspect, crashes });
            }
        }
        self.evict();
        self.update_quarantined();
    }

    /// Records that an answer to a request with these suspects has progressed or is complete.
    pub fn record_sound(&mut self, now_ms: Millis, suspects: &[Suspect]) {
        let now_ms = signed(now_ms);
        let mut is_changed = false;
        for suspect in suspects {
            if !suspect.is_request() || self.records.contains_key(suspect) {
                self.sounds.insert(*suspect, now_ms);
            }
            let Some(record) = self.records.get_mut(suspect) else { continue };
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

    /// Returns whether a suspect is quarantined.
    pub fn is_quarantined(&self, suspect: Suspect) -> bool {
        self.records.get(&suspect).is_some_and(|record| record.is_quarantined)
    }

    /// Returns the numbers of quarantined parts and of quarantined requests.
    pub fn quarantined_counts(&self) -> (usize, usize) {
        let quarantined = self.records.iter().filter(|(_, record)| record.is_quarantined);
        let (requests, parts): (Vec<_>, Vec<_>) =
            quarantined.partition(|(suspect, _)| suspect.is_request());
        (parts.len(), requests.len())
    }

    /// Returns what is known of a suspect, with the age of the last sound answer known to this daemon.
    pub fn evidence(&self, now_ms: Millis, suspect: Suspect) -> Option<EvidenceView> {
        let record = self.records.get(&suspect)?;
        let sound_ms = self.sounds.get(&suspect).copied().max(record.last_sound_ms());
        Some(record.to_view(signed(now_ms), sound_ms))
    }

    /// Returns the other suspects against which a crash of this one counts too.
    pub fn suspects_beside(&self, suspect: Suspect) -> Vec<Suspect> {
        let Some(record) = self.records.get(&suspect) else { return Vec::new() };
        let others = self.records.iter().filter(|(other, other_record)| {
            **other != suspect && record.count_shared(other_record) > 0
        });
        let mut beside: Vec<Suspect> = others.map(|(other, _)| *other).collect();
        beside.sort();
        beside
    }

    /// Returns whether there is evidence about any suspect, so that fingerprints are needed.
    pub fn has_suspects(&self) -> bool {
        !self.records.is_empty()
    }

    /// Returns the number of suspects with evidence and of those with remembered sound answers.
    pub fn sizes(&self) -> (usize, usize) {
        (self.records.len(), self.sounds.len())
    }

    /// Merges what a peer knows.
    ///
    /// A reporter replies at once if it received a sound answer for a suspect of the peer.
    pub fn merge(&mut self, now_ms: Millis, view: &QuarantineView, delegates: &dyn Delegates) {
        let now_ms = signed(now_ms);
        let mut is_changed = false;
        for (suspect, evidence, trial_counts) in view.suspects() {
            if !self.records.contains_key(&suspect) && evidence.crashes.is_empty() {
                continue;
            }
            let sound_ms = self.sounds.get(&suspect).copied();
            let record = self
                .records
                .entry(suspect)
                .or_insert_with(|| SuspectRecord::new(now_ms, suspect.is_request(), sound_ms));
            is_changed |= record.merge(now_ms, evidence, trial_counts);
            let Some(sound_ms) = sound_ms else { continue };
            let reported_ms = evidence.sound_age_ms.map(|age_ms| now_ms - i64::from(age_ms));
            let is_newer = reported_ms.is_none_or(|ms| sound_ms > ms + REPLY_AFTER_MS);
            if is_newer && delegates.is_reporter(suspect) {
                record.changed_ms = Some(now_ms);
                self.has_unsent = true;
            }
        }
        if is_changed {
            self.evict();
            self.update_quarantined();
        }
    }

    /// Forgets suspects without recent requests.
    pub fn tick(&mut self, now_ms: Millis) {
        let now_ms = signed(now_ms);
        let count = self.records.len();
        let changes = &mut self.changes;
        self.records.retain(|suspect, record| {
            let is_expired = record.is_expired(now_ms);
            if is_expired && record.is_quarantined {
                changes.push(Change::Lifted { suspect: *suspect });
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
        is_included: impl Fn(&SuspectRecord) -> bool,
    ) -> Option<QuarantineView> {
        let mut included: Vec<(&Suspect, &SuspectRecord)> =
            self.records.iter().filter(|(_, record)| is_included(record)).collect();
        included.sort_by_key(|(suspect, record)| std::cmp::Reverse(suspicion(suspect, record)));
        included.truncate(MAX_VIEW_SUSPECTS);
        let (requests, parts): (Vec<_>, Vec<_>) =
            included.into_iter().partition(|(suspect, _)| suspect.is_request());
        let mut view = QuarantineView::default();
        for (suspect, record) in parts.into_iter().chain(requests) {
            let evidence = record.to_view(signed(now_ms), self.sounds.get(suspect).copied());
            view.trial_counts.push(record.trial_counts());
            match *suspect {
                Suspect::Part(part) => view.parts.push(PartView { part, evidence }),
                Suspect::Request(fingerprint) => {
                    view.requests.push(RequestView { fingerprint, evidence });
                }
            }
        }
        (!view.parts.is_empty() || !view.requests.is_empty()).then_some(view)
    }

    /// Decides anew which suspects are quarantined.
    fn update_quarantined(&mut self) {
        let mut quarantined = self.requests_to_quarantine();
        quarantined.extend(self.parts_to_quarantine());
        for (suspect, record) in &mut self.records {
            let is_quarantined = quarantined.contains(suspect);
            if is_quarantined == record.is_quarantined {
                continue;
            }
            record.is_quarantined = is_quarantined;
            let crashes = record.crashes.len();
            self.changes.push(if is_quarantined {
                Change::Quarantined { suspect: *suspect, crashes }
            } else {
                Change::Lifted { suspect: *suspect }
            });
        }
    }

    /// Returns the requests with enough crashes, without those that another request with more
    /// crashes explains.
    fn requests_to_quarantine(&self) -> HashSet<Suspect> {
        let candidates: Vec<(&Suspect, &SuspectRecord)> = self
            .records
            .iter()
            .filter(|(suspect, record)| {
                suspect.is_request() && record.crashes.len() >= CRASHES_TO_QUARANTINE
            })
            .collect();
        let is_beside_another = |record: &SuspectRecord| {
            candidates.iter().any(|(_, other)| {
                other.crashes.len() > record.crashes.len() && record.is_explained_by(other)
            })
        };
        let blamed = candidates.iter().filter(|(_, record)| !is_beside_another(record));
        blamed.map(|(suspect, _)| **suspect).collect()
    }

    /// Returns the parts with enough crashes that neither one request, nor a part that was answered
    /// less recently, nor one with more crashes explains.
    fn parts_to_quarantine(&self) -> HashSet<Suspect> {
        let mut candidates: Vec<(i64, Suspect)> = self
            .records
            .iter()
            .filter(|(suspect, record)| {
                !suspect.is_request()
                    && record.crashes.len() >= CRASHES_TO_QUARANTINE
                    && self.count_beside_each_request(record) >= CRASHES_OF_OTHER_REQUESTS
            })
            .map(|(suspect, record)| (record.sound_ms(), *suspect))
            .collect();
        candidates.sort();
        let others: Vec<&SuspectRecord> =
            candidates.iter().filter_map(|(_, suspect)| self.records.get(suspect)).collect();
        let is_beside_another = |record: &SuspectRecord| {
            others.iter().any(|other| {
                other.crashes.len() > record.crashes.len() && record.is_explained_by(other)
            })
        };
        let mut quarantined = HashSet::new();
        let mut explained: HashSet<ReplicaIncarnation> = HashSet::new();
        for group in candidates.chunk_by(|(a, _), (b, _)| a == b) {
            let records =
                group.iter().filter_map(|(_, suspect)| Some((suspect, self.records.get(suspect)?)));
            let blamed: Vec<(&Suspect, &SuspectRecord)> = records
                .filter(|(_, record)| {
                    count_unexplained(record, &explained) >= CRASHES_TO_QUARANTINE
                        && !is_beside_another(record)
                })
                .collect();
            for (suspect, record) in blamed {
                quarantined.insert(*suspect);
                explained.extend(record.crashes.iter().map(|crash| crash.incarnation));
            }
        }
        quarantined
    }

    /// Returns how many crashes of a part remain besides those of the request that shares most.
    fn count_beside_each_request(&self, part: &SuspectRecord) -> usize {
        let requests = self.records.iter().filter(|(suspect, _)| suspect.is_request());
        let shared = requests.map(|(_, record)| part.count_shared(record)).max();
        part.crashes.len() - shared.unwrap_or(0)
    }

    /// Removes the least suspect records beyond the limit.
    fn evict(&mut self) {
        if self.records.len() <= MAX_SUSPECTS {
            return;
        }
        let mut ranked: Vec<(Suspicion, Suspect)> = self
            .records
            .iter()
            .map(|(suspect, record)| (suspicion(suspect, record), *suspect))
            .collect();
        ranked.sort_by_key(|(suspicion, _)| std::cmp::Reverse(*suspicion));
        for (_, suspect) in ranked.drain(MAX_SUSPECTS..) {
            self.records.remove(&suspect);
        }
    }

    /// Removes the older half of the remembered sound answers beyond the limit.
    fn evict_sounds(&mut self) {
        if self.sounds.len() <= MAX_SOUND_SUSPECTS {
            return;
        }
        let mut times: Vec<i64> = self.sounds.values().copied().collect();
        let middle = times.len() / 2;
        let median_ms = *times.select_nth_unstable(middle).1;
        self.sounds.retain(|_, sound_ms| *sound_ms > median_ms);
    }
}

/// The rank of a record: quarantined, then by crashes, then by the last crash, then requests.
type Suspicion = (bool, usize, i64, bool);

fn suspicion(suspect: &Suspect, record: &SuspectRecord) -> Suspicion {
    let is_quarantined = record.is_quarantined;
    (is_quarantined, record.crashes.len(), record.last_crash_ms(), suspect.is_request())
}

fn count_unexplained(record: &SuspectRecord, explained: &HashSet<ReplicaIncarnation>) -> usize {
    record.crashes.iter().filter(|crash| !explained.contains(&crash.incarnation)).count()
}
