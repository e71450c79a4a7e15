//! What the daemon knows of the platform, from the store or from peers.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catalog::InForce;
use catalog::ReplicaChange;
use catalog::ReplicaSet;
use catalog::ReplicaView;
use http::Method;
use http::StatusCode;
use kernel::BootClock;
use kernel::local_server::ConnectionLimits;
use kernel::local_server::ServerLife;
use log::info;
use log::warn;
use peers::ControlClient;
use peers::Membership;
use slots::Slots;
use wire::Configuration;

/// How long a peer may take to hand over what it knows.
const PULL_PATIENCE: Duration = Duration::from_millis(800);

/// The configuration in force and the replicas, with what must be told when they change.
pub struct Knowledge {
    /// The daemon's clock.
    pub clock: BootClock,
    /// The configuration in force.
    pub in_force: Rc<RefCell<InForce>>,
    /// The replicas.
    pub replicas: Rc<RefCell<ReplicaSet>>,
    /// The other daemons.
    pub membership: Rc<RefCell<Membership>>,
    /// The replicas' slots.
    pub slots: Rc<Slots>,
    /// Calls to other daemons.
    pub control: Rc<ControlClient>,
    /// The life of the server for clients.
    pub ingress_life: Rc<ServerLife>,
    raw_configuration: RefCell<Bytes>,
    is_pulling_configuration: Cell<bool>,
    is_pulling_replicas: Cell<bool>,
}

impl Knowledge {
    /// Creates the knowledge of a daemon that knows nothing yet.
    pub fn new(
        clock: BootClock,
        in_force: Rc<RefCell<InForce>>,
        replicas: Rc<RefCell<ReplicaSet>>,
        membership: Rc<RefCell<Membership>>,
        slots: Rc<Slots>,
        control: Rc<ControlClient>,
        ingress_life: Rc<ServerLife>,
    ) -> Self {
        Self {
            clock,
            in_force,
            replicas,
            membership,
            slots,
            control,
            ingress_life,
            raw_configuration: RefCell::new(Bytes::new()),
            is_pulling_configuration: Cell::new(false),
            is_pulling_replicas: Cell::new(false),
        }
    }

    /// Returns the configuration in force as it was written.
    pub fn raw_configuration(&self) -> Bytes {
        self.raw_configuration.borrow().clone()
    }

    /// Takes a configuration as it was written; one that cannot be read changes nothing.
    pub fn offer_configuration(&self, json: &Bytes, source: &str) {
        let configuration = match platform::configuration::decode(json) {
            Ok(configuration) => configuration,
            Err(error) => {
                warn!("event=configuration_malformed source={source} error=\"{error}\"");
                return;
            }
        };
        let version = configuration.version;
        let offered = Arc::new(configuration);
        let now_ms = self.clock.now_ms();
        if !self.in_force.borrow_mut().offer(now_ms, offered.clone()) {
            return;
        }
        info!(
            "event=configuration_in_force version={version} source={source} routes={}",
            offered.routes().len()
        );
        *self.raw_configuration.borrow_mut() = json.clone();
        self.ingress_life.limits.set(connection_limits(&offered));
        self.membership.borrow_mut().hurry();
    }

    /// Acts on changes of the replicas.
    pub fn replicas_changed(&self, changes: &[ReplicaChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        let revision = self.replicas.borrow().revision();
        for change in changes {
            match change {
                ReplicaChange::Set(record) => info!(
                    "event=replica_listed replica={} service={} address={} slots={} draining={} \
                     revision={revision} source={source}",
                    record.name, record.service, record.address, record.slots, record.is_draining
                ),
                ReplicaChange::Gone(name) => {
                    self.slots.forget(name);
                    info!("event=replica_gone replica={name} revision={revision} source={source}");
                }
            }
        }
        self.membership.borrow_mut().hurry();
    }

    /// Asks a peer for its configuration, which is newer.
    pub async fn pull_configuration(&self, peer: SocketAddr) {
        if self.is_pulling_configuration.replace(true) {
            return;
        }
        if let Some(body) = self.pull(peer, "/configuration").await {
            self.offer_configuration(&body, "peer");
        }
        self.is_pulling_configuration.set(false);
    }

    /// Asks a peer for what changed in its view of the replicas, which is newer.
    ///
    /// Two daemons can count the same revision for different lists where a hold ended at one of
    /// them; the digest tells, and the whole list is asked for.
    pub async fn pull_replicas(&self, peer: SocketAddr) {
        if self.is_pulling_replicas.replace(true) {
            return;
        }
        let since = self.replicas.borrow().revision();
        let digest = self.pull_view(peer, &format!("/replicas?since={since}")).await;
        if digest.is_some_and(|digest| digest != self.replicas.borrow().digest()) {
            info!("event=replica_list_differs peer={peer} since={since}");
            self.pull_view(peer, "/replicas").await;
        }
        self.is_pulling_replicas.set(false);
    }

    /// Takes a peer's view and returns the digest of its list.
    async fn pull_view(&self, peer: SocketAddr, path: &str) -> Option<u64> {
        let body = self.pull(peer, path).await?;
        match serde_json::from_slice::<ReplicaView>(&body) {
            Ok(view) => {
                let digest = view.digest;
                let now_ms = self.clock.now_ms();
                let changes = self.replicas.borrow_mut().adopt(now_ms, view);
                self.replicas_changed(&changes, "peer");
                Some(digest)
            }
            Err(error) => {
                warn!("event=replica_view_malformed peer={peer} error=\"{error}\"");
                None
            }
        }
    }

    async fn pull(&self, peer: SocketAddr, path: &str) -> Option<Bytes> {
        let answered = self.control.call(peer, Method::GET, path, &[], PULL_PATIENCE).await;
        match answered {
            Ok((StatusCode::OK, body)) => Some(body),
            Ok((status, _)) => {
                info!("event=pull_refused peer={peer} path={path} status={status}");
                None
            }
            Err(fault) => {
                info!("event=pull_failed peer={peer} path={path} fault={fault:?}");
                None
            }
        }
    }
}

/// Returns the limits that a configuration sets for connections of clients.
fn connection_limits(configuration: &Configuration) -> ConnectionLimits {
    ConnectionLimits {
        header_bytes: configuration.limits.header_bytes,
        idle: Duration::from_millis(configuration.limits.idle_ms),
    }
}
