//! The levels that a previous owner of a group handed over, until they are used or another owner may
//! have granted since.

use std::collections::HashMap;

use wire::DaemonName;
use wire::Millis;

use crate::election::VOTE_DELAY_MS;

/// How long levels may be used after they arrived. A daemon that voted for another owner, which was
/// lost since, votes for this one this long after that vote has expired at the earliest.
const KEEP_MS: Millis = VOTE_DELAY_MS;

/// The levels of buckets that a previous owner handed over.
#[derive(Clone, Debug)]
pub struct HandedOver {
    /// When they were received.
    pub received_ms: Millis,
    /// The tokens of each organisation.
    pub levels: HashMap<u64, f64>,
}

/// The last hand-over of a group to this daemon.
#[derive(Clone, Debug, Default)]
pub struct HandOver {
    levels: Option<(DaemonName, HandedOver)>,
    /// The last term that was handed over; a duplicated message is not used twice.
    last_term: Option<u64>,
    /// The daemon that owned the group last, as far as this one knows, and when that was learned.
    last_owner: Option<(DaemonName, Millis)>,
}

impl HandOver {
    /// Keeps the levels at the end of a term of `from`. They are ignored if another daemon has owned
    /// the group within the longest delay of a message: its term may be the later one.
    pub fn record(&mut self, now_ms: Millis, from: &DaemonName, term: u64, levels: &[(u64, f32)]) {
        let is_outdated = self.last_owner.as_ref().is_some_and(|(owner, learned_ms)| {
            owner != from && now_ms < learned_ms + VOTE_DELAY_MS
        });
        if self.last_term == Some(term) || is_outdated {
            return;
        }
        self.last_term = Some(term);
        let levels = levels.iter().map(|(org, level)| (*org, f64::from(*level))).collect();
        self.levels = Some((from.clone(), HandedOver { received_ms: now_ms, levels }));
    }

    /// Records that a daemon has owned the group, and drops the levels of earlier owners.
    pub fn record_owner(&mut self, now_ms: Millis, owner: &DaemonName) {
        if self.levels.as_ref().is_some_and(|(from, _)| from != owner) {
            self.levels = None;
        }
        self.last_owner = Some((owner.clone(), now_ms));
    }

    /// Returns the levels with which the next term begins.
    pub fn take(&mut self, now_ms: Millis) -> Option<HandedOver> {
        let (_, handed_over) = self.levels.take()?;
        (now_ms < handed_over.received_ms + KEEP_MS).then_some(handed_over)
    }
}
