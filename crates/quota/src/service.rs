//! The quotas of a running daemon: timers, datagrams, counters and log lines around the core.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use kernel::BootClock;
use kernel::Counters;
use log::info;
use peers::Membership;
use peers::Topic;
use peers::Transport;
use peers::heartbeat::Datagram;
use peers::heartbeat::Identity;
use peers::transport::decode;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::Configuration;
use wire::DaemonName;
use wire::Millis;
use wire::OrgName;
use wire::Organisation;
use wire::Reason;
use wire::Refusal;

use crate::allowance::Limit;
use crate::allowance::QuotaSettings;
use crate::core::Action;
use crate::core::Event;
use crate::core::QuotaCore;
use crate::holder::Decision;
use crate::holder::Source;
use crate::holder::Ticket;
use crate::message::Message;
use crate::message::OrgHash;
use crate::message::hash_of;

/// How long a request waits before the message to the owner is repeated: several round trips.
const RETRY_AFTER: Duration = Duration::from_millis(30);
/// How long it then waits until the fixed share decides.
const OWNER_TIMEOUT: Duration = Duration::from_millis(50);
/// How long it then waits for another daemon's fixed share.
const SHARE_TIMEOUT: Duration = Duration::from_millis(40);
/// The time between two updates of the members, each of which computes the owners anew.
const MEMBERS_INTERVAL_MS: Millis = 200;
/// An owner's host has at least the largest host's share of a processor core divided by this: an owner
/// answers an ask for each request, several hundred a second if a large organisation is over its quota.
const MAX_CPU_RATIO: u32 = 2;
/// How long after the first list of a peer the members count as all daemons while the store does not
/// answer: several heartbeats and lists of the others have arrived by then.
const PEER_LIST_SETTLE_MS: Millis = 3_000;
/// The time between two log lines about refusals of one organisation.
const REFUSAL_LOG_INTERVAL_MS: Millis = 1_000;
/// The organisations with a counter of their own; the others share one.
const MAX_COUNTED_ORGANISATIONS: usize = 64;

/// The permission to send one request of an organisation, which goes back if it was not sent.
pub struct Credit {
    quotas: Rc<Quotas>,
    org: OrgHash,
    source: Option<Source>,
    sends: Cell<u32>,
}

impl Credit {
    /// Records that the request is about to be sent to a replica.
    pub fn record_sent(&self) {
        self.sends.set(self.sends.get() + 1);
    }

    /// Records that a replica certainly does not run the request that was sent to it.
    pub fn record_not_run(&self) {
        self.sends.set(self.sends.get().saturating_sub(1));
    }
}

impl Drop for Credit {
    fn drop(&mut self) {
        if self.sends.get() > 0 {
            return;
        }
        if let Some(source) = self.source.take() {
            self.quotas.counters.count("quota_returned");
            self.quotas.step(Event::Unspent { org: self.org, source });
        }
    }
}

/// A request that waits for credit; dropping it ends the wait.
struct WaitingRequest {
    quotas: Rc<Quotas>,
    ticket: Ticket,
    org: OrgHash,
    decision: oneshot::Receiver<Decision>,
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        if self.quotas.waiting.borrow_mut().remove(&self.ticket).is_some() {
            self.quotas.step(Event::Abandon { ticket: self.ticket, org: self.org });
        } else if let Ok(Decision::Admitted(source)) = self.decision.try_recv() {
            // The client disconnected after the decision and before it was read.
            self.quotas.step(Event::Unspent { org: self.org, source });
        }
    }
}

/// Refusals of an organisation since its last log line.
#[derive(Default)]
struct RefusalLog {
    logged_ms: Option<Millis>,
    refused: u64,
}

/// The quotas of organisations at one daemon.
pub struct Quotas {
    clock: BootClock,
    counters: Counters,
    transport: Rc<Transport>,
    membership: Rc<RefCell<Membership>>,
    core: RefCell<QuotaCore>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Decision>>>,
    next_ticket: Cell<Ticket>,
    version: Cell<Option<u64>>,
    /// From when on the members count as all daemons.
    fleet_known_from_ms: Cell<Option<Millis>>,
    members_ms: Cell<Option<Millis>>,
    refusals: RefCell<HashMap<OrgName, RefusalLog>>,
}

