//! The slot table of one replica, kept by its owner: a state machine without I/O.

mod order;
mod refusals;

use wire::DaemonName;
use wire::Millis;

use crate::fair_share::FairShares;
use crate::fair_share::Share;
use crate::item_shares::ItemShares;
use crate::least_share::LeastShares;
use crate::message::Class;
use crate::message::Load;
use crate::message::Run;
use crate::message::Ticket;
use crate::message::Urgency;
use crate::overload::EarlyRefusals;
use crate::overload::RefusalReport;

/// How long the release of a revoked slot is awaited before another slot is revoked in its place; a
/// round trip to the holder takes a few milliseconds.
const REVOKE_TIMEOUT_MS: Millis = 30;
/// How long until a revocation may be sent again, since the message may have been lost.
const REVOKE_RESEND_MS: Millis = 200;
/// How long after a revocation no batch item gets a slot of the replica: the next online request
/// would revoke it before the item has made up for the cost of reading its prompt.
const BATCH_HOLD_OFF_MS: Millis = 300;
/// How long a grant stays valid without a confirmation by its holder; several times the longest
/// heartbeat period.
const UNCONFIRMED_GRANT_TTL_MS: Millis = 4_000;
/// How old a grant must be before its absence from a holder's run list means that it was released.
const RUN_LIST_LAG_MS: Millis = 250;

/// How long orphaned runs are counted without a state report of the replica; somewhat longer than a
/// batch item runs.
const ORPHANED_RUN_TTL_MS: Millis = 6_000;
/// The number of queues that a request waits in at the same time; half of a queue is therefore
/// served by other replicas.
pub(crate) const QUEUES_PER_REQUEST: Millis = 2;
/// How long before its time limit a withdrawn request already counts as timed out, to allow for the
/// delay of messages.
const TIMEOUT_MARGIN_MS: Millis = 30;
/// How long a replica counts as overloaded after a request timed out in its queue or was refused.
const OVERLOAD_MS: Millis = 1_000;
/// The number of runs over which the duration of an online run is averaged.
const AVERAGED_RUNS: Millis = 8;
/// The least charge for a grant before the first run has ended, so that no organisation gets all
/// slots of a new replica at once.
const MIN_CHARGE_MS: Millis = 1;
/// The organisation of requests whose holder sent none, as older builds do.
const NO_ORGANISATION: u64 = 0;
/// Longer than any run; keeps the sort key of grants above zero.
const MAX_RUN_MS: Millis = 600_000;

#[derive(Clone, Debug)]
struct Grant {
    ticket: Ticket,
    holder: DaemonName,
    class: Class,
    on_time_at_ms: Millis,
    order_at_ms: Millis,
    granted_at_ms: Millis,
    charge: Option<Charge>,
    /// Whether the run began with this grant; a run that its holder listed began earlier.
    is_whole_run: bool,
    confirmed_at_ms: Millis,
    revoked_at_ms: Option<Millis>,
}

/// What an organisation was charged for a grant.
#[derive(Clone, Copy, Debug)]
struct Charge {
    organisation: u64,
    expected_ms: Millis,
}

impl Grant {
    fn is_whole_online_run(&self) -> bool {
        self.is_whole_run && self.class == Class::Online
    }
}

#[derive(Clone, Debug)]
struct QueuedRequest {
    ticket: Ticket,
    holder: DaemonName,
    class: Class,
    on_time_at_ms: Millis,
    order_at_ms: Millis,
    give_up_at_ms: Millis,
    last_requested_at_ms: Millis,
    share: Option<Share>,
}

impl QueuedRequest {
    fn organisation(&self) -> u64 {
        self.share.map_or(NO_ORGANISATION, |share| share.organisation)
    }
}

/// A holder's request for a slot of the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The daemon that sent the request.
    pub holder: DaemonName,
    /// The class of the request.
    pub class: Class,
    /// The urgency of the request.
    pub urgency: Urgency,
    /// How long the request may stay queued.
    pub give_up_left_ms: Millis,
    /// The organisation of the request, if its holder sent one.
    pub share: Option<Share>,
}

