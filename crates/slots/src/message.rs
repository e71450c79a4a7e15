//! Messages between slot holders and replica owners.

use serde::Deserialize;
use serde::Serialize;
use wire::Millis;
use wire::ReplicaName;

/// Identifies one slot request; unique among all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// The class of a request, which decides its precedence at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Class {
    /// A request whose client waits for the answer.
    Online,
    /// An item of a job; its slot can be revoked for an online request.
    Batch,
}

/// The urgency of a slot request, as the times left when the message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Urgency {
    /// How long the request can wait and still be on time.
    pub on_time_left_ms: Millis,
    /// The sort key of requests that can still be on time; the lowest gets a slot first.
    pub order_left_ms: Millis,
}

/// A message to the owner of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToOwner {
    /// Requests a slot.
    Ask {
        /// The replica.
        replica: ReplicaName,
        /// The ticket of the slot request.
        ticket: Ticket,
        /// The class of the request.
        class: Class,
        /// The urgency of the request.
        urgency: Urgency,
        /// How long the request may stay queued.
        give_up_left_ms: Millis,
    },
    /// Releases a slot, or the place in the queue.
    Release {
        /// The replica.
        replica: ReplicaName,
        /// The ticket of the slot request.
        ticket: Ticket,
    },
    /// Reports that a replica does not answer the sender.
    Suspect {
        /// The replica.
        replica: ReplicaName,
    },
    /// Reports all runs that the sender has at one replica.
    Held {
        /// The replica.
        replica: ReplicaName,
        /// The runs.
        runs: Vec<Run>,
    },
}

/// One run that a holder has at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The ticket of the slot request.
    pub ticket: Ticket,
    /// The class of the request.
    pub class: Class,
    /// The urgency of the request.
    pub urgency: Urgency,
}

/// A message to a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToHolder {
    /// The slot belongs to the holder until the holder releases it.
    Granted {
        /// The ticket of the slot request.
        ticket: Ticket,
        /// The replica's load.
        load: Load,
    },
    /// The request waits in the owner's queue.
    Queued {
        /// The ticket of the slot request.
        ticket: Ticket,
        /// The replica's load.
        load: Load,
    },
    /// The sender does not own the replica.
    NotOwner {
        /// The ticket of the slot request.
        ticket: Ticket,
    },
    /// The slot is needed for an online request; the holder must interrupt its run.
    Revoked {
        /// The ticket of the slot request.
        ticket: Ticket,
    },
    /// The request is not queued, since too many requests are ahead of it.
    Refused {
        /// The ticket of the slot request.
        ticket: Ticket,
        /// The replica's load.
        load: Load,
    },
}

/// The load of a replica, as counted by its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests that the replica runs concurrently.
    pub slots: u16,
    /// Slots taken by online requests or orphaned runs, neither of which can be revoked.
    pub online: u16,
    /// Slots granted to batch items.
    pub batch: u16,
    /// Queued online requests.
    pub online_waiting: u16,
    /// Queued batch items.
    pub batch_waiting: u16,
    /// Whether the replica is suspected of not answering; no slots are granted meanwhile.
    pub is_suspect: bool,
}

/// The load of one replica, as carried in heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The replica.
    pub replica: ReplicaName,
    /// The replica's load.
    pub load: Load,
}
