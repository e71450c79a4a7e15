//! The holder's side of slot scheduling: requests slots from the owners of replicas and tracks the
//! slots held.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::iter::repeat;
use std::net::IpAddr;
use std::rc::Rc;
use std::rc::Weak;

use catalog::Incarnation;
use catalog::ReplicaSet;
use futures::future::LocalBoxFuture;
use kernel::BootClock;
use kernel::Counters;
use log::debug;
use log::info;
use peers::Membership;
use peers::Topic;
use peers::Transport;
use peers::heartbeat::Datagram;
use peers::transport::decode_prefix;
use rand::Rng;
use wire::DaemonName;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;
use wire::ReplicaState;
use wire::ServiceName;

use crate::balancer::Balancer;
use crate::detectors::Detectors;
use crate::extension::Expectation;
use crate::extension::Extension;
use crate::fair_share::Share;
use crate::lease::HeldRun;
use crate::lease::Revocation;
use crate::lease::SlotLease;
use crate::message::Class;
use crate::message::LoadReport;
use crate::message::Run;
use crate::message::Ticket;
use crate::message::ToHolder;
use crate::message::ToOwner;
use crate::message::Urgency;
use crate::outcomes::PendingOutcomes;
use crate::outlier::HealthSummary;
use crate::overload;
use crate::request::NoSlot;
use crate::request::SlotRequest;
use crate::search::GrantState;
use crate::search::PendingGrant;
use crate::search::Search;
use crate::table::SlotTable;

/// How long an unresponsive owner is not asked.
const OWNER_BACKOFF_MS: Millis = 600;
/// How long after this daemon's last run at a replica its owner still gets empty run lists, which
/// make up for a lost release.
const EMPTY_LISTS_MS: Millis = 2_000;

#[derive(Default)]
pub(crate) struct Inner {
    /// Whether owned tables refuse requests that cannot be on time when they arrive.
    pub(crate) refuses_early: bool,
    pub(crate) tables: HashMap<ReplicaName, SlotTable>,
    pub(crate) balancer: Balancer,
    pub(crate) detectors: Detectors,
    pub(crate) outcomes: PendingOutcomes,
    pending: HashMap<Ticket, Rc<PendingGrant>>,
    held: HashMap<Ticket, HeldRun>,
    last_run_at_ms: HashMap<ReplicaName, Millis>,
    unresponsive_until_ms: HashMap<DaemonName, Millis>,
    pub(crate) probing: HashSet<ReplicaName>,
    /// The incarnations whose answers announced that they leave and of which peers do not know yet.
    unshared_leaving: Vec<Incarnation>,
    /// The fingerprint of the ownership inputs at the last check.
    pub(crate) ownership_fingerprint: Option<u64>,
}

/// Slot scheduling of one daemon: the slots that it holds, and the tables of replicas that it owns.
pub struct Slots {
    pub(crate) clock: BootClock,
    pub(crate) counters: Counters,
    transport: Rc<Transport>,
    pub(crate) membership: Rc<RefCell<Membership>>,
    pub(crate) replicas: Rc<RefCell<ReplicaSet>>,
    pub(crate) probe: RefCell<Option<Rc<dyn Probe>>>,
    pub(crate) weak_self: Weak<Self>,
    pub(crate) inner: RefCell<Inner>,
}

/// What a query of a replica's state returned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProbeResult {
    /// The state, if the replica answered in time.
    pub state: Option<ReplicaState>,
    /// Whether the head of the answer announced that its sender leaves.
    pub is_leaving: bool,
    /// Whether another incarnation than the addressed one answered.
    pub is_misdirected: bool,
}

/// The list of replicas at the time of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListState {
    /// The revision of the list.
    pub revision: u64,
    /// The time since any daemon is known to have had an answer of the store.
    pub store_age_ms: Option<Millis>,
}

impl fmt::Display for ListState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age_ms = self.store_age_ms.map_or(-1, |age_ms| age_ms as i64);
        write!(formatter, "list_revision={} store_age_ms={age_ms}", self.revision)
    }
}

/// Queries the state of a replica.
pub trait Probe {
    /// Queries a replica's state; `use_new_connection` avoids idle connections, which may be dead.
    fn fetch_state(
        &self,
        replica: &ReplicaRecord,
        use_new_connection: bool,
    ) -> LocalBoxFuture<'static, ProbeResult>;
}

