//! Decides which requests with quarantined suspects may be sent, and when.

use std::collections::HashSet;

use wire::Millis;

use crate::core::Change;
use crate::core::Delegates;
use crate::core::Quarantine;
use crate::record::SuspectRecord;
use crate::record::signed;
use crate::suspect::Suspect;

/// How much later than the daemons of a group those of the next group begin a trial; a group has
/// twice as many daemons as the one before.
const TRIAL_STAGGER_MS: i64 = 1_000;
/// The most by which any daemon begins a trial later than the first one.
const MAX_TRIAL_DELAY_MS: i64 = 10_000;

/// Whether a request with a quarantined suspect may be sent, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Permit {
    /// It may not.
    Refused,
    /// It is a trial, some time after the last crash.
    Trial,
    /// All crashes of the part also count against another one, which the request does not have. Its
    /// answer tells which of the two causes them.
    Distinguishing,
}

impl Quarantine {
    /// Returns in how long the next trial of a quarantined suspect with an item is due, or `None` if it has
    /// none left.
    pub fn trial_due_in_ms(&self, now_ms: Millis, suspect: Suspect) -> Option<Millis> {
        let due_ms = self.records.get(&suspect)?.trial_due_ms(true)?;
        Some((due_ms - signed(now_ms)).max(0) as Millis)
    }

    /// Returns a suspect because of which a request must not be sent, if there is one.
    pub fn blocking_suspect(
        &self,
        now_ms: Millis,
        suspects: &[Suspect],
        delegates: &dyn Delegates,
    ) -> Option<Suspect> {
        let mut quarantined =
            suspects.iter().copied().filter(|suspect| self.is_quarantined(*suspect));
        quarantined.find(|suspect| {
            self.permit(signed(now_ms), *suspect, suspects, delegates) == Permit::Refused
        })
    }

    /// Checks a request before it asks for a slot; returns a suspect because of which it is refused. A
    /// refused request counts as one that came.
    pub fn refuse_early(
        &mut self,
        now_ms: Millis,
        suspects: &[Suspect],
        delegates: &dyn Delegates,
    ) -> Option<Suspect> {
        let blocking = self.blocking_suspect(now_ms, suspects, delegates)?;
        for suspect in suspects {
            let record = self.records.get_mut(suspect).filter(|record| record.is_quarantined);
            if let Some(record) = record {
                record.add_request(signed(now_ms));
            }
        }
        Some(blocking)
    }

    /// Checks the items of a job, each with its suspects, before the job is accepted; returns the
    /// number of an item and the suspect because of which the job is refused. Its items count as
    /// requests that came.
    ///
    /// A daemon accepts one job in some time if all its items with a suspect tell two suspects apart,
    /// or, at the first daemon, if a trial has been due for so long that no daemon holds an item for it.
    pub fn refuse_job(
        &mut self,
        now_ms: Millis,
        items: &[Vec<Suspect>],
        delegates: &dyn Delegates,
    ) -> Option<(usize, Suspect)> {
        let now_ms = signed(now_ms);
        let mut found: HashSet<Suspect> = HashSet::new();
        let mut refused = None;
        for (number, suspects) in items.iter().enumerate() {
            for suspect in suspects.iter().copied().filter(|suspect| self.is_quarantined(*suspect))
            {
                found.insert(suspect);
                if refused.is_none() && !self.is_item_wanted(now_ms, suspect, suspects, delegates) {
                    refused = Some((number, suspect));
                }
            }
        }
        for suspect in found {
            let Some(record) = self.records.get_mut(&suspect) else { continue };
            record.add_request(now_ms);
            if refused.is_none() {
                record.accept_job(now_ms);
            }
        }
        refused
    }

