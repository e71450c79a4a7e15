//! The search for a slot for one request: asks owners, waits in their queues, and takes the first
//! grant.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;
use wire::DaemonName;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;

use crate::client::Slots;
use crate::client::new_ticket;
use crate::lease::SlotLease;
use crate::message::Class;
use crate::message::Ticket;
use crate::request::NoSlot;
use crate::request::SlotRequest;

/// How long an owner may take to answer before the request is sent again; a round trip between data
/// centres takes a few milliseconds, and longer if a host is small and busy.
const OWNER_TIMEOUT_MS: Millis = 25;
/// The number of unanswered sends after which the owner counts as unresponsive.
const MAX_UNANSWERED: u32 = 2;
/// How often a queued request is sent again and a replica with a free slot is looked for.
const QUEUED_RESEND_MS: Millis = 150;
/// The wait before the next choice when no replica is left.
const NO_REPLICA_RETRY_MS: Millis = 40;
/// The number of queues in which an online request waits at the same time.
const MAX_ONLINE_QUEUES: usize = 2;
/// The number of early refusals after which an online request ends. The known loads are up to a heartbeat
/// old, so that after two a replica with a free slot is often left.
const MAX_EARLY_REFUSALS: usize = 3;

/// The largest number of replicas that one search asks for a slot; more messages would cost more
/// than the slot is worth.
const MAX_REPLICAS_ASKED: u32 = 16;

/// The state of a request to one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantState {
    /// The owner has not answered.
    Sent,
    /// The request waits in the owner's queue.
    Queued,
    /// The owner granted the slot.
    Granted,
    /// The daemon that was asked does not own the replica.
    NotOwner,
    /// The owner did not queue the request, since too many requests are ahead of it.
    Refused {
        /// When the owner expects a slot for the request, if it said so.
        slot_at_ms: Option<Millis>,
    },
}

/// The state that messages of the owner update, found by the ticket of the request.
pub(crate) struct PendingGrant {
    state: Cell<GrantState>,
    changed: Rc<Notify>,
}

impl PendingGrant {
    /// Sets the state that the owner reported, unless the slot is granted already.
    pub(crate) fn update(&self, state: GrantState) {
        if self.state.get() != GrantState::Granted {
            self.state.set(state);
            self.changed.notify_one();
        }
    }

    /// Makes the search check its requests.
    pub(crate) fn wake(&self) {
        self.changed.notify_one();
    }
}

/// A request of a search to one owner; dropping it releases the slot, or the place in the queue.
struct OwnerRequest {
    slots: Rc<Slots>,
    replica: ReplicaRecord,
    owner: DaemonName,
    ticket: Ticket,
    pending: Rc<PendingGrant>,
    sent_at_ms: Millis,
    unanswered: u32,
    is_leased: bool,
}

impl Drop for OwnerRequest {
    fn drop(&mut self) {
        self.slots.remove_pending(self.ticket);
        if !self.is_leased {
            self.slots.send_release(&self.replica.name, self.ticket);
        }
    }
}

/// The search for a slot for one request.
pub(crate) struct Search<'a> {
    slots: &'a Rc<Slots>,
    slot_request: &'a SlotRequest<'a>,
    avoided: Option<&'a ReplicaName>,
    changed: Rc<Notify>,
    requests: Vec<OwnerRequest>,
    refused: Vec<ReplicaName>,
    /// The earliest time at which an owner that refused the request expects a slot for it.
    slot_at_ms: Option<Millis>,
    has_found_replica: bool,
    replicas_asked: u32,
}

impl<'a> Search<'a> {
    /// Creates a search that has sent no request yet and never asks for a slot at `avoided`.
    pub(crate) fn new(
        slots: &'a Rc<Slots>,
        slot_request: &'a SlotRequest<'a>,
        avoided: Option<&'a ReplicaName>,
    ) -> Self {
        let changed = Rc::new(Notify::new());
        let (requests, refused) = (Vec::new(), Vec::new());
        Self {
            slots,
            slot_request,
            avoided,
            changed,
            requests,
            refused,
            slot_at_ms: None,
            has_found_replica: false,
            replicas_asked: 0,
        }
    }

