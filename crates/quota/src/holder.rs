//! The credits that a daemon holds, and the requests that wait for them.

use std::collections::HashMap;
use std::collections::VecDeque;

use wire::DaemonName;
use wire::Millis;

use crate::allowance::Limit;
use crate::message::OrgHash;

/// The longest time for which a refusal of the owner is repeated without asking again; credit that
/// others return, or a raised limit, is used after this time.
const MAX_REFUSAL_MS: Millis = 250;
/// The longest time for which a refusal of a fixed share is repeated without asking another daemon.
const MAX_SHARE_REFUSAL_MS: Millis = 50;
/// The time over which the demand is measured.
const DEMAND_MS: Millis = 1_000;
/// The number of windows after which the state of an organisation without requests is dropped; it
/// says what was spent of the fixed share in the last window.
const IDLE_WINDOWS: Millis = 3;

/// Identifies a request that waits for credit.
pub type Ticket = u64;

/// Where a credit comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The owner granted it.
    Owner {
        /// The owner.
        owner: DaemonName,
        /// The owner's term.
        term: u64,
        /// The number of the grant, which the owner's bucket counts.
        take: u64,
    },
    /// It belongs to the fixed share of another daemon; it is not returned.
    Shared,
    /// It belongs to the fixed share of this daemon, and was spent at this time.
    Fixed {
        /// The time.
        spent_ms: Millis,
    },
}

/// The outcome for a request that waited for credit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent.
    Admitted(Source),
    /// The request is over the limit.
    Refused {
        /// When the client may try again.
        retry_after_ms: Millis,
    },
}

#[derive(Clone, Debug)]
struct Spare {
    expires_ms: Millis,
    source: Source,
    count: u32,
}

#[derive(Clone, Debug)]
struct PendingAsk {
    seq: u64,
    sent_ms: Millis,
    need: usize,
}

/// The credits and the waiting requests of one organisation.
#[derive(Clone, Debug, Default)]
pub struct Account {
    waiting: VecDeque<Ticket>,
    pending: Vec<PendingAsk>,
    spare: Vec<Spare>,
    fixed_spent: VecDeque<Millis>,
    /// The requests for which another daemon was asked for credit of its fixed share.
    sharing: Vec<(u64, Ticket)>,
    share_refused_until_ms: Millis,
    refused_until_ms: Millis,
    demand: (Millis, u32, u32),
    used_ms: Millis,
}

/// A request for credit that must be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The credits for requests that wait.
    pub need: u32,
    /// The credits for requests that are expected soon.
    pub ahead: u32,
}

/// An answer of the owner.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The number of the request for credit.
    pub seq: u64,
    /// The credits.
    pub granted: u32,
    /// Their source.
    pub source: Source,
    /// The time until more credit is available.
    pub retry_after_ms: Millis,
    /// Whether the owner's buckets may be emptier than the quota allows.
    pub is_new: bool,
}

/// The decisions that follow from an answer of the owner.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The requests that are decided.
    pub decisions: Vec<(Ticket, Decision)>,
    /// The requests that the owner refused although the quota may allow them.
    pub without_owner: Vec<Ticket>,
    /// The number of credits that came too late to be spent.
    pub late: u32,
}

/// What the fixed share of this daemon allows.
#[derive(Clone, Copy, Debug)]
pub struct FixedShare {
    /// The requests in each window.
    pub count: u64,
    /// The length of the window.
    pub window_ms: Millis,
}

impl Account {
    /// Admits a request from credit that is held, refuses it, or makes it wait and returns `None`.
    pub fn admit(&mut self, now_ms: Millis, ticket: Ticket) -> Option<Decision> {
        self.used_ms = now_ms;
        self.count_demand(now_ms);
        self.drop_old_asks(now_ms, Millis::MAX);
        if let Some(spare) = self.spare.iter_mut().find(|spare| now_ms < spare.expires_ms) {
            spare.count -= 1;
            let source = spare.source.clone();
            self.spare.retain(|spare| spare.count > 0);
            return Some(Decision::Admitted(source));
        }
        if now_ms < self.refused_until_ms {
            return Some(Decision::Refused { retry_after_ms: self.refused_until_ms - now_ms });
        }
        self.waiting.push_back(ticket);
        None
    }

