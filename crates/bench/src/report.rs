//! Runs every experiment with its baselines and writes JSON, Markdown, HTML and plots.

use std::fmt::Write;
use std::path::Path;

use cli::CliError;
use plotters::prelude::BLUE;
use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::RED;
use plotters::prelude::Rectangle;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;
use plotters::style::Color;

use crate::experiment;
use crate::experiment::Outcome;
use crate::experiment::Plan;
use crate::options::ReportArgs;
use crate::scenario::Deployment;
use crate::scenario::Policy;
use crate::scenario::Scenario;

// The goals of the report; they are the users' targets.
const MAX_TAIL_RATIO: f64 = 1.10;
const MIN_BATCH_SHARE: f64 = 0.90;
const MAX_FIRST_TOKEN_P95_MS: f64 = 780.0;
const MAX_BETWEEN_TOKENS_P95_MS: f64 = 77.0;

/// One row of the table: a run compared with the baselines of its scenario and deployment.
struct Row<'a> {
    outcome: &'a Outcome,
    first_token_ratio: Option<f64>,
    between_tokens_ratio: Option<f64>,
    batch_share: Option<f64>,
}

/// Runs all selected experiments and writes the report files.
pub async fn run(args: &ReportArgs) -> Result<(), CliError> {
    let mut outcomes = Vec::new();
    for plan in plans(args) {
        let outcome = experiment::run(plan).await?;
        println!("{}", summary_line(&outcome));
        outcomes.push(outcome);
    }
    write_files(args, &outcomes)
}

/// Returns the runs: all policies for the two main scenarios, and for the others only those with
/// and without batch.
fn plans(args: &ReportArgs) -> Vec<Plan> {
    let mut plans = Vec::new();
    for deployment in [Deployment::Depot, Deployment::Cooling] {
        for scenario in Scenario::ALL {
            let is_wanted = args.only.is_empty() || args.only.contains(&scenario);
            let is_main = matches!(scenario, Scenario::Steady | Scenario::Burst);
            for policy in Policy::ALL {
                let has_policy = is_main || matches!(policy, Policy::OnlineOnly | Policy::Yield);
                if is_wanted && has_policy {
                    let (seed, seconds) = (args.seed, args.seconds);
                    plans.push(Plan { scenario, policy, deployment, seed, seconds });
                }
            }
        }
    }
    plans
}

fn rows(outcomes: &[Outcome]) -> Vec<Row<'_>> {
    outcomes.iter().map(|outcome| row(outcome, outcomes)).collect()
}

fn row<'a>(outcome: &'a Outcome, all: &'a [Outcome]) -> Row<'a> {
    let find = |scenario: Option<Scenario>, policy: Policy| {
        all.iter().find(|other| {
            other.plan.policy == policy
                && other.plan.deployment == outcome.plan.deployment
                && scenario.is_none_or(|wanted| other.plan.scenario == wanted)
        })
    };
    let scenario = Some(outcome.plan.scenario);
    let online = find(scenario, Policy::OnlineOnly).filter(|_| outcome.plan.policy.has_online());
    let batch = find(scenario, Policy::BatchOnly).or_else(|| find(None, Policy::BatchOnly));
    let ratio =
        |value: fn(&Outcome) -> f64| online.map(|base| value(outcome) / value(base).max(0.001));
    let batch_share = batch.filter(|_| outcome.plan.policy.has_batch()).map(|base| {
        let remaining = (base.batch_tokens_per_s - outcome.online_tokens_per_s).max(1.0);
        outcome.batch_tokens_per_s / remaining
    });
    Row {
        outcome,
        first_token_ratio: ratio(|outcome| outcome.first_token.p99_ms),
        between_tokens_ratio: ratio(|outcome| outcome.between_tokens.p99_ms),
        batch_share,
    }
}

fn summary_line(outcome: &Outcome) -> String {
    format!(
        "{:<8} {:<16} {:<12} first {:>6.0}/{:>6.0} ms  gap {:>5.1}/{:>5.1} ms  batch {:>6.0} tok/s  \
         online {:>6.0} tok/s  failed {:?}",
        outcome.plan.deployment.name(),
        outcome.plan.scenario.name(),
        outcome.plan.policy.name(),
        outcome.first_token.p95_ms,
        outcome.first_token.p99_ms,
        outcome.between_tokens.p95_ms,
        outcome.between_tokens.p99_ms,
        outcome.batch_tokens_per_s,
        outcome.online_tokens_per_s,
        outcome.failed
    )
}

fn write_files(args: &ReportArgs, outcomes: &[Outcome]) -> Result<(), CliError> {
    let file = |name: &str, bytes: &[u8]| {
        let path = args.out.join(name);
        std::fs::write(&path, bytes)
            .map_err(|source| CliError::File { path: path.display().to_string(), source })
    };
    std::fs::create_dir_all(&args.out)
        .map_err(|source| CliError::File { path: args.out.display().to_string(), source })?;
    let json = serde_json::to_vec_pretty(outcomes).unwrap_or_default();
    file("report.json", &json)?;
    let rows = rows(outcomes);
    let table = markdown(args, &rows);
    file("report.md", table.as_bytes())?;
    for deployment in [Deployment::Depot, Deployment::Cooling] {
        plot(&args.out, deployment, &rows)?;
    }
    file("report.html", html(&rows).as_bytes())
}

