//! The service that keeps the bundle in force at this daemon up to date.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use fleet::LinkHandler;
use fleet::Links;
use fleet::MembershipService;
use fleet::membership::DaemonInfo;
use kernel::Services;
use log::error;
use log::info;
use log::warn;
use store::CallClass;
use store::Store;
use tokio::sync::watch;
use wire::DaemonName;
use wire::Version;
use wire::link::Notice;
use wire::link::Pointer;
use wire::link::Reply;
use wire::link::Request;

use crate::check;
use crate::in_force::Action;
use crate::in_force::BundleInForce;
use crate::in_force::Event;
use crate::roll::IN_FORCE_KEY;
use crate::roll::InForceObject;
use crate::roll::read_bundle;
use crate::schema::Bundle;
use crate::sign::SignedBundle;
use crate::sign::TrustedOperators;

/// How long a watcher's read of the in-force object waits for a change.
const WATCH_TIMEOUT_MS: wire::Millis = 5_000;
/// The time limit for a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// The factor by which daemons that are not watchers poll the in-force object less often.
const NON_WATCHER_POLL_FACTOR: u64 = 5;

/// The bundle in force, after verification.
#[derive(Debug)]
pub struct ActiveBundle {
    /// The number and digest of the bundle.
    pub pointer: Pointer,
    /// The parsed document.
    pub bundle: Bundle,
    signed: SignedBundle,
}

/// Keeps the bundle in force and exchanges newer bundles with the object API and peers.
pub struct BundleManager {
    services: Arc<Services>,
    store: Arc<Store>,
    links: Arc<Links>,
    members: Arc<MembershipService>,
    trusted_operators: TrustedOperators,
    in_force: Mutex<BundleInForce>,
    active: ArcSwapOption<ActiveBundle>,
    changes: watch::Sender<u64>,
}

impl BundleManager {
    /// Creates the manager; `spawn` starts its tasks.
    pub fn new(
        services: Arc<Services>,
        store: Arc<Store>,
        links: Arc<Links>,
        members: Arc<MembershipService>,
        trusted_operators: TrustedOperators,
    ) -> Arc<Self> {
        Arc::new(Self {
            services,
            store,
            links,
            members,
            trusted_operators,
            in_force: Mutex::new(BundleInForce::default()),
            active: ArcSwapOption::empty(),
            changes: watch::channel(0).0,
        })
    }

    /// Starts the tasks that follow the in-force object and the peers.
    pub fn spawn(self: &Arc<Self>) {
        self.links.add_handler(Arc::new(BundleLinkHandler(Arc::clone(self))));
        tokio::spawn(Arc::clone(self).follow_store());
        tokio::spawn(Arc::clone(self).follow_peers());
    }

    /// Returns the bundle in force; a request uses the same bundle until it ends.
    pub fn active(&self) -> Option<Arc<ActiveBundle>> {
        self.active.load_full()
    }

    /// Returns a receiver of the number of each bundle that is put in force.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the operators that are trusted to sign bundles.
    pub fn trusted_operators(&self) -> &TrustedOperators {
        &self.trusted_operators
    }

    /// Handles a pointer to an accepted bundle from the object API (`None`) or from `peer`.
    ///
    /// The bundle is requested from `peer` if it cannot be read from the object API.
    pub async fn handle_pointer(&self, pointer: Pointer, peer: Option<&DaemonInfo>) {
        let event = match peer {
            Some(_) => Event::PointerFromPeer(pointer),
            None => Event::PointerFromStore(pointer),
        };
        self.handle_event(event, peer).await;
    }

    async fn handle_event(&self, event: Event, peer: Option<&DaemonInfo>) {
        for action in self.step(event) {
            match action {
                Action::Fetch(pointer) => self.fetch(pointer, peer).await,
                Action::ReportConflict(pointer) => {
                    self.services.counters.count("bundle_conflicts");
                    error!("event=bundle_conflict number={}", pointer.number);
                }
                Action::Apply(_) | Action::Announce(_) => {}
            }
        }
    }

