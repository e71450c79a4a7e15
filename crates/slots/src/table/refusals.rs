//! Which requests a table refuses to queue.

use wire::Millis;

use super::Grant;
use super::OVERLOAD_MS;
use super::QUEUES_PER_REQUEST;
use super::QueuedRequest;
use super::REVOKE_TIMEOUT_MS;
use super::SlotTable;
use crate::message::Class;
use crate::overload::Candidate;
use crate::overload::Outlook;

/// The part of the usual duration after which an overdue run is expected to end.
const OVERDUE_RUN_DIVISOR: Millis = 8;

impl SlotTable {
    /// Returns whether an online request should be refused: the replica is overloaded and the
    /// request would be late after those ahead of it. An early refusal lets the client retry
    /// sooner. Tables that refuse early keep the others, which are served late rather than lost.
    pub(super) fn should_refuse(&self, now_ms: Millis, index: usize) -> bool {
        let request = &self.queue[index];
        let is_overloaded = self.overloaded_at_ms.is_some_and(|at_ms| now_ms < at_ms + OVERLOAD_MS);
        if request.class != Class::Online || !is_overloaded || self.early_refusals.is_some() {
            return false;
        }
        if self.is_first_behind_priority(index) {
            return false;
        }
        let ahead = self.ahead(now_ms, request);
        let wait_ms = ahead as Millis * self.mean_online_run_ms
            / (Millis::from(self.slots.max(1)) * QUEUES_PER_REQUEST);
        now_ms + wait_ms > request.on_time_at_ms
    }

    /// Returns the time after which a request is to return if it is refused early.
    pub(super) fn refuse_early(&mut self, now_ms: Millis, index: usize) -> Option<Millis> {
        let request = &self.queue[index];
        let can_refuse = request.class == Class::Online && !self.is_suspect && self.limit > 0;
        if !can_refuse || self.early_refusals.is_none() || self.is_first_behind_priority(index) {
            return None;
        }
        let candidate = Candidate {
            on_time_left_ms: request.on_time_at_ms.saturating_sub(now_ms),
            give_up_left_ms: request.give_up_at_ms.saturating_sub(now_ms),
        };
        let outlook = self.outlook(now_ms, request);
        self.early_refusals.as_mut()?.decide(now_ms, &outlook, candidate)
    }

    /// Returns when slots are expected to be free, and how many requests get one before `request`.
    ///
    /// A run that has lasted for longer than usual is expected to end soon. Runs without a grant have
    /// an unknown age.
    fn outlook(&self, now_ms: Millis, request: &QueuedRequest) -> Outlook {
        let usual_ms = self.mean_online_run_ms;
        let limit = self.limit as usize;
        let free_in_ms = |grant: &Grant| match grant.class {
            Class::Batch => REVOKE_TIMEOUT_MS,
            Class::Online => (grant.granted_at_ms + usual_ms)
                .saturating_sub(now_ms)
                .max(usual_ms / OVERDUE_RUN_DIVISOR),
        };
        let mut free_in_ms: Vec<Millis> = self.grants.iter().map(free_in_ms).collect();
        free_in_ms.sort_unstable();
        // The first of the runs in excess of the limit free no slot that may be granted.
        free_in_ms.drain(..free_in_ms.len().saturating_sub(limit));
        free_in_ms.resize(limit, usual_ms);
        Outlook { free_in_ms, ahead: self.ahead(now_ms, request), usual_ms }
    }

    /// Returns the number of requests that are served before `request`.
    fn ahead(&self, now_ms: Millis, request: &QueuedRequest) -> usize {
        // Items come after all online requests, whatever their shares.
        let key = self.service_order(request, now_ms, Millis::MAX);
        let order = |other| self.service_order(other, now_ms, Millis::MAX);
        self.queue.iter().filter(|other| order(other) < key).count()
    }

    /// Returns whether a request is the only one of its organisation and others of higher priority are
    /// ahead of it. It waits for the least share of its organisation, which would get none otherwise.
    fn is_first_behind_priority(&self, index: usize) -> bool {
        let Some(share) = self.queue[index].share else { return false };
        let others = self
            .queue
            .iter()
            .enumerate()
            .filter(|(other, queued)| *other != index && queued.class == Class::Online);
        let mut is_behind = false;
        for (_, other) in others {
            if other.organisation() == share.organisation {
                return false;
            }
            is_behind |= other.share.map_or(0, |other| other.priority) < share.priority;
        }
        is_behind
    }
}
