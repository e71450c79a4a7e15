//! Slot leases, and the signal that revokes them.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;

use crate::client::Slots;
use crate::message::Class;
use crate::message::Load;
use crate::message::Ticket;

/// A run that holds a slot.
pub(crate) struct HeldRun {
    pub(crate) replica: ReplicaName,
    pub(crate) class: Class,
    pub(crate) on_time_at_ms: Millis,
    pub(crate) order_at_ms: Millis,
    pub(crate) revocation: Rc<Revocation>,
}

/// Signals to a run that its slot was revoked.
#[derive(Default)]
pub struct Revocation {
    is_revoked: Cell<bool>,
    changed: Notify,
}

impl Revocation {
    /// Waits until the slot is revoked.
    pub async fn revoked(&self) {
        while !self.is_revoked.get() {
            self.changed.notified().await;
        }
    }

    pub(crate) fn revoke(&self) {
        self.is_revoked.set(true);
        self.changed.notify_waiters();
    }
}

/// A slot that this daemon holds until the lease is dropped.
pub struct SlotLease {
    /// The replica.
    pub replica: ReplicaRecord,
    /// Whether the replica's owner granted the slot.
    pub is_granted: bool,
    /// The replica's load when the slot was taken, with the age of that load in milliseconds.
    pub load: Option<(Load, Millis)>,
    /// When the slot was taken.
    pub acquired_at_ms: Millis,
    /// Signals that the slot is needed for an online request.
    pub revocation: Rc<Revocation>,
    pub(crate) ticket: Ticket,
    pub(crate) slots: Rc<Slots>,
}

impl SlotLease {
    /// Returns whether the replica is still in use and has not announced that it leaves.
    pub fn is_usable(&self) -> bool {
        self.slots.is_usable(&self.replica)
    }

    /// Records that an answer to a request with this slot announced that its sender leaves.
    ///
    /// A misdirected request was answered by another incarnation than the addressed one.
    pub fn record_leaving(&self, is_misdirected: bool) {
        self.slots.record_leaving_answer(&self.replica, is_misdirected);
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.slots.release(&self.replica.name, self.ticket);
    }
}
