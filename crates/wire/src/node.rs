//! The settings of a daemon whose identity and role are assigned by the platform that starts it.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::DaemonName;
use crate::DataCentre;
use crate::Millis;

/// The roles that the platform assigns to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonRoles {
    /// Whether the daemon accepts requests of clients.
    pub ingress: bool,
    /// Whether the daemon serves the directory, which tells clients where to connect.
    pub directory: bool,
    /// Whether the daemon runs on a host whose disk the platform may ask it to empty.
    pub storage: bool,
}

/// The addresses on which a daemon listens; one is absent if the daemon lacks that role.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listeners {
    /// The address for requests of clients.
    pub ingress: Option<SocketAddr>,
    /// The address for the platform's readiness check.
    pub readiness: Option<SocketAddr>,
    /// The address for calls of other daemons.
    pub control: Option<SocketAddr>,
    /// The address of the directory, for clients that ask where to connect.
    pub directory: Option<SocketAddr>,
}

/// Time limits that the deployment guarantees or requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// The maximum time from the acceptance of a configuration until it is in force.
    pub config_ms: Millis,
    /// How long a draining backend server still accepts requests.
    pub drain_ms: Millis,
    /// The time between SIGTERM and SIGKILL.
    pub stop_grace_ms: Millis,
    /// The maximum time for which clients may cache an answer of the directory.
    pub max_directory_ttl_ms: Millis,
    /// How long items of an ended job may still be sent after the end was acknowledged.
    pub cancel_ms: Millis,
    /// The maximum time until every daemon serves a job's results.
    pub result_visibility_ms: Millis,
    /// How long a job's results stay readable after it was submitted.
    pub job_status_ms: Millis,
    /// The interval at which a backend server renews its record.
    pub replica_renewal_ms: Millis,
}

/// By how much the requests of an organisation may exceed its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The length of the sliding window in which requests are counted.
    pub window_ms: Millis,
    /// The part of the quota by which it may be exceeded in a window.
    pub overage: f64,
    /// The requests by which the quota may be exceeded in a window in addition.
    pub slack: f64,
}

/// The platform's object store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreSettings {
    /// The address of the store.
    pub address: SocketAddr,
    /// The write calls per second that all daemons together may make.
    pub writes_per_s: f64,
    /// The read calls per second that all daemons together may make.
    pub reads_per_s: f64,
    /// The maximum size of an object, in bytes.
    pub max_object_bytes: usize,
}

/// The settings that the platform passes to a daemon when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The daemon's name.
    pub daemon: DaemonName,
    /// The host's own IP address.
    pub ip: IpAddr,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// The group of data centres that the host belongs to.
    pub region: DataCentre,
    /// The roles of the daemon.
    pub roles: DaemonRoles,
    /// The addresses on which the daemon listens.
    pub listeners: Listeners,
    /// The port for datagrams between daemons; the same on all hosts.
    pub peer_port: u16,
    /// The control addresses of a few daemons; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// The folder for data, on hosts with a disk.
    pub data_dir: Option<PathBuf>,
    /// The share of a processor core that is available to the daemon.
    pub cpu_share: f64,
    /// The memory that a process may use, in MB.
    pub memory_mb: u64,
    /// The file descriptors that a process may use.
    pub max_descriptors: u64,
    /// The time limits of the deployment.
    pub time_limits: TimeLimits,
    /// The bounds on the excess over the quotas of organisations.
    pub quota: QuotaBounds,
    /// Whether replicas may fail or slow down while they report good health.
    pub replicas_may_degrade: bool,
    /// Whether requests that cannot be on time are refused when they arrive.
    pub refuses_early: bool,
    /// The platform's store.
    pub store: StoreSettings,
}
