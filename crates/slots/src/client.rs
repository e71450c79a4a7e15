//! Asks for slots, holds them, and answers for the replicas that this daemon owns.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

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
use peers::heartbeat::Rider;
use peers::transport::decode;
use peers::transport::encode;
use rand::Rng;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::DaemonName;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;
use wire::ServiceName;
use wire::rendezvous;

use crate::message::Class;
use crate::message::Load;
use crate::message::LoadReport;
use crate::message::Run;
use crate::message::Ticket;
use crate::message::ToHolder;
use crate::message::ToOwner;
use crate::message::Urgency;
use crate::picture::Picture;
use crate::search::PendingWish;
use crate::search::Search;
use crate::search::WishState;
use crate::table::Table;
use crate::table::TableAction;
use crate::table::Wish;

/// How long a mute owner is not asked.
const MUTE_MS: Millis = 600;
/// How long after its last run a replica's owner still gets lists, so that a lost release heals.
const LIST_AFTER_MS: Millis = 2_000;

/// How often a suspect replica is asked whether it answers.
const PROBE_EVERY_MS: Millis = 400;

/// A wish for a slot.
#[derive(Clone, Debug)]
pub struct SlotAsk<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// What for.
    pub class: Class,
    /// Until when the request can wait and still be on time.
    pub on_time_at_ms: Millis,
    /// What orders requests that can be on time.
    pub order_at_ms: Millis,
    /// Until when it waits.
    pub give_up_at_ms: Millis,
    /// Replicas that were tried already.
    pub excluded: &'a [ReplicaName],
}

/// Why there is no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlot {
    /// The service has no replica that takes work.
    NoReplica,
    /// Every slot was taken for as long as the request could wait.
    Full,
}

struct HeldRun {
    replica: ReplicaName,
    class: Class,
    on_time_at_ms: Millis,
    order_at_ms: Millis,
    revoked: Rc<Revocation>,
}

/// Tells a run that its slot is needed.
#[derive(Default)]
pub struct Revocation {
    is_revoked: Cell<bool>,
    changed: Notify,
}

impl Revocation {
    /// Waits until the slot is needed.
    pub async fn revoked(&self) {
        while !self.is_revoked.get() {
            self.changed.notified().await;
        }
    }

    fn revoke(&self) {
        self.is_revoked.set(true);
        self.changed.notify_waiters();
    }
}

#[derive(Default)]
struct Inner {
    tables: HashMap<ReplicaName, Table>,
    picture: Picture,
    wishes: HashMap<Ticket, Rc<PendingWish>>,
    held: HashMap<Ticket, HeldRun>,
    listed: HashMap<ReplicaName, Millis>,
    mute: HashMap<DaemonName, Millis>,
}

/// The slots of all replicas, as this daemon sees them.
pub struct Slots {
    clock: BootClock,
    counters: Counters,
    transport: Rc<Transport>,
    membership: Rc<RefCell<Membership>>,
    replicas: Rc<RefCell<ReplicaSet>>,
    probe: RefCell<Option<Rc<dyn Probe>>>,
    own: Weak<Self>,
    inner: RefCell<Inner>,
}

/// Asks a replica whether it answers.
pub trait Probe {
    /// Returns whether the replica answered in time.
    fn answers(&self, replica: &ReplicaRecord) -> LocalBoxFuture<'static, bool>;
}

/// A slot that this daemon holds until the lease is dropped.
pub struct SlotLease {
    /// The replica.
    pub replica: ReplicaRecord,
    /// Whether the owner granted it.
    pub is_granted: bool,
    /// The replica's load as it was known, with its age in milliseconds.
    pub load: Option<(Load, Millis)>,
    /// Told when the slot is needed for an online request.
    pub revocation: Rc<Revocation>,
    ticket: Ticket,
    slots: Rc<Slots>,
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.slots.release(&self.replica.name, self.ticket);
    }
}