impl Slots {
    /// Creates the scheduling state and registers for its messages at the transport.
    pub fn start(
        clock: BootClock,
        counters: Counters,
        transport: Rc<Transport>,
        membership: Rc<RefCell<Membership>>,
        replicas: Rc<RefCell<ReplicaSet>>,
    ) -> Rc<Self> {
        let slots = Rc::new_cyclic(|weak_self| Self {
            clock,
            counters,
            transport: transport.clone(),
            membership,
            replicas,
            probe: RefCell::new(None),
            weak_self: weak_self.clone(),
            inner: RefCell::new(Inner::default()),
        });
        let weak = Rc::downgrade(&slots);
        let handler = move |datagram: &Datagram, from: IpAddr| {
            if let Some(slots) = weak.upgrade() {
                slots.handle_datagram(datagram, from);
            }
        };
        transport.set_handler(Topic::Slots, Rc::new(handler));
        slots
    }

    /// Waits for a slot at the best replica of a service.
    ///
    /// An online request that must wait is queued at two replicas and takes the first slot granted,
    /// since the loads that guided the choice are up to one heartbeat old.
    pub async fn acquire(self: &Rc<Self>, request: &SlotRequest<'_>) -> Result<SlotLease, NoSlot> {
        self.search(request, Search::new(self, request, None)).await
    }

    /// Waits for a slot at another replica than `current`, at which the request runs; fails at once
    /// if there is none.
    pub async fn acquire_elsewhere(
        self: &Rc<Self>,
        request: &SlotRequest<'_>,
        current: &ReplicaRecord,
    ) -> Result<SlotLease, NoSlot> {
        let avoided = self.is_usable(current).then_some(&current.name);
        if !self.has_replica_where(request.service, |name| avoided != Some(name)) {
            return Err(NoSlot::NoReplica);
        }
        self.search(request, Search::new(self, request, avoided)).await
    }

    async fn search(
        self: &Rc<Self>,
        request: &SlotRequest<'_>,
        mut search: Search<'_>,
    ) -> Result<SlotLease, NoSlot> {
        loop {
            let now_ms = self.clock.now_ms();
            if now_ms >= request.give_up_at_ms {
                return Err(search.no_slot());
            }
            if let Some(lease) = search.request_next(now_ms) {
                return Ok(lease);
            }
            if search.is_refused() {
                return Err(search.refusal(now_ms));
            }
            if search.has_only_leaving_replicas() {
                return Err(NoSlot::NoReplica);
            }
            search.wait(now_ms).await;
            if let Some(lease) = search.take_granted() {
                return Ok(lease);
            }
        }
    }

    /// Leases a replica of a plain service. No owner counts the load of its replicas, so the choice
    /// is made by the number of runs that this daemon has at each.
    pub fn acquire_without_owner(self: &Rc<Self>, request: &SlotRequest<'_>) -> Option<SlotLease> {
        let replica = self.choose(self.clock.now_ms(), request, |_| false)?;
        Some(self.create_lease(request, replica, new_ticket(), false))
    }

    /// Leases another replica of a plain service than `current`, at which the request runs.
    pub fn acquire_elsewhere_without_owner(
        self: &Rc<Self>,
        request: &SlotRequest<'_>,
        current: &ReplicaRecord,
    ) -> Option<SlotLease> {
        let avoided = self.is_usable(current).then_some(&current.name);
        let replica = self.choose(self.clock.now_ms(), request, |name| avoided == Some(name))?;
        Some(self.create_lease(request, replica, new_ticket(), false))
    }

    /// Records a success of a replica, which ends its ejection.
    pub fn record_success(&self, replica: &ReplicaName) {
        let mut inner = self.inner.borrow_mut();
        inner.balancer.record_success(replica);
        if inner.balancer.replicas_may_degrade() {
            inner.outcomes.record_success(replica);
        }
    }

    /// Records a failure of a replica, which ejects it for a while.
    pub fn record_failure(&self, replica: &ReplicaName, cause: &str) {
        let now_ms = self.clock.now_ms();
        let ejection_ms = self.inner.borrow_mut().balancer.record_failure(now_ms, replica);
        self.report_ejection(replica, cause, ejection_ms);
    }

    pub(crate) fn report_ejection(&self, replica: &ReplicaName, cause: &str, ejection_ms: Millis) {
        if ejection_ms > 0 {
            self.counters.count_tagged("replica_ejected", "cause", cause);
            info!("event=replica_ejected replica={replica} cause={cause} for_ms={ejection_ms}");
        }
    }

