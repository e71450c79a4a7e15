//! The holder's side of the slots: asks the owners of replicas for slots and holds them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::rc::Weak;

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
use peers::transport::decode;
use rand::Rng;
use wire::DaemonName;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;
use wire::ReplicaState;

use crate::ask::NoSlot;
use crate::ask::SlotAsk;
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
use crate::picture::Picture;
use crate::search::PendingWish;
use crate::search::Search;
use crate::search::WishState;
use crate::table::Table;

/// How long a mute owner is not asked.
const MUTE_MS: Millis = 600;
/// How long after its last run a replica's owner still gets lists, so that a lost release heals.
const LIST_AFTER_MS: Millis = 2_000;

#[derive(Default)]
pub(crate) struct Inner {
    pub(crate) tables: HashMap<ReplicaName, Table>,
    pub(crate) picture: Picture,
    wishes: HashMap<Ticket, Rc<PendingWish>>,
    held: HashMap<Ticket, HeldRun>,
    listed: HashMap<ReplicaName, Millis>,
    mute: HashMap<DaemonName, Millis>,
    pub(crate) examined: HashSet<ReplicaName>,
    /// What decided over ownership when it was looked at last.
    pub(crate) ownership_basis: Option<u64>,
}

/// The slots of all replicas, as this daemon sees them.
pub struct Slots {
    pub(crate) clock: BootClock,
    pub(crate) counters: Counters,
    transport: Rc<Transport>,
    pub(crate) membership: Rc<RefCell<Membership>>,
    pub(crate) replicas: Rc<RefCell<ReplicaSet>>,
    pub(crate) probe: RefCell<Option<Rc<dyn Probe>>>,
    pub(crate) own: Weak<Self>,
    pub(crate) inner: RefCell<Inner>,
}

/// Asks a replica for its state.
pub trait Probe {
    /// Returns the replica's state, if it answered in time; on a `fresh` connection where idle ones
    /// may lead nowhere.
    fn state(
        &self,
        replica: &ReplicaRecord,
        fresh: bool,
    ) -> LocalBoxFuture<'static, Option<ReplicaState>>;
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
            if search.is_hopeless() {
                return Err(NoSlot::Full);
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

    /// Gives the slots a way to ask replicas for their state.
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

    /// Takes the loads of a peer's heartbeat.
    pub fn take_rider(&self, payload: &[u8]) {
        let now_ms = self.clock.now_ms();
        let Some(reports) = decode::<Vec<LoadReport>>(Topic::Slots, payload) else { return };
        let mut inner = self.inner.borrow_mut();
        for report in reports {
            inner.picture.reported(now_ms, &report.replica, report.load);
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

    pub(crate) fn release(&self, replica: &ReplicaName, ticket: Ticket) {
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

    pub(crate) fn tell_holder(
        &self,
        holder: &DaemonName,
        replica: &ReplicaName,
        message: ToHolder,
    ) {
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
            ToHolder::Refused { ticket, load } => (ticket, WishState::Refused, Some(load)),
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
