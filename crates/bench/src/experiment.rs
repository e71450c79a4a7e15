//! One run of an experiment.

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
use crate::lab::Lab;
use crate::lab::LabPlan;
use crate::online_load;
use crate::online_load::OnlineSeen;
use crate::online_load::Questions;
use crate::scenario::Deployment;
use crate::scenario::Event;
use crate::scenario::Policy;
use crate::scenario::Scenario;
use crate::workload::TestJob;

/// The time that a job has to fill the lanes before the measurement.
const WARM_UP: Duration = Duration::from_millis(4_500);
/// Tokens of a batch answer.
const BATCH_TOKENS: u32 = 16;
/// Items of the job, more than a run can end.
const BATCH_ITEMS: u32 = 40_960;
/// The rate of a flooding organisation over the usual rate.
const FLOOD_FACTOR: f64 = 8.0;
/// Tokens of an online answer: the least and the most.
const ONLINE_TOKENS: (u32, u32) = (24, 72);
/// Bytes of a shared prompt prefix.
const PREFIX_BYTES: usize = 400;
/// How long an outage lasts, as a part of the run.
const OUTAGE_PART: f64 = 0.3;

/// What to run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Plan {
    /// The experiment.
    pub scenario: Scenario,
    /// How batch shares the replicas.
    pub policy: Policy,
    /// The deployment.
    pub deployment: Deployment,
    /// The seed of arrivals and questions.
    pub seed: u64,
    /// The length of the measurement in seconds.
    pub seconds: u64,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The median.
    pub p50_ms: f64,
    /// 95 of 100.
    pub p95_ms: f64,
    /// 99 of 100.
    pub p99_ms: f64,
    /// 999 of 1000.
    pub p999_ms: f64,
}

/// What one run saw.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// What was run.
    pub plan: Plan,
    /// Time to the first token, from the intended time of the request.
    pub first_token: Percentiles,
    /// Time between tokens.
    pub between_tokens: Percentiles,
    /// Online requests with a whole and right answer.
    pub answered: u64,
    /// Online answers that were wrong.
    pub wrong: u64,
    /// Online requests that failed, by reason.
    pub failed: BTreeMap<String, u64>,
    /// Online tokens a second.
    pub online_tokens_per_s: f64,
    /// Batch items that ended, a second.
    pub batch_items_per_s: f64,
    /// Batch tokens a second, by the engines' own count.
    pub batch_tokens_per_s: f64,
    /// Batch streams paused for online requests.
    pub paused: i64,
    /// Prompts that engines started more than once although they must not.
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
    let mut lab = Lab::start_rolled(lab_plan(&plan)).await?;
    let (_, batch_token) = plan.deployment.tokens();
    let billing = lab.client(batch_token);
    let mut job = TestJob::new("run", plan.deployment.model(), BATCH_ITEMS, BATCH_TOKENS);
    if plan.scenario == Scenario::BillingRun {
        job = job.not_idempotent();
    }
    let starts_late = plan.scenario.event() == Event::StartJob;
    if plan.policy.has_batch() && !starts_late {
        job.start(&billing).await?;
    }
    tokio::time::sleep(WARM_UP).await;
    let before = Marks::read(&lab);
    let started_at = Instant::now();
    let online = spawn_online(&lab, &plan, started_at);
    let length = Duration::from_secs(plan.seconds);
    tokio::time::sleep(length / 2).await;
    if plan.policy.has_batch() && starts_late {
        job.start(&billing).await?;
    }
    disturb(&mut lab, &plan, length).await;
    tokio::time::sleep_until((started_at + length).into()).await;
    let after = Marks::read(&lab);
    let seconds = started_at.elapsed().as_secs_f64();
    let seen = online.await.map_err(|error| CliError::InvalidAnswer(error.to_string()))?;
    let doubled = lab.doubled(&job);
    lab.shut_down();
    Ok(outcome(plan, &seen, &before, &after, seconds, doubled))
}

/// Counters at one time.
struct Marks {
    engine_tokens: u64,
    items_done: i64,
    paused: i64,
}

