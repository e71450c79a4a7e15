//! The service that runs a daemon's membership: it renews the lease, lists leases and probes peers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use bytes::Bytes;
use kernel::Services;
use log::info;
use log::warn;
use store::CallClass;
use store::PutOutcome;
use store::Store;
use store::store::new_write_id;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use wire::DaemonName;
use wire::Version;
use wire::link::Heartbeat;
use wire::link::Notice;
use wire::link::Reply;
use wire::link::Request;
use wire::rendezvous;

use crate::lease::LEASE_PREFIX;
use crate::lease::LEAVING_SUFFIX;
use crate::lease::lease_key;
use crate::lease::parse_leases;
use crate::links::LinkHandler;
use crate::links::Links;
use crate::membership::Action;
use crate::membership::DaemonInfo;
use crate::membership::Event;
use crate::membership::MemberStatus;
use crate::membership::Membership;
use crate::membership::OwnerState;

/// How long the eligible owners are cached, since every request needs them.
const OWNERS_CACHE_MS: wire::Millis = 50;
/// The fleet size up to which every daemon lists leases at the full rate; larger fleets list in
/// proportionally longer intervals.
const MAX_DAEMONS_AT_FULL_LIST_RATE: u64 = 16;

/// Keeps this daemon a member of its fleet and answers queries about the other members.
pub struct MembershipService {
    services: Arc<Services>,
    store: Arc<Store>,
    links: Arc<Links>,
    own: DaemonInfo,
    membership: Mutex<Membership>,
    number_in_force: AtomicU64,
    cached_owners: ArcSwap<CachedOwners>,
    changes: watch::Sender<u64>,
    join_progress: watch::Sender<JoinProgress>,
}

/// The steps that a daemon must complete before it may take over work.
#[derive(Clone, Copy, Debug, Default)]
struct JoinProgress {
    has_lease: bool,
    has_listed_leases: bool,
}

impl JoinProgress {
    fn is_complete(&self) -> bool {
        self.has_lease && self.has_listed_leases
    }
}

/// The eligible owners as last computed.
#[derive(Debug, Default)]
struct CachedOwners {
    computed_at_ms: wire::Millis,
    is_leaving: bool,
    names: Arc<Vec<DaemonName>>,
}

impl MembershipService {
    /// Creates the service; `spawn` starts its tasks.
    pub fn new(
        services: Arc<Services>,
        store: Arc<Store>,
        links: Arc<Links>,
        own: DaemonInfo,
        membership: Membership,
    ) -> Arc<Self> {
        Arc::new(Self {
            services,
            store,
            links,
            own,
            membership: Mutex::new(membership),
            number_in_force: AtomicU64::new(0),
            cached_owners: ArcSwap::default(),
            changes: watch::channel(0).0,
            join_progress: watch::channel(JoinProgress::default()).0,
        })
    }

    /// Starts the tasks that renew this daemon's lease, list all leases and probe neighbours.
    pub fn spawn(self: &Arc<Self>) {
        self.links.add_handler(Arc::new(MembershipLinkHandler(Arc::clone(self))));
        tokio::spawn(Arc::clone(self).renew_lease());
        tokio::spawn(Arc::clone(self).list_leases());
        tokio::spawn(Arc::clone(self).probe_neighbours());
    }

    /// Returns the information about this daemon that its lease contains.
    pub fn own(&self) -> &DaemonInfo {
        &self.own
    }

    /// Sets the number of the bundle in force that heartbeats carry.
    pub fn set_number_in_force(&self, number: u64) {
        self.number_in_force.store(number, Ordering::Release);
    }

    /// Returns the other live daemons.
    pub fn peers(&self) -> Vec<MemberStatus> {
        self.membership().peers(self.now_ms())
    }

    /// Returns the live peer of this name.
    pub fn peer(&self, name: &DaemonName) -> Option<DaemonInfo> {
        self.membership().peer(self.now_ms(), name)
    }

    /// Returns the daemon that owns a key.
    pub fn owner_of(&self, key: &str) -> Option<DaemonName> {
        rendezvous::owner(key, &*self.eligible_owners()).cloned()
    }

