//! One large job: the object API's calls, the owner's memory, and what a lost owner costs.

use std::time::Duration;
use std::time::Instant;

use cli::CliError;
use cli::jobs::JobClient;
use serde::Serialize;
use serde_json::Value;
use stub::engine::EngineParameters;

use crate::lab::Lab;
use crate::lab::LabPlan;
use crate::options::JobArgs;
use crate::process;
use crate::workload::TestJob;

/// The bundle of the run: many slots, so that the ledger and not the engines set the pace.
const BUNDLE: &str = include_str!("job_bundle.yaml");
/// The token of the organisation in that bundle.
const TOKEN: &str = "depot-billing-token";
/// The daemons of the run.
const DAEMONS: usize = 3;
/// How often memory is looked at.
const SAMPLE: Duration = Duration::from_millis(200);

/// What the run saw.
#[derive(Clone, Debug, Serialize)]
pub struct JobSeen {
    /// The number of items.
    pub items: u32,
    /// The final status.
    pub status: Value,
    /// Answers that were wrong, missing or doubled.
    pub bad: u32,
    /// Non-idempotent items that engines ran more than once.
    pub doubled: u32,
    /// From the start of the upload to the last outcome.
    pub seconds: f64,
    /// Items a second.
    pub items_per_s: f64,
    /// Calls of the object API by the time of the last outcome.
    pub store_writes: u64,
    /// Reads and lists by then.
    pub store_reads: u64,
    /// Calls for each item.
    pub calls_per_item: f64,
    /// Calls for each item that are due to the job, without leases, pointer reads and shard lists.
    pub job_calls_per_item: f64,
    /// How much the whole process grew, stand-ins and all daemons included, in megabytes.
    pub grown_mb: f64,
    /// The compressed bytes that the stand-in platform holds at the end, in megabytes.
    pub platform_mb: f64,
}

/// Runs the job and checks every result.
pub async fn run(args: &JobArgs) -> Result<JobSeen, CliError> {
    let mut plan = LabPlan::new(DAEMONS, BUNDLE);
    plan.engine = EngineParameters {
        step_us: 1_000,
        step_per_stream_us: 0,
        step_per_prompt_token_us: 0,
        prompt_tokens_per_step: 1 << 20,
        keep_ms: 2_000,
        ..EngineParameters::default()
    };
    plan.extra_settings = format!(
        "batch: {{policy: fixed, mark_group: {}, group_commit_ms: {}}}\n\
         membership: {{lease_ms: 3000, renew_every_ms: 1000, list_every_ms: 500}}",
        args.mark_group, args.group_commit_ms
    );
    let mut lab = Lab::start_rolled(plan).await?;
    let client = lab.client(TOKEN);
    let mut job = TestJob::new("large", "depot", args.items, 2);
    if args.not_idempotent {
        job = job.not_idempotent();
    }
    let rss_before_mb = process::rss_mb();
    let counts_before = lab.stubs.platform.counts();
    let started_at = Instant::now();
    let id = job.start(&client).await?;
    let status = wait(&mut lab, &job, &id, args.kills, rss_before_mb).await?;
    let seconds = started_at.elapsed().as_secs_f64();
    let counts = lab.stubs.platform.counts();
    let check = job.check(&client, &id).await?;
    let doubled = lab.doubled(&job);
    let writes = counts.writes - counts_before.writes;
    let reads = counts.reads - counts_before.reads;
    let job_calls: u64 = ["lots", "jobs", "ledger", "parts"]
        .iter()
        .map(|kind| {
            let of = |map: &std::collections::BTreeMap<String, u64>| {
                map.get(*kind).copied().unwrap_or(0)
            };
            of(&counts.writes_by_kind) + of(&counts.reads_by_kind)
        })
        .sum();
    let seen = JobSeen {
        items: args.items,
        status: status.status,
        bad: check.wrong + check.missing_or_doubled,
        doubled,
        seconds,
        items_per_s: f64::from(args.items) / seconds,
        store_writes: writes,
        store_reads: reads,
        calls_per_item: (writes + reads) as f64 / f64::from(args.items),
        job_calls_per_item: job_calls as f64 / f64::from(args.items),
        grown_mb: status.highest_mb - rss_before_mb,
        platform_mb: lab.stubs.platform.stored_bytes() as f64 / 1e6,
    };
    lab.shut_down();
    Ok(seen)
}

struct Waited {
    status: Value,
    highest_mb: f64,
}

/// Waits for the job's end and kills its owner at equal distances.
async fn wait(
    lab: &mut Lab,
    job: &TestJob,
    id: &str,
    kills: u32,
    rss_before_mb: f64,
) -> Result<Waited, CliError> {
    let client = lab.client(TOKEN);
    let jobs = JobClient { client: &client, base: "/v1".to_owned() };
    let mut highest_mb = rss_before_mb;
    let mut killed = 0;
    let mut next_look = Instant::now();
    loop {
        tokio::time::sleep(SAMPLE).await;
        highest_mb = highest_mb.max(process::rss_mb());
        if killed < kills
            && lab.engine_tokens()
                > u64::from(job.items) * 2 * u64::from(killed + 1) / u64::from(kills + 1)
        {
            killed += 1;
            if let Some(owner) = lab.owner_of_a_job() {
                lab.kill_daemon(owner);
                lab.start_daemon(owner).await.map_err(|e| CliError::Usage(e.to_string()))?;
            }
        }
        if Instant::now() < next_look {
            continue;
        }
        next_look = Instant::now() + Duration::from_secs(1);
        let Ok(status) = jobs.status(id).await else {
            continue;
        };
        if status["state"] == "finished" {
            return Ok(Waited { status, highest_mb });
        }
    }
}
