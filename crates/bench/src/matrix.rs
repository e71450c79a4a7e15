//! The fault matrix: runs every cell on real daemons and checks it against the stubs' records.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use cli::CliError;
use cli::jobs::JobClient;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stub::Fault;
use stub::engine::EngineParameters;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::cluster::ClusterConfig;
use crate::cluster::TestCluster;
use crate::matrix_cells;
use crate::matrix_cells::Cell;
use crate::matrix_cells::CellFault;
use crate::matrix_cells::Operation;
use crate::matrix_cells::Phase;
use crate::matrix_online::OnlineProbe;
use crate::options::MatrixArgs;
use crate::workload::TestJob;

/// The bundle of each cell's cluster.
pub const BUNDLE: &str = include_str!("matrix_bundle.yaml");
/// The token of the organisation in that bundle.
pub const TOKEN: &str = "depot-billing-token";
/// The number of cells that run concurrently; each has its own cluster.
const MAX_CONCURRENT_CELLS: usize = 4;
/// The number of daemons of a cluster.
const DAEMONS: usize = 3;
/// The number of items of a cell's job.
const JOB_ITEMS: u32 = 360;
/// The number of tokens of an item's answer.
const ANSWER_TOKENS: u32 = 8;
/// The duration of a temporary fault.
const FAULT_DURATION: Duration = Duration::from_millis(1_500);
/// The longest time that one cell may take.
const CELL_TIMEOUT: Duration = Duration::from_secs(60);
/// Daemon settings with short times, so that leases expire within a cell.
const DAEMON_SETTINGS: &str = "\
membership: {lease_ms: 1500, renew_every_ms: 300, list_every_ms: 200, heartbeat_every_ms: 150, \
suspect_after_ms: 600, pointer_every_ms: 200}
online: {endpoints_keep_ms: 500, stream_progress_ms: 400, first_token_ms: 1500}
batch: {shard_list_every_ms: 500, group_commit_ms: 50, item_timeout_ms: 20000}
";

