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
    /// Signals that the slot is needed for an online request.
    pub revocation: Rc<Revocation>,
    pub(crate) ticket: Ticket,
    pub(crate) slots: Rc<Slots>,
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.slots.release(&self.replica.name, self.ticket);
    }
}
