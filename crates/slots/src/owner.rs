//! The owner's side of slot scheduling: the slot tables of the replicas that this daemon owns.

use std::time::Duration;

use log::info;
use peers::Topic;
use peers::heartbeat::Attachment;
use peers::transport::encode;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::DaemonName;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;
use wire::ReplicaState;
use wire::rendezvous;

use crate::client::Inner;
use crate::client::Probe;
use crate::client::Slots;
use crate::extension::Expectation;
use crate::extension::Extension;
use crate::message::LoadReport;
use crate::message::ToHolder;
use crate::message::ToOwner;
use crate::outlier::Detector;
use crate::outlier::HealthSummary;
use crate::table::GrantRequest;
use crate::table::SlotTable;
use crate::table::TableAction;

/// How often a replica that is suspect or has orphaned runs is probed.
const PROBE_EVERY_MS: Millis = 250;
/// How long a replica that does not answer probes stays suspect; then it gets requests again, since
/// probes can fail where requests succeed.
const MAX_SUSPECT_MS: Millis = 4_000;

impl Slots {
    /// Removes a lost daemon from the tables of the owned replicas.
    pub fn remove_holder(&self, holder: &DaemonName) {
        let now_ms = self.clock.now_ms();
        let mut actions = Vec::new();
        for (replica, table) in &mut self.inner.borrow_mut().tables {
            let name = replica.clone();
            actions.push((name, table.remove_holder(now_ms, holder), table.orphaned_runs() > 0));
        }
        for (replica, actions, has_orphaned_runs) in actions {
            if has_orphaned_runs {
                self.start_probing(&replica);
            }
            self.apply_actions(&replica, actions);
        }
    }

    /// Returns the loads of the owned replicas, as an attachment of heartbeats.
    pub fn encode_loads(&self) -> Attachment {
        let inner = self.inner.borrow();
        let reports: Vec<LoadReport> = inner
            .tables
            .iter()
            .map(|(replica, table)| LoadReport { replica: replica.clone(), load: table.load() })
            .collect();
        let mut payload = encode(Topic::Slots, &reports);
        if inner.balancer.replicas_may_degrade() {
            let summary = |report: &LoadReport| {
                inner.detectors.get(&report.replica).map(Detector::summary).unwrap_or_default()
            };
            let summaries: Vec<HealthSummary> = reports.iter().map(summary).collect();
            // Builds before it ignore bytes after the loads.
            payload.extend(encode(Topic::Slots, &summaries));
        }
        Attachment { topic: Topic::Slots, payload }
    }

    /// Follows changes of ownership and grants free slots.
    pub fn tick(&self) {
        let now_ms = self.clock.now_ms();
        self.update_ownership(now_ms);
        self.update_limits(now_ms);
        let mut all = Vec::new();
        {
            let mut inner = self.inner.borrow_mut();
            let Inner { tables, balancer, detectors, .. } = &mut *inner;
            for (replica, table) in tables {
                all.push((replica.clone(), table.tick(now_ms)));
                if let Some(report) = table.take_refusal_report(now_ms) {
                    info!("event=slots_refused_early replica={replica} {report}");
                }
                balancer.record_load(now_ms, replica, table.load());
                if let Some(detector) = detectors.get_mut(replica) {
                    detector.update_run_ms(now_ms, table.online_runs_ms(now_ms));
                    balancer.record_health(replica, detector.summary());
                }
            }
        }
        for (replica, actions) in all {
            self.apply_actions(&replica, actions);
        }
    }

