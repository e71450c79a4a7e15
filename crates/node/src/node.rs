//! Start and stop of a daemon on the platform.

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use catalog::InForce;
use catalog::ReplicaSet;
use gate::Gate;
use jobs::Board;
use kernel::BootClock;
use kernel::Clock;
use kernel::Counters;
use kernel::KernelError;
use kernel::local_server;
use kernel::local_server::ConnectionLimits;
use kernel::local_server::LocalHandler;
use kernel::local_server::ServerLife;
use log::info;
use log::warn;
use peers::ControlClient;
use peers::Membership;
use peers::Transport;
use peers::heartbeat::Identity;
use peers::heartbeat::Readiness;
use platform::names::RETIREMENT_KIND;
use slots::Slots;
use store::Call;
use store::CallClass;
use store::ObjectClient;
use store::Reply;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use upstream::Pool;
use wire::Millis;
use wire::NodeSettings;

use crate::beats::Beats;
use crate::control::Control;
use crate::control::PeerRelay;
use crate::directory::Directory;
use crate::directory::ReadyCheck;
use crate::knowledge::Knowledge;
use crate::metrics::MetricsPage;
use crate::probe::StateProbe;
use crate::reload::Reload;
use crate::retirement;
use crate::watch;
use crate::watch::Watched;

/// The kind of the records by which daemons find each other.
const DAEMON_KIND: &str = "daemons";
/// The port of the metrics page.
pub const METRICS_PORT: u16 = 9464;
/// How long an idle connection to a replica is kept if it does not say.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// The longest wait for a connection to a replica; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The limits of connections before a configuration is known.
const FIRST_LIMITS: ConnectionLimits =
    ConnectionLimits { header_bytes: 16 << 10, idle: Duration::from_secs(15) };
/// How many times clients may keep an answer of the directory beyond its time.
const DIRECTORY_KEEPS: u64 = 3;
/// The part of the grace time that is kept for the last answers after clients have gone.
const LAST_ANSWERS: Duration = Duration::from_millis(1_500);
/// How often idle connections are looked through.
const SWEEP_EVERY: Duration = Duration::from_secs(2);
/// How often the settings file is looked at; it may change without a signal.
const LOOK_FOR_SETTINGS_EVERY: Duration = Duration::from_secs(2);
/// How often the counters are logged.
const SUMMARY_EVERY: Duration = Duration::from_secs(10);
/// How long the store is tried for the daemon's own record before the next pause.
const REGISTER_PATIENCE: Duration = Duration::from_secs(5);

/// Runs a daemon until SIGTERM has ended it.
pub fn run(settings: NodeSettings) -> Result<(), KernelError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| KernelError::File { path: "the runtime".to_owned(), source })?;
    LocalSet::new().block_on(&runtime, serve(settings))
}

/// A running daemon.
struct Node {
    settings: NodeSettings,
    membership: Rc<RefCell<Membership>>,
    gate: Rc<Gate>,
    board: Rc<Board>,
    ingress_life: Rc<ServerLife>,
}

async fn serve(settings: NodeSettings) -> Result<(), KernelError> {
    let signals = |source| KernelError::File { path: "signals".to_owned(), source };
    let terminate = signal(SignalKind::terminate()).map_err(signals)?;
    let hangup = signal(SignalKind::hangup()).map_err(signals)?;
    info!(
        "event=start daemon={} data_centre={} ingress={} directory={} storage={}",
        settings.daemon,
        settings.data_centre,
        settings.duties.ingress,
        settings.duties.directory,
        settings.duties.storage
    );
    let counters = Counters::new(None)
        .map_err(|source| KernelError::Bind { address: "metrics".to_owned(), source })?;
    let store = Rc::new(ObjectClient::new(
        Rc::new(platform::objects::Objects),
        settings.store.address,
        settings.store.writes_per_s,
        settings.store.reads_per_s,
        counters.clone(),
    ));
    serve_page(&settings, &counters);
    spawn_local(summarize(counters.clone()));
    let watched = store.clone();
    spawn_local(async move { watched.watch_reach(RETIREMENT_KIND).await });
    if settings.duties.ingress {
        let node = start(settings, counters, store.clone()).await?;
        let reload = Reload { store, membership: Some(node.membership.clone()) };
        wait_for_end(terminate, hangup, reload).await;
        node.leave().await;
    } else {
        spawn_local(retirement::serve(settings.daemon.clone(), store.clone()));
        wait_for_end(terminate, hangup, Reload { store, membership: None }).await;
    }
    info!("event=stop");
    Ok(())
}

