//! The model of orders to one engine: holders that pause and race, orders that arrive late.

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

/// The lease in steps of the model's clock.
const LEASE_MS: Millis = 2;
/// The longest time that an order is under way.
const ORDER_MS: Millis = 1;
/// The end of the model's time.
const END_MS: Millis = 9;

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
    /// Events on their way to a holder; a paused holder takes them late.
    inboxes: Vec<Vec<Event>>,
    reads: Vec<usize>,
    writes: Vec<LeaseWrite>,
    orders: Vec<Order>,
    lease: LeaseRecord,
    version: Version,
    lost_answers: u32,
    engine_number: u64,
    applied: Vec<u64>,
    broken: Option<&'static str>,
}

impl OrderModel {
    /// The state before any order; two holders want the engine to run different things.
    pub fn new(checks_fencing: bool, lost_answers: u32, mutation: Option<Mutation>) -> Self {
        let usual = OrderTiming { lease_ms: LEASE_MS, order_timeout_ms: ORDER_MS };
        let timing = match mutation {
            Some(Mutation::NoWaitBeforeOrders) => OrderTiming { order_timeout_ms: 0, ..usual },
            _ => usual,
        };
        // The first holder believes that its lease lasts longer than the other one thinks.
        let first_timing = match mutation {
            Some(Mutation::OrderAfterLapse) => OrderTiming { lease_ms: 100, ..timing },
            _ => timing,
        };
        let claims_to_check = checks_fencing || mutation == Some(Mutation::NoWaitBeforeOrders);
        let holder = |name: &str, timing| {
            OrderController::new(DaemonName::from(name), claims_to_check, timing)
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
            engine_number: 0,
            applied: Vec::new(),
            broken: None,
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

    fn arrive_write(&mut self, index: usize, has_answer: bool) {
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

    /// The order takes effect; its answer may be lost.
    fn arrive_order(&mut self, index: usize, has_answer: bool) {
        let order = self.orders.remove(index);
        let is_refused = self.checks_fencing && order.number < self.engine_number;
        if !is_refused {
            let is_behind = self.applied.last().is_some_and(|last| order.number < *last);
            let is_shared = self.applied.last() == Some(&order.number)
                && self.lease.holder.as_ref() != Some(&holder_name(order.holder));
            if is_behind || is_shared {
                self.broken = Some("orders take effect in the order of their holders");
            }
            self.engine_number = self.engine_number.max(order.number);
            self.applied.push(order.number);
        }
        let event =
            if is_refused || !has_answer { Event::OrderFailed } else { Event::OrderConfirmed };
        self.inboxes[order.holder].push(event);
    }

    fn successor(&self, step: impl Into<String>, change: impl FnOnce(&mut Self)) -> (String, Self) {
        let mut next = self.clone();
        change(&mut next);
        (step.into(), next)
    }

    /// Time passes; an order that was under way for the longest time must arrive first.
    fn time_step(&self, next: &mut Vec<(String, Self)>) {
        let is_held_up = self.orders.iter().any(|order| self.now_ms >= order.sent_at_ms + ORDER_MS);
        if self.now_ms < END_MS && !is_held_up {
            next.push(self.successor("time passes", |state| state.now_ms += 1));
        }
    }
}

fn holder_name(index: usize) -> DaemonName {
    DaemonName::from(if index == 0 { "a" } else { "b" })
}

impl Model for OrderModel {
    fn next(&self) -> Vec<(String, Self)> {
        let mut next = Vec::new();
        self.time_step(&mut next);
        for (position, holder) in self.reads.iter().enumerate() {
            next.push(self.successor(format!("holder {holder} reads the lease"), |state| {
                state.reads.remove(position);
                let (record, version) = (state.lease.clone(), state.version);
                state.inboxes[*holder].push(Event::LeaseRead { record, version });
            }));
        }
        for (index, write) in self.writes.iter().enumerate() {
            let name = format!("the lease write of holder {}", write.holder);
            next.push(self.successor(format!("{name} arrives"), |state| {
                state.arrive_write(index, true);
            }));
            if self.lost_answers > 0 {
                next.push(self.successor(format!("{name} arrives, unanswered"), |state| {
                    state.lost_answers -= 1;
                    state.arrive_write(index, false);
                }));
            }
        }
        for (index, order) in self.orders.iter().enumerate() {
            let name = format!("order {} of holder {}", order.number, order.holder);
            next.push(self.successor(format!("{name} takes effect"), |state| {
                state.arrive_order(index, true);
            }));
            if self.lost_answers > 0 {
                next.push(self.successor(format!("{name} takes effect, unanswered"), |state| {
                    state.lost_answers -= 1;
                    state.arrive_order(index, false);
                }));
            }
        }
        for holder in 0..self.holders.len() {
            if !self.inboxes[holder].is_empty() {
                next.push(self.successor(format!("holder {holder} wakes"), |state| {
                    let event = state.inboxes[holder].remove(0);
                    state.step_holder(holder, event);
                }));
            }
            next.push(self.successor(format!("holder {holder} looks at its clock"), |state| {
                state.step_holder(holder, Event::Tick);
            }));
        }
        next.retain(|(_, state)| state != self);
        next
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
    }
}
