//! The recent changes of the replicas, which are pushed to every peer.

use std::collections::VecDeque;

use wire::Millis;

/// How long a change is sent with every heartbeat: a datagram may be lost, and a peer that misses
/// all of them asks for the change.
const PUSH_PERIOD_MS: Millis = 1_000;

/// The recent changes that this daemon did not learn from a peer.
#[derive(Clone, Debug, Default)]
pub struct RecentChanges {
    changes: VecDeque<Change>,
}

/// The time of a change and the revision of the list before it.
#[derive(Clone, Copy, Debug)]
struct Change {
    at_ms: Millis,
    base_revision: u64,
}

impl RecentChanges {
    /// Records a change of a list that was at `base_revision` before.
    pub fn record(&mut self, now_ms: Millis, base_revision: u64) {
        self.changes.push_back(Change { at_ms: now_ms, base_revision });
    }

    /// Returns the revision since which all changes are sent to peers; `None` if none is recent.
    pub fn base_revision(&mut self, now_ms: Millis) -> Option<u64> {
        while self.changes.front().is_some_and(|change| now_ms >= change.at_ms + PUSH_PERIOD_MS) {
            self.changes.pop_front();
        }
        self.changes.front().map(|change| change.base_revision)
    }
}
