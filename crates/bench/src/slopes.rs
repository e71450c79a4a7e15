//! How cost grows with size: points measured in one process, and the lines through them.
//!
//! CPU time and memory are those of the whole process, stand-ins and callers included, so what
//! is given for a daemon is an upper bound.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cli::CliError;
use serde::Serialize;
use stub::engine::EngineParameters;

use crate::arrivals;
use crate::arrivals::Profile;
use crate::lab::Lab;
use crate::lab::LabPlan;
use crate::online_load;
use crate::online_load::Questions;
use crate::options::SlopesArgs;
use crate::process;
use crate::workload::TestJob;

const BUNDLE: &str = include_str!("job_bundle.yaml");
const TOKEN: &str = "depot-billing-token";
/// The time that a fleet has to settle before it is measured.
const SETTLE: Duration = Duration::from_secs(4);
/// The length of one measurement.
const MEASURE: Duration = Duration::from_secs(10);
/// Daemons where their number is not what varies.
const DAEMONS: usize = 3;
/// Tokens of an online answer.
const ONLINE_TOKENS: u32 = 32;
/// Tokens of a batch answer.
const BATCH_TOKENS: u32 = 2;

/// What one point cost, for each daemon.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// CPU time, in percent of one core.
    pub cpu_percent: f64,
    /// Resident memory in megabytes.
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
    /// The size.
    pub size: f64,
    /// The cost.
    pub cost: Cost,
}

/// A series of points and the lines through them.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// What varies.
    pub name: String,
    /// The points.
    pub points: Vec<Point>,
    /// CPU percent over size.
    pub cpu: Fit,
    /// Memory over size.
    pub memory: Fit,
    /// Link bytes over size.
    pub link_bytes: Fit,
    /// Reads over size.
    pub reads: Fit,
    /// Writes over size.
    pub writes: Fit,
}

/// A least-squares line.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fit {
    /// The value at size 0.
    pub base: f64,
    /// What one more of the size adds.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
}

/// Measures every series and prints it.
pub async fn run(args: &SlopesArgs) -> Result<(), CliError> {
    let sizes: Vec<usize> =
        [3, 6, 12, 24, 48, 60].into_iter().filter(|size| *size <= args.daemons).collect();
    let mut all = Vec::new();
    let mut points = Vec::new();
    for size in sizes {
        points.push(Point { size: size as f64, cost: idle(size, BUNDLE).await? });
    }
    all.push(finish("daemons, idle", points));
    let mut points = Vec::new();
    for organisations in [100, 1_000, 2_600] {
        let bundle = wide_bundle(organisations, 880);
        let cost = idle(DAEMONS, &bundle).await?;
        points.push(Point { size: f64::from(organisations), cost });
    }
    all.push(finish("organisations beside 880 replicas, idle", points));
    let mut points = Vec::new();
    for rate in [10.0, 40.0, 80.0] {
        points.push(Point { size: rate, cost: online(rate).await? });
    }
    all.push(finish("online requests a second over 3 daemons", points));
    let mut points = Vec::new();
    for jobs in [1, 20, 60] {
        points.push(Point { size: f64::from(jobs), cost: jobs_at_once(jobs).await? });
    }
    all.push(finish("jobs at once over 3 daemons", points));
    if let Some(path) = &args.out {
        let json = serde_json::to_vec_pretty(&all).unwrap_or_default();
        std::fs::write(path, json)
            .map_err(|source| CliError::File { path: path.display().to_string(), source })?;
    }
    Ok(())
}