    /// Returns the daemons that may own shards and lanes: live, not suspected and not leaving.
    pub fn eligible_owners(&self) -> Arc<Vec<DaemonName>> {
        let now_ms = self.now_ms();
        let is_leaving = self.services.leaving.is_cancelled();
        let cached = self.cached_owners.load_full();
        let is_fresh = now_ms < cached.computed_at_ms + OWNERS_CACHE_MS;
        if is_fresh && cached.is_leaving == is_leaving && !cached.names.is_empty() {
            return Arc::clone(&cached.names);
        }
        let names = Arc::new(self.membership().eligible_owners(now_ms, is_leaving));
        let owners = CachedOwners { computed_at_ms: now_ms, is_leaving, names: Arc::clone(&names) };
        self.cached_owners.store(Arc::new(owners));
        names
    }

    /// Returns the daemons that serve callers: live, not suspected and not leaving.
    pub fn serving_daemons(&self) -> Vec<DaemonInfo> {
        let peers = self.peers().into_iter().filter(|peer| !peer.is_suspect && !peer.is_leaving);
        let own = (!self.services.leaving.is_cancelled()).then(|| self.own.clone());
        peers.map(|peer| peer.info).chain(own).collect()
    }

    /// Returns the daemons that this one probes.
    pub fn neighbours(&self) -> Vec<DaemonInfo> {
        let count = self.services.settings.membership.neighbours;
        self.membership().neighbours(self.now_ms(), count)
    }

    /// Returns whether this daemon is one of the `count` watchers of its data centre.
    ///
    /// Watchers wait for changes in the object API on behalf of the other daemons. The serving
    /// daemons with the highest rendezvous weights are chosen.
    pub fn is_watcher(&self, count: usize) -> bool {
        let mut weights: Vec<(u64, DaemonName)> = self
            .serving_daemons()
            .into_iter()
            .filter(|info| info.data_centre == self.own.data_centre)
            .map(|info| (rendezvous::weight("watcher", info.daemon.as_str()), info.daemon))
            .collect();
        weights.sort_by(|a, b| b.cmp(a));
        weights.iter().take(count).any(|(_, name)| *name == self.own.daemon)
    }

    /// Returns a receiver that is notified when the set of live or suspected daemons changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Sends a notice to every live peer without waiting for delivery.
    pub fn broadcast(&self, notice: &Notice) {
        for peer in self.peers() {
            let links = Arc::clone(&self.links);
            let notice = notice.clone();
            tokio::spawn(async move {
                let _ = links.notify(&peer.info, notice).await;
            });
        }
    }

    /// Removes this daemon's lease; called last when the daemon stops.
    pub async fn remove_lease(&self) {
        for key in [self.lease_key(false), self.lease_key(true)] {
            if let Err(error) = self.delete_lease(&key).await {
                warn!("event=lease_not_removed daemon={} error=\"{error}\"", self.own.daemon);
            }
        }
    }

    /// Returns whether an owner, first seen at `seen_at_ms`, still runs.
    ///
    /// `owner` names an incarnation of a daemon, in the form that `own_owner_name` returns.
    pub fn owner_state(&self, owner: &str, seen_at_ms: wire::Millis) -> OwnerState {
        let Some((daemon, incarnation)) = owner.split_once('@') else {
            return OwnerState::Lost;
        };
        let daemon = DaemonName::from(daemon);
        self.membership().owner_state(self.now_ms(), seen_at_ms, &daemon, incarnation)
    }

    /// Waits until this daemon holds its lease and has listed all leases once.
    pub async fn wait_until_joined(&self) {
        let mut progress = self.join_progress.subscribe();
        // The wait cannot fail, since `self` keeps the sender alive.
        let _ = progress.wait_for(JoinProgress::is_complete).await;
    }

    /// Returns whether this daemon holds its lease and has listed all leases once.
    pub fn has_joined(&self) -> bool {
        self.join_progress.borrow().is_complete()
    }

    /// Returns the name under which this incarnation owns jobs: `NAME@INCARNATION`.
    pub fn own_owner_name(&self) -> DaemonName {
        DaemonName::from(format!("{}@{}", self.own.daemon, self.own.incarnation))
    }

    async fn delete_lease(&self, key: &str) -> Result<(), store::StoreError> {
        let Some(object) = self.store.get(CallClass::Lease, key).await? else {
            return Ok(());
        };
        self.store.delete(CallClass::Lease, key, object.version).await
    }

