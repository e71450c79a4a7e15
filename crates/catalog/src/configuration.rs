//! The configuration in force; its version never falls in one life of a process.

use std::sync::Arc;

use wire::Configuration;
use wire::Millis;

/// The newest configuration that was heard of.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    current: Option<Arc<Configuration>>,
    since_ms: Millis,
}

impl InForce {
    /// Takes a configuration if it is newer than the current one; returns whether it was taken.
    pub fn offer(&mut self, now_ms: Millis, offered: Arc<Configuration>) -> bool {
        if offered.version <= self.version() {
            return false;
        }
        self.current = Some(offered);
        self.since_ms = now_ms;
        true
    }

    /// Returns the configuration, or `None` before the first one was heard of.
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// Returns the version in force, 0 before the first.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// Returns when the current configuration was taken.
    pub fn since_ms(&self) -> Millis {
        self.since_ms
    }
}