    /// Returns the request for credit to send, unless one is on its way that includes all waiting
    /// requests; `is_retry` sends one although an earlier one is not answered.
    pub fn next_ask(&mut self, life_ms: Millis, is_retry: bool) -> Option<Ask> {
        if self.waiting.is_empty() || (!self.pending.is_empty() && !is_retry) {
            return None;
        }
        let need = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let (_, last, current) = self.demand;
        let expected = u64::from(last.max(current)) * life_ms / 2 / DEMAND_MS;
        Some(Ask { need, ahead: u32::try_from(expected).unwrap_or(u32::MAX) })
    }

    /// Records a request for credit.
    pub fn record_ask(&mut self, now_ms: Millis, seq: u64, ask: Ask) {
        self.pending.push(PendingAsk { seq, sent_ms: now_ms, need: ask.need as usize });
    }

    /// Returns whether a ticket still waits.
    pub fn is_waiting(&self, ticket: Ticket) -> bool {
        self.waiting.contains(&ticket)
    }

    /// Applies an answer of the owner.
    pub fn apply(&mut self, now_ms: Millis, grant: Grant, life_ms: Millis) -> Outcome {
        let mut outcome = Outcome::default();
        let Some(position) = self.pending.iter().position(|ask| ask.seq == grant.seq) else {
            return outcome;
        };
        let ask = self.pending.remove(position);
        let expires_ms = ask.sent_ms + life_ms;
        if now_ms >= expires_ms {
            outcome.late = grant.granted;
            return outcome;
        }
        let mut granted = grant.granted;
        while granted > 0
            && let Some(ticket) = self.waiting.pop_front()
        {
            granted -= 1;
            outcome.decisions.push((ticket, Decision::Admitted(grant.source.clone())));
        }
        if granted > 0 {
            self.spare.push(Spare { expires_ms, source: grant.source, count: granted });
        }
        if (grant.granted as usize) < ask.need {
            // Later requests are refused too: the bucket is empty.
            let refused = std::mem::take(&mut self.waiting);
            if grant.is_new {
                outcome.without_owner.extend(refused);
            } else {
                let decision = Decision::Refused { retry_after_ms: grant.retry_after_ms };
                let refused = refused.into_iter().map(|ticket| (ticket, decision.clone()));
                outcome.decisions.extend(refused);
                self.refused_until_ms = now_ms + grant.retry_after_ms.min(MAX_REFUSAL_MS);
            }
        }
        outcome
    }

    /// Returns the requests that wait for an answer that says that the sender is not the owner.
    pub fn take_unowned(&mut self, seq: u64) -> Vec<Ticket> {
        if !self.pending.iter().any(|ask| ask.seq == seq) {
            return Vec::new();
        }
        self.pending.clear();
        self.waiting.drain(..).collect()
    }

    /// Removes a request that has waited for the owner for as long as it may, and returns whether it
    /// was waiting.
    pub fn take_waiting(&mut self, ticket: Ticket) -> bool {
        let position = self.waiting.iter().position(|waiting| *waiting == ticket);
        position.is_some_and(|position| self.waiting.remove(position).is_some())
    }

    /// Removes a request that has waited for another daemon's fixed share for as long as it may, and
    /// returns whether it was waiting.
    pub fn take_sharing(&mut self, ticket: Ticket) -> bool {
        let waiting = self.sharing.len();
        self.sharing.retain(|(_, sharing)| *sharing != ticket);
        self.sharing.len() < waiting
    }

    /// Returns whether the fixed share of another daemon may have credit.
    pub fn may_share(&self, now_ms: Millis) -> bool {
        now_ms >= self.share_refused_until_ms
    }

