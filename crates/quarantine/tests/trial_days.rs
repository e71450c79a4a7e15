//! Seeded days on which daemons hold requests with a quarantined part and try it, over a network that
//! loses, delays, duplicates and reorders their messages.

use std::collections::BTreeMap;

use quarantine::Delegates;
use quarantine::PromptPart;
use quarantine::Quarantine;
use quarantine::QuarantineView;
use quarantine::ReplicaIncarnation;
use quarantine::RequestFingerprint;
use quarantine::Suspect;
use wire::Millis;
use wire::ReplicaName;
use wire::rendezvous;

const SEEDS: u64 = 36;
/// How long after its fifth crash a part may reach replicas without limit.
const CONTACT_MS: Millis = 3_000;
const CRASHES: usize = 5;
/// The most sends of a crashing part after that.
const MAX_LATE_SENDS: usize = 3;
/// How soon a sound part must be released once some daemon has a request with it.
const RELEASE_MS: Millis = 12_000;
const STEP_MS: Millis = 50;
const HEARTBEAT_MS: Millis = 200;
/// How often a held request asks whether it may be sent.
const ASK_MS: Millis = 200;
/// The daemons that get the complete evidence with each round of heartbeats, or after a restart.
const COMPLETE_PEERS: usize = 3;

/// The faults of a day and what is sent on it.
#[derive(Clone, Copy)]
struct Plan {
    daemons: usize,
    /// The daemons that hold a request with the part.
    holders: usize,
    /// The latest time at which one of them begins to ask.
    spread_ms: Millis,
    /// Whether they are items of jobs, which have no fingerprint.
    is_item: bool,
    /// Whether requests with the part crash their replicas.
    is_crashing: bool,
    day_ms: Millis,
    /// The share of messages that are lost, in percent.
    lost_percent: u64,
    /// The share of messages that are late by up to `late_ms`, in percent.
    late_percent: u64,
    late_ms: Millis,
    /// The share of admitted requests that reach no replica, in percent.
    unsent_percent: u64,
    /// How often some daemon forgets everything.
    restart_every_ms: Option<Millis>,
    /// Whether the two first daemons take themselves for the first of all.
    has_two_first: bool,
}

const PLAN: Plan = Plan {
    daemons: 9,
    holders: 3,
    spread_ms: 3_000,
    is_item: true,
    is_crashing: true,
    day_ms: 150_000,
    lost_percent: 10,
    late_percent: 5,
    late_ms: 2_000,
    unsent_percent: 0,
    restart_every_ms: None,
    has_two_first: false,
};

