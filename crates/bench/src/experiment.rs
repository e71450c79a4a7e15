//! Runs one experiment and collects its results.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cli::CliError;
use cli::client::Call;
use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;
use stub::Fault;

use crate::arrivals;
use crate::arrivals::Profile;
use crate::cluster::ClusterConfig;
use crate::cluster::TestCluster;
use crate::online_load;
use crate::online_load::OnlineStats;
use crate::online_load::PromptMix;
use crate::scenario::Deployment;
use crate::scenario::MidRunEvent;
use crate::scenario::Policy;
use crate::scenario::Scenario;
use crate::workload::TestJob;

/// The time for a job to fill the lanes before the measurement starts.
const WARM_UP_TIME: Duration = Duration::from_millis(4_500);
/// The number of tokens of a batch answer.
const BATCH_TOKENS: u32 = 16;
/// The number of items of the job; more than a run can finish.
const JOB_ITEMS: u32 = 40_960;
/// The rate of the flooding organisation, as a multiple of the usual online rate.
const FLOOD_FACTOR: f64 = 8.0;
/// The minimum and maximum number of tokens of an online answer.
const ONLINE_TOKENS: (u32, u32) = (24, 72);
/// The length of a shared prompt prefix.
const PREFIX_BYTES: usize = 400;
/// The duration of an outage, as a fraction of the run.
const OUTAGE_FRACTION: f64 = 0.3;

/// The parameters of one run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Plan {
    /// The experiment.
    pub scenario: Scenario,
    /// How batch work shares the replicas with online requests.
    pub policy: Policy,
    /// The users' deployment that is modelled.
    pub deployment: Deployment,
    /// The seed of arrivals and prompts.
    pub seed: u64,
    /// The duration of the measurement, in seconds.
    pub seconds: u64,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
}

/// The result of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// The parameters of the run.
    pub plan: Plan,
    /// The time from the scheduled start of a request to its first token.
    pub first_token: Percentiles,
    /// The time between two tokens.
    pub between_tokens: Percentiles,
    /// Online requests with a complete and correct answer.
    pub answered: u64,
    /// Online requests with a wrong answer.
    pub wrong: u64,
    /// Online requests that failed, by reason.
    pub failed: BTreeMap<String, u64>,
    /// Online tokens a second.
    pub online_tokens_per_s: f64,
    /// Completed batch items a second.
    pub batch_items_per_s: f64,
    /// Batch tokens a second: those that the engines generated less the online tokens.
    pub batch_tokens_per_s: f64,
    /// Batch streams paused for online requests.
    pub paused: i64,
    /// Non-idempotent items that engines started more than once.
    pub doubled: u32,
}

impl Percentiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self { p50_ms: at(0.50), p95_ms: at(0.95), p99_ms: at(0.99), p999_ms: at(0.999) }
    }
}

/// Runs one experiment.
pub async fn run(plan: Plan) -> Result<Outcome, CliError> {
    let mut cluster = TestCluster::start_with_bundle(cluster_config(&plan)).await?;
    let (_, batch_token) = plan.deployment.organisation_tokens();
    let batch_client = cluster.client(batch_token);
    let mut job = TestJob::new("run", plan.deployment.model(), JOB_ITEMS, BATCH_TOKENS);
    if plan.scenario == Scenario::BillingRun {
        job = job.not_idempotent();
    }
    let starts_job_mid_run = plan.scenario.mid_run_event() == MidRunEvent::JobStart;
    if plan.policy.has_batch() && !starts_job_mid_run {
        job.start(&batch_client).await?;
    }
    tokio::time::sleep(WARM_UP_TIME).await;
    let before = CounterSnapshot::take(&cluster);
    let started_at = Instant::now();
    let online = spawn_online(&cluster, &plan, started_at);
    let duration = Duration::from_secs(plan.seconds);
    tokio::time::sleep(duration / 2).await;
    if plan.policy.has_batch() && starts_job_mid_run {
        job.start(&batch_client).await?;
    }
    apply_mid_run_event(&mut cluster, &plan, duration).await;
    tokio::time::sleep_until((started_at + duration).into()).await;
    let after = CounterSnapshot::take(&cluster);
    let seconds = started_at.elapsed().as_secs_f64();
    let stats = online.await.map_err(|error| CliError::InvalidAnswer(error.to_string()))?;
    let doubled = cluster.count_duplicate_runs(&job);
    cluster.shut_down();
    Ok(build_outcome(plan, &stats, &before, &after, seconds, doubled))
}

/// The counters at one point in time.
struct CounterSnapshot {
    engine_tokens: u64,
    items_done: i64,
    paused: i64,
}

impl CounterSnapshot {
    fn take(cluster: &TestCluster) -> Self {
        let tokens = cluster.stubs.engines.values().map(|engine| engine.generated_tokens());
        Self {
            engine_tokens: tokens.sum(),
            items_done: cluster.counter("items_done"),
            paused: cluster.counter("batch_paused"),
        }
    }
}

