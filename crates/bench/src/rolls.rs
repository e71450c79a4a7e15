//! Many rolls by racing operators, over lost answers and a restarting daemon.

use std::time::Duration;
use std::time::Instant;

use cli::CliError;
use hdrhistogram::Histogram;
use serde::Serialize;
use stub::Fault;

use crate::lab::Lab;
use crate::lab::LabPlan;
use crate::options::RollsArgs;

const BUNDLE: &str = include_str!("job_bundle.yaml");
/// How often the daemons' numbers are looked at.
const LOOK: Duration = Duration::from_millis(5);
/// The bound on the time until a bundle is in force everywhere.
const BOUND: Duration = Duration::from_secs(10);
/// Rolls between two restarts of a daemon.
const RESTART_EVERY: u32 = 10;
/// Rolls between two lost answers.
const LOSE_EVERY: u32 = 3;

/// What the run saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RollsSeen {
    /// Rolls accepted.
    pub accepted: u32,
    /// Rolls that lost against another operator.
    pub lost_races: u32,
    /// Rolls with another end.
    pub other_ends: u32,
    /// Times that a daemon's number fell without a restart.
    pub reversals: u32,
    /// Rolls that were not everywhere within the bound.
    pub over_bound: u32,
    /// The time until in force everywhere, in milliseconds.
    pub p50_ms: f64,
    /// 99 of 100, in milliseconds.
    pub p99_ms: f64,
    /// The longest, in milliseconds.
    pub max_ms: f64,
}

/// Rolls the bundles and follows each until it is in force on every daemon.
pub async fn run(args: &RollsArgs) -> Result<RollsSeen, CliError> {
    let mut lab = Lab::start_rolled(LabPlan::new(args.daemons, BUNDLE)).await?;
    let mut seen = RollsSeen::default();
    let mut times = Histogram::<u64>::new(3).map_err(|e| CliError::InvalidAnswer(e.to_string()))?;
    let mut highest = lab.numbers();
    for round in 0..args.rolls {
        if round % RESTART_EVERY == RESTART_EVERY / 2 {
            lab.kill_daemon(args.daemons - 1);
            let started = lab.start_daemon(args.daemons - 1).await;
            started.map_err(|error| CliError::Usage(error.to_string()))?;
            highest = vec![0; args.daemons];
        }
        if round % LOSE_EVERY == 0 {
            lab.stubs.platform.set_fault(&Fault::DropAnswers { count: 1 });
        }
        let started_at = Instant::now();
        let number = race(&lab, round, &mut seen).await;
        let Some(number) = number else {
            continue;
        };
        let taken = follow(&lab, number, started_at, &mut highest, &mut seen).await;
        let _ = times.record(taken.as_micros() as u64);
    }
    seen.p50_ms = times.value_at_quantile(0.5) as f64 / 1000.0;
    seen.p99_ms = times.value_at_quantile(0.99) as f64 / 1000.0;
    seen.max_ms = times.max() as f64 / 1000.0;
    lab.shut_down();
    Ok(seen)
}

/// Lets two operators roll different bundles at once, and returns the highest number accepted.
async fn race(lab: &Lab, round: u32, seen: &mut RollsSeen) -> Option<u64> {
    let document = |operator: &str| format!("{BUNDLE}# round {round} of operator {operator}\n");
    let (first, second) = (document("a"), document("b"));
    let (a, b) = tokio::join!(lab.roll(&first, 0), lab.roll(&second, 1));
    let mut accepted = None;
    for end in [a, b] {
        match end {
            Ok(number) => {
                seen.accepted += 1;
                accepted = accepted.max(Some(number));
            }
            Err(CliError::Refused(refusal)) if refusal.reason == wire::Reason::Conflict => {
                seen.lost_races += 1;
            }
            Err(_) => seen.other_ends += 1,
        }
    }
    accepted
}

async fn follow(
    lab: &Lab,
    number: u64,
    started_at: Instant,
    highest: &mut [u64],
    seen: &mut RollsSeen,
) -> Duration {
    loop {
        let numbers = lab.numbers();
        for (before, now) in highest.iter_mut().zip(&numbers) {
            seen.reversals += u32::from(now < before);
            *before = (*before).max(*now);
        }
        if numbers.iter().all(|in_force| *in_force >= number) {
            return started_at.elapsed();
        }
        if started_at.elapsed() > BOUND {
            seen.over_bound += 1;
            return started_at.elapsed();
        }
        tokio::time::sleep(LOOK).await;
    }
}
