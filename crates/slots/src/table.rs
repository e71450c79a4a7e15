//! The owner's table of one replica's slots, as a pure state machine.

use wire::DaemonName;
use wire::Millis;

use crate::message::Class;
use crate::message::Load;
use crate::message::Run;
use crate::message::Ticket;
use crate::message::Urgency;

/// How long a revoked slot is waited for before another one is revoked in its place; a message to
/// the holder and back takes a few milliseconds.
const REVOKE_PATIENCE_MS: Millis = 30;
/// How long until a revoked slot is asked for again, should the message have been lost.
const REVOKE_AGAIN_MS: Millis = 200;
/// How long after a revocation no item gets a slot of the replica: the next online request takes
/// it back before the item has made up for the reading of its prompt.
const BATCH_HOLD_OFF_MS: Millis = 300;
/// How long a grant stands that its holder has not confirmed; several times the longest period of
/// heartbeats.
const UNCONFIRMED_MS: Millis = 4_000;
/// How old a grant must be before a holder's list without it means that it was given back.
const LIST_LAG_MS: Millis = 250;

/// How long runs of nobody are believed in without news of the replica; somewhat longer than an item
/// runs.
const FOREIGN_MS: Millis = 6_000;
/// The queues that a request stands in at the same time, so that half of a queue is served elsewhere.
const QUEUES_OF_A_REQUEST: Millis = 2;
/// How long before its time a wish that is taken back has waited in vain; messages take a moment.
const GAVE_UP_MARGIN_MS: Millis = 30;
/// How long after a request that waited in vain a replica counts as overloaded.
const OVERLOADED_MS: Millis = 1_000;
/// The runs over which the time of an online run is averaged.
const AVERAGED_RUNS: Millis = 8;
/// Longer than any run; keeps the order of grants above zero.
const MAX_RUN_MS: Millis = 600_000;

#[derive(Clone, Debug)]
struct Grant {
    ticket: Ticket,
    holder: DaemonName,
    class: Class,
    on_time_at_ms: Millis,
    order_at_ms: Millis,
    granted_ms: Millis,
    confirmed_ms: Millis,
    revoked_ms: Option<Millis>,
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    holder: DaemonName,
    class: Class,
    on_time_at_ms: Millis,
    order_at_ms: Millis,
    give_up_at_ms: Millis,
    heard_ms: Millis,
}

/// One wish for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wish {
    /// The wish.
    pub ticket: Ticket,
    /// Who asks.
    pub holder: DaemonName,
    /// What for.
    pub class: Class,
    /// How urgent it is.
    pub urgency: Urgency,
    /// How long the wish stands.
    pub give_up_left_ms: Millis,
}

/// What the owner tells a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableAction {
    /// The holder has the slot.
    Grant {
        /// The holder.
        holder: DaemonName,
        /// The wish.
        ticket: Ticket,
    },
    /// The wish waits.
    Queue {
        /// The holder.
        holder: DaemonName,
        /// The wish.
        ticket: Ticket,
    },
    /// The wish is not taken: too many are before it.
    Refuse {
        /// The holder.
        holder: DaemonName,
        /// The wish.
        ticket: Ticket,
    },
    /// The holder must give the slot back.
    Revoke {
        /// The holder.
        holder: DaemonName,
        /// The wish.
        ticket: Ticket,
    },
}

/// The slots of one replica.
#[derive(Clone, Debug)]
pub struct Table {
    slots: u32,
    grants: Vec<Grant>,
    waiting: Vec<Waiting>,
    inherited: u32,
    inherited_until_ms: Millis,
    foreign: u32,
    foreign_until_ms: Millis,
    batch_from_ms: Millis,
    online_run_ms: Millis,
    waited_in_vain_ms: Option<Millis>,
    is_suspect: bool,
    is_examined: bool,
    is_observed: bool,
}

impl Table {
    /// Creates the table of an idle replica.
    pub fn new(slots: u32) -> Self {
        Self::inherit(slots, 0, 0)
    }

