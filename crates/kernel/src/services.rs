//! The shared services of a daemon, looked up by type.

use std::any::Any;
use std::any::TypeId;
use std::any::type_name;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use tokio_util::sync::CancellationToken;

use crate::Clock;
use crate::Counters;
use crate::KernelError;
use crate::Settings;

type Registry = HashMap<TypeId, Arc<dyn Any + Send + Sync>>;

/// The state that plug-ins share: settings, clock, counters, life-cycle tokens and services.
pub struct Services {
    /// The validated settings.
    pub settings: Settings,
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's counters.
    pub counters: Counters,
    /// Cancelled when a graceful shutdown begins.
    pub leaving: CancellationToken,
    /// Cancelled when every task must end.
    pub stopped: CancellationToken,
    registry: RwLock<Registry>,
}

impl Services {
    /// Creates the services of a daemon that has not started.
    pub fn new(settings: Settings, counters: Counters) -> Self {
        Self {
            settings,
            clock: Clock::start(),
            counters,
            leaving: CancellationToken::new(),
            stopped: CancellationToken::new(),
            registry: RwLock::new(Registry::new()),
        }
    }

    /// Registers a service for the plug-ins that start later.
    pub fn provide<T: Any + Send + Sync>(&self, service: Arc<T>) {
        let mut registry = self.registry.write().unwrap_or_else(PoisonError::into_inner);
        registry.insert(TypeId::of::<T>(), service);
    }

    /// Returns a service, or an error if no earlier plug-in provided it.
    pub fn require<T: Any + Send + Sync>(&self) -> Result<Arc<T>, KernelError> {
        let registry = self.registry.read().unwrap_or_else(PoisonError::into_inner);
        registry
            .get(&TypeId::of::<T>())
            .cloned()
            .and_then(|service| service.downcast().ok())
            .ok_or(KernelError::MissingService { service: type_name::<T>() })
    }
}