async fn wait_for_end(mut terminate: Signal, mut hangup: Signal, reload: Reload) {
    let mut looks = tokio::time::interval(LOOK_FOR_SETTINGS_EVERY);
    let mut current = None;
    loop {
        let is_asked = tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => true,
            _ = looks.tick() => false,
        };
        reload.look(&mut current, is_asked);
    }
}

fn serve_page(settings: &NodeSettings, counters: &Counters) {
    let address = SocketAddr::new(settings.ip, METRICS_PORT);
    match local_server::listen(address) {
        Ok(listener) => {
            let page = Rc::new(MetricsPage { counters: counters.clone() });
            let life = Rc::new(ServerLife::new(FIRST_LIMITS));
            spawn_local(local_server::serve(listener, page, life));
        }
        Err(error) => warn!("event=metrics_not_served error=\"{error}\""),
    }
}

async fn start(
    settings: NodeSettings,
    counters: Counters,
    store: Rc<ObjectClient>,
) -> Result<Node, KernelError> {
    let clock = BootClock::start();
    let own = identity(&settings);
    let seeds: Vec<IpAddr> = settings.seeds.iter().map(SocketAddr::ip).collect();
    let membership = Rc::new(RefCell::new(Membership::new(own.clone(), seeds)));
    let transport = Transport::bind(
        settings.ip,
        settings.peer_port,
        own.name.clone(),
        own.incarnation,
        counters.clone(),
    );
    let transport = Rc::new(transport.await?);
    let replicas = Rc::new(RefCell::new(ReplicaSet::default()));
    let in_force = Rc::new(RefCell::new(InForce::default()));
    let slots = Slots::start(
        clock,
        counters.clone(),
        transport.clone(),
        membership.clone(),
        replicas.clone(),
    );
    let control = Rc::new(ControlClient::default());
    let relay = PeerRelay { membership: membership.clone(), control: control.clone() };
    store.set_relay(Rc::new(relay));
    let pool = Rc::new(Pool::new(MAX_IDLE, CONNECT_TIMEOUT));
    slots.set_probe(Rc::new(StateProbe { pool: pool.clone() }));
    let dialect = Rc::new(platform::ingress::Ingress);
    let board = Board::new(jobs::board::Parts {
        dialect: Rc::new(platform::jobs::Jobs),
        ingress: dialect.clone(),
        clock,
        counters: counters.clone(),
        in_force: in_force.clone(),
        slots: slots.clone(),
        pool: pool.clone(),
        store: store.clone(),
        membership: membership.clone(),
        control: control.clone(),
        max_object_bytes: settings.store.max_object_bytes,
        transport: transport.clone(),
        keep_jobs_ms: settings.bounds.job_status_ms,
    });
    let gate = Rc::new(Gate::new(
        dialect,
        clock,
        counters,
        in_force.clone(),
        slots.clone(),
        pool.clone(),
        board.clone(),
    ));
    let ingress_life = Rc::new(ServerLife::new(FIRST_LIMITS));
    let knowledge = Rc::new(Knowledge::new(
        clock,
        in_force,
        replicas,
        membership.clone(),
        slots.clone(),
        control.clone(),
        ingress_life.clone(),
    ));
    let beats = Rc::new(Beats {
        knowledge: knowledge.clone(),
        transport: transport.clone(),
        slots,
        board: board.clone(),
        store: store.clone(),
    });
    beats.listen();
    spawn_local(transport.clone().run());
    spawn_local(beats.clone().run());
    spawn_local(beats.clone().run_isolated());
    spawn_local(register(own, beats, store.clone()));
    for what in [Watched::Configuration, Watched::Replicas] {
        let (knowledge, store) = (knowledge.clone(), store.clone());
        spawn_local(watch::watch(what, knowledge, store, settings.is_first_start));
    }
    spawn_local(board.clone().run());
    spawn_local(board.clone().run_sweeps());
    if !settings.is_first_start {
        board.suspect_orphans();
    }
    spawn_local(sweep(pool, control));

    let steady = || Rc::new(ServerLife::new(FIRST_LIMITS));
    let listeners = &settings.listeners;
    let calls = Rc::new(Control { knowledge, board: board.clone(), store });
    open(listeners.control, calls, steady())?;
    let check = Rc::new(ReadyCheck { membership: membership.clone() });
    open(listeners.readiness, check, steady())?;
    let keep_ms = directory_keep_ms(&settings);
    let directory = Rc::new(Directory { membership: membership.clone(), keep_ms });
    open(listeners.directory, directory, steady())?;
    open(listeners.ingress, gate.clone(), ingress_life.clone())?;
    Ok(Node { settings, membership, gate, board, ingress_life })
}

