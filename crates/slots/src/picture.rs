//! What a daemon believes of the replicas' load and health, and the choice among them.

use std::collections::HashMap;

use wire::DataCentre;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;

use crate::message::Class;
use crate::message::Load;

/// The cost of a request to another data centre, in occupied replicas: it decides between equals.
const OTHER_DATA_CENTRE_COST: f64 = 0.15;
/// The cost of taking a slot back from an item.
const REVOKE_COST: f64 = 1.0;
/// The cost of a replica that is thought not to answer.
const SUSPECT_COST: f64 = 100.0;
/// The cost of waiting for a slot.
const WAIT_COST: f64 = 10.0;
/// The part of a choice that is drawn by lot, so that daemons with the same picture spread.
const SPREAD: f64 = 0.3;
/// How long a replica is left out after a failure; it doubles with each further one.
const FIRST_EJECTION_MS: Millis = 300;
/// The longest time that a replica is left out without being tried.
const MAX_EJECTION_MS: Millis = 4_000;
/// The largest share of a service's replicas that may be left out at once, in percent.
const MAX_EJECTED_PERCENT: usize = 50;

#[derive(Clone, Copy, Debug, Default)]
struct Belief {
    load: Load,
    load_ms: Option<Millis>,
    asked_since: u16,
    own_runs: u16,
    failures: u32,
    ejected_until_ms: Millis,
}

/// The beliefs about all replicas.
#[derive(Clone, Debug, Default)]
pub struct Picture {
    beliefs: HashMap<ReplicaName, Belief>,
}

impl Picture {
    /// Takes a load that the owner reported.
    pub fn reported(&mut self, now_ms: Millis, replica: &ReplicaName, load: Load) {
        let belief = self.belief(replica);
        belief.load = load;
        belief.load_ms = Some(now_ms);
        belief.asked_since = 0;
    }

    /// Notes that this daemon asked for a slot.
    pub fn asked(&mut self, replica: &ReplicaName) {
        let belief = self.belief(replica);
        belief.asked_since = belief.asked_since.saturating_add(1);
    }

    /// Notes the start of a run of this daemon.
    pub fn started(&mut self, replica: &ReplicaName) {
        let belief = self.belief(replica);
        belief.own_runs = belief.own_runs.saturating_add(1);
    }

    /// Notes the end of a run of this daemon.
    pub fn ended(&mut self, replica: &ReplicaName) {
        let belief = self.belief(replica);
        belief.own_runs = belief.own_runs.saturating_sub(1);
    }

    /// Notes that a replica answered as it should.
    pub fn succeeded(&mut self, replica: &ReplicaName) {
        let belief = self.belief(replica);
        belief.failures = 0;
        belief.ejected_until_ms = 0;
    }

    /// Notes a failure of a replica; returns how long it is left out.
    pub fn failed(&mut self, now_ms: Millis, replica: &ReplicaName) -> Millis {
        let belief = self.belief(replica);
        if now_ms < belief.ejected_until_ms {
            return 0;
        }
        belief.failures = (belief.failures + 1).min(16);
        let ejection_ms = (FIRST_EJECTION_MS << (belief.failures - 1)).min(MAX_EJECTION_MS);
        belief.ejected_until_ms = now_ms + ejection_ms;
        ejection_ms
    }

    /// Forgets a replica that is gone, or was started again.
    pub fn forget(&mut self, replica: &ReplicaName) {
        self.beliefs.remove(replica);
    }

    /// Returns the last load that the owner reported, with its age.
    pub fn load(&self, now_ms: Millis, replica: &ReplicaName) -> Option<(Load, Millis)> {
        let belief = self.beliefs.get(replica)?;
        belief.load_ms.map(|at_ms| (belief.load, now_ms.saturating_sub(at_ms)))
    }

    /// Returns whether a replica is left out now.
    pub fn is_ejected(&self, now_ms: Millis, replica: &ReplicaName) -> bool {
        self.beliefs.get(replica).is_some_and(|belief| now_ms < belief.ejected_until_ms)
    }

    /// Chooses a replica; `lot` returns numbers between 0 and 1.
    pub fn choose<'a>(
        &self,
        now_ms: Millis,
        candidates: &[&'a ReplicaRecord],
        class: Class,
        own: &DataCentre,
        mut lot: impl FnMut() -> f64,
    ) -> Option<&'a ReplicaRecord> {
        let is_fit = |replica: &&&ReplicaRecord| !self.is_ejected(now_ms, &replica.name);
        let ejected = candidates.len() - candidates.iter().filter(is_fit).count();
        let ignores_ejection = ejected * 100 > candidates.len() * MAX_EJECTED_PERCENT;
        candidates
            .iter()
            .filter(|replica| ignores_ejection || is_fit(replica))
            .map(|replica| (self.cost(replica, class, own) + SPREAD * lot(), *replica))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, replica)| replica)
    }

    /// Returns whether a request of the class would get a slot at once.
    pub fn has_room(&self, replica: &ReplicaRecord, class: Class) -> bool {
        self.cost(replica, class, &replica.data_centre) < WAIT_COST
    }

    fn cost(&self, replica: &ReplicaRecord, class: Class, own: &DataCentre) -> f64 {
        let belief = self.beliefs.get(&replica.name).copied().unwrap_or_default();
        let slots = f64::from(replica.slots.max(1));
        let asked = belief.asked_since;
        let (online, total) = if belief.load_ms.is_some() {
            let load = belief.load;
            let online = load.online + load.online_waiting + asked;
            (online, online + load.batch + load.batch_waiting)
        } else {
            (belief.own_runs, belief.own_runs)
        };
        let ahead = if class == Class::Online { online } else { total };
        let mut cost = f64::from(ahead) / slots;
        if f64::from(ahead) >= slots {
            cost += WAIT_COST;
        } else if f64::from(total) >= slots {
            cost += REVOKE_COST;
        }
        if belief.load.is_suspect {
            cost += SUSPECT_COST;
        }
        if replica.data_centre != *own {
            cost += OTHER_DATA_CENTRE_COST;
        }
        cost
    }

    fn belief(&mut self, replica: &ReplicaName) -> &mut Belief {
        self.beliefs.entry(replica.clone()).or_default()
    }
}
