//! Detection of replicas that fail more than their service: state machines without I/O or clock.
//!
//! The load that sizes the constants: 77 daemons with 3 requests a second each at 45 replicas, so
//! that a replica has 5 outcomes a second over all daemons and one in 15 seconds of each daemon.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use wire::Millis;
use wire::ReplicaName;

use crate::outcomes::OutcomeReport;
use crate::speed::RunTimes;

/// The most outcomes that a detector keeps.
const MAX_OUTCOMES: usize = 64;
/// How long an outcome counts.
const OUTCOME_TTL_MS: Millis = 5_000;
/// The most daemons that a detector remembers as users of its replica.
const MAX_HOLDERS: usize = 16;
/// How long a daemon counts as a user of a replica after its last outcome; a daemon of a large fleet
/// uses each replica once in 15 seconds, but many daemons do.
const HOLDER_TTL_MS: Millis = 10_000;
/// The least failure rate that is expected of sound replicas.
const MIN_SERVICE_RATE: f64 = 0.02;
/// The highest failure rate of a service that is compared with.
const MAX_SERVICE_RATE: f64 = 0.95;
/// How far the failure rate of an outlier is from that of its service, as a share of the way to 1.
const OUTLIER_DISTANCE: f64 = 0.4;
/// The evidence at which half of the slots are withheld: 3 failures in a row at a sound service.
const HALF_EVIDENCE: f64 = 8.0;
/// The evidence at which three quarters of the slots are withheld.
const QUARTER_EVIDENCE: f64 = 10.0;
/// The evidence at which all slots are withheld: 4 failures in a row at a sound service, or some 13
/// outcomes of which 0.4 are failures.
const OUT_EVIDENCE: f64 = 11.5;
/// The evidence at which a replica that is being restored is taken out again: 2 failures in a row.
const RELAPSE_EVIDENCE: f64 = 5.9;
/// The evidence that is needed is multiplied by this if requests fail throughout the service, since
/// chance then brings many failures together: at a rate of 0.2, 1 of 45 replicas was taken out in 100 s.
const FAILING_SERVICE_FACTOR: f64 = 1.5;
/// The failure rate of a service above which requests fail throughout it.
const FAILING_SERVICE_RATE: f64 = 0.05;
/// The least number of slots of a replica that is not out; a single slot means a trial.
const LEAST_REDUCED_SLOTS: u32 = 2;
/// How long a daemon must have failed at a replica that no other daemon uses. It is longer than an
/// online run, since failures can end before the successes of other daemons do.
const SOLE_HOLDER_MS: Millis = 1_000;
/// The evidence of the other daemons that confirms that of the daemon with the most failures.
const CONFIRMING_EVIDENCE: f64 = 1.0;
/// The failures of other daemons that confirm those of the daemon with the most failures.
const CONFIRMING_FAILURES: usize = 2;
/// The time from the withdrawal of all slots to the first trial; it doubles with each failed one.
const FIRST_TRIAL_MS: Millis = 400;
/// The longest time between two trials.
const MAX_TRIAL_MS: Millis = 4_000;
/// How long after a full restoration failed trials are forgotten.
const FORGET_TRIALS_MS: Millis = 10_000;
/// The successes in a row during single trials after which slots are granted again. A replica that
/// fails 0.4 of its requests passes 1 series in 8.
const TRIAL_SUCCESSES: u32 = 4;
/// The successes in a row after which the next larger part of the slots is granted.
const STAGE_SUCCESSES: u32 = 6;
/// The least number of outcomes with which a replica counts in the failure rate of its service.
const MIN_RATE_OUTCOMES: u8 = 4;
/// The successes that are assumed of a replica when its share of failures is a cost of its choice.
const ASSUMED_SUCCESSES: f64 = 4.0;
/// The slots that remain, as a multiple of those that online requests occupy or wait for.
const SPARE_CAPACITY: f64 = 1.1;
/// The least share of a replica's runs that must succeed for its slots to be granted because of the load.
/// A request that waits elsewhere is served late or at its next attempt; one that fails may be lost.
const MIN_USEFUL_SHARE: f64 = 0.5;

