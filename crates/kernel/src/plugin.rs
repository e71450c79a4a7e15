//! Plug-ins that register themselves and are started in dependency order.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::KernelError;
use crate::Services;

/// A part of the daemon, registered with `inventory::submit!`.
pub struct Plugin {
    /// The plug-in's name.
    pub name: &'static str,
    /// The plug-ins that must have started before.
    pub after: &'static [&'static str],
    /// Starts the plug-in.
    pub start: fn(Arc<Services>) -> BoxFuture<'static, Result<(), KernelError>>,
    /// Ends the plug-in's work without cutting any of it off.
    pub drain: fn(Arc<Services>) -> BoxFuture<'static, ()>,
}

inventory::collect!(Plugin);

/// A `drain` for plug-ins that have nothing to finish.
pub fn nothing_to_drain(_services: Arc<Services>) -> BoxFuture<'static, ()> {
    Box::pin(std::future::ready(()))
}

/// Returns all linked plug-ins, each after those that it names.
pub fn in_start_order() -> Result<Vec<&'static Plugin>, KernelError> {
    let mut waiting: Vec<&'static Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    waiting.sort_by_key(|plugin| plugin.name);
    let mut ordered: Vec<&'static Plugin> = Vec::with_capacity(waiting.len());
    while !waiting.is_empty() {
        let is_ready = |plugin: &&'static Plugin| {
            plugin.after.iter().all(|name| ordered.iter().any(|before| before.name == *name))
        };
        let Some(position) = waiting.iter().position(is_ready) else {
            return Err(KernelError::PluginOrder { plugin: waiting[0].name });
        };
        ordered.push(waiting.remove(position));
    }
    Ok(ordered)
}