    /// Renews the lease until the daemon stops.
    ///
    /// A daemon that is leaving replaces its lease by one marked as leaving, and renews that one
    /// while it drains.
    async fn renew_lease(self: Arc<Self>) {
        let every_ms = self.services.settings.membership.renew_every_ms;
        let mut ticks = ticker(every_ms);
        let mut lease = LeaseState::default();
        loop {
            let was_leaving = lease.is_leaving;
            tokio::select! {
                () = self.services.stopped.cancelled() => return,
                () = self.services.leaving.cancelled(), if !was_leaving => {
                    self.broadcast(&Notice::Leaving(self.heartbeat()));
                    lease = LeaseState { is_leaving: true, ..lease };
                    self.write_lease(&mut lease).await;
                    let _ = self.delete_lease(&self.lease_key(false)).await;
                    continue;
                }
                _ = ticks.tick() => {}
            }
            self.write_lease(&mut lease).await;
        }
    }

    async fn write_lease(&self, lease: &mut LeaseState) {
        let key = self.lease_key(lease.is_leaving);
        if lease.is_leaving_key != lease.is_leaving {
            lease.is_leaving_key = lease.is_leaving;
            lease.version = Version::ABSENT;
        }
        let value = Bytes::from(serde_json::to_vec(&self.own).unwrap_or_default());
        let write_id = new_write_id();
        let put = self.store.put(CallClass::Lease, &key, value, lease.version, &write_id);
        match put.await {
            Ok(PutOutcome::Applied(applied)) => {
                lease.version = applied;
                self.join_progress.send_modify(|progress| progress.has_lease = true);
            }
            // A peer has removed the expired lease; the next renewal creates it again.
            Ok(PutOutcome::Conflict) => lease.version = self.lease_version(&key).await,
            Err(error) => {
                self.services.counters.count("lease_renewals_failed");
                warn!("event=lease_not_renewed daemon={} error=\"{error}\"", self.own.daemon);
            }
        }
    }

    fn lease_key(&self, is_leaving: bool) -> String {
        let key = lease_key(&self.own.daemon, &self.own.incarnation);
        if is_leaving { key + LEAVING_SUFFIX } else { key }
    }

    async fn lease_version(&self, key: &str) -> Version {
        match self.store.get(CallClass::Lease, key).await {
            Ok(Some(object)) => object.version,
            _ => Version::ABSENT,
        }
    }

    async fn list_leases(self: Arc<Self>) {
        let every_ms = self.services.settings.membership.list_every_ms;
        loop {
            let began_at_ms = self.now_ms();
            match self.store.list(CallClass::Lease, LEASE_PREFIX).await {
                Ok(listed) => {
                    let leases = parse_leases(&listed);
                    self.apply(Event::LeasesListed { began_at_ms, leases }).await;
                    self.join_progress.send_modify(|progress| progress.has_listed_leases = true);
                }
                Err(_) => self.services.counters.count("lease_lists_failed"),
            }
            let live = self.eligible_owners().len();
            self.store.set_live_daemons(live);
            self.services.counters.set_gauge("live_daemons", live as u64);
            let pause_ms = every_ms * (live as u64).div_ceil(MAX_DAEMONS_AT_FULL_LIST_RATE).max(1);
            tokio::select! {
                () = self.services.stopped.cancelled() => return,
                () = tokio::time::sleep(Duration::from_millis(pause_ms)) => {}
            }
        }
    }

    async fn probe_neighbours(self: Arc<Self>) {
        let settings = &self.services.settings.membership;
        let mut ticks = ticker(settings.heartbeat_every_ms);
        let wait = Duration::from_millis(settings.suspect_after_ms / 2);
        loop {
            tokio::select! {
                () = self.services.stopped.cancelled() => return,
                _ = ticks.tick() => {}
            }
            let unresponsive = self.peers().into_iter().filter(|peer| peer.has_missed_heartbeat);
            let mut targets: Vec<DaemonInfo> = unresponsive.map(|peer| peer.info).collect();
            targets.extend(self.neighbours());
            targets.sort_by(|a, b| a.daemon.cmp(&b.daemon));
            targets.dedup_by(|a, b| a.daemon == b.daemon);
            for peer in targets {
                tokio::spawn(Arc::clone(&self).probe(peer, wait));
            }
            self.apply(Event::Tick).await;
        }
    }

