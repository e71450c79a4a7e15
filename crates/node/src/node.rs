//! Startup and shutdown of a daemon on the platform.

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use budget::Budget;
use budget::Kind;
use budget::Limits;
use budget::limits::MIN_MEMORY_MB;
use catalog::ConfigurationInForce;
use catalog::ReplicaSet;
use gate::CrashGuard;
use gate::Gateway;
use jobs::JobManager;
use kernel::BootClock;
use kernel::Clock;
use kernel::Counters;
use kernel::KernelError;
use kernel::local_server;
use kernel::local_server::ConnectionBound;
use kernel::local_server::ConnectionLimits;
use kernel::local_server::LocalHandler;
use kernel::local_server::ServerLifecycle;
use log::info;
use log::warn;
use peers::ControlClient;
use peers::Membership;
use peers::Transport;
use peers::heartbeat::Identity;
use peers::heartbeat::Readiness;
use platform::names::RETIREMENT_KIND;
use quota::QuotaSettings;
use quota::Quotas;
use slots::Slots;
use store::Call;
use store::CallClass;
use store::ObjectClient;
use store::Reply;
use store::call::StoredObject;
use store::logged_versions::excerpt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use upstream::ConnectionPool;
use wire::Millis;
use wire::NodeSettings;

use crate::connection_bounds::ConnectionBounds;
use crate::control::ControlServer;
use crate::control::PeerRelay;
use crate::directory::Directory;
use crate::directory::ReadyCheck;
use crate::heartbeats::HeartbeatService;
use crate::metrics;
use crate::metrics::MetricsPage;
use crate::peer_calls::PeerCalls;
use crate::platform_state::PlatformState;
use crate::probe::StateProbe;
use crate::quarantine_delegates::QuarantineDelegates;
use crate::reload::SettingsReloader;
use crate::retirement;
use crate::watch;
use crate::watch::Watched;

/// The kind of the store records by which daemons find each other.
const DAEMON_KIND: &str = "daemons";
/// The port of the metrics page.
pub const METRICS_PORT: u16 = 9464;
/// How long an idle connection to a replica is kept open if the replica does not set a time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The timeout of a connect to a replica; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The connection limits until a configuration is in force.
const INITIAL_LIMITS: ConnectionLimits = ConnectionLimits {
    header_bytes: 16 << 10,
    idle: Duration::from_secs(15),
    head: Duration::from_secs(3),
};
/// By which factor clients may exceed the time for which they may cache a directory answer.
const DIRECTORY_OVERRUN_FACTOR: u64 = 3;
/// The last part of the grace period, in which no connections are accepted and running requests
/// get their final answers.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(1_500);
/// The end of the grace period, before which the last requests are answered and the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// The time for which the last answers are sent before the process exits.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// The time between two checks whether clients' connections are open during a stop.
const CONNECTIONS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);
/// The time between two checks of the settings file, which may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// The time between two log lines with the counters.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);
/// How long a store call for the daemon's registration is retried before it counts as failed.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a daemon until it has shut down after SIGTERM.
pub fn run(settings: NodeSettings) -> Result<(), KernelError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| KernelError::Start { what: "the async runtime".to_owned(), source })?;
    LocalSet::new().block_on(&runtime, serve(settings))
}

/// The components of a running daemon that its shutdown needs.
struct Node {
    settings: NodeSettings,
    membership: Rc<RefCell<Membership>>,
    gateway: Rc<Gateway>,
    job_manager: Rc<JobManager>,
    ingress_lifecycle: Rc<ServerLifecycle>,
}