    /// Creates the table of a replica that another daemon owned: `occupied` slots count as taken
    /// until every holder has had the time to name its runs.
    pub fn inherit(slots: u32, occupied: u32, until_ms: Millis) -> Self {
        Self {
            slots,
            grants: Vec::new(),
            waiting: Vec::new(),
            inherited: occupied,
            inherited_until_ms: until_ms,
            foreign: 0,
            foreign_until_ms: 0,
            batch_from_ms: 0,
            online_run_ms: 0,
            waited_in_vain_ms: None,
            is_suspect: false,
            is_examined: false,
            is_observed: false,
        }
    }

    /// Notes that the replica is asked for its state; returns whether it never was.
    pub fn begin_examination(&mut self) -> bool {
        !std::mem::replace(&mut self.is_examined, true)
    }

    /// Returns how full the replica is.
    pub fn load(&self) -> Load {
        let count = |class: Class| self.grants.iter().filter(|g| g.class == class).count() as u16;
        let queued = |class: Class| self.waiting.iter().filter(|w| w.class == class).count() as u16;
        Load {
            slots: self.slots as u16,
            // Runs of nobody cannot be revoked, as online requests cannot.
            online: count(Class::Online) + self.foreign as u16,
            batch: count(Class::Batch),
            online_waiting: queued(Class::Online),
            batch_waiting: queued(Class::Batch),
            is_suspect: self.is_suspect,
        }
    }

    /// Takes a wish; one that is known already is answered again.
    pub fn ask(&mut self, now_ms: Millis, wish: Wish) -> Vec<TableAction> {
        let Wish { ticket, holder, class, urgency, give_up_left_ms } = wish;
        if self.grants.iter().any(|grant| grant.ticket == ticket) {
            return vec![TableAction::Grant { holder, ticket }];
        }
        if let Some(waiting) = self.waiting.iter_mut().find(|waiting| waiting.ticket == ticket) {
            waiting.heard_ms = now_ms;
        } else {
            self.waiting.push(Waiting {
                ticket,
                holder: holder.clone(),
                class,
                on_time_at_ms: now_ms + urgency.on_time_left_ms,
                order_at_ms: now_ms + urgency.order_left_ms,
                give_up_at_ms: now_ms + give_up_left_ms,
                heard_ms: now_ms,
            });
        }
        let mut actions = self.settle(now_ms);
        let Some(place) = self.waiting.iter().position(|waiting| waiting.ticket == ticket) else {
            return actions;
        };
        if self.is_hopeless(now_ms, place) {
            self.waiting.swap_remove(place);
            self.waited_in_vain_ms = Some(now_ms);
            actions.push(TableAction::Refuse { holder, ticket });
        } else {
            actions.push(TableAction::Queue { holder, ticket });
        }
        actions
    }

    /// Returns whether an online wish would only wait in vain: others do, and it would not even be
    /// on time after those before it. Its client can come back sooner if it is told now.
    fn is_hopeless(&self, now_ms: Millis, place: usize) -> bool {
        let wish = &self.waiting[place];
        let is_overloaded =
            self.waited_in_vain_ms.is_some_and(|vain_ms| now_ms < vain_ms + OVERLOADED_MS);
        if wish.class != Class::Online || !is_overloaded {
            return false;
        }
        let key = urgency_key(wish, now_ms);
        let before = self.waiting.iter().filter(|other| urgency_key(other, now_ms) < key).count();
        let wait_ms = before as Millis * self.online_run_ms
            / (Millis::from(self.slots.max(1)) * QUEUES_OF_A_REQUEST);
        now_ms + wait_ms > wish.on_time_at_ms
    }

    /// Takes a slot, or a place in the queue, back.
    pub fn release(&mut self, now_ms: Millis, ticket: Ticket) -> Vec<TableAction> {
        self.note_end(now_ms, ticket);
        self.grants.retain(|grant| grant.ticket != ticket);
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.settle(now_ms)
    }