    /// Records that a request waits for the fixed share of another daemon.
    pub fn record_share_ask(&mut self, seq: u64, ticket: Ticket) {
        self.sharing.push((seq, ticket));
    }

    /// Applies the answer of a daemon that holds a fixed share.
    pub fn apply_share(
        &mut self,
        now_ms: Millis,
        seq: u64,
        is_granted: bool,
        retry_after_ms: Millis,
    ) -> Option<(Ticket, Decision)> {
        let position = self.sharing.iter().position(|(asked, _)| *asked == seq)?;
        let (_, ticket) = self.sharing.remove(position);
        if is_granted {
            return Some((ticket, Decision::Admitted(Source::Shared)));
        }
        // Another daemon's share may have credit, so that the next attempt comes soon.
        self.share_refused_until_ms = now_ms + retry_after_ms.min(MAX_SHARE_REFUSAL_MS);
        Some((ticket, Decision::Refused { retry_after_ms }))
    }

    /// Removes a request that no longer waits.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.take_waiting(ticket);
        self.take_sharing(ticket);
    }

    /// Takes back a credit of the fixed share whose request was not sent.
    pub fn take_back_fixed(&mut self, spent_ms: Millis) {
        if let Some(position) = self.fixed_spent.iter().position(|spent| *spent == spent_ms) {
            self.fixed_spent.remove(position);
        }
    }

    /// Returns the credits that have expired, with their sources, and forgets unanswered requests.
    pub fn expire(&mut self, now_ms: Millis, life_ms: Millis) -> Vec<(Source, u32)> {
        self.drop_old_asks(now_ms, life_ms);
        let is_expired = |spare: &mut Spare| now_ms >= spare.expires_ms;
        let expired = self.spare.extract_if(.., is_expired);
        expired.map(|spare| (spare.source, spare.count)).collect()
    }

    /// Returns whether the account can be dropped.
    pub fn is_idle(&self, now_ms: Millis, window_ms: Millis) -> bool {
        self.waiting.is_empty()
            && self.sharing.is_empty()
            && now_ms >= self.used_ms + IDLE_WINDOWS * window_ms
    }

    fn drop_old_asks(&mut self, now_ms: Millis, life_ms: Millis) {
        // The credit of an answer that comes later is not spent and expires at the owner.
        self.pending.retain(|ask| now_ms < ask.sent_ms.saturating_add(life_ms));
    }

    fn count_demand(&mut self, now_ms: Millis) {
        let (since_ms, _, current) = self.demand;
        if now_ms >= since_ms + 2 * DEMAND_MS {
            self.demand = (now_ms, 0, 1);
        } else if now_ms >= since_ms + DEMAND_MS {
            self.demand = (since_ms + DEMAND_MS, current, 1);
        } else {
            self.demand.2 += 1;
        }
    }

    /// Spends a credit of the fixed share of this daemon.
    pub fn spend_fixed(&mut self, now_ms: Millis, fixed: FixedShare) -> Option<Source> {
        while self.fixed_spent.front().is_some_and(|at| now_ms > at + fixed.window_ms) {
            self.fixed_spent.pop_front();
        }
        if self.fixed_spent.len() as u64 >= fixed.count {
            return None;
        }
        self.used_ms = now_ms;
        self.fixed_spent.push_back(now_ms);
        Some(Source::Fixed { spent_ms: now_ms })
    }

    /// Returns the time until the fixed share of this daemon has credit again.
    pub fn fixed_wait_ms(&self, now_ms: Millis, fixed: FixedShare) -> Millis {
        let oldest = self.fixed_spent.front().map(|at| at + fixed.window_ms);
        oldest.map_or(MAX_REFUSAL_MS, |at| at.saturating_sub(now_ms).max(1))
    }
}

/// The accounts of the organisations that send requests to this daemon.
pub type Accounts = HashMap<OrgHash, (Limit, Account)>;