async fn serve(settings: NodeSettings) -> Result<(), KernelError> {
    let signals = |source| KernelError::Start { what: "the signal handlers".to_owned(), source };
    let terminate = signal(SignalKind::terminate()).map_err(signals)?;
    let hangup = signal(SignalKind::hangup()).map_err(signals)?;
    info!(
        "event=start daemon={} data_centre={} ingress={} directory={} storage={}",
        settings.daemon,
        settings.data_centre,
        settings.roles.ingress,
        settings.roles.directory,
        settings.roles.storage
    );
    let counters = Counters::new(None)
        .map_err(|source| KernelError::Start { what: "the counters".to_owned(), source })?;
    let budget = Budget::new(budget_limits(&settings));
    let store = ObjectClient::new(
        Rc::new(platform::objects::PlatformObjectCodec),
        settings.store.address,
        settings.store.writes_per_s,
        settings.store.reads_per_s,
        counters.clone(),
    );
    let store = Rc::new(store.with_budget(budget.clone()));
    serve_metrics(&settings, &counters, &budget);
    spawn_local(log_counters(counters.clone(), budget.clone()));
    let probed_store = store.clone();
    spawn_local(async move { probed_store.watch_reachability(RETIREMENT_KIND).await });
    if settings.roles.ingress {
        let node = start(settings, counters, store.clone(), budget).await?;
        let reloader = SettingsReloader { store, membership: Some(node.membership.clone()) };
        wait_for_sigterm(terminate, hangup, reloader).await;
        node.shut_down().await;
    } else {
        spawn_local(retirement::serve(settings.daemon.clone(), store.clone()));
        wait_for_sigterm(terminate, hangup, SettingsReloader { store, membership: None }).await;
    }
    info!("event=stop");
    Ok(())
}

async fn wait_for_sigterm(mut terminate: Signal, mut hangup: Signal, reloader: SettingsReloader) {
    let mut checks = tokio::time::interval(SETTINGS_CHECK_INTERVAL);
    let mut current = None;
    loop {
        let is_requested = tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => true,
            _ = checks.tick() => false,
        };
        reloader.reload(&mut current, is_requested);
    }
}

fn serve_metrics(settings: &NodeSettings, counters: &Counters, budget: &Arc<Budget>) {
    let address = SocketAddr::new(settings.ip, METRICS_PORT);
    match local_server::listen(address) {
        Ok(listener) => {
            let page = Rc::new(MetricsPage { counters: counters.clone(), budget: budget.clone() });
            let bounds = ConnectionBounds::for_host(settings.max_descriptors, settings.memory_mb);
            let lifecycle = bounded_lifecycle("metrics", bounds.metrics, counters);
            spawn_local(local_server::serve(listener, page, lifecycle));
        }
        Err(error) => warn!("event=metrics_not_served error=\"{error}\""),
    }
}

