//! Measures how cost grows with size, in one process, and fits a line through the points.
//!
//! CPU time and memory are those of the whole process, stubs and callers included, so the
//! figures for one daemon are upper bounds.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cli::CliError;
use serde::Serialize;
use stub::engine::EngineParameters;

use crate::arrivals;
use crate::arrivals::Profile;
use crate::cluster::ClusterConfig;
use crate::cluster::TestCluster;
use crate::online_load;
use crate::online_load::PromptMix;
use crate::options::SlopesArgs;
use crate::process;
use crate::workload::TestJob;

/// The bundle of the series that do not vary it.
const BUNDLE: &str = include_str!("job_bundle.yaml");
/// The token of the organisation in that bundle.
const TOKEN: &str = "depot-billing-token";
/// The time between the start of a cluster and its measurement.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// The duration of one measurement.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// The number of daemons in series where it does not vary.
const DAEMONS: usize = 3;
/// The number of tokens of an online answer.
const ONLINE_TOKENS: u32 = 32;
/// The number of tokens of a batch answer.
const BATCH_TOKENS: u32 = 2;

/// The resources used at one point, divided by the number of daemons.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// CPU time, in percent of one core.
    pub cpu_percent: f64,
    /// The growth of resident memory, in megabytes.
    pub memory_mb: f64,
    /// Bytes sent on links, a second.
    pub link_bytes_per_s: f64,
    /// Reads of the object API, a second.
    pub store_reads_per_s: f64,
    /// Writes of the object API, a second.
    pub store_writes_per_s: f64,
}

/// One measured point.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// The value of the quantity that the series varies.
    pub size: f64,
    /// The cost at this size.
    pub cost: Cost,
}

/// A series of points and the lines fitted through them.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// The name of the quantity that varies.
    pub name: String,
    /// The measured points.
    pub points: Vec<Point>,
    /// The fit of CPU percent against size.
    pub cpu: Fit,
    /// The fit of memory against size.
    pub memory: Fit,
    /// The fit of link bytes a second against size.
    pub link_bytes: Fit,
    /// The fit of object API reads a second against size.
    pub reads: Fit,
    /// The fit of object API writes a second against size.
    pub writes: Fit,
}

/// A least-squares line.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fit {
    /// The fitted value at size 0.
    pub base: f64,
    /// The increase for each unit of size.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
}

/// Measures and prints every series, and writes them to a file if one is given.
pub async fn run(args: &SlopesArgs) -> Result<(), CliError> {
    let sizes: Vec<usize> =
        [3, 6, 12, 24, 48, 60].into_iter().filter(|size| *size <= args.daemons).collect();
    let mut all = Vec::new();
    let mut points = Vec::new();
    for size in sizes {
        points.push(Point { size: size as f64, cost: measure_idle(size, BUNDLE).await? });
    }
    all.push(report_series("daemons, idle", points));
    let mut points = Vec::new();
    for organisations in [100, 1_000, 2_600] {
        let bundle = large_bundle(organisations, 880);
        let cost = measure_idle(DAEMONS, &bundle).await?;
        points.push(Point { size: f64::from(organisations), cost });
    }
    all.push(report_series("organisations beside 880 replicas, idle", points));
    let mut points = Vec::new();
    for rate in [10.0, 40.0, 80.0] {
        points.push(Point { size: rate, cost: measure_online(rate).await? });
    }
    all.push(report_series("online requests a second over 3 daemons", points));
    let mut points = Vec::new();
    for jobs in [1, 20, 60] {
        points.push(Point { size: f64::from(jobs), cost: measure_jobs(jobs).await? });
    }
    all.push(report_series("jobs at once over 3 daemons", points));
    if let Some(path) = &args.out {
        let json = serde_json::to_vec_pretty(&all).unwrap_or_default();
        std::fs::write(path, json)
            .map_err(|source| CliError::File { path: path.display().to_string(), source })?;
    }
    Ok(())
}

fn report_series(name: &str, points: Vec<Point>) -> Series {
    let fit_of = |value: fn(&Cost) -> f64| {
        let values: Vec<(f64, f64)> =
            points.iter().map(|point| (point.size, value(&point.cost))).collect();
        fit_line(&values)
    };
    let series = Series {
        name: name.to_owned(),
        cpu: fit_of(|cost| cost.cpu_percent),
        memory: fit_of(|cost| cost.memory_mb),
        link_bytes: fit_of(|cost| cost.link_bytes_per_s),
        reads: fit_of(|cost| cost.store_reads_per_s),
        writes: fit_of(|cost| cost.store_writes_per_s),
        points,
    };
    println!("{name}");
    for point in &series.points {
        let cost = &point.cost;
        println!(
            "  {:>6}: cpu {:>6.2} %  memory {:>6.1} MB  links {:>7.0} B/s  reads {:>6.2}/s  \
             writes {:>6.2}/s",
            point.size,
            cost.cpu_percent,
            cost.memory_mb,
            cost.link_bytes_per_s,
            cost.store_reads_per_s,
            cost.store_writes_per_s
        );
    }
    println!(
        "  slopes: cpu {:.4} (+- {:.4}) %  memory {:.4} MB  links {:.2} B/s",
        series.cpu.slope, series.cpu.slope_error, series.memory.slope, series.link_bytes.slope
    );
    series
}

