//! Messages between daemons.

use std::net::IpAddr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wire::DaemonName;
use wire::DataCentre;

/// Which part of the daemon a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// Liveness.
    Heartbeat,
    /// Other daemons that the sender knows.
    Members,
    /// Slots of replicas.
    Slots,
    /// Jobs.
    Jobs,
    /// Changes of the list of replicas.
    Replicas,
    /// A daemon that is lost.
    Lost,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: DaemonName,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// What the payload is.
    pub topic: Topic,
    /// The message, encoded by its part of the daemon.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}

/// Whether a daemon takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// The daemon knows no configuration yet.
    Starting,
    /// The daemon serves.
    Ready,
    /// The daemon is about to stop.
    Leaving,
}

/// What does not change in one life of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The daemon's name.
    pub name: DaemonName,
    /// A number that rises with every start.
    pub incarnation: u64,
    /// Its address.
    pub ip: IpAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where clients connect, if it serves them.
    pub ingress: Option<SocketAddr>,
    /// Where daemons call it, if it takes calls.
    pub control: Option<SocketAddr>,
    /// Thousandths of a processor core that it has.
    pub cpu_millis: u32,
}

/// What a daemon repeats to every other one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who it is.
    pub identity: Identity,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Whether the store answers it.
    pub reaches_store: bool,
    /// The version of the configuration that it has in force.
    pub configuration_version: u64,
    /// The revision of its list of replicas.
    pub replicas_revision: u64,
    /// What other parts of the daemon add.
    pub riders: Vec<Rider>,
}

/// A daemon that those of its data centre count as lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostDaemon {
    /// The daemon.
    pub name: DaemonName,
    /// Its incarnation.
    pub incarnation: u64,
}

/// A part of a heartbeat that another part of the daemon made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rider {
    /// Which part it is for.
    pub topic: Topic,
    /// The message.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}
