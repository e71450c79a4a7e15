//! Plug-ins; they register themselves and start in the order of their dependencies.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::KernelError;
use crate::Services;

/// A component of the daemon, registered with `inventory::submit!`.
pub struct Plugin {
    /// The plug-in's name.
    pub name: &'static str,
    /// The plug-ins that must start before this one.
    pub after: &'static [&'static str],
    /// Starts the plug-in.
    pub start: fn(Arc<Services>) -> BoxFuture<'static, Result<(), KernelError>>,
    /// Completes the plug-in's work without aborting any of it.
    pub drain: fn(Arc<Services>) -> BoxFuture<'static, ()>,
}

inventory::collect!(Plugin);

/// A `drain` that returns at once, for plug-ins without work to complete.
pub fn drain_nothing(_services: Arc<Services>) -> BoxFuture<'static, ()> {
    Box::pin(std::future::ready(()))
}

/// Returns all linked plug-ins, each after its dependencies.
pub fn in_start_order() -> Result<Vec<&'static Plugin>, KernelError> {
    let mut waiting: Vec<&'static Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    waiting.sort_by_key(|plugin| plugin.name);
    let mut sorted: Vec<&'static Plugin> = Vec::with_capacity(waiting.len());
    while !waiting.is_empty() {
        let is_ready = |plugin: &&'static Plugin| {
            plugin.after.iter().all(|name| sorted.iter().any(|started| started.name == *name))
        };
        let Some(position) = waiting.iter().position(is_ready) else {
            return Err(KernelError::PluginOrder { plugin: waiting[0].name });
        };
        sorted.push(waiting.remove(position));
    }
    Ok(sorted)
}
