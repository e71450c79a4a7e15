//! The load and health of replicas as known to one daemon, and the choice among them.

use std::collections::HashMap;

use wire::DataCentre;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;

use crate::message::Class;
use crate::message::Load;
use crate::message::LoadReport;
use crate::outlier::HealthSummary;
use crate::speed;

/// The cost of a replica in another data centre, in units of a fully occupied replica; it decides
/// between replicas of about equal load.
const OTHER_DATA_CENTRE_COST: f64 = 0.15;
/// The cost of revoking a batch item's slot.
const REVOKE_COST: f64 = 1.0;
/// The cost of a replica that is suspected of not answering.
const SUSPECT_COST: f64 = 100.0;
/// The number of random replicas with a free slot that are compared. With 45 replicas and 60 daemons that
/// learn at the same moment of an idle one, 11 choose it, not 60.
const MAX_COMPARED: usize = 8;
/// How many times longer than usual the runs of a sound replica may take. The speeds of sound replicas
/// differ by a factor of up to 2.5; equal shares of occupied slots already give each requests in
/// proportion to its speed.
const USUAL_SLOWNESS: f64 = 2.5;
/// The cost of a run that takes longer than that, for each usual run.
const SLOW_COST: f64 = 0.5;
/// The cost of a failed run, so that a replica that fails fast is not preferred for being empty.
const FAILURE_COST: f64 = 0.5;
/// The slots that an owner grants for a trial.
const TRIAL_SLOTS: u32 = 1;
/// The cost of a replica whose owner grants no slots or a trial; higher than that of a queue.
const WITHHELD_COST: f64 = 20.0;
/// The cost of waiting for a slot.
const WAIT_COST: f64 = 10.0;
/// The maximum of the random part of the cost, which makes daemons that know the same loads choose
/// different replicas.
const RANDOM_COST: f64 = 0.3;
/// How long a replica is ejected after its first failure; the time doubles with each further one.
const FIRST_EJECTION_MS: Millis = 300;
/// The longest ejection; failures are forgotten if no further one follows for as long after the
/// end of an ejection.
const MAX_EJECTION_MS: Millis = 4_000;
/// The largest share of a service's replicas that may be ejected at once, in percent.
const MAX_EJECTED_PERCENT: usize = 50;

#[derive(Clone, Copy, Debug, Default)]
struct ReplicaStats {
    load: Load,
    load_at_ms: Option<Millis>,
    requested_since_load: u16,
    own_runs: u16,
    failures: u32,
    /// The request of the last answer of 500 or above, if no success followed.
    server_error: Option<u32>,
    health: HealthSummary,
    ejected_until_ms: Millis,
}

/// Tracks the load and failures of replicas and chooses among them.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    /// Whether the reported slots are those that owners grant, and less than a replica has if it fails.
    replicas_may_degrade: bool,
    replicas: HashMap<ReplicaName, ReplicaStats>,
}

impl Balancer {
    /// Sets whether owners withhold slots of replicas that fail.
    pub fn set_replicas_may_degrade(&mut self, replicas_may_degrade: bool) {
        self.replicas_may_degrade = replicas_may_degrade;
    }

    /// Returns whether owners withhold slots of replicas that fail.
    pub fn replicas_may_degrade(&self) -> bool {
        self.replicas_may_degrade
    }

    /// Records the recent outcomes that the owner reported.
    pub fn record_health(&mut self, replica: &ReplicaName, health: HealthSummary) {
        self.stats_mut(replica).health = health;
    }

    /// Returns the recent outcomes that the owner reported.
    pub fn health(&self, replica: &ReplicaName) -> HealthSummary {
        self.replicas.get(replica).map(|stats| stats.health).unwrap_or_default()
    }

    /// Records a load that the owner reported.
    pub fn record_load(&mut self, now_ms: Millis, replica: &ReplicaName, load: Load) {
        let stats = self.stats_mut(replica);
        stats.load = load;
        stats.load_at_ms = Some(now_ms);
        stats.requested_since_load = 0;
    }

    /// Records the load and the recent outcomes that the owner reported. An owner that reports no
    /// outcomes knows none, and those of a former owner count no more.
    pub fn record_report(
        &mut self,
        now_ms: Millis,
        report: &LoadReport,
        health: Option<HealthSummary>,
    ) {
        self.record_load(now_ms, &report.replica, report.load);
        self.record_health(&report.replica, health.unwrap_or_default());
    }

    /// Records that this daemon requested a slot.
    pub fn record_request(&mut self, replica: &ReplicaName) {
        let stats = self.stats_mut(replica);
        stats.requested_since_load = stats.requested_since_load.saturating_add(1);
    }

