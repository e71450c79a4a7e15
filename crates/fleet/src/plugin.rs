//! The plug-in that joins a daemon to its fleet.

use std::sync::Arc;

use futures::future::BoxFuture;
use kernel::KernelError;
use kernel::Plugin;
use kernel::Services;
use kernel::inventory;
use store::Store;

use crate::lease::new_incarnation;
use crate::links::Links;
use crate::membership::DaemonInfo;
use crate::membership::LivenessTiming;
use crate::membership::Membership;
use crate::membership_service::MembershipService;

/// The plug-in's name.
pub const NAME: &str = "fleet";

inventory::submit! {
    Plugin {
        name: NAME,
        after: &[store::plugin::NAME],
        start: |services| Box::pin(start(services)),
        drain,
    }
}

async fn start(services: Arc<Services>) -> Result<(), KernelError> {
    let settings = &services.settings;
    let links = Links::listen(
        settings.daemon.clone(),
        settings.links.address,
        settings.links.secrets.clone(),
        services.counters.clone(),
        services.stopped.clone(),
    )
    .await?;
    let own = DaemonInfo {
        daemon: settings.daemon.clone(),
        incarnation: new_incarnation(),
        data_centre: settings.data_centre.clone(),
        callers_address: settings.callers.address,
        callers_tls: settings.callers.tls.is_some(),
        links_address: settings.links.address,
    };
    let timing = LivenessTiming {
        lease_ms: settings.membership.lease_ms,
        suspect_after_ms: settings.membership.suspect_after_ms,
    };
    let membership = Membership::new(own.clone(), timing);
    let store = services.require::<Store>()?;
    let members =
        MembershipService::new(Arc::clone(&services), store, Arc::clone(&links), own, membership);
    members.spawn();
    services.provide(links);
    services.provide(members);
    Ok(())
}

fn drain(services: Arc<Services>) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        if let Ok(links) = services.require::<Links>() {
            links.drain().await;
        }
        if let Ok(members) = services.require::<MembershipService>() {
            members.remove_lease().await;
        }
    })
}
