//! A test cluster in one process: stubs and daemons, each on its own loopback address.
//!
//! Each daemon has its own runtime, so that killing it drops all of its tasks at once, as the
//! loss of its host would.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use api::plugin::Ports;
use bundle::SignedBundle;
use bundle::check;
use bundle::sign::KeyPair;
use cli::CliError;
use cli::Client;
use cli::client::Call;
use kernel::Daemon;
use kernel::KernelError;
use kernel::Settings;
use kernel::lifecycle::Serving;
use serde_json::Value;
use serde_json::json;
use stub::Stubs;
use stub::engine::EngineParameters;
use stub::settings::EngineSettings;
use stub::settings::PlatformSettings;
use stub::settings::ServiceSettings;
use stub::settings::StubSettings;
use tokio::runtime::Runtime;
use wire::digest::sha256_hex;

use crate::workload::TestJob;

/// The operator's token in a test cluster.
const OPERATOR_TOKEN: &str = "lab-operator-token";
/// The secret of the links in a test cluster.
const LINK_SECRET: &str = "lab-link-secret-0123456789";
/// The longest time to wait for a condition or for free addresses.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

static NEXT_CLUSTER: AtomicU8 = AtomicU8::new(0);

/// The configuration of a test cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The number of daemons.
    pub daemons: usize,
    /// The bundle document.
    pub bundle: String,
    /// The time model of the engines.
    pub engine: EngineParameters,
    /// YAML lines added to each daemon's settings.
    pub extra_settings: String,
    /// The delay after which the host list shows a change.
    pub host_list_lag_ms: u64,
    /// Whether the bundle's replicas are started and listed.
    pub has_backends: bool,
    /// The number of worker threads of each daemon's runtime.
    pub worker_threads: usize,
}

impl ClusterConfig {
    /// Creates a configuration with default times.
    pub fn new(daemons: usize, bundle: &str) -> Self {
        Self {
            daemons,
            bundle: bundle.to_owned(),
            engine: EngineParameters::default(),
            extra_settings: String::new(),
            host_list_lag_ms: 0,
            has_backends: true,
            worker_threads: 2,
        }
    }
}

/// One daemon of a test cluster.
struct ClusterDaemon {
    settings: Settings,
    running: Option<(Daemon<Serving>, DaemonRuntime)>,
}

/// A runtime that does not wait for its tasks when it is dropped: a matrix cell that times out
/// drops its cluster inside another runtime, where blocking is not allowed.
struct DaemonRuntime(Option<Runtime>);

impl DaemonRuntime {
    /// Runs a future to completion on this runtime; returns `None` if it panicked.
    async fn run<F>(&self, work: F) -> Option<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        self.0.as_ref()?.spawn(work).await.ok()
    }
}

impl Drop for DaemonRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// A running test cluster.
pub struct TestCluster {
    /// The stubs.
    pub stubs: Stubs,
    config: ClusterConfig,
    key: KeyPair,
    daemons: Vec<ClusterDaemon>,
}

impl TestCluster {
    /// Starts the stubs and the daemons, with no bundle in force.
    pub async fn start(config: ClusterConfig) -> Result<Self, KernelError> {
        let net = LoopbackNet::new();
        let key = KeyPair::generate();
        let stubs = Stubs::start(&stub_settings(&config, &net))?;
        let mut daemons = Vec::new();
        for index in 0..config.daemons {
            let settings = daemon_settings(&config, &net, &key, index)?;
            daemons.push(ClusterDaemon { settings, running: None });
        }
        let mut cluster = Self { stubs, config, key, daemons };
        for index in 0..cluster.daemons.len() {
            cluster.start_daemon(index).await?;
        }
        Ok(cluster)
    }

