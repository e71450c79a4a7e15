//! The model of the bundle in force: concurrent rolls, failed fetches, stale peers, store outages,
//! restarts.

use bundle::BundleInForce;
use bundle::in_force::Action;
use bundle::in_force::Event;
use wire::link::Pointer;

use crate::checker::Model;
use crate::mutation::Mutation;

/// The number of daemons.
const DAEMONS: usize = 3;

/// How often each event may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Rolls by both operators together.
    pub rolls: u32,
    /// Restarts of daemons.
    pub restarts: u32,
    /// Fetches of bundles that fail.
    pub failed_fetches: u32,
    /// Reads that the object API does not answer.
    pub store_outages: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Roll {
    operator: usize,
    read_number: u64,
    read_version: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Daemon {
    state_machine: BundleInForce,
    in_force: Pointer,
    fetching: Option<Pointer>,
    /// The highest number that was in force at this daemon, across its restarts.
    highest_number: u64,
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
    pending_notices: Vec<(usize, Pointer)>,
    broken_invariant: Option<&'static str>,
}

impl InForceModel {
    /// Returns the state before the first roll.
    pub fn new(budget: Budget, mutation: Option<Mutation>) -> Self {
        let daemon = Daemon {
            state_machine: BundleInForce::default(),
            in_force: Pointer::default(),
            fetching: None,
            highest_number: 0,
        };
        Self {
            budget,
            mutation,
            accepted: Vec::new(),
            version: 0,
            rolls: Vec::new(),
            daemons: vec![daemon; DAEMONS],
            pending_notices: Vec::new(),
            broken_invariant: None,
        }
    }

    fn stored_pointer(&self) -> Pointer {
        self.accepted.last().cloned().unwrap_or_default()
    }

    fn begin_roll(&mut self, operator: usize) {
        let read_number = self.stored_pointer().number;
        self.rolls.push(Roll { operator, read_number, read_version: self.version });
    }

    /// Applies the conditional update of one roll; a roll with an outdated version changes nothing.
    fn end_roll(&mut self, index: usize) {
        let roll = self.rolls.remove(index);
        let is_conditional = self.mutation != Some(Mutation::UnconditionalRoll);
        if is_conditional && roll.read_version != self.version {
            return;
        }
        let number = roll.read_number + 1;
        let digest = format!("{}-{}", roll.operator, self.version);
        if self.accepted.iter().any(|known| known.number == number) {
            self.broken_invariant = Some("a number is accepted once");
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
        for action in self.daemons[index].state_machine.step(event) {
            match action {
                Action::Fetch(pointer) => self.daemons[index].fetching = Some(pointer),
                Action::Apply(pointer) => self.apply(index, pointer),
                Action::Announce(pointer) => {
                    let others = (0..DAEMONS).filter(|other| *other != index);
                    self.pending_notices.extend(others.map(|other| (other, pointer.clone())));
                }
                Action::ReportConflict(_) => {
                    self.broken_invariant = Some("a number stands for one bundle");
                }
            }
        }
        self.pending_notices.sort();
        self.pending_notices.dedup();
    }

    fn apply(&mut self, index: usize, pointer: Pointer) {
        let daemon = &mut self.daemons[index];
        if pointer.number < daemon.highest_number {
            self.broken_invariant = Some("the number in force never falls, over restarts too");
        }
        if !self.accepted.contains(&pointer) {
            self.broken_invariant = Some("only an accepted bundle is in force");
        }
        daemon.highest_number = daemon.highest_number.max(pointer.number);
        daemon.in_force = pointer;
    }

    fn restart(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.state_machine = BundleInForce::default();
        daemon.in_force = Pointer::default();
        daemon.fetching = None;
    }

    fn successor(&self, step: impl Into<String>, change: impl FnOnce(&mut Self)) -> (String, Self) {
        let mut state = self.clone();
        change(&mut state);
        (step.into(), state)
    }

    fn add_daemon_steps(&self, index: usize, successors: &mut Vec<(String, Self)>) {
        if let Some(pointer) = self.daemons[index].fetching.clone() {
            successors.push(self.successor(format!("daemon {index} fetches"), |state| {
                state.daemons[index].fetching = None;
                state.step_daemon(index, Event::Fetched(pointer.clone()));
            }));
            if self.budget.failed_fetches > 0 {
                successors.push(self.successor(
                    format!("daemon {index} fails to fetch"),
                    |state| {
                        state.budget.failed_fetches -= 1;
                        state.daemons[index].fetching = None;
                        state.step_daemon(index, Event::FetchFailed(pointer.clone()));
                    },
                ));
            }
        }
        if !self.accepted.is_empty() {
            successors.push(self.successor(format!("daemon {index} reads the store"), |state| {
                let pointer = state.stored_pointer();
                state.step_daemon(index, Event::PointerFromStore(pointer));
            }));
        }
        // A daemon that restarts during a store outage may fall back to an older bundle of its
        // peers. The model covers only restarts during which the store answers, so an outage may
        // begin only at a daemon that has not had a bundle in force.
        let has_no_bundle = self.daemons[index].highest_number == 0;
        if self.budget.store_outages > 0 && has_no_bundle {
            successors.push(self.successor(
                format!("daemon {index} gets no answer from the store"),
                |state| {
                    state.budget.store_outages -= 1;
                    state.step_daemon(index, Event::NoPointerFromStore);
                },
            ));
        }
        if self.budget.restarts > 0 && self.daemons[index].in_force.number > 0 {
            successors.push(self.successor(format!("daemon {index} restarts"), |state| {
                state.budget.restarts -= 1;
                state.restart(index);
            }));
        }
        for other in (0..DAEMONS).filter(|other| *other != index) {
            let pointer = self.daemons[other].in_force.clone();
            if pointer.number > 0 {
                successors.push(self.successor(
                    format!("daemon {index} gets the pointer of daemon {other}"),
                    |state| {
                        state.step_daemon(index, Event::PointerFromPeer(pointer.clone()));
                    },
                ));
            }
        }
    }
}

impl Model for InForceModel {
    fn successors(&self) -> Vec<(String, Self)> {
        let mut successors = Vec::new();
        if self.budget.rolls > 0 {
            for operator in 0..2 {
                successors.push(self.successor(
                    format!("operator {operator} reads the version"),
                    |state| {
                        state.budget.rolls -= 1;
                        state.begin_roll(operator);
                    },
                ));
            }
        }
        for index in 0..self.rolls.len() {
            successors
                .push(self.successor("a roll reaches the store", |state| state.end_roll(index)));
        }
        for (index, (daemon, pointer)) in self.pending_notices.iter().enumerate() {
            successors.push(self.successor(format!("daemon {daemon} gets a notice"), |state| {
                state.pending_notices.remove(index);
                state.step_daemon(*daemon, Event::PointerFromPeer(pointer.clone()));
            }));
        }
        for index in 0..DAEMONS {
            self.add_daemon_steps(index, &mut successors);
        }
        successors.retain(|(_, state)| state != self);
        successors
    }

    fn broken_invariant(&self) -> Option<&'static str> {
        self.broken_invariant
    }
}
