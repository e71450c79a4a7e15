//! A seeded model of a fleet: daemons that choose replicas, and owners that grant their slots.
//!
//! It runs the tables, balancers and detectors of the product. Messages take `MESSAGE_MS`, loads and
//! summaries travel with heartbeats, and a request waits in at most two queues. With callers that return
//! (`callers`), refusals reach them, and queued requests are sent again.

pub mod callers;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slots::Share;
use slots::balancer::Balancer;
use slots::message::Class;
use slots::message::Ticket;
use slots::message::Urgency;
use slots::outcomes::OutcomeReport;
use slots::outlier::Detector;
use slots::outlier::HealthSummary;
use slots::outlier::ServiceReplica;
use slots::outlier::Stage;
use slots::outlier::bounded_limits;
use slots::outlier::service_rate;
use slots::table::GrantRequest;
use slots::table::SlotTable;
use slots::table::TableAction;
use wire::DaemonName;
use wire::DataCentre;
use wire::ReplicaRecord;

use crate::fleet::callers::Caller;
use crate::fleet::callers::FIRST_EVENT_MS;
use crate::fleet::callers::Load;
use crate::fleet::callers::OBJECTIVE_MS;
use crate::fleet::callers::Outcomes;
use crate::fleet::callers::REMAINING_DIVISOR;

const MESSAGE_MS: u64 = 2;
/// The period of 91 daemons: 77 with clients and 14 with storage.
const HEARTBEAT_MS: u64 = 546;
const TICK_MS: u64 = 20;
const GIVE_UP_MS: u64 = 1_500;
/// How often a queued request is sent again, and the replicas that it asks at most, as in the product.
const RESEND_MS: u64 = 150;
const MAX_ASKED: usize = 16;
const MAX_QUEUES: usize = 2;
const MAX_EARLY_REFUSALS: usize = 3;
const ORGANISATIONS: u64 = 88;
pub const SLOTS: u32 = 8;

/// One run of a request at a replica.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub daemon: usize,
    pub replica: usize,
    /// Whether every run of the request fails.
    pub is_poisonous: bool,
    /// A uniform random number between 0 and 1.
    pub random: f64,
}

/// How long a run takes, and whether it succeeds.
pub type Behaviour = fn(&Run) -> (u64, bool);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Ask { request: u64, replica: usize },
    Granted { request: u64, replica: usize },
    Queued { request: u64, replica: usize },
    Refused { request: u64, replica: usize, slot_in_ms: Option<u64> },
    Resend { request: u64 },
    Return { caller: Caller },
    End { request: u64 },
    Release { request: u64, replica: usize, outcome: Option<bool> },
    GiveUp { request: u64 },
    Heartbeat { daemon: usize },
    Tick,
}

#[derive(Clone, Debug, Default)]
struct Request {
    daemon: usize,
    is_poisonous: bool,
    asked: Vec<usize>,
    refused: Vec<usize>,
    slot_in_ms: Option<u64>,
    caller: Caller,
    running: Option<usize>,
    started_ms: u64,
    succeeds: bool,
    is_over: bool,
}

impl Request {
    fn is_waiting(&self) -> bool {
        self.running.is_none() && !self.is_over
    }

    /// Returns the number of queues in which the request waits.
    fn queues(&self) -> usize {
        self.asked.len() - self.refused.len()
    }
}

struct Replica {
    record: ReplicaRecord,
    table: SlotTable,
    detector: Detector,
    owner: usize,
}

/// The load and size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub daemons: usize,
    pub replicas: usize,
    /// Requests per second of all daemons.
    pub requests_per_s: f64,
    /// The share of requests whose every run fails.
    pub poisonous: f64,
}

pub struct Fleet {
    size: Size,
    behaviour: Behaviour,
    is_enabled: bool,
    rng: StdRng,
    /// Draws the callers, so that they are the same with each rule.
    arrivals: StdRng,
    now_ms: u64,
    next_request: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    daemons: Vec<Balancer>,
    replicas: Vec<Replica>,
    requests: HashMap<u64, Request>,
    load: Option<Load>,
    /// What counted callers got.
    pub outcomes: Outcomes,
    /// Failed runs by replica.
    pub lost: Vec<u64>,
    /// Runs by replica.
    pub runs: Vec<u64>,
    /// The time that runs occupied slots, by replica.
    pub busy_ms: Vec<u64>,
    /// Runs begun by replica.
    pub starts: Vec<u64>,
    /// Requests that got no slot.
    pub refused: u64,
    /// When each replica was taken out first.
    pub out_at_ms: Vec<Option<u64>>,
    /// The least number of slots granted in all, at any tick.
    pub least_granted: u32,
}

