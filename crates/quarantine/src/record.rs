//! The evidence about one suspect.

use wire::Millis;

use crate::core::CRASHES_TO_QUARANTINE;
use crate::part::ReplicaIncarnation;
use crate::view::CrashView;
use crate::view::EvidenceView;
use crate::view::TrialCounts;

/// The most crashes that are remembered for a suspect.
const MAX_CRASHES: usize = 7;
/// The number of crashes that are kept when later ones are dropped, so that the trials of one request
/// cannot replace the crashes of others.
const FIRST_CRASHES_KEPT: usize = 5;
/// How long after a sound answer crashes do not count: what was just answered did not cause them,
/// and replicas that crash at the same moment would otherwise count as evidence against every part
/// in use.
const SOUND_PROTECTION_MS: i64 = 2_000;
/// The time that is added to the age of a relayed request, so that the age does not shrink when
/// daemons exchange it repeatedly; more than a datagram usually takes.
const RELAY_ALLOWANCE_MS: i64 = 500;
/// How long a suspect is remembered after the last request with it.
const FORGET_AFTER_MS: i64 = 600_000;
/// How long a request that was lost in a single crash is remembered.
const FORGET_SINGLE_AFTER_MS: i64 = 120_000;
/// How long a suspect without crashes is remembered, for peers that still count some.
const CLEARED_PERIOD_MS: i64 = 5_000;
/// The time after the last crash or trial until a request is let through as a trial.
const TRIAL_AFTER_MS: i64 = 60_000;
/// The same for an item, which is owed until its retention ends.
const ITEM_TRIAL_AFTER_MS: i64 = 10_000;
/// The time after the last crash until the first trial of a part, which releases one that was
/// quarantined by mistake.
const FIRST_PART_TRIAL_AFTER_MS: i64 = 3_000;
/// The time after the last crash until the first trial of a request: requests that were lost in the
/// same crashes cannot be told apart otherwise.
const FIRST_REQUEST_TRIAL_AFTER_MS: i64 = 1_500;
/// The time after the last crash until daemons that are not reporters let a distinguishing request
/// through, and the time between two such requests of one daemon.
const DISTINGUISH_AFTER_MS: i64 = 1_000;
/// The trials of a suspect, whatever its crashes.
const MIN_TRIALS: u32 = 2;
/// The most trials of a part.
const MAX_PART_TRIALS: u32 = 4;
/// The most crashes before the trials of a part and trials together, beyond `MIN_TRIALS`: it bounds
/// how many requests with a part that crashes replicas reach some after five crashes.
const MAX_CRASHES_AND_TRIALS: u32 = 7;

/// A crash of a replica that lost a request to which the suspect belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    pub(crate) incarnation: ReplicaIncarnation,
    pub(crate) at_ms: i64,
}

/// The evidence about one suspect. Times are on the daemon's clock and may be before its start.
#[derive(Clone, Debug)]
pub(crate) struct SuspectRecord {
    is_request: bool,
    pub(crate) crashes: Vec<Crash>,
    pub(crate) is_quarantined: bool,
    /// When this daemon itself last changed the evidence.
    pub(crate) changed_ms: Option<i64>,
    sound_ms: Option<i64>,
    requested_ms: i64,
    updated_ms: i64,
    begun_trials: u32,
    cancelled_trials: u32,
    trial_ms: i64,
    /// When this daemon last let a job with the part be accepted.
    accepted_ms: i64,
    /// When this daemon last let a distinguishing request through.
    distinguished_ms: i64,
}

impl SuspectRecord {
    pub(crate) fn new(now_ms: i64, is_request: bool, sound_ms: Option<i64>) -> Self {
        Self {
            is_request,
            crashes: Vec::new(),
            is_quarantined: false,
            changed_ms: None,
            sound_ms,
            requested_ms: i64::MIN / 2,
            updated_ms: now_ms,
            begun_trials: 0,
            cancelled_trials: 0,
            trial_ms: i64::MIN / 2,
            accepted_ms: i64::MIN / 2,
            distinguished_ms: i64::MIN / 2,
        }
    }

    /// Returns whether every crash that counts against the suspect counts against `other` too.
    pub(crate) fn is_explained_by(&self, other: &Self) -> bool {
        self.count_shared(other) == self.crashes.len()
    }

    /// Returns how many of the crashes that count against the suspect count against `other` too.
    pub(crate) fn count_shared(&self, other: &Self) -> usize {
        let is_shared = |crash: &&Crash| {
            other.crashes.iter().any(|known| known.incarnation == crash.incarnation)
        };
        self.crashes.iter().filter(is_shared).count()
    }

    /// Returns whether this daemon may let a distinguishing request through.
    pub(crate) fn is_distinguishing_due(&self, now_ms: i64, is_reporter: bool) -> bool {
        let is_first = is_reporter || now_ms >= self.last_crash_ms() + DISTINGUISH_AFTER_MS;
        is_first && now_ms >= self.distinguished_ms + DISTINGUISH_AFTER_MS
    }