    /// Starts the cluster, rolls its bundle and waits until it is in force on every daemon.
    pub async fn start_with_bundle(config: ClusterConfig) -> Result<Self, CliError> {
        let cluster =
            Self::start(config).await.map_err(|error| CliError::Usage(error.to_string()))?;
        cluster.wait_for_members(cluster.daemons.len()).await?;
        let number = cluster.roll(&cluster.config.bundle, 0).await?;
        cluster.wait_until_in_force(number).await?;
        Ok(cluster)
    }

    /// Signs a bundle document, rolls it at one daemon and returns its number.
    pub async fn roll(&self, document: &str, at_daemon: usize) -> Result<u64, CliError> {
        let signed = self.sign(document);
        let body = json!({"bundle": signed});
        let call = Call::post_json("/admin/v1/bundle/roll", &body);
        let answer = self.operator_client().call_at(&self.admin_url(at_daemon), &call).await?;
        let pointer: Value = serde_json::from_slice(answer.body())
            .map_err(|error| CliError::InvalidAnswer(error.to_string()))?;
        pointer["number"]
            .as_u64()
            .ok_or_else(|| CliError::InvalidAnswer("the roll names no number".to_owned()))
    }

    /// Signs a document with the cluster's operator key.
    pub fn sign(&self, document: &str) -> SignedBundle {
        let mut signed = SignedBundle::unsigned(document.to_owned());
        // The key was made by `KeyPair::generate`, so signing cannot fail.
        let _ = signed.sign("operator", &self.key.secret_key);
        signed
    }

    /// Waits until every running daemon has at least this bundle number in force.
    pub async fn wait_until_in_force(&self, number: u64) -> Result<(), CliError> {
        self.wait_until("the bundle to be in force", || {
            self.bundle_numbers().iter().all(|in_force| *in_force >= number)
        })
        .await
    }

    /// Returns the bundle number in force on each running daemon, 0 if there is none.
    pub fn bundle_numbers(&self) -> Vec<u64> {
        let managers = (0..self.daemons.len())
            .filter_map(|index| self.service::<bundle::BundleManager>(index));
        managers.map(|manager| manager.active().map_or(0, |active| active.pointer.number)).collect()
    }

    /// Waits until every running daemon sees this many daemons, itself included.
    pub async fn wait_for_members(&self, count: usize) -> Result<(), CliError> {
        self.wait_until("every daemon to see the others", || {
            let members = (0..self.daemons.len())
                .filter_map(|index| self.service::<fleet::MembershipService>(index));
            members.into_iter().all(|members| members.eligible_owners().len() == count)
        })
        .await
    }