    /// Handles the announcement of an answer that its sender leaves.
    ///
    /// A misdirected request was answered by another incarnation at the address of the addressed
    /// one, which has therefore ended.
    pub fn record_leaving_answer(&self, addressed: &ReplicaRecord, is_misdirected: bool) {
        let mut incarnations = vec![Incarnation::from(addressed)];
        if is_misdirected {
            let replicas = self.replicas.borrow();
            let others = replicas.records().filter(|record| {
                record.address == addressed.address && record.name != addressed.name
            });
            incarnations.extend(others.map(Incarnation::from));
        }
        for incarnation in incarnations {
            if self.record_leaving(&incarnation, "answer") {
                self.inner.borrow_mut().unshared_leaving.push(incarnation);
            }
        }
    }

    /// Handles the report of a peer that replicas have announced that they leave; those that are
    /// not in use here are ignored.
    pub fn apply_leaving_report(&self, report: &[Incarnation]) {
        for incarnation in report {
            if self.replicas.borrow().is_listed(incarnation) {
                self.record_leaving(incarnation, "peer");
            }
            self.inner.borrow_mut().unshared_leaving.retain(|unshared| unshared != incarnation);
        }
    }

    /// Takes the incarnations whose answers announced since the last call that they leave.
    pub fn take_unshared_leaving(&self) -> Vec<Incarnation> {
        std::mem::take(&mut self.inner.borrow_mut().unshared_leaving)
    }

    /// Records that a replica leaves and wakes the requests that may wait for it; returns whether
    /// it was not known.
    fn record_leaving(&self, incarnation: &Incarnation, said_by: &str) -> bool {
        let now_ms = self.clock.now_ms();
        if !self.replicas.borrow_mut().record_leaving(now_ms, incarnation.clone()) {
            return false;
        }
        self.counters.count_tagged("replicas_leaving", "said_by", said_by);
        info!(
            "event=replica_leaving replica={} address={} started_unix_ms={} said_by={said_by}",
            incarnation.name, incarnation.address, incarnation.started_unix_ms
        );
        self.wake_waiting();
        true
    }

    /// Makes the requests that wait for a slot check whether their replicas are still usable.
    pub fn wake_waiting(&self) {
        self.inner.borrow().pending.values().for_each(|pending| pending.wake());
    }

    /// Sets whether owners refuse online requests that cannot be on time when they arrive.
    pub fn set_refuses_early(&self, refuses_early: bool) {
        self.inner.borrow_mut().refuses_early = refuses_early;
    }

    /// Sets the probe that queries the state of replicas.
    pub fn set_probe(&self, probe: Rc<dyn Probe>) {
        *self.probe.borrow_mut() = Some(probe);
    }

    /// Reports to the owner that a replica does not answer; the owner probes the replica and grants
    /// no slots meanwhile.
    pub fn report_suspect(&self, replica: &ReplicaName) {
        self.send_to_owner_of(replica, ToOwner::Suspect { replica: replica.clone() });
    }

    /// Removes a replica that is gone.
    pub fn remove_replica(&self, replica: &ReplicaName) {
        let mut inner = self.inner.borrow_mut();
        inner.balancer.remove(replica);
        inner.tables.remove(replica);
        inner.detectors.remove(replica);
        inner.outcomes.take(replica);
        inner.last_run_at_ms.remove(replica);
    }

    /// Records the replica loads that a peer's heartbeat carries.
    pub fn apply_loads(&self, payload: &[u8]) {
        let now_ms = self.clock.now_ms();
        let Some((reports, rest)) = decode_prefix::<Vec<LoadReport>>(Topic::Slots, payload) else {
            return;
        };
        let mut inner = self.inner.borrow_mut();
        // Owners of older builds send no summaries.
        let summaries = match rest.is_empty() || !inner.balancer.replicas_may_degrade() {
            true => None,
            false => decode_prefix::<Vec<HealthSummary>>(Topic::Slots, rest),
        };
        let summaries = summaries.map(|(summaries, _)| summaries).unwrap_or_default();
        let summaries = summaries.into_iter().map(Some).chain(repeat(None));
        for (report, summary) in reports.iter().zip(summaries) {
            inner.balancer.record_report(now_ms, report, summary);
        }
    }

