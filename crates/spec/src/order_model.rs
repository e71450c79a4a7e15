//! The model of orders to one engine: lease holders that pause and race, orders that arrive late.

use engine::orders::Action;
use engine::orders::Event;
use engine::orders::LeaseRecord;
use engine::orders::OrderController;
use engine::orders::OrderTiming;
use wire::DaemonName;
use wire::Millis;
use wire::Version;

use crate::checker::Model;
use crate::mutation::Mutation;

/// The duration of the lease, in steps of the model's clock.
const LEASE_MS: Millis = 2;
/// The longest time between sending an order and its effect.
const MAX_ORDER_DELAY_MS: Millis = 1;
/// The time at which the model's clock stops.
const MAX_TIME_MS: Millis = 9;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Order {
    holder: usize,
    number: u64,
    sent_at_ms: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeaseWrite {
    holder: usize,
    record: LeaseRecord,
    expected: Version,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderModel {
    checks_fencing: bool,
    mutation: Option<Mutation>,
    now_ms: Millis,
    holders: Vec<OrderController>,
    /// Events that a holder has not handled yet; a paused holder handles them late.
    inboxes: Vec<Vec<Event>>,
    reads: Vec<usize>,
    writes: Vec<LeaseWrite>,
    orders: Vec<Order>,
    lease: LeaseRecord,
    version: Version,
    lost_answers: u32,
    engine_fencing_number: u64,
    applied_numbers: Vec<u64>,
    broken_invariant: Option<&'static str>,
}

impl OrderModel {
    /// Returns the state before any order; two holders want the engine to run different models.
    pub fn new(checks_fencing: bool, lost_answers: u32, mutation: Option<Mutation>) -> Self {
        let default_timing =
            OrderTiming { lease_ms: LEASE_MS, order_timeout_ms: MAX_ORDER_DELAY_MS };
        let timing = match mutation {
            Some(Mutation::NoWaitBeforeOrders) => {
                OrderTiming { order_timeout_ms: 0, ..default_timing }
            }
            _ => default_timing,
        };
        // The first holder assumes a longer lease than the second one does.
        let first_timing = match mutation {
            Some(Mutation::OrderAfterLapse) => OrderTiming { lease_ms: 100, ..timing },
            _ => timing,
        };
        let assumes_fencing = checks_fencing || mutation == Some(Mutation::NoWaitBeforeOrders);
        let holder = |name: &str, timing| {
            OrderController::new(DaemonName::from(name), assumes_fencing, timing)
        };
        let mut model = Self {
            checks_fencing,
            mutation,
            now_ms: 0,
            holders: vec![holder("a", first_timing), holder("b", timing)],
            inboxes: vec![Vec::new(), Vec::new()],
            reads: Vec::new(),
            writes: Vec::new(),
            orders: Vec::new(),
            lease: LeaseRecord::default(),
            version: Version::ABSENT,
            lost_answers,
            engine_fencing_number: 0,
            applied_numbers: Vec::new(),
            broken_invariant: None,
        };
        model.step_holder(0, Event::SetDesired("x".to_owned()));
        model.step_holder(1, Event::SetDesired("y".to_owned()));
        model
    }

    fn step_holder(&mut self, index: usize, event: Event) {
        let now_ms = self.now_ms;
        for action in self.holders[index].step(now_ms, event) {
            match action {
                Action::ReadLease => self.reads.push(index),
                Action::WriteLease { record, expected } => {
                    let mut record = record;
                    if self.mutation == Some(Mutation::NumberNotRaised) && record.holder.is_some() {
                        record.number = 1;
                    }
                    self.writes.push(LeaseWrite { holder: index, record, expected });
                }
                Action::SendOrder { number } => {
                    let number = match self.mutation {
                        Some(Mutation::NumberNotRaised) => 1,
                        _ => number,
                    };
                    self.orders.push(Order { holder: index, number, sent_at_ms: now_ms });
                }
                Action::Converged => {}
            }
        }
        self.reads.sort_unstable();
        self.reads.dedup();
    }

    /// Applies a lease write if its version matches; its answer may be lost.
    fn deliver_write(&mut self, index: usize, has_answer: bool) {
        let write = self.writes.remove(index);
        let is_applied = write.expected == self.version;
        if is_applied {
            self.lease = write.record;
            self.version = Version(self.version.0 + 1);
        }
        let event = match is_applied && has_answer {
            true => Event::LeaseWritten { version: self.version },
            false => Event::LeaseWriteFailed,
        };
        self.inboxes[write.holder].push(event);
    }

    /// Applies an order unless the engine refuses it; its answer may be lost.
    fn deliver_order(&mut self, index: usize, has_answer: bool) {
        let order = self.orders.remove(index);
        let is_refused = self.checks_fencing && order.number < self.engine_fencing_number;
        if !is_refused {
            let is_older = self.applied_numbers.last().is_some_and(|last| order.number < *last);
            let is_shared = self.applied_numbers.last() == Some(&order.number)
                && self.lease.holder.as_ref() != Some(&holder_name(order.holder));
            if is_older || is_shared {
                self.broken_invariant = Some("orders take effect in the order of their holders");
            }
            self.engine_fencing_number = self.engine_fencing_number.max(order.number);
            self.applied_numbers.push(order.number);
        }
        let event =
            if is_refused || !has_answer { Event::OrderFailed } else { Event::OrderConfirmed };
        self.inboxes[order.holder].push(event);
    }

    fn successor(&self, step: impl Into<String>, change: impl FnOnce(&mut Self)) -> (String, Self) {
        let mut state = self.clone();
        change(&mut state);
        (step.into(), state)
    }

    /// Adds a step of the clock; an order that has reached the longest delay must take effect first.
    fn add_time_step(&self, successors: &mut Vec<(String, Self)>) {
        let must_deliver_order =
            self.orders.iter().any(|order| self.now_ms >= order.sent_at_ms + MAX_ORDER_DELAY_MS);
        if self.now_ms < MAX_TIME_MS && !must_deliver_order {
            successors.push(self.successor("time passes", |state| state.now_ms += 1));
        }
    }
}

fn holder_name(index: usize) -> DaemonName {
    DaemonName::from(if index == 0 { "a" } else { "b" })
}

impl Model for OrderModel {
    fn successors(&self) -> Vec<(String, Self)> {
        let mut successors = Vec::new();
        self.add_time_step(&mut successors);
        for (position, holder) in self.reads.iter().enumerate() {
            successors.push(self.successor(format!("holder {holder} reads the lease"), |state| {
                state.reads.remove(position);
                let (record, version) = (state.lease.clone(), state.version);
                state.inboxes[*holder].push(Event::LeaseRead { record, version });
            }));
        }
        for (index, write) in self.writes.iter().enumerate() {
            let name = format!("the lease write of holder {}", write.holder);
            successors.push(self.successor(format!("{name} reaches the store"), |state| {
                state.deliver_write(index, true);
            }));
            if self.lost_answers > 0 {
                successors.push(self.successor(
                    format!("{name} reaches the store, its answer is lost"),
                    |state| {
                        state.lost_answers -= 1;
                        state.deliver_write(index, false);
                    },
                ));
            }
        }
        for (index, order) in self.orders.iter().enumerate() {
            let name = format!("order {} of holder {}", order.number, order.holder);
            successors.push(self.successor(format!("{name} takes effect"), |state| {
                state.deliver_order(index, true);
            }));
            if self.lost_answers > 0 {
                successors.push(self.successor(
                    format!("{name} takes effect, its answer is lost"),
                    |state| {
                        state.lost_answers -= 1;
                        state.deliver_order(index, false);
                    },
                ));
            }
        }
        for holder in 0..self.holders.len() {
            if !self.inboxes[holder].is_empty() {
                successors.push(self.successor(
                    format!("holder {holder} handles an event"),
                    |state| {
                        let event = state.inboxes[holder].remove(0);
                        state.step_holder(holder, event);
                    },
                ));
            }
            successors.push(self.successor(format!("holder {holder} handles a tick"), |state| {
                state.step_holder(holder, Event::Tick);
            }));
        }
        successors.retain(|(_, state)| state != self);
        successors
    }

    fn broken_invariant(&self) -> Option<&'static str> {
        self.broken_invariant
    }
}