    async fn probe(self: Arc<Self>, peer: DaemonInfo, wait: Duration) {
        let ping = Request::Ping(self.heartbeat());
        let name = peer.daemon.clone();
        match self.links.call(&peer, ping, wait).await {
            Ok(Reply::Pong(heartbeat)) => {
                self.apply(Event::HeartbeatReceived { peer: name, heartbeat }).await;
            }
            _ => {
                self.links.abandon(&name).await;
                self.report_missed_heartbeat(&name);
                self.apply(Event::HeartbeatMissed { peer: name }).await;
            }
        }
    }

    /// Notifies all peers of a neighbour's first missed heartbeat, so that each probes it itself.
    fn report_missed_heartbeat(&self, name: &DaemonName) {
        let is_first_miss =
            self.peers().iter().any(|peer| peer.info.daemon == *name && !peer.has_missed_heartbeat);
        if is_first_miss {
            self.broadcast(&Notice::Doubt { daemon: name.clone() });
        }
    }

    async fn apply(self: &Arc<Self>, event: Event) {
        let actions = self.membership().step(self.now_ms(), event);
        for action in actions {
            match action {
                Action::ReadLease { daemon, incarnation } => {
                    tokio::spawn(Arc::clone(self).read_lease(daemon, incarnation));
                }
                Action::ViewChanged => self.on_view_changed(),
                Action::RemoveLease { daemon, incarnation, version } => {
                    info!("event=lease_removed daemon={daemon}");
                    let key = lease_key(&daemon, &incarnation);
                    for key in [key.clone(), key + LEAVING_SUFFIX] {
                        let _ = self.store.delete(CallClass::Lease, &key, version).await;
                    }
                }
            }
        }
    }

    async fn read_lease(self: Arc<Self>, daemon: DaemonName, incarnation: String) {
        let key = lease_key(&daemon, &incarnation);
        for key in [key.clone(), key + LEAVING_SUFFIX] {
            let stored = self.store.get_json::<DaemonInfo>(CallClass::Lease, &key).await;
            if let Ok(Some(stored)) = stored {
                return self.step(Event::LeaseRead(stored.value));
            }
        }
    }

    fn on_view_changed(&self) {
        self.cached_owners.store(Arc::default());
        let live = self.eligible_owners().len();
        info!("event=view_changed daemon={} live={live}", self.own.daemon);
        self.store.set_live_daemons(live);
        self.changes.send_modify(|count| *count += 1);
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            incarnation: self.own.incarnation.clone(),
            in_force: self.number_in_force.load(Ordering::Acquire),
            leaving: self.services.leaving.is_cancelled(),
        }
    }

    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> wire::Millis {
        self.services.clock.now_ms()
    }

    fn on_heartbeat(&self, peer: &DaemonName, heartbeat: Heartbeat) {
        self.step(Event::HeartbeatReceived { peer: peer.clone(), heartbeat });
    }

    /// Applies an event that causes no action but `ViewChanged`.
    fn step(&self, event: Event) {
        let actions = self.membership().step(self.now_ms(), event);
        if actions.contains(&Action::ViewChanged) {
            self.on_view_changed();
        }
    }
}

/// This daemon's lease as last written.
#[derive(Clone, Copy, Debug, Default)]
struct LeaseState {
    version: Version,
    is_leaving: bool,
    /// Whether `version` belongs to the key of the leaving lease.
    is_leaving_key: bool,
}

struct MembershipLinkHandler(Arc<MembershipService>);

#[async_trait]
impl LinkHandler for MembershipLinkHandler {
    async fn handle_call(&self, from: &DaemonName, request: &Request) -> Option<Reply> {
        let Request::Ping(heartbeat) = request else {
            return None;
        };
        self.0.on_heartbeat(from, heartbeat.clone());
        Some(Reply::Pong(self.0.heartbeat()))
    }

    fn handle_notice(&self, from: &DaemonName, notice: &Notice) {
        match notice {
            Notice::Leaving(heartbeat) => self.0.on_heartbeat(from, heartbeat.clone()),
            Notice::Doubt { daemon } => {
                self.0.step(Event::HeartbeatMissed { peer: daemon.clone() })
            }
            _ => {}
        }
    }
}

fn ticker(every_ms: wire::Millis) -> tokio::time::Interval {
    let mut ticks = interval(Duration::from_millis(every_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