/// A deterministic random number generator.
struct Random(u64, u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.1 += 1;
        rendezvous::hash(&[self.0.to_le_bytes(), self.1.to_le_bytes()].concat()) % limit
    }

    fn is_hit(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// One daemon's place in the order of daemons that act for the others.
struct Rank(usize);

impl Delegates for Rank {
    fn trial_rank(&self, _suspect: Suspect) -> Option<usize> {
        Some(self.0)
    }

    fn is_reporter(&self, _suspect: Suspect) -> bool {
        self.0 < 3
    }
}

enum Event {
    Message(usize, QuarantineView),
    Crash(usize, Vec<Suspect>),
    Sound(usize, Vec<Suspect>),
}

struct Fleet {
    plan: Plan,
    random: Random,
    daemons: Vec<Quarantine>,
    ranks: Vec<usize>,
    /// When each daemon's request first asks.
    asks_ms: Vec<Millis>,
    /// Whether a daemon's request is at a replica.
    is_running: Vec<bool>,
    events: BTreeMap<(Millis, u64), Event>,
    next_event: u64,
    next_incarnation: u64,
    crashes: Vec<Millis>,
    sends: Vec<Millis>,
    /// Admitted requests that reached no replica.
    unsent: usize,
}

fn part() -> Suspect {
    Suspect::Part(PromptPart::from_id("part"))
}

/// Returns the suspects of an online request.
fn request(number: usize) -> Vec<Suspect> {
    let name = format!("request-{number}");
    vec![Suspect::Request(RequestFingerprint::of_fields(&[name.as_bytes()])), part()]
}

impl Fleet {
    fn new(seed: u64, plan: Plan) -> Self {
        let mut random = Random(seed, 0);
        let mut ranks: Vec<usize> = (0..plan.daemons).collect();
        for index in (1..ranks.len()).rev() {
            ranks.swap(index, random.below(index as u64 + 1) as usize);
        }
        if plan.has_two_first {
            ranks.iter_mut().for_each(|rank| *rank = rank.saturating_sub(1));
        }
        let asks_ms = (0..plan.daemons).map(|_| random.below(plan.spread_ms + 1)).collect();
        Self {
            plan,
            asks_ms,
            random,
            daemons: vec![Quarantine::default(); plan.daemons],
            ranks,
            is_running: vec![false; plan.daemons],
            events: BTreeMap::new(),
            next_event: 0,
            next_incarnation: 0,
            crashes: Vec::new(),
            sends: Vec::new(),
            unsent: 0,
        }
    }

    /// Quarantines the part at all daemons, by crashes with three different requests.
    fn quarantine_by_mistake(&mut self) {
        for number in 0..3 {
            let daemon = self.random.below(self.plan.daemons as u64) as usize;
            let incarnation = self.incarnation();
            let suspects = request(1_000 + number);
            self.daemons[daemon].record_crash(100 + number as Millis, &suspects, incarnation);
        }
    }

    fn incarnation(&mut self) -> ReplicaIncarnation {
        self.next_incarnation += 1;
        let name = ReplicaName::from(format!("replica-{}", self.next_incarnation));
        ReplicaIncarnation::from(&name)
    }

    fn push(&mut self, at_ms: Millis, event: Event) {
        self.next_event += 1;
        self.events.insert((at_ms, self.next_event), event);
    }

    /// Runs a span of time in which the requests of some daemons ask to be sent.
    fn run(&mut self, from_ms: Millis, to_ms: Millis, holders: &[usize]) {
        for now_ms in (from_ms..to_ms).step_by(STEP_MS as usize) {
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= now_ms
            {
                let event = entry.remove();
                self.handle(now_ms, event);
            }
            for daemon in 0..self.plan.daemons {
                self.tick(now_ms, daemon);
            }
            for daemon in holders {
                let is_asking = (now_ms + *daemon as Millis * STEP_MS).is_multiple_of(ASK_MS);
                if is_asking && now_ms >= self.asks_ms[*daemon] && !self.is_running[*daemon] {
                    self.ask(now_ms, *daemon);
                }
            }
            let every_ms = self.plan.restart_every_ms;
            if every_ms.is_some_and(|every_ms| now_ms > 0 && now_ms.is_multiple_of(every_ms)) {
                self.restart(now_ms);
            }
        }
    }

    fn handle(&mut self, now_ms: Millis, event: Event) {
        match event {
            Event::Message(daemon, view) => {
                self.daemons[daemon].merge(now_ms, &view, &Rank(self.ranks[daemon]));
            }
            Event::Crash(daemon, suspects) => {
                self.crashes.push(now_ms);
                self.is_running[daemon] = false;
                let incarnation = self.incarnation();
                self.daemons[daemon].record_crash(now_ms, &suspects, incarnation);
            }
            Event::Sound(daemon, suspects) => {
                self.is_running[daemon] = false;
                self.daemons[daemon].record_sound(now_ms, &suspects);
            }
        }
    }

    fn ask(&mut self, now_ms: Millis, daemon: usize) {
        let suspects = if self.plan.is_item { vec![part()] } else { request(daemon) };
        let rank = Rank(self.ranks[daemon]);
        if self.daemons[daemon].admit(now_ms, &suspects, &rank).is_err() {
            return;
        }
        if self.random.is_hit(self.plan.unsent_percent) {
            self.unsent += 1;
            self.daemons[daemon].cancel_trials(now_ms, now_ms, &suspects);
            return;
        }
        self.sends.push(now_ms);
        self.is_running[daemon] = true;
        let at_ms = now_ms + 20 + self.random.below(150);
        let event = if self.plan.is_crashing { Event::Crash } else { Event::Sound };
        self.push(at_ms, event(daemon, suspects));
    }

    fn tick(&mut self, now_ms: Millis, daemon: usize) {
        self.daemons[daemon].tick(now_ms);
        if let Some(view) = self.daemons[daemon].take_push(now_ms) {
            self.send_to_all(now_ms, daemon, &view);
        }
        if (now_ms + daemon as Millis * STEP_MS).is_multiple_of(HEARTBEAT_MS) {
            if let Some(view) = self.daemons[daemon].recent_view(now_ms) {
                self.send_to_all(now_ms, daemon, &view);
            }
            self.send_complete(now_ms, daemon);
        }
    }

    fn send_complete(&mut self, now_ms: Millis, from: usize) {
        let Some(view) = self.daemons[from].complete_view(now_ms) else { return };
        for _ in 0..COMPLETE_PEERS {
            let peer = self.random.below(self.plan.daemons as u64) as usize;
            self.send(now_ms, peer, &view);
        }
    }

    fn send_to_all(&mut self, now_ms: Millis, from: usize, view: &QuarantineView) {
        for peer in (0..self.plan.daemons).filter(|peer| *peer != from) {
            self.send(now_ms, peer, view);
        }
    }

    fn send(&mut self, now_ms: Millis, to: usize, view: &QuarantineView) {
        let copies = 1 + usize::from(self.random.is_hit(5));
        for _ in 0..copies {
            let is_late = self.random.is_hit(self.plan.late_percent);
            let delay_ms = self.random.below(if is_late { self.plan.late_ms } else { 40 });
            if !self.random.is_hit(self.plan.lost_percent) {
                self.push(now_ms + 1 + delay_ms, Event::Message(to, view.clone()));
            }
        }
    }

    /// Lets a daemon forget everything; two peers send it what they know.
    fn restart(&mut self, now_ms: Millis) {
        let daemon = self.random.below(self.plan.daemons as u64) as usize;
        self.daemons[daemon] = Quarantine::default();
        for _ in 0..2 {
            let peer = self.random.below(self.plan.daemons as u64) as usize;
            if let Some(view) = self.daemons[peer].complete_view(now_ms) {
                self.send(now_ms, daemon, &view);
            }
        }
    }

    /// Returns the sends later than the time of contact after the fifth crash.
    fn late_sends(&self) -> Vec<Millis> {
        let Some(known_ms) = self.crashes.get(CRASHES - 1).map(|at_ms| at_ms + CONTACT_MS) else {
            return Vec::new();
        };
        self.sends.iter().copied().filter(|sent_ms| *sent_ms > known_ms).collect()
    }

    /// Returns the daemons at which parts are quarantined.
    fn quarantining(&self) -> Vec<usize> {
        let is_quarantining = |daemon: &usize| self.daemons[*daemon].quarantined_counts().0 > 0;
        (0..self.plan.daemons).filter(is_quarantining).collect()
    }
}

/// Runs days on which the part crashes each replica and reports those with too many sends.
fn check_budget(plan: Plan) {
    let mut faults = Vec::new();
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, plan);
        let holders: Vec<usize> = (0..plan.holders).collect();
        fleet.run(0, plan.day_ms, &holders);
        let late = fleet.late_sends();
        if late.len() > MAX_LATE_SENDS {
            faults.push(format!("seed {seed}: crashes {:?}, late sends {late:?}", fleet.crashes));
        }
    }
    assert!(faults.is_empty(), "{} of {SEEDS} days:\n{}", faults.len(), faults.join("\n"));
}

