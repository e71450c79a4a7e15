//! The order in which a table grants slots, and what organisations are charged for them.

use wire::Millis;

use super::Charge;
use super::MIN_CHARGE_MS;
use super::QueuedRequest;
use super::SlotTable;
use crate::message::Class;
use crate::message::Ticket;

/// The class, the priority, whether the request is late, the virtual start of its organisation, its
/// sort key and its ticket.
pub(super) type ServiceOrder = (Class, u32, bool, Millis, Millis, Ticket);

impl SlotTable {
    /// Charges an organisation for a grant with the mean slot time, until the grant is released.
    ///
    /// Requests without a share are charged only once others have one.
    pub(super) fn charge(&mut self, now_ms: Millis, queued: &QueuedRequest) -> Option<Charge> {
        if queued.class == Class::Batch {
            let waiting = waiting_items(&self.queue);
            self.item_shares.charge(now_ms, queued.ticket, queued.organisation(), waiting);
            return None;
        }
        let has_shares = queued.share.is_some() || self.fair_shares.remembered() > 0;
        if !has_shares {
            return None;
        }
        let organisation = queued.organisation();
        let expected_ms = self.mean_online_run_ms.max(MIN_CHARGE_MS);
        self.fair_shares.charge(organisation, expected_ms);
        let waiting = waiting_requests(&self.queue).collect();
        self.least_shares.charge(organisation, expected_ms, &waiting);
        Some(Charge { organisation, expected_ms })
    }

    /// Returns the index of the request that is granted next: online before batch, and in each
    /// class those of organisations that are due their least share, then by priority, then those that can
    /// still be on time before those that are late, then by the fair shares of the organisations, then by
    /// the sort key. Items have no priority.
    pub(super) fn next_to_grant(&self, now_ms: Millis) -> Option<usize> {
        let is_allowed = |queued: &QueuedRequest| {
            queued.class == Class::Online || now_ms >= self.batch_blocked_until_ms
        };
        let ahead_from_ms = self.item_shares.ahead_from_ms(waiting_items(&self.queue));
        (0..self.queue.len()).filter(|index| is_allowed(&self.queue[*index])).min_by_key(|index| {
            let queued = &self.queue[*index];
            let is_due =
                queued.class == Class::Online && self.least_shares.is_due(queued.organisation());
            let (class, priority, late, start_ms, at_ms, ticket) =
                self.service_order(queued, now_ms, ahead_from_ms);
            (class, !is_due, priority, late, start_ms, at_ms, ticket)
        })
    }

    /// Returns the sort key of a queued request; the lowest is served first.
    ///
    /// Requests without a share have the same priority and virtual start, so that these decide
    /// nothing among them; beside requests with shares, they share one queue.
    pub(super) fn service_order(
        &self,
        queued: &QueuedRequest,
        now_ms: Millis,
        ahead_from_ms: Millis,
    ) -> ServiceOrder {
        let is_late = queued.on_time_at_ms < now_ms;
        let at_ms = if is_late { queued.give_up_at_ms } else { queued.order_at_ms };
        let organisation = queued.organisation();
        if queued.class == Class::Batch {
            let is_ahead = self.item_shares.is_ahead(organisation, ahead_from_ms);
            return (queued.class, 0, is_late, Millis::from(is_ahead), at_ms, queued.ticket);
        }
        let priority = queued.share.map_or(0, |share| share.priority);
        let start_ms = self.fair_shares.start_ms(organisation);
        (queued.class, priority, is_late, start_ms, at_ms, queued.ticket)
    }
}

/// Returns the organisations of the online requests that wait.
fn waiting_requests(queue: &[QueuedRequest]) -> impl Iterator<Item = u64> + '_ {
    let requests = queue.iter().filter(|queued| queued.class == Class::Online);
    requests.map(QueuedRequest::organisation)
}

/// Returns the organisations of the items that wait.
fn waiting_items(queue: &[QueuedRequest]) -> impl Iterator<Item = u64> + '_ {
    let items = queue.iter().filter(|queued| queued.class == Class::Batch);
    items.map(QueuedRequest::organisation)
}
