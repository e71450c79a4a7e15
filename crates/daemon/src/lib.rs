//! The daemon: links all plug-ins and starts and stops them together.

pub mod options;

use std::sync::Arc;

use kernel::Counters;
use kernel::Daemon;
use kernel::KernelError;
use kernel::Services;
use kernel::Settings;
use kernel::lifecycle::Serving;

// Plug-ins register themselves; these imports link their crates in.
use api as _;
use batch as _;
use bundle as _;
use engine as _;
use fleet as _;
use store as _;

/// Starts a daemon on the current runtime.
pub async fn start(settings: Settings) -> Result<Daemon<Serving>, KernelError> {
    let counters = Counters::new(settings.metrics.statsd).map_err(|source| {
        let address = settings.metrics.statsd.map(|a| a.to_string()).unwrap_or_default();
        KernelError::Bind { address, source }
    })?;
    Daemon::new(Services::new(settings, counters)).start().await
}

/// Returns a service of a running daemon, for tests and experiments.
pub fn service<T: std::any::Any + Send + Sync>(
    daemon: &Daemon<Serving>,
) -> Result<Arc<T>, KernelError> {
    daemon.services.require::<T>()
}