/// Runs the selected cells and prints one row for each.
pub async fn run(args: &MatrixArgs) -> Result<ExitCode, CliError> {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CELLS));
    let mut tasks = JoinSet::new();
    for (number, cell) in matrix_cells::all().into_iter().enumerate() {
        let is_wanted = args.only.as_ref().is_none_or(|only| cell.to_string().contains(only));
        if !is_wanted {
            continue;
        }
        let permits = Arc::clone(&permits);
        let seed = args.seed + number as u64;
        tasks.spawn(async move {
            let _permit = permits.acquire().await;
            let result = tokio::time::timeout(CELL_TIMEOUT, run_cell(&cell, seed)).await;
            let result = result.unwrap_or_else(|_| Err("the cell did not end in time".to_owned()));
            println!("{}", format_row(&cell, &result));
            result.is_ok()
        });
    }
    let mut held = 0;
    let mut red = 0;
    while let Some(result) = tasks.join_next().await {
        if matches!(result, Ok(true)) { held += 1 } else { red += 1 }
    }
    println!("matrix: cells={} held={held} red={red}", held + red);
    Ok(if red == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn format_row(cell: &Cell, result: &Result<String, String>) -> String {
    match result {
        Ok(summary) => format!("{:<52} held  {summary}", cell.to_string()),
        Err(message) => format!("{:<52} RED   {message}", cell.to_string()),
    }
}

async fn run_cell(cell: &Cell, seed: u64) -> Result<String, String> {
    let mut config = ClusterConfig::new(DAEMONS, BUNDLE);
    config.extra_settings = DAEMON_SETTINGS.to_owned();
    config.engine =
        EngineParameters { step_us: 5_000, step_per_stream_us: 20, ..EngineParameters::default() };
    let mut cluster =
        TestCluster::start_with_bundle(config).await.map_err(|error| error.to_string())?;
    let result = match cell.operation {
        Operation::Item => run_item_cell(&mut cluster, cell, seed).await,
        Operation::Online => run_online_cell(&mut cluster, cell, seed).await,
        Operation::Roll => run_roll_cell(&mut cluster, cell, seed).await,
        Operation::Stop => run_stop_cell(&mut cluster, cell, seed).await,
    };
    cluster.shut_down();
    result
}

fn test_job(cell: &Cell, seed: u64) -> TestJob {
    let job = TestJob::new(&format!("cell-{seed}"), "depot", JOB_ITEMS, ANSWER_TOKENS);
    if cell.idempotent { job } else { job.not_idempotent() }
}

async fn run_item_cell(
    cluster: &mut TestCluster,
    cell: &Cell,
    seed: u64,
) -> Result<String, String> {
    let job = test_job(cell, seed);
    let mut rng = StdRng::seed_from_u64(seed);
    let client = cluster.client(TOKEN);
    if cell.phase == Phase::Before {
        let mut active_faults = ActiveFaults::inject(cluster, cell, &mut rng).await;
        // The job is started while the faults are active; they are cleared without waiting for it.
        let start_task = {
            let job = job.clone();
            tokio::spawn(async move { start_with_retries(&job, &client).await })
        };
        active_faults.clear(cluster).await?;
        let id = start_task.await.map_err(|error| error.to_string())??;
        return wait_and_check_job(cluster, &job, &id, cell).await;
    }
    let id = start_with_retries(&job, &client).await?;
    let needed = match cell.phase {
        Phase::Before | Phase::Accepted => 0,
        Phase::Running => JOB_ITEMS / 10,
        Phase::Middle => JOB_ITEMS / 2,
        Phase::Ending => JOB_ITEMS * 9 / 10,
    };
    let tokens = u64::from(needed * ANSWER_TOKENS);
    wait_for(cluster, "the cell's phase", || cluster.generated_tokens() >= tokens).await?;
    let mut active_faults = ActiveFaults::inject(cluster, cell, &mut rng).await;
    if cell.faults.contains(&CellFault::ClientResends) {
        let resent_id = start_with_retries(&job, &client).await?;
        if resent_id != id {
            return Err("the job got another id when it was sent again".to_owned());
        }
    }
    active_faults.clear(cluster).await?;
    wait_and_check_job(cluster, &job, &id, cell).await
}

async fn run_online_cell(
    cluster: &mut TestCluster,
    cell: &Cell,
    seed: u64,
) -> Result<String, String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let injected_before = match cell.phase {
        Phase::Before => Some(ActiveFaults::inject(cluster, cell, &mut rng).await),
        _ => None,
    };
    let probe = OnlineProbe::start(cluster, seed, cell.faults.contains(&CellFault::ClientResends));
    let mut active_faults = match injected_before {
        Some(active_faults) => active_faults,
        None => {
            let tokens = match cell.phase {
                Phase::Before | Phase::Accepted => 1,
                Phase::Running => 60,
                Phase::Middle => 200,
                Phase::Ending => 600,
            };
            wait_for(cluster, "the cell's phase", || cluster.generated_tokens() >= tokens).await?;
            ActiveFaults::inject(cluster, cell, &mut rng).await
        }
    };
    active_faults.clear(cluster).await?;
    probe.finish(cluster).await
}

