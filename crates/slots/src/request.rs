//! The parameters of a slot request, and the reasons why it can fail.

use wire::Millis;
use wire::ReplicaName;
use wire::ServiceName;

use crate::fair_share::Share;
use crate::message::Class;

/// A request for a slot at any replica of a service.
#[derive(Clone, Debug)]
pub struct SlotRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The class of the request.
    pub class: Class,
    /// The latest time at which the request can get a slot and still be on time.
    pub on_time_at_ms: Millis,
    /// The sort key of requests that can still be on time; the lowest gets a slot first.
    pub order_at_ms: Millis,
    /// When the request stops waiting for a slot.
    pub give_up_at_ms: Millis,
    /// Whether the request waits for another replica when all those of the service leave; otherwise
    /// it is refused at once.
    pub waits_for_replica: bool,
    /// Replicas that were tried before; one is chosen again only if no other replica is left.
    pub excluded: &'a [ReplicaName],
    /// The organisation of the request or item; absent if the configuration has no organisations.
    pub share: Option<Share>,
}

/// Why no slot was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlot {
    /// The service has no replica that accepts requests.
    NoReplica,
    /// No slot became free in time, or the owners refused to queue the request.
    Full,
    /// The owners refused to queue the request, since it would be late.
    Late {
        /// How long until a slot is expected for it.
        slot_in_ms: Millis,
    },
}
