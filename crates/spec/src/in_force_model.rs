//! The model of the bundle in force: racing rolls, lost answers, stale peers, restarts.

use bundle::BundleInForce;
use bundle::in_force::Action;
use bundle::in_force::Event;
use wire::link::Pointer;

use crate::checker::Model;
use crate::mutation::Mutation;

/// The number of daemons.
const DAEMONS: usize = 3;

/// How often each event may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Rolls by each of the two operators.
    pub rolls: u32,
    /// Restarts of daemons.
    pub restarts: u32,
    /// Bundles that cannot be fetched at once.
    pub failed_fetches: u32,
    /// Times that the object API does not answer.
    pub silences: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Roll {
    operator: usize,
    seen_number: u64,
    seen_version: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Daemon {
    core: BundleInForce,
    active: Pointer,
    fetching: Option<Pointer>,
    /// The highest number that was in force here over all starts while the store answered.
    highest: u64,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InForceModel {
    budget: Budget,
    mutation: Option<Mutation>,
    accepted: Vec<Pointer>,
    version: u64,
    rolls: Vec<Roll>,
    daemons: Vec<Daemon>,
    notices: Vec<(usize, Pointer)>,
    broken: Option<&'static str>,
}

impl InForceModel {
    /// The state before the first roll.
    pub fn new(budget: Budget, mutation: Option<Mutation>) -> Self {
        let daemon = Daemon {
            core: BundleInForce::default(),
            active: Pointer::default(),
            fetching: None,
            highest: 0,
        };
        Self {
            budget,
            mutation,
            accepted: Vec::new(),
            version: 0,
            rolls: Vec::new(),
            daemons: vec![daemon; DAEMONS],
            notices: Vec::new(),
            broken: None,
        }
    }

    fn in_store(&self) -> Pointer {
        self.accepted.last().cloned().unwrap_or_default()
    }

    fn begin_roll(&mut self, operator: usize) {
        let seen_number = self.in_store().number;
        self.rolls.push(Roll { operator, seen_number, seen_version: self.version });
    }

    /// The conditional update of one roll; the loser changes nothing.
    fn end_roll(&mut self, index: usize) {
        let roll = self.rolls.remove(index);
        let is_conditional = self.mutation != Some(Mutation::UnconditionalRoll);
        if is_conditional && roll.seen_version != self.version {
            return;
        }
        let number = roll.seen_number + 1;
        let digest = format!("{}-{}", roll.operator, self.version);
        if self.accepted.iter().any(|known| known.number == number) {
            self.broken = Some("a number is accepted once");
        }
        self.version += 1;
        self.accepted.push(Pointer { number, digest });
    }

    fn step_daemon(&mut self, index: usize, event: Event) {
        let event = match (self.mutation, event) {
            (Some(Mutation::PeerBeforeStore), Event::PointerFromPeer(pointer)) => {
                Event::PointerFromStore(pointer)
            }
            (_, event) => event,
        };
        if self.mutation == Some(Mutation::AnyNumberInForce)
            && let Event::PointerFromStore(pointer) | Event::PointerFromPeer(pointer) = &event
        {
            return self.apply(index, pointer.clone());
        }
        for action in self.daemons[index].core.step(event) {
            match action {
                Action::Fetch(pointer) => self.daemons[index].fetching = Some(pointer),
                Action::Apply(pointer) => self.apply(index, pointer),
                Action::Announce(pointer) => {
                    let others = (0..DAEMONS).filter(|other| *other != index);
                    self.notices.extend(others.map(|other| (other, pointer.clone())));
                }
                Action::ReportConflict(_) => {
                    self.broken = Some("a number stands for one bundle");
                }
            }
        }
        self.notices.sort();
        self.notices.dedup();
    }

    fn apply(&mut self, index: usize, pointer: Pointer) {
        let daemon = &mut self.daemons[index];
        if pointer.number < daemon.highest {
            self.broken = Some("the number in force never falls, over restarts too");
        }
        if !self.accepted.contains(&pointer) {
            self.broken = Some("only an accepted bundle is in force");
        }
        daemon.highest = daemon.highest.max(pointer.number);
        daemon.active = pointer;
    }

    fn restart(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.core = BundleInForce::default();
        daemon.active = Pointer::default();
        daemon.fetching = None;
    }

    fn successor(&self, step: impl Into<String>, change: impl FnOnce(&mut Self)) -> (String, Self) {
        let mut next = self.clone();
        change(&mut next);
        (step.into(), next)
    }

    fn daemon_steps(&self, index: usize, next: &mut Vec<(String, Self)>) {
        if let Some(pointer) = self.daemons[index].fetching.clone() {
            next.push(self.successor(format!("daemon {index} fetches"), |state| {
                state.daemons[index].fetching = None;
                state.step_daemon(index, Event::Fetched(pointer.clone()));
            }));
            if self.budget.failed_fetches > 0 {
                next.push(self.successor(format!("daemon {index} cannot fetch"), |state| {
                    state.budget.failed_fetches -= 1;
                    state.daemons[index].fetching = None;
                    state.step_daemon(index, Event::FetchFailed(pointer.clone()));
                }));
            }
        }
        if !self.accepted.is_empty() {
            next.push(self.successor(format!("daemon {index} reads the store"), |state| {
                let pointer = state.in_store();
                state.step_daemon(index, Event::PointerFromStore(pointer));
            }));
        }
        // An outage may start at any time, but a daemon that restarts in one may fall back to
        // what its peers have: only starts that the store answers are covered.
        let was_up = self.daemons[index].highest == 0;
        if self.budget.silences > 0 && was_up {
            next.push(self.successor(format!("daemon {index} hears no store"), |state| {
                state.budget.silences -= 1;
                state.step_daemon(index, Event::NoPointerFromStore);
            }));
        }
        if self.budget.restarts > 0 && self.daemons[index].active.number > 0 {
            next.push(self.successor(format!("daemon {index} restarts"), |state| {
                state.budget.restarts -= 1;
                state.restart(index);
            }));
        }
        for other in (0..DAEMONS).filter(|other| *other != index) {
            let pointer = self.daemons[other].active.clone();
            if pointer.number > 0 {
                next.push(self.successor(format!("daemon {index} hears {other}"), |state| {
                    state.step_daemon(index, Event::PointerFromPeer(pointer.clone()));
                }));
            }
        }
    }
}

impl Model for InForceModel {
    fn next(&self) -> Vec<(String, Self)> {
        let mut next = Vec::new();
        if self.budget.rolls > 0 {
            for operator in 0..2 {
                next.push(self.successor(format!("operator {operator} looks"), |state| {
                    state.budget.rolls -= 1;
                    state.begin_roll(operator);
                }));
            }
        }
        for index in 0..self.rolls.len() {
            next.push(self.successor("a roll arrives", |state| state.end_roll(index)));
        }
        for (index, (daemon, pointer)) in self.notices.iter().enumerate() {
            next.push(self.successor(format!("daemon {daemon} gets a notice"), |state| {
                state.notices.remove(index);
                state.step_daemon(*daemon, Event::PointerFromPeer(pointer.clone()));
            }));
        }
        for index in 0..DAEMONS {
            self.daemon_steps(index, &mut next);
        }
        next.retain(|(_, state)| state != self);
        next
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
    }
}
