//! The router: chooses within a stable subset of replicas, by prefix affinity with bounded load, or
//! else by the lower cost of two random replicas.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::SliceRandom;
use wire::DaemonName;
use wire::DataCentre;
use wire::Millis;
use wire::ReplicaName;
use wire::rendezvous;

use crate::ejection::Ejection;
use crate::ejection::drop_ejected;

/// The load bound of prefix affinity, as a multiple of one more than the mean load.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// The age from which a replica's load report is no longer used.
const REPORT_TTL_MS: Millis = 1_000;
/// The weight of the latest time to first token in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// The number of replicas that prefix affinity tries for one prefix before the choice is by cost.
const MAX_AFFINITY_REPLICAS: usize = 2;

/// A replica that can be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The replica.
    pub replica: ReplicaName,
    /// The replica's data centre.
    pub data_centre: DataCentre,
    /// The number of streams that the replica should run concurrently.
    pub slots: u32,
}

/// The load and health of one replica as known to the router.
#[derive(Clone, Debug, Default)]
struct ReplicaStats {
    in_flight: u32,
    mean_first_token_ms: Option<f64>,
    reported_load: Option<ReportedLoad>,
    ejection: Ejection,
}

/// The load that a replica reported with its latest answer.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    running: u32,
    at_ms: Millis,
    own_in_flight: u32,
}

/// Why no replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickError {
    /// No candidate is left.
    NoCandidate,
    /// Every candidate is full.
    Full {
        /// The suggested wait before the next try.
        retry_after_ms: Millis,
    },
}

/// The inputs of one choice.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// The replicas of the model that are live and not leaving.
    pub candidates: &'a [Candidate],
    /// The hash of the prompt's prefix, if affinity is wanted.
    pub prefix: Option<u64>,
    /// Replicas already tried for this request.
    pub tried: &'a [ReplicaName],
    /// The maximum queue length at a replica, in percent of its slots.
    pub queue_percent: u32,
}

/// The router of one daemon.
pub struct Router {
    own: DaemonName,
    own_data_centre: DataCentre,
    subset_size: usize,
    replicas: BTreeMap<ReplicaName, ReplicaStats>,
}

impl Router {
    /// Creates a router that uses at most `subset_size` replicas of each model.
    pub fn new(own: DaemonName, own_data_centre: DataCentre, subset_size: usize) -> Self {
        Self { own, own_data_centre, subset_size, replicas: BTreeMap::new() }
    }