fn markdown(args: &ReportArgs, rows: &[Row<'_>]) -> String {
    let mut text = format!(
        "seed {}, {} s each; times in ms; ratios over online-only of the same scenario; batch \
         share of (batch-only minus online tokens)\n\n\
         | deployment | scenario | policy | first p50 | p95 | p99 | p99.9 | gap p50 | p95 | p99 \
         | p99.9 | first p99 ratio | gap p99 ratio | batch items/s | batch share | answered \
         | failed | goals |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
        args.seed, args.seconds
    );
    for row in rows {
        let o = row.outcome;
        let failed: Vec<String> = o.failed.iter().map(|(r, n)| format!("{r} {n}")).collect();
        let _ = writeln!(
            text,
            "| {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {} \
             | {} | {:.0} | {} | {} | {} | {} |",
            o.plan.deployment.name(),
            o.plan.scenario.name(),
            o.plan.policy.name(),
            o.first_token.p50_ms,
            o.first_token.p95_ms,
            o.first_token.p99_ms,
            o.first_token.p999_ms,
            o.between_tokens.p50_ms,
            o.between_tokens.p95_ms,
            o.between_tokens.p99_ms,
            o.between_tokens.p999_ms,
            format_ratio(row.first_token_ratio),
            format_ratio(row.between_tokens_ratio),
            o.batch_items_per_s,
            format_ratio(row.batch_share),
            o.answered,
            if failed.is_empty() { "0".to_owned() } else { failed.join(", ") },
            missed_goals(row),
        );
    }
    text
}

fn format_ratio(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.2}"))
}

/// Returns the goals that a run with the `yield` policy misses.
fn missed_goals(row: &Row<'_>) -> String {
    let o = row.outcome;
    if o.plan.policy != Policy::Yield {
        return String::new();
    }
    let over = |ratio: Option<f64>| ratio.is_some_and(|ratio| ratio > MAX_TAIL_RATIO);
    let checks = [
        (over(row.first_token_ratio), "first p99"),
        (over(row.between_tokens_ratio), "gap p99"),
        (row.batch_share.is_some_and(|share| share < MIN_BATCH_SHARE), "batch share"),
        (o.first_token.p95_ms > MAX_FIRST_TOKEN_P95_MS, "first p95"),
        (o.between_tokens.p95_ms > MAX_BETWEEN_TOKENS_P95_MS, "gap p95"),
        (o.wrong > 0, "wrong answers"),
    ];
    let missed: Vec<&str> =
        checks.iter().filter(|(is_missed, _)| *is_missed).map(|(_, name)| *name).collect();
    if missed.is_empty() { "met".to_owned() } else { format!("missed: {}", missed.join(", ")) }
}

fn html(rows: &[Row<'_>]) -> String {
    let lines = rows.iter().fold(String::new(), |mut text, row| {
        let _ = writeln!(
            text,
            "<tr><td>{}</td><td>{}</td></tr>",
            summary_line(row.outcome).replace('&', "&amp;").replace('<', "&lt;"),
            missed_goals(row)
        );
        text
    });
    format!(
        "<!doctype html><title>crocushub report</title><h1>crocushub report</h1>\
         <img src=\"depot.svg\"><img src=\"cooling.svg\">\
         <table style=\"font-family: monospace; white-space: pre\">{lines}</table>\n"
    )
}

/// Plots the 99th percentile of the time to the first token of each run, coloured by batch.
fn plot(out: &Path, deployment: Deployment, rows: &[Row<'_>]) -> Result<(), CliError> {
    let path = out.join(format!("{}.svg", deployment.name()));
    let bars: Vec<(f64, bool)> = rows
        .iter()
        .filter(|row| row.outcome.plan.deployment == deployment)
        .filter(|row| row.outcome.plan.policy.has_online())
        .map(|row| (row.outcome.first_token.p99_ms, row.outcome.plan.policy.has_batch()))
        .collect();
    draw(&path, &deployment.name(), &bars)
        .map_err(|message| CliError::InvalidAnswer(format!("the plot cannot be drawn: {message}")))
}

fn draw(path: &Path, name: &str, bars: &[(f64, bool)]) -> Result<(), String> {
    let highest = bars.iter().map(|(value, _)| *value).fold(1.0, f64::max);
    let area = SVGBackend::new(path, (900, 360)).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .build_cartesian_2d(0.0..bars.len().max(1) as f64, 0.0..highest)
        .map_err(|error| error.to_string())?;
    let shapes = bars.iter().enumerate().map(|(index, (value, has_batch))| {
        let color = if *has_batch { &RED } else { &BLUE };
        let left = index as f64;
        Rectangle::new([(left + 0.1, 0.0), (left + 0.9, *value)], color.filled())
    });
    chart.draw_series(shapes).map_err(|error| error.to_string())?;
    area.present().map_err(|error| format!("{name}: {error}"))
}