impl Marks {
    fn read(lab: &Lab) -> Self {
        let records = lab.stubs.engines.values().map(|engine| engine.generated_tokens());
        Self {
            engine_tokens: records.sum(),
            items_done: lab.counter("items_done"),
            paused: lab.counter("batch_paused"),
        }
    }
}

fn lab_plan(plan: &Plan) -> LabPlan {
    let mut lab = LabPlan::new(plan.deployment.daemons(), plan.deployment.bundle());
    lab.extra_settings = format!("batch: {{policy: {}}}", plan.policy.setting());
    lab.host_list_lag_ms = 500;
    lab
}

fn spawn_online(
    lab: &Lab,
    plan: &Plan,
    started_at: Instant,
) -> tokio::task::JoinHandle<OnlineSeen> {
    let profile = if plan.policy.has_online() {
        plan.scenario.profile(plan.deployment.rate(), plan.seconds as f64)
    } else {
        Profile::None
    };
    let schedule = arrivals::schedule(profile, Duration::from_secs(plan.seconds), plan.seed);
    let kinds = if plan.scenario == Scenario::ColdCache { u32::MAX } else { 24 };
    let questions = Questions {
        model: plan.deployment.model().to_owned(),
        tokens: ONLINE_TOKENS,
        prefix_bytes: PREFIX_BYTES,
        kinds,
        seed: plan.seed,
    };
    let (online_token, _) = plan.deployment.tokens();
    let clients = online_load::clients(|| lab.client(online_token));
    tokio::spawn(online_load::run(clients, questions, schedule, started_at))
}

/// Does to the system what the scenario says.
async fn disturb(lab: &mut Lab, plan: &Plan, length: Duration) {
    let victim = lab.stubs.engines.values().next().map(Arc::clone);
    let victim_name = lab.stubs.engines.keys().next().cloned().unwrap_or_default();
    match (plan.scenario.event(), victim) {
        (Event::Slow(wait), Some(engine)) => {
            engine.set_fault(&Fault::Slow { wait_ms: wait.as_millis() as u64 });
        }
        (Event::Die, Some(engine)) => engine.set_fault(&Fault::Down),
        (Event::Leave, _) => lab.stubs.platform.set_host_state(&victim_name, "leaving"),
        (Event::KillDaemon, _) => lab.kill_daemon(lab.daemon_count() - 1),
        (Event::Outage, _) => {
            lab.stubs.platform.set_fault(&Fault::Down);
            tokio::time::sleep(length.mul_f64(OUTAGE_PART)).await;
            lab.stubs.platform.set_fault(&Fault::Heal);
        }
        (Event::Flood, _) if plan.policy.has_online() => flood(lab, plan, length),
        _ => {}
    }
}

/// Lets a third organisation ask far more than its rate, for the rest of the run.
fn flood(lab: &Lab, plan: &Plan, length: Duration) {
    let client = Arc::new(lab.client(plan.deployment.third_token()));
    let rate = plan.deployment.rate() * FLOOD_FACTOR;
    let schedule = arrivals::schedule(Profile::Steady(rate), length / 2, plan.seed + 1);
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

fn outcome(
    plan: Plan,
    seen: &OnlineSeen,
    before: &Marks,
    after: &Marks,
    seconds: f64,
    doubled: u32,
) -> Outcome {
    let engine_tokens = after.engine_tokens.saturating_sub(before.engine_tokens) as f64 / seconds;
    let online_tokens = seen.tokens as f64 / seconds;
    let items = (after.items_done - before.items_done).max(0) as f64;
    Outcome {
        plan,
        first_token: Percentiles::of(&seen.first_token_us),
        between_tokens: Percentiles::of(&seen.between_tokens_us),
        answered: seen.answered,
        wrong: seen.wrong,
        failed: seen.failed.clone(),
        online_tokens_per_s: online_tokens,
        batch_items_per_s: items / seconds,
        batch_tokens_per_s: (engine_tokens - online_tokens).max(0.0),
        paused: after.paused - before.paused,
        doubled,
    }
}
