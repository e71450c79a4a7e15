//! What a request asks of the slots, and why it may get none.

use wire::Millis;
use wire::ReplicaName;
use wire::ServiceName;

use crate::message::Class;

/// A wish for a slot.
#[derive(Clone, Debug)]
pub struct SlotAsk<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// What for.
    pub class: Class,
    /// Until when the request can wait and still be on time.
    pub on_time_at_ms: Millis,
    /// What orders requests that can be on time.
    pub order_at_ms: Millis,
    /// Until when it waits.
    pub give_up_at_ms: Millis,
    /// Replicas that were tried already.
    pub excluded: &'a [ReplicaName],
}

/// Why there is no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlot {
    /// The service has no replica that takes work.
    NoReplica,
    /// Every slot was taken for as long as the request could wait.
    Full,
}