impl Quotas {
    /// Creates the quotas of a daemon that starts now.
    pub fn new(
        clock: BootClock,
        counters: Counters,
        transport: Rc<Transport>,
        membership: Rc<RefCell<Membership>>,
        settings: QuotaSettings,
        is_first_start: bool,
    ) -> Rc<Self> {
        let own = membership.borrow().own().clone();
        let core =
            QuotaCore::new(clock.now_ms(), own.name, own.incarnation, settings, is_first_start);
        Rc::new(Self {
            clock,
            counters,
            transport,
            membership,
            core: RefCell::new(core),
            waiting: RefCell::default(),
            next_ticket: Cell::new(0),
            version: Cell::new(None),
            fleet_known_from_ms: Cell::new(None),
            members_ms: Cell::new(None),
            refusals: RefCell::default(),
        })
    }

    /// Sets the handler of the messages of other daemons.
    pub fn listen(self: &Rc<Self>) {
        let quotas = self.clone();
        let handler = move |datagram: &Datagram, _from: IpAddr| quotas.handle(datagram);
        self.transport.set_handler(Topic::Quotas, Rc::new(handler));
    }

    /// Records that the members were read from the store, or from a peer, which may itself know only
    /// a few daemons yet.
    pub fn record_member_list(&self, is_from_store: bool) {
        let settle_ms = if is_from_store { 0 } else { PEER_LIST_SETTLE_MS };
        let from_ms = self.clock.now_ms() + settle_ms;
        let earlier_ms = self.fleet_known_from_ms.get().unwrap_or(from_ms);
        self.fleet_known_from_ms.set(Some(earlier_ms.min(from_ms)));
        self.members_ms.set(None);
    }

    /// Does what is due; called every 50 ms with the configuration in force.
    pub fn tick(&self, configuration: Option<&Configuration>) {
        if let Some(configuration) = configuration
            && self.version.replace(Some(configuration.version)) != Some(configuration.version)
        {
            self.apply_configuration(configuration);
        }
        if !self.core.borrow().is_enabled() {
            return;
        }
        let now_ms = self.clock.now_ms();
        if self.members_ms.get().is_none_or(|at_ms| now_ms >= at_ms + MEMBERS_INTERVAL_MS) {
            self.members_ms.set(Some(now_ms));
            self.update_members();
        }
        self.step(Event::Tick);
    }

    /// Waits some tens of milliseconds for credit for one request.
    ///
    /// Returns `None` if the organisation has no quota.
    pub async fn admit(
        self: &Rc<Self>,
        organisation: &Organisation,
    ) -> Result<Option<Credit>, Refusal> {
        let Some(quota) = &organisation.quota else { return Ok(None) };
        let limit = Limit { rate_per_s: quota.rate_per_s, burst: quota.burst };
        if !limit.is_limiting() {
            return Ok(None);
        }
        let org = hash_of(organisation.name.as_str());
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let mut waiting = WaitingRequest { quotas: self.clone(), ticket, org, decision: receiver };
        self.step(Event::Admit { ticket, org, limit });
        let mut decision = timeout(RETRY_AFTER, &mut waiting.decision).await;
        if decision.is_err() {
            self.step(Event::Retry { ticket, org });
            decision = timeout(OWNER_TIMEOUT, &mut waiting.decision).await;
        }
        if decision.is_err() {
            self.counters.count("quota_owner_silent");
            self.step(Event::GiveUp { ticket, org });
            decision = timeout(SHARE_TIMEOUT, &mut waiting.decision).await;
        }
        if decision.is_err() {
            // The core decides at once now.
            self.step(Event::GiveUp { ticket, org });
            decision = timeout(Duration::ZERO, &mut waiting.decision).await;
        }
        drop(waiting);
        match decision {
            Ok(Ok(Decision::Admitted(source))) => {
                self.counters.count_tagged("quota_admitted", "source", source_name(&source));
                let quotas = self.clone();
                Ok(Some(Credit { quotas, org, source: Some(source), sends: Cell::new(0) }))
            }
            Ok(Ok(Decision::Refused { retry_after_ms })) => {
                Err(self.refuse(&organisation.name, retry_after_ms))
            }
            // Only a request that is decided loses its sender, so that this does not occur.
            Ok(Err(_)) | Err(_) => Err(self.refuse(&organisation.name, 1_000)),
        }
    }

