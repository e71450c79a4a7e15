//! `demo`: runs a small cluster that serves online callers and batch jobs, and prints a summary.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bench::ClusterConfig;
use bench::TestCluster;
use bench::workload;
use bench::workload::TestJob;
use clap::Parser;
use cli::CliError;
use cli::Client;
use cli::jobs::JobClient;
use kernel::logs;

/// The bundle that the demo rolls.
const BUNDLE: &str = include_str!("../../../../examples/crate-depot.yaml");
/// The token of the organisation that sends online requests.
const DRIVERS_TOKEN: &str = "depot-drivers-token";
/// The token of the organisation that starts the jobs.
const BILLING_TOKEN: &str = "depot-billing-token";
/// The number of concurrent online callers.
const CALLERS: usize = 12;
/// The number of tokens of an online answer.
const ONLINE_TOKENS: u32 = 16;
/// The number of tokens of a batch answer.
const BATCH_TOKENS: u32 = 4;

/// Run three daemons, the platform and backend servers as tasks of this process.
///
/// The demo rolls a signed bundle and answers online callers while a non-idempotent job runs; it
/// cancels a second job and restarts one daemon while the first one is under way.
#[derive(Clone, Debug, Parser)]
#[command(name = "demo", version)]
struct Options {
    /// The number of items of each job.
    #[arg(long, default_value_t = 5_000)]
    items: u32,
}

/// The results that the demo prints.
struct Summary {
    online: u32,
    online_wrong: u32,
    batch: u32,
    lost: u32,
    doubled: u32,
}

fn main() -> ExitCode {
    let options = Options::parse();
    logs::init("error");
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("demo: cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&options)) {
        Ok(summary) => report(&summary),
        Err(error) => {
            println!("demo: failed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn report(summary: &Summary) -> ExitCode {
    let has_passed = summary.lost == 0 && summary.doubled == 0 && summary.online_wrong == 0;
    let verdict = if has_passed { "ok" } else { "failed" };
    if summary.online_wrong > 0 {
        println!("online answers that failed or were wrong: {}", summary.online_wrong);
    }
    println!(
        "demo: {verdict} online={} batch={} lost={} doubled={}",
        summary.online, summary.batch, summary.lost, summary.doubled
    );
    if has_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn run(options: &Options) -> Result<Summary, CliError> {
    println!("starting 3 daemons, the platform and 12 backend servers");
    let mut cluster = TestCluster::start_with_bundle(ClusterConfig::new(3, BUNDLE)).await?;
    println!("bundle 1 is in force on every daemon");
    let billing_client = cluster.client(BILLING_TOKEN);
    let jobs = JobClient { client: &billing_client, base: "/v1".to_owned() };
    let job = TestJob::new("wash-logs", "depot", options.items, BATCH_TOKENS).not_idempotent();
    let id = job.start(&billing_client).await?;
    println!("job {id} with {} items is accepted", options.items);
    let other_job = TestJob::new("wrong-logs", "depot", options.items, BATCH_TOKENS);
    let other_id = other_job.start(&billing_client).await?;
    let callers = Callers::start(cluster.client(DRIVERS_TOKEN));
    let cancelled = jobs.cancel(&other_id).await?;
    println!("job {other_id} is {}", cancelled["state"]);
    cluster
        .wait_until("the job to be under way", || {
            cluster.counter("items_done") > i64::from(options.items / 4)
        })
        .await?;
    println!("restarting a daemon");
    cluster.stop_daemon(1).await;
    cluster.start_daemon(1).await.map_err(|error| CliError::Usage(error.to_string()))?;
    println!("the daemon is back");
    jobs.wait(&id, true).await?;
    jobs.wait(&other_id, true).await?;
    let (online, online_wrong) = callers.stop().await;
    let check = job.check(&billing_client, &id).await?;
    let not_done = options.items - check.counts.done.min(options.items);
    let doubled = cluster.count_duplicate_runs(&job);
    let summary = Summary {
        online,
        online_wrong,
        batch: check.counts.done,
        lost: not_done.max(check.missing_or_duplicated) + check.wrong,
        doubled,
    };
    cluster.shut_down();
    Ok(summary)
}

/// Concurrent online callers, each of which sends one request after the other.
struct Callers {
    is_stopping: Arc<AtomicBool>,
    answered: Arc<AtomicU32>,
    failed: Arc<AtomicU32>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Callers {
    fn start(client: Client) -> Self {
        let client = Arc::new(client);
        let is_stopping = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU32::new(0));
        let failed = Arc::new(AtomicU32::new(0));
        let tasks = (0..CALLERS)
            .map(|caller| {
                let (client, is_stopping) = (Arc::clone(&client), Arc::clone(&is_stopping));
                let (answered, failed) = (Arc::clone(&answered), Arc::clone(&failed));
                tokio::spawn(async move {
                    let mut question = 0;
                    while !is_stopping.load(Ordering::Acquire) {
                        question += 1;
                        let prompt = format!("driver {caller} asks {question}");
                        match workload::check_completion(&client, "depot", &prompt, ONLINE_TOKENS)
                            .await
                        {
                            Ok(true) => answered.fetch_add(1, Ordering::AcqRel),
                            Ok(false) => failed.fetch_add(1, Ordering::AcqRel),
                            Err(error) => {
                                println!("an online request failed: {error}");
                                failed.fetch_add(1, Ordering::AcqRel)
                            }
                        };
                    }
                })
            })
            .collect();
        Self { is_stopping, answered, failed, tasks }
    }

    async fn stop(self) -> (u32, u32) {
        self.is_stopping.store(true, Ordering::Release);
        for task in self.tasks {
            let _ = task.await;
        }
        (self.answered.load(Ordering::Acquire), self.failed.load(Ordering::Acquire))
    }
}
