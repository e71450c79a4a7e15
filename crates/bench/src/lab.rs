//! A whole small fleet in one process: stand-ins and daemons, each on its own loopback address.
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

/// The operator's token in a lab.
const OPERATOR_TOKEN: &str = "lab-operator-token";
/// The secret of a lab's links.
const LINK_SECRET: &str = "lab-link-secret-0123456789";
/// The longest wait for something that should come soon.
const PATIENCE: Duration = Duration::from_secs(30);
/// The pause between two looks.
const POLL: Duration = Duration::from_millis(20);

static NEXT_LAB: AtomicU8 = AtomicU8::new(0);

/// What a lab is made of.
#[derive(Clone, Debug)]
pub struct LabPlan {
    /// The number of daemons.
    pub daemons: usize,
    /// The bundle document.
    pub bundle: String,
    /// How engines spend their time.
    pub engine: EngineParameters,
    /// YAML lines added to each daemon's settings.
    pub extra_settings: String,
    /// How late the host list shows a change.
    pub host_list_lag_ms: u64,
    /// Whether the bundle's replicas are started and listed.
    pub has_backends: bool,
    /// Worker threads of each daemon's runtime.
    pub threads: usize,
}

impl LabPlan {
    /// A plan with the usual times.
    pub fn new(daemons: usize, bundle: &str) -> Self {
        Self {
            daemons,
            bundle: bundle.to_owned(),
            engine: EngineParameters::default(),
            extra_settings: String::new(),
            host_list_lag_ms: 0,
            has_backends: true,
            threads: 2,
        }
    }
}

/// One daemon of a lab.
struct LabDaemon {
    settings: Settings,
    running: Option<(Daemon<Serving>, LabRuntime)>,
}

/// A runtime that never waits for its tasks when it is dropped: a cell that ran out of its time
/// drops its lab inside another runtime, which may not wait.
struct LabRuntime(Option<Runtime>);

impl LabRuntime {
    /// Runs work to its end; none if the work panicked.
    async fn run<F>(&self, work: F) -> Option<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        self.0.as_ref()?.spawn(work).await.ok()
    }
}

impl Drop for LabRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// A running lab.
pub struct Lab {
    /// The stand-ins.
    pub stubs: Stubs,
    plan: LabPlan,
    key: KeyPair,
    daemons: Vec<LabDaemon>,
}

impl Lab {
    /// Starts the stand-ins and the daemons; nothing is in force yet.
    pub async fn start(plan: LabPlan) -> Result<Self, KernelError> {
        let net = Net::new();
        let key = KeyPair::generate();
        let stubs = Stubs::start(&stub_settings(&plan, &net))?;
        let mut daemons = Vec::new();
        for index in 0..plan.daemons {
            let settings = daemon_settings(&plan, &net, &key, index)?;
            daemons.push(LabDaemon { settings, running: None });
        }
        let mut lab = Self { stubs, plan, key, daemons };
        for index in 0..lab.daemons.len() {
            lab.start_daemon(index).await?;
        }
        Ok(lab)
    }

    /// Starts the lab, rolls its bundle and waits until it is in force on every daemon.
    pub async fn start_rolled(plan: LabPlan) -> Result<Self, CliError> {
        let lab = Self::start(plan).await.map_err(|error| CliError::Usage(error.to_string()))?;
        lab.wait_for_view(lab.daemons.len()).await?;
        let number = lab.roll(&lab.plan.bundle, 0).await?;
        lab.wait_in_force(number).await?;
        Ok(lab)
    }

    /// Signs and rolls a bundle document at one daemon, and returns its number.
    pub async fn roll(&self, document: &str, at_daemon: usize) -> Result<u64, CliError> {
        let signed = self.sign(document);
        let body = json!({"bundle": signed});
        let call = Call::post_json("/admin/v1/bundle/roll", &body);
        let answer = self.operator().call_at(&self.admin_url(at_daemon), &call).await?;
        let pointer: Value = serde_json::from_slice(answer.body())
            .map_err(|error| CliError::InvalidAnswer(error.to_string()))?;
        pointer["number"]
            .as_u64()
            .ok_or_else(|| CliError::InvalidAnswer("the roll names no number".to_owned()))
    }

    /// Signs a document with the lab's operator key.
    pub fn sign(&self, document: &str) -> SignedBundle {
        let mut signed = SignedBundle::unsigned(document.to_owned());
        // The key was made by `KeyPair::generate`, so signing cannot fail.
        let _ = signed.sign("operator", &self.key.secret_key);
        signed
    }

    /// Waits until every running daemon has at least this number in force.
    pub async fn wait_in_force(&self, number: u64) -> Result<(), CliError> {
        self.wait_until("the bundle to be in force", || {
            self.numbers().iter().all(|in_force| *in_force >= number)
        })
        .await
    }

    /// Returns the number in force on each running daemon.
    pub fn numbers(&self) -> Vec<u64> {
        let managers = (0..self.daemons.len())
            .filter_map(|index| self.service::<bundle::BundleManager>(index));
        managers.map(|manager| manager.active().map_or(0, |active| active.pointer.number)).collect()
    }