    /// Learns from what ends: how long online runs take, and that a request waited in vain.
    fn note_end(&mut self, now_ms: Millis, ticket: Ticket) {
        let mut grants = self.grants.iter().filter(|grant| grant.class == Class::Online);
        if let Some(grant) = grants.find(|grant| grant.ticket == ticket) {
            let run_ms = now_ms.saturating_sub(grant.granted_ms);
            self.online_run_ms = match self.online_run_ms {
                0 => run_ms,
                known_ms => (known_ms * (AVERAGED_RUNS - 1) + run_ms) / AVERAGED_RUNS,
            };
        }
        let is_vain = |waiting: &Waiting| {
            waiting.ticket == ticket
                && waiting.class == Class::Online
                && now_ms + GAVE_UP_MARGIN_MS >= waiting.give_up_at_ms
        };
        if self.waiting.iter().any(is_vain) {
            self.waited_in_vain_ms = Some(now_ms);
        }
    }

    /// Takes a holder's list of all its runs at this replica.
    pub fn held(&mut self, now_ms: Millis, holder: &DaemonName, runs: &[Run]) -> Vec<TableAction> {
        self.grants.retain_mut(|grant| {
            if grant.holder != *holder {
                return true;
            }
            if runs.iter().any(|run| run.ticket == grant.ticket) {
                grant.confirmed_ms = now_ms;
                return true;
            }
            now_ms < grant.granted_ms + LIST_LAG_MS
        });
        for run in runs {
            if self.grants.iter().any(|grant| grant.ticket == run.ticket) {
                continue;
            }
            self.waiting.retain(|waiting| waiting.ticket != run.ticket);
            self.inherited = self.inherited.saturating_sub(1);
            self.foreign = self.foreign.saturating_sub(1);
            self.grants.push(Grant {
                ticket: run.ticket,
                holder: holder.clone(),
                class: run.class,
                on_time_at_ms: now_ms + run.urgency.on_time_left_ms,
                order_at_ms: now_ms + run.urgency.order_left_ms,
                granted_ms: now_ms,
                confirmed_ms: now_ms,
                revoked_ms: None,
            });
        }
        self.settle(now_ms)
    }

    /// Forgets everything of a holder that is gone; its runs count as foreign until the replica says
    /// how many requests it has, since it goes on with them until it notices a dead connection.
    pub fn holder_lost(&mut self, now_ms: Millis, holder: &DaemonName) -> Vec<TableAction> {
        let granted = self.grants.len();
        self.grants.retain(|grant| grant.holder != *holder);
        self.foreign += (granted - self.grants.len()) as u32;
        self.foreign_until_ms = now_ms + FOREIGN_MS;
        self.waiting.retain(|waiting| waiting.holder != *holder);
        self.settle(now_ms)
    }

    /// Grants nothing while the replica is thought not to answer; returns whether that is news.
    pub fn suspect(&mut self) -> bool {
        !std::mem::replace(&mut self.is_suspect, true)
    }

    /// Grants slots again.
    pub fn trust(&mut self, now_ms: Millis) -> Vec<TableAction> {
        self.is_suspect = false;
        self.settle(now_ms)
    }

    /// Takes the number of requests that the replica says it has. Those beyond the grants belong to
    /// daemons that are gone, and take slots until the replica notices that; they only get fewer.
    pub fn observed(&mut self, now_ms: Millis, in_progress: u32) -> Vec<TableAction> {
        let unheld = in_progress.saturating_sub(self.grants.len() as u32).min(self.slots);
        let is_first = !std::mem::replace(&mut self.is_observed, true);
        self.foreign = if is_first { unheld } else { self.foreign.min(unheld) };
        self.foreign_until_ms = now_ms + FOREIGN_MS;
        self.settle(now_ms)
    }

    /// Returns how many slots are taken by runs that no daemon holds.
    pub fn foreign(&self) -> u32 {
        self.foreign
    }

    /// Drops what is over and hands out what is free.
    pub fn tick(&mut self, now_ms: Millis) -> Vec<TableAction> {
        self.grants.retain(|grant| now_ms < grant.confirmed_ms + UNCONFIRMED_MS);
        if now_ms >= self.foreign_until_ms {
            self.foreign = 0;
        }
        self.settle(now_ms)
    }

