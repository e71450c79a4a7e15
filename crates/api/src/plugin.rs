//! Plug-in that opens the daemon's HTTP ports and drains them when the daemon stops.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use batch::JobApi;
use bundle::BundleManager;
use engine::OnlineDispatcher;
use fleet::Links;
use fleet::MembershipService;
use futures::future::BoxFuture;
use kernel::KernelError;
use kernel::Plugin;
use kernel::Services;
use kernel::http_server::Handler;
use kernel::http_server::Server;
use kernel::inventory;
use kernel::settings::Listener;
use kernel::tls;
use store::Store;

use crate::admin::AdminRoutes;
use crate::admission::Admission;
use crate::bundles::BundleRoutes;
use crate::callers::CallerRoutes;
use crate::claims::Claims;
use crate::completions::Completions;
use crate::jobs::JobRoutes;
use crate::metrics::MetricsPage;
use crate::service_calls::ServiceCalls;

/// Name of the plug-in.
pub const NAME: &str = "api";

/// Time that idle connections get to close after the last answer.
const CLOSE_DELAY: Duration = Duration::from_millis(200);

inventory::submit! {
    Plugin {
        name: NAME,
        after: &[bundle::plugin::NAME, engine::plugin::NAME, batch::plugin::NAME],
        start: |services| Box::pin(start(services)),
        drain,
    }
}

/// The open HTTP ports of a daemon.
pub struct Ports {
    callers: Server,
    admin: Server,
    metrics: Server,
    routes: Arc<CallerRoutes>,
}

impl Ports {
    /// Returns the number of callers' requests in flight.
    pub fn in_flight(&self) -> usize {
        self.callers.in_flight()
    }

    /// Stops the servers of all ports without waiting for them.
    pub fn stop(&self) {
        self.servers().for_each(Server::stop);
    }

    /// Closes all ports and blocks until their addresses are free again.
    pub fn close(&self) {
        self.servers().for_each(Server::close);
    }

    fn servers(&self) -> impl Iterator<Item = &Server> {
        [&self.callers, &self.admin, &self.metrics].into_iter()
    }
}

async fn start(services: Arc<Services>) -> Result<(), KernelError> {
    let store = services.require::<Store>()?;
    let bundle_manager = services.require::<BundleManager>()?;
    let members = services.require::<MembershipService>()?;
    let online = services.require::<OnlineDispatcher>()?;
    let counters = services.counters.clone();
    let claims = Arc::new(Claims::new(Arc::clone(&store)));
    let admission = Admission::new(Arc::clone(&services), Arc::clone(&members));
    let jobs = Arc::new(JobRoutes::new(services.require::<JobApi>()?));
    let routes = Arc::new(CallerRoutes {
        bundle_manager: Arc::clone(&bundle_manager),
        members: Arc::clone(&members),
        completions: Completions::new(
            Arc::clone(&online),
            Arc::clone(&admission),
            Arc::clone(&claims),
            counters.clone(),
        ),
        service_calls: ServiceCalls::new(online, admission, claims, counters.clone()),
        jobs: Arc::clone(&jobs),
        counters: counters.clone(),
        endpoints_keep_ms: services.settings.online.endpoints_keep_ms,
        is_closed: AtomicBool::new(false),
    });
    let admin = Arc::new(AdminRoutes {
        bundle_manager: Arc::clone(&bundle_manager),
        operators: services.settings.operators.clone(),
        bundles: BundleRoutes::new(store, bundle_manager, members, services.require::<Links>()?),
        jobs,
        counters: counters.clone(),
    });
    let settings = &services.settings;
    let metrics = Arc::new(MetricsPage { counters });
    let ports = Arc::new(Ports {
        callers: bind_server(&settings.callers, Arc::clone(&routes) as Arc<dyn Handler>)?,
        admin: bind_server(&settings.admin, admin)?,
        metrics: Server::bind(settings.metrics.address, None, metrics)?,
        routes,
    });
    services.provide(Arc::clone(&ports));
    let stopped = services.stopped.clone();
    tokio::spawn(async move {
        stopped.cancelled().await;
        ports.stop();
    });
    Ok(())
}

fn bind_server(listener: &Listener, handler: Arc<dyn Handler>) -> Result<Server, KernelError> {
    let tls = listener.tls.as_ref().map(tls::server_config).transpose()?;
    Server::bind(listener.address, tls, handler)
}

/// Keeps serving for as long as callers may cache an endpoints answer, then refuses new requests and
/// waits until the requests in flight have been answered.
fn drain(services: Arc<Services>) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let Ok(ports) = services.require::<Ports>() else {
            return;
        };
        let keep_ms = services.settings.online.endpoints_keep_ms;
        ports.callers.close_after_answers();
        tokio::time::sleep(Duration::from_millis(keep_ms)).await;
        ports.routes.is_closed.store(true, Ordering::Release);
        ports.callers.wait_idle().await;
        tokio::time::sleep(CLOSE_DELAY).await;
    })
}