    pub(crate) fn handle_as_owner(
        &self,
        holder: &DaemonName,
        message: ToOwner,
        extension: Extension,
    ) {
        let now_ms = self.clock.now_ms();
        let (replica, ticket) = match &message {
            ToOwner::Ask { replica, ticket, .. } => (replica.clone(), Some(*ticket)),
            ToOwner::Release { replica, .. }
            | ToOwner::Held { replica, .. }
            | ToOwner::Suspect { replica } => (replica.clone(), None),
        };
        if let (Some(ticket), Some(incarnation)) = (ticket, self.leaving_incarnation(&replica)) {
            self.send_leaving(holder, incarnation);
            self.send_to_holder(holder, &replica, ToHolder::NotOwner { ticket });
            return;
        }
        if !self.ensure_table(now_ms, &replica) {
            if let Some(ticket) = ticket {
                self.send_to_holder(holder, &replica, ToHolder::NotOwner { ticket });
            }
            return;
        }
        let Extension { share, outcomes } = extension;
        if let Some(outcomes) = outcomes {
            // Before a released slot is granted again.
            let began_ms = self.run_began_ms(&message);
            self.apply_outcomes(now_ms, began_ms, holder, &replica, &outcomes);
            if let ToOwner::Release { ticket, .. } = &message
                && outcomes.failures.is_empty()
            {
                self.record_run_time(now_ms, &replica, *ticket);
            }
        }
        let (actions, needs_probe) = {
            let mut inner = self.inner.borrow_mut();
            let Some(table) = inner.tables.get_mut(&replica) else { return };
            match message {
                ToOwner::Ask { ticket, class, urgency, give_up_left_ms, .. } => {
                    let holder = holder.clone();
                    let request =
                        GrantRequest { ticket, holder, class, urgency, give_up_left_ms, share };
                    (table.request(now_ms, request), table.begin_first_probe())
                }
                ToOwner::Release { ticket, .. } => (table.release(now_ms, ticket), false),
                ToOwner::Held { runs, .. } => (table.apply_run_list(now_ms, holder, &runs), false),
                ToOwner::Suspect { .. } => {
                    let is_new = table.mark_suspect();
                    if is_new {
                        info!("event=replica_suspect replica={replica} said_by={holder}");
                        self.counters.count("replicas_suspected");
                    }
                    (Vec::new(), is_new)
                }
            }
        };
        if needs_probe {
            self.start_probing(&replica);
        }
        self.apply_actions(&replica, actions);
    }

    /// Starts a task that probes a replica until it is not suspect and has no orphaned runs; does
    /// nothing if the task runs already.
    fn start_probing(&self, replica: &ReplicaName) {
        let (Some(slots), Some(probe)) = (self.weak_self.upgrade(), self.probe.borrow().clone())
        else {
            return;
        };
        if !self.inner.borrow_mut().probing.insert(replica.clone()) {
            return;
        }
        let name = replica.clone();
        spawn_local(async move {
            slots.probe_until_cleared(&name, &*probe).await;
            slots.inner.borrow_mut().probing.remove(&name);
        });
    }

    async fn probe_until_cleared(&self, name: &ReplicaName, probe: &dyn Probe) {
        let mut since_ms = self.clock.now_ms();
        loop {
            let record = self.replicas.borrow().get(name).cloned();
            let (Some(record), Some((is_suspect, _))) = (record, self.suspect_and_orphaned(name))
            else {
                return;
            };
            if !is_suspect {
                since_ms = self.clock.now_ms();
            }
            let result = probe.fetch_state(&record, is_suspect).await;
            if result.is_leaving {
                self.record_leaving_answer(&record, result.is_misdirected);
            }
            let state = result.state;
            let now_ms = self.clock.now_ms();
            let is_timed_out = now_ms >= since_ms + MAX_SUSPECT_MS;
            if let Some(state) = state {
                self.apply_state(name, now_ms, state);
            }
            if is_suspect && (state.is_some() || is_timed_out) {
                self.clear_suspect(name, now_ms, since_ms);
            }
            if self.suspect_and_orphaned(name).is_none_or(|state| state == (false, 0)) {
                return;
            }
            sleep(Duration::from_millis(PROBE_EVERY_MS)).await;
        }
    }

    /// Returns whether an owned replica is suspect, and the number of its orphaned runs.
    fn suspect_and_orphaned(&self, replica: &ReplicaName) -> Option<(bool, u32)> {
        let inner = self.inner.borrow();
        inner.tables.get(replica).map(|table| (table.load().is_suspect, table.orphaned_runs()))
    }

    fn apply_state(&self, name: &ReplicaName, now_ms: Millis, state: ReplicaState) {
        let in_progress = state.in_progress();
        let applied = self.inner.borrow_mut().tables.get_mut(name).map(|table| {
            let before = table.orphaned_runs();
            let actions = table.apply_in_progress(now_ms, in_progress);
            (before, table.orphaned_runs(), actions)
        });
        let Some((before, orphaned, actions)) = applied else { return };
        if orphaned != before {
            info!(
                "event=orphaned_runs replica={name} in_progress={in_progress} orphaned={orphaned}"
            );
        }
        self.apply_actions(name, actions);
    }

    fn clear_suspect(&self, name: &ReplicaName, now_ms: Millis, since_ms: Millis) {
        let for_ms = now_ms.saturating_sub(since_ms);
        info!("event=replica_trusted replica={name} after_ms={for_ms}");
        let actions = self.inner.borrow_mut().tables.get_mut(name).map(|t| t.clear_suspect(now_ms));
        self.apply_actions(name, actions.unwrap_or_default());
    }

