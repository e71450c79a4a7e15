//! The router: a stable subset, prefix affinity with bounded load, and the better of two.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::SliceRandom;
use wire::DaemonName;
use wire::DataCentre;
use wire::Millis;
use wire::ReplicaName;
use wire::rendezvous;

use crate::ejection::Ejection;
use crate::ejection::keep_enough;

/// How far over the mean load prefix affinity may push a replica.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// The age at which a replica's own load report is no longer used.
const REPORT_LIFE_MS: Millis = 1_000;
/// The weight of the newest time to first token in the running mean.
const LATENCY_WEIGHT: f64 = 0.2;
/// Replicas that one prefix may be sent to before load decides.
const AFFINITY_CHOICES: usize = 2;

/// A replica that may be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The replica.
    pub replica: ReplicaName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The streams it should run at once.
    pub slots: u32,
}

/// What the router knows of one replica.
#[derive(Clone, Debug, Default)]
struct Record {
    in_flight: u32,
    first_token_ms: Option<f64>,
    reported: Option<Report>,
    ejection: Ejection,
}

/// A replica's own load, as its latest answer told it.
#[derive(Clone, Copy, Debug)]
struct Report {
    running: u32,
    at_ms: Millis,
    own_in_flight_then: u32,
}

/// Why no replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickError {
    /// No candidate is left.
    None,
    /// Every candidate is full; the shortest wait that can be expected.
    Full {
        /// When to try again.
        retry_after_ms: Millis,
    },
}

/// What is asked of one choice.
#[derive(Clone, Debug)]
pub struct Pick<'a> {
    /// The replicas of the model that are live and stay.
    pub candidates: &'a [Candidate],
    /// The hash of the prompt's prefix, if affinity is wanted.
    pub prefix: Option<u64>,
    /// Replicas already tried for this request.
    pub tried: &'a [ReplicaName],
    /// The longest queue at a replica, in percent of its slots.
    pub queue_percent: u32,
}

/// The router of one daemon.
pub struct Router {
    own: DaemonName,
    own_data_centre: DataCentre,
    subset: usize,
    records: BTreeMap<ReplicaName, Record>,
}

impl Router {
    /// Creates a router that uses at most `subset` replicas of each model.
    pub fn new(own: DaemonName, own_data_centre: DataCentre, subset: usize) -> Self {
        Self { own, own_data_centre, subset, records: BTreeMap::new() }
    }

    /// Chooses a replica; the caller then reports `on_start` and `on_end`.
    pub fn pick(
        &self,
        now_ms: Millis,
        pick: &Pick<'_>,
        rng: &mut impl Rng,
    ) -> Result<ReplicaName, PickError> {
        let usable = self.usable(now_ms, pick);
        if usable.is_empty() {
            return Err(PickError::None);
        }
        let open: Vec<&Candidate> = usable
            .into_iter()
            .filter(|candidate| {
                let limit = candidate.slots + candidate.slots * pick.queue_percent / 100;
                self.load(now_ms, candidate) < limit
            })
            .collect();
        if open.is_empty() {
            return Err(PickError::Full { retry_after_ms: FULL_RETRY_AFTER_MS });
        }
        let chosen = pick
            .prefix
            .and_then(|prefix| self.affine(now_ms, &open, prefix))
            .or_else(|| self.better_of_two(now_ms, &open, rng));
        chosen.map(|candidate| candidate.replica.clone()).ok_or(PickError::None)
    }

    /// Records that a request was sent to a replica.
    pub fn on_start(&mut self, replica: &ReplicaName) {
        self.record(replica).in_flight += 1;
    }

    /// Records that a request ended at a replica.
    pub fn on_end(&mut self, replica: &ReplicaName) {
        let record = self.record(replica);
        record.in_flight = record.in_flight.saturating_sub(1);
    }

    /// Records a first token.
    pub fn on_first_token(&mut self, replica: &ReplicaName, took_ms: Millis) {
        let record = self.record(replica);
        let took_ms = took_ms as f64;
        let mean_ms = record.first_token_ms.unwrap_or(took_ms);
        record.first_token_ms = Some(mean_ms + LATENCY_WEIGHT * (took_ms - mean_ms));
        record.ejection.on_success();
    }

    /// Records a failed request.
    pub fn on_failure(&mut self, now_ms: Millis, replica: &ReplicaName) {
        self.record(replica).ejection.on_failure(now_ms);
    }