/// A message that the owner must send to a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableAction {
    /// The holder gets the slot.
    Grant {
        /// The holder.
        holder: DaemonName,
        /// The ticket of the request.
        ticket: Ticket,
    },
    /// The request is queued.
    Queue {
        /// The holder.
        holder: DaemonName,
        /// The ticket of the request.
        ticket: Ticket,
    },
    /// The request is not queued: too many requests are ahead of it.
    Refuse {
        /// The holder.
        holder: DaemonName,
        /// The ticket of the request.
        ticket: Ticket,
    },
    /// The request is not queued: it cannot be on time, and a slot is expected for it later.
    RefuseEarly {
        /// The holder.
        holder: DaemonName,
        /// The ticket of the request.
        ticket: Ticket,
        /// How long until a slot is expected for it.
        slot_in_ms: Millis,
    },
    /// The holder must release the slot.
    Revoke {
        /// The holder.
        holder: DaemonName,
        /// The ticket of the request.
        ticket: Ticket,
    },
}

/// The slots of one replica.
#[derive(Clone, Debug)]
pub struct SlotTable {
    slots: u32,
    /// How many of the slots may be granted.
    limit: u32,
    grants: Vec<Grant>,
    queue: Vec<QueuedRequest>,
    inherited_runs: u32,
    inherited_until_ms: Millis,
    orphaned_runs: u32,
    orphaned_until_ms: Millis,
    batch_blocked_until_ms: Millis,
    mean_online_run_ms: Millis,
    overloaded_at_ms: Option<Millis>,
    /// The value of `overloaded_at_ms` when the replica became suspect.
    overloaded_before_suspect_ms: Option<Millis>,
    is_suspect: bool,
    has_been_probed: bool,
    has_reported: bool,
    fair_shares: FairShares,
    /// The requests that were refused early, if the table does so.
    early_refusals: Option<EarlyRefusals>,
    item_shares: ItemShares,
    least_shares: LeastShares,
}

impl SlotTable {
    /// Creates the table of an idle replica.
    pub fn new(slots: u32) -> Self {
        Self::inherit(slots, 0, 0)
    }

    /// Creates the table of a replica that another daemon owned: `occupied` slots count as taken
    /// until `until_ms`, by when every holder has had time to list its runs.
    pub fn inherit(slots: u32, occupied: u32, until_ms: Millis) -> Self {
        Self {
            slots,
            limit: slots,
            grants: Vec::new(),
            queue: Vec::new(),
            inherited_runs: occupied,
            inherited_until_ms: until_ms,
            orphaned_runs: 0,
            orphaned_until_ms: 0,
            batch_blocked_until_ms: 0,
            mean_online_run_ms: 0,
            overloaded_at_ms: None,
            overloaded_before_suspect_ms: None,
            is_suspect: false,
            has_been_probed: false,
            has_reported: false,
            fair_shares: FairShares::default(),
            early_refusals: None,
            item_shares: ItemShares::default(),
            least_shares: LeastShares::default(),
        }
    }

    /// Sets how many of the slots may be granted; grants in excess of it go on.
    pub fn set_limit(&mut self, now_ms: Millis, limit: u32) -> Vec<TableAction> {
        let limit = limit.min(self.slots);
        if std::mem::replace(&mut self.limit, limit) >= limit {
            return Vec::new();
        }
        self.update_grants(now_ms)
    }

    /// Sets whether requests that cannot be on time are refused when they arrive.
    pub fn set_refuses_early(&mut self, refuses_early: bool) {
        if self.early_refusals.is_some() != refuses_early {
            self.early_refusals = refuses_early.then(EarlyRefusals::default);
        }
    }

    /// Returns the decisions about early refusals since the last report, at most once in a while.
    pub fn take_refusal_report(&mut self, now_ms: Millis) -> Option<RefusalReport> {
        self.early_refusals.as_mut()?.take_report(now_ms)
    }

    /// Returns how long an online run that began with its grant has had its slot.
    pub fn online_run_ms(&self, now_ms: Millis, ticket: Ticket) -> Option<Millis> {
        let is_run = |grant: &&Grant| grant.ticket == ticket && grant.is_whole_online_run();
        let grant = self.grants.iter().find(is_run)?;
        Some(now_ms.saturating_sub(grant.granted_at_ms))
    }

    /// Returns when the run of a ticket began, if it began with its grant.
    pub fn run_began_ms(&self, ticket: Ticket) -> Option<Millis> {
        let is_run = |grant: &&Grant| grant.ticket == ticket && grant.is_whole_run;
        self.grants.iter().find(is_run).map(|grant| grant.granted_at_ms)
    }