/// How many of a replica's slots its owner grants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// All slots.
    #[default]
    Full,
    /// Half of the slots.
    Half,
    /// A quarter of the slots.
    Quarter,
    /// One slot at a time, for trials.
    Out,
}

impl Stage {
    /// Returns the name of the stage for logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Half => "half",
            Self::Quarter => "quarter",
            Self::Out => "out",
        }
    }
}

/// The recent outcomes of a replica, as its owner reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthSummary {
    /// The number of recent outcomes.
    pub outcomes: u8,
    /// The number of failures among them.
    pub failures: u8,
    /// The median duration of its online runs in milliseconds, or 0 if it is not known.
    pub run_ms: u16,
}

impl HealthSummary {
    /// Returns the share of failures.
    pub fn failure_share(&self) -> f64 {
        f64::from(self.failures.min(self.outcomes)) / f64::from(self.outcomes.max(1))
    }

    /// Returns the share of failures among these outcomes and a few assumed successes, so that one
    /// failure of a rarely used replica weighs little.
    pub fn cautious_failure_share(&self) -> f64 {
        f64::from(self.failures.min(self.outcomes)) / (f64::from(self.outcomes) + ASSUMED_SUCCESSES)
    }
}

/// Returns the failure rate of a service: the lower median of its replicas' shares, which a minority
/// of failing replicas doesn't move and a fault of the requests does.
///
/// If fewer than half of the replicas have enough outcomes, such as after the start of the fleet, the
/// share of all outcomes counts if it is higher, since failures are often known before successes.
pub fn service_rate(summaries: impl Iterator<Item = HealthSummary>) -> f64 {
    let (mut replicas, mut outcomes, mut failures) = (0, 0, 0);
    let mut shares: Vec<f64> = Vec::new();
    for summary in summaries {
        replicas += 1;
        outcomes += u32::from(summary.outcomes);
        failures += u32::from(summary.failures.min(summary.outcomes));
        if summary.outcomes >= MIN_RATE_OUTCOMES {
            shares.push(summary.failure_share());
        }
    }
    shares.sort_by(f64::total_cmp);
    let median = shares.get(shares.len().saturating_sub(1) / 2).copied().unwrap_or(0.0);
    let is_known = shares.len() * 2 >= replicas;
    let pooled = f64::from(failures) / f64::from(outcomes.max(1));
    let rate = if is_known { median } else { median.max(pooled) };
    rate.clamp(MIN_SERVICE_RATE, MAX_SERVICE_RATE)
}

#[derive(Clone, Copy, Debug)]
struct Outcome {
    at_ms: Millis,
    holder: u64,
    /// The hash of the request, if its run failed.
    failed_request: Option<u32>,
}

/// A change of the stage, with what it was decided by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageChange {
    /// The stage before.
    pub from: Stage,
    /// The stage from now on.
    pub to: Stage,
    /// The evidence for an outlier, as a log likelihood ratio.
    pub evidence: f64,
    /// The recent outcomes of the replica.
    pub summary: HealthSummary,
    /// The number of daemons that reported them.
    pub holders: usize,
    /// The failure rate of the service.
    pub service_rate: f64,
    /// The age of the oldest outcome.
    pub age_ms: Millis,
}

impl fmt::Display for StageChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "from={} to={} evidence={:.1} outcomes={} failures={} holders={} service_rate={:.3} age_ms={}",
            self.from.as_str(),
            self.to.as_str(),
            self.evidence,
            self.summary.outcomes,
            self.summary.failures,
            self.holders,
            self.service_rate,
            self.age_ms
        )
    }
}

/// Detects whether one replica fails more than its service, from the outcomes of all daemons.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    outcomes: VecDeque<Outcome>,
    /// The daemons that used the replica, each with the time of its last outcome.
    holders: Vec<(u64, Millis)>,
    stage: Stage,
    /// Whether the replica is being restored after it was out.
    is_recovering: bool,
    successes_in_row: u32,
    trial_at_ms: Millis,
    trial_wait_ms: Millis,
    restored_at_ms: Millis,
    staged_at_ms: Millis,
    /// When the first of the outcomes for which slots are withheld was recorded.
    failing_since_ms: Millis,
    run_times: RunTimes,
    run_ms: u16,
}

