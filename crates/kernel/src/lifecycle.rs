//! The life cycle of a daemon as a typestate: starting, serving, drained.

use std::sync::Arc;

use log::info;

use crate::KernelError;
use crate::Plugin;
use crate::Services;
use crate::plugin;

/// A daemon that is configured but not started.
pub struct Starting;

/// A daemon that serves requests.
pub struct Serving {
    plugins: Vec<&'static Plugin>,
}

/// A daemon that has completed its work and accepts no more.
pub struct Drained;

/// A daemon in one state of its life cycle.
pub struct Daemon<State> {
    /// The daemon's shared services.
    pub services: Arc<Services>,
    state: State,
}

impl Daemon<Starting> {
    /// Creates a daemon that has not started.
    pub fn new(services: Services) -> Self {
        Self { services: Arc::new(services), state: Starting }
    }

    /// Starts the plug-ins in order; if one fails, cancels all tasks started so far.
    pub async fn start(self) -> Result<Daemon<Serving>, KernelError> {
        let plugins = plugin::in_start_order()?;
        for plugin in &plugins {
            if let Err(error) = (plugin.start)(Arc::clone(&self.services)).await {
                self.services.stopped.cancel();
                return Err(error);
            }
        }
        info!("event=serving daemon={}", self.services.settings.daemon);
        Ok(Daemon { services: self.services, state: Serving { plugins } })
    }
}

impl Daemon<Serving> {
    /// Announces the stop and drains the plug-ins in reverse start order.
    pub async fn drain(self) -> Daemon<Drained> {
        info!("event=leaving daemon={}", self.services.settings.daemon);
        self.services.leaving.cancel();
        for plugin in self.state.plugins.iter().rev() {
            (plugin.drain)(Arc::clone(&self.services)).await;
        }
        Daemon { services: self.services, state: Drained }
    }

    /// Cancels every task at once, which simulates the loss of the host.
    pub fn kill(self) {
        self.services.stopped.cancel();
    }
}

impl Daemon<Drained> {
    /// Cancels every task.
    pub fn stop(self) {
        self.services.stopped.cancel();
        let Drained = self.state;
        info!("event=stopped daemon={}", self.services.settings.daemon);
    }
}
