//! The bundle in force at this daemon, and the adapter that keeps it up to date.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use fleet::LinkHandler;
use fleet::Links;
use fleet::Members;
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
use crate::in_force::Event;
use crate::in_force::InForce;
use crate::roll::IN_FORCE_KEY;
use crate::roll::InForceObject;
use crate::roll::read_bundle;
use crate::schema::Bundle;
use crate::sign::SignedBundle;
use crate::sign::Trust;

/// How long one watch of the in-force object waits.
const WATCH_MS: wire::Millis = 5_000;
/// How long a peer may take to answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// How much more rarely daemons that do not watch read the in-force object.
const BACKSTOP_FACTOR: u64 = 5;

/// A checked bundle in force.
#[derive(Debug)]
pub struct Active {
    /// Its number and digest.
    pub pointer: Pointer,
    /// The document, parsed.
    pub bundle: Bundle,
    signed: SignedBundle,
}

/// Holds the bundle in force.
pub struct Holder {
    services: Arc<Services>,
    store: Arc<Store>,
    links: Arc<Links>,
    members: Arc<Members>,
    trust: Trust,
    core: Mutex<InForce>,
    active: ArcSwapOption<Active>,
    changes: watch::Sender<u64>,
}

impl Holder {
    /// Creates the holder; `spawn` starts its work.
    pub fn new(
        services: Arc<Services>,
        store: Arc<Store>,
        links: Arc<Links>,
        members: Arc<Members>,
        trust: Trust,
    ) -> Arc<Self> {
        Arc::new(Self {
            services,
            store,
            links,
            members,
            trust,
            core: Mutex::new(InForce::default()),
            active: ArcSwapOption::empty(),
            changes: watch::channel(0).0,
        })
    }

    /// Starts following the in-force object and the peers.
    pub fn spawn(self: &Arc<Self>) {
        self.links.add_handler(Arc::new(BundleHandler(Arc::clone(self))));
        tokio::spawn(Arc::clone(self).follow_store());
        tokio::spawn(Arc::clone(self).follow_peers());
    }

    /// Returns the bundle in force; a request keeps what it got to its end.
    pub fn active(&self) -> Option<Arc<Active>> {
        self.active.load_full()
    }

    /// Returns a receiver that is told the number of each bundle put in force.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the operators' keys.
    pub fn trust(&self) -> &Trust {
        &self.trust
    }

    /// Takes the word of the object API or a peer that a bundle was accepted.
    ///
    /// `peer` is asked for the bundle if the object API does not have it.
    pub async fn see(&self, pointer: Pointer, peer: Option<&DaemonInfo>) {
        let event = match peer {
            Some(_) => Event::SeenAtPeer(pointer),
            None => Event::SeenInStore(pointer),
        };
        self.take(event, peer).await;
    }