impl Detector {
    /// Returns the stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns how many of the replica's slots may be granted.
    pub fn limit(&self, now_ms: Millis, slots: u32) -> u32 {
        match self.stage {
            Stage::Full => slots,
            Stage::Half => slots.div_ceil(2).max(LEAST_REDUCED_SLOTS).min(slots),
            Stage::Quarter => slots.div_ceil(4).max(LEAST_REDUCED_SLOTS).min(slots),
            Stage::Out => u32::from(now_ms >= self.trial_at_ms).min(slots),
        }
    }

    /// Records the duration of a completed online run.
    pub fn record_run(&mut self, now_ms: Millis, run_ms: Millis) {
        self.run_times.record(now_ms, run_ms);
    }

    /// Estimates the duration of runs; `running_ms` are the ages of the online runs that go on.
    pub fn update_run_ms(&mut self, now_ms: Millis, running_ms: impl Iterator<Item = Millis>) {
        self.run_ms = self.run_times.estimate_ms(now_ms, running_ms);
    }

    /// Returns the recent outcomes; while slots are withheld, those since the replica began to fail.
    ///
    /// The outcomes before would hide that a replica fails all its requests now.
    pub fn summary(&self) -> HealthSummary {
        let is_reduced = self.stage != Stage::Full;
        let counts = |outcome: &&Outcome| !is_reduced || outcome.at_ms >= self.failing_since_ms;
        let counted = self.outcomes.iter().filter(counts);
        let failures = counted.clone().filter(|outcome| outcome.failed_request.is_some());
        // MAX_OUTCOMES fits in a byte.
        HealthSummary {
            outcomes: counted.count() as u8,
            failures: failures.count() as u8,
            run_ms: self.run_ms,
        }
    }

    /// Forgets old outcomes; those that took all slots away are kept until trials succeed.
    pub fn expire(&mut self, now_ms: Millis) {
        if self.stage == Stage::Out {
            return;
        }
        if self.stage != Stage::Full
            && self.outcomes.back().is_none_or(|last| now_ms >= last.at_ms + OUTCOME_TTL_MS)
            && now_ms >= self.staged_at_ms + OUTCOME_TTL_MS
        {
            // Without requests there is no evidence left.
            self.grant_more(now_ms);
        }
        while self.outcomes.front().is_some_and(|first| now_ms >= first.at_ms + OUTCOME_TTL_MS) {
            self.outcomes.pop_front();
        }
    }

    /// Records what a daemon reported; returns the change of the stage, if any.
    pub fn record(
        &mut self,
        now_ms: Millis,
        holder: u64,
        report: &OutcomeReport,
        service_rate: f64,
    ) -> Option<StageChange> {
        self.expire(now_ms);
        if !report.is_empty() {
            self.record_holder(now_ms, holder);
        }
        let before = self.stage;
        let mut evidence = 0.0;
        let successes = usize::from(report.successes).min(MAX_OUTCOMES);
        for _ in 0..successes {
            self.push(Outcome { at_ms: now_ms, holder, failed_request: None });
            self.successes_in_row += 1;
            evidence = self.restore(now_ms, service_rate);
        }
        for request in &report.failures {
            let is_same = |outcome: &Outcome| outcome.failed_request == Some(*request);
            if self.outcomes.iter().any(is_same) {
                continue;
            }
            self.push(Outcome { at_ms: now_ms, holder, failed_request: Some(*request) });
            self.successes_in_row = 0;
            evidence = self.reduce(now_ms, service_rate);
        }
        let oldest_ms = self.outcomes.front().map_or(now_ms, |first| first.at_ms);
        (self.stage != before).then(|| StageChange {
            from: before,
            to: self.stage,
            evidence,
            summary: self.summary(),
            holders: self.holders.len(),
            service_rate,
            age_ms: now_ms.saturating_sub(oldest_ms),
        })
    }