impl Slots {
    /// Creates the slots and takes their messages from the transport.
    pub fn start(
        clock: BootClock,
        counters: Counters,
        transport: Rc<Transport>,
        membership: Rc<RefCell<Membership>>,
        replicas: Rc<RefCell<ReplicaSet>>,
    ) -> Rc<Self> {
        let slots = Rc::new_cyclic(|own| Self {
            clock,
            counters,
            transport: transport.clone(),
            membership,
            replicas,
            probe: RefCell::new(None),
            own: own.clone(),
            inner: RefCell::new(Inner::default()),
        });
        let weak = Rc::downgrade(&slots);
        let receiver = move |datagram: &Datagram, from: IpAddr| {
            if let Some(slots) = weak.upgrade() {
                slots.received(datagram, from);
            }
        };
        transport.on(Topic::Slots, Rc::new(receiver));
        slots
    }

    /// Waits for a slot at the best replica of a service.
    ///
    /// An online request that has to wait stands in the queues of two replicas and takes the slot
    /// that comes first, since the loads that it chose by are up to a heartbeat old.
    pub async fn acquire(self: &Rc<Self>, ask: &SlotAsk<'_>) -> Result<SlotLease, NoSlot> {
        let mut search = Search::new(self, ask);
        loop {
            let now_ms = self.clock.now_ms();
            if now_ms >= ask.give_up_at_ms {
                return Err(search.no_slot());
            }
            if let Some(lease) = search.ask_more(now_ms) {
                return Ok(lease);
            }
            search.wait(now_ms).await;
            if let Some(lease) = search.take() {
                return Ok(lease);
            }
        }
    }

    /// Takes a replica of a plain service, which has no owner: the one with the fewest own runs.
    pub fn take_any(self: &Rc<Self>, ask: &SlotAsk<'_>) -> Option<SlotLease> {
        let replica = self.choose(self.clock.now_ms(), ask, |_| false)?;
        Some(self.hold(ask, replica, new_ticket(), false))
    }

    /// Notes that a replica answered as it should.
    pub fn succeeded(&self, replica: &ReplicaName) {
        self.inner.borrow_mut().picture.succeeded(replica);
    }

    /// Notes that a replica failed; it is left out for a while.
    pub fn failed(&self, replica: &ReplicaName, cause: &str) {
        let now_ms = self.clock.now_ms();
        let ejection_ms = self.inner.borrow_mut().picture.failed(now_ms, replica);
        if ejection_ms > 0 {
            self.counters.count_tagged("replica_ejected", "cause", cause);
            info!("event=replica_ejected replica={replica} cause={cause} for_ms={ejection_ms}");
        }
    }

    /// Gives the slots a way to ask a replica whether it answers.
    pub fn set_probe(&self, probe: Rc<dyn Probe>) {
        *self.probe.borrow_mut() = Some(probe);
    }

    /// Notes that a replica does not answer; its owner asks it and grants nothing meanwhile.
    pub fn suspect(&self, replica: &ReplicaName) {
        self.tell_owner(replica, ToOwner::Suspect { replica: replica.clone() });
    }

    /// Forgets a replica that is gone.
    pub fn forget(&self, replica: &ReplicaName) {
        let mut inner = self.inner.borrow_mut();
        inner.picture.forget(replica);
        inner.tables.remove(replica);
        inner.listed.remove(replica);
    }