async fn run_roll_cell(
    cluster: &mut TestCluster,
    cell: &Cell,
    seed: u64,
) -> Result<String, String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let document = |name: &str| format!("{BUNDLE}# {name} {seed}\n");
    let mut highest = 1;
    let mut accept = |result: Result<u64, CliError>| {
        if let Ok(number) = result {
            highest = highest.max(number);
        }
    };
    if cell.phase == Phase::Running {
        accept(cluster.roll(&document("early"), 0).await);
    }
    let mut active_faults = ActiveFaults::inject(cluster, cell, &mut rng).await;
    let (first, second) = (document("first"), document("second"));
    let is_race = cell.faults.contains(&CellFault::OperatorsRace);
    if is_race {
        let (a, b) = tokio::join!(cluster.roll(&first, 1), cluster.roll(&second, 2));
        if a.is_ok() && b.is_ok() && a.as_ref().ok() == b.as_ref().ok() {
            return Err("two rolls were accepted under one number".to_owned());
        }
        accept(a);
        accept(b);
    } else {
        accept(cluster.roll(&first, 1).await);
    }
    let lowest_before_clear = cluster.bundle_numbers().into_iter().min().unwrap_or(0);
    active_faults.clear(cluster).await?;
    if cell.phase == Phase::Accepted {
        accept(cluster.roll(&document("late"), 2).await);
    }
    cluster.wait_until_in_force(highest).await.map_err(|error| error.to_string())?;
    let numbers = cluster.bundle_numbers();
    let first = numbers.first().copied().unwrap_or(0);
    if numbers.iter().any(|number| *number < lowest_before_clear || *number != first) {
        return Err(format!("the daemons have {numbers:?} in force"));
    }
    Ok(format!("bundle {first} in force everywhere, {highest} is the highest accepted"))
}

async fn run_stop_cell(
    cluster: &mut TestCluster,
    cell: &Cell,
    seed: u64,
) -> Result<String, String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let job = test_job(cell, seed);
    let client = cluster.client(TOKEN);
    let id = start_with_retries(&job, &client).await?;
    let probe = OnlineProbe::start(cluster, seed, false);
    wait_for(cluster, "the cell's phase", || {
        cluster.generated_tokens() >= u64::from(JOB_ITEMS * ANSWER_TOKENS / 8)
    })
    .await?;
    let mut active_faults = ActiveFaults::inject(cluster, cell, &mut rng).await;
    if cell.phase == Phase::Running {
        tokio::time::sleep(FAULT_DURATION / 4).await;
    }
    cluster.stop_daemon(2).await;
    ensure_daemon_runs(cluster, 2).await?;
    active_faults.clear(cluster).await?;
    let online = probe.finish(cluster).await?;
    let items = wait_and_check_job(cluster, &job, &id, cell).await?;
    Ok(format!("{items}; {online}"))
}

/// Starts the job, sending the same request again until it is accepted, as a caller does.
async fn start_with_retries(job: &TestJob, client: &cli::Client) -> Result<String, String> {
    let mut last_error = String::new();
    for _ in 0..12 {
        match job.start(client).await {
            Ok(id) => return Ok(id),
            Err(error) => last_error = error.to_string(),
        }
        tokio::time::sleep(FAULT_DURATION / 5).await;
    }
    Err(format!("the job was never accepted: {last_error}"))
}

/// Waits for the job to end, then checks its results and the engines' records.
async fn wait_and_check_job(
    cluster: &TestCluster,
    job: &TestJob,
    id: &str,
    cell: &Cell,
) -> Result<String, String> {
    let client = cluster.client(TOKEN);
    let jobs = JobClient { client: &client, base: "/v1".to_owned() };
    jobs.wait(id, true).await.map_err(|error| error.to_string())?;
    let check = job.check(&client, id).await.map_err(|error| error.to_string())?;
    let doubled = cluster.count_duplicate_runs(job);
    let counts = check.counts;
    if check.missing_or_duplicated > 0 || check.wrong > 0 || doubled > 0 {
        return Err(format!(
            "lost or doubled outcomes {}, wrong {}, doubled runs {doubled}",
            check.missing_or_duplicated, check.wrong
        ));
    }
    if counts.total() != job.items || (cell.idempotent && counts.done != job.items) {
        return Err(format!("the outcomes are {counts:?}"));
    }
    Ok(format!("done {} interrupted {} failed {}", counts.done, counts.interrupted, counts.failed))
}

async fn wait_for(
    cluster: &TestCluster,
    what: &str,
    is_done: impl Fn() -> bool,
) -> Result<(), String> {
    cluster.wait_until(what, is_done).await.map_err(|error| error.to_string())
}