    /// Records the start of a run of this daemon.
    pub fn record_start(&mut self, replica: &ReplicaName) {
        let stats = self.stats_mut(replica);
        stats.own_runs = stats.own_runs.saturating_add(1);
    }

    /// Records the end of a run of this daemon.
    pub fn record_end(&mut self, replica: &ReplicaName) {
        let stats = self.stats_mut(replica);
        stats.own_runs = stats.own_runs.saturating_sub(1);
    }

    /// Records a success of a replica, which ends its ejection.
    pub fn record_success(&mut self, replica: &ReplicaName) {
        let stats = self.stats_mut(replica);
        stats.failures = 0;
        stats.server_error = None;
        stats.ejected_until_ms = 0;
    }

    /// Records an answer of 500 or above; returns for how long the replica is ejected.
    ///
    /// One such answer may be due to its request; two requests in a row without a success eject the
    /// replica.
    pub fn record_server_error(
        &mut self,
        now_ms: Millis,
        replica: &ReplicaName,
        request: u32,
    ) -> Millis {
        match self.stats_mut(replica).server_error.replace(request) {
            Some(previous) if previous != request => self.record_failure(now_ms, replica),
            _ => 0,
        }
    }

    /// Records a failure of a replica; returns for how long the replica is ejected, or 0 if it
    /// already was.
    pub fn record_failure(&mut self, now_ms: Millis, replica: &ReplicaName) -> Millis {
        let stats = self.stats_mut(replica);
        if now_ms < stats.ejected_until_ms {
            return 0;
        }
        if now_ms >= stats.ejected_until_ms + MAX_EJECTION_MS {
            stats.failures = 0;
        }
        stats.failures = (stats.failures + 1).min(16);
        let ejection_ms = (FIRST_EJECTION_MS << (stats.failures - 1)).min(MAX_EJECTION_MS);
        stats.ejected_until_ms = now_ms + ejection_ms;
        ejection_ms
    }

    /// Removes a replica that is gone.
    pub fn remove(&mut self, replica: &ReplicaName) {
        self.replicas.remove(replica);
    }

    /// Returns the last load that the owner reported, with its age in milliseconds.
    pub fn load(&self, now_ms: Millis, replica: &ReplicaName) -> Option<(Load, Millis)> {
        let stats = self.replicas.get(replica)?;
        stats.load_at_ms.map(|at_ms| (stats.load, now_ms.saturating_sub(at_ms)))
    }

    /// Returns whether a replica is ejected now.
    pub fn is_ejected(&self, now_ms: Millis, replica: &ReplicaName) -> bool {
        self.replicas.get(replica).is_some_and(|stats| now_ms < stats.ejected_until_ms)
    }