    /// Returns whether an item with a quarantined suspect is to be run, although it is not accepted yet.
    fn is_item_wanted(
        &self,
        now_ms: i64,
        suspect: Suspect,
        suspects: &[Suspect],
        delegates: &dyn Delegates,
    ) -> bool {
        let Some(record) = self.records.get(&suspect) else { return false };
        let is_distinguishing = record
            .is_distinguishing_due(now_ms, delegates.is_reporter(suspect))
            && self.is_distinguishing(record, suspects);
        let is_first = delegates.trial_rank(suspect) == Some(0);
        let is_unclaimed = is_first && record.is_unclaimed(now_ms, MAX_TRIAL_DELAY_MS);
        record.can_accept_job(now_ms) && (is_distinguishing || is_unclaimed)
    }

    /// Records a request that is about to be sent; returns a suspect because of which it must not
    /// be.
    pub fn admit(
        &mut self,
        now_ms: Millis,
        suspects: &[Suspect],
        delegates: &dyn Delegates,
    ) -> Result<(), Suspect> {
        let blocking = self.blocking_suspect(now_ms, suspects, delegates);
        let now_ms = signed(now_ms);
        for suspect in suspects.iter().copied() {
            if !self.is_quarantined(suspect) {
                continue;
            }
            let permit = self.permit(now_ms, suspect, suspects, delegates);
            let Some(record) = self.records.get_mut(&suspect) else { continue };
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
            self.changes.push(Change::TrialBegun { suspect });
        }
        blocking.map_or(Ok(()), Err)
    }

    /// Takes back the trials that began when a request was admitted at `admitted_ms`, since no replica
    /// received it.
    pub fn cancel_trials(&mut self, now_ms: Millis, admitted_ms: Millis, suspects: &[Suspect]) {
        for suspect in suspects {
            if let Some(record) = self.records.get_mut(suspect) {
                self.has_unsent |= record.cancel_trial(signed(now_ms), signed(admitted_ms));
            }
        }
    }

    /// Returns whether a request with a quarantined suspect may be sent.
    fn permit(
        &self,
        now_ms: i64,
        suspect: Suspect,
        suspects: &[Suspect],
        delegates: &dyn Delegates,
    ) -> Permit {
        let Some(record) = self.records.get(&suspect) else { return Permit::Refused };
        let is_item = is_item(suspects);
        let delay_ms = delegates.trial_rank(suspect).and_then(|rank| trial_delay_ms(suspect, rank));
        let due_ms = record.trial_due_ms(is_item).zip(delay_ms);
        if due_ms.is_some_and(|(due_ms, delay_ms)| now_ms >= due_ms + delay_ms) {
            return Permit::Trial;
        }
        if suspect.is_request() {
            return Permit::Refused;
        }
        if self.is_distinguishing(record, suspects)
            && record.is_distinguishing_due(now_ms, delegates.is_reporter(suspect))
        {
            return Permit::Distinguishing;
        }
        Permit::Refused
    }

    /// Returns whether all crashes of a suspect count against another quarantined one that the request
    /// does not have.
    fn is_distinguishing(&self, record: &SuspectRecord, suspects: &[Suspect]) -> bool {
        self.records.iter().any(|(other, other_record)| {
            other_record.is_quarantined
                && !suspects.contains(other)
                && record.is_explained_by(other_record)
        })
    }
}

/// Returns how much later than the first daemon one of a rank may begin a trial, so that it knows of
/// those of earlier ranks, or `None` if it may not begin any.
///
/// Requests that come again, which meet all daemons, are tried by the first daemon only. Which daemons
/// hold items with a part is not known, so any of them may begin its trials.
fn trial_delay_ms(suspect: Suspect, rank: usize) -> Option<i64> {
    if suspect.is_request() {
        return (rank == 0).then_some(0);
    }
    let group = (rank + 1).ilog2();
    let size = 1 << group;
    let place_in_group = (rank + 1) as i64 - size;
    let delay_ms = i64::from(group) * TRIAL_STAGGER_MS + place_in_group * TRIAL_STAGGER_MS / size;
    Some(delay_ms.min(MAX_TRIAL_DELAY_MS))
}

/// Returns whether the suspects are those of an item, which has no fingerprint.
fn is_item(suspects: &[Suspect]) -> bool {
    !suspects.iter().any(|suspect| suspect.is_request())
}
