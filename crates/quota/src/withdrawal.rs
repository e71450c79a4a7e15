//! The withdrawal of votes that earlier incarnations of a daemon cast.
//!
//! It answers the loss of all daemons at once: no daemon then holds any vote, and to wait until the
//! votes of earlier incarnations have expired leaves the fleet without owners for seconds.

use std::collections::HashMap;
use std::collections::HashSet;

use wire::DaemonName;
use wire::Millis;

use crate::election::VOTE_DELAY_MS;
use crate::message::Message;

/// The time between two requests to the daemons that have not answered.
const REPEAT_MS: Millis = 300;

/// What a restarted daemon knows of the daemons that may hold its earlier votes.
#[derive(Clone, Debug)]
pub struct Withdrawal {
    /// When no earlier vote is on its way any more; one could arrive after an earlier answer.
    from_ms: Millis,
    asked_ms: HashMap<DaemonName, Millis>,
    withdrawn: HashSet<DaemonName>,
}

impl Withdrawal {
    /// Creates the state of a daemon whose earlier votes have arrived by `from_ms`.
    pub fn new(from_ms: Millis) -> Self {
        Self { from_ms, asked_ms: HashMap::new(), withdrawn: HashSet::new() }
    }

    /// Returns the requests that are due; votes count as early until `settled_ms`.
    pub fn requests<'a>(
        &mut self,
        now_ms: Millis,
        settled_ms: Millis,
        known: impl Iterator<Item = &'a DaemonName>,
    ) -> Vec<(DaemonName, Message)> {
        if now_ms < self.from_ms {
            return Vec::new();
        }
        let message = Message::Withdraw { early_ms: settled_ms.saturating_sub(now_ms) as u32 };
        let mut requests = Vec::new();
        for name in known.filter(|name| !self.withdrawn.contains(*name)) {
            if self.asked_ms.get(name).is_some_and(|asked_ms| now_ms < asked_ms + REPEAT_MS) {
                continue;
            }
            self.asked_ms.insert(name.clone(), now_ms);
            requests.push((name.clone(), message.clone()));
        }
        requests
    }

    /// Records that a daemon holds no earlier votes.
    pub fn record(&mut self, from: &DaemonName) {
        if self.asked_ms.contains_key(from) {
            self.withdrawn.insert(from.clone());
        }
    }

    /// Returns whether none of the daemons holds an earlier vote.
    pub fn is_complete<'a>(&self, mut known: impl Iterator<Item = &'a DaemonName>) -> bool {
        known.all(|name| self.withdrawn.contains(name))
    }
}

/// The voters that have restarted recently, with the incarnation and the end of their early votes.
#[derive(Clone, Debug, Default)]
pub struct RestartedVoters {
    voters: HashMap<DaemonName, (u64, Millis)>,
}

impl RestartedVoters {
    /// Records a restart, and returns whether it was not known.
    pub fn record(
        &mut self,
        now_ms: Millis,
        name: &DaemonName,
        incarnation: u64,
        early_until_ms: Millis,
    ) -> bool {
        // A late duplicate of a request must not discard the votes that followed it.
        self.voters.retain(|_, (_, until_ms)| now_ms < *until_ms + VOTE_DELAY_MS);
        let previous = self.voters.insert(name.clone(), (incarnation, early_until_ms));
        previous.is_none_or(|(known, _)| known != incarnation)
    }

    /// Returns whether a newer incarnation of a voter is known. One with a clock that was set back is
    /// accepted after the early votes of the other one.
    pub fn is_superseded(&self, now_ms: Millis, name: &DaemonName, incarnation: u64) -> bool {
        let current = self.voters.get(name).filter(|(_, until_ms)| now_ms < *until_ms);
        current.is_some_and(|(known, _)| incarnation < *known)
    }

    /// Returns whether the votes of a voter are early.
    pub fn is_early(&self, now_ms: Millis, name: &DaemonName) -> bool {
        self.voters.get(name).is_some_and(|(_, until_ms)| now_ms < *until_ms)
    }
}
