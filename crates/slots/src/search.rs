//! The search of one request for a slot: asks owners, waits in their queues, takes what comes first.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;
use wire::DaemonName;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;

use crate::ask::NoSlot;
use crate::ask::SlotAsk;
use crate::client::Slots;
use crate::client::new_ticket;
use crate::lease::SlotLease;
use crate::message::Class;
use crate::message::Ticket;

/// How long an owner may take to answer before it is asked again; a round trip between data
/// centres takes a few milliseconds, and a busy small host some more.
const OWNER_PATIENCE_MS: Millis = 25;
/// Asks without an answer after which the owner counts as mute.
const MUTE_AFTER_ASKS: u32 = 2;
/// How often a waiting wish is repeated and better replicas are looked for.
const REVIEW_MS: Millis = 150;
/// The pause before a choice is tried again when no replica is left.
const NO_REPLICA_PAUSE_MS: Millis = 40;
/// The queues that an online request stands in at the same time.
const MAX_WISHES: usize = 2;

/// The replicas that one search asks for at most; more would cost more than the slot is worth.
const MAX_ASKED: u32 = 16;

/// How far a wish has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WishState {
    /// The owner has not answered.
    Asked,
    /// The wish waits in the owner's queue.
    Queued,
    /// The slot is there.
    Granted,
    /// The daemon that was asked does not own the replica.
    NotOwner,
    /// Too many wait at the replica.
    Refused,
}

/// A wish that an owner's messages find by its ticket.
pub(crate) struct PendingWish {
    state: Cell<WishState>,
    changed: Rc<Notify>,
}

impl PendingWish {
    /// Takes what the owner said.
    pub(crate) fn heard(&self, state: WishState) {
        if self.state.get() != WishState::Granted {
            self.state.set(state);
            self.changed.notify_one();
        }
    }
}

/// One wish of a search; dropping it gives the place in the queue, or the slot, back.
struct Wish {
    slots: Rc<Slots>,
    replica: ReplicaRecord,
    owner: DaemonName,
    ticket: Ticket,
    pending: Rc<PendingWish>,
    asked_ms: Millis,
    unanswered: u32,
    is_kept: bool,
}

impl Drop for Wish {
    fn drop(&mut self) {
        self.slots.forget_wish(self.ticket);
        if !self.is_kept {
            self.slots.tell_owner_released(&self.replica.name, self.ticket);
        }
    }
}

/// The search of one request.
pub(crate) struct Search<'a> {
    slots: &'a Rc<Slots>,
    ask: &'a SlotAsk<'a>,
    changed: Rc<Notify>,
    wishes: Vec<Wish>,
    refused: Vec<ReplicaName>,
    found_replica: bool,
    asked: u32,
}

impl<'a> Search<'a> {
    /// Starts a search.
    pub(crate) fn new(slots: &'a Rc<Slots>, ask: &'a SlotAsk<'a>) -> Self {
        let changed = Rc::new(Notify::new());
        let (wishes, refused) = (Vec::new(), Vec::new());
        Self { slots, ask, changed, wishes, refused, found_replica: false, asked: 0 }
    }

    /// Returns whether no queue took the wish, so that waiting is in vain.
    pub(crate) fn is_hopeless(&self) -> bool {
        self.wishes.is_empty() && self.refused.len() >= self.max_wishes()
    }

    /// Returns why there was no slot.
    pub(crate) fn no_slot(&self) -> NoSlot {
        if self.found_replica { NoSlot::Full } else { NoSlot::NoReplica }
    }

    /// Asks a further owner if it makes sense; returns a lease where none has to be asked.
    pub(crate) fn ask_more(&mut self, now_ms: Millis) -> Option<SlotLease> {
        self.drop_unusable();
        self.repeat(now_ms);
        if !self.wants_more() {
            return None;
        }
        let replica = self.slots.choose(now_ms, self.ask, |name| self.is_asked(name))?;
        if self.wishes.len() >= self.max_wishes() {
            if !self.slots.has_room(&replica, self.ask.class) {
                return None;
            }
            self.wishes.remove(0);
        }
        self.found_replica = true;
        self.asked += 1;
        let ticket = new_ticket();
        let owner = self.slots.owner_of(&replica).filter(|owner| !self.slots.is_mute(owner));
        let Some(owner) = owner else { return self.without_owner(replica, ticket) };
        let pending = Rc::new(PendingWish {
            state: Cell::new(WishState::Asked),
            changed: self.changed.clone(),
        });
        self.slots.remember_wish(ticket, pending.clone(), &replica.name);
        let wish = Wish {
            slots: self.slots.clone(),
            replica,
            owner,
            ticket,
            pending,
            asked_ms: now_ms,
            unanswered: 0,
            is_kept: false,
        };
        self.slots.ask_owner(&wish.owner, self.ask, &wish.replica.name, ticket, now_ms);
        self.wishes.push(wish);
        self.take()
    }