    /// Returns whether the owners refused to queue the request, so that waiting is useless.
    pub(crate) fn is_refused(&self) -> bool {
        if !self.requests.is_empty() {
            return false;
        }
        let has_asked_all = (self.avoided.is_some() || self.slot_at_ms.is_some())
            && !self.refused.is_empty()
            && !self
                .slots
                .has_replica_where(self.slot_request.service, |name| !self.is_requested(name));
        has_asked_all || self.refused.len() >= self.max_refusals()
    }

    /// Returns why a request is refused that the owners did not queue.
    pub(crate) fn refusal(&self, now_ms: Millis) -> NoSlot {
        match self.slot_at_ms {
            Some(at_ms) => NoSlot::Late { slot_in_ms: at_ms.saturating_sub(now_ms) },
            None => NoSlot::Full,
        }
    }

    /// Returns whether the request is to be refused because all replicas of its service leave.
    pub(crate) fn has_only_leaving_replicas(&self) -> bool {
        self.requests.is_empty()
            && !self.slot_request.waits_for_replica
            && self.slots.has_only_leaving_replicas(self.slot_request.service)
    }

    /// Returns why no slot was acquired.
    pub(crate) fn no_slot(&self) -> NoSlot {
        if self.has_found_replica { NoSlot::Full } else { NoSlot::NoReplica }
    }

    /// Sends a request to another owner if that can help; returns a lease if the slot is granted at
    /// once, or if the replica of an online request has no responsive owner.
    pub(crate) fn request_next(&mut self, now_ms: Millis) -> Option<SlotLease> {
        self.drop_unusable();
        self.resend(now_ms);
        if !self.should_request_more() {
            return None;
        }
        let replica =
            self.slots.choose(now_ms, self.slot_request, |name| self.is_requested(name))?;
        if self.requests.len() >= self.max_queues() {
            if !self.slots.has_capacity(&replica, self.slot_request.class) {
                return None;
            }
            self.requests.remove(0);
        }
        self.has_found_replica = true;
        self.replicas_asked += 1;
        let ticket = new_ticket();
        let owner =
            self.slots.owner_of(&replica).filter(|owner| !self.slots.is_unresponsive(owner));
        let Some(owner) = owner else { return self.lease_without_grant(replica, ticket) };
        let pending = Rc::new(PendingGrant {
            state: Cell::new(GrantState::Sent),
            changed: self.changed.clone(),
        });
        self.slots.add_pending(ticket, pending.clone(), &replica.name);
        let request = OwnerRequest {
            slots: self.slots.clone(),
            replica,
            owner,
            ticket,
            pending,
            sent_at_ms: now_ms,
            unanswered: 0,
            is_leased: false,
        };
        self.slots.send_request(
            &request.owner,
            self.slot_request,
            &request.replica.name,
            ticket,
            now_ms,
        );
        self.requests.push(request);
        self.take_granted()
    }

    /// Waits until an owner answers or a request is due to be sent again.
    pub(crate) async fn wait(&self, now_ms: Millis) {
        let due_ms = self.requests.iter().map(|request| match request.pending.state.get() {
            GrantState::Queued => request.sent_at_ms + QUEUED_RESEND_MS,
            _ => request.sent_at_ms + OWNER_TIMEOUT_MS,
        });
        let due_ms = due_ms.min().unwrap_or(now_ms + NO_REPLICA_RETRY_MS);
        let wait_ms = due_ms.min(self.slot_request.give_up_at_ms).saturating_sub(now_ms).max(1);
        // A timeout needs no handling: the caller checks the requests again in either case.
        let _ = timeout(Duration::from_millis(wait_ms), self.changed.notified()).await;
    }

