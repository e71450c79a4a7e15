//! The configuration in force, whose version never decreases while a process runs.

use std::sync::Arc;

use wire::Configuration;
use wire::Millis;

/// The newest configuration that this daemon has received.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationInForce {
    current: Option<Arc<Configuration>>,
    since_ms: Millis,
    /// The newest version that a daemon has reported to have in force.
    newest_reported: u64,
}

impl ConfigurationInForce {
    /// Replaces the current configuration if the given one is newer; returns whether it did.
    pub fn update_if_newer(&mut self, now_ms: Millis, configuration: Arc<Configuration>) -> bool {
        if configuration.version <= self.version() {
            return false;
        }
        self.current = Some(configuration);
        self.since_ms = now_ms;
        true
    }

    /// Returns the current configuration, or `None` before the first one was received.
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// Returns the version of the current configuration, or 0 before the first one was received.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// Records the version that another daemon has in force.
    pub fn record_reported(&mut self, version: u64) {
        self.newest_reported = self.newest_reported.max(version);
    }

    /// Returns whether another daemon has a newer configuration in force, which may allow what the
    /// current one does not.
    pub fn is_outdated(&self) -> bool {
        self.newest_reported > self.version()
    }

    /// Returns when the current configuration came into force.
    pub fn since_ms(&self) -> Millis {
        self.since_ms
    }
}
