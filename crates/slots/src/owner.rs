//! The owner's side of the slots: tables of the replicas that this daemon owns.

use std::time::Duration;

use log::info;
use peers::Topic;
use peers::heartbeat::Rider;
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
use crate::message::LoadReport;
use crate::message::ToHolder;
use crate::message::ToOwner;
use crate::table::Table;
use crate::table::TableAction;
use crate::table::Wish;

/// How often a replica that is suspect, or has runs of nobody, is asked for its state.
const PROBE_EVERY_MS: Millis = 250;
/// How long a replica that does not answer the question is left out; then requests try it again,
/// since the question may fail where requests do not.
const MAX_SUSPICION_MS: Millis = 4_000;

impl Slots {
    /// Forgets what a lost daemon held.
    pub fn holder_lost(&self, holder: &DaemonName) {
        let now_ms = self.clock.now_ms();
        let mut actions = Vec::new();
        for (replica, table) in &mut self.inner.borrow_mut().tables {
            let name = replica.clone();
            actions.push((name, table.holder_lost(now_ms, holder), table.foreign() > 0));
        }
        for (replica, actions, has_foreign) in actions {
            if has_foreign {
                self.examine(&replica);
            }
            self.perform(&replica, actions);
        }
    }

    /// Returns the loads of the owned replicas as a part of a heartbeat.
    pub fn rider(&self) -> Rider {
        let inner = self.inner.borrow();
        let reports: Vec<LoadReport> = inner
            .tables
            .iter()
            .map(|(replica, table)| LoadReport { replica: replica.clone(), load: table.load() })
            .collect();
        Rider { topic: Topic::Slots, payload: encode(Topic::Slots, &reports) }
    }

    /// Hands out what is free, follows changes of ownership, and lists own runs to the owners.
    pub fn tick(&self) {
        let now_ms = self.clock.now_ms();
        self.follow_ownership(now_ms);
        let mut all = Vec::new();
        {
            let mut inner = self.inner.borrow_mut();
            let Inner { tables, picture, .. } = &mut *inner;
            for (replica, table) in tables {
                all.push((replica.clone(), table.tick(now_ms)));
                picture.reported(now_ms, replica, table.load());
            }
        }
        for (replica, actions) in all {
            self.perform(&replica, actions);
        }
    }

    pub(crate) fn owner_received(&self, holder: &DaemonName, message: ToOwner) {
        let now_ms = self.clock.now_ms();
        let (replica, ticket) = match &message {
            ToOwner::Ask { replica, ticket, .. } => (replica.clone(), Some(*ticket)),
            ToOwner::Release { replica, .. }
            | ToOwner::Held { replica, .. }
            | ToOwner::Suspect { replica } => (replica.clone(), None),
        };
        if !self.ensure_table(now_ms, &replica) {
            if let Some(ticket) = ticket {
                self.tell_holder(holder, &replica, ToHolder::NotOwner { ticket });
            }
            return;
        }
        let (actions, is_doubtful) = {
            let mut inner = self.inner.borrow_mut();
            let Some(table) = inner.tables.get_mut(&replica) else { return };
            match message {
                ToOwner::Ask { ticket, class, urgency, give_up_left_ms, .. } => {
                    let holder = holder.clone();
                    let wish = Wish { ticket, holder, class, urgency, give_up_left_ms };
                    (table.ask(now_ms, wish), table.begin_examination())
                }
                ToOwner::Release { ticket, .. } => (table.release(now_ms, ticket), false),
                ToOwner::Held { runs, .. } => (table.held(now_ms, holder, &runs), false),
                ToOwner::Suspect { .. } => {
                    let is_news = table.suspect();
                    if is_news {
                        info!("event=replica_suspect replica={replica} said_by={holder}");
                        self.counters.count("replicas_suspected");
                    }
                    (Vec::new(), is_news)
                }
            }
        };
        if is_doubtful {
            self.examine(&replica);
        }
        self.perform(&replica, actions);
    }

    /// Asks a replica for its state until it is neither suspect nor busy with runs of nobody.
    fn examine(&self, replica: &ReplicaName) {
        let (Some(slots), Some(probe)) = (self.own.upgrade(), self.probe.borrow().clone()) else {
            return;
        };
        if !self.inner.borrow_mut().examined.insert(replica.clone()) {
            return;
        }
        let name = replica.clone();
        spawn_local(async move {
            slots.examine_until_settled(&name, &*probe).await;
            slots.inner.borrow_mut().examined.remove(&name);
        });
    }

    async fn examine_until_settled(&self, name: &ReplicaName, probe: &dyn Probe) {
        let mut since_ms = self.clock.now_ms();
        loop {
            let record = self.replicas.borrow().get(name).cloned();
            let (Some(record), Some((is_suspect, _))) = (record, self.doubts(name)) else { return };
            if !is_suspect {
                since_ms = self.clock.now_ms();
            }
            let state = probe.state(&record, is_suspect).await;
            let now_ms = self.clock.now_ms();
            let is_over = now_ms >= since_ms + MAX_SUSPICION_MS;
            if let Some(state) = state {
                self.take_state(name, now_ms, state);
            }
            if is_suspect && (state.is_some() || is_over) {
                self.trust(name, now_ms, since_ms);
            }
            if self.doubts(name).is_none_or(|doubts| doubts == (false, 0)) {
                return;
            }
            sleep(Duration::from_millis(PROBE_EVERY_MS)).await;
        }
    }