impl Fleet {
    pub fn new(size: Size, behaviour: Behaviour, is_enabled: bool, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut balancer = Balancer::default();
        balancer.set_replicas_may_degrade(is_enabled);
        let replica = |index: usize| Replica {
            record: record(index),
            table: SlotTable::new(SLOTS),
            detector: Detector::default(),
            owner: rng.r#gen_range(0..size.daemons),
        };
        let replicas: Vec<Replica> = (0..size.replicas).map(replica).collect();
        let mut fleet = Self {
            size,
            behaviour,
            is_enabled,
            rng,
            arrivals: StdRng::seed_from_u64(seed),
            now_ms: 0,
            next_request: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            daemons: vec![balancer; size.daemons],
            replicas,
            requests: HashMap::new(),
            load: None,
            outcomes: Outcomes::default(),
            lost: vec![0; size.replicas],
            runs: vec![0; size.replicas],
            busy_ms: vec![0; size.replicas],
            starts: vec![0; size.replicas],
            refused: 0,
            out_at_ms: vec![None; size.replicas],
            least_granted: SLOTS * size.replicas as u32,
        };
        fleet.schedule(1, Event::Arrive);
        fleet.schedule(1, Event::Tick);
        for daemon in 0..size.daemons {
            let at_ms = fleet.rng.r#gen_range(0..HEARTBEAT_MS);
            fleet.schedule(at_ms, Event::Heartbeat { daemon });
        }
        fleet
    }

    /// Makes the callers return after refusals.
    pub fn set_load(&mut self, load: Load) {
        self.load = Some(load);
        for replica in &mut self.replicas {
            replica.table.set_refuses_early(load.refuses_early);
        }
    }

