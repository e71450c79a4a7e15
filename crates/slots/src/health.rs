//! The health of replicas: holders report outcomes, and owners withhold slots of replicas that fail
//! more than their service.

use std::collections::HashSet;

use log::info;
use wire::DaemonName;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;
use wire::RequestId;
use wire::ServiceName;
use wire::rendezvous;

use crate::client::Inner;
use crate::client::Slots;
use crate::message::Ticket;
use crate::message::ToOwner;
use crate::outcomes::OutcomeReport;
use crate::outcomes::request_hash;
use crate::outlier::Detector;
use crate::outlier::ServiceReplica;
use crate::outlier::Stage;
use crate::outlier::bounded_limits;
use crate::outlier::service_rate;

impl Slots {
    /// Sets whether replicas may fail or slow down while they report good health, so that their owners
    /// judge them by the outcomes of all daemons.
    pub fn set_replicas_may_degrade(&self, replicas_may_degrade: bool) {
        self.inner.borrow_mut().balancer.set_replicas_may_degrade(replicas_may_degrade);
    }

    /// Returns whether the outcomes of runs are reported to owners.
    pub fn replicas_may_degrade(&self) -> bool {
        self.inner.borrow().balancer.replicas_may_degrade()
    }

    /// Records a failed run for the owner of the replica.
    ///
    /// Failures of an incarnation that leaves or is gone would count against its successor.
    pub fn record_failed_run(&self, replica: &ReplicaRecord, request: &RequestId) {
        if !self.is_usable(replica) {
            return;
        }
        let mut inner = self.inner.borrow_mut();
        if inner.balancer.replicas_may_degrade() {
            inner.outcomes.record_failure(&replica.name, request);
        }
    }

    /// Records an answer of 500 or above, for the owner and for the ejection by this daemon.
    pub fn record_server_error(&self, replica: &ReplicaRecord, request: &RequestId) {
        if !self.replicas_may_degrade() {
            return;
        }
        self.record_failed_run(replica, request);
        let now_ms = self.clock.now_ms();
        let hash = request_hash(request);
        let ejection_ms =
            self.inner.borrow_mut().balancer.record_server_error(now_ms, &replica.name, hash);
        self.report_ejection(&replica.name, "server_error", ejection_ms);
    }

    /// Takes the outcomes that go with a message to the owner of a replica.
    pub(crate) fn take_outcomes(&self, message: &ToOwner) -> Option<OutcomeReport> {
        let (ToOwner::Release { replica, .. } | ToOwner::Held { replica, .. }) = message else {
            return None;
        };
        Some(self.inner.borrow_mut().outcomes.take(replica)).filter(|report| !report.is_empty())
    }

    /// Returns when the run whose slot a message releases began, if that is known.
    pub(crate) fn run_began_ms(&self, message: &ToOwner) -> Option<Millis> {
        let ToOwner::Release { replica, ticket } = message else { return None };
        self.inner.borrow().tables.get(replica)?.run_began_ms(*ticket)
    }

    /// Applies the outcomes that a daemon had at an owned replica; `began_ms` is the start of the run
    /// whose release they came with, if it is known.
    pub(crate) fn apply_outcomes(
        &self,
        now_ms: Millis,
        began_ms: Option<Millis>,
        holder: &DaemonName,
        replica: &ReplicaName,
        report: &OutcomeReport,
    ) {
        if !self.replicas_may_degrade() {
            return;
        }
        let Some(record) = self.replicas.borrow().get(replica).cloned() else { return };
        let stage = self.inner.borrow().detectors.get(replica).map(|detector| detector.stage());
        let is_quiet = report.failures.is_empty() && stage.unwrap_or_default() == Stage::Full;
        let rate = if is_quiet { 0.0 } else { self.service_rate(&record.service) };
        let holder = rendezvous::hash(holder.as_str().as_bytes());
        let change = {
            let mut inner = self.inner.borrow_mut();
            inner.detectors.of(&record).record_release(now_ms, began_ms, holder, report, rate)
        };
        if let Some(change) = change {
            self.counters.count_tagged("replica_stage", "to", change.to.as_str());
            info!("event=replica_stage replica={replica} {change}");
        }
        if change.is_some() || stage == Some(Stage::Out) {
            self.update_limits(now_ms);
        }
    }

