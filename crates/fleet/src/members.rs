//! The adapter round the membership core: leases, lists and heartbeats.

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
use store::PutEnd;
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

use crate::lease::LEASES;
use crate::lease::LEAVING_SUFFIX;
use crate::lease::lease_key;
use crate::lease::leases;
use crate::links::LinkHandler;
use crate::links::Links;
use crate::membership::Action;
use crate::membership::DaemonInfo;
use crate::membership::Event;
use crate::membership::MemberStatus;
use crate::membership::Membership;
use crate::membership::OwnerState;

/// How long the list of owners is used; every request asks for it.
const OWNERS_LIFE_MS: wire::Millis = 50;
/// The fleet size up to which every daemon lists leases at the full rate.
const LIST_AT_FULL_RATE: u64 = 16;

/// Who is live, as the rest of the daemon asks it.
pub struct Members {
    services: Arc<Services>,
    store: Arc<Store>,
    links: Arc<Links>,
    own: DaemonInfo,
    core: Mutex<Membership>,
    in_force: AtomicU64,
    owners: ArcSwap<Owners>,
    changes: watch::Sender<u64>,
    joined: watch::Sender<Joined>,
}

/// What a daemon needs before it may take over anything.
#[derive(Clone, Copy, Debug, Default)]
struct Joined {
    has_lease: bool,
    has_listed: bool,
}

impl Joined {
    fn is_whole(&self) -> bool {
        self.has_lease && self.has_listed
    }
}

/// The daemons among which ownership is decided, as of a moment ago.
#[derive(Debug, Default)]
struct Owners {
    made_at_ms: wire::Millis,
    is_leaving: bool,
    names: Arc<Vec<DaemonName>>,
}

impl Members {
    /// Creates the adapter; `spawn` starts its work.
    pub fn new(
        services: Arc<Services>,
        store: Arc<Store>,
        links: Arc<Links>,
        own: DaemonInfo,
        core: Membership,
    ) -> Arc<Self> {
        Arc::new(Self {
            services,
            store,
            links,
            own,
            core: Mutex::new(core),
            in_force: AtomicU64::new(0),
            owners: ArcSwap::default(),
            changes: watch::channel(0).0,
            joined: watch::channel(Joined::default()).0,
        })
    }

    /// Starts renewing the lease, listing the others' and probing neighbours.
    pub fn spawn(self: &Arc<Self>) {
        self.links.add_handler(Arc::new(PingHandler(Arc::clone(self))));
        tokio::spawn(Arc::clone(self).renew_lease());
        tokio::spawn(Arc::clone(self).list_leases());
        tokio::spawn(Arc::clone(self).probe_neighbours());
    }

    /// Returns this daemon's own entry.
    pub fn own(&self) -> &DaemonInfo {
        &self.own
    }

    /// Sets the number in force that heartbeats tell.
    pub fn set_in_force(&self, number: u64) {
        self.in_force.store(number, Ordering::Release);
    }

    /// Returns the other live daemons.
    pub fn peers(&self) -> Vec<MemberStatus> {
        self.core().peers(self.now_ms())
    }

    /// Finds a live peer by name.
    pub fn peer(&self, name: &DaemonName) -> Option<DaemonInfo> {
        self.core().peer(self.now_ms(), name)
    }

    /// Returns the owner of a key among the daemons that are live and stay.
    pub fn owner_of(&self, key: &str) -> Option<DaemonName> {
        rendezvous::owner(key, &*self.owners()).cloned()
    }

    /// Returns the daemons among which ownership is decided.
    pub fn owners(&self) -> Arc<Vec<DaemonName>> {
        let now_ms = self.now_ms();
        let is_leaving = self.services.leaving.is_cancelled();
        let known = self.owners.load_full();
        let is_fresh = now_ms < known.made_at_ms + OWNERS_LIFE_MS;
        if is_fresh && known.is_leaving == is_leaving && !known.names.is_empty() {
            return Arc::clone(&known.names);
        }
        let names = Arc::new(self.core().owners(now_ms, is_leaving));
        let owners = Owners { made_at_ms: now_ms, is_leaving, names: Arc::clone(&names) };
        self.owners.store(Arc::new(owners));
        names
    }

    /// Returns the daemons that callers should use.
    pub fn serving(&self) -> Vec<DaemonInfo> {
        let peers = self.peers().into_iter().filter(|peer| !peer.suspect && !peer.leaving);
        let own = (!self.services.leaving.is_cancelled()).then(|| self.own.clone());
        peers.map(|peer| peer.info).chain(own).collect()
    }