    fn settle(&mut self, now_ms: Millis) -> Vec<TableAction> {
        let mut actions = Vec::new();
        let is_over =
            |waiting: &Waiting| waiting.class == Class::Online && now_ms >= waiting.give_up_at_ms;
        if self.waiting.iter().any(is_over) {
            self.waited_in_vain_ms = Some(now_ms);
        }
        self.waiting.retain(|waiting| now_ms < waiting.give_up_at_ms);
        if self.is_suspect {
            return actions;
        }
        let inherited = if now_ms < self.inherited_until_ms { self.inherited } else { 0 };
        let unlisted = inherited.max(self.foreign);
        while self.grants.len() as u32 + unlisted < self.slots {
            let Some(next) = self.most_urgent(now_ms) else { break };
            let waiting = self.waiting.swap_remove(next);
            actions.push(TableAction::Grant {
                holder: waiting.holder.clone(),
                ticket: waiting.ticket,
            });
            self.grants.push(Grant {
                ticket: waiting.ticket,
                holder: waiting.holder,
                class: waiting.class,
                on_time_at_ms: waiting.on_time_at_ms,
                order_at_ms: waiting.order_at_ms,
                granted_ms: now_ms,
                confirmed_ms: now_ms,
                revoked_ms: None,
            });
        }
        self.revoke_for_online(now_ms, &mut actions);
        actions
    }

    /// Returns the place of the wish that is served next: online before batch, and in each class
    /// those that can still be on time, in their order, before those that are late.
    fn most_urgent(&self, now_ms: Millis) -> Option<usize> {
        let is_allowed =
            |waiting: &Waiting| waiting.class == Class::Online || now_ms >= self.batch_from_ms;
        (0..self.waiting.len())
            .filter(|place| is_allowed(&self.waiting[*place]))
            .min_by_key(|place| urgency_key(&self.waiting[*place], now_ms))
    }

    /// Revokes as many items as online requests wait: those that cannot be on time, then those
    /// that are last in the order, the shortest run first.
    fn revoke_for_online(&mut self, now_ms: Millis, actions: &mut Vec<TableAction>) {
        let online = self.waiting.iter().filter(|waiting| waiting.class == Class::Online).count();
        let is_expected = |grant: &Grant| {
            grant.revoked_ms.is_some_and(|revoked_ms| now_ms < revoked_ms + REVOKE_PATIENCE_MS)
        };
        let may_revoke = |grant: &Grant| {
            grant.revoked_ms.is_none_or(|revoked_ms| now_ms >= revoked_ms + REVOKE_AGAIN_MS)
        };
        let expected = self.grants.iter().filter(|grant| is_expected(grant)).count();
        for _ in expected..online {
            let victim = self
                .grants
                .iter_mut()
                .filter(|grant| grant.class == Class::Batch && may_revoke(grant))
                .max_by_key(|grant| {
                    let ran_ms = now_ms.saturating_sub(grant.granted_ms);
                    let is_late = grant.on_time_at_ms + ran_ms < now_ms;
                    let order = (grant.order_at_ms + MAX_RUN_MS).saturating_sub(ran_ms);
                    (grant.revoked_ms.is_none(), is_late, order, grant.ticket)
                });
            let Some(victim) = victim else { return };
            victim.revoked_ms = Some(now_ms);
            self.batch_from_ms = now_ms + BATCH_HOLD_OFF_MS;
            actions
                .push(TableAction::Revoke { holder: victim.holder.clone(), ticket: victim.ticket });
        }
    }
}

/// Orders wishes: the least is served first.
fn urgency_key(waiting: &Waiting, now_ms: Millis) -> (Class, bool, Millis, Ticket) {
    let is_late = waiting.on_time_at_ms < now_ms;
    let at_ms = if is_late { waiting.give_up_at_ms } else { waiting.order_at_ms };
    (waiting.class, is_late, at_ms, waiting.ticket)
}