    /// Returns how long each online run that began with its grant has had its slot.
    pub fn online_runs_ms(&self, now_ms: Millis) -> impl Iterator<Item = Millis> + '_ {
        let online = self.grants.iter().filter(|grant| grant.is_whole_online_run());
        online.map(move |grant| now_ms.saturating_sub(grant.granted_at_ms))
    }

    /// Returns how many of the slots may be granted.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of slots of the replica.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Marks the replica as probed; returns whether it was not probed before.
    pub fn begin_first_probe(&mut self) -> bool {
        !std::mem::replace(&mut self.has_been_probed, true)
    }

    /// Returns the load of the replica.
    pub fn load(&self) -> Load {
        let saturate = |count: usize| u16::try_from(count).unwrap_or(u16::MAX);
        let count =
            |class: Class| saturate(self.grants.iter().filter(|g| g.class == class).count());
        let queued =
            |class: Class| saturate(self.queue.iter().filter(|r| r.class == class).count());
        let orphaned = saturate(self.orphaned_runs as usize);
        Load {
            slots: saturate(self.limit as usize),
            // Orphaned runs count as online, since neither can be revoked.
            online: count(Class::Online).saturating_add(orphaned),
            batch: count(Class::Batch),
            online_waiting: queued(Class::Online),
            batch_waiting: queued(Class::Batch),
            is_suspect: self.is_suspect,
        }
    }

    /// Grants, queues or refuses a request; a repeated request is answered again.
    pub fn request(&mut self, now_ms: Millis, request: GrantRequest) -> Vec<TableAction> {
        let GrantRequest { ticket, holder, class, urgency, give_up_left_ms, share } = request;
        if self.grants.iter().any(|grant| grant.ticket == ticket) {
            return vec![TableAction::Grant { holder, ticket }];
        }
        let repeated = self.queue.iter_mut().find(|queued| queued.ticket == ticket);
        let is_new = repeated.is_none();
        if let Some(queued) = repeated {
            queued.last_requested_at_ms = now_ms;
        } else {
            if let Some(refusals) = &mut self.early_refusals
                && class == Class::Online
            {
                refusals.record_wait(now_ms, give_up_left_ms);
            }
            if class == Class::Batch {
                self.item_shares.record_waiting(share.map(|share| share.organisation));
            } else if let Some(share) = share {
                let expected_ms = self.mean_online_run_ms.max(MIN_CHARGE_MS);
                self.least_shares.record_waiting(share.organisation, expected_ms);
            }
            self.queue.push(QueuedRequest {
                ticket,
                holder: holder.clone(),
                class,
                on_time_at_ms: now_ms.saturating_add(urgency.on_time_left_ms),
                order_at_ms: now_ms.saturating_add(urgency.order_left_ms),
                give_up_at_ms: now_ms.saturating_add(give_up_left_ms),
                last_requested_at_ms: now_ms,
                share,
            });
        }
        let mut actions = self.update_grants(now_ms);
        let Some(index) = self.queue.iter().position(|queued| queued.ticket == ticket) else {
            return actions;
        };
        // A request that has waited in the queue would return later than one that is refused at once.
        let slot_in_ms = if is_new { self.refuse_early(now_ms, index) } else { None };
        if let Some(slot_in_ms) = slot_in_ms {
            self.queue.swap_remove(index);
            actions.push(TableAction::RefuseEarly { holder, ticket, slot_in_ms });
        } else if self.should_refuse(now_ms, index) {
            self.queue.swap_remove(index);
            self.overloaded_at_ms = Some(now_ms);
            actions.push(TableAction::Refuse { holder, ticket });
        } else {
            actions.push(TableAction::Queue { holder, ticket });
        }
        actions
    }

    /// Releases a slot, or a place in the queue.
    pub fn release(&mut self, now_ms: Millis, ticket: Ticket) -> Vec<TableAction> {
        self.record_end(now_ms, ticket);
        self.grants.retain(|grant| grant.ticket != ticket);
        self.queue.retain(|queued| queued.ticket != ticket);
        self.update_grants(now_ms)
    }

    /// Updates the mean duration of online runs, and marks the replica as overloaded if the
    /// released request timed out in the queue.
    fn record_end(&mut self, now_ms: Millis, ticket: Ticket) {
        self.item_shares.settle(now_ms, ticket);
        let mut grants = self.grants.iter().filter(|grant| grant.class == Class::Online);
        if let Some(grant) = grants.find(|grant| grant.ticket == ticket) {
            let run_ms = now_ms.saturating_sub(grant.granted_at_ms);
            if let Some(Charge { organisation, expected_ms }) = grant.charge {
                self.fair_shares.settle(organisation, expected_ms, run_ms);
                self.least_shares.settle(organisation, expected_ms, run_ms);
            }
            self.mean_online_run_ms = match self.mean_online_run_ms {
                0 => run_ms,
                mean_ms => (mean_ms * (AVERAGED_RUNS - 1) + run_ms) / AVERAGED_RUNS,
            };
        }
        let is_timed_out = |queued: &QueuedRequest| {
            queued.ticket == ticket
                && queued.class == Class::Online
                && now_ms + TIMEOUT_MARGIN_MS >= queued.give_up_at_ms
        };
        if self.queue.iter().any(is_timed_out) {
            self.overloaded_at_ms = Some(now_ms);
        }
    }

    /// Applies a holder's list of all its runs at this replica.
    pub fn apply_run_list(
        &mut self,
        now_ms: Millis,
        holder: &DaemonName,
        runs: &[Run],
    ) -> Vec<TableAction> {
        self.grants.retain_mut(|grant| {
            if grant.holder != *holder {
                return true;
            }
            if runs.iter().any(|run| run.ticket == grant.ticket) {
                grant.confirmed_at_ms = now_ms;
                return true;
            }
            now_ms < grant.granted_at_ms + RUN_LIST_LAG_MS
        });
        for run in runs {
            if self.grants.iter().any(|grant| grant.ticket == run.ticket) {
                continue;
            }
            self.queue.retain(|queued| queued.ticket != run.ticket);
            self.inherited_runs = self.inherited_runs.saturating_sub(1);
            self.orphaned_runs = self.orphaned_runs.saturating_sub(1);
            self.grants.push(Grant {
                ticket: run.ticket,
                holder: holder.clone(),
                class: run.class,
                on_time_at_ms: now_ms.saturating_add(run.urgency.on_time_left_ms),
                order_at_ms: now_ms.saturating_add(run.urgency.order_left_ms),
                granted_at_ms: now_ms,
                charge: None,
                is_whole_run: false,
                confirmed_at_ms: now_ms,
                revoked_at_ms: None,
            });
        }
        self.update_grants(now_ms)
    }

    /// Removes a holder that is gone. Its runs count as orphaned until the replica reports its
    /// number of requests, since the replica continues them until it notices the dead connection.
    pub fn remove_holder(&mut self, now_ms: Millis, holder: &DaemonName) -> Vec<TableAction> {
        let before = self.grants.len();
        self.grants.retain(|grant| grant.holder != *holder);
        self.orphaned_runs = self.orphaned_runs.saturating_add((before - self.grants.len()) as u32);
        self.orphaned_until_ms = now_ms + ORPHANED_RUN_TTL_MS;
        self.queue.retain(|queued| queued.holder != *holder);
        self.update_grants(now_ms)
    }

    /// Marks the replica as suspect, which stops grants; returns whether it was not suspect before.
    pub fn mark_suspect(&mut self) -> bool {
        if self.is_suspect {
            return false;
        }
        self.is_suspect = true;
        self.overloaded_before_suspect_ms = self.overloaded_at_ms;
        true
    }

    /// Clears the suspicion and resumes grants. Requests that timed out meanwhile got no slot
    /// because of the suspicion, so they do not show that the replica is overloaded.
    pub fn clear_suspect(&mut self, now_ms: Millis) -> Vec<TableAction> {
        if std::mem::take(&mut self.is_suspect) {
            self.queue.retain(|queued| now_ms < queued.give_up_at_ms);
            self.overloaded_at_ms = self.overloaded_before_suspect_ms;
        }
        self.update_grants(now_ms)
    }

    /// Applies the number of requests that the replica reports. Those in excess of the grants are
    /// orphaned runs: they belong to daemons that are gone and occupy slots until the replica
    /// notices that. Later reports can only lower their number.
    pub fn apply_in_progress(&mut self, now_ms: Millis, in_progress: u32) -> Vec<TableAction> {
        let excess = in_progress.saturating_sub(self.grants.len() as u32).min(self.slots);
        let is_first = !std::mem::replace(&mut self.has_reported, true);
        self.orphaned_runs = if is_first { excess } else { self.orphaned_runs.min(excess) };
        self.orphaned_until_ms = now_ms + ORPHANED_RUN_TTL_MS;
        self.update_grants(now_ms)
    }

    /// Returns the number of orphaned runs: runs at the replica that no daemon holds.
    pub fn orphaned_runs(&self) -> u32 {
        self.orphaned_runs
    }

    /// Expires grants, orphaned runs and queued requests, and grants free slots.
    pub fn tick(&mut self, now_ms: Millis) -> Vec<TableAction> {
        self.grants.retain(|grant| now_ms < grant.confirmed_at_ms + UNCONFIRMED_GRANT_TTL_MS);
        let grants = &self.grants;
        self.item_shares.retain(|ticket| grants.iter().any(|grant| grant.ticket == ticket));
        if now_ms >= self.orphaned_until_ms {
            self.orphaned_runs = 0;
        }
        self.update_grants(now_ms)
    }

    fn update_grants(&mut self, now_ms: Millis) -> Vec<TableAction> {
        let mut actions = Vec::new();
        let is_timed_out = |queued: &QueuedRequest| {
            queued.class == Class::Online && now_ms >= queued.give_up_at_ms
        };
        if self.queue.iter().any(is_timed_out) {
            self.overloaded_at_ms = Some(now_ms);
        }
        self.queue.retain(|queued| now_ms < queued.give_up_at_ms);
        if self.is_suspect {
            return actions;
        }
        let inherited = if now_ms < self.inherited_until_ms { self.inherited_runs } else { 0 };
        let runs_without_grant = inherited.max(self.orphaned_runs);
        while runs_without_grant.saturating_add(self.grants.len() as u32) < self.limit {
            let Some(next) = self.next_to_grant(now_ms) else { break };
            let queued = self.queue.swap_remove(next);
            let charge = self.charge(now_ms, &queued);
            actions
                .push(TableAction::Grant { holder: queued.holder.clone(), ticket: queued.ticket });
            self.grants.push(Grant {
                ticket: queued.ticket,
                holder: queued.holder,
                class: queued.class,
                on_time_at_ms: queued.on_time_at_ms,
                order_at_ms: queued.order_at_ms,
                granted_at_ms: now_ms,
                charge,
                is_whole_run: true,
                confirmed_at_ms: now_ms,
                revoked_at_ms: None,
            });
        }
        self.revoke_for_online(now_ms, &mut actions);
        actions
    }

    /// Revokes the slot of one batch item for each queued online request: first those of items that
    /// will be late anyway, then those with the highest sort key less the time already run, so that
    /// among equal items the shortest run is interrupted. A slot is revoked again only if no other
    /// is left. No more are revoked than leave a slot that may be granted.
    fn revoke_for_online(&mut self, now_ms: Millis, actions: &mut Vec<TableAction>) {
        let needed = self.queue.iter().filter(|queued| queued.class == Class::Online).count();
        let is_awaited = |grant: &Grant| {
            grant
                .revoked_at_ms
                .is_some_and(|revoked_at_ms| now_ms < revoked_at_ms + REVOKE_TIMEOUT_MS)
        };
        let can_revoke = |grant: &Grant| {
            grant
                .revoked_at_ms
                .is_none_or(|revoked_at_ms| now_ms >= revoked_at_ms + REVOKE_RESEND_MS)
        };
        let awaited = self.grants.iter().filter(|grant| is_awaited(grant)).count();
        let needed = if self.limit < self.slots { self.grantable(needed) } else { needed };
        for _ in awaited..needed {
            let victim = self
                .grants
                .iter_mut()
                .filter(|grant| grant.class == Class::Batch && can_revoke(grant))
                .max_by_key(|grant| {
                    let ran_ms = now_ms.saturating_sub(grant.granted_at_ms);
                    let is_late = grant.on_time_at_ms.saturating_add(ran_ms) < now_ms;
                    let sort_key =
                        grant.order_at_ms.saturating_add(MAX_RUN_MS).saturating_sub(ran_ms);
                    (grant.revoked_at_ms.is_none(), is_late, sort_key, grant.ticket)
                });
            let Some(victim) = victim else { return };
            victim.revoked_at_ms = Some(now_ms);
            self.batch_blocked_until_ms = now_ms + BATCH_HOLD_OFF_MS;
            actions
                .push(TableAction::Revoke { holder: victim.holder.clone(), ticket: victim.ticket });
        }
    }

    /// Returns how many revoked slots, `needed` at most, could be granted with slots withheld; the
    /// first ones revoked only bring the occupied slots down to the limit.
    fn grantable(&self, needed: usize) -> usize {
        let over_limit = self.grants.len().saturating_sub(self.limit as usize);
        if self.limit == 0 { 0 } else { needed.min(self.limit as usize) + over_limit }
    }
}