fn finish(name: &str, points: Vec<Point>) -> Series {
    let fit_of = |value: fn(&Cost) -> f64| {
        let values: Vec<(f64, f64)> =
            points.iter().map(|point| (point.size, value(&point.cost))).collect();
        fit(&values)
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

/// Fits a line and the standard error of its slope.
pub fn fit(values: &[(f64, f64)]) -> Fit {
    let count = values.len().max(1) as f64;
    let mean_x = values.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = values.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = values.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let shared: f64 = values.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = if spread > 0.0 { shared / spread } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let left: f64 = values.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
    let freedom = (count - 2.0).max(1.0);
    let slope_error = if spread > 0.0 { (left / freedom / spread).sqrt() } else { 0.0 };
    Fit { base, slope, slope_error }
}

/// What the process has used at one time.
struct Mark {
    at: Instant,
    cpu_s: f64,
    link_bytes: i64,
    reads: u64,
    writes: u64,
}

impl Mark {
    fn read(lab: &Lab) -> Self {
        let counts = lab.stubs.platform.counts();
        Self {
            at: Instant::now(),
            cpu_s: process::cpu_s(),
            link_bytes: lab.counter("link_bytes_sent"),
            reads: counts.reads,
            writes: counts.writes,
        }
    }

    fn cost_until(&self, lab: &Lab, base_mb: f64) -> Cost {
        let now = Self::read(lab);
        let daemons = lab.daemon_count() as f64;
        let seconds = (now.at - self.at).as_secs_f64();
        let each = |total: f64| total / seconds / daemons;
        Cost {
            cpu_percent: each(now.cpu_s - self.cpu_s) * 100.0,
            memory_mb: (process::rss_mb() - base_mb) / daemons,
            link_bytes_per_s: each((now.link_bytes - self.link_bytes) as f64),
            store_reads_per_s: each((now.reads - self.reads) as f64),
            store_writes_per_s: each((now.writes - self.writes) as f64),
        }
    }
}

fn lab_plan(daemons: usize, bundle: &str) -> LabPlan {
    let mut plan = LabPlan::new(daemons, bundle);
    plan.threads = 1;
    plan.engine = EngineParameters { step_us: 5_000, ..EngineParameters::default() };
    plan
}

/// Lets a fleet settle, measures it and shuts it down.
async fn measure_settled(lab: Lab, base_mb: f64) -> Cost {
    tokio::time::sleep(SETTLE).await;
    let mark = Mark::read(&lab);
    tokio::time::sleep(MEASURE).await;
    let cost = mark.cost_until(&lab, base_mb);
    lab.shut_down();
    cost
}

/// A fleet without any work.
async fn idle(daemons: usize, bundle: &str) -> Result<Cost, CliError> {
    let base_mb = process::rss_mb();
    let mut plan = lab_plan(daemons, bundle);
    plan.has_backends = false;
    let lab = Lab::start_rolled(plan).await?;
    Ok(measure_settled(lab, base_mb).await)
}

/// Online requests at a constant rate.
async fn online(rate: f64) -> Result<Cost, CliError> {
    let base_mb = process::rss_mb();
    let lab = Lab::start_rolled(lab_plan(DAEMONS, BUNDLE)).await?;
    tokio::time::sleep(SETTLE).await;
    let schedule = arrivals::schedule(Profile::Steady(rate), MEASURE, 1);
    let questions = Questions {
        model: "depot".to_owned(),
        tokens: (ONLINE_TOKENS, ONLINE_TOKENS),
        prefix_bytes: 200,
        kinds: 16,
        seed: 1,
    };
    let clients = online_load::clients(|| lab.client(TOKEN));
    let mark = Mark::read(&lab);
    online_load::run(clients, questions, schedule, Instant::now()).await;
    let cost = mark.cost_until(&lab, base_mb);
    lab.shut_down();
    Ok(cost)
}

/// Several jobs at once, each with items for the whole measurement.
async fn jobs_at_once(jobs: u32) -> Result<Cost, CliError> {
    let base_mb = process::rss_mb();
    let lab = Lab::start_rolled(lab_plan(DAEMONS, BUNDLE)).await?;
    let client = Arc::new(lab.client(TOKEN));
    for number in 0..jobs {
        let job = TestJob::new(&format!("job-{number}"), "depot", 4_096, BATCH_TOKENS);
        job.start(&client).await?;
    }
    Ok(measure_settled(lab, base_mb).await)
}

/// A bundle with many organisations and replicas; the replicas are in no host list.
fn wide_bundle(organisations: u32, replicas: u32) -> String {
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