    /// Records the duration of a successful online run that ends now.
    pub(crate) fn record_run_time(&self, now_ms: Millis, replica: &ReplicaName, ticket: Ticket) {
        let mut inner = self.inner.borrow_mut();
        let Inner { tables, detectors, balancer, .. } = &mut *inner;
        if !balancer.replicas_may_degrade() {
            return;
        }
        let run_ms = tables.get(replica).and_then(|table| table.online_run_ms(now_ms, ticket));
        if let (Some(run_ms), Some(detector)) = (run_ms, detectors.get_mut(replica)) {
            detector.record_run(now_ms, run_ms);
        }
    }

    /// Sets how many slots of each owned replica may be granted.
    pub(crate) fn update_limits(&self, now_ms: Millis) {
        if !self.replicas_may_degrade() {
            return;
        }
        let mut services = HashSet::new();
        {
            let replicas = self.replicas.borrow();
            let mut inner = self.inner.borrow_mut();
            let Inner { detectors, tables, .. } = &mut *inner;
            detectors.iter_mut().for_each(|detector| detector.expire(now_ms));
            for (name, table) in tables {
                // A table without a detector may be limited by that of a former incarnation.
                let is_limited = table.limit() < table.slots();
                let stage = detectors.get(name).map(Detector::stage).unwrap_or_default();
                if let Some(record) = replicas.get(name)
                    && (is_limited || stage != Stage::Full)
                {
                    services.insert(record.service.clone());
                }
            }
        }
        for service in services {
            for (name, limit) in self.limits_of(now_ms, &service) {
                self.apply_limit(now_ms, &name, limit);
            }
        }
    }

    fn apply_limit(&self, now_ms: Millis, replica: &ReplicaName, limit: u32) {
        let changed = {
            let mut inner = self.inner.borrow_mut();
            let Some(table) = inner.tables.get_mut(replica) else { return };
            let before = table.limit();
            let actions = table.set_limit(now_ms, limit);
            (before != limit).then_some((before, actions))
        };
        if let Some((before, actions)) = changed {
            info!("event=replica_slots replica={replica} granted_before={before} granted={limit}");
            self.apply_actions(replica, actions);
        }
    }

    /// Returns the slots that may be granted at the owned replicas of a service.
    fn limits_of(&self, now_ms: Millis, service: &ServiceName) -> Vec<(ReplicaName, u32)> {
        let replicas = self.replicas.borrow();
        let inner = self.inner.borrow();
        let records = replicas.usable_records().filter(|record| record.service == *service);
        let all: Vec<ServiceReplica> =
            records.map(|record| service_replica(&inner, now_ms, record)).collect();
        let limits = bounded_limits(&all);
        let named = all.into_iter().zip(limits).map(|(replica, limit)| (replica.name, limit));
        named.filter(|(name, _)| inner.tables.contains_key(name)).collect()
    }

    /// Returns the failure rate of a service, as its replicas' owners know it.
    fn service_rate(&self, service: &ServiceName) -> f64 {
        let replicas = self.replicas.borrow();
        let inner = self.inner.borrow();
        let records = replicas.usable_records().filter(|record| record.service == *service);
        service_rate(records.map(|record| {
            let detector = inner.detectors.get(&record.name);
            detector.map_or_else(|| inner.balancer.health(&record.name), |own| own.summary())
        }))
    }
}

/// Returns a replica with the slots that its owner wants to grant; those of other owners as they
/// reported them.
fn service_replica(inner: &Inner, now_ms: Millis, record: &ReplicaRecord) -> ServiceReplica {
    let slots = record.slots;
    let detector = inner.detectors.get(&record.name);
    let table = inner.tables.get(&record.name);
    let load = match table {
        Some(table) => Some(table.load()),
        None => inner.balancer.load(now_ms, &record.name).map(|(load, _)| load),
    };
    let limit = match (detector, load) {
        (Some(detector), _) => detector.limit(now_ms, slots),
        (None, Some(load)) if table.is_none() => u32::from(load.slots).min(slots),
        (None, _) => slots,
    };
    let load = load.unwrap_or_default();
    ServiceReplica {
        name: record.name.clone(),
        slots,
        limit,
        demand: u32::from(load.online) + u32::from(load.online_waiting),
        summary: detector
            .map_or_else(|| inner.balancer.health(&record.name), |detector| detector.summary()),
    }
}