// Guards against trials by several daemons that did not hear of each other's.
#[test]
fn crashing_part_stays_within_its_budget_when_messages_are_lost_late_and_reordered() {
    for holders in [1, 9] {
        check_budget(Plan { holders, day_ms: 80_000, ..PLAN });
        let (lost_percent, late_percent) = (30, 20);
        check_budget(Plan { holders, lost_percent, late_percent, day_ms: 80_000, ..PLAN });
    }
}

// Guards against the same with online requests, whose fingerprints are suspects too.
#[test]
fn crashing_part_of_online_requests_stays_within_its_budget() {
    for holders in [1, 2, 9] {
        check_budget(Plan { holders, is_item: false, ..PLAN });
    }
}

// Guards against trials of one group of ranks that are too close together in a larger fleet.
#[test]
fn crashing_part_stays_within_its_budget_at_thirty_daemons() {
    check_budget(Plan { daemons: 30, holders: 30, day_ms: 30_000, ..PLAN });
}

// Guards against trials by two daemons that both take themselves for the first.
#[test]
fn crashing_part_stays_within_its_budget_when_two_daemons_believe_to_be_first() {
    check_budget(Plan { holders: 9, has_two_first: true, ..PLAN });
}

// Guards against trials that a restarted daemon repeats.
#[test]
fn crashing_part_stays_within_its_budget_when_daemons_restart() {
    check_budget(Plan { holders: 9, restart_every_ms: Some(17_000), ..PLAN });
}

// Guards against a trial that was not sent and is sent again beyond the budget.
#[test]
fn crashing_part_stays_within_its_budget_when_trials_are_not_sent() {
    check_budget(Plan { holders: 3, unsent_percent: 50, ..PLAN });
}

/// Runs days on which a sound part was quarantined by mistake and one daemon has a request with it.
fn check_release(plan: Plan) {
    let mut faults = Vec::new();
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, plan);
        fleet.quarantine_by_mistake();
        let asks_ms = 1_000 + fleet.random.below(5_000) / STEP_MS * STEP_MS;
        fleet.run(200, asks_ms, &[]);
        let quarantining = fleet.quarantining().len();
        let holder = seed as usize % plan.daemons;
        fleet.run(asks_ms, asks_ms + RELEASE_MS, &[holder]);
        let left = fleet.quarantining();
        if quarantining < plan.daemons || !left.is_empty() {
            faults.push(format!(
                "seed {seed}: quarantined by {quarantining}, asked from {asks_ms} ms by daemon {holder} of \
                 rank {}, not sent {}, sent at {:?}, still quarantined by {left:?}",
                fleet.ranks[holder],
                fleet.unsent,
                fleet.sends.first()
            ));
        }
    }
    assert!(faults.is_empty(), "{} of {SEEDS} days:\n{}", faults.len(), faults.join("\n"));
}

// Guards against a trial that waits for a daemon without such a request.
#[test]
fn sound_part_is_released_whichever_daemon_holds_a_request_with_it() {
    check_release(Plan { is_crashing: false, ..PLAN });
    check_release(Plan { is_crashing: false, lost_percent: 30, ..PLAN });
    check_release(Plan { is_crashing: false, daemons: 30, ..PLAN });
    check_release(Plan { is_crashing: false, is_item: false, ..PLAN });
}

// Guards against trials that were not sent and use up the budget, here or by a peer's message.
#[test]
fn sound_part_is_released_although_trials_were_not_sent() {
    check_release(Plan { is_crashing: false, unsent_percent: 70, ..PLAN });
}
