//! The daemon's copy of the platform's state, updated from the store or from peers.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catalog::ConfigurationInForce;
use catalog::ReplicaChange;
use catalog::ReplicaSet;
use catalog::ReplicaView;
use http::Method;
use http::StatusCode;
use kernel::BootClock;
use kernel::local_server::ConnectionLimits;
use kernel::local_server::ServerLifecycle;
use log::info;
use log::warn;
use peers::ControlClient;
use peers::Membership;
use peers::Topic;
use peers::transport::decode;
use rand::Rng;
use rand::seq::IteratorRandom;
use slots::Slots;
use store::LoggedVersions;
use store::ObjectClient;
use tokio::time::sleep;
use wire::Configuration;
use wire::Millis;

use crate::configuration_transfer;
use crate::configuration_transfer::COMPRESSED_TARGET;
use crate::configuration_transfer::ConfigurationSender;
use crate::recent_changes::RecentChanges;

/// How long a peer may take to answer a request for its state.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// The pause after which a daemon that was refused the configuration asks another one: peers that
/// send it to others serve the next ones after some tens of milliseconds.
const MIN_PULL_PAUSE_MS: Millis = 50;
/// The longest such pause; it is random, so that daemons do not ask at the same moment.
const MAX_PULL_PAUSE_MS: Millis = 200;
/// The most changed replicas that are pushed: some 200 bytes each, in one datagram.
const MAX_PUSHED_CHANGES: usize = 6;

/// The origin of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another daemon.
    Peer,
}

impl Source {
    /// Returns the source as it appears in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }

    /// Returns whether changed replicas are pushed to peers at once.
    ///
    /// Changes from a peer are not, since that peer has already pushed them to all. Otherwise each
    /// of the many changes would cost a heartbeat from every daemon to every other.
    pub fn is_pushed_at_once(self) -> bool {
        self != Self::Peer
    }
}

/// The configuration in force and the replicas, with the components to notify of their changes.
pub struct PlatformState {
    /// The clock of the daemon.
    pub clock: BootClock,
    /// The configuration in force.
    pub in_force: Rc<RefCell<ConfigurationInForce>>,
    /// The live replicas.
    pub replicas: Rc<RefCell<ReplicaSet>>,
    /// The membership, which pushes changes to peers.
    pub membership: Rc<RefCell<Membership>>,
    /// The allocation of replica slots.
    pub slots: Rc<Slots>,
    /// The client for control calls to other daemons.
    pub control: Rc<ControlClient>,
    /// The lifecycle and the connection limits of the server for clients.
    pub ingress_lifecycle: Rc<ServerLifecycle>,
    /// The malformed records of replicas that were logged.
    pub logged_records: RefCell<LoggedVersions>,
    /// The configuration as it is handed to peers.
    pub configuration_sender: ConfigurationSender,
    is_pulling_configuration: Cell<bool>,
    is_pulling_replicas: Cell<bool>,
    processed_revision: Cell<u64>,
    recent_changes: RefCell<RecentChanges>,
}

impl PlatformState {
    /// Creates the state of a daemon that has received nothing yet.
    pub fn new(
        clock: BootClock,
        in_force: Rc<RefCell<ConfigurationInForce>>,
        replicas: Rc<RefCell<ReplicaSet>>,
        membership: Rc<RefCell<Membership>>,
        slots: Rc<Slots>,
        control: Rc<ControlClient>,
        ingress_lifecycle: Rc<ServerLifecycle>,
    ) -> Self {
        Self {
            clock,
            in_force,
            replicas,
            membership,
            slots,
            control,
            ingress_lifecycle,
            logged_records: RefCell::default(),
            configuration_sender: ConfigurationSender::default(),
            is_pulling_configuration: Cell::new(false),
            is_pulling_replicas: Cell::new(false),
            processed_revision: Cell::new(0),
            recent_changes: RefCell::default(),
        }
    }