fn cluster_config(plan: &Plan) -> ClusterConfig {
    let mut config = ClusterConfig::new(plan.deployment.daemon_count(), plan.deployment.bundle());
    config.extra_settings = format!("batch: {{policy: {}}}", plan.policy.batch_policy_setting());
    config.host_list_lag_ms = 500;
    config
}

fn spawn_online(
    cluster: &TestCluster,
    plan: &Plan,
    started_at: Instant,
) -> tokio::task::JoinHandle<OnlineStats> {
    let profile = if plan.policy.has_online() {
        plan.scenario.profile(plan.deployment.online_rate(), plan.seconds as f64)
    } else {
        Profile::None
    };
    let schedule = arrivals::schedule(profile, Duration::from_secs(plan.seconds), plan.seed);
    let prefix_count = if plan.scenario == Scenario::ColdCache { u32::MAX } else { 24 };
    let prompts = PromptMix {
        model: plan.deployment.model().to_owned(),
        answer_tokens: ONLINE_TOKENS,
        prefix_bytes: PREFIX_BYTES,
        prefix_count,
        seed: plan.seed,
    };
    let (online_token, _) = plan.deployment.organisation_tokens();
    let clients = online_load::create_clients(|| cluster.client(online_token));
    tokio::spawn(online_load::run(clients, prompts, schedule, started_at))
}

/// Applies the scenario's event in the middle of the run.
async fn apply_mid_run_event(cluster: &mut TestCluster, plan: &Plan, duration: Duration) {
    let engine = cluster.stubs.engines.values().next().map(Arc::clone);
    let engine_name = cluster.stubs.engines.keys().next().cloned().unwrap_or_default();
    match (plan.scenario.mid_run_event(), engine) {
        (MidRunEvent::EngineSlow(wait), Some(engine)) => {
            engine.set_fault(&Fault::Slow { wait_ms: wait.as_millis() as u64 });
        }
        (MidRunEvent::EngineDown, Some(engine)) => engine.set_fault(&Fault::Down),
        (MidRunEvent::HostLeaves, _) => {
            cluster.stubs.platform.set_host_state(&engine_name, "leaving")
        }
        (MidRunEvent::DaemonKilled, _) => cluster.kill_daemon(cluster.daemon_count() - 1),
        (MidRunEvent::StoreDown, _) => {
            cluster.stubs.platform.set_fault(&Fault::Down);
            tokio::time::sleep(duration.mul_f64(OUTAGE_FRACTION)).await;
            cluster.stubs.platform.set_fault(&Fault::Heal);
        }
        (MidRunEvent::Flood, _) if plan.policy.has_online() => flood(cluster, plan, duration),
        _ => {}
    }
}

/// Sends requests of a third organisation far above its rate limit for the rest of the run.
fn flood(cluster: &TestCluster, plan: &Plan, duration: Duration) {
    let client = Arc::new(cluster.client(plan.deployment.third_organisation_token()));
    let rate = plan.deployment.online_rate() * FLOOD_FACTOR;
    let schedule = arrivals::schedule(Profile::Steady(rate), duration / 2, plan.seed + 1);
    let model = plan.deployment.model();
    let started_at = Instant::now();
    for (number, at) in schedule.into_iter().enumerate() {
        let client = Arc::clone(&client);
        tokio::spawn(async move {
            tokio::time::sleep_until((started_at + at).into()).await;
            let body = serde_json::json!({
                "model": model, "prompt": format!("flood {number}"), "max_tokens": 32,
            });
            let Ok(urls) = client.endpoints().await else {
                return;
            };
            let call = Call::post_json("/v1/completions", &body);
            let _ = client.call_at(&urls[number % urls.len()], &call).await;
        });
    }
}

fn build_outcome(
    plan: Plan,
    stats: &OnlineStats,
    before: &CounterSnapshot,
    after: &CounterSnapshot,
    seconds: f64,
    doubled: u32,
) -> Outcome {
    let engine_tokens = after.engine_tokens.saturating_sub(before.engine_tokens) as f64 / seconds;
    let online_tokens = stats.tokens as f64 / seconds;
    let items_done = (after.items_done - before.items_done).max(0) as f64;
    Outcome {
        plan,
        first_token: Percentiles::of(&stats.first_token_us),
        between_tokens: Percentiles::of(&stats.between_tokens_us),
        answered: stats.answered,
        wrong: stats.wrong,
        failed: stats.failed.clone(),
        online_tokens_per_s: online_tokens,
        batch_items_per_s: items_done / seconds,
        batch_tokens_per_s: (engine_tokens - online_tokens).max(0.0),
        paused: after.paused - before.paused,
        doubled,
    }
}
