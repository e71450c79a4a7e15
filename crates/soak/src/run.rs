//! One run: starts a fleet and its clients, injects the faults and checks the promises.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use kernel::KernelError;
use platform_stub::settings::SMALLEST_MEMORY_MB;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::check;
use crate::check::Evidence;
use crate::check::Violation;
use crate::fleet::Fleet;
use crate::job_client;
use crate::key_client;
use crate::observation::RequestOutcome;
use crate::plan;
use crate::scenario::Scenario;
use crate::traffic;
use crate::traffic::RunContext;

/// The clients that send online requests to each daemon.
const CLIENTS_PER_DAEMON: usize = 3;
/// The clients that send with different keys to each daemon, if the run has organisations.
const KEY_CLIENTS_PER_DAEMON: usize = 2;
/// The clients of a run that submit jobs.
const JOB_CLIENTS: usize = 4;
/// The longest time in which the fleet must recover after the last fault, in milliseconds; the
/// platform's `recover_s`.
const MAX_RECOVERY_MS: u64 = 12_000;
/// The time between two looks at the daemons' processes.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// How long clients keep sending after the recovery time, in milliseconds.
const POST_RECOVERY_MS: u64 = 3_000;
/// The longest time in which jobs must finish after the clients have stopped, in milliseconds; the
/// platform's `finish_s`.
const MAX_JOB_FINISH_MS: u64 = 18_000;

/// The settings of one run.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// The seed.
    pub seed: u64,
    /// The number of daemons.
    pub daemons: usize,
    /// The daemon's program.
    pub binary: PathBuf,
    /// The folder for the logs.
    pub folder: PathBuf,
    /// The second and third byte of the daemons' addresses, 127.x.y.*.
    pub subnet: [u8; 2],
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// The broken promises.
    pub violations: Vec<Violation>,
    /// The number of online requests.
    pub requests: usize,
    /// The number of online requests that were served.
    pub served: usize,
    /// The number of jobs that were accepted.
    pub jobs: usize,
    /// The number of faults.
    pub faults: usize,
    /// The highest peak of a daemon's resident memory, in KiB.
    pub peak_kib: u64,
    /// The number of requests of clients that send with different keys, by status.
    pub key_statuses: BTreeMap<u16, usize>,
}

/// The reason why a run has no report.
#[derive(Debug)]
pub enum RunError {
    /// The platform stub or the daemons did not start.
    Start(KernelError),
    /// A file could not be written.
    File(io::Error),
    /// The run was interrupted.
    Interrupted,
}

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Start(error) => write!(f, "the fleet did not start: {error}"),
            Self::File(error) => write!(f, "a file could not be written: {error}"),
            Self::Interrupted => f.write_str("the run was interrupted"),
        }
    }
}

impl std::error::Error for RunError {}

/// Runs one seed to its end on the current thread; removes the logs unless a promise was broken.
pub fn run(config: &RunConfig, interrupted: &CancellationToken) -> Result<RunReport, RunError> {
    std::fs::create_dir_all(&config.folder).map_err(RunError::File)?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|source| {
        RunError::Start(KernelError::Start { what: "the async runtime".to_owned(), source })
    })?;
    let report = LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            report = run_fleet(config) => report,
            () = interrupted.cancelled() => Err(RunError::Interrupted),
        }
    })?;
    if report.violations.is_empty() {
        std::fs::remove_dir_all(&config.folder).map_err(RunError::File)?;
    }
    Ok(report)
}