    fn refuse(&self, name: &OrgName, retry_after_ms: Millis) -> Refusal {
        let now_ms = self.clock.now_ms();
        let mut refusals = self.refusals.borrow_mut();
        let has_counter = refusals.contains_key(name) || refusals.len() < MAX_COUNTED_ORGANISATIONS;
        let label = if has_counter { name.clone() } else { OrgName::from("other") };
        self.counters.count_tagged("quota_refused", "organisation", label.as_str());
        let log = refusals.entry(label).or_default();
        log.refused += 1;
        let interval_ms = REFUSAL_LOG_INTERVAL_MS;
        if log.logged_ms.is_none_or(|logged_ms| now_ms >= logged_ms + interval_ms) {
            let is_owner = self.core.borrow().is_owner_of(hash_of(name.as_str()));
            info!(
                "event=quota_refused organisation={name} refused={} \
                 retry_after_ms={retry_after_ms} owner_here={is_owner}",
                log.refused
            );
            *log = RefusalLog { logged_ms: Some(now_ms), refused: 0 };
        }
        Refusal::not_run(Reason::RateLimit, "the organisation is over its request quota")
            .with_retry_after(retry_after_ms.max(1))
    }

    fn apply_configuration(&self, configuration: &Configuration) {
        let limits: HashMap<OrgHash, Limit> = configuration
            .organisations()
            .iter()
            .filter_map(|organisation| {
                let quota = organisation.quota?;
                let limit = Limit { rate_per_s: quota.rate_per_s, burst: quota.burst };
                limit.is_limiting().then(|| (hash_of(organisation.name.as_str()), limit))
            })
            .collect();
        let (before, after) = (self.core.borrow().limits(), limits.len());
        if before > 0 || after > 0 {
            info!("event=quota_limits version={} organisations={after}", configuration.version);
            self.step(Event::Limits(limits));
        }
    }

    fn update_members(&self) {
        let membership = self.membership.borrow();
        let known = membership.peers().map(|peer| peer.identity.name.clone()).collect();
        let most_millis = membership.peers().map(|peer| peer.identity.cpu_millis);
        let most_millis = most_millis.chain([membership.own().cpu_millis]).max().unwrap_or(0);
        let ready = membership.ready_daemons();
        let name = |identity: &&Identity| identity.name.clone();
        let reachable: Vec<DaemonName> = ready.iter().map(name).collect();
        let is_large = |identity: &&&Identity| {
            identity.cpu_millis.saturating_mul(MAX_CPU_RATIO) >= most_millis
        };
        let large: Vec<DaemonName> = ready.iter().filter(is_large).map(name).collect();
        let candidates = if large.is_empty() { reachable.clone() } else { large };
        let starting = membership.starting_daemons();
        let starting = starting.iter().filter(is_large).map(name).collect();
        drop(membership);
        let now_ms = self.clock.now_ms();
        let is_complete = self.fleet_known_from_ms.get().is_some_and(|from_ms| now_ms >= from_ms);
        self.step(Event::Members { known, reachable, candidates, starting, is_complete });
    }

    fn handle(&self, datagram: &Datagram) {
        if let Some(message) = decode::<Message>(Topic::Quotas, &datagram.payload) {
            let (from, incarnation) = (datagram.from.clone(), datagram.incarnation);
            self.step(Event::Received { from, incarnation, message });
        }
    }

    fn step(&self, event: Event) {
        let actions = self.core.borrow_mut().step(self.clock.now_ms(), event);
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let membership = self.membership.borrow();
                    let Some(peer) = membership.peer(&to) else { continue };
                    self.counters.count("quota_messages_sent");
                    self.transport.send(peer.identity.ip, Topic::Quotas, &message);
                }
                Action::Decide(ticket, decision) => self.decide(ticket, decision),
                Action::Owns { group, is_owner, cause } => {
                    let daemons = self.membership.borrow().peers().count() + 1;
                    info!(
                        "event=quota_owner group={group} owner_here={is_owner} cause={cause} \
                         daemons={daemons}"
                    );
                    self.counters.count_tagged("quota_terms", "cause", cause);
                }
            }
        }
    }

    fn decide(&self, ticket: Ticket, decision: Decision) {
        let sender = self.waiting.borrow_mut().remove(&ticket);
        // A request that no longer waits has been removed from the core, so that it gets no decision.
        if let Some(Err(decision)) = sender.map(|sender| sender.send(decision)) {
            info!("event=quota_decision_late ticket={ticket} decision={decision:?}");
        }
    }
}

fn source_name(source: &Source) -> &'static str {
    match source {
        Source::Owner { .. } => "owner",
        Source::Shared => "other_share",
        Source::Fixed { .. } => "own_share",
    }
}
