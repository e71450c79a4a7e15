//! The plug-in that runs batch jobs.

use std::sync::Arc;

use engine::Lanes;
use engine::Replicas;
use fleet::Links;
use fleet::MembershipService;
use futures::future::BoxFuture;
use kernel::KernelError;
use kernel::Plugin;
use kernel::Services;
use kernel::inventory;
use store::Store;

use crate::jobs::JobApi;
use crate::lane_selector::LaneSelector;
use crate::runner::RunnerContext;
use crate::supervisor::JobSupervisor;

/// Name under which the plug-in is registered.
pub const NAME: &str = "batch";

inventory::submit! {
    Plugin {
        name: NAME,
        after: &[store::plugin::NAME, fleet::plugin::NAME, engine::plugin::NAME],
        start: |services| Box::pin(start(services)),
        drain,
    }
}

async fn start(services: Arc<Services>) -> Result<(), KernelError> {
    let store = services.require::<Store>()?;
    let members = services.require::<MembershipService>()?;
    let links = services.require::<Links>()?;
    let context = Arc::new(RunnerContext {
        services: Arc::clone(&services),
        store: Arc::clone(&store),
        lanes: services.require::<Lanes>()?,
        replicas: services.require::<Replicas>()?,
        members: Arc::clone(&members),
        lane_selector: LaneSelector::default(),
    });
    let supervisor = JobSupervisor::new(context, Arc::clone(&members));
    supervisor.spawn();
    links.add_handler(supervisor.link_handler());
    let jobs =
        JobApi::new(store, links, members, Arc::clone(&supervisor), services.counters.clone());
    services.provide(supervisor);
    services.provide(Arc::new(jobs));
    Ok(())
}

fn drain(services: Arc<Services>) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        if let Ok(supervisor) = services.require::<JobSupervisor>() {
            supervisor.drain().await;
        }
    })
}
