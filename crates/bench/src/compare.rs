//! Two policies run in alternation, compared by the ratios of their medians.

use cli::CliError;
use serde::Serialize;

use crate::experiment;
use crate::experiment::Outcome;
use crate::experiment::Plan;
use crate::options::CompareArgs;
use crate::scenario::Policy;

/// The ratios of a policy over a baseline.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Ratios {
    /// First token, 99 of 100.
    pub first_token_p99: f64,
    /// Between tokens, 99 of 100.
    pub between_tokens_p99: f64,
    /// Batch tokens a second.
    pub batch_tokens: f64,
}

/// Runs both policies in turn and returns the ratios of their medians.
pub async fn run(args: &CompareArgs) -> Result<Ratios, CliError> {
    let mut baseline = Vec::new();
    let mut policy = Vec::new();
    for round in 0..args.rounds.max(1) {
        baseline.push(experiment::run(plan(args, args.baseline, round)).await?);
        policy.push(experiment::run(plan(args, args.policy, round)).await?);
    }
    Ok(Ratios {
        first_token_p99: ratio(&policy, &baseline, |o| o.first_token.p99_ms),
        between_tokens_p99: ratio(&policy, &baseline, |o| o.between_tokens.p99_ms),
        batch_tokens: ratio(&policy, &baseline, |o| o.batch_tokens_per_s),
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
    let below = median_of(baseline);
    if below == 0.0 { 0.0 } else { median_of(policy) / below }
}
