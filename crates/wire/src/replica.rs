//! Backend servers as the platform lists them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::DataCentre;
use crate::Millis;
use crate::ReplicaName;
use crate::ServiceName;

/// One incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// The incarnation's name.
    pub name: ReplicaName,
    /// The service that it runs.
    pub service: ServiceName,
    /// The address on which it listens; others may reuse the address after its end.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The maximum number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to stop and must get no new requests.
    pub is_draining: bool,
    /// The time for which it is still slow after its start.
    pub cold_left_ms: Millis,
    /// When it started, in milliseconds since the Unix epoch; it may restart under the same name.
    pub started_unix_ms: Millis,
}

/// The load that a replica reports; it is some hundred milliseconds old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaState {
    /// The number of requests that it runs.
    pub running: u32,
    /// The number of requests that wait for one of its slots.
    pub waiting: u32,
}

impl ReplicaState {
    /// Returns the number of requests that it has not finished.
    pub fn in_progress(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