    /// Ends the holds of missing records whose time is over and wakes the requests that may wait for
    /// a slot there.
    pub fn end_holds(&self) {
        let ended = self.replicas.borrow_mut().tick(self.clock.now_ms());
        if ended.is_empty() {
            return;
        }
        let replicas = self.replicas.borrow();
        for name in ended {
            info!(
                "event=missing_replica_unusable replica={name} revision={} contact_ms={}",
                replicas.revision(),
                self.contact_ms(&replicas)
            );
        }
        self.slots.wake_waiting();
    }

    /// Records the latest answer of the store to a call of this daemon, stale reads left out.
    pub fn record_store_answer(&self, store: &ObjectClient) {
        let Some(age) = store.last_fresh_answer_age() else { return };
        let now_ms = self.clock.now_ms();
        let answered_ms = now_ms.saturating_sub(age.as_millis() as Millis);
        self.replicas.borrow_mut().record_store_answer(now_ms, answered_ms);
    }

    /// Decodes a configuration and puts it in force if it is newer; a malformed one is ignored.
    pub fn update_configuration(&self, json: &Bytes, source: Source) {
        let source_name = source.as_str();
        let configuration = match platform::configuration::decode(json) {
            Ok(configuration) => configuration,
            Err(error) => {
                warn!("event=configuration_malformed source={source_name} error=\"{error}\"");
                return;
            }
        };
        let version = configuration.version;
        let configuration = Arc::new(configuration);
        let now_ms = self.clock.now_ms();
        if !self.in_force.borrow_mut().update_if_newer(now_ms, configuration.clone()) {
            return;
        }
        info!(
            "event=configuration_in_force version={version} source={source_name} routes={}",
            configuration.routes().len()
        );
        self.configuration_sender.set(json);
        self.ingress_lifecycle.limits.set(connection_limits(&configuration));
        // All daemons push a new configuration to all others: it is rare, and the last daemon must
        // have it within a tight bound.
        self.membership.borrow_mut().expedite_heartbeats();
    }

    /// Logs changes of the replicas, notifies the slots and pushes the changes to peers.
    pub fn handle_replica_changes(&self, changes: &[ReplicaChange], source: Source) {
        let previous = self.processed_revision.replace(self.replicas.borrow().revision());
        if changes.is_empty() {
            return;
        }
        if source.is_pushed_at_once() {
            self.recent_changes.borrow_mut().record(self.clock.now_ms(), previous);
        }
        let source_name = source.as_str();
        let replicas = self.replicas.borrow();
        let (revision, contact_ms) = (replicas.revision(), self.contact_ms(&replicas));
        for change in changes {
            match change {
                ReplicaChange::Set(record) => info!(
                    "event=replica_listed replica={} service={} address={} slots={} draining={} \
                     missing={} revision={revision} confirmed={} contact_ms={contact_ms} source={source_name}",
                    record.name,
                    record.service,
                    record.address,
                    record.slots,
                    record.is_draining,
                    replicas.is_missing(&record.name),
                    replicas.confirmed_revision(&record.name).unwrap_or_default()
                ),
                ReplicaChange::Gone(name) => {
                    self.slots.remove_replica(name);
                    info!(
                        "event=replica_gone replica={name} revision={revision} \
                         contact_ms={contact_ms} source={source_name}"
                    );
                }
            }
        }
        self.slots.wake_waiting();
        if source.is_pushed_at_once() {
            self.membership.borrow_mut().expedite_heartbeats();
        }
    }

    /// Returns whether the hold of a missing record is over, so that a new list must show whether the
    /// record is gone.
    pub fn is_hold_over(&self) -> bool {
        let end_ms = self.replicas.borrow().next_hold_end_ms();
        end_ms.is_some_and(|end_ms| end_ms <= self.clock.now_ms())
    }

    /// Returns for how long the fleet has had answers of the store without a gap, for the log.
    pub fn contact_ms(&self, replicas: &ReplicaSet) -> Millis {
        replicas.contact().since_age_ms(self.clock.now_ms()).unwrap_or_default()
    }