    /// Records what a daemon reported with the release of a run that began at `began_ms`, if that is
    /// known; returns the change of the stage, if any.
    ///
    /// While single trials are granted, only the outcome of a run that began after the withdrawal
    /// counts: earlier runs do not show the present state of the replica.
    pub fn record_release(
        &mut self,
        now_ms: Millis,
        began_ms: Option<Millis>,
        holder: u64,
        report: &OutcomeReport,
        service_rate: f64,
    ) -> Option<StageChange> {
        if self.stage != Stage::Out {
            return self.record(now_ms, holder, report, service_rate);
        }
        let is_trial = began_ms.is_some_and(|began_ms| began_ms > self.staged_at_ms);
        is_trial.then(|| self.record(now_ms, holder, &report.last(), service_rate)).flatten()
    }

    fn record_holder(&mut self, now_ms: Millis, holder: u64) {
        self.holders.retain(|(other, at_ms)| *other != holder && now_ms < at_ms + HOLDER_TTL_MS);
        if self.holders.len() >= MAX_HOLDERS {
            self.holders.remove(0);
        }
        self.holders.push((holder, now_ms));
    }

    fn push(&mut self, outcome: Outcome) {
        if self.outcomes.len() >= MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(outcome);
    }

    /// Grants more slots after enough successes in a row; returns the evidence.
    fn restore(&mut self, now_ms: Millis, service_rate: f64) -> f64 {
        let needed = if self.stage == Stage::Out { TRIAL_SUCCESSES } else { STAGE_SUCCESSES };
        let (evidence, _) = self.evidence(now_ms, service_rate);
        if self.stage != Stage::Full && self.successes_in_row >= needed {
            self.grant_more(now_ms);
        }
        evidence
    }

    fn grant_more(&mut self, now_ms: Millis) {
        self.successes_in_row = 0;
        self.staged_at_ms = now_ms;
        match self.stage {
            Stage::Out => {
                self.is_recovering = true;
                self.stage = Stage::Quarter;
                self.outcomes.clear();
            }
            Stage::Quarter => self.stage = Stage::Half,
            Stage::Half | Stage::Full => {
                self.is_recovering = false;
                self.stage = Stage::Full;
                self.restored_at_ms = now_ms;
            }
        }
    }

    /// Grants fewer slots if the evidence suffices; returns the evidence.
    fn reduce(&mut self, now_ms: Millis, service_rate: f64) -> f64 {
        let (evidence, since_ms) = self.evidence(now_ms, service_rate);
        if self.stage == Stage::Out {
            // Failures that arrive before the trial was due belong to runs before it.
            if now_ms >= self.trial_at_ms {
                self.delay_trial(now_ms);
            }
            return evidence;
        }
        let out_evidence = if self.is_recovering { RELAPSE_EVIDENCE } else { OUT_EVIDENCE };
        let is_failing = service_rate > FAILING_SERVICE_RATE;
        let scaled = if is_failing { evidence / FAILING_SERVICE_FACTOR } else { evidence };
        let stage = match scaled {
            evidence if evidence >= out_evidence => Stage::Out,
            evidence if evidence >= QUARTER_EVIDENCE => Stage::Quarter,
            evidence if evidence >= HALF_EVIDENCE => Stage::Half,
            _ => Stage::Full,
        };
        if stage > self.stage {
            self.stage = stage;
            self.staged_at_ms = now_ms;
            self.failing_since_ms = since_ms;
        }
        if self.stage == Stage::Out {
            if !self.is_recovering && now_ms >= self.restored_at_ms + FORGET_TRIALS_MS {
                self.trial_wait_ms = 0;
            }
            self.is_recovering = false;
            self.delay_trial(now_ms);
        }
        evidence
    }

    fn delay_trial(&mut self, now_ms: Millis) {
        self.trial_wait_ms = (self.trial_wait_ms * 2).clamp(FIRST_TRIAL_MS, MAX_TRIAL_MS);
        self.trial_at_ms = now_ms + self.trial_wait_ms;
    }

