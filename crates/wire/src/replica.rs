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
    /// Where it listens; the address is used again by others after its end.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to stop and must get nothing new.
    pub is_draining: bool,
    /// How much longer it stays slow after its start.
    pub cold_left_ms: Millis,
    /// When it started, in Unix milliseconds; it may start again under its name.
    pub started_unix_ms: Millis,
}

/// How busy a replica says it is, some hundred milliseconds ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaState {
    /// The requests that it runs.
    pub running: u32,
    /// The requests that wait for one of its slots.
    pub waiting: u32,
}

impl ReplicaState {
    /// Returns the requests that it has and not ended.
    pub fn in_progress(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