    /// Takes the first slot granted at a usable replica and drops the other requests.
    pub(crate) fn take_granted(&mut self) -> Option<SlotLease> {
        let granted = self.requests.iter().position(|request| {
            request.pending.state.get() == GrantState::Granted
                && self.slots.is_usable(&request.replica)
        })?;
        let mut request = self.requests.swap_remove(granted);
        self.requests.clear();
        request.is_leased = true;
        Some(self.slots.create_lease(
            self.slot_request,
            request.replica.clone(),
            request.ticket,
            true,
        ))
    }

    fn max_queues(&self) -> usize {
        match self.slot_request.class {
            Class::Online => MAX_ONLINE_QUEUES,
            Class::Batch => 1,
        }
    }

    fn max_refusals(&self) -> usize {
        if self.slot_at_ms.is_some() { MAX_EARLY_REFUSALS } else { self.max_queues() }
    }

    /// Returns whether another owner should be asked: none was asked, or those asked have only
    /// queued the request.
    fn should_request_more(&self) -> bool {
        let is_queued = |request: &OwnerRequest| request.pending.state.get() == GrantState::Queued;
        if self.replicas_asked >= MAX_REPLICAS_ASKED || !self.requests.iter().all(is_queued) {
            return false;
        }
        let max = self.max_queues();
        let can_queue = self.refused.len() < self.max_refusals() && self.requests.len() < max;
        can_queue || self.has_better_replica()
    }

    fn has_better_replica(&self) -> bool {
        self.slots.any_has_capacity(self.slot_request, |name| self.is_requested(name))
    }

    fn is_requested(&self, name: &ReplicaName) -> bool {
        self.avoided == Some(name)
            || self.requests.iter().any(|request| request.replica.name == *name)
            || self.refused.contains(name)
    }

    fn drop_unusable(&mut self) {
        let (slots, refused, earliest_ms) = (self.slots, &mut self.refused, &mut self.slot_at_ms);
        self.requests.retain(|request| {
            let state = request.pending.state.get();
            if let GrantState::Refused { slot_at_ms } = state {
                refused.push(request.replica.name.clone());
                *earliest_ms = [*earliest_ms, slot_at_ms].into_iter().flatten().min();
            }
            !matches!(state, GrantState::NotOwner | GrantState::Refused { .. })
                && slots.is_usable(&request.replica)
        });
    }

    /// Sends requests again that were not answered, or whose grant may have been lost.
    fn resend(&mut self, now_ms: Millis) {
        let mut unresponsive = Vec::new();
        for request in &mut self.requests {
            let timeout_ms = match request.pending.state.get() {
                GrantState::Queued => QUEUED_RESEND_MS,
                _ => OWNER_TIMEOUT_MS,
            };
            if now_ms < request.sent_at_ms + timeout_ms {
                continue;
            }
            if request.pending.state.get() == GrantState::Sent {
                request.unanswered += 1;
                if request.unanswered >= MAX_UNANSWERED {
                    unresponsive.push(request.owner.clone());
                    continue;
                }
            }
            request.sent_at_ms = now_ms;
            self.slots.send_request(
                &request.owner,
                self.slot_request,
                &request.replica.name,
                request.ticket,
                now_ms,
            );
        }
        for owner in unresponsive {
            self.slots.mark_unresponsive(&owner);
            self.requests.retain(|request| request.owner != owner);
        }
    }

    /// Proceeds without a grant: returns a lease for an online request; a batch item waits for
    /// another replica.
    fn lease_without_grant(&mut self, replica: ReplicaRecord, ticket: Ticket) -> Option<SlotLease> {
        if self.slot_request.class == Class::Batch {
            return None;
        }
        self.slots.count_without_owner();
        self.requests.clear();
        Some(self.slots.create_lease(self.slot_request, replica, ticket, false))
    }
}
