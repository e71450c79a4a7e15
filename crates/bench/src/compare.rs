//! Runs two policies in alternation and compares the medians of their results.

use cli::CliError;
use serde::Serialize;

use crate::experiment;
use crate::experiment::Outcome;
use crate::experiment::Plan;
use crate::options::CompareArgs;
use crate::scenario::Policy;

/// The results of a policy divided by those of a baseline.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Ratios {
    /// The ratio of the 99th percentiles of the time to the first token.
    pub first_token_p99: f64,
    /// The ratio of the 99th percentiles of the time between tokens.
    pub between_tokens_p99: f64,
    /// The ratio of batch tokens a second.
    pub batch_tokens: f64,
}

/// Runs both policies alternately and returns the ratios of their medians.
pub async fn run(args: &CompareArgs) -> Result<Ratios, CliError> {
    let mut baseline = Vec::new();
    let mut policy = Vec::new();
    for round in 0..args.rounds.max(1) {
        baseline.push(experiment::run(plan(args, args.baseline, round)).await?);
        policy.push(experiment::run(plan(args, args.policy, round)).await?);
    }
    Ok(Ratios {
        first_token_p99: ratio(&policy, &baseline, |outcome| outcome.first_token.p99_ms),
        between_tokens_p99: ratio(&policy, &baseline, |outcome| outcome.between_tokens.p99_ms),
        batch_tokens: ratio(&policy, &baseline, |outcome| outcome.batch_tokens_per_s),
    })
}

fn plan(args: &CompareArgs, policy: Policy, round: u32) -> Plan {
    Plan {
        scenario: args.scenario,
        policy,
        deployment: args.common.deployment,
        seed: args.common.seed + u64::from(round),
        seconds: args.common.seconds,
    }
}

fn ratio(policy: &[Outcome], baseline: &[Outcome], value: impl Fn(&Outcome) -> f64) -> f64 {
    let median_of = |outcomes: &[Outcome]| {
        let mut values: Vec<f64> = outcomes.iter().map(&value).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or(0.0)
    };
    let baseline_median = median_of(baseline);
    if baseline_median == 0.0 { 0.0 } else { median_of(policy) / baseline_median }
}