    /// Requests the newer configuration of a peer, and then of others that have one, until this daemon
    /// has the newest that any of them reports.
    pub async fn pull_configuration(&self, peer: SocketAddr) {
        if self.is_pulling_configuration.replace(true) {
            return;
        }
        let started_ms = self.clock.now_ms();
        let mut next = Some(peer);
        let mut pulls = 0;
        while let Some(peer) = next {
            pulls += 1;
            if let Some(body) = self.pull(peer, COMPRESSED_TARGET).await {
                match configuration_transfer::decode(body) {
                    Ok(json) => self.update_configuration(&json, Source::Peer),
                    Err(error) => {
                        warn!("event=configuration_malformed source=peer error=\"{error}\"");
                    }
                }
            }
            if !self.in_force.borrow().is_outdated() {
                break;
            }
            let pause_ms = rand::thread_rng().gen_range(MIN_PULL_PAUSE_MS..=MAX_PULL_PAUSE_MS);
            sleep(Duration::from_millis(pause_ms)).await;
            next = self.random_peer_with_newer_configuration();
        }
        info!(
            "event=configuration_pulled version={} pulls={pulls} took_ms={}",
            self.in_force.borrow().version(),
            self.clock.now_ms().saturating_sub(started_ms)
        );
        self.is_pulling_configuration.set(false);
    }

    fn random_peer_with_newer_configuration(&self) -> Option<SocketAddr> {
        let version = self.in_force.borrow().version();
        let membership = self.membership.borrow();
        let newer = membership.alive().filter(|peer| peer.configuration_version > version);
        newer.filter_map(|peer| peer.identity.control).choose(&mut rand::thread_rng())
    }

    /// Requests the changes of the replicas from a peer with a newer revision.
    pub async fn pull_replicas(&self, peer: SocketAddr) {
        if self.is_pulling_replicas.replace(true) {
            return;
        }
        let since = self.replicas.borrow().revision();
        let is_same_list = self.pull_view(peer, &format!("/replicas?since={since}")).await;
        self.is_pulling_replicas.set(false);
        if is_same_list == Some(false) {
            self.pull_complete_list(peer).await;
        }
    }

    /// Requests the complete list of a peer whose replicas differ under the same revision.
    pub async fn pull_complete_list(&self, peer: SocketAddr) {
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
        view.map(|view| self.merge_peer_view(view))
    }

    /// Merges the view of a peer and returns `false` if the lists differ under the same revision.
    ///
    /// Two watchers can have different lists at one revision if only one knows of an outage and holds
    /// the missing records; the digest shows this.
    pub fn merge_peer_view(&self, view: ReplicaView) -> bool {
        let (revision, digest) = (view.revision, view.digest);
        let now_ms = self.clock.now_ms();
        let changes = self.replicas.borrow_mut().merge_view(now_ms, view);
        self.handle_replica_changes(&changes, Source::Peer);
        let replicas = self.replicas.borrow();
        replicas.revision() != revision || replicas.digest() == digest
    }

    /// Returns the changes of the replicas to push to peers, or `None` if there are no recent ones
    /// or so many that peers should request them.
    pub fn recent_replica_changes(&self) -> Option<ReplicaView> {
        let now_ms = self.clock.now_ms();
        let since = self.recent_changes.borrow_mut().base_revision(now_ms)?;
        let view = self.replicas.borrow().view_since(now_ms, since);
        let is_small = view.entries.len() + view.gone.len() <= MAX_PUSHED_CHANGES;
        (view.since.is_some() && is_small).then_some(view)
    }

    async fn pull(&self, peer: SocketAddr, path: &str) -> Option<Bytes> {
        let answer = self.control.call(peer, Method::GET, path, &[], PULL_TIMEOUT).await;
        match answer {
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

/// Returns the limits that a configuration sets for client connections.
fn connection_limits(configuration: &Configuration) -> ConnectionLimits {
    ConnectionLimits {
        header_bytes: configuration.limits.header_bytes,
        idle: Duration::from_millis(configuration.limits.idle_ms),
        head: Duration::from_millis(configuration.limits.header_ms),
    }
}
