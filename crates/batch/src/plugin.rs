//! The plug-in that runs batch jobs.

use std::sync::Arc;

use engine::Lanes;
use engine::Replicas;
use fleet::Links;
use fleet::Members;
use futures::future::BoxFuture;
use kernel::KernelError;
use kernel::Plugin;
use kernel::Services;
use kernel::inventory;
use store::Store;

use crate::chooser::Chooser;
use crate::home::JobHome;
use crate::jobs::Jobs;
use crate::runner::RunnerContext;

/// The plug-in's name.
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
    let store = services.need::<Store>()?;
    let members = services.need::<Members>()?;
    let links = services.need::<Links>()?;
    let context = Arc::new(RunnerContext {
        services: Arc::clone(&services),
        store: Arc::clone(&store),
        lanes: services.need::<Lanes>()?,
        replicas: services.need::<Replicas>()?,
        members: Arc::clone(&members),
        chooser: Chooser::default(),
    });
    let home = JobHome::new(context, Arc::clone(&members));
    home.spawn();
    links.add_handler(home.link_handler());
    let jobs = Jobs::new(store, links, members, Arc::clone(&home), services.counters.clone());
    services.provide(home);
    services.provide(Arc::new(jobs));
    Ok(())
}

fn drain(services: Arc<Services>) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        if let Ok(home) = services.need::<JobHome>() {
            home.drain().await;
        }
    })
}