    /// Returns the daemons that this one probes.
    pub fn neighbours(&self) -> Vec<DaemonInfo> {
        let count = self.services.settings.membership.neighbours;
        self.core().neighbours(self.now_ms(), count)
    }

    /// Returns whether this daemon is among the first `count` of its data centre.
    pub fn is_watcher(&self, count: usize) -> bool {
        let mut weights: Vec<(u64, DaemonName)> = self
            .serving()
            .into_iter()
            .filter(|info| info.data_centre == self.own.data_centre)
            .map(|info| (rendezvous::weight("watcher", info.daemon.as_str()), info.daemon))
            .collect();
        weights.sort_by(|a, b| b.cmp(a));
        weights.iter().take(count).any(|(_, name)| *name == self.own.daemon)
    }

    /// Returns a receiver that is told when the view of the fleet changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Sends a notice to every live peer without waiting for any.
    pub fn broadcast(&self, notice: &Notice) {
        for peer in self.peers() {
            let links = Arc::clone(&self.links);
            let notice = notice.clone();
            tokio::spawn(async move {
                let _ = links.notify(&peer.info, notice).await;
            });
        }
    }

    /// Removes the lease, after everything has ended here.
    pub async fn remove_lease(&self) {
        for key in [self.lease_key(false), self.lease_key(true)] {
            if let Err(error) = self.delete_lease(&key).await {
                warn!("event=lease_not_removed daemon={} error=\"{error}\"", self.own.daemon);
            }
        }
    }

    /// Returns whether a start of a daemon, named as `own_owner` does and first seen as an owner
    /// at `seen_at_ms`, still runs.
    pub fn owner_state(&self, owner: &str, seen_at_ms: wire::Millis) -> OwnerState {
        let Some((daemon, incarnation)) = owner.split_once('@') else {
            return OwnerState::Lost;
        };
        let daemon = DaemonName::from(daemon);
        self.core().owner_state(self.now_ms(), seen_at_ms, &daemon, incarnation)
    }

    /// Waits until this daemon's own lease is there and the others' were listed once.
    pub async fn joined(&self) {
        let mut joined = self.joined.subscribe();
        // The sender lives as long as `self`.
        let _ = joined.wait_for(Joined::is_whole).await;
    }

    /// Returns whether `joined` would return at once.
    pub fn has_joined(&self) -> bool {
        self.joined.borrow().is_whole()
    }

    /// Returns this start of the daemon as an owner of jobs: `NAME@INCARNATION`.
    pub fn own_owner(&self) -> DaemonName {
        DaemonName::from(format!("{}@{}", self.own.daemon, self.own.incarnation))
    }

    async fn delete_lease(&self, key: &str) -> Result<(), store::StoreError> {
        let Some(object) = self.store.get(CallClass::Lease, key).await? else {
            return Ok(());
        };
        self.store.delete(CallClass::Lease, key, object.version).await
    }

    /// Renews the lease; a leaving daemon keeps one that says so until it has drained.
    async fn renew_lease(self: Arc<Self>) {
        let every_ms = self.services.settings.membership.renew_every_ms;
        let mut ticks = ticker(every_ms);
        let mut lease = Renewal::default();
        loop {
            let has_left = lease.is_leaving;
            tokio::select! {
                () = self.services.stopped.cancelled() => return,
                () = self.services.leaving.cancelled(), if !has_left => {
                    self.broadcast(&Notice::Leaving(self.heartbeat()));
                    lease = Renewal { is_leaving: true, ..lease };
                    self.renew_once(&mut lease).await;
                    let _ = self.delete_lease(&self.lease_key(false)).await;
                    continue;
                }
                _ = ticks.tick() => {}
            }
            self.renew_once(&mut lease).await;
        }
    }