    /// Waits until `is_done` returns true; fails after `WAIT_TIMEOUT`.
    pub async fn wait_until(&self, what: &str, is_done: impl Fn() -> bool) -> Result<(), CliError> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !is_done() {
            if Instant::now() > deadline {
                return Err(CliError::OutcomeUnknown(format!("waited too long for {what}")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns whether a daemon is running.
    pub fn is_running(&self, index: usize) -> bool {
        self.daemons.get(index).is_some_and(|daemon| daemon.running.is_some())
    }

    /// Starts a daemon that is not running, retrying until its addresses are free.
    pub async fn start_daemon(&mut self, index: usize) -> Result<(), KernelError> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.try_start_daemon(index).await {
                Err(KernelError::Bind { .. }) if Instant::now() < deadline => {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                result => return result,
            }
        }
    }

    async fn try_start_daemon(&mut self, index: usize) -> Result<(), KernelError> {
        let settings = self.daemons[index].settings.clone();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(self.config.worker_threads)
            .enable_all()
            .build()
            .map_err(|source| KernelError::Start {
                what: "the async runtime".to_owned(),
                source,
            })?;
        let runtime = DaemonRuntime(Some(runtime));
        let started = runtime.run(daemon::start(settings)).await;
        let started = started.unwrap_or_else(|| {
            let message = "it panicked while it started".to_owned();
            Err(KernelError::Plugin { plugin: "daemon", message })
        });
        self.daemons[index].running = Some((started?, runtime));
        Ok(())
    }

    /// Stops a daemon gracefully.
    pub async fn stop_daemon(&mut self, index: usize) {
        let Some((daemon, runtime)) = self.daemons[index].running.take() else { return };
        let ports = daemon.services.require::<Ports>();
        if let Some(drained) = runtime.run(daemon.drain()).await {
            drained.stop();
        }
        close_ports(ports.ok());
    }

    /// Kills a daemon: closes its ports and drops its tasks without letting them finish.
    pub fn kill_daemon(&mut self, index: usize) {
        if let Some((daemon, runtime)) = self.daemons[index].running.take() {
            let ports = daemon.services.require::<Ports>();
            daemon.kill();
            close_ports(ports.ok());
            drop(runtime);
        }
    }

    /// Returns a service of a running daemon.
    pub fn service<T: std::any::Any + Send + Sync>(&self, index: usize) -> Option<Arc<T>> {
        let (daemon, _) = self.daemons.get(index)?.running.as_ref()?;
        daemon.services.require::<T>().ok()
    }

    /// Returns the sum of a counter over the running daemons.
    pub fn counter(&self, name: &str) -> i64 {
        let running = self.daemons.iter().filter_map(|daemon| daemon.running.as_ref());
        running.map(|(daemon, _)| daemon.services.counters.value(name)).sum()
    }

    /// Returns a client with an organisation's token.
    pub fn client(&self, token: &str) -> Client {
        let entries = (0..self.daemons.len()).map(|index| self.caller_url(index)).collect();
        new_client(entries, token)
    }

    /// Returns a client with the operator's token.
    pub fn operator_client(&self) -> Client {
        new_client(Vec::new(), OPERATOR_TOKEN)
    }

    /// Returns the URL of a daemon's caller API.
    pub fn caller_url(&self, index: usize) -> String {
        format!("http://{}", self.daemons[index].settings.callers.address)
    }

    /// Returns the URL of a daemon's admin API.
    pub fn admin_url(&self, index: usize) -> String {
        format!("http://{}", self.daemons[index].settings.admin.address)
    }

    /// Returns the number of tokens that all engines have generated.
    pub fn generated_tokens(&self) -> u64 {
        self.stubs.engines.values().map(|engine| engine.generated_tokens()).sum()
    }

    /// Returns how many items of a non-idempotent job engines have started more than once.
    pub fn count_duplicate_runs(&self, job: &TestJob) -> u32 {
        if job.idempotent {
            return 0;
        }
        let is_duplicated = |index: &u32| self.stubs.run_count(&job.prompt(*index)) > 1;
        (0..job.items).filter(is_duplicated).count() as u32
    }

    /// Makes all links that daemons have dialled stay open without carrying any more data.
    pub async fn silence_links(&self) {
        for index in 0..self.daemons.len() {
            if let Some(links) = self.service::<fleet::Links>(index) {
                links.silence_dialled_links().await;
            }
        }
    }

    /// Returns a daemon that currently owns a job.
    pub fn find_job_owner(&self) -> Option<usize> {
        (0..self.daemons.len()).find(|index| {
            self.service::<batch::JobSupervisor>(*index)
                .is_some_and(|supervisor| supervisor.job_count() > 0)
        })
    }

    /// Returns the number of daemons, running or not.
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the index of a daemon by its name.
    pub fn daemon_index(&self, daemon: &str) -> Option<usize> {
        self.daemons.iter().position(|known| known.settings.daemon.as_str() == daemon)
    }

    /// Kills all daemons and stops the stubs.
    pub fn shut_down(self) {
        drop(self);
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        for index in 0..self.daemons.len() {
            self.kill_daemon(index);
        }
        self.stubs.stop();
    }
}

fn close_ports(ports: Option<Arc<Ports>>) {
    if let Some(ports) = ports {
        ports.close();
    }
}

fn new_client(entries: Vec<String>, token: &str) -> Client {
    Client::new(entries, token.to_owned(), None, None)
        .expect("a client without certificates can always be made")
}

/// The loopback addresses of one test cluster.
struct LoopbackNet {
    second_octet: u8,
    third_octet: u8,
}

impl LoopbackNet {
    /// Chooses a network that no other cluster of this process uses, and that is unlikely to be
    /// used by another process.
    fn new() -> Self {
        let second_octet = 10 + (std::process::id() % 200) as u8;
        Self { second_octet, third_octet: NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed) }
    }

    fn address(&self, host: usize, port: u16) -> SocketAddr {
        SocketAddr::from((
            Ipv4Addr::new(127, self.second_octet, self.third_octet, host as u8),
            port,
        ))
    }

    fn platform(&self) -> SocketAddr {
        self.address(1, 7000)
    }

    fn daemon(&self, index: usize, port: u16) -> SocketAddr {
        self.address(10 + index, port)
    }

    fn backend(&self, index: usize) -> SocketAddr {
        self.address(100 + index, 7100)
    }
}

fn stub_settings(config: &ClusterConfig, net: &LoopbackNet) -> StubSettings {
    let mut settings = StubSettings {
        platform: PlatformSettings {
            address: net.platform(),
            rates: stub::platform::Rates { writes_per_s: 400.0, reads_per_s: 2_000.0 },
            host_list_lag_ms: config.host_list_lag_ms,
        },
        weight_store: None,
        engines: Vec::new(),
        services: Vec::new(),
    };
    let Some(bundle) = check::parse(&config.bundle).ok().filter(|_| config.has_backends) else {
        return settings;
    };
    for (index, replica) in bundle.replicas.iter().enumerate() {
        let replica_name = replica.name.to_string();
        let data_centre = replica.data_centre.to_string();
        let address = net.backend(index);
        if bundle.service(replica.runs.as_str()).is_some() {
            let service = ServiceSettings { replica: replica_name, address, data_centre };
            settings.services.push(service);
            continue;
        }
        let model = EngineParameters {
            slots: bundle.slots_of(&replica.runs) as usize,
            checks_fencing: replica.checks_fencing,
            ..config.engine.clone()
        };
        settings.engines.push(EngineSettings {
            replica: replica_name,
            address,
            data_centre,
            model,
        });
    }
    settings
}

fn daemon_settings(
    config: &ClusterConfig,
    net: &LoopbackNet,
    key: &KeyPair,
    index: usize,
) -> Result<Settings, KernelError> {
    let centres = data_centres(&config.bundle);
    let data_centre = &centres[index % centres.len()];
    let token_sha256 = sha256_hex(OPERATOR_TOKEN.as_bytes());
    let text = format!(
        "daemon: entry-{number}\n\
         data_centre: {data_centre}\n\
         callers: {{address: \"{callers}\"}}\n\
         admin: {{address: \"{admin}\"}}\n\
         links: {{address: \"{links}\", secrets: [{LINK_SECRET}]}}\n\
         metrics: {{address: \"{metrics}\"}}\n\
         platform: {{url: \"http://{platform}\"}}\n\
         operators:\n\
         \x20 - {{name: operator, public_key: {public_key}, token_sha256: {token_sha256}}}\n\
         {extra}\n",
        number = index + 1,
        callers = net.daemon(index, 7001),
        admin = net.daemon(index, 7002),
        links = net.daemon(index, 7003),
        metrics = net.daemon(index, 7004),
        platform = net.platform(),
        public_key = key.public_key,
        extra = config.extra_settings,
    );
    Settings::parse(&text, "lab")
}

fn data_centres(document: &str) -> Vec<String> {
    let mut centres: Vec<String> = match check::parse(document) {
        Ok(bundle) => bundle.replicas.iter().map(|r| r.data_centre.to_string()).collect(),
        Err(_) => Vec::new(),
    };
    centres.sort();
    centres.dedup();
    if centres.is_empty() {
        centres.push("lab".to_owned());
    }
    centres
}