    /// Waits until every running daemon sees this many daemons, itself included.
    pub async fn wait_for_view(&self, count: usize) -> Result<(), CliError> {
        self.wait_until("every daemon to see the others", || {
            let members = (0..self.daemons.len())
                .filter_map(|index| self.service::<fleet::MembershipService>(index));
            members.into_iter().all(|members| members.eligible_owners().len() == count)
        })
        .await
    }

    /// Waits until `is_done`, for at most the lab's patience.
    pub async fn wait_until(&self, what: &str, is_done: impl Fn() -> bool) -> Result<(), CliError> {
        let until = Instant::now() + PATIENCE;
        while !is_done() {
            if Instant::now() > until {
                return Err(CliError::OutcomeUnknown(format!("waited too long for {what}")));
            }
            tokio::time::sleep(POLL).await;
        }
        Ok(())
    }

    /// Returns whether a daemon runs.
    pub fn is_running(&self, index: usize) -> bool {
        self.daemons.get(index).is_some_and(|daemon| daemon.running.is_some())
    }

    /// Starts a daemon that is not running, as soon as its addresses are free.
    pub async fn start_daemon(&mut self, index: usize) -> Result<(), KernelError> {
        let until = Instant::now() + PATIENCE;
        loop {
            match self.try_start_daemon(index).await {
                Err(KernelError::Bind { .. }) if Instant::now() < until => {
                    tokio::time::sleep(POLL).await;
                }
                end => return end,
            }
        }
    }

    async fn try_start_daemon(&mut self, index: usize) -> Result<(), KernelError> {
        let settings = self.daemons[index].settings.clone();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(self.plan.threads)
            .enable_all()
            .build()
            .map_err(|source| KernelError::File { path: "the runtime".to_owned(), source })?;
        let runtime = LabRuntime(Some(runtime));
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

    /// Kills a daemon: its ports close and its tasks are dropped where they stand.
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

    /// Returns a counter's value, added up over the running daemons.
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
    pub fn operator(&self) -> Client {
        new_client(Vec::new(), OPERATOR_TOKEN)
    }

    /// Returns a daemon's URL for callers.
    pub fn caller_url(&self, index: usize) -> String {
        format!("http://{}", self.daemons[index].settings.callers.address)
    }

    /// Returns a daemon's URL for operators.
    pub fn admin_url(&self, index: usize) -> String {
        format!("http://{}", self.daemons[index].settings.admin.address)
    }

    /// Returns the tokens that all engines have generated.
    pub fn engine_tokens(&self) -> u64 {
        self.stubs.engines.values().map(|engine| engine.generated_tokens()).sum()
    }

    /// Returns how many items of a non-idempotent job engines have started more than once.
    pub fn doubled(&self, job: &TestJob) -> u32 {
        if job.idempotent {
            return 0;
        }
        let is_doubled = |index: &u32| self.stubs.run_count(&job.prompt(*index)) > 1;
        (0..job.items).filter(is_doubled).count() as u32
    }

    /// Makes all links that daemons have dialled go silent for good.
    pub async fn silence_links(&self) {
        for index in 0..self.daemons.len() {
            if let Some(links) = self.service::<fleet::Links>(index) {
                links.silence_dialled_links().await;
            }
        }
    }

    /// Returns a daemon that owns a job now.
    pub fn owner_of_a_job(&self) -> Option<usize> {
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
    pub fn index_of(&self, daemon: &str) -> Option<usize> {
        self.daemons.iter().position(|known| known.settings.daemon.as_str() == daemon)
    }

    /// Kills everything.
    pub fn shut_down(self) {
        drop(self);
    }
}

impl Drop for Lab {
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

/// The loopback addresses of one lab.
struct Net {
    first: u8,
    second: u8,
}

impl Net {
    /// Takes a network that no other lab of this process, and likely of another one, uses.
    fn new() -> Self {
        let first = 10 + (std::process::id() % 200) as u8;
        Self { first, second: NEXT_LAB.fetch_add(1, Ordering::Relaxed) }
    }

    fn address(&self, host: usize, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.first, self.second, host as u8), port))
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

fn stub_settings(plan: &LabPlan, net: &Net) -> StubSettings {
    let mut settings = StubSettings {
        platform: PlatformSettings {
            address: net.platform(),
            rates: stub::platform::Rates { writes_per_s: 400.0, reads_per_s: 2_000.0 },
            host_list_lag_ms: plan.host_list_lag_ms,
        },
        weight_store: None,
        engines: Vec::new(),
        services: Vec::new(),
    };
    let Some(bundle) = check::parse(&plan.bundle).ok().filter(|_| plan.has_backends) else {
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
            ..plan.engine.clone()
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
    plan: &LabPlan,
    net: &Net,
    key: &KeyPair,
    index: usize,
) -> Result<Settings, KernelError> {
    let centres = data_centres(&plan.bundle);
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
        extra = plan.extra_settings,
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
