//! Runs one large job and measures its object API calls, its memory and the cost of losing its
//! owner.

use std::time::Duration;
use std::time::Instant;

use cli::CliError;
use cli::jobs::JobClient;
use serde::Serialize;
use serde_json::Value;
use stub::engine::EngineParameters;

use crate::cluster::ClusterConfig;
use crate::cluster::TestCluster;
use crate::options::JobArgs;
use crate::process;
use crate::workload::TestJob;

/// The bundle of the run: it has many slots, so that the ledger limits the rate and not the
/// engines.
const BUNDLE: &str = include_str!("job_bundle.yaml");
/// The token of the organisation in that bundle.
const TOKEN: &str = "depot-billing-token";
/// The number of daemons.
const DAEMONS: usize = 3;
/// The interval at which memory is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// The result of the run.
#[derive(Clone, Debug, Serialize)]
pub struct JobReport {
    /// The number of items.
    pub items: u32,
    /// The job's final status.
    pub status: Value,
    /// Items whose answer is wrong, missing or duplicated.
    pub bad: u32,
    /// Non-idempotent items that engines ran more than once.
    pub doubled: u32,
    /// The time from the start of the upload to the last outcome.
    pub seconds: f64,
    /// Items a second.
    pub items_per_s: f64,
    /// Writes to the object API until the last outcome.
    pub store_writes: u64,
    /// Reads and lists of the object API until the last outcome.
    pub store_reads: u64,
    /// Object API calls for each item.
    pub calls_per_item: f64,
    /// Object API calls for each item without those for leases, pointer reads and shard lists.
    pub job_calls_per_item: f64,
    /// The growth of the process's resident memory, which includes stubs and all daemons.
    pub grown_mb: f64,
    /// The compressed data that the platform stub holds at the end.
    pub platform_mb: f64,
}

/// Runs the job, checks every result and returns the measurements.
pub async fn run(args: &JobArgs) -> Result<JobReport, CliError> {
    let mut config = ClusterConfig::new(DAEMONS, BUNDLE);
    config.engine = EngineParameters {
        step_us: 1_000,
        step_per_stream_us: 0,
        step_per_prompt_token_us: 0,
        prompt_tokens_per_step: 1 << 20,
        keep_ms: 2_000,
        ..EngineParameters::default()
    };
    config.extra_settings = format!(
        "batch: {{policy: fixed, mark_group: {}, group_commit_ms: {}}}\n\
         membership: {{lease_ms: 3000, renew_every_ms: 1000, list_every_ms: 500}}",
        args.mark_group, args.group_commit_ms
    );
    let mut cluster = TestCluster::start_with_bundle(config).await?;
    let client = cluster.client(TOKEN);
    let mut job = TestJob::new("large", "depot", args.items, 2);
    if args.not_idempotent {
        job = job.not_idempotent();
    }
    let rss_before_mb = process::rss_mb();
    let counts_before = cluster.stubs.platform.counts();
    let started_at = Instant::now();
    let id = job.start(&client).await?;
    let finished = wait_and_kill_owners(&mut cluster, &job, &id, args.kills, rss_before_mb).await?;
    let seconds = started_at.elapsed().as_secs_f64();
    let counts = cluster.stubs.platform.counts();
    let check = job.check(&client, &id).await?;
    let doubled = cluster.count_duplicate_runs(&job);
    let writes = counts.writes - counts_before.writes;
    let reads = counts.reads - counts_before.reads;
    let job_calls: u64 = ["lots", "jobs", "ledger", "parts"]
        .iter()
        .map(|kind| {
            let count = |map: &std::collections::BTreeMap<String, u64>| {
                map.get(*kind).copied().unwrap_or(0)
            };
            count(&counts.writes_by_kind) + count(&counts.reads_by_kind)
        })
        .sum();
    let report = JobReport {
        items: args.items,
        status: finished.status,
        bad: check.wrong + check.missing_or_duplicated,
        doubled,
        seconds,
        items_per_s: f64::from(args.items) / seconds,
        store_writes: writes,
        store_reads: reads,
        calls_per_item: (writes + reads) as f64 / f64::from(args.items),
        job_calls_per_item: job_calls as f64 / f64::from(args.items),
        grown_mb: finished.peak_rss_mb - rss_before_mb,
        platform_mb: cluster.stubs.platform.stored_bytes() as f64 / 1e6,
    };
    cluster.shut_down();
    Ok(report)
}

struct FinishedJob {
    status: Value,
    peak_rss_mb: f64,
}

/// Waits for the job to end, killing its owner `kills` times at equal intervals of progress.
async fn wait_and_kill_owners(
    cluster: &mut TestCluster,
    job: &TestJob,
    id: &str,
    kills: u32,
    rss_before_mb: f64,
) -> Result<FinishedJob, CliError> {
    let client = cluster.client(TOKEN);
    let jobs = JobClient { client: &client, base: "/v1".to_owned() };
    let mut peak_rss_mb = rss_before_mb;
    let mut killed = 0;
    let mut next_status_at = Instant::now();
    loop {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        peak_rss_mb = peak_rss_mb.max(process::rss_mb());
        if killed < kills
            && cluster.generated_tokens()
                > u64::from(job.items) * 2 * u64::from(killed + 1) / u64::from(kills + 1)
        {
            killed += 1;
            if let Some(owner) = cluster.find_job_owner() {
                cluster.kill_daemon(owner);
                cluster.start_daemon(owner).await.map_err(|e| CliError::Usage(e.to_string()))?;
            }
        }
        if Instant::now() < next_status_at {
            continue;
        }
        next_status_at = Instant::now() + Duration::from_secs(1);
        let Ok(status) = jobs.status(id).await else {
            continue;
        };
        if status["state"] == "finished" {
            return Ok(FinishedJob { status, peak_rss_mb });
        }
    }
}