/// Fits a line by least squares and returns it with the standard error of its slope.
pub fn fit_line(values: &[(f64, f64)]) -> Fit {
    let count = values.len().max(1) as f64;
    let mean_x = values.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = values.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xx: f64 = values.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sum_xy: f64 = values.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let residual_sum: f64 = values.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
    let degrees_of_freedom = (count - 2.0).max(1.0);
    let slope_error =
        if sum_xx > 0.0 { (residual_sum / degrees_of_freedom / sum_xx).sqrt() } else { 0.0 };
    Fit { base, slope, slope_error }
}

/// The resources that the process has used by one point in time.
struct UsageSnapshot {
    at: Instant,
    cpu_s: f64,
    link_bytes: i64,
    reads: u64,
    writes: u64,
}

impl UsageSnapshot {
    fn take(cluster: &TestCluster) -> Self {
        let counts = cluster.stubs.platform.counts();
        Self {
            at: Instant::now(),
            cpu_s: process::own_cpu_s(),
            link_bytes: cluster.counter("link_bytes_sent"),
            reads: counts.reads,
            writes: counts.writes,
        }
    }

    fn cost_since(&self, cluster: &TestCluster, rss_before_mb: f64) -> Cost {
        let now = Self::take(cluster);
        let daemons = cluster.daemon_count() as f64;
        let seconds = (now.at - self.at).as_secs_f64();
        let per_daemon = |total: f64| total / seconds / daemons;
        Cost {
            cpu_percent: per_daemon(now.cpu_s - self.cpu_s) * 100.0,
            memory_mb: (process::rss_mb() - rss_before_mb) / daemons,
            link_bytes_per_s: per_daemon((now.link_bytes - self.link_bytes) as f64),
            store_reads_per_s: per_daemon((now.reads - self.reads) as f64),
            store_writes_per_s: per_daemon((now.writes - self.writes) as f64),
        }
    }
}

fn cluster_config(daemons: usize, bundle: &str) -> ClusterConfig {
    let mut config = ClusterConfig::new(daemons, bundle);
    config.worker_threads = 1;
    config.engine = EngineParameters { step_us: 5_000, ..EngineParameters::default() };
    config
}

/// Waits for a cluster to settle, measures it and shuts it down.
async fn measure_settled(cluster: TestCluster, rss_before_mb: f64) -> Cost {
    tokio::time::sleep(SETTLE_TIME).await;
    let snapshot = UsageSnapshot::take(&cluster);
    tokio::time::sleep(MEASURE_TIME).await;
    let cost = snapshot.cost_since(&cluster, rss_before_mb);
    cluster.shut_down();
    cost
}

/// Measures a cluster without load.
async fn measure_idle(daemons: usize, bundle: &str) -> Result<Cost, CliError> {
    let rss_before_mb = process::rss_mb();
    let mut config = cluster_config(daemons, bundle);
    config.has_backends = false;
    let cluster = TestCluster::start_with_bundle(config).await?;
    Ok(measure_settled(cluster, rss_before_mb).await)
}

/// Measures online requests at a constant rate.
async fn measure_online(rate: f64) -> Result<Cost, CliError> {
    let rss_before_mb = process::rss_mb();
    let cluster = TestCluster::start_with_bundle(cluster_config(DAEMONS, BUNDLE)).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let schedule = arrivals::schedule(Profile::Steady(rate), MEASURE_TIME, 1);
    let prompts = PromptMix {
        model: "depot".to_owned(),
        answer_tokens: (ONLINE_TOKENS, ONLINE_TOKENS),
        prefix_bytes: 200,
        prefix_count: 16,
        seed: 1,
    };
    let clients = online_load::create_clients(|| cluster.client(TOKEN));
    let snapshot = UsageSnapshot::take(&cluster);
    online_load::run(clients, prompts, schedule, Instant::now()).await;
    let cost = snapshot.cost_since(&cluster, rss_before_mb);
    cluster.shut_down();
    Ok(cost)
}

/// Measures concurrent jobs that have enough items to last for the whole measurement.
async fn measure_jobs(jobs: u32) -> Result<Cost, CliError> {
    let rss_before_mb = process::rss_mb();
    let cluster = TestCluster::start_with_bundle(cluster_config(DAEMONS, BUNDLE)).await?;
    let client = Arc::new(cluster.client(TOKEN));
    for number in 0..jobs {
        let job = TestJob::new(&format!("job-{number}"), "depot", 4_096, BATCH_TOKENS);
        job.start(&client).await?;
    }
    Ok(measure_settled(cluster, rss_before_mb).await)
}

/// Returns a bundle with many organisations and replicas; no host list contains the replicas.
fn large_bundle(organisations: u32, replicas: u32) -> String {
    let mut text = String::from("name: wide\nmodels:\n");
    for model in 0..13 {
        let _ = writeln!(text, "  - {{name: model-{model}, version: \"1\", slots: 32}}");
    }
    text.push_str("replicas:\n");
    for replica in 0..replicas {
        let _ = writeln!(
            text,
            "  - {{name: r-{replica}, runs: model-{}, data_centre: dc-{}}}",
            replica % 13,
            replica % 10
        );
    }
    text.push_str("organisations:\n");
    for org in 0..organisations {
        let digest = wire::digest::sha256_hex(org.to_string().as_bytes());
        let _ = writeln!(text, "  - {{name: org-{org}, token_sha256: {digest}}}");
    }
    text
}