    /// Returns whether an owned replica is suspect, and how many runs of nobody it has.
    fn doubts(&self, replica: &ReplicaName) -> Option<(bool, u32)> {
        let inner = self.inner.borrow();
        inner.tables.get(replica).map(|table| (table.load().is_suspect, table.foreign()))
    }

    fn take_state(&self, name: &ReplicaName, now_ms: Millis, state: ReplicaState) {
        let in_progress = state.in_progress();
        let observed = self.inner.borrow_mut().tables.get_mut(name).map(|table| {
            let before = table.foreign();
            let actions = table.observed(now_ms, in_progress);
            (before, table.foreign(), actions)
        });
        let Some((before, foreign, actions)) = observed else { return };
        if foreign != before {
            info!("event=foreign_runs replica={name} in_progress={in_progress} foreign={foreign}");
        }
        self.perform(name, actions);
    }

    fn trust(&self, name: &ReplicaName, now_ms: Millis, since_ms: Millis) {
        let for_ms = now_ms.saturating_sub(since_ms);
        info!("event=replica_trusted replica={name} after_ms={for_ms}");
        let trusted = self.inner.borrow_mut().tables.get_mut(name).map(|t| t.trust(now_ms));
        self.perform(name, trusted.unwrap_or_default());
    }

    fn perform(&self, replica: &ReplicaName, actions: Vec<TableAction>) {
        if actions.is_empty() {
            return;
        }
        let load = {
            let now_ms = self.clock.now_ms();
            let mut inner = self.inner.borrow_mut();
            let load = inner.tables.get(replica).map(Table::load).unwrap_or_default();
            inner.picture.reported(now_ms, replica, load);
            load
        };
        for action in actions {
            match action {
                TableAction::Grant { holder, ticket } => {
                    self.tell_holder(&holder, replica, ToHolder::Granted { ticket, load });
                }
                TableAction::Queue { holder, ticket } => {
                    self.tell_holder(&holder, replica, ToHolder::Queued { ticket, load });
                }
                TableAction::Refuse { holder, ticket } => {
                    self.counters.count("slots_refused");
                    self.tell_holder(&holder, replica, ToHolder::Refused { ticket, load });
                }
                TableAction::Revoke { holder, ticket } => {
                    self.counters.count("slots_revoked");
                    self.tell_holder(&holder, replica, ToHolder::Revoked { ticket });
                }
            }
        }
    }

    pub(crate) fn owner_of(&self, replica: &ReplicaRecord) -> Option<DaemonName> {
        let membership = self.membership.borrow();
        let working = membership.working();
        let near = working.iter().filter(|daemon| daemon.data_centre == replica.data_centre);
        let near: Vec<&DaemonName> = near.map(|daemon| &daemon.name).collect();
        let any = || working.iter().map(|daemon| &daemon.name).collect::<Vec<_>>();
        let members = if near.is_empty() { any() } else { near };
        rendezvous::owner(replica.name.as_str(), members).cloned()
    }

    fn is_own(&self, replica: &ReplicaRecord) -> bool {
        let own = self.membership.borrow().own().name.clone();
        self.owner_of(replica).is_some_and(|owner| owner == own)
    }

    /// Makes sure that there is a table for a replica that this daemon owns.
    fn ensure_table(&self, now_ms: Millis, replica: &ReplicaName) -> bool {
        if self.inner.borrow().tables.contains_key(replica) {
            return true;
        }
        let Some(record) = self.replicas.borrow().get(replica).cloned() else { return false };
        if !self.is_own(&record) {
            return false;
        }
        let until_ms = now_ms + 2 * self.membership.borrow().period_ms();
        let mut inner = self.inner.borrow_mut();
        let occupied = inner
            .picture
            .load(now_ms, replica)
            .map_or(0, |(load, _)| u32::from(load.online) + u32::from(load.batch));
        let table = Table::inherit(record.slots, occupied, until_ms);
        inner.tables.insert(replica.clone(), table);
        drop(inner);
        info!("event=replica_owned replica={replica} occupied={occupied}");
        true
    }

    /// Returns what decides which replicas this daemon owns, as one number.
    fn ownership_basis(&self) -> u64 {
        let membership = self.membership.borrow();
        let working = membership.working();
        let daemons =
            working.iter().map(|daemon| rendezvous::hash(daemon.name.as_str().as_bytes()));
        daemons.fold(self.replicas.borrow().generation(), |basis, daemon| basis ^ daemon)
    }

    fn follow_ownership(&self, now_ms: Millis) {
        let basis = self.ownership_basis();
        if self.inner.borrow_mut().ownership_basis.replace(basis) == Some(basis) {
            return;
        }
        let records: Vec<ReplicaRecord> = self.replicas.borrow().records().cloned().collect();
        let own: Vec<&ReplicaName> = records
            .iter()
            .filter(|record| self.is_own(record))
            .map(|record| &record.name)
            .collect();
        self.inner.borrow_mut().tables.retain(|name, _| {
            let is_kept = own.contains(&name);
            if !is_kept {
                info!("event=replica_disowned replica={name}");
            }
            is_kept
        });
        for name in own {
            self.ensure_table(now_ms, name);
        }
    }
}
