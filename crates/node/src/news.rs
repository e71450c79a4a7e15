//! Which changes of the replicas are new enough to be told to every peer without being asked.

use std::collections::VecDeque;

use wire::Millis;

/// How long a change is told with every heartbeat: a datagram may be lost, and a peer that misses
/// all of them asks.
const NEW_FOR_MS: Millis = 1_000;

/// The changes that this daemon heard of first-hand a moment ago.
#[derive(Clone, Debug, Default)]
pub struct News {
    changes: VecDeque<Change>,
}

/// One change, and the list that it changed.
#[derive(Clone, Copy, Debug)]
struct Change {
    at_ms: Millis,
    known_revision: u64,
}

impl News {
    /// Notes that the list, known as of `known_revision` before, has changed.
    pub fn changed(&mut self, now_ms: Millis, known_revision: u64) {
        self.changes.push_back(Change { at_ms: now_ms, known_revision });
    }

    /// Returns the revision after which peers are told all changes; none if none is new.
    pub fn since(&mut self, now_ms: Millis) -> Option<u64> {
        while self.changes.front().is_some_and(|change| now_ms >= change.at_ms + NEW_FOR_MS) {
            self.changes.pop_front();
        }
        self.changes.front().map(|change| change.known_revision)
    }
}