async fn start(
    settings: NodeSettings,
    counters: Counters,
    store: Rc<ObjectClient>,
    budget: Arc<Budget>,
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
    let in_force = Rc::new(RefCell::new(ConfigurationInForce::default()));
    let slots = Slots::start(
        clock,
        counters.clone(),
        transport.clone(),
        membership.clone(),
        replicas.clone(),
    );
    let control = Rc::new(ControlClient::with_budget(budget.clone()));
    slots.set_replicas_may_degrade(settings.replicas_may_degrade);
    slots.set_refuses_early(settings.refuses_early);
    let relay = PeerRelay { membership: membership.clone(), control: control.clone() };
    store.set_relay(Rc::new(relay));
    let pool = ConnectionPool::with_budget(
        IDLE_TIMEOUT,
        CONNECT_TIMEOUT,
        budget.clone(),
        Kind::ReplicaAnswers,
    );
    let pool = Rc::new(pool);
    slots.set_probe(Rc::new(StateProbe { pool: pool.clone() }));
    let delegates = Box::new(QuarantineDelegates { membership: membership.clone() });
    let crash_guard = Rc::new(CrashGuard::new(clock, counters.clone(), delegates));
    let ingress_codec = Rc::new(platform::ingress::PlatformIngressCodec);
    let job_manager = JobManager::new(jobs::manager::Dependencies {
        job_codec: Rc::new(platform::jobs::PlatformJobCodec),
        ingress_codec: ingress_codec.clone(),
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
        keep_jobs_ms: settings.time_limits.job_status_ms,
        crash_guard: crash_guard.clone(),
        budget: budget.clone(),
    });
    let quotas = Quotas::new(
        clock,
        counters.clone(),
        transport.clone(),
        membership.clone(),
        QuotaSettings {
            window_ms: settings.quota.window_ms,
            overage: settings.quota.overage,
            slack: settings.quota.slack,
        },
        settings.is_first_start,
    );
    let gateway = Rc::new(Gateway::new(gate::gateway::Dependencies {
        codec: ingress_codec,
        clock,
        counters: counters.clone(),
        in_force: in_force.clone(),
        slots: slots.clone(),
        pool: pool.clone(),
        jobs: job_manager.clone(),
        crash_guard: crash_guard.clone(),
        budget: budget.clone(),
        quotas: quotas.clone(),
    }));
    let bounds = ConnectionBounds::for_host(settings.max_descriptors, settings.memory_mb);
    let ingress_lifecycle = bounded_lifecycle("ingress", bounds.ingress, &counters);
    let state = Rc::new(PlatformState::new(
        clock,
        in_force,
        replicas,
        membership.clone(),
        slots.clone(),
        control.clone(),
        ingress_lifecycle.clone(),
    ));
    let heartbeats = Rc::new(HeartbeatService {
        state: state.clone(),
        transport: transport.clone(),
        slots,
        job_manager: job_manager.clone(),
        store: store.clone(),
        leaving_notices: RefCell::default(),
        crash_guard,
        quotas,
    });
    heartbeats.listen();
    spawn_local(transport.clone().run());
    spawn_local(heartbeats.clone().run());
    spawn_local(heartbeats.clone().confirm_homes_while_isolated());
    spawn_local(register(own, heartbeats, store.clone()));
    for watched in [Watched::Configuration, Watched::Replicas] {
        let (state, store) = (state.clone(), store.clone());
        spawn_local(watch::watch(watched, state, store, settings.is_first_start));
    }
    spawn_local(job_manager.clone().run());
    spawn_local(job_manager.clone().run_sweeps());
    if !settings.is_first_start {
        job_manager.schedule_sweeps();
    }
    spawn_local(sweep(pool, control));

    let listeners = &settings.listeners;
    let control = Rc::new(ControlServer {
        state,
        job_manager: job_manager.clone(),
        store,
        calls: PeerCalls::new(budget),
        counters: counters.clone(),
    });
    let lifecycle = bounded_lifecycle("control", bounds.control, &counters);
    listen(listeners.control, control, lifecycle)?;
    let check = Rc::new(ReadyCheck { membership: membership.clone() });
    let lifecycle = bounded_lifecycle("readiness", bounds.readiness, &counters);
    listen(listeners.readiness, check, lifecycle)?;
    let keep_ms = directory_keep_ms(&settings);
    let directory = Rc::new(Directory { membership: membership.clone(), keep_ms });
    let lifecycle = bounded_lifecycle("directory", bounds.directory, &counters);
    listen(listeners.directory, directory, lifecycle)?;
    listen(listeners.ingress, gateway.clone(), ingress_lifecycle.clone())?;
    Ok(Node { settings, membership, gateway, job_manager, ingress_lifecycle })
}

/// Returns the lifecycle of a server with at most `max_connections` open connections.
fn bounded_lifecycle(
    server: &'static str,
    max_connections: usize,
    counters: &Counters,
) -> Rc<ServerLifecycle> {
    let bound = ConnectionBound { server, max_connections, counters: counters.clone() };
    Rc::new(ServerLifecycle::bounded(INITIAL_LIMITS, bound))
}

