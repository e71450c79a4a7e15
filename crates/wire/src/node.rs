//! The settings of a daemon on a platform that starts it and tells it who it is.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::DaemonName;
use crate::DataCentre;
use crate::Millis;

/// What a daemon is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duties {
    /// Accepts requests of clients.
    pub ingress: bool,
    /// Tells clients where to connect.
    pub directory: bool,
    /// Runs on a host whose disk the platform may ask to be emptied.
    pub storage: bool,
}

/// Where a daemon listens; an address is absent where the daemon has no such duty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listeners {
    /// Requests of clients.
    pub ingress: Option<SocketAddr>,
    /// The platform's readiness check.
    pub readiness: Option<SocketAddr>,
    /// Calls of other daemons.
    pub control: Option<SocketAddr>,
    /// Clients that ask where to connect.
    pub directory: Option<SocketAddr>,
}

/// Times and amounts that the deployment promises or asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// How long after a configuration's acceptance it must be in force.
    pub config_ms: Millis,
    /// How long a draining backend server still takes requests.
    pub drain_ms: Millis,
    /// The time between SIGTERM and SIGKILL.
    pub stop_grace_ms: Millis,
    /// How long clients may keep an answer of the directory, at most.
    pub max_directory_ttl_ms: Millis,
    /// How long after its acknowledgement an ended job's items may still be sent.
    pub cancel_ms: Millis,
    /// How long results may take until every daemon shows them.
    pub settle_ms: Millis,
    /// How long a job's results stay readable after it was submitted.
    pub job_status_ms: Millis,
    /// How often a backend server renews its record.
    pub replica_beat_ms: Millis,
}

/// The platform's object store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// The writing calls a second that all daemons together may make.
    pub writes_per_s: f64,
    /// The reading calls a second that all daemons together may make.
    pub reads_per_s: f64,
    /// The largest object, in bytes.
    pub max_object_bytes: usize,
}

/// Everything that the platform tells a daemon at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The daemon's name.
    pub daemon: DaemonName,
    /// The host's own address.
    pub ip: IpAddr,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// The group of data centres that the host belongs to.
    pub region: DataCentre,
    /// What the daemon does.
    pub duties: Duties,
    /// Where it listens.
    pub listeners: Listeners,
    /// The port for datagrams between daemons; the same on all hosts.
    pub peer_port: u16,
    /// Control addresses of a few daemons; they may be old.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// The folder for data, on hosts with a disk.
    pub data_dir: Option<PathBuf>,
    /// The share of a processor core that the host gives.
    pub cpu_share: f64,
    /// The memory that a process may use, in MB.
    pub memory_mb: u64,
    /// The file descriptors that a process may use.
    pub max_descriptors: u64,
    /// The deployment's bounds.
    pub bounds: Bounds,
    /// The platform's store.
    pub store: StoreSettings,
}
