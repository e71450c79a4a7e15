//! Rolls many bundles with concurrent operators, lost platform answers and daemon restarts.

use std::time::Duration;
use std::time::Instant;

use cli::CliError;
use hdrhistogram::Histogram;
use serde::Serialize;
use stub::Fault;

use crate::cluster::ClusterConfig;
use crate::cluster::TestCluster;
use crate::options::RollsArgs;

/// The document that every rolled bundle extends.
const BUNDLE: &str = include_str!("job_bundle.yaml");
/// The interval at which the daemons' bundle numbers are read.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The longest time that a bundle may take to be in force on every daemon.
const SPREAD_BOUND: Duration = Duration::from_secs(10);
/// The number of rolls from one daemon restart to the next.
const ROLLS_PER_RESTART: u32 = 10;
/// The number of rolls from one lost answer to the next.
const ROLLS_PER_LOST_ANSWER: u32 = 3;

/// The result of the run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RollsReport {
    /// Accepted rolls.
    pub accepted: u32,
    /// Rolls refused because another operator's roll was first.
    pub lost_races: u32,
    /// Rolls that failed for any other reason.
    pub other_ends: u32,
    /// How often a daemon's bundle number decreased without a restart.
    pub reversals: u32,
    /// Rolls that were not in force on every daemon within the bound.
    pub over_bound: u32,
    /// The median time until a bundle is in force on every daemon.
    pub p50_ms: f64,
    /// The 99th percentile of that time.
    pub p99_ms: f64,
    /// The maximum of that time.
    pub max_ms: f64,
}

/// Rolls the bundles one after the other and measures how long each takes to reach every daemon.
pub async fn run(args: &RollsArgs) -> Result<RollsReport, CliError> {
    let mut cluster =
        TestCluster::start_with_bundle(ClusterConfig::new(args.daemons, BUNDLE)).await?;
    let mut report = RollsReport::default();
    let mut spread_times_us =
        Histogram::<u64>::new(3).map_err(|e| CliError::InvalidAnswer(e.to_string()))?;
    let mut highest_numbers = cluster.bundle_numbers();
    for round in 0..args.rolls {
        if round % ROLLS_PER_RESTART == ROLLS_PER_RESTART / 2 {
            cluster.kill_daemon(args.daemons - 1);
            let started = cluster.start_daemon(args.daemons - 1).await;
            started.map_err(|error| CliError::Usage(error.to_string()))?;
            highest_numbers = vec![0; args.daemons];
        }
        if round % ROLLS_PER_LOST_ANSWER == 0 {
            cluster.stubs.platform.set_fault(&Fault::DropAnswers { count: 1 });
        }
        let started_at = Instant::now();
        let number = roll_concurrently(&cluster, round, &mut report).await;
        let Some(number) = number else {
            continue;
        };
        let spread_time =
            wait_until_everywhere(&cluster, number, started_at, &mut highest_numbers, &mut report)
                .await;
        let _ = spread_times_us.record(spread_time.as_micros() as u64);
    }
    report.p50_ms = spread_times_us.value_at_quantile(0.5) as f64 / 1000.0;
    report.p99_ms = spread_times_us.value_at_quantile(0.99) as f64 / 1000.0;
    report.max_ms = spread_times_us.max() as f64 / 1000.0;
    cluster.shut_down();
    Ok(report)
}

/// Rolls two different bundles concurrently and returns the highest accepted number.
async fn roll_concurrently(
    cluster: &TestCluster,
    round: u32,
    report: &mut RollsReport,
) -> Option<u64> {
    let document = |operator: &str| format!("{BUNDLE}# round {round} of operator {operator}\n");
    let (first, second) = (document("a"), document("b"));
    let (a, b) = tokio::join!(cluster.roll(&first, 0), cluster.roll(&second, 1));
    let mut accepted = None;
    for result in [a, b] {
        match result {
            Ok(number) => {
                report.accepted += 1;
                accepted = accepted.max(Some(number));
            }
            Err(CliError::Refused(refusal)) if refusal.reason == wire::Reason::Conflict => {
                report.lost_races += 1;
            }
            Err(_) => report.other_ends += 1,
        }
    }
    accepted
}

/// Waits until every daemon has the bundle in force, at most for the bound, and returns the time.
async fn wait_until_everywhere(
    cluster: &TestCluster,
    number: u64,
    started_at: Instant,
    highest_numbers: &mut [u64],
    report: &mut RollsReport,
) -> Duration {
    loop {
        let numbers = cluster.bundle_numbers();
        for (before, now) in highest_numbers.iter_mut().zip(&numbers) {
            report.reversals += u32::from(now < before);
            *before = (*before).max(*now);
        }
        if numbers.iter().all(|in_force| *in_force >= number) {
            return started_at.elapsed();
        }
        if started_at.elapsed() > SPREAD_BOUND {
            report.over_bound += 1;
            return started_at.elapsed();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
