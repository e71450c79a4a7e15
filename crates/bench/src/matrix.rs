//! The fault matrix: every cell on real daemons, checked against the stand-ins' own records.

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

use crate::lab::Lab;
use crate::lab::LabPlan;
use crate::matrix_cells;
use crate::matrix_cells::Cell;
use crate::matrix_cells::CellFault;
use crate::matrix_cells::Path;
use crate::matrix_cells::Step;
use crate::matrix_online::OnlineProbe;
use crate::options::MatrixArgs;
use crate::workload::TestJob;

/// The bundle of each cell's lab.
pub const BUNDLE: &str = include_str!("matrix_bundle.yaml");
/// The token of the organisation in that bundle.
pub const TOKEN: &str = "depot-billing-token";
/// Cells at once; each has a lab of its own.
const AT_ONCE: usize = 4;
/// The daemons of a lab.
const DAEMONS: usize = 3;
/// Items of a cell's job.
const ITEMS: u32 = 360;
/// Tokens of an item's answer.
const TOKENS: u32 = 8;
/// How long a fault that ends lasts.
const FAULT_TIME: Duration = Duration::from_millis(1_500);
/// The longest time of one cell.
const CELL_TIME: Duration = Duration::from_secs(60);
/// Short times, so that leases lapse within a cell.
const SETTINGS: &str = "\
membership: {lease_ms: 1500, renew_every_ms: 300, list_every_ms: 200, heartbeat_every_ms: 150, \
suspect_after_ms: 600, pointer_every_ms: 200}
online: {endpoints_keep_ms: 500, stream_progress_ms: 400, first_token_ms: 1500}
batch: {shard_list_every_ms: 500, group_commit_ms: 50, item_timeout_ms: 20000}
";