    /// Chooses a replica; the calling code then calls `on_start` and `on_end`.
    pub fn pick(
        &self,
        now_ms: Millis,
        request: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Result<ReplicaName, PickError> {
        let usable = self.usable_candidates(now_ms, request);
        if usable.is_empty() {
            return Err(PickError::NoCandidate);
        }
        let available: Vec<&Candidate> = usable
            .into_iter()
            .filter(|candidate| {
                let limit = candidate.slots + candidate.slots * request.queue_percent / 100;
                self.load(now_ms, candidate) < limit
            })
            .collect();
        if available.is_empty() {
            return Err(PickError::Full { retry_after_ms: FULL_RETRY_AFTER_MS });
        }
        let chosen = request
            .prefix
            .and_then(|prefix| self.choose_by_prefix(now_ms, &available, prefix))
            .or_else(|| self.choose_of_two(now_ms, &available, rng));
        chosen.map(|candidate| candidate.replica.clone()).ok_or(PickError::NoCandidate)
    }

    /// Records that a request was sent to a replica.
    pub fn on_start(&mut self, replica: &ReplicaName) {
        self.stats_mut(replica).in_flight += 1;
    }

    /// Records that a request ended at a replica.
    pub fn on_end(&mut self, replica: &ReplicaName) {
        let stats = self.stats_mut(replica);
        stats.in_flight = stats.in_flight.saturating_sub(1);
    }

    /// Records the time to the first token of an answer, which ends any ejection of the replica.
    pub fn on_first_token(&mut self, replica: &ReplicaName, took_ms: Millis) {
        let stats = self.stats_mut(replica);
        let took_ms = took_ms as f64;
        let mean_ms = stats.mean_first_token_ms.unwrap_or(took_ms);
        stats.mean_first_token_ms = Some(mean_ms + LATENCY_WEIGHT * (took_ms - mean_ms));
        stats.ejection.on_success();
    }

    /// Records a failed request.
    pub fn on_failure(&mut self, now_ms: Millis, replica: &ReplicaName) {
        self.stats_mut(replica).ejection.on_failure(now_ms);
    }

    /// Records the load that a replica reported with an answer.
    pub fn on_report(&mut self, now_ms: Millis, replica: &ReplicaName, running: u32) {
        let stats = self.stats_mut(replica);
        let own_in_flight = stats.in_flight;
        stats.reported_load = Some(ReportedLoad { running, at_ms: now_ms, own_in_flight });
    }

    /// Returns the number of this daemon's requests in flight at a replica.
    pub fn in_flight(&self, replica: &ReplicaName) -> u32 {
        self.replicas.get(replica).map_or(0, |stats| stats.in_flight)
    }

    /// Removes replicas that are no longer in the bundle and have no request in flight.
    pub fn retain(&mut self, is_known: impl Fn(&ReplicaName) -> bool) {
        self.replicas.retain(|replica, stats| stats.in_flight > 0 || is_known(replica));
    }

    fn stats_mut(&mut self, replica: &ReplicaName) -> &mut ReplicaStats {
        self.replicas.entry(replica.clone()).or_default()
    }

    fn usable_candidates<'a>(
        &self,
        now_ms: Millis,
        request: &PickRequest<'a>,
    ) -> Vec<&'a Candidate> {
        let untried: Vec<&Candidate> = request
            .candidates
            .iter()
            .filter(|candidate| !request.tried.contains(&candidate.replica))
            .collect();
        let subset = self.subset_of(untried);
        drop_ejected(subset, |candidate| {
            let stats = self.replicas.get(&candidate.replica);
            stats.is_some_and(|stats| stats.ejection.is_ejected(now_ms))
        })
    }

    /// Returns this daemon's subset of the replicas: those of its own data centre first, ranked by
    /// rendezvous hash.
    fn subset_of<'a>(&self, mut candidates: Vec<&'a Candidate>) -> Vec<&'a Candidate> {
        if candidates.len() <= self.subset_size {
            return candidates;
        }
        candidates.sort_by_key(|candidate| {
            let is_remote = candidate.data_centre != self.own_data_centre;
            let weight = rendezvous::weight(self.own.as_str(), candidate.replica.as_str());
            (is_remote, std::cmp::Reverse(weight))
        });
        candidates.truncate(self.subset_size);
        candidates
    }

    fn choose_by_prefix<'a>(
        &self,
        now_ms: Millis,
        available: &[&'a Candidate],
        prefix: u64,
    ) -> Option<&'a Candidate> {
        let key = prefix.to_string();
        let mean = self.mean_load(now_ms, available);
        let bound = (mean + 1.0) * AFFINITY_LOAD_FACTOR;
        let mut preferred = available.to_vec();
        preferred.sort_by_key(|candidate| {
            std::cmp::Reverse(rendezvous::weight(&key, candidate.replica.as_str()))
        });
        preferred
            .into_iter()
            .take(MAX_AFFINITY_REPLICAS)
            .find(|candidate| f64::from(self.load(now_ms, candidate)) < bound)
    }

    fn choose_of_two<'a>(
        &self,
        now_ms: Millis,
        available: &[&'a Candidate],
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate> {
        let two = available.choose_multiple(rng, 2);
        two.copied().min_by(|a, b| self.cost(now_ms, a).total_cmp(&self.cost(now_ms, b)))
    }

    fn cost(&self, now_ms: Millis, candidate: &Candidate) -> f64 {
        let load = f64::from(self.load(now_ms, candidate));
        let occupancy = load / f64::from(candidate.slots.max(1));
        let stats = self.replicas.get(&candidate.replica);
        let mean_first_token_ms = stats.and_then(|stats| stats.mean_first_token_ms).unwrap_or(0.0);
        (occupancy + 0.1) * (mean_first_token_ms + 1.0)
    }

    fn mean_load(&self, now_ms: Millis, available: &[&Candidate]) -> f64 {
        let total: u32 = available.iter().map(|c| self.load(now_ms, c)).sum();
        f64::from(total) / available.len().max(1) as f64
    }

    /// Estimates the number of online streams at a replica.
    ///
    /// A replica's report also counts batch streams, which yield to online streams; it therefore
    /// indicates online load only if it exceeds the slots.
    fn load(&self, now_ms: Millis, candidate: &Candidate) -> u32 {
        let Some(stats) = self.replicas.get(&candidate.replica) else {
            return 0;
        };
        let fresh = stats.reported_load.filter(|report| now_ms < report.at_ms + REPORT_TTL_MS);
        let full = fresh.filter(|report| report.running > candidate.slots);
        let estimate = full.map_or(0, |report| {
            (report.running + stats.in_flight).saturating_sub(report.own_in_flight)
        });
        estimate.max(stats.in_flight)
    }
}

/// The retry delay suggested when every replica is full.
const FULL_RETRY_AFTER_MS: Millis = 500;
