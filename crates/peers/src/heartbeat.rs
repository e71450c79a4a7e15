//! The messages that daemons send each other as datagrams.

use std::net::IpAddr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wire::DaemonName;
use wire::DataCentre;

/// The subject of a message, which determines the component that handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The sender's heartbeat.
    Heartbeat,
    /// The daemons that the sender knows.
    Members,
    /// Slots of replicas.
    Slots,
    /// Jobs and their homes.
    Jobs,
    /// Changes to the list of replicas.
    Replicas,
    /// A report that a daemon is lost.
    Lost,
    /// Replicas that have announced that they leave.
    Leaving,
    /// The quarantine of prompt parts. Daemons of builds before it drop such messages.
    Quarantine,
    /// Request quotas of organisations. Daemons of builds before it drop such messages, so that it is
    /// never attached to a heartbeat, which they would drop with it.
    Quotas,
}

/// The envelope of every datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The name of the sender.
    pub from: DaemonName,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The topic, which determines the type of the payload.
    pub topic: Topic,
    /// The message, encoded by the component that sends it.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}

/// Whether a daemon accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// The daemon has no configuration yet.
    Starting,
    /// The daemon serves requests.
    Ready,
    /// The daemon is shutting down.
    Leaving,
}

/// The properties of a daemon that stay the same from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The daemon's name.
    pub name: DaemonName,
    /// The incarnation, normally higher with every start: the Unix time of the start in
    /// milliseconds.
    pub incarnation: u64,
    /// The address for datagrams.
    pub ip: IpAddr,
    /// The data centre of the daemon.
    pub data_centre: DataCentre,
    /// The address for clients, if the daemon serves them.
    pub ingress: Option<SocketAddr>,
    /// The address for control calls of other daemons, if the daemon accepts them.
    pub control: Option<SocketAddr>,
    /// The share of a processor core that the daemon has, in thousandths.
    pub cpu_millis: u32,
}

/// The state that a daemon sends periodically to every other one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The identity of the sender.
    pub identity: Identity,
    /// Whether the sender accepts new work.
    pub readiness: Readiness,
    /// Whether the sender can reach the store.
    pub reaches_store: bool,
    /// The version of the configuration in force at the sender.
    pub configuration_version: u64,
    /// The revision of the sender's list of replicas.
    pub replicas_revision: u64,
    /// The messages that other components attach.
    #[serde(rename = "riders")]
    pub attachments: Vec<Attachment>,
}

/// A report, sent by daemons of the same data centre, that a daemon is lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostDaemon {
    /// The name of the lost daemon.
    pub name: DaemonName,
    /// The incarnation that is lost.
    pub incarnation: u64,
}

/// A message of another component that is sent as part of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attachment {
    /// The subject, which determines the type of the payload.
    pub topic: Topic,
    /// The message, encoded by the component that sends it.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}
