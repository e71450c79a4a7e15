//! The plug-in that keeps the latest accepted bundle in force.

use std::sync::Arc;

use fleet::Links;
use fleet::MembershipService;
use kernel::KernelError;
use kernel::Plugin;
use kernel::Services;
use kernel::inventory;
use kernel::plugin::drain_nothing;
use store::Store;

use crate::manager::BundleManager;
use crate::sign::TrustedOperators;

/// The plug-in's name.
pub const NAME: &str = "bundle";

inventory::submit! {
    Plugin {
        name: NAME,
        after: &[store::plugin::NAME, fleet::plugin::NAME],
        start: |services| Box::pin(start(services)),
        drain: drain_nothing,
    }
}

async fn start(services: Arc<Services>) -> Result<(), KernelError> {
    let settings = &services.settings;
    let operators =
        settings.operators.iter().map(|operator| (&*operator.name, &*operator.public_key));
    let trusted_operators =
        TrustedOperators::new(operators, settings.signatures_needed as usize)
            .map_err(|error| KernelError::Plugin { plugin: NAME, message: error.to_string() })?;
    let manager = BundleManager::new(
        Arc::clone(&services),
        services.require::<Store>()?,
        services.require::<Links>()?,
        services.require::<MembershipService>()?,
        trusted_operators,
    );
    manager.spawn();
    services.provide(manager);
    Ok(())
}