    /// Waits until an owner answers or something must be looked at again.
    pub(crate) async fn wait(&self, now_ms: Millis) {
        let due_ms = self.wishes.iter().map(|wish| match wish.pending.state.get() {
            WishState::Queued => wish.asked_ms + REVIEW_MS,
            _ => wish.asked_ms + OWNER_PATIENCE_MS,
        });
        let due_ms = due_ms.min().unwrap_or(now_ms + NO_REPLICA_PAUSE_MS);
        let wait_ms = due_ms.min(self.ask.give_up_at_ms).saturating_sub(now_ms).max(1);
        // Without an answer in time the search looks at its wishes again.
        let _ = timeout(Duration::from_millis(wait_ms), self.changed.notified()).await;
    }

    /// Takes the first granted slot and gives the other wishes back.
    pub(crate) fn take(&mut self) -> Option<SlotLease> {
        let granted =
            self.wishes.iter().position(|wish| wish.pending.state.get() == WishState::Granted)?;
        let mut wish = self.wishes.swap_remove(granted);
        self.wishes.clear();
        wish.is_kept = true;
        Some(self.slots.hold(self.ask, wish.replica.clone(), wish.ticket, true))
    }

    fn max_wishes(&self) -> usize {
        match self.ask.class {
            Class::Online => MAX_WISHES,
            Class::Batch => 1,
        }
    }

    /// Returns whether another owner should be asked: none was, or those that were have no slot.
    fn wants_more(&self) -> bool {
        let is_queued = |wish: &Wish| wish.pending.state.get() == WishState::Queued;
        if self.asked >= MAX_ASKED || !self.wishes.iter().all(is_queued) {
            return false;
        }
        let most = self.max_wishes();
        let may_queue = self.refused.len() < most && self.wishes.len() < most;
        may_queue || self.has_better()
    }

    fn has_better(&self) -> bool {
        self.slots.any_has_room(self.ask, |name| self.is_asked(name))
    }

    fn is_asked(&self, name: &ReplicaName) -> bool {
        self.wishes.iter().any(|wish| wish.replica.name == *name) || self.refused.contains(name)
    }

    fn drop_unusable(&mut self) {
        let (slots, refused) = (self.slots, &mut self.refused);
        self.wishes.retain(|wish| {
            let state = wish.pending.state.get();
            if state == WishState::Refused {
                refused.push(wish.replica.name.clone());
            }
            !matches!(state, WishState::NotOwner | WishState::Refused)
                && slots.is_usable(&wish.replica.name)
        });
    }

    /// Repeats wishes that were not answered, or whose grant may have been lost.
    fn repeat(&mut self, now_ms: Millis) {
        let mut mute = Vec::new();
        for wish in &mut self.wishes {
            let patience_ms = match wish.pending.state.get() {
                WishState::Queued => REVIEW_MS,
                _ => OWNER_PATIENCE_MS,
            };
            if now_ms < wish.asked_ms + patience_ms {
                continue;
            }
            if wish.pending.state.get() == WishState::Asked {
                wish.unanswered += 1;
                if wish.unanswered >= MUTE_AFTER_ASKS {
                    mute.push(wish.owner.clone());
                    continue;
                }
            }
            wish.asked_ms = now_ms;
            self.slots.ask_owner(&wish.owner, self.ask, &wish.replica.name, wish.ticket, now_ms);
        }
        for owner in mute {
            self.slots.mute(&owner);
            self.wishes.retain(|wish| wish.owner != owner);
        }
    }

    /// Goes on without a grant: online requests are sent, items wait for another replica.
    fn without_owner(&mut self, replica: ReplicaRecord, ticket: Ticket) -> Option<SlotLease> {
        if self.ask.class == Class::Batch {
            return None;
        }
        self.slots.count_without_owner();
        self.wishes.clear();
        Some(self.slots.hold(self.ask, replica, ticket, false))
    }
}