    /// Runs the fleet until a time.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((at_ms, _, _))) = self.events.peek() {
            if *at_ms > until_ms {
                break;
            }
            let Some(Reverse((at_ms, _, event))) = self.events.pop() else { break };
            self.now_ms = at_ms;
            self.handle(event);
        }
        self.now_ms = until_ms;
    }

    pub fn stage(&self, replica: usize) -> Stage {
        self.replicas[replica].detector.stage()
    }

    pub fn total_lost(&self) -> u64 {
        self.lost.iter().sum()
    }

    /// Returns how many replicas were taken out at any time.
    pub fn taken_out(&self) -> usize {
        self.out_at_ms.iter().flatten().count()
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_ms + after_ms, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Ask { request, replica } => self.ask(request, replica),
            Event::Granted { request, replica } => self.start_run(request, replica),
            Event::Queued { request, replica } => self.queued(request, replica),
            Event::Refused { request, replica, slot_in_ms } => {
                self.refused(request, replica, slot_in_ms);
            }
            Event::Resend { request } => self.resend(request),
            Event::Return { caller } => self.begin(caller),
            Event::End { request } => self.end(request),
            Event::Release { request, replica, outcome } => {
                self.release(request, replica, outcome);
            }
            Event::GiveUp { request } => self.give_up(request),
            Event::Heartbeat { daemon } => self.heartbeat(daemon),
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self) {
        if let Some(load) = self.load {
            self.arrive_as_caller(load);
            return;
        }
        let pause_ms = pause_ms(&mut self.rng, self.size.requests_per_s);
        self.schedule(pause_ms, Event::Arrive);
        self.next_request += 1;
        let id = self.next_request;
        let request = Request {
            daemon: self.rng.r#gen_range(0..self.size.daemons),
            is_poisonous: self.rng.r#gen::<f64>() < self.size.poisonous,
            ..Request::default()
        };
        self.requests.insert(id, request);
        self.schedule(GIVE_UP_MS, Event::GiveUp { request: id });
        self.ask_next(id);
    }

    /// Begins the first attempt of a caller; half of them return once and half twice. The sizes of
    /// organisations fall with their rank.
    fn arrive_as_caller(&mut self, load: Load) {
        let requests_per_s = self.size.requests_per_s * (load.demand)(self.now_ms);
        let pause_ms = pause_ms(&mut self.arrivals, requests_per_s);
        self.schedule(pause_ms, Event::Arrive);
        let rank = (ORGANISATIONS as f64).powf(self.arrivals.r#gen::<f64>()) as u64;
        let max_retries = self.arrivals.r#gen_range(1..=2);
        self.begin(Caller {
            since_ms: self.now_ms,
            attempt_at_ms: self.now_ms,
            max_retries,
            organisation: load.has_organisations.then_some(rank),
            ..Caller::default()
        });
    }

    /// Begins an attempt of a caller.
    fn begin(&mut self, caller: Caller) {
        self.next_request += 1;
        let id = self.next_request;
        let daemon = self.rng.r#gen_range(0..self.size.daemons);
        self.requests.insert(id, Request { daemon, caller, ..Request::default() });
        let give_up_ms = caller.remaining_ms(self.now_ms) / REMAINING_DIVISOR;
        self.schedule(give_up_ms, Event::GiveUp { request: id });
        self.schedule(RESEND_MS, Event::Resend { request: id });
        self.ask_next(id);
    }

    /// Sends a queued request again to the owners that have it, and asks another one with capacity.
    fn resend(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.running.is_some() || request.is_over {
            return;
        }
        let queues = request.asked.iter().filter(|other| !request.refused.contains(other));
        for replica in queues.copied().collect::<Vec<_>>() {
            if self.is_in_service(replica) {
                self.schedule(MESSAGE_MS, Event::Ask { request: id, replica });
                continue;
            }
            self.schedule(MESSAGE_MS, Event::Release { request: id, replica, outcome: None });
            if let Some(request) = self.requests.get_mut(&id) {
                request.asked.retain(|asked| *asked != replica);
            }
        }
        self.ask_another(id);
        self.schedule(RESEND_MS, Event::Resend { request: id });
    }

    /// Asks another owner after a refusal, as `Search` does, or ends the attempt.
    fn refused(&mut self, id: u64, replica: usize, slot_in_ms: Option<u64>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let daemon = request.daemon;
        if request.refused.contains(&replica) {
            return;
        }
        request.refused.push(replica);
        let earliest = [request.slot_in_ms, slot_in_ms].into_iter().flatten().min();
        request.slot_in_ms = earliest;
        self.record_load(daemon, replica);
        if !self.requests[&id].is_waiting() || self.ask_another(id) {
            return;
        }
        let request = &self.requests[&id];
        if request.queues() == 0 {
            self.end_attempt(id);
        }
    }

    /// Asks another owner if a queue is left for the request, or one with capacity is known.
    fn ask_another(&mut self, id: u64) -> bool {
        let request = &self.requests[&id];
        let asked = request.asked.len();
        let is_early = request.slot_in_ms.is_some();
        let max_refusals = if is_early { MAX_EARLY_REFUSALS } else { MAX_QUEUES };
        let can_queue = request.queues() < MAX_QUEUES && request.refused.len() < max_refusals;
        let daemon = request.daemon;
        let has_better = self.replicas.iter().enumerate().any(|(index, other)| {
            !request.asked.contains(&index)
                && self.is_in_service(index)
                && self.daemons[daemon].has_capacity(&other.record, Class::Online)
        });
        if asked >= MAX_ASKED || !(can_queue || has_better) {
            return false;
        }
        self.ask_next(id);
        self.requests[&id].asked.len() > asked
    }

    fn is_in_service(&self, replica: usize) -> bool {
        self.load.is_none_or(|load| (load.is_in_service)(replica, self.now_ms))
    }

    /// Refuses an attempt; its caller returns or is lost.
    fn end_attempt(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else { return };
        for replica in request.asked {
            self.schedule(MESSAGE_MS, Event::Release { request: id, replica, outcome: None });
        }
        let caller = request.caller;
        let is_counted = self.is_counted(&caller);
        self.outcomes.refusals += u64::from(is_counted);
        match caller.after_refusal(self.now_ms, request.slot_in_ms) {
            Some((caller, wait_ms)) => self.schedule(wait_ms, Event::Return { caller }),
            None => self.outcomes.never += u64::from(is_counted),
        }
    }

    fn is_counted(&self, caller: &Caller) -> bool {
        self.load
            .is_some_and(|load| (load.counted_ms.0..load.counted_ms.1).contains(&caller.since_ms))
    }

    fn ask_next(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let candidates: Vec<&ReplicaRecord> = self
            .replicas
            .iter()
            .enumerate()
            .filter(|(index, _)| !request.asked.contains(index))
            .filter(|(index, _)| {
                self.load.is_none_or(|load| (load.is_in_service)(*index, self.now_ms))
            })
            .map(|(_, replica)| &replica.record)
            .collect();
        let own = data_centre(request.daemon);
        let (balancer, rng) = (&mut self.daemons[request.daemon], &mut self.rng);
        let chosen = balancer.choose(self.now_ms, &candidates, Class::Online, &own, || rng.r#gen());
        let Some(name) = chosen.map(|record| record.name.clone()) else { return };
        balancer.record_request(&name);
        let Some(replica) = self.replicas.iter().position(|other| other.record.name == name) else {
            return;
        };
        request.asked.push(replica);
        self.schedule(MESSAGE_MS, Event::Ask { request: id, replica });
    }

    fn ask(&mut self, id: u64, replica: usize) {
        let Some(request) = self.requests.get(&id) else { return };
        let holder = holder(request.daemon);
        let caller = request.caller;
        let (left_ms, give_up_left_ms) = if self.load.is_some() {
            if !request.is_waiting() {
                return;
            }
            let on_time_at_ms = caller.attempt_at_ms + OBJECTIVE_MS - FIRST_EVENT_MS;
            let wait_ms = caller.remaining_ms(caller.attempt_at_ms) / REMAINING_DIVISOR;
            let give_up_at_ms = caller.attempt_at_ms + wait_ms;
            (on_time_at_ms.saturating_sub(self.now_ms), give_up_at_ms.saturating_sub(self.now_ms))
        } else {
            (250, GIVE_UP_MS)
        };
        let urgency = Urgency { on_time_left_ms: left_ms, order_left_ms: left_ms };
        let share = caller.organisation.map(|organisation| Share { organisation, priority: 0 });
        let grant = GrantRequest {
            ticket: Ticket(id),
            holder,
            class: Class::Online,
            urgency,
            give_up_left_ms,
            share,
        };
        let actions = self.replicas[replica].table.request(self.now_ms, grant);
        self.apply(replica, actions);
    }

    fn apply(&mut self, replica: usize, actions: Vec<TableAction>) {
        for action in actions {
            let event = match action {
                TableAction::Grant { ticket, .. } => Event::Granted { request: ticket.0, replica },
                TableAction::Refuse { ticket, .. } if self.load.is_some() => {
                    Event::Refused { request: ticket.0, replica, slot_in_ms: None }
                }
                TableAction::RefuseEarly { ticket, slot_in_ms, .. } => {
                    Event::Refused { request: ticket.0, replica, slot_in_ms: Some(slot_in_ms) }
                }
                TableAction::Queue { ticket, .. } | TableAction::Refuse { ticket, .. } => {
                    Event::Queued { request: ticket.0, replica }
                }
                TableAction::Revoke { .. } => continue,
            };
            self.schedule(MESSAGE_MS, event);
        }
    }

    /// Records the load that comes with each answer of an owner.
    fn record_load(&mut self, daemon: usize, replica: usize) {
        let Replica { record, table, .. } = &self.replicas[replica];
        self.daemons[daemon].record_load(self.now_ms, &record.name, table.load());
    }

    fn start_run(&mut self, id: u64, replica: usize) {
        let Some(daemon) = self.requests.get(&id).map(|request| request.daemon) else {
            self.schedule(MESSAGE_MS, Event::Release { request: id, replica, outcome: None });
            return;
        };
        self.record_load(daemon, replica);
        let random = self.rng.r#gen();
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.running == Some(replica) {
            return;
        }
        if request.running.is_some() || request.is_over {
            self.schedule(MESSAGE_MS, Event::Release { request: id, replica, outcome: None });
            return;
        }
        let is_poisonous = request.is_poisonous;
        let run = Run { at_ms: self.now_ms, daemon, replica, is_poisonous, random };
        let (duration_ms, succeeds) = (self.behaviour)(&run);
        request.running = Some(replica);
        request.started_ms = self.now_ms;
        self.starts[replica] += 1;
        request.succeeds = succeeds;
        let others: Vec<usize> =
            request.asked.iter().copied().filter(|other| *other != replica).collect();
        for other in others {
            let release = Event::Release { request: id, replica: other, outcome: None };
            self.schedule(MESSAGE_MS, release);
        }
        self.schedule(duration_ms, Event::End { request: id });
    }

    fn queued(&mut self, id: u64, replica: usize) {
        let Some(request) = self.requests.get(&id) else { return };
        let (daemon, asked) = (request.daemon, request.asked.len());
        let is_waiting = request.is_waiting();
        self.record_load(daemon, replica);
        if self.load.is_some() {
            if is_waiting {
                self.ask_another(id);
            }
            return;
        }
        let has_better = self.replicas.iter().enumerate().any(|(index, other)| {
            !self.requests[&id].asked.contains(&index)
                && self.daemons[daemon].has_capacity(&other.record, Class::Online)
        });
        if is_waiting && (asked < 2 || (has_better && asked < 16)) {
            self.ask_next(id);
        }
    }

    fn end(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(replica) = request.running else { return };
        self.runs[replica] += 1;
        self.lost[replica] += u64::from(!request.succeeds);
        self.busy_ms[replica] += self.now_ms - request.started_ms;
        if self.is_counted(&request.caller) {
            self.outcomes.record_end(&request.caller, request.started_ms, self.now_ms);
        }
        let outcome = Some(request.succeeds);
        self.daemons[request.daemon].record_end(&self.replicas[replica].record.name);
        // The owner needs the holder's name, so the request is kept until its release arrives.
        self.requests.insert(id, Request { is_over: true, ..request });
        self.schedule(MESSAGE_MS, Event::Release { request: id, replica, outcome });
    }

    fn release(&mut self, id: u64, replica: usize, outcome: Option<bool>) {
        if let Some(succeeds) = outcome
            && let Some(request) = self.requests.remove(&id)
            && self.is_enabled
        {
            let report = match succeeds {
                true => OutcomeReport { successes: 1, failures: Vec::new() },
                false => OutcomeReport { successes: 0, failures: vec![id as u32] },
            };
            let began_ms = self.replicas[replica].table.run_began_ms(Ticket(id));
            self.record_outcome(replica, began_ms, request.daemon, &report);
            let Replica { table, detector, .. } = &mut self.replicas[replica];
            if succeeds && let Some(run_ms) = table.online_run_ms(self.now_ms, Ticket(id)) {
                detector.record_run(self.now_ms, run_ms);
            }
        }
        let actions = self.replicas[replica].table.release(self.now_ms, Ticket(id));
        self.apply(replica, actions);
    }

    fn record_outcome(
        &mut self,
        replica: usize,
        began_ms: Option<u64>,
        daemon: usize,
        report: &OutcomeReport,
    ) {
        let owner = self.replicas[replica].owner;
        let summaries = self.replicas.iter().map(|other| self.summary(owner, other));
        let rate = service_rate(summaries.collect::<Vec<_>>().into_iter());
        let detector = &mut self.replicas[replica].detector;
        detector.record_release(self.now_ms, began_ms, daemon as u64, report, rate);
        if detector.stage() == Stage::Out {
            self.out_at_ms[replica].get_or_insert(self.now_ms);
        }
        self.update_limits(owner);
    }

    /// Returns what an owner knows of a replica's outcomes.
    fn summary(&self, owner: usize, replica: &Replica) -> HealthSummary {
        if replica.owner == owner {
            replica.detector.summary()
        } else {
            self.daemons[owner].health(&replica.record.name)
        }
    }

    fn update_limits(&mut self, owner: usize) {
        let view: Vec<ServiceReplica> = self
            .replicas
            .iter()
            .map(|replica| {
                let is_own = replica.owner == owner;
                let known = self.daemons[owner].load(self.now_ms, &replica.record.name);
                let load = if is_own { Some(replica.table.load()) } else { known.map(|k| k.0) };
                let limit = match load {
                    _ if is_own => replica.detector.limit(self.now_ms, SLOTS),
                    Some(load) => u32::from(load.slots),
                    None => SLOTS,
                };
                let demand = load.map_or(0, |load| load.online + load.online_waiting);
                ServiceReplica {
                    name: replica.record.name.clone(),
                    slots: SLOTS,
                    limit,
                    demand: u32::from(demand),
                    summary: self.summary(owner, replica),
                }
            })
            .collect();
        let limits = bounded_limits(&view);
        for (index, limit) in limits.into_iter().enumerate() {
            if self.replicas[index].owner == owner {
                let actions = self.replicas[index].table.set_limit(self.now_ms, limit);
                self.apply(index, actions);
            }
        }
    }

    fn heartbeat(&mut self, daemon: usize) {
        self.schedule(HEARTBEAT_MS, Event::Heartbeat { daemon });
        for replica in self.replicas.iter().filter(|replica| replica.owner == daemon) {
            for balancer in &mut self.daemons {
                balancer.record_load(self.now_ms, &replica.record.name, replica.table.load());
                balancer.record_health(&replica.record.name, replica.detector.summary());
            }
        }
    }

    fn tick(&mut self) {
        self.schedule(TICK_MS, Event::Tick);
        for index in 0..self.replicas.len() {
            let Replica { table, detector, .. } = &mut self.replicas[index];
            detector.expire(self.now_ms);
            detector.update_run_ms(self.now_ms, table.online_runs_ms(self.now_ms));
            let mut actions = self.replicas[index].table.tick(self.now_ms);
            if self.load.is_some() {
                let limit = if self.is_in_service(index) { SLOTS } else { 0 };
                actions.extend(self.replicas[index].table.set_limit(self.now_ms, limit));
            }
            self.apply(index, actions);
        }
        let is_reduced = |replica: &Replica| {
            replica.table.limit() < SLOTS || replica.detector.stage() != Stage::Full
        };
        if self.is_enabled && self.replicas.iter().any(is_reduced) {
            let mut owners: Vec<usize> = self.replicas.iter().map(|r| r.owner).collect();
            owners.sort_unstable();
            owners.dedup();
            owners.into_iter().for_each(|owner| self.update_limits(owner));
        }
        for replica in &self.replicas {
            let owner = &mut self.daemons[replica.owner];
            owner.record_load(self.now_ms, &replica.record.name, replica.table.load());
            owner.record_health(&replica.record.name, replica.detector.summary());
        }
        let granted = self.replicas.iter().map(|replica| replica.table.limit()).sum();
        self.least_granted = self.least_granted.min(granted);
    }

    fn give_up(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.running.is_some() || request.is_over {
            return;
        }
        if self.load.is_some() {
            self.end_attempt(id);
            return;
        }
        self.refused += 1;
        let asked = request.asked.clone();
        self.requests.remove(&id);
        for replica in asked {
            self.schedule(MESSAGE_MS, Event::Release { request: id, replica, outcome: None });
        }
    }
}

/// Draws the time until the next request; fractions of a millisecond are drawn as whole ones with that
/// probability.
fn pause_ms(rng: &mut StdRng, requests_per_s: f64) -> u64 {
    let pause_ms = -1_000.0 / requests_per_s * (1.0 - rng.r#gen::<f64>()).ln();
    pause_ms as u64 + u64::from(rng.r#gen::<f64>() < pause_ms.fract())
}

/// Returns the record of a replica; every third is in the same data centre.
pub fn record(index: usize) -> ReplicaRecord {
    ReplicaRecord {
        name: format!("replica-{index:02}").into(),
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: data_centre(index),
        slots: SLOTS,
        is_draining: false,
        cold_left_ms: 0,
        started_unix_ms: 1,
    }
}

fn holder(daemon: usize) -> DaemonName {
    format!("daemon-{daemon}").into()
}

fn data_centre(index: usize) -> DataCentre {
    ["a", "b", "c"][index % 3].into()
}