    async fn renew_once(&self, lease: &mut Renewal) {
        let key = self.lease_key(lease.is_leaving);
        if lease.key_is_leaving != lease.is_leaving {
            lease.key_is_leaving = lease.is_leaving;
            lease.version = Version::ABSENT;
        }
        let value = Bytes::from(serde_json::to_vec(&self.own).unwrap_or_default());
        let write_id = new_write_id();
        let put = self.store.put(CallClass::Lease, &key, value, lease.version, &write_id);
        match put.await {
            Ok(PutEnd::Applied(applied)) => {
                lease.version = applied;
                self.joined.send_modify(|joined| joined.has_lease = true);
            }
            // A peer has removed the lapsed lease; the next turn creates it anew.
            Ok(PutEnd::Conflict) => lease.version = self.lease_version(&key).await,
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
            match self.store.list(CallClass::Lease, LEASES).await {
                Ok(listed) => {
                    let leases = leases(&listed);
                    self.apply(Event::Listed { began_at_ms, leases }).await;
                    self.joined.send_modify(|joined| joined.has_listed = true);
                }
                Err(_) => self.services.counters.count("lease_lists_failed"),
            }
            let live = self.owners().len();
            self.store.set_live_daemons(live);
            self.services.counters.gauge("live_daemons", live as u64);
            let pause_ms = every_ms * (live as u64).div_ceil(LIST_AT_FULL_RATE).max(1);
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
            let doubted = self.peers().into_iter().filter(|peer| peer.doubted);
            let mut probed: Vec<DaemonInfo> = doubted.map(|peer| peer.info).collect();
            probed.extend(self.neighbours());
            probed.sort_by(|a, b| a.daemon.cmp(&b.daemon));
            probed.dedup_by(|a, b| a.daemon == b.daemon);
            for peer in probed {
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
                self.apply(Event::Heard { peer: name, heartbeat }).await;
            }
            _ => {
                self.links.abandon(&name).await;
                self.doubt(&name);
                self.apply(Event::Missed { peer: name }).await;
            }
        }
    }

    /// Tells the peers of a neighbour's first missed heartbeat, so that each probes it itself.
    fn doubt(&self, name: &DaemonName) {
        let is_news = self.peers().iter().any(|peer| peer.info.daemon == *name && !peer.doubted);
        if is_news {
            self.broadcast(&Notice::Doubt { daemon: name.clone() });
        }
    }

    async fn apply(self: &Arc<Self>, event: Event) {
        let actions = self.core().step(self.now_ms(), event);
        for action in actions {
            match action {
                Action::ReadInfo { daemon, incarnation } => {
                    tokio::spawn(Arc::clone(self).read_info(daemon, incarnation));
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

    async fn read_info(self: Arc<Self>, daemon: DaemonName, incarnation: String) {
        let key = lease_key(&daemon, &incarnation);
        for key in [key.clone(), key + LEAVING_SUFFIX] {
            let stored = self.store.get_json::<DaemonInfo>(CallClass::Lease, &key).await;
            if let Ok(Some(stored)) = stored {
                return self.step(Event::InfoRead(stored.value));
            }
        }
    }

    fn on_view_changed(&self) {
        self.owners.store(Arc::default());
        let live = self.owners().len();
        info!("event=view_changed daemon={} live={live}", self.own.daemon);
        self.store.set_live_daemons(live);
        self.changes.send_modify(|count| *count += 1);
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            incarnation: self.own.incarnation.clone(),
            in_force: self.in_force.load(Ordering::Acquire),
            leaving: self.services.leaving.is_cancelled(),
        }
    }

    fn core(&self) -> MutexGuard<'_, Membership> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> wire::Millis {
        self.services.clock.now_ms()
    }

    fn heard(&self, peer: &DaemonName, heartbeat: Heartbeat) {
        self.step(Event::Heard { peer: peer.clone(), heartbeat });
    }

    /// Applies an event that can have no other effect than a changed view.
    fn step(&self, event: Event) {
        let actions = self.core().step(self.now_ms(), event);
        if actions.contains(&Action::ViewChanged) {
            self.on_view_changed();
        }
    }
}

/// The lease as it was renewed last.
#[derive(Clone, Copy, Debug, Default)]
struct Renewal {
    version: Version,
    is_leaving: bool,
    key_is_leaving: bool,
}

struct PingHandler(Arc<Members>);

#[async_trait]
impl LinkHandler for PingHandler {
    async fn call(&self, from: &DaemonName, request: &Request) -> Option<Reply> {
        let Request::Ping(heartbeat) = request else {
            return None;
        };
        self.0.heard(from, heartbeat.clone());
        Some(Reply::Pong(self.0.heartbeat()))
    }

    fn notice(&self, from: &DaemonName, notice: &Notice) {
        match notice {
            Notice::Leaving(heartbeat) => self.0.heard(from, heartbeat.clone()),
            Notice::Doubt { daemon } => self.0.step(Event::Missed { peer: daemon.clone() }),
            _ => {}
        }
    }
}

fn ticker(every_ms: wire::Millis) -> tokio::time::Interval {
    let mut ticks = interval(Duration::from_millis(every_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