    pub(crate) fn begin_distinguishing(&mut self, now_ms: i64) {
        self.distinguished_ms = now_ms;
    }

    /// Returns the time of the last sound answer, the earliest possible one if there was none.
    pub(crate) fn sound_ms(&self) -> i64 {
        self.sound_ms.unwrap_or(i64::MIN)
    }

    pub(crate) fn last_sound_ms(&self) -> Option<i64> {
        self.sound_ms
    }

    /// Adds a crash unless a sound answer speaks against it; returns whether it was added.
    pub(crate) fn add_crash(&mut self, now_ms: i64, crash: Crash) -> bool {
        self.updated_ms = now_ms;
        if is_protected(self.sound_ms, crash.at_ms) {
            return false;
        }
        let known = self.crashes.iter_mut().find(|known| known.incarnation == crash.incarnation);
        if let Some(known) = known {
            known.at_ms = known.at_ms.min(crash.at_ms);
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at_ms);
        if self.crashes.len() > MAX_CRASHES {
            // The first ones explain what else was lost in them, the last ones decide about trials.
            self.crashes.remove(FIRST_CRASHES_KEPT);
        }
        true
    }

    /// Applies a sound answer; returns whether crashes no longer count because of it.
    pub(crate) fn add_sound(&mut self, now_ms: i64, sound_ms: i64) -> bool {
        self.sound_ms = Some(self.sound_ms().max(sound_ms));
        let count = self.crashes.len();
        let sound_ms = self.sound_ms;
        self.crashes.retain(|crash| !is_protected(sound_ms, crash.at_ms));
        let is_changed = self.crashes.len() < count;
        if is_changed {
            self.updated_ms = now_ms;
            self.begun_trials = 0;
            self.cancelled_trials = 0;
        }
        is_changed
    }

    pub(crate) fn add_request(&mut self, now_ms: i64) {
        self.requested_ms = now_ms;
    }

    /// Returns when the next trial is due, or `None` if there is none left; trials with items may
    /// come sooner.
    pub(crate) fn trial_due_ms(&self, is_item: bool) -> Option<i64> {
        let trials = self.trials();
        if trials >= self.max_trials() {
            return None;
        }
        let after_ms = match (trials, self.is_request, is_item) {
            (0, true, _) => FIRST_REQUEST_TRIAL_AFTER_MS,
            (0, false, _) => FIRST_PART_TRIAL_AFTER_MS,
            (_, false, true) => ITEM_TRIAL_AFTER_MS,
            _ => TRIAL_AFTER_MS,
        };
        Some(self.last_crash_ms().max(self.trial_ms) + after_ms)
    }

    /// Returns the number of trials, without those whose send reached no replica.
    ///
    /// Daemons that did not hear each other may have begun trials at the same time, so crashes of
    /// trials count, too.
    fn trials(&self) -> u32 {
        let begun = self.begun_trials.saturating_sub(self.cancelled_trials);
        begun.max(self.trial_crashes())
    }

    /// Returns the largest number of trials; it depends on the crashes before them, since those of
    /// trials that wait for a slot are still to come.
    fn max_trials(&self) -> u32 {
        if self.is_request {
            return MIN_TRIALS;
        }
        let crashes_before = self.crashes.len() as u32 - self.trial_crashes();
        MAX_CRASHES_AND_TRIALS.saturating_sub(crashes_before).clamp(MIN_TRIALS, MAX_PART_TRIALS)
    }

    /// Returns the number of crashes after the first trial was due, which are those of trials.
    fn trial_crashes(&self) -> u32 {
        let Some(third) = self.crashes.get(CRASHES_TO_QUARANTINE - 1) else { return 0 };
        let after_ms = match self.is_request {
            true => FIRST_REQUEST_TRIAL_AFTER_MS,
            false => FIRST_PART_TRIAL_AFTER_MS,
        };
        let due_ms = third.at_ms + after_ms;
        self.crashes.iter().filter(|crash| crash.at_ms >= due_ms).count() as u32
    }

    pub(crate) fn begin_trial(&mut self, now_ms: i64) {
        self.begun_trials = self.begun_trials.saturating_add(1);
        self.trial_ms = now_ms;
        self.changed_ms = Some(now_ms);
    }

    /// Returns whether a trial has been due for so long that no held item can have begun it.
    pub(crate) fn is_unclaimed(&self, now_ms: i64, max_delay_ms: i64) -> bool {
        self.trial_due_ms(true).is_some_and(|due_ms| now_ms >= due_ms + max_delay_ms)
    }

    /// Returns whether a new job with the part may be accepted; at most one in `ITEM_TRIAL_AFTER_MS`.
    pub(crate) fn can_accept_job(&self, now_ms: i64) -> bool {
        now_ms >= self.accepted_ms + ITEM_TRIAL_AFTER_MS
    }

    pub(crate) fn accept_job(&mut self, now_ms: i64) {
        self.accepted_ms = now_ms;
    }