async fn run_fleet(config: &RunConfig) -> Result<RunReport, RunError> {
    let scenario = Scenario::draw(config.seed);
    let fleet =
        Fleet::start(&config.binary, &config.folder, config.subnet, config.daemons, &scenario);
    let fleet = fleet.await.map_err(RunError::Start)?;
    let mut violations = check_readiness(&fleet).await;
    let context = Rc::new(RunContext {
        fleet: fleet.clone(),
        observation: Default::default(),
        stopped: CancellationToken::new(),
    });
    let mut clients = Vec::new();
    for daemon in 0..config.daemons {
        for client in 0..CLIENTS_PER_DAEMON {
            let sender = traffic::send_requests(context.clone(), daemon, client, config.seed);
            clients.push(spawn_local(sender));
        }
        clients.push(spawn_local(traffic::query_routes(context.clone(), daemon)));
        let key_clients = if fleet.has_organisations() { KEY_CLIENTS_PER_DAEMON } else { 0 };
        for client in 0..key_clients {
            let sender = key_client::send_with_keys(context.clone(), daemon, client, config.seed);
            clients.push(spawn_local(sender));
        }
    }
    clients.push(spawn_local(watch_processes(context.clone())));
    for client in 0..JOB_CLIENTS {
        clients.push(spawn_local(job_client::submit_jobs(context.clone(), client, config.seed)));
    }
    let faults = plan::draw_faults(config.seed, config.daemons);
    inject_faults(&fleet, &faults).await;
    let recovered_ms = fleet.timeline.borrow().last_end_ms() + MAX_RECOVERY_MS;
    let calm_faults = plan::draw_calm_faults(config.seed);
    inject_faults(&fleet, &calm_faults).await;
    sleep_until(&fleet, recovered_ms).await;
    violations.extend(check_readiness(&fleet).await);
    sleep_until(&fleet, recovered_ms + POST_RECOVERY_MS).await;
    context.stopped.cancel();
    for client in clients {
        if let Err(error) = client.await {
            let detail = format!("a client task of the soak failed: {error}");
            violations.push(Violation { promise: "the soak itself", detail });
        }
    }
    job_client::read_all_jobs(&context, fleet.now_ms() + MAX_JOB_FINISH_MS).await;
    let observation = context.observation.borrow();
    let run_log = fleet.deployment.log.borrow();
    let timeline = fleet.timeline.borrow();
    let mended_replicas = fleet.mended_replicas();
    let organisations = fleet.organisations.borrow();
    violations.extend(
        fleet.logs_with_keys().into_iter().map(|log| Violation {
            promise: "logs show no key",
            detail: log.display().to_string(),
        }),
    );
    violations.extend(fleet.process_watch.borrow().violations(SMALLEST_MEMORY_MB));
    violations.extend(check::violations(&Evidence {
        observation: &observation,
        run_log: &run_log,
        timeline: &timeline,
        recovered_ms,
        mended_replicas: &mended_replicas,
        organisations: organisations.as_ref(),
    }));
    let is_served =
        |outcome: &RequestOutcome| matches!(outcome, RequestOutcome::Answered { status: 200, .. });
    let mut key_statuses = BTreeMap::new();
    for request in &observation.key_requests {
        *key_statuses.entry(request.status).or_default() += 1;
    }
    let report = RunReport {
        requests: observation.requests.len(),
        served: observation.requests.iter().filter(|request| is_served(&request.outcome)).count(),
        jobs: observation.jobs.values().filter(|job| job.accepted_ms.is_some()).count(),
        faults: faults.len() + calm_faults.len(),
        peak_kib: fleet.process_watch.borrow().peak_kib(),
        key_statuses,
        violations,
    };
    write_summary(&config.folder, config.seed, &fleet, &report).map_err(RunError::File)?;
    Ok(report)
}

async fn check_readiness(fleet: &Fleet) -> Vec<Violation> {
    let unready = fleet.wait_until_ready().await;
    let violation = |daemon| Violation {
        promise: "daemons become ready",
        detail: format!("daemon-{daemon} is not ready"),
    };
    unready.into_iter().map(violation).collect()
}

async fn watch_processes(context: Rc<RunContext>) {
    while !context.stopped.is_cancelled() {
        context.fleet.watch_processes();
        sleep(WATCH_INTERVAL).await;
    }
}

/// Injects every fault at its time and waits until all have ended.
async fn inject_faults(fleet: &Rc<Fleet>, faults: &[plan::PlannedFault]) {
    let begin_ms = fleet.now_ms();
    let mut running = Vec::new();
    for planned in faults {
        sleep_until(fleet, begin_ms + planned.start_ms).await;
        running.push(spawn_local(fleet.clone().inject(*planned)));
    }
    for fault in running {
        if let Err(error) = fault.await {
            log::warn!("event=fault_failed error=\"{error}\"");
        }
    }
}

async fn sleep_until(fleet: &Fleet, until_ms: u64) {
    sleep(Duration::from_millis(until_ms.saturating_sub(fleet.now_ms()))).await;
}

/// Writes the times of all faults and the broken promises to a file beside the logs.
fn write_summary(folder: &Path, seed: u64, fleet: &Fleet, report: &RunReport) -> io::Result<()> {
    let mut text = format!("seed {seed}\n\nfaults, in milliseconds of the run\n");
    for span in fleet.timeline.borrow().spans() {
        let until = span.until_ms.map_or("-".to_owned(), |ms| ms.to_string());
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{:>6} {until:>6} {}", span.from_ms, span.fault);
    }
    text.push_str("\nbroken promises\n");
    for violation in &report.violations {
        let _ = writeln!(text, "{violation}");
    }
    std::fs::write(folder.join("story.txt"), text)
}