    pub(crate) fn apply_actions(&self, replica: &ReplicaName, actions: Vec<TableAction>) {
        if actions.is_empty() {
            return;
        }
        let load = {
            let now_ms = self.clock.now_ms();
            let mut inner = self.inner.borrow_mut();
            let load = inner.tables.get(replica).map(SlotTable::load).unwrap_or_default();
            inner.balancer.record_load(now_ms, replica, load);
            load
        };
        for action in actions {
            match action {
                TableAction::Grant { holder, ticket } => {
                    self.send_to_holder(&holder, replica, ToHolder::Granted { ticket, load });
                }
                TableAction::Queue { holder, ticket } => {
                    self.send_to_holder(&holder, replica, ToHolder::Queued { ticket, load });
                }
                TableAction::Refuse { holder, ticket } => {
                    self.counters.count("slots_refused");
                    self.send_to_holder(&holder, replica, ToHolder::Refused { ticket, load });
                }
                TableAction::RefuseEarly { holder, ticket, slot_in_ms } => {
                    self.counters.count("slots_refused_early");
                    let message = ToHolder::Refused { ticket, load };
                    let expectation = Some(Expectation { slot_in_ms });
                    self.send_with_expectation(&holder, replica, message, expectation);
                }
                TableAction::Revoke { holder, ticket } => {
                    self.counters.count("slots_revoked");
                    self.send_to_holder(&holder, replica, ToHolder::Revoked { ticket });
                }
            }
        }
    }

    /// Returns the daemon that owns a replica, one of the same data centre if any is ready there.
    pub(crate) fn owner_of(&self, replica: &ReplicaRecord) -> Option<DaemonName> {
        let membership = self.membership.borrow();
        let ready = membership.ready_daemons();
        let local = ready.iter().filter(|daemon| daemon.data_centre == replica.data_centre);
        let local: Vec<&DaemonName> = local.map(|daemon| &daemon.name).collect();
        let all = || ready.iter().map(|daemon| &daemon.name).collect::<Vec<_>>();
        let candidates = if local.is_empty() { all() } else { local };
        rendezvous::owner(replica.name.as_str(), candidates).cloned()
    }

    fn is_owned(&self, replica: &ReplicaRecord) -> bool {
        let own = self.membership.borrow().own().name.clone();
        self.owner_of(replica).is_some_and(|owner| owner == own)
    }

    /// Creates the table of a replica if this daemon owns the replica and has none; returns whether
    /// there is a table.
    fn ensure_table(&self, now_ms: Millis, replica: &ReplicaName) -> bool {
        if self.inner.borrow().tables.contains_key(replica) {
            return true;
        }
        let Some(record) = self.replicas.borrow().get(replica).cloned() else { return false };
        if !self.is_owned(&record) {
            return false;
        }
        let until_ms = now_ms + 2 * self.membership.borrow().period_ms();
        let mut inner = self.inner.borrow_mut();
        let occupied = inner
            .balancer
            .load(now_ms, replica)
            .map_or(0, |(load, _)| u32::from(load.online) + u32::from(load.batch));
        let mut table = SlotTable::inherit(record.slots, occupied, until_ms);
        table.set_refuses_early(inner.refuses_early);
        inner.tables.insert(replica.clone(), table);
        drop(inner);
        info!("event=replica_owned replica={replica} occupied={occupied}");
        true
    }

    /// Returns a fingerprint of the inputs that decide which replicas this daemon owns.
    fn ownership_fingerprint(&self) -> u64 {
        let membership = self.membership.borrow();
        let ready = membership.ready_daemons();
        let daemons = ready.iter().map(|daemon| rendezvous::hash(daemon.name.as_str().as_bytes()));
        daemons
            .fold(self.replicas.borrow().generation(), |fingerprint, daemon| fingerprint ^ daemon)
    }

    fn update_ownership(&self, now_ms: Millis) {
        let fingerprint = self.ownership_fingerprint();
        if self.inner.borrow_mut().ownership_fingerprint.replace(fingerprint) == Some(fingerprint) {
            return;
        }
        let records: Vec<ReplicaRecord> = self.replicas.borrow().records().cloned().collect();
        let owned_records: Vec<&ReplicaRecord> =
            records.iter().filter(|record| self.is_owned(record)).collect();
        let owned: Vec<&ReplicaName> = owned_records.iter().map(|record| &record.name).collect();
        let mut inner = self.inner.borrow_mut();
        inner.detectors.retain(owned_records.iter().copied());
        inner.tables.retain(|name, _| {
            let is_kept = owned.contains(&name);
            if !is_kept {
                info!("event=replica_disowned replica={name}");
            }
            is_kept
        });
        drop(inner);
        for name in owned {
            self.ensure_table(now_ms, name);
        }
    }
}
