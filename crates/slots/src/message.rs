//! Messages between the holders of slots and the owners of replicas.

use serde::Deserialize;
use serde::Serialize;
use wire::Millis;
use wire::ReplicaName;

/// One wish for a slot; unique among all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// What a slot is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Class {
    /// A client waits for the answer.
    Online,
    /// An item of a job; it gives way to online requests.
    Batch,
}

/// How urgent a wish is, in times that are left at the moment of its sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Urgency {
    /// How long the request can wait and still be on time.
    pub on_time_left_ms: Millis,
    /// What orders wishes that can be on time: the least first.
    pub order_left_ms: Millis,
}

/// A message to the owner of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToOwner {
    /// Asks for a slot.
    Ask {
        /// The replica.
        replica: ReplicaName,
        /// The wish.
        ticket: Ticket,
        /// What it is for.
        class: Class,
        /// How urgent it is.
        urgency: Urgency,
        /// How long the wish stands.
        give_up_left_ms: Millis,
    },
    /// Gives a slot, or the place in the queue, back.
    Release {
        /// The replica.
        replica: ReplicaName,
        /// The wish.
        ticket: Ticket,
    },
    /// Says that a replica does not answer the sender.
    Suspect {
        /// The replica.
        replica: ReplicaName,
    },
    /// Names every run that the sender has at one replica.
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
    /// The wish.
    pub ticket: Ticket,
    /// What it is for.
    pub class: Class,
    /// How urgent it is.
    pub urgency: Urgency,
}

/// A message to a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToHolder {
    /// The slot is the holder's until it gives it back.
    Granted {
        /// The wish.
        ticket: Ticket,
        /// The replica's load.
        load: Load,
    },
    /// The wish waits in the owner's queue.
    Queued {
        /// The wish.
        ticket: Ticket,
        /// The replica's load.
        load: Load,
    },
    /// The sender does not own the replica.
    NotOwner {
        /// The wish.
        ticket: Ticket,
    },
    /// The slot is needed for an online request; the holder interrupts its run.
    Revoked {
        /// The wish.
        ticket: Ticket,
    },
    /// The wish is not taken, since too many wait before it.
    Refused {
        /// The wish.
        ticket: Ticket,
        /// The replica's load.
        load: Load,
    },
}

/// How full a replica is, as its owner counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The requests that it runs at once.
    pub slots: u16,
    /// Granted to online requests.
    pub online: u16,
    /// Granted to items.
    pub batch: u16,
    /// Online requests that wait.
    pub online_waiting: u16,
    /// Items that wait.
    pub batch_waiting: u16,
    /// Whether the replica is thought not to answer; its slots are not granted meanwhile.
    pub is_suspect: bool,
}

/// The load of one replica, as heartbeats carry it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The replica.
    pub replica: ReplicaName,
    /// Its load.
    pub load: Load,
}