    /// Returns the largest sum of log likelihood ratios over the latest outcomes, or 0 if only one of
    /// several daemons reports failures, and the time of the first of these outcomes.
    fn evidence(&self, now_ms: Millis, service_rate: f64) -> (f64, Millis) {
        let rate = service_rate.clamp(MIN_SERVICE_RATE, MAX_SERVICE_RATE);
        let outlier_rate = rate + (1.0 - rate) * OUTLIER_DISTANCE;
        let of_failure = (outlier_rate / rate).ln();
        let of_success = ((1.0 - outlier_rate) / (1.0 - rate)).ln();
        let ratio = |outcome: &Outcome| {
            if outcome.failed_request.is_some() { of_failure } else { of_success }
        };
        let (mut sum, mut evidence, mut counted) = (0.0, 0.0, 0);
        for (index, outcome) in self.outcomes.iter().rev().enumerate() {
            sum += ratio(outcome);
            if sum > evidence {
                (evidence, counted) = (sum, index + 1);
            }
        }
        let latest = || self.outcomes.iter().rev().take(counted);
        let since_ms = latest().next_back().map_or(now_ms, |first| first.at_ms);
        if self.holders.len() < 2 {
            let is_long = now_ms >= since_ms + SOLE_HOLDER_MS;
            return (if is_long { evidence } else { 0.0 }, since_ms);
        }
        let mut failures: HashMap<u64, usize> = HashMap::new();
        for outcome in latest().filter(|outcome| outcome.failed_request.is_some()) {
            *failures.entry(outcome.holder).or_default() += 1;
        }
        let most = failures.iter().max_by_key(|(holder, count)| (**count, **holder));
        let Some((most, _)) = most else { return (0.0, since_ms) };
        let others: Vec<&Outcome> = latest().filter(|outcome| outcome.holder != *most).collect();
        let failures = others.iter().filter(|outcome| outcome.failed_request.is_some()).count();
        let sum: f64 = others.iter().map(|outcome| ratio(outcome)).sum();
        let is_confirmed = failures >= CONFIRMING_FAILURES && sum >= CONFIRMING_EVIDENCE;
        (if is_confirmed { evidence } else { 0.0 }, since_ms)
    }
}

/// A replica as an owner sees it when it decides how many slots to withhold.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceReplica {
    /// The name.
    pub name: ReplicaName,
    /// The slots of the replica.
    pub slots: u32,
    /// The slots that its owner grants, or wants to grant.
    pub limit: u32,
    /// The slots that online requests occupy or wait for.
    pub demand: u32,
    /// The recent outcomes.
    pub summary: HealthSummary,
}

/// Returns the slots that may be granted at each replica of a service, in the order of `replicas`.
///
/// A withheld slot costs the share of its runs that would succeed, or nothing if most of them would fail.
/// What is withheld leaves enough slots for the load, and comes from at most half of the replicas. The
/// order of precedence depends only on what all owners report, so that they agree.
pub fn bounded_limits(replicas: &[ServiceReplica]) -> Vec<u32> {
    let sound = |replica: &ServiceReplica| match 1.0 - replica.summary.failure_share() {
        share if share < MIN_USEFUL_SHARE => 0.0,
        share => share,
    };
    let capacity: f64 = replicas.iter().map(|r| f64::from(r.slots) * sound(r)).sum();
    let demand: u32 = replicas.iter().map(|replica| replica.demand).sum();
    let mut spare = capacity - f64::from(demand) * SPARE_CAPACITY;
    let mut may_reduce = replicas.len() / 2;
    let mut order: Vec<usize> = (0..replicas.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&replicas[*a], &replicas[*b]);
        sound(a).total_cmp(&sound(b)).then_with(|| a.name.cmp(&b.name))
    });
    let mut limits: Vec<u32> = replicas.iter().map(|replica| replica.slots).collect();
    for index in order {
        let replica = &replicas[index];
        let wanted = replica.slots.saturating_sub(replica.limit);
        if wanted == 0 || may_reduce == 0 {
            continue;
        }
        let affordable = match sound(replica) {
            share if share * f64::from(wanted) <= spare => wanted,
            share if share > 0.0 => (spare.max(0.0) / share) as u32,
            _ => wanted,
        };
        let withheld = wanted.min(affordable);
        spare -= f64::from(withheld) * sound(replica);
        may_reduce -= usize::from(withheld > 0);
        limits[index] = replica.slots - withheld;
    }
    limits
}