    /// Records the load that a replica told with an answer.
    pub fn on_report(&mut self, now_ms: Millis, replica: &ReplicaName, running: u32) {
        let record = self.record(replica);
        let own_in_flight_then = record.in_flight;
        record.reported = Some(Report { running, at_ms: now_ms, own_in_flight_then });
    }

    /// Returns this daemon's requests in flight at a replica.
    pub fn in_flight(&self, replica: &ReplicaName) -> u32 {
        self.records.get(replica).map_or(0, |record| record.in_flight)
    }

    /// Forgets replicas that are not in the bundle any more.
    pub fn retain(&mut self, is_known: impl Fn(&ReplicaName) -> bool) {
        self.records.retain(|replica, record| record.in_flight > 0 || is_known(replica));
    }

    fn record(&mut self, replica: &ReplicaName) -> &mut Record {
        self.records.entry(replica.clone()).or_default()
    }

    fn usable<'a>(&self, now_ms: Millis, pick: &Pick<'a>) -> Vec<&'a Candidate> {
        let untried: Vec<&Candidate> = pick
            .candidates
            .iter()
            .filter(|candidate| !pick.tried.contains(&candidate.replica))
            .collect();
        let subset = self.subset_of(untried);
        keep_enough(subset, |candidate| {
            let record = self.records.get(&candidate.replica);
            record.is_some_and(|record| record.ejection.is_ejected(now_ms))
        })
    }

    /// Returns this daemon's part of the replicas: its own data centre first, spread by hash.
    fn subset_of<'a>(&self, mut candidates: Vec<&'a Candidate>) -> Vec<&'a Candidate> {
        if candidates.len() <= self.subset {
            return candidates;
        }
        candidates.sort_by_key(|candidate| {
            let is_remote = candidate.data_centre != self.own_data_centre;
            let weight = rendezvous::weight(self.own.as_str(), candidate.replica.as_str());
            (is_remote, std::cmp::Reverse(weight))
        });
        candidates.truncate(self.subset);
        candidates
    }

    fn affine<'a>(
        &self,
        now_ms: Millis,
        open: &[&'a Candidate],
        prefix: u64,
    ) -> Option<&'a Candidate> {
        let key = prefix.to_string();
        let mean = self.mean_load(now_ms, open);
        let bound = (mean + 1.0) * AFFINITY_LOAD_FACTOR;
        let mut preferred = open.to_vec();
        preferred.sort_by_key(|candidate| {
            std::cmp::Reverse(rendezvous::weight(&key, candidate.replica.as_str()))
        });
        preferred
            .into_iter()
            .take(AFFINITY_CHOICES)
            .find(|candidate| f64::from(self.load(now_ms, candidate)) < bound)
    }

    fn better_of_two<'a>(
        &self,
        now_ms: Millis,
        open: &[&'a Candidate],
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        let two = open.choose_multiple(rng, 2);
        two.copied().min_by(|a, b| self.cost(now_ms, a).total_cmp(&self.cost(now_ms, b)))
    }

    fn cost(&self, now_ms: Millis, candidate: &Candidate) -> f64 {
        let load = f64::from(self.load(now_ms, candidate));
        let fill = load / f64::from(candidate.slots.max(1));
        let record = self.records.get(&candidate.replica);
        let first_token_ms = record.and_then(|record| record.first_token_ms).unwrap_or(0.0);
        (fill + 0.1) * (first_token_ms + 1.0)
    }

    fn mean_load(&self, now_ms: Millis, open: &[&Candidate]) -> f64 {
        let total: u32 = open.iter().map(|c| self.load(now_ms, c)).sum();
        f64::from(total) / open.len().max(1) as f64
    }

    /// Estimates a replica's online streams.
    ///
    /// A replica's own report counts batch streams too, and those give way; it says something of
    /// online load only when more streams are there than slots.
    fn load(&self, now_ms: Millis, candidate: &Candidate) -> u32 {
        let Some(record) = self.records.get(&candidate.replica) else {
            return 0;
        };
        let fresh = record.reported.filter(|report| now_ms < report.at_ms + REPORT_LIFE_MS);
        let full = fresh.filter(|report| report.running > candidate.slots);
        let estimate = full.map_or(0, |report| {
            (report.running + record.in_flight).saturating_sub(report.own_in_flight_then)
        });
        estimate.max(record.in_flight)
    }
}

/// The wait suggested when every replica is full.
const FULL_RETRY_AFTER_MS: Millis = 500;