fn listen<H: LocalHandler>(
    address: Option<SocketAddr>,
    handler: Rc<H>,
    lifecycle: Rc<ServerLifecycle>,
) -> Result<(), KernelError> {
    if let Some(address) = address {
        let listener = local_server::listen(address)?;
        spawn_local(local_server::serve(listener, handler, lifecycle));
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

/// Returns the limits of the memory that the process holds for others, and logs them.
fn budget_limits(settings: &NodeSettings) -> Limits {
    let memory_mb = settings.memory_mb;
    if memory_mb < MIN_MEMORY_MB {
        warn!("event=memory_below_minimum memory_mb={memory_mb} counted_as_mb={MIN_MEMORY_MB}");
    }
    let limits = Limits::for_memory_mb(memory_mb);
    info!(
        "event=memory_budget memory_mb={memory_mb} total_bytes={} reserve_bytes={} \
         request_bodies_bytes={} jobs_bytes={} replica_answers_bytes={}",
        limits.total_bytes,
        limits.reserve_bytes,
        limits.request_bodies_bytes,
        limits.jobs_bytes,
        limits.replica_answers_bytes
    );
    limits
}

/// Returns how long clients may cache a directory answer, such that a leaving daemon still serves
/// even those that cache it for longer.
fn directory_keep_ms(settings: &NodeSettings) -> Millis {
    let serving_ms =
        settings.time_limits.stop_grace_ms.saturating_sub(FINAL_ANSWERS_TIME.as_millis() as Millis);
    (serving_ms / DIRECTORY_OVERRUN_FACTOR)
        .clamp(500, settings.time_limits.max_directory_ttl_ms.max(500))
}

/// Writes this daemon's record to the store and then reads the records of the other daemons.
async fn register(own: Identity, heartbeats: Rc<HeartbeatService>, store: Rc<ObjectClient>) {
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
        let mut written =
            store.call_with_retries(CallClass::Lease, &create, REGISTER_TIMEOUT).await;
        if let Ok(Reply::Conflict(_)) = written {
            written = store.call_with_retries(CallClass::Lease, &replace, REGISTER_TIMEOUT).await;
        }
        match written {
            Ok(_) => break,
            Err(error) => warn!("event=daemon_not_registered error=\"{error}\""),
        }
    }
    read_daemons(&heartbeats, &store).await;
}

/// Adds the daemons that the store lists to the membership. Votes about quotas rely on a list of all
/// daemons, so that nothing is added until all pages have been read.
async fn read_daemons(heartbeats: &HeartbeatService, store: &ObjectClient) {
    let mut members: Vec<Identity> = Vec::new();
    let mut after = String::new();
    loop {
        let call = Call::Page { kind: DAEMON_KIND, after, may_be_stale: false };
        let page = match store.call_with_retries(CallClass::Lease, &call, REGISTER_TIMEOUT).await {
            Ok(Reply::Page(page)) => page,
            Ok(_) => return warn!("event=daemons_not_read error=\"unexpected kind of answer\""),
            Err(error) => return warn!("event=daemons_not_read error=\"{error}\""),
        };
        members.extend(page.objects.iter().filter_map(decode_identity));
        after = page.objects.last().map(|object| object.name.clone()).unwrap_or_default();
        if !page.has_more || after.is_empty() {
            break;
        }
    }
    info!("event=daemons_read daemons={}", members.len());
    heartbeats.add_members(members, true);
}

fn decode_identity(object: &StoredObject) -> Option<Identity> {
    serde_json::from_slice(&object.value)
        .map_err(|error| {
            warn!(
                "event=daemon_record_malformed daemon={} error=\"{}\"",
                excerpt(&object.name),
                excerpt(&error.to_string())
            )
        })
        .ok()
}

/// Logs the counters periodically, for operators who have only the log.
async fn log_counters(counters: Counters, budget: Arc<Budget>) {
    loop {
        sleep(SUMMARY_INTERVAL).await;
        metrics::set_budget_gauges(&counters, &budget);
        info!("event=counters {}", counters.summary());
    }
}

/// Closes connections that have been idle for too long, periodically.
async fn sweep(pool: Rc<ConnectionPool>, control: Rc<ControlClient>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        pool.close_expired();
        control.close_expired();
    }
}

impl Node {
    /// Shuts down gracefully: leaves the directory, serves late clients and ends the running calls.
    async fn shut_down(self) {
        info!(
            "event=leaving daemon={} in_flight={}",
            self.settings.daemon,
            self.gateway.in_flight()
        );
        self.membership.borrow_mut().set_own_readiness(Readiness::Leaving);
        self.ingress_lifecycle.leaving.cancel();
        self.job_manager.hand_over_jobs();
        let grace = Duration::from_millis(self.settings.time_limits.stop_grace_ms);
        let serving = grace.saturating_sub(EXIT_MARGIN);
        let serves_until = Instant::now() + serving;
        self.gateway.begin_shutdown(serving.as_millis() as Millis);
        sleep(grace.saturating_sub(FINAL_ANSWERS_TIME)).await;
        self.ingress_lifecycle.closing.cancel();
        self.wait_for_connections(serves_until).await;
        info!("event=left daemon={} in_flight={}", self.settings.daemon, self.gateway.in_flight());
        self.gateway.answer_remaining();
        // From now on: a busy host may have ended the wait before late by more than this time.
        self.wait_for_connections(Instant::now() + LAST_ANSWERS_TIME).await;
    }

    /// Waits until no client's connection is open, at most until `deadline`.
    async fn wait_for_connections(&self, deadline: Instant) {
        while Instant::now() < deadline && self.ingress_lifecycle.connections() > 0 {
            sleep(CONNECTIONS_POLL_INTERVAL).await;
        }
    }
}
