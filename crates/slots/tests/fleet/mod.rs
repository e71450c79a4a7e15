//! A seeded model of a fleet: daemons that choose replicas, and owners that grant their slots.
//!
//! It runs the tables, balancers and detectors of the product. Messages take `MESSAGE_MS`, loads and
//! summaries travel with heartbeats, and a request waits in at most two queues.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
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

const MESSAGE_MS: u64 = 2;
/// The period of 91 daemons: 77 with clients and 14 with storage.
const HEARTBEAT_MS: u64 = 546;
const TICK_MS: u64 = 20;
const GIVE_UP_MS: u64 = 1_500;
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
    running: Option<usize>,
    started_ms: u64,
    succeeds: bool,
    is_over: bool,
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
    now_ms: u64,
    next_request: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    daemons: Vec<Balancer>,
    replicas: Vec<Replica>,
    requests: HashMap<u64, Request>,
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
            now_ms: 0,
            next_request: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            daemons: vec![balancer; size.daemons],
            replicas,
            requests: HashMap::new(),
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
        let pause_ms = -1_000.0 / self.size.requests_per_s * (1.0 - self.rng.r#gen::<f64>()).ln();
        // Fractions of a millisecond are drawn as whole ones with that probability.
        let pause_ms = pause_ms as u64 + u64::from(self.rng.r#gen::<f64>() < pause_ms.fract());
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

    fn ask_next(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let candidates: Vec<&ReplicaRecord> = self
            .replicas
            .iter()
            .enumerate()
            .filter(|(index, _)| !request.asked.contains(index))
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
        let left_ms = 250;
        let urgency = Urgency { on_time_left_ms: left_ms, order_left_ms: left_ms };
        let grant = GrantRequest {
            ticket: Ticket(id),
            holder,
            class: Class::Online,
            urgency,
            give_up_left_ms: GIVE_UP_MS,
            share: None,
        };
        let actions = self.replicas[replica].table.request(self.now_ms, grant);
        self.apply(replica, actions);
    }

    fn apply(&mut self, replica: usize, actions: Vec<TableAction>) {
        for action in actions {
            let event = match action {
                TableAction::Grant { ticket, .. } => Event::Granted { request: ticket.0, replica },
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
        let is_waiting = request.running.is_none() && !request.is_over;
        self.record_load(daemon, replica);
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
            let actions = self.replicas[index].table.tick(self.now_ms);
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
        self.refused += 1;
        let asked = request.asked.clone();
        self.requests.remove(&id);
        for replica in asked {
            self.schedule(MESSAGE_MS, Event::Release { request: id, replica, outcome: None });
        }
    }
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