fn open<H: LocalHandler>(
    address: Option<SocketAddr>,
    handler: Rc<H>,
    life: Rc<ServerLife>,
) -> Result<(), KernelError> {
    if let Some(address) = address {
        let listener = local_server::listen(address)?;
        spawn_local(local_server::serve(listener, handler, life));
    }
    Ok(())
}

fn identity(settings: &NodeSettings) -> Identity {
    Identity {
        name: settings.daemon.clone(),
        incarnation: Clock::unix_ms(),
        ip: settings.ip,
        data_centre: settings.data_centre.clone(),
        ingress: settings.listeners.ingress,
        control: settings.listeners.control,
        cpu_millis: (settings.cpu_share * 1000.0) as u32,
    }
}

/// Returns how long clients may keep an answer, so that a leaving daemon can outlast even those
/// that keep it too long.
fn directory_keep_ms(settings: &NodeSettings) -> Millis {
    let serving_ms =
        settings.bounds.stop_grace_ms.saturating_sub(LAST_ANSWERS.as_millis() as Millis);
    (serving_ms / DIRECTORY_KEEPS).clamp(500, settings.bounds.max_directory_ttl_ms.max(500))
}

/// Writes this daemon's record once and reads those of the others.
async fn register(own: Identity, beats: Rc<Beats>, store: Rc<ObjectClient>) {
    let value = match serde_json::to_vec(&own) {
        Ok(value) => value.into(),
        Err(error) => {
            warn!("event=daemon_not_registered error=\"{error}\"");
            return;
        }
    };
    let name = own.name.to_string();
    let create = Call::Create { kind: DAEMON_KIND, name: name.clone(), value };
    let Call::Create { value, .. } = &create else { return };
    let replace = Call::Replace { kind: DAEMON_KIND, name, revision: None, value: value.clone() };
    loop {
        let mut written = store.until(CallClass::Lease, &create, REGISTER_PATIENCE).await;
        if let Ok(Reply::Conflict(_)) = written {
            written = store.until(CallClass::Lease, &replace, REGISTER_PATIENCE).await;
        }
        match written {
            Ok(_) => break,
            Err(error) => warn!("event=daemon_not_registered error=\"{error}\""),
        }
    }
    let call = Call::Page { kind: DAEMON_KIND, after: String::new(), may_be_stale: false };
    match store.until(CallClass::Lease, &call, REGISTER_PATIENCE).await {
        Ok(Reply::Page(page)) => {
            let members: Vec<Identity> = page
                .objects
                .iter()
                .filter_map(|object| serde_json::from_slice(&object.value).ok())
                .collect();
            info!("event=daemons_read daemons={}", members.len());
            beats.told(members);
        }
        Ok(_) => warn!("event=daemons_not_read error=\"the answer is no page\""),
        Err(error) => warn!("event=daemons_not_read error=\"{error}\""),
    }
}

/// Logs the counters now and then, for those who have only the log.
async fn summarize(counters: Counters) {
    loop {
        sleep(SUMMARY_EVERY).await;
        info!("event=counters {}", counters.summary());
    }
}

/// Closes idle connections whose time is over.
async fn sweep(pool: Rc<Pool>, control: Rc<ControlClient>) {
    loop {
        sleep(SWEEP_EVERY).await;
        pool.sweep();
        control.sweep();
    }
}

impl Node {
    /// Stops gracefully: leaves the directory, serves those who still come, ends what runs.
    async fn leave(self) {
        info!("event=leaving daemon={} in_flight={}", self.settings.daemon, self.gate.in_flight());
        self.membership.borrow_mut().set_own_readiness(Readiness::Leaving);
        self.ingress_life.leaving.cancel();
        self.board.leave();
        self.gate.end_within(self.settings.bounds.stop_grace_ms);
        let grace = Duration::from_millis(self.settings.bounds.stop_grace_ms);
        sleep(grace.saturating_sub(LAST_ANSWERS)).await;
        self.ingress_life.closing.cancel();
        let pause = Duration::from_millis(20);
        let mut waited = Duration::ZERO;
        while waited + pause * 10 < LAST_ANSWERS && self.ingress_life.connections() > 0 {
            sleep(pause).await;
            waited += pause;
        }
        info!("event=left daemon={} in_flight={}", self.settings.daemon, self.gate.in_flight());
    }
}