    /// Sends each owner the list of runs that this daemon has at the owner's replicas.
    pub fn send_run_lists(&self) {
        let now_ms = self.clock.now_ms();
        let mut lists: HashMap<ReplicaName, Vec<Run>> = HashMap::new();
        {
            let mut inner = self.inner.borrow_mut();
            inner.last_run_at_ms.retain(|_, last_ms| now_ms < *last_ms + EMPTY_LISTS_MS);
            for replica in inner.last_run_at_ms.keys() {
                lists.insert(replica.clone(), Vec::new());
            }
            for (ticket, held) in &inner.held {
                let run = Run {
                    ticket: *ticket,
                    class: held.class,
                    urgency: urgency(now_ms, held.on_time_at_ms, held.order_at_ms),
                };
                lists.entry(held.replica.clone()).or_default().push(run);
            }
        }
        for (replica, runs) in lists {
            if !runs.is_empty() {
                self.inner.borrow_mut().last_run_at_ms.insert(replica.clone(), now_ms);
            }
            self.send_to_owner_of(&replica, ToOwner::Held { replica: replica.clone(), runs });
        }
    }

    pub(crate) fn choose(
        &self,
        now_ms: Millis,
        request: &SlotRequest<'_>,
        is_requested: impl Fn(&ReplicaName) -> bool,
    ) -> Option<ReplicaRecord> {
        let replicas = self.replicas.borrow();
        let mut candidates: Vec<&ReplicaRecord> = replicas
            .usable_records()
            .filter(|replica| replica.service == *request.service)
            .filter(|replica| !is_requested(&replica.name))
            .collect();
        let is_untried = |replica: &&ReplicaRecord| !request.excluded.contains(&replica.name);
        if candidates.iter().any(is_untried) {
            candidates.retain(is_untried);
        }
        let membership = self.membership.borrow();
        let own_data_centre = membership.data_centre();
        let inner = self.inner.borrow();
        let mut random = rand::thread_rng();
        inner
            .balancer
            .choose(now_ms, &candidates, request.class, own_data_centre, || random.r#gen())
            .cloned()
    }

    pub(crate) fn add_pending(
        &self,
        ticket: Ticket,
        pending: Rc<PendingGrant>,
        replica: &ReplicaName,
    ) {
        let mut inner = self.inner.borrow_mut();
        inner.pending.insert(ticket, pending);
        inner.balancer.record_request(replica);
    }

    pub(crate) fn remove_pending(&self, ticket: Ticket) {
        self.inner.borrow_mut().pending.remove(&ticket);
    }

    pub(crate) fn count_without_owner(&self) {
        self.counters.count("slots_without_owner");
    }

    /// Returns whether a replica that was not requested yet would serve the request without
    /// queueing.
    pub(crate) fn any_has_capacity(
        &self,
        request: &SlotRequest<'_>,
        is_requested: impl Fn(&ReplicaName) -> bool,
    ) -> bool {
        let now_ms = self.clock.now_ms();
        let replicas = self.replicas.borrow();
        let balancer = &self.inner.borrow().balancer;
        replicas
            .usable_records()
            .filter(|replica| replica.service == *request.service)
            .filter(|replica| {
                !is_requested(&replica.name) && !request.excluded.contains(&replica.name)
            })
            .any(|replica| {
                !balancer.is_ejected(now_ms, &replica.name)
                    && balancer.has_capacity(replica, request.class)
            })
    }

    /// Returns the incarnation in use of a replica if it has announced that it leaves.
    pub(crate) fn leaving_incarnation(&self, replica: &ReplicaName) -> Option<Incarnation> {
        let replicas = self.replicas.borrow();
        let record = replicas.get(replica).filter(|record| replicas.is_leaving(record))?;
        Some(Incarnation::from(record))
    }

    /// Tells a daemon that a replica leaves.
    pub(crate) fn send_leaving(&self, to: &DaemonName, incarnation: Incarnation) {
        if let Some(peer) = self.membership.borrow().peer(to) {
            self.transport.send(peer.identity.ip, Topic::Leaving, &vec![incarnation]);
        }
    }

    /// Returns what a choice of a replica was based on, as logged with each send.
    pub fn list_state(&self) -> ListState {
        let replicas = self.replicas.borrow();
        let now_ms = self.clock.now_ms();
        ListState {
            revision: replicas.revision(),
            store_age_ms: replicas.contact().latest_age_ms(now_ms),
        }
    }

    pub(crate) fn is_usable(&self, replica: &ReplicaRecord) -> bool {
        self.replicas.borrow().is_usable(replica)
    }

    /// Returns whether a usable replica of a service meets a condition on its name.
    pub(crate) fn has_replica_where(
        &self,
        service: &ServiceName,
        condition: impl Fn(&ReplicaName) -> bool,
    ) -> bool {
        let replicas = self.replicas.borrow();
        replicas
            .usable_records()
            .any(|replica| replica.service == *service && condition(&replica.name))
    }

    /// Returns whether a service has replicas and none of them may get new requests.
    pub(crate) fn has_only_leaving_replicas(&self, service: &ServiceName) -> bool {
        let replicas = self.replicas.borrow();
        let has_replica = replicas.records().any(|replica| replica.service == *service);
        has_replica && !replicas.usable_records().any(|replica| replica.service == *service)
    }

    pub(crate) fn has_capacity(&self, replica: &ReplicaRecord, class: Class) -> bool {
        self.inner.borrow().balancer.has_capacity(replica, class)
    }

    pub(crate) fn create_lease(
        self: &Rc<Self>,
        request: &SlotRequest<'_>,
        replica: ReplicaRecord,
        ticket: Ticket,
        is_granted: bool,
    ) -> SlotLease {
        let revocation = Rc::new(Revocation::default());
        let mut inner = self.inner.borrow_mut();
        let acquired_at_ms = self.clock.now_ms();
        let load = inner.balancer.load(acquired_at_ms, &replica.name);
        inner.balancer.record_start(&replica.name);
        inner.held.insert(
            ticket,
            HeldRun {
                replica: replica.name.clone(),
                class: request.class,
                on_time_at_ms: request.on_time_at_ms,
                order_at_ms: request.order_at_ms,
                revocation: revocation.clone(),
            },
        );
        drop(inner);
        SlotLease {
            replica,
            is_granted,
            load,
            acquired_at_ms,
            revocation,
            ticket,
            slots: self.clone(),
        }
    }

    pub(crate) fn release(&self, replica: &ReplicaName, ticket: Ticket) {
        {
            let mut inner = self.inner.borrow_mut();
            inner.held.remove(&ticket);
            inner.balancer.record_end(replica);
        }
        self.send_release(replica, ticket);
    }

    pub(crate) fn send_release(&self, replica: &ReplicaName, ticket: Ticket) {
        self.send_to_owner_of(replica, ToOwner::Release { replica: replica.clone(), ticket });
    }

    pub(crate) fn send_request(
        &self,
        owner: &DaemonName,
        request: &SlotRequest<'_>,
        replica: &ReplicaName,
        ticket: Ticket,
        now_ms: Millis,
    ) {
        let mut give_up_left_ms = request.give_up_at_ms.saturating_sub(now_ms);
        if self.inner.borrow().refuses_early {
            give_up_left_ms =
                overload::stated_wait_ms(request.class, request.waits_for_replica, give_up_left_ms);
        }
        let message = ToOwner::Ask {
            replica: replica.clone(),
            ticket,
            class: request.class,
            urgency: urgency(now_ms, request.on_time_at_ms, request.order_at_ms),
            give_up_left_ms,
        };
        self.send_to_owner(owner, message, request.share);
    }

    fn send_to_owner_of(&self, replica: &ReplicaName, message: ToOwner) {
        let record = self.replicas.borrow().get(replica).cloned();
        let Some(owner) = record.and_then(|record| self.owner_of(&record)) else { return };
        self.send_to_owner(&owner, message, None);
    }

    /// Sends a message to an owner; the share or outcomes follow the message, where older builds,
    /// which decode the message alone, ignore them.
    fn send_to_owner(&self, owner: &DaemonName, message: ToOwner, share: Option<Share>) {
        let membership = self.membership.borrow();
        if membership.own().name == *owner {
            drop(membership);
            let extension = Extension { outcomes: self.take_outcomes(&message), share };
            self.handle_as_owner(owner, message, extension);
            return;
        }
        if let Some(peer) = membership.peer(owner) {
            let (ip, topic) = (peer.identity.ip, Topic::Slots);
            let outcomes = self.take_outcomes(&message);
            let envelope = Envelope::ToOwner(message);
            match (share, outcomes) {
                (Some(share), _) => self.transport.send(ip, topic, &(envelope, share)),
                (None, Some(outcomes)) => self.transport.send(ip, topic, &(envelope, outcomes)),
                (None, None) => self.transport.send(ip, topic, &envelope),
            }
        }
    }

    fn handle_datagram(&self, datagram: &Datagram, _from: IpAddr) {
        let decoded = decode_prefix::<Envelope>(Topic::Slots, &datagram.payload);
        let Some((envelope, rest)) = decoded else { return };
        match envelope {
            Envelope::ToOwner(message) => {
                let extension = Extension::decode(&message, rest);
                self.handle_as_owner(&datagram.from, message, extension);
            }
            Envelope::ToHolder(replica, message) => {
                let expectation = Expectation::decode(&message, rest);
                self.handle_as_holder(&replica, message, expectation);
            }
        }
    }

    pub(crate) fn send_to_holder(
        &self,
        holder: &DaemonName,
        replica: &ReplicaName,
        message: ToHolder,
    ) {
        self.send_with_expectation(holder, replica, message, None);
    }

    /// Sends a message to a holder; the expectation follows the message, where older builds ignore it.
    pub(crate) fn send_with_expectation(
        &self,
        holder: &DaemonName,
        replica: &ReplicaName,
        message: ToHolder,
        expectation: Option<Expectation>,
    ) {
        let membership = self.membership.borrow();
        if membership.own().name == *holder {
            drop(membership);
            self.handle_as_holder(replica, message, expectation);
            return;
        }
        if let Some(peer) = membership.peer(holder) {
            let (ip, topic) = (peer.identity.ip, Topic::Slots);
            let envelope = Envelope::ToHolder(replica.clone(), message);
            match expectation {
                Some(expectation) => self.transport.send(ip, topic, &(envelope, expectation)),
                None => self.transport.send(ip, topic, &envelope),
            }
        }
    }

    fn handle_as_holder(
        &self,
        replica: &ReplicaName,
        message: ToHolder,
        expectation: Option<Expectation>,
    ) {
        let now_ms = self.clock.now_ms();
        let (ticket, state, load) = match message {
            ToHolder::Granted { ticket, load } => (ticket, GrantState::Granted, Some(load)),
            ToHolder::Queued { ticket, load } => (ticket, GrantState::Queued, Some(load)),
            ToHolder::NotOwner { ticket } => (ticket, GrantState::NotOwner, None),
            ToHolder::Refused { ticket, load } => {
                let slot_at_ms = expectation.map(|expectation| expectation.slot_at_ms(now_ms));
                (ticket, GrantState::Refused { slot_at_ms }, Some(load))
            }
            ToHolder::Revoked { ticket } => {
                self.handle_revocation(replica, ticket);
                return;
            }
        };
        let mut inner = self.inner.borrow_mut();
        if let Some(load) = load {
            inner.balancer.record_load(now_ms, replica, load);
        }
        let pending = inner.pending.get(&ticket).cloned();
        let is_held = inner.held.contains_key(&ticket);
        drop(inner);
        match pending {
            Some(pending) => pending.update(state),
            None if state == GrantState::Granted && !is_held => {
                debug!("event=grant_unexpected replica={replica}");
                self.send_release(replica, ticket);
            }
            None => {}
        }
    }

    fn handle_revocation(&self, replica: &ReplicaName, ticket: Ticket) {
        let revocation = self.inner.borrow().held.get(&ticket).map(|held| held.revocation.clone());
        match revocation {
            Some(revocation) => revocation.revoke(),
            None => self.send_release(replica, ticket),
        }
    }

    pub(crate) fn is_unresponsive(&self, owner: &DaemonName) -> bool {
        let now_ms = self.clock.now_ms();
        self.inner
            .borrow()
            .unresponsive_until_ms
            .get(owner)
            .is_some_and(|until_ms| now_ms < *until_ms)
    }

    pub(crate) fn mark_unresponsive(&self, owner: &DaemonName) {
        let until_ms = self.clock.now_ms() + OWNER_BACKOFF_MS;
        self.inner.borrow_mut().unresponsive_until_ms.insert(owner.clone(), until_ms);
        info!("event=owner_unresponsive owner={owner} for_ms={OWNER_BACKOFF_MS}");
    }
}

/// The payload of a datagram of slot scheduling.
#[derive(serde::Serialize, serde::Deserialize)]
enum Envelope {
    ToOwner(ToOwner),
    ToHolder(ReplicaName, ToHolder),
}

fn urgency(now_ms: Millis, on_time_at_ms: Millis, order_at_ms: Millis) -> Urgency {
    Urgency {
        on_time_left_ms: on_time_at_ms.saturating_sub(now_ms),
        order_left_ms: order_at_ms.saturating_sub(now_ms),
    }
}

pub(crate) fn new_ticket() -> Ticket {
    Ticket(rand::thread_rng().r#gen())
}