    /// Notifies every peer of a roll that this daemon accepted.
    pub fn broadcast(&self, pointer: &Pointer) {
        self.members.broadcast(&Notice::InForce(pointer.clone()));
    }

    async fn fetch(&self, pointer: Pointer, peer: Option<&DaemonInfo>) {
        let signed = match read_bundle(&self.store, &pointer.digest).await {
            Ok(Some(signed)) => Some(signed),
            _ => self.fetch_from_peer(&pointer, peer).await,
        };
        let verified = signed.and_then(|signed| self.verify(&pointer, signed));
        let Some(active) = verified else {
            self.services.counters.count("bundle_fetches_failed");
            warn!("event=bundle_not_fetched number={}", pointer.number);
            self.step(Event::FetchFailed(pointer));
            return;
        };
        self.put_in_force(pointer, active);
    }

    /// Puts a fetched bundle in force.
    ///
    /// The lock is held until the bundle is applied, so that a concurrent fetch cannot put an older
    /// bundle in force after a newer one.
    fn put_in_force(&self, pointer: Pointer, active: ActiveBundle) {
        let mut in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        let mut active = Some(Arc::new(active));
        for action in in_force.step(Event::Fetched(pointer)) {
            match action {
                Action::Apply(pointer) => {
                    self.active.store(active.take());
                    self.members.set_number_in_force(pointer.number);
                    self.changes.send_replace(pointer.number);
                    self.services.counters.set_gauge("bundle_in_force", pointer.number);
                    info!(
                        "event=bundle_in_force daemon={} number={}",
                        self.services.settings.daemon, pointer.number
                    );
                }
                Action::Announce(pointer) => self.announce(&pointer),
                Action::Fetch(_) | Action::ReportConflict(_) => {}
            }
        }
    }

    /// Notifies peers of the bundle in force.
    ///
    /// A watcher notifies all peers in its data centre, any other daemon its neighbours.
    fn announce(&self, pointer: &Pointer) {
        let own = self.members.own();
        let is_watcher = self.is_watcher();
        let peers = self.members.peers().into_iter().map(|peer| peer.info);
        let recipients: Vec<DaemonInfo> = if is_watcher {
            peers.filter(|info| info.data_centre == own.data_centre).collect()
        } else {
            self.members.neighbours()
        };
        for peer in recipients {
            let links = Arc::clone(&self.links);
            let notice = Notice::InForce(pointer.clone());
            tokio::spawn(async move {
                let _ = links.notify(&peer, notice).await;
            });
        }
    }

    fn verify(&self, pointer: &Pointer, signed: SignedBundle) -> Option<ActiveBundle> {
        if signed.digest() != pointer.digest {
            return None;
        }
        if let Err(error) = self.trusted_operators.verify(&signed) {
            self.services.counters.count("bundles_unsigned");
            error!("event=bundle_refused number={} error=\"{error}\"", pointer.number);
            return None;
        }
        let bundle = check::parse(&signed.document).ok()?;
        Some(ActiveBundle { pointer: pointer.clone(), bundle, signed })
    }

    async fn fetch_from_peer(
        &self,
        pointer: &Pointer,
        peer: Option<&DaemonInfo>,
    ) -> Option<SignedBundle> {
        let request = Request::Bundle { digest: pointer.digest.clone() };
        let reply = self.links.call(peer?, request, PEER_TIMEOUT).await.ok()?;
        let Reply::Bundle(Some(json)) = reply else {
            return None;
        };
        serde_json::from_str(&json).ok()
    }

