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
use peers::Topic;
use peers::transport::decode;
use slots::Slots;
use wire::Configuration;

use crate::news::News;

/// How long a peer may take to hand over what it knows.
const PULL_PATIENCE: Duration = Duration::from_millis(800);

/// The most changed replicas that are told at once: some 200 bytes each, in one datagram.
const MAX_NEWS: usize = 6;

/// Where news of the platform come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another daemon.
    Peer,
    /// A record that was missing for too long.
    Hold,
}

impl Source {
    /// Returns the source as it appears in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Hold => "hold",
        }
    }

    /// Returns whether peers are told of changed replicas at once: only by those that did not hear
    /// it from a peer, who has told all. Otherwise each change, and there are many, would cost a
    /// heartbeat from every daemon to every other.
    pub fn is_told_at_once(self) -> bool {
        self != Self::Peer
    }
}

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
    known_revision: Cell<u64>,
    news: RefCell<News>,
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
            known_revision: Cell::new(0),
            news: RefCell::default(),
        }
    }

    /// Returns the configuration in force as it was written.
    pub fn raw_configuration(&self) -> Bytes {
        self.raw_configuration.borrow().clone()
    }

    /// Takes a configuration as it was written; one that cannot be read changes nothing.
    pub fn offer_configuration(&self, json: &Bytes, source: Source) {
        let source_name = source.as_str();
        let configuration = match platform::configuration::decode(json) {
            Ok(configuration) => configuration,
            Err(error) => {
                warn!("event=configuration_malformed source={source_name} error=\"{error}\"");
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
            "event=configuration_in_force version={version} source={source_name} routes={}",
            offered.routes().len()
        );
        *self.raw_configuration.borrow_mut() = json.clone();
        self.ingress_life.limits.set(connection_limits(&offered));
        // Rare, and the bound for the last daemon is close: everybody tells everybody.
        self.membership.borrow_mut().hurry();
    }

    /// Acts on changes of the replicas.
    pub fn replicas_changed(&self, changes: &[ReplicaChange], source: Source) {
        let known = self.known_revision.replace(self.replicas.borrow().revision());
        if changes.is_empty() {
            return;
        }
        if source.is_told_at_once() {
            self.news.borrow_mut().changed(self.clock.now_ms(), known);
        }
        let (revision, source_name) = (self.replicas.borrow().revision(), source.as_str());
        for change in changes {
            match change {
                ReplicaChange::Set(record) => info!(
                    "event=replica_listed replica={} service={} address={} slots={} draining={} \
                     revision={revision} source={source_name}",
                    record.name, record.service, record.address, record.slots, record.is_draining
                ),
                ReplicaChange::Gone(name) => {
                    self.slots.remove_replica(name);
                    info!(
                        "event=replica_gone replica={name} revision={revision} source={source_name}"
                    );
                }
            }
        }
        if source.is_told_at_once() {
            self.membership.borrow_mut().hurry();
        }
    }

    /// Asks a peer for its configuration, which is newer.
    pub async fn pull_configuration(&self, peer: SocketAddr) {
        if self.is_pulling_configuration.replace(true) {
            return;
        }
        if let Some(body) = self.pull(peer, "/configuration").await {
            self.offer_configuration(&body, Source::Peer);
        }
        self.is_pulling_configuration.set(false);
    }

    /// Asks a peer for what changed in its view of the replicas, which is newer.
    pub async fn pull_replicas(&self, peer: SocketAddr) {
        if self.is_pulling_replicas.replace(true) {
            return;
        }
        let since = self.replicas.borrow().revision();
        let agrees = self.pull_view(peer, &format!("/replicas?since={since}")).await;
        self.is_pulling_replicas.set(false);
        if agrees == Some(false) {
            self.pull_all_replicas(peer).await;
        }
    }

    /// Asks a peer for its whole list of replicas, since this one differs under the same revision.
    pub async fn pull_all_replicas(&self, peer: SocketAddr) {
        if self.is_pulling_replicas.replace(true) {
            return;
        }
        info!("event=replica_list_differs peer={peer} since={}", self.replicas.borrow().revision());
        self.pull_view(peer, "/replicas").await;
        self.is_pulling_replicas.set(false);
    }

    async fn pull_view(&self, peer: SocketAddr, path: &str) -> Option<bool> {
        let body = self.pull(peer, path).await?;
        let view = decode::<ReplicaView>(Topic::Replicas, &body);
        if view.is_none() {
            warn!("event=replica_view_malformed peer={peer} bytes={}", body.len());
        }
        view.map(|view| self.take_view(view))
    }

    /// Takes a peer's view and returns whether the list agrees with the peer's, as far as is known.
    ///
    /// Two daemons can count the same revision for different lists where a hold ended at one of
    /// them; the digest tells.
    pub fn take_view(&self, view: ReplicaView) -> bool {
        let (revision, digest) = (view.revision, view.digest);
        let now_ms = self.clock.now_ms();
        let changes = self.replicas.borrow_mut().adopt(now_ms, view);
        self.replicas_changed(&changes, Source::Peer);
        let replicas = self.replicas.borrow();
        replicas.revision() != revision || replicas.digest() == digest
    }

    /// Returns what peers are told of the replicas at once; none if nothing changed a moment ago,
    /// or so much that they should ask for it.
    pub fn replica_news(&self) -> Option<ReplicaView> {
        let now_ms = self.clock.now_ms();
        let since = self.news.borrow_mut().since(now_ms)?;
        let view = self.replicas.borrow().view_since(now_ms, since);
        let is_small = view.entries.len() + view.gone.len() <= MAX_NEWS;
        (view.since.is_some() && is_small).then_some(view)
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