    async fn take(&self, event: Event, peer: Option<&DaemonInfo>) {
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

    /// Tells every peer of a roll that was accepted here.
    pub fn broadcast(&self, pointer: &Pointer) {
        self.members.broadcast(&Notice::InForce(pointer.clone()));
    }

    async fn fetch(&self, pointer: Pointer, peer: Option<&DaemonInfo>) {
        let signed = match read_bundle(&self.store, &pointer.digest).await {
            Ok(Some(signed)) => Some(signed),
            _ => self.fetch_from_peer(&pointer, peer).await,
        };
        let checked = signed.and_then(|signed| self.check(&pointer, signed));
        let Some(active) = checked else {
            self.services.counters.count("bundle_fetches_failed");
            warn!("event=bundle_not_fetched number={}", pointer.number);
            self.step(Event::FetchFailed(pointer));
            return;
        };
        self.put_in_force(pointer, active);
    }

    /// Applies a fetched bundle under the core's lock, so that the order of numbers holds.
    fn put_in_force(&self, pointer: Pointer, active: Active) {
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let mut active = Some(Arc::new(active));
        for action in core.step(Event::Fetched(pointer)) {
            match action {
                Action::Apply(pointer) => {
                    self.active.store(active.take());
                    self.members.set_in_force(pointer.number);
                    self.changes.send_replace(pointer.number);
                    self.services.counters.gauge("bundle_in_force", pointer.number);
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

    /// Watchers tell their data centre; the others tell their neighbours.
    fn announce(&self, pointer: &Pointer) {
        let own = self.members.own();
        let is_watcher = self.is_watcher();
        let peers = self.members.peers().into_iter().map(|peer| peer.info);
        let told: Vec<DaemonInfo> = if is_watcher {
            peers.filter(|info| info.data_centre == own.data_centre).collect()
        } else {
            self.members.neighbours()
        };
        for peer in told {
            let links = Arc::clone(&self.links);
            let notice = Notice::InForce(pointer.clone());
            tokio::spawn(async move {
                let _ = links.notify(&peer, notice).await;
            });
        }
    }

    fn check(&self, pointer: &Pointer, signed: SignedBundle) -> Option<Active> {
        if signed.digest() != pointer.digest {
            return None;
        }
        if let Err(error) = self.trust.verify(&signed) {
            self.services.counters.count("bundles_unsigned");
            error!("event=bundle_refused number={} error=\"{error}\"", pointer.number);
            return None;
        }
        let bundle = check::parse(&signed.document).ok()?;
        Some(Active { pointer: pointer.clone(), bundle, signed })
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
        let mut known = Version::ABSENT;
        loop {
            let wait_ms = if self.is_watcher() { WATCH_MS } else { 0 };
            let read = self.store.watch(CallClass::Bundle, IN_FORCE_KEY, known, wait_ms).await;
            let mut is_good = false;
            if !matches!(read, Ok(Some(_))) {
                self.take(Event::StoreSilent, None).await;
            }
            if let Ok(Some(object)) = &read
                && let Ok(value) = serde_json::from_slice::<InForceObject>(&object.value)
            {
                is_good = true;
                self.see(value.pointer, None).await;
                // A bundle that could not be fetched is looked for again.
                let is_applied = self.number() >= self.wanted_number(&object.value);
                known = if is_applied { object.version } else { Version::ABSENT };
            }
            let pause_ms = match (is_good, wait_ms > 0) {
                (true, true) => 0,
                (false, true) => settings.pointer_every_ms,
                (_, false) => settings.pointer_every_ms * BACKSTOP_FACTOR,
            };
            tokio::select! {
                () = self.services.stopped.cancelled() => return,
                () = tokio::time::sleep(Duration::from_millis(pause_ms.max(MIN_PAUSE_MS))) => {}
            }
        }
    }

    fn wanted_number(&self, value: &[u8]) -> u64 {
        serde_json::from_slice::<InForceObject>(value).map_or(0, |value| value.pointer.number)
    }

    /// Asks peers that are ahead, and the seeds while nothing is in force.
    async fn follow_peers(self: Arc<Self>) {
        let settings = &self.services.settings;
        let every = Duration::from_millis(settings.membership.pointer_every_ms);
        loop {
            let number = self.number();
            let ahead = self.members.peers().into_iter().find(|peer| peer.in_force > number);
            if let Some(peer) = ahead {
                self.ask(&peer.info).await;
            }
            if number == 0 {
                for seed in settings.links.seeds.iter().filter(|s| s.daemon != settings.daemon) {
                    let info = DaemonInfo {
                        daemon: seed.daemon.clone(),
                        links_address: seed.address,
                        ..self.members.own().clone()
                    };
                    self.ask(&info).await;
                }
            }
            tokio::select! {
                () = self.services.stopped.cancelled() => return,
                () = tokio::time::sleep(every) => {}
            }
        }
    }

    async fn ask(self: &Arc<Self>, peer: &DaemonInfo) {
        let reply = self.links.call(peer, Request::InForce, PEER_TIMEOUT).await;
        if let Ok(Reply::InForce(pointer)) = reply {
            self.see(pointer, Some(peer)).await;
        }
    }

    fn is_watcher(&self) -> bool {
        self.members.is_watcher(self.services.settings.membership.watchers_per_data_centre)
    }

    fn number(&self) -> u64 {
        self.active.load().as_ref().map_or(0, |active| active.pointer.number)
    }

    fn step(&self, event: Event) -> Vec<Action> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner).step(event)
    }
}

/// The shortest pause between two reads of the in-force object.
const MIN_PAUSE_MS: wire::Millis = 20;

struct BundleHandler(Arc<Holder>);

#[async_trait]
impl LinkHandler for BundleHandler {
    async fn call(&self, _from: &DaemonName, request: &Request) -> Option<Reply> {
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

    fn notice(&self, from: &DaemonName, notice: &Notice) {
        let Notice::InForce(pointer) = notice else {
            return;
        };
        let holder = Arc::clone(&self.0);
        let pointer = pointer.clone();
        let from = from.clone();
        tokio::spawn(async move {
            if let Some(peer) = holder.members.peer(&from) {
                holder.see(pointer, Some(&peer)).await;
            }
        });
    }
}
