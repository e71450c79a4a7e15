//! The plug-in that provides the object store and the host list of the platform.

use std::sync::Arc;
use std::time::Duration;

use kernel::KernelError;
use kernel::Plugin;
use kernel::Services;
use kernel::http_client::HttpClient;
use kernel::inventory;
use kernel::plugin::drain_nothing;

use crate::hosts::HostList;
use crate::http_store::HttpStore;
use crate::store::Store;

/// The plug-in's name.
pub const NAME: &str = "platform";

inventory::submit! {
    Plugin {
        name: NAME,
        after: &[],
        start: |services| Box::pin(start(services)),
        drain: drain_nothing,
    }
}

async fn start(services: Arc<Services>) -> Result<(), KernelError> {
    let settings = &services.settings.platform;
    let client = Arc::new(HttpClient::new(None)?);
    let timeout = Duration::from_millis(settings.call_timeout_ms);
    let http_store = Arc::new(HttpStore::new(Arc::clone(&client), &settings.url, timeout));
    let store = Store::new(
        http_store,
        services.clock,
        services.counters.clone(),
        settings.fleet_writes_per_s,
        settings.fleet_reads_per_s,
    );
    let hosts = HostList::start(
        client,
        &settings.url,
        settings.host_list_every_ms,
        services.stopped.clone(),
    );
    services.provide(Arc::new(store));
    services.provide(Arc::new(hosts));
    Ok(())
}