    async fn follow_store(self: Arc<Self>) {
        let settings = &self.services.settings.membership;
        let mut known_version = Version::ABSENT;
        loop {
            let wait_ms = if self.is_watcher() { WATCH_TIMEOUT_MS } else { 0 };
            let read =
                self.store.watch(CallClass::Bundle, IN_FORCE_KEY, known_version, wait_ms).await;
            let mut is_read = false;
            if !matches!(read, Ok(Some(_))) {
                self.handle_event(Event::NoPointerFromStore, None).await;
            }
            if let Ok(Some(object)) = &read
                && let Ok(value) = serde_json::from_slice::<InForceObject>(&object.value)
            {
                is_read = true;
                self.handle_pointer(value.pointer, None).await;
                // Without a known version the next read returns at once and retries a failed fetch.
                let is_applied = self.number_in_force() >= self.number_in_object(&object.value);
                known_version = if is_applied { object.version } else { Version::ABSENT };
            }
            let pause_ms = match (is_read, wait_ms > 0) {
                (true, true) => 0,
                (false, true) => settings.pointer_every_ms,
                (_, false) => settings.pointer_every_ms * NON_WATCHER_POLL_FACTOR,
            };
            tokio::select! {
                () = self.services.stopped.cancelled() => return,
                () = tokio::time::sleep(Duration::from_millis(pause_ms.max(MIN_PAUSE_MS))) => {}
            }
        }
    }

    fn number_in_object(&self, value: &[u8]) -> u64 {
        serde_json::from_slice::<InForceObject>(value).map_or(0, |value| value.pointer.number)
    }

    /// Polls a peer that has a newer bundle in force, and the seeds while there is none here.
    async fn follow_peers(self: Arc<Self>) {
        let settings = &self.services.settings;
        let every = Duration::from_millis(settings.membership.pointer_every_ms);
        loop {
            let number = self.number_in_force();
            let newer_peer = self.members.peers().into_iter().find(|peer| peer.in_force > number);
            if let Some(peer) = newer_peer {
                self.poll_peer(&peer.info).await;
            }
            if number == 0 {
                for seed in settings.links.seeds.iter().filter(|s| s.daemon != settings.daemon) {
                    let info = DaemonInfo {
                        daemon: seed.daemon.clone(),
                        links_address: seed.address,
                        ..self.members.own().clone()
                    };
                    self.poll_peer(&info).await;
                }
            }
            tokio::select! {
                () = self.services.stopped.cancelled() => return,
                () = tokio::time::sleep(every) => {}
            }
        }
    }

    async fn poll_peer(self: &Arc<Self>, peer: &DaemonInfo) {
        let reply = self.links.call(peer, Request::InForce, PEER_TIMEOUT).await;
        if let Ok(Reply::InForce(pointer)) = reply {
            self.handle_pointer(pointer, Some(peer)).await;
        }
    }

    fn is_watcher(&self) -> bool {
        self.members.is_watcher(self.services.settings.membership.watchers_per_data_centre)
    }

    fn number_in_force(&self) -> u64 {
        self.active.load().as_ref().map_or(0, |active| active.pointer.number)
    }

    fn step(&self, event: Event) -> Vec<Action> {
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner).step(event)
    }
}

/// The shortest pause between two reads of the in-force object.
const MIN_PAUSE_MS: wire::Millis = 20;

struct BundleLinkHandler(Arc<BundleManager>);

#[async_trait]
impl LinkHandler for BundleLinkHandler {
    async fn handle_call(&self, _from: &DaemonName, request: &Request) -> Option<Reply> {
        let active = self.0.active();
        match request {
            Request::InForce => {
                let pointer = active.map(|active| active.pointer.clone()).unwrap_or_default();
                Some(Reply::InForce(pointer))
            }
            Request::Bundle { digest } => {
                let known = active.filter(|active| active.pointer.digest == *digest);
                let json = known.and_then(|active| serde_json::to_string(&active.signed).ok());
                Some(Reply::Bundle(json))
            }
            _ => None,
        }
    }

    fn handle_notice(&self, from: &DaemonName, notice: &Notice) {
        let Notice::InForce(pointer) = notice else {
            return;
        };
        let manager = Arc::clone(&self.0);
        let pointer = pointer.clone();
        let from = from.clone();
        tokio::spawn(async move {
            if let Some(peer) = manager.members.peer(&from) {
                manager.handle_pointer(pointer, Some(&peer)).await;
            }
        });
    }
}
