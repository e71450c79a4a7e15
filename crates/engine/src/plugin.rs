//! The plug-in that connects the daemon to backend servers.

use std::sync::Arc;

use bundle::BundleManager;
use fleet::Links;
use fleet::MembershipService;
use futures::future::BoxFuture;
use kernel::KernelError;
use kernel::Plugin;
use kernel::Services;
use kernel::http_client::HttpClient;
use kernel::inventory;
use store::Store;
use store::hosts::HostList;

use crate::backend::Backend;
use crate::http_backend::HttpBackend;
use crate::lanes::Lanes;
use crate::online::OnlineDispatcher;
use crate::reconciler::EngineReconciler;
use crate::replicas::Replicas;

/// The name of the plug-in.
pub const NAME: &str = "engine";

inventory::submit! {
    Plugin {
        name: NAME,
        after: &[store::plugin::NAME, fleet::plugin::NAME, bundle::plugin::NAME],
        start: |services| Box::pin(start(services)),
        drain,
    }
}

async fn start(services: Arc<Services>) -> Result<(), KernelError> {
    let client = Arc::new(HttpClient::new(None)?);
    let backend: Arc<dyn Backend> = Arc::new(HttpBackend::new(client));
    let bundle_manager = services.require::<BundleManager>()?;
    let hosts = services.require::<HostList>()?;
    let replicas = Arc::new(Replicas::new(bundle_manager, hosts, services.settings.batch.policy));
    let lanes = Lanes::new(
        Arc::clone(&services),
        Arc::clone(&replicas),
        Arc::clone(&backend),
        services.require::<Links>()?,
        services.require::<MembershipService>()?,
    );
    lanes.spawn();
    let reconciler = EngineReconciler::new(
        Arc::clone(&services),
        Arc::clone(&replicas),
        Arc::clone(&backend),
        services.require::<Store>()?,
        services.require::<MembershipService>()?,
    );
    reconciler.spawn();
    let online = OnlineDispatcher::new(
        Arc::clone(&services),
        Arc::clone(&replicas),
        backend,
        Arc::clone(&lanes),
    );
    online.spawn();
    services.provide(replicas);
    services.provide(lanes);
    services.provide(online);
    Ok(())
}

fn drain(services: Arc<Services>) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        if let Ok(lanes) = services.require::<Lanes>() {
            lanes.drain().await;
        }
    })
}