/// Runs the cells and prints one row each.
pub async fn run(args: &MatrixArgs) -> Result<ExitCode, CliError> {
    let turns = Arc::new(Semaphore::new(AT_ONCE));
    let mut tasks = JoinSet::new();
    for (number, cell) in matrix_cells::all().into_iter().enumerate() {
        let is_wanted = args.only.as_ref().is_none_or(|only| cell.to_string().contains(only));
        if !is_wanted {
            continue;
        }
        let turns = Arc::clone(&turns);
        let seed = args.seed + number as u64;
        tasks.spawn(async move {
            let _turn = turns.acquire().await;
            let result = tokio::time::timeout(CELL_TIME, run_cell(&cell, seed)).await;
            let result = result.unwrap_or_else(|_| Err("the cell did not end in time".to_owned()));
            println!("{}", row(&cell, &result));
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

fn row(cell: &Cell, result: &Result<String, String>) -> String {
    match result {
        Ok(seen) => format!("{:<52} held  {seen}", cell.to_string()),
        Err(message) => format!("{:<52} RED   {message}", cell.to_string()),
    }
}

async fn run_cell(cell: &Cell, seed: u64) -> Result<String, String> {
    let mut plan = LabPlan::new(DAEMONS, BUNDLE);
    plan.extra_settings = SETTINGS.to_owned();
    plan.engine =
        EngineParameters { step_us: 5_000, step_per_stream_us: 20, ..EngineParameters::default() };
    let mut lab = Lab::start_rolled(plan).await.map_err(|error| error.to_string())?;
    let result = match cell.path {
        Path::Item => item_cell(&mut lab, cell, seed).await,
        Path::Online => online_cell(&mut lab, cell, seed).await,
        Path::Roll => roll_cell(&mut lab, cell, seed).await,
        Path::Stop => stop_cell(&mut lab, cell, seed).await,
    };
    lab.shut_down();
    result
}

fn test_job(cell: &Cell, seed: u64) -> TestJob {
    let job = TestJob::new(&format!("cell-{seed}"), "depot", ITEMS, TOKENS);
    if cell.idempotent { job } else { job.not_idempotent() }
}

async fn item_cell(lab: &mut Lab, cell: &Cell, seed: u64) -> Result<String, String> {
    let job = test_job(cell, seed);
    let mut rng = StdRng::seed_from_u64(seed);
    let client = lab.client(TOKEN);
    if cell.step == Step::Before {
        let mut shown = Shown::begin(lab, cell, &mut rng).await;
        // The caller starts the job while the faults last, and the faults end by themselves.
        let starting = {
            let job = job.clone();
            tokio::spawn(async move { start_in_time(&job, &client).await })
        };
        shown.end(lab).await?;
        let id = starting.await.map_err(|error| error.to_string())??;
        return finish(lab, &job, &id, cell).await;
    }
    let id = start_in_time(&job, &client).await?;
    let needed = match cell.step {
        Step::Before | Step::Accepted => 0,
        Step::Running => ITEMS / 10,
        Step::Middle => ITEMS / 2,
        Step::Ending => ITEMS * 9 / 10,
    };
    let tokens = u64::from(needed * TOKENS);
    wait_for(lab, "the step", || lab.engine_tokens() >= tokens).await?;
    let mut shown = Shown::begin(lab, cell, &mut rng).await;
    if cell.faults.contains(&CellFault::ClientResends) {
        let again = start_in_time(&job, &client).await?;
        if again != id {
            return Err("a resent job became another one".to_owned());
        }
    }
    shown.end(lab).await?;
    finish(lab, &job, &id, cell).await
}

async fn online_cell(lab: &mut Lab, cell: &Cell, seed: u64) -> Result<String, String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let before = match cell.step {
        Step::Before => Some(Shown::begin(lab, cell, &mut rng).await),
        _ => None,
    };
    let probe = OnlineProbe::start(lab, seed, cell.faults.contains(&CellFault::ClientResends));
    let mut shown = match before {
        Some(shown) => shown,
        None => {
            let tokens = match cell.step {
                Step::Before | Step::Accepted => 1,
                Step::Running => 60,
                Step::Middle => 200,
                Step::Ending => 600,
            };
            wait_for(lab, "the step", || lab.engine_tokens() >= tokens).await?;
            Shown::begin(lab, cell, &mut rng).await
        }
    };
    shown.end(lab).await?;
    probe.finish(lab).await
}

async fn roll_cell(lab: &mut Lab, cell: &Cell, seed: u64) -> Result<String, String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let document = |name: &str| format!("{BUNDLE}# {name} {seed}\n");
    let mut highest = 1;
    let mut accept = |end: Result<u64, CliError>| {
        if let Ok(number) = end {
            highest = highest.max(number);
        }
    };
    if cell.step == Step::Running {
        accept(lab.roll(&document("early"), 0).await);
    }
    let mut shown = Shown::begin(lab, cell, &mut rng).await;
    let (first, second) = (document("first"), document("second"));
    let is_race = cell.faults.contains(&CellFault::OperatorsRace);
    if is_race {
        let (a, b) = tokio::join!(lab.roll(&first, 1), lab.roll(&second, 2));
        if a.is_ok() && b.is_ok() && a.as_ref().ok() == b.as_ref().ok() {
            return Err("two rolls were accepted under one number".to_owned());
        }
        accept(a);
        accept(b);
    } else {
        accept(lab.roll(&first, 1).await);
    }
    let low = lab.numbers().into_iter().min().unwrap_or(0);
    shown.end(lab).await?;
    if cell.step == Step::Accepted {
        accept(lab.roll(&document("late"), 2).await);
    }
    lab.wait_in_force(highest).await.map_err(|error| error.to_string())?;
    let numbers = lab.numbers();
    let first = numbers.first().copied().unwrap_or(0);
    if numbers.iter().any(|number| *number < low || *number != first) {
        return Err(format!("the daemons have {numbers:?} in force"));
    }
    Ok(format!("number {first} everywhere, {highest} was answered"))
}

async fn stop_cell(lab: &mut Lab, cell: &Cell, seed: u64) -> Result<String, String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let job = test_job(cell, seed);
    let client = lab.client(TOKEN);
    let id = start_in_time(&job, &client).await?;
    let probe = OnlineProbe::start(lab, seed, false);
    wait_for(lab, "the step", || lab.engine_tokens() >= u64::from(ITEMS * TOKENS / 8)).await?;
    let mut shown = Shown::begin(lab, cell, &mut rng).await;
    if cell.step == Step::Running {
        tokio::time::sleep(FAULT_TIME / 4).await;
    }
    lab.stop_daemon(2).await;
    start_daemon(lab, 2).await?;
    shown.end(lab).await?;
    let online = probe.finish(lab).await?;
    let items = finish(lab, &job, &id, cell).await?;
    Ok(format!("{items}; {online}"))
}

/// Starts the job as a caller does who sends the same again until it is accepted.
async fn start_in_time(job: &TestJob, client: &cli::Client) -> Result<String, String> {
    let mut last = String::new();
    for _ in 0..12 {
        match job.start(client).await {
            Ok(id) => return Ok(id),
            Err(error) => last = error.to_string(),
        }
        tokio::time::sleep(FAULT_TIME / 5).await;
    }
    Err(format!("the job was never accepted: {last}"))
}

/// Waits for the job's end and checks its results and the engines' records.
async fn finish(lab: &Lab, job: &TestJob, id: &str, cell: &Cell) -> Result<String, String> {
    let client = lab.client(TOKEN);
    let jobs = JobClient { client: &client, base: "/v1".to_owned() };
    jobs.wait(id, true).await.map_err(|error| error.to_string())?;
    let check = job.check(&client, id).await.map_err(|error| error.to_string())?;
    let doubled = lab.doubled(job);
    let counts = check.counts;
    if check.missing_or_doubled > 0 || check.wrong > 0 || doubled > 0 {
        return Err(format!(
            "lost or doubled outcomes {}, wrong {}, doubled runs {doubled}",
            check.missing_or_doubled, check.wrong
        ));
    }
    if counts.total() != job.items || (cell.idempotent && counts.done != job.items) {
        return Err(format!("the outcomes are {counts:?}"));
    }
    Ok(format!("done {} interrupted {} failed {}", counts.done, counts.interrupted, counts.failed))
}

async fn wait_for(lab: &Lab, what: &str, is_done: impl Fn() -> bool) -> Result<(), String> {
    lab.wait_until(what, is_done).await.map_err(|error| error.to_string())
}

async fn start_daemon(lab: &mut Lab, index: usize) -> Result<(), String> {
    if lab.is_running(index) {
        return Ok(());
    }
    lab.start_daemon(index).await.map_err(|error| error.to_string())
}

/// Faults that are shown now.
struct Shown {
    faults: Vec<CellFault>,
    engine: String,
    stopped: Vec<usize>,
}

impl Shown {
    async fn begin(lab: &mut Lab, cell: &Cell, rng: &mut StdRng) -> Self {
        let names: Vec<String> = lab.stubs.engines.keys().cloned().collect();
        let engine = names[rng.gen_range(0..names.len())].clone();
        let mut shown = Self { faults: cell.faults.clone(), engine, stopped: Vec::new() };
        for fault in cell.faults.clone() {
            shown.show(lab, fault).await;
        }
        shown
    }

    async fn show(&mut self, lab: &mut Lab, fault: CellFault) {
        let owner = lab.owner_of_a_job().unwrap_or(0);
        let other = (owner + 1) % DAEMONS;
        match fault {
            CellFault::EngineRestart => self.engine_fault(lab, &Fault::Restart),
            CellFault::EngineDown => self.engine_fault(lab, &Fault::Down),
            CellFault::EngineFreeze => self.engine_fault(lab, &Fault::Freeze),
            CellFault::EngineSilence => self.engine_fault(lab, &Fault::Silence),
            CellFault::EngineSlow => self.engine_fault(lab, &Fault::Slow { wait_ms: 60 }),
            CellFault::HostLeaves => lab.stubs.platform.set_host_state(&self.engine, "leaving"),
            CellFault::OwnerKilled => self.kill(lab, owner),
            CellFault::OtherKilled => self.kill(lab, other),
            CellFault::OtherRestarted => {
                lab.stop_daemon(other).await;
                self.stopped.push(other);
            }
            CellFault::LinksSilent => lab.silence_links().await,
            CellFault::StoreDown => lab.stubs.platform.set_fault(&Fault::Down),
            CellFault::StoreSlow => {
                lab.stubs.platform.set_fault(&Fault::Slow { wait_ms: 300 });
            }
            CellFault::StoreFreeze => lab.stubs.platform.set_fault(&Fault::Freeze),
            CellFault::AnswersLost => {
                lab.stubs.platform.set_fault(&Fault::DropAnswers { count: 6 });
            }
            CellFault::ClientResends | CellFault::OperatorsRace => {}
        }
    }

    fn engine_fault(&self, lab: &Lab, fault: &Fault) {
        if let Some(engine) = lab.stubs.engines.get(&self.engine) {
            engine.set_fault(fault);
        }
    }

    fn kill(&mut self, lab: &mut Lab, index: usize) {
        lab.kill_daemon(index);
        self.stopped.push(index);
    }

    /// Lets the faults last, then ends them and starts the daemons that are down.
    async fn end(&mut self, lab: &mut Lab) -> Result<(), String> {
        let is_lasting = self
            .faults
            .iter()
            .any(|fault| !matches!(fault, CellFault::ClientResends | CellFault::OperatorsRace));
        if is_lasting {
            tokio::time::sleep(FAULT_TIME).await;
        }
        lab.stubs.platform.set_fault(&Fault::Heal);
        self.engine_fault(lab, &Fault::Heal);
        let mut stopped = std::mem::take(&mut self.stopped);
        stopped.dedup();
        for index in stopped {
            start_daemon(lab, index).await?;
        }
        Ok(())
    }
}