    /// Takes back the trial or the distinguishing request that began at `begun_ms`, if there was one;
    /// returns whether peers must be told.
    pub(crate) fn cancel_trial(&mut self, now_ms: i64, begun_ms: i64) -> bool {
        if self.distinguished_ms == begun_ms {
            self.distinguished_ms = i64::MIN / 2;
        }
        if self.trial_ms != begun_ms {
            return false;
        }
        self.cancelled_trials = self.cancelled_trials.saturating_add(1);
        self.trial_ms = i64::MIN / 2;
        self.changed_ms = Some(now_ms);
        true
    }

    /// Returns whether the record no longer matters.
    pub(crate) fn is_expired(&self, now_ms: i64) -> bool {
        if self.crashes.is_empty() {
            return now_ms >= self.updated_ms + CLEARED_PERIOD_MS;
        }
        let is_single = self.is_request && self.crashes.len() == 1;
        let after_ms = if is_single { FORGET_SINGLE_AFTER_MS } else { FORGET_AFTER_MS };
        now_ms >= self.requested_ms.max(self.last_crash_ms()) + after_ms
    }

    pub(crate) fn last_crash_ms(&self) -> i64 {
        self.crashes.last().map_or(i64::MIN / 2, |crash| crash.at_ms)
    }

    /// Merges what a peer knows of the suspect; returns whether its crashes or sound answers
    /// changed the record.
    pub(crate) fn merge(
        &mut self,
        now_ms: i64,
        view: &EvidenceView,
        counts: Option<TrialCounts>,
    ) -> bool {
        let mut is_changed = false;
        if let Some(age_ms) = view.sound_age_ms {
            let previous_ms = self.sound_ms();
            self.add_sound(now_ms, now_ms - i64::from(age_ms));
            is_changed = self.sound_ms() > previous_ms;
        }
        for crash in &view.crashes {
            let at_ms = now_ms - i64::from(crash.age_ms);
            let crash = Crash { incarnation: crash.incarnation, at_ms };
            is_changed |= self.add_crash(now_ms, crash);
        }
        let requested_ms = now_ms - i64::from(view.requested_age_ms) - RELAY_ALLOWANCE_MS;
        self.requested_ms = self.requested_ms.max(requested_ms);
        if !self.crashes.is_empty() {
            self.merge_trials(now_ms, view, counts);
        }
        is_changed
    }

    /// Merges the trials that a peer knows of. One that was cancelled still delays the next one here,
    /// since another one may have begun at the same time.
    fn merge_trials(&mut self, now_ms: i64, view: &EvidenceView, counts: Option<TrialCounts>) {
        // Older builds send only the difference.
        let counts = counts.unwrap_or(TrialCounts {
            begun: self.cancelled_trials.saturating_add(u32::from(view.trials)),
            cancelled: self.cancelled_trials,
        });
        if counts.begun > self.begun_trials {
            self.begun_trials = counts.begun;
            self.trial_ms = self.trial_ms.max(now_ms - i64::from(view.trial_age_ms));
        }
        self.cancelled_trials = self.cancelled_trials.max(counts.cancelled);
    }

    /// Returns the numbers of trials that began and that reached no replica.
    pub(crate) fn trial_counts(&self) -> TrialCounts {
        TrialCounts { begun: self.begun_trials, cancelled: self.cancelled_trials }
    }

    /// Returns what peers are told of the suspect; `own_sound_ms` is the time of the last sound
    /// answer that this daemon itself received.
    pub(crate) fn to_view(&self, now_ms: i64, own_sound_ms: Option<i64>) -> EvidenceView {
        let crashes = self.crashes.iter().map(|crash| CrashView {
            incarnation: crash.incarnation,
            age_ms: age_ms(now_ms, crash.at_ms),
        });
        EvidenceView {
            crashes: crashes.collect(),
            sound_age_ms: own_sound_ms.map(|sound_ms| age_ms(now_ms, sound_ms)),
            requested_age_ms: age_ms(now_ms, self.requested_ms),
            trials: u8::try_from(self.trials()).unwrap_or(u8::MAX),
            trial_age_ms: age_ms(now_ms, self.trial_ms),
        }
    }
}

/// Returns whether a sound answer shows that the suspect did not cause a crash.
pub(crate) fn is_protected(sound_ms: Option<i64>, crash_ms: i64) -> bool {
    sound_ms.is_some_and(|sound_ms| crash_ms < sound_ms + SOUND_PROTECTION_MS)
}

/// Returns an age for a message; ages beyond the time for which suspects are remembered do not
/// matter.
fn age_ms(now_ms: i64, at_ms: i64) -> u32 {
    now_ms.saturating_sub(at_ms).clamp(0, FORGET_AFTER_MS) as u32
}

/// Returns a time of the daemon's clock as a signed number, which can be before the clock's start.
pub(crate) fn signed(now_ms: Millis) -> i64 {
    now_ms as i64
}