async fn ensure_daemon_runs(cluster: &mut TestCluster, index: usize) -> Result<(), String> {
    if cluster.is_running(index) {
        return Ok(());
    }
    cluster.start_daemon(index).await.map_err(|error| error.to_string())
}

/// The injected faults of a cell, and what is needed to clear them.
struct ActiveFaults {
    faults: Vec<CellFault>,
    engine_name: String,
    stopped: Vec<usize>,
}

impl ActiveFaults {
    async fn inject(cluster: &mut TestCluster, cell: &Cell, rng: &mut StdRng) -> Self {
        let names: Vec<String> = cluster.stubs.engines.keys().cloned().collect();
        let engine_name = names[rng.gen_range(0..names.len())].clone();
        let mut active_faults =
            Self { faults: cell.faults.clone(), engine_name, stopped: Vec::new() };
        for fault in cell.faults.clone() {
            active_faults.inject_fault(cluster, fault).await;
        }
        active_faults
    }

    async fn inject_fault(&mut self, cluster: &mut TestCluster, fault: CellFault) {
        let owner = cluster.find_job_owner().unwrap_or(0);
        let other = (owner + 1) % DAEMONS;
        match fault {
            CellFault::EngineRestart => self.set_engine_fault(cluster, &Fault::Restart),
            CellFault::EngineDown => self.set_engine_fault(cluster, &Fault::Down),
            CellFault::EngineFreeze => self.set_engine_fault(cluster, &Fault::Freeze),
            CellFault::EngineSilence => self.set_engine_fault(cluster, &Fault::Silence),
            CellFault::EngineSlow => self.set_engine_fault(cluster, &Fault::Slow { wait_ms: 60 }),
            CellFault::HostLeaves => {
                cluster.stubs.platform.set_host_state(&self.engine_name, "leaving")
            }
            CellFault::OwnerKilled => self.kill(cluster, owner),
            CellFault::OtherKilled => self.kill(cluster, other),
            CellFault::OtherRestarted => {
                cluster.stop_daemon(other).await;
                self.stopped.push(other);
            }
            CellFault::LinksSilent => cluster.silence_links().await,
            CellFault::StoreDown => cluster.stubs.platform.set_fault(&Fault::Down),
            CellFault::StoreSlow => {
                cluster.stubs.platform.set_fault(&Fault::Slow { wait_ms: 300 });
            }
            CellFault::StoreFreeze => cluster.stubs.platform.set_fault(&Fault::Freeze),
            CellFault::AnswersLost => {
                cluster.stubs.platform.set_fault(&Fault::DropAnswers { count: 6 });
            }
            CellFault::ClientResends | CellFault::OperatorsRace => {}
        }
    }

    fn set_engine_fault(&self, cluster: &TestCluster, fault: &Fault) {
        if let Some(engine) = cluster.stubs.engines.get(&self.engine_name) {
            engine.set_fault(fault);
        }
    }

    fn kill(&mut self, cluster: &mut TestCluster, index: usize) {
        cluster.kill_daemon(index);
        self.stopped.push(index);
    }

    /// Waits for the duration of the faults, then clears them and starts the stopped daemons.
    async fn clear(&mut self, cluster: &mut TestCluster) -> Result<(), String> {
        let has_lasting_fault = self
            .faults
            .iter()
            .any(|fault| !matches!(fault, CellFault::ClientResends | CellFault::OperatorsRace));
        if has_lasting_fault {
            tokio::time::sleep(FAULT_DURATION).await;
        }
        cluster.stubs.platform.set_fault(&Fault::Heal);
        self.set_engine_fault(cluster, &Fault::Heal);
        let mut stopped = std::mem::take(&mut self.stopped);
        stopped.dedup();
        for index in stopped {
            ensure_daemon_runs(cluster, index).await?;
        }
        Ok(())
    }
}