    /// Forgets what a lost daemon held.
    pub fn holder_lost(&self, holder: &DaemonName) {
        let now_ms = self.clock.now_ms();
        let mut actions = Vec::new();
        for (replica, table) in &mut self.inner.borrow_mut().tables {
            let name = replica.clone();
            actions.push((name, table.holder_lost(now_ms, holder)));
        }
        for (replica, actions) in actions {
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

    /// Takes the loads of a peer's heartbeat.
    pub fn take_rider(&self, payload: &[u8]) {
        let now_ms = self.clock.now_ms();
        let Some(reports) = decode::<Vec<LoadReport>>(Topic::Slots, payload) else { return };
        let mut inner = self.inner.borrow_mut();
        for report in reports {
            inner.picture.reported(now_ms, &report.replica, report.load);
        }
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

    /// Tells every owner which runs this daemon has at its replicas.
    pub fn list_runs(&self) {
        let now_ms = self.clock.now_ms();
        let mut lists: HashMap<ReplicaName, Vec<Run>> = HashMap::new();
        {
            let mut inner = self.inner.borrow_mut();
            inner.listed.retain(|_, last_ms| now_ms < *last_ms + LIST_AFTER_MS);
            for replica in inner.listed.keys() {
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
                self.inner.borrow_mut().listed.insert(replica.clone(), now_ms);
            }
            self.tell_owner(&replica, ToOwner::Held { replica: replica.clone(), runs });
        }
    }

    /// Returns the sums of grants and waiting wishes over the owned replicas.
    pub fn owned_load(&self) -> Load {
        let inner = self.inner.borrow();
        inner.tables.values().fold(Load::default(), |mut sum, table| {
            let load = table.load();
            sum.slots += load.slots;
            sum.online += load.online;
            sum.batch += load.batch;
            sum.online_waiting += load.online_waiting;
            sum.batch_waiting += load.batch_waiting;
            sum
        })
    }

    pub(crate) fn choose(
        &self,
        now_ms: Millis,
        ask: &SlotAsk<'_>,
        is_asked: impl Fn(&ReplicaName) -> bool,
    ) -> Option<ReplicaRecord> {
        let replicas = self.replicas.borrow();
        let mut candidates: Vec<&ReplicaRecord> = replicas
            .records()
            .filter(|replica| replica.service == *ask.service && !replica.is_draining)
            .filter(|replica| !is_asked(&replica.name))
            .collect();
        let is_untried = |replica: &&ReplicaRecord| !ask.excluded.contains(&replica.name);
        if candidates.iter().any(is_untried) {
            candidates.retain(is_untried);
        }
        let membership = self.membership.borrow();
        let own = membership.data_centre();
        let inner = self.inner.borrow();
        let mut random = rand::thread_rng();
        inner.picture.choose(now_ms, &candidates, ask.class, own, || random.r#gen()).cloned()
    }

    pub(crate) fn remember_wish(
        &self,
        ticket: Ticket,
        wish: Rc<PendingWish>,
        replica: &ReplicaName,
    ) {
        let mut inner = self.inner.borrow_mut();
        inner.wishes.insert(ticket, wish);
        inner.picture.asked(replica);
    }

    pub(crate) fn forget_wish(&self, ticket: Ticket) {
        self.inner.borrow_mut().wishes.remove(&ticket);
    }

    pub(crate) fn count_without_owner(&self) {
        self.counters.count("slots_without_owner");
    }

    /// Returns whether a replica that was not asked has room for a request of the class.
    pub(crate) fn any_has_room(
        &self,
        ask: &SlotAsk<'_>,
        is_asked: impl Fn(&ReplicaName) -> bool,
    ) -> bool {
        let now_ms = self.clock.now_ms();
        let replicas = self.replicas.borrow();
        let picture = &self.inner.borrow().picture;
        replicas
            .records()
            .filter(|replica| replica.service == *ask.service && !replica.is_draining)
            .filter(|replica| !is_asked(&replica.name) && !ask.excluded.contains(&replica.name))
            .any(|replica| {
                !picture.is_ejected(now_ms, &replica.name) && picture.has_room(replica, ask.class)
            })
    }

    pub(crate) fn is_usable(&self, replica: &ReplicaName) -> bool {
        self.replicas.borrow().get(replica).is_some_and(|record| !record.is_draining)
    }

    pub(crate) fn has_room(&self, replica: &ReplicaRecord, class: Class) -> bool {
        self.inner.borrow().picture.has_room(replica, class)
    }

    pub(crate) fn hold(
        self: &Rc<Self>,
        ask: &SlotAsk<'_>,
        replica: ReplicaRecord,
        ticket: Ticket,
        is_granted: bool,
    ) -> SlotLease {
        let revocation = Rc::new(Revocation::default());
        let mut inner = self.inner.borrow_mut();
        let load = inner.picture.load(self.clock.now_ms(), &replica.name);
        inner.picture.started(&replica.name);
        inner.held.insert(
            ticket,
            HeldRun {
                replica: replica.name.clone(),
                class: ask.class,
                on_time_at_ms: ask.on_time_at_ms,
                order_at_ms: ask.order_at_ms,
                revoked: revocation.clone(),
            },
        );
        drop(inner);
        SlotLease { replica, is_granted, load, revocation, ticket, slots: self.clone() }
    }

    fn release(&self, replica: &ReplicaName, ticket: Ticket) {
        {
            let mut inner = self.inner.borrow_mut();
            inner.held.remove(&ticket);
            inner.picture.ended(replica);
        }
        self.tell_owner_released(replica, ticket);
    }

    pub(crate) fn tell_owner_released(&self, replica: &ReplicaName, ticket: Ticket) {
        self.tell_owner(replica, ToOwner::Release { replica: replica.clone(), ticket });
    }

    pub(crate) fn ask_owner(
        &self,
        owner: &DaemonName,
        ask: &SlotAsk<'_>,
        replica: &ReplicaName,
        ticket: Ticket,
        now_ms: Millis,
    ) {
        let message = ToOwner::Ask {
            replica: replica.clone(),
            ticket,
            class: ask.class,
            urgency: urgency(now_ms, ask.on_time_at_ms, ask.order_at_ms),
            give_up_left_ms: ask.give_up_at_ms.saturating_sub(now_ms),
        };
        self.send_to_owner(owner, message);
    }

    fn tell_owner(&self, replica: &ReplicaName, message: ToOwner) {
        let record = self.replicas.borrow().get(replica).cloned();
        let Some(owner) = record.and_then(|record| self.owner_of(&record)) else { return };
        self.send_to_owner(&owner, message);
    }

    fn send_to_owner(&self, owner: &DaemonName, message: ToOwner) {
        let membership = self.membership.borrow();
        if membership.own().name == *owner {
            drop(membership);
            self.owner_received(owner, message);
            return;
        }
        if let Some(peer) = membership.peer(owner) {
            self.transport.send(peer.identity.ip, Topic::Slots, &Envelope::ToOwner(message));
        }
    }

    fn received(&self, datagram: &Datagram, _from: IpAddr) {
        match decode::<Envelope>(Topic::Slots, &datagram.payload) {
            Some(Envelope::ToOwner(message)) => self.owner_received(&datagram.from, message),
            Some(Envelope::ToHolder(replica, message)) => self.holder_received(&replica, message),
            None => {}
        }
    }

    fn owner_received(&self, holder: &DaemonName, message: ToOwner) {
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
        let actions = {
            let mut inner = self.inner.borrow_mut();
            let Some(table) = inner.tables.get_mut(&replica) else { return };
            match message {
                ToOwner::Ask { ticket, class, urgency, give_up_left_ms, .. } => {
                    let holder = holder.clone();
                    let wish = Wish { ticket, holder, class, urgency, give_up_left_ms };
                    table.ask(now_ms, wish)
                }
                ToOwner::Release { ticket, .. } => table.release(now_ms, ticket),
                ToOwner::Held { runs, .. } => table.held(now_ms, holder, &runs),
                ToOwner::Suspect { .. } => {
                    if table.suspect() {
                        info!("event=replica_suspect replica={replica} said_by={holder}");
                        self.counters.count("replicas_suspected");
                        self.probe_until_answered(&replica);
                    }
                    Vec::new()
                }
            }
        };
        self.perform(&replica, actions);
    }

    /// Asks a suspect replica until it answers, and grants its slots again then.
    fn probe_until_answered(&self, replica: &ReplicaName) {
        let (Some(slots), Some(probe)) = (self.own.upgrade(), self.probe.borrow().clone()) else {
            return;
        };
        let name = replica.clone();
        spawn_local(async move {
            let since_ms = slots.clock.now_ms();
            loop {
                let record = slots.replicas.borrow().get(&name).cloned();
                let is_owned = slots.inner.borrow().tables.contains_key(&name);
                let (Some(record), true) = (record, is_owned) else { return };
                if probe.answers(&record).await {
                    break;
                }
                sleep(Duration::from_millis(PROBE_EVERY_MS)).await;
            }
            let now_ms = slots.clock.now_ms();
            let for_ms = now_ms.saturating_sub(since_ms);
            info!("event=replica_trusted replica={name} after_ms={for_ms}");
            let trusted = slots.inner.borrow_mut().tables.get_mut(&name).map(|t| t.trust(now_ms));
            slots.perform(&name, trusted.unwrap_or_default());
        });
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
                TableAction::Revoke { holder, ticket } => {
                    self.counters.count("slots_revoked");
                    self.tell_holder(&holder, replica, ToHolder::Revoked { ticket });
                }
            }
        }
    }

    fn tell_holder(&self, holder: &DaemonName, replica: &ReplicaName, message: ToHolder) {
        let membership = self.membership.borrow();
        if membership.own().name == *holder {
            drop(membership);
            self.holder_received(replica, message);
            return;
        }
        if let Some(peer) = membership.peer(holder) {
            let envelope = Envelope::ToHolder(replica.clone(), message);
            self.transport.send(peer.identity.ip, Topic::Slots, &envelope);
        }
    }

    fn holder_received(&self, replica: &ReplicaName, message: ToHolder) {
        let now_ms = self.clock.now_ms();
        let (ticket, state, load) = match message {
            ToHolder::Granted { ticket, load } => (ticket, WishState::Granted, Some(load)),
            ToHolder::Queued { ticket, load } => (ticket, WishState::Queued, Some(load)),
            ToHolder::NotOwner { ticket } => (ticket, WishState::NotOwner, None),
            ToHolder::Revoked { ticket } => {
                self.revoked(replica, ticket);
                return;
            }
        };
        let mut inner = self.inner.borrow_mut();
        if let Some(load) = load {
            inner.picture.reported(now_ms, replica, load);
        }
        let wish = inner.wishes.get(&ticket).cloned();
        let is_held = inner.held.contains_key(&ticket);
        drop(inner);
        match wish {
            Some(wish) => wish.heard(state),
            None if state == WishState::Granted && !is_held => {
                debug!("event=grant_not_wanted replica={replica}");
                self.tell_owner_released(replica, ticket);
            }
            None => {}
        }
    }

    fn revoked(&self, replica: &ReplicaName, ticket: Ticket) {
        let revocation = self.inner.borrow().held.get(&ticket).map(|held| held.revoked.clone());
        match revocation {
            Some(revocation) => revocation.revoke(),
            None => self.tell_owner_released(replica, ticket),
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

    fn follow_ownership(&self, now_ms: Millis) {
        let records: Vec<ReplicaRecord> = self.replicas.borrow().records().cloned().collect();
        let own = |name: &ReplicaName| {
            records.iter().any(|record| record.name == *name && self.is_own(record))
        };
        let tables: Vec<ReplicaName> = self.inner.borrow().tables.keys().cloned().collect();
        for name in tables.iter().filter(|name| !own(name)) {
            self.inner.borrow_mut().tables.remove(name);
            info!("event=replica_disowned replica={name}");
        }
        for record in &records {
            if self.is_own(record) {
                self.ensure_table(now_ms, &record.name);
            }
        }
    }

    pub(crate) fn is_mute(&self, owner: &DaemonName) -> bool {
        let now_ms = self.clock.now_ms();
        self.inner.borrow().mute.get(owner).is_some_and(|until_ms| now_ms < *until_ms)
    }

    pub(crate) fn mute(&self, owner: &DaemonName) {
        let until_ms = self.clock.now_ms() + MUTE_MS;
        self.inner.borrow_mut().mute.insert(owner.clone(), until_ms);
        info!("event=owner_mute owner={owner} for_ms={MUTE_MS}");
    }
}

/// A datagram of this part of the daemon.
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