    /// Chooses the replica with the lowest cost; `random` returns numbers between 0 and 1.
    pub fn choose<'a>(
        &self,
        now_ms: Millis,
        candidates: &[&'a ReplicaRecord],
        class: Class,
        own_data_centre: &DataCentre,
        mut random: impl FnMut() -> f64,
    ) -> Option<&'a ReplicaRecord> {
        let is_usable = |replica: &&&ReplicaRecord| !self.is_ejected(now_ms, &replica.name);
        let ejected = candidates.len() - candidates.iter().filter(is_usable).count();
        if let Some(trial) = self.choose_trial(now_ms, candidates, &mut random) {
            return Some(trial);
        }
        let is_ejection_ignored = ejected * 100 > candidates.len() * MAX_EJECTED_PERCENT;
        let usual_ms = self.usual_ms(candidates);
        let mut costs: Vec<(f64, &ReplicaRecord)> = candidates
            .iter()
            .filter(|replica| is_ejection_ignored || is_usable(replica))
            .map(|replica| {
                let cost = self.cost(replica, class, own_data_centre, usual_ms);
                (cost + RANDOM_COST * random(), *replica)
            })
            .collect();
        if self.replicas_may_degrade {
            sample_free(&mut costs, random);
        }
        costs.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, replica)| replica)
    }

    /// Returns whether a request of the class would get a slot without waiting for another request
    /// to end: a free slot, or for an online request the revoked slot of a batch item.
    pub fn has_capacity(&self, replica: &ReplicaRecord, class: Class) -> bool {
        self.cost(replica, class, &replica.data_centre, 0) < WAIT_COST
    }

    /// Chooses a replica whose owner allows a trial, with half the probability that an equal share of
    /// the service's requests would give it: a trial goes to few of the daemons that know of it.
    fn choose_trial<'a>(
        &self,
        now_ms: Millis,
        candidates: &[&'a ReplicaRecord],
        random: &mut impl FnMut() -> f64,
    ) -> Option<&'a ReplicaRecord> {
        if !self.replicas_may_degrade {
            return None;
        }
        let is_due = |replica: &&&ReplicaRecord| {
            let Some(stats) = self.replicas.get(&replica.name) else { return false };
            stats.load_at_ms.is_some()
                && u32::from(stats.load.slots) == TRIAL_SLOTS
                && replica.slots > TRIAL_SLOTS
                && !stats.load.is_suspect
                && stats.load.online == 0
                && stats.load.batch == 0
                && stats.requested_since_load == 0
                && stats.own_runs == 0
                && now_ms >= stats.ejected_until_ms
        };
        let due: Vec<&&ReplicaRecord> = candidates.iter().filter(is_due).collect();
        if due.is_empty() {
            return None;
        }
        let index = (random() * 2.0 * candidates.len() as f64) as usize;
        due.get(index).map(|replica| **replica)
    }

    /// Returns the slots that the owner of a replica grants, as far as known.
    fn granted_slots(&self, replica: &ReplicaRecord, stats: &ReplicaStats) -> u32 {
        if !self.replicas_may_degrade || stats.load_at_ms.is_none() {
            return replica.slots;
        }
        u32::from(stats.load.slots).min(replica.slots)
    }

    /// Returns the usual duration of runs at the replicas of a service, or 0 if it is not known.
    fn usual_ms(&self, candidates: &[&ReplicaRecord]) -> u16 {
        if !self.replicas_may_degrade {
            return 0;
        }
        speed::usual_ms(candidates.iter().map(|replica| self.health(&replica.name).run_ms))
    }

    fn cost(
        &self,
        replica: &ReplicaRecord,
        class: Class,
        own_data_centre: &DataCentre,
        usual_ms: u16,
    ) -> f64 {
        let stats = self.replicas.get(&replica.name).copied().unwrap_or_default();
        let granted = self.granted_slots(replica, &stats);
        let slots = f64::from(granted.max(1));
        let requested = stats.requested_since_load;
        let (online, total) = if stats.load_at_ms.is_some() {
            let load = stats.load;
            let online = load.online.saturating_add(load.online_waiting).saturating_add(requested);
            (online, online.saturating_add(load.batch).saturating_add(load.batch_waiting))
        } else {
            (stats.own_runs, stats.own_runs)
        };
        let ahead = if class == Class::Online { online } else { total };
        let mut cost = f64::from(ahead) / slots;
        if f64::from(ahead) >= slots {
            cost += WAIT_COST;
        } else if f64::from(total) >= slots {
            cost += REVOKE_COST;
        }
        if self.replicas_may_degrade {
            let slowness = speed::slowness(stats.health.run_ms, usual_ms);
            let waiting = f64::from(ahead) + 1.0 - slots;
            if waiting > 0.0 {
                // The expected wait, in usual runs, instead of the occupied share.
                cost += slowness * waiting / slots - f64::from(ahead) / slots;
            }
            cost += SLOW_COST * (slowness - USUAL_SLOWNESS).max(0.0);
            cost += FAILURE_COST * stats.health.cautious_failure_share();
            if granted == 0 || (granted == TRIAL_SLOTS && replica.slots > TRIAL_SLOTS) {
                cost += WITHHELD_COST;
            }
        }
        if stats.load.is_suspect {
            cost += SUSPECT_COST;
        }
        if replica.data_centre != *own_data_centre {
            cost += OTHER_DATA_CENTRE_COST;
        }
        cost
    }

    fn stats_mut(&mut self, replica: &ReplicaName) -> &mut ReplicaStats {
        self.replicas.entry(replica.clone()).or_default()
    }
}

/// Keeps a few random replicas of those that have a free slot, if any, so that daemons that know the
/// same loads choose different replicas even if one is far less occupied than all others.
fn sample_free(costs: &mut Vec<(f64, &ReplicaRecord)>, mut random: impl FnMut() -> f64) {
    let is_any_below = |limit: f64| costs.iter().any(|(cost, _)| *cost < limit);
    // A free slot comes before that of a batch item, so that sampling revokes no item needlessly.
    let Some(limit) = [REVOKE_COST, WAIT_COST].into_iter().find(|limit| is_any_below(*limit))
    else {
        return;
    };
    costs.retain(|(cost, _)| *cost < limit);
    for kept in 0..costs.len().min(MAX_COMPARED) {
        let left = costs.len() - kept;
        let other = kept + ((random() * left as f64) as usize).min(left - 1);
        costs.swap(kept, other);
    }
    costs.truncate(MAX_COMPARED);
}
