//! The quotas of one daemon, as a pure state machine: its votes, the buckets that it owns and the
//! credits that it holds.

use std::collections::HashMap;
use std::collections::VecDeque;

use wire::DaemonName;
use wire::Millis;
use wire::rendezvous;

use crate::allowance::Limit;
use crate::allowance::QuotaSettings;
use crate::allowance::fixed_share;
use crate::election::Change;
use crate::election::Election;
use crate::election::share_key;
use crate::holder::Account;
use crate::holder::Accounts;
use crate::holder::Decision;
use crate::holder::FixedShare;
use crate::holder::Grant;
use crate::holder::Source;
use crate::holder::Ticket;
use crate::message::Message;
use crate::message::OrgHash;
use crate::message::group_of;
use crate::owner::Owner;
use crate::owner::Sender;
use crate::returns::return_in_ms;

/// The time after the first start from which a daemon may spend its fixed share, so that it knows the others.
const FIRST_FIXED_MS: Millis = 2_000;

/// The time after which a client may try again if no owner answers: about that until there is one.
const NO_OWNER_RETRY_MS: Millis = 500;

/// An event to which the quotas of a daemon react.
#[derive(Clone, Debug)]
pub enum Event {
    /// The members changed, or are confirmed.
    Members {
        /// All daemons that this one knows.
        known: Vec<DaemonName>,
        /// The daemons that are alive and ready.
        reachable: Vec<DaemonName>,
        /// Those of them that may own groups.
        candidates: Vec<DaemonName>,
        /// The daemons that will be candidates, but are not ready yet.
        starting: Vec<DaemonName>,
        /// Whether this daemon has read a list of all daemons.
        is_complete: bool,
    },
    /// The limits of all organisations with a quota, after a change of the configuration.
    Limits(HashMap<OrgHash, Limit>),
    /// Time has passed; due every 50 ms.
    Tick,
    /// A request asks for credit.
    Admit {
        /// Identifies the request.
        ticket: Ticket,
        /// The organisation.
        org: OrgHash,
        /// Its limit.
        limit: Limit,
    },
    /// A request has waited for half of the time that it may wait; the message may be lost.
    Retry {
        /// Identifies the request.
        ticket: Ticket,
        /// The organisation.
        org: OrgHash,
    },
    /// A request has waited for the owner, or then for a fixed share, for as long as it may.
    GiveUp {
        /// Identifies the request.
        ticket: Ticket,
        /// The organisation.
        org: OrgHash,
    },
    /// The client of a waiting request has disconnected.
    Abandon {
        /// Identifies the request.
        ticket: Ticket,
        /// The organisation.
        org: OrgHash,
    },
    /// A credit was not spent.
    Unspent {
        /// The organisation.
        org: OrgHash,
        /// Where the credit came from.
        source: Source,
    },
    /// A message of another daemon arrived.
    Received {
        /// The sender.
        from: DaemonName,
        /// The sender's incarnation.
        incarnation: u64,
        /// The message.
        message: Message,
    },
}

/// An action that the daemon must take.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send(DaemonName, Message),
    /// Tell a waiting request the decision.
    Decide(Ticket, Decision),
    /// Log that the ownership of a group changed.
    Owns {
        /// The group.
        group: u8,
        /// Whether this daemon owns it now.
        is_owner: bool,
        /// Why.
        cause: &'static str,
    },
}

/// The quotas of one daemon.
#[derive(Clone, Debug)]
pub struct QuotaCore {
    own: DaemonName,
    incarnation: u64,
    settings: QuotaSettings,
    fixed_from_ms: Millis,
    limits: HashMap<OrgHash, Limit>,
    election: Election,
    owner: Owner,
    accounts: Accounts,
    seq: u64,
}

impl QuotaCore {
    /// Creates the state of a daemon that starts now. Nothing is known about what it spent before,
    /// unless the whole system starts for the first time.
    pub fn new(
        now_ms: Millis,
        own: DaemonName,
        incarnation: u64,
        settings: QuotaSettings,
        is_first_start: bool,
    ) -> Self {
        let idle_ms = settings.window_ms + settings.credit_life_ms();
        Self {
            election: Election::new(own.clone(), now_ms, is_first_start),
            own,
            incarnation,
            settings,
            fixed_from_ms: now_ms + if is_first_start { FIRST_FIXED_MS } else { idle_ms },
            limits: HashMap::new(),
            owner: Owner::new(incarnation, settings),
            accounts: HashMap::new(),
            seq: 0,
        }
    }

    /// Returns whether this daemon owns the group of an organisation.
    pub fn is_owner_of(&self, org: OrgHash) -> bool {
        self.election.term_started_ms(group_of(org)).is_some()
    }

    /// Returns whether the configuration in force has quotas.
    pub fn is_enabled(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Returns the number of organisations with a quota.
    pub fn limits(&self) -> usize {
        self.limits.len()
    }

    /// Handles an event.
    pub fn step(&mut self, now_ms: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.election.check_for_pause(now_ms);
        self.update_terms(now_ms, &mut actions);
        match event {
            Event::Members { known, reachable, candidates, starting, is_complete } => {
                self.election.set_members(now_ms, &known, reachable, &candidates, is_complete);
                if !starting.is_empty() {
                    self.election.set_expected(&candidates, &starting);
                }
                let (election, own) = (&self.election, &self.own);
                self.owner.retain_senders(|name| name == own || election.is_known(name));
                self.update_terms(now_ms, &mut actions);
            }
            Event::Limits(limits) => {
                self.owner.set_limits(now_ms, &limits);
                self.limits = limits;
            }
            Event::Tick => self.tick(now_ms, &mut actions),
            Event::Admit { ticket, org, limit } => {
                let (known_limit, account) =
                    self.accounts.entry(org).or_insert_with(|| (limit, Account::default()));
                *known_limit = limit;
                match account.admit(now_ms, ticket) {
                    Some(decision) => actions.push(Action::Decide(ticket, decision)),
                    None => self.ask(now_ms, org, false, &mut actions),
                }
                if self.election.preferred(group_of(org)).is_none() {
                    self.give_up(now_ms, ticket, org, &mut actions);
                }
            }
            Event::Retry { ticket, org } => {
                if self.accounts.get(&org).is_some_and(|(_, account)| account.is_waiting(ticket)) {
                    self.ask(now_ms, org, true, &mut actions);
                }
            }
            Event::GiveUp { ticket, org } => {
                self.give_up(now_ms, ticket, org, &mut actions);
            }
            Event::Abandon { ticket, org } => {
                if let Some((_, account)) = self.accounts.get_mut(&org) {
                    account.abandon(ticket);
                }
            }
            Event::Unspent { org, source } => self.take_back(now_ms, org, source, 1, &mut actions),
            Event::Received { from, incarnation, message } => {
                self.receive(now_ms, (&from, incarnation), message, &mut actions);
            }
        }
        actions
    }

    fn tick(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        if self.is_enabled() {
            let votes = self.election.tick(now_ms);
            actions.extend(votes.into_iter().map(|(to, vote)| Action::Send(to, vote)));
            self.update_terms(now_ms, actions);
        }
        let life_ms = self.settings.credit_life_ms();
        let mut expired = Vec::new();
        for (org, (_, account)) in &mut self.accounts {
            let credits = account.expire(now_ms, life_ms).into_iter();
            expired.extend(credits.map(|(source, count)| (*org, source, count)));
        }
        let window_ms = self.settings.window_ms;
        self.accounts.retain(|_, (_, account)| !account.is_idle(now_ms, window_ms));
        for (org, source, count) in expired {
            self.take_back(now_ms, org, source, count, actions);
        }
    }

    fn update_terms(&mut self, now_ms: Millis, actions: &mut Vec<Action>) {
        for change in self.election.update(now_ms) {
            let (group, is_owner, cause) = match &change {
                Change::Gained(group, Some(_)) => (*group, true, "handed_over"),
                Change::Gained(group, None) => (*group, true, "votes"),
                Change::GainedEarly(group, _) => (*group, true, "early_votes"),
                Change::Confirmed(_) => {
                    self.owner.apply(now_ms, change, &self.limits);
                    continue;
                }
                Change::Lost(group) => (*group, false, "votes"),
                Change::Released(group, _) => (*group, false, "released"),
            };
            actions.push(Action::Owns { group, is_owner, cause });
            let is_released = matches!(change, Change::Released(..));
            if let Some((to, message)) = self.owner.apply(now_ms, change, &self.limits) {
                actions.push(Action::Send(to, message));
            }
            if is_released {
                let message = Message::Release { groups: 1 << group };
                let release = |to: &DaemonName| Action::Send(to.clone(), message.clone());
                actions.extend(self.election.known().map(release));
            }
        }
    }

    fn receive(
        &mut self,
        now_ms: Millis,
        (from, incarnation): (&DaemonName, u64),
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Vote { groups, valid_ms } => {
                let sender = (from, incarnation);
                self.election.record_vote(now_ms, sender, groups, valid_ms);
                self.update_terms(now_ms, actions);
            }
            Message::Withdraw { early_ms } => {
                if !self.election.record_withdrawal(now_ms, (from, incarnation), early_ms) {
                    return;
                }
                // A term that has lost its majority must end before the answer.
                self.update_terms(now_ms, actions);
                let answer = Message::Withdrawn { incarnation };
                actions.push(Action::Send(from.clone(), answer));
            }
            Message::Withdrawn { incarnation } => {
                if incarnation == self.incarnation {
                    self.election.record_withdrawn(from);
                }
            }
            Message::Release { groups } => self.election.record_release(now_ms, from, groups),
            Message::HandOver { group, term, levels } => {
                self.election.record_hand_over(now_ms, from, (group, term), &levels);
            }
            Message::Ask { seq, org, need, ahead } => {
                // Without the limit the configuration here is older or newer than the sender's.
                let Some(limit) = self.limits.get(&org).copied() else {
                    actions.push(Action::Send(from.clone(), Message::NotOwner { seq, org }));
                    return;
                };
                let sender = Sender { name: from, incarnation, seq };
                let answer = self.owner.grant(now_ms, sender, org, limit, (need, ahead));
                actions.extend(answer.map(|answer| Action::Send(from.clone(), answer)));
            }
            Message::Return { seq, org, term, take, count } => {
                let sender = Sender { name: from, incarnation, seq };
                self.owner.take_back(now_ms, sender, org, (term, take), count);
            }
            Message::Answer { seq, org, granted, term, take, retry_after_ms, is_new } => {
                let source = Source::Owner { owner: from.clone(), term, take };
                let late_source = source.clone();
                let retry_after_ms = Millis::from(retry_after_ms).max(1);
                let grant = Grant { seq, granted, source, retry_after_ms, is_new };
                let life_ms = self.settings.credit_life_ms();
                let Some((_, account)) = self.accounts.get_mut(&org) else { return };
                let outcome = account.apply(now_ms, grant, life_ms);
                actions.extend(outcome.decisions.into_iter().map(|(t, d)| Action::Decide(t, d)));
                for ticket in outcome.without_owner {
                    self.decide_without_owner(now_ms, ticket, org, retry_after_ms, actions);
                }
                if outcome.late > 0 {
                    self.take_back(now_ms, org, late_source, outcome.late, actions);
                }
                self.ask(now_ms, org, false, actions);
            }
            Message::NotOwner { seq, org } => {
                let Some((_, account)) = self.accounts.get_mut(&org) else { return };
                for ticket in account.take_unowned(seq) {
                    self.decide_without_owner(now_ms, ticket, org, NO_OWNER_RETRY_MS, actions);
                }
            }
            Message::ShareAsk { seq, org } => {
                let Some(limit) = self.limits.get(&org).copied() else { return };
                if !self.owner.is_new(Sender { name: from, incarnation, seq }) {
                    return;
                }
                self.accounts.entry(org).or_insert_with(|| (limit, Account::default())).0 = limit;
                let fixed = self.fixed_share(now_ms, org);
                let Some((_, account)) = self.accounts.get_mut(&org) else { return };
                let is_granted = account.spend_fixed(now_ms, fixed).is_some();
                let retry_after_ms = account.fixed_wait_ms(now_ms, fixed) as u32;
                let answer = Message::ShareAnswer { seq, org, is_granted, retry_after_ms };
                actions.push(Action::Send(from.clone(), answer));
            }
            Message::ShareAnswer { seq, org, is_granted, retry_after_ms } => {
                let Some((_, account)) = self.accounts.get_mut(&org) else { return };
                let retry_after_ms = Millis::from(retry_after_ms);
                match account.apply_share(now_ms, seq, is_granted, retry_after_ms) {
                    Some((ticket, Decision::Refused { retry_after_ms })) => {
                        self.refuse(now_ms, ticket, retry_after_ms, actions);
                    }
                    decision => {
                        actions.extend(decision.map(|(ticket, d)| Action::Decide(ticket, d)));
                    }
                }
            }
        }
    }

    /// Decides about a request by the fixed share of this daemon, or asks another daemon for credit of
    /// its fixed share.
    fn decide_without_owner(
        &mut self,
        now_ms: Millis,
        ticket: Ticket,
        org: OrgHash,
        retry_after_ms: Millis,
        actions: &mut Vec<Action>,
    ) {
        let fixed = self.fixed_share(now_ms, org);
        let share_holder = self.election.share_holder(org, self.seq);
        let Some((_, account)) = self.accounts.get_mut(&org) else { return };
        if let Some(source) = account.spend_fixed(now_ms, fixed) {
            actions.push(Action::Decide(ticket, Decision::Admitted(source)));
            return;
        }
        match share_holder {
            Some(share_holder) if account.may_share(now_ms) => {
                self.seq += 1;
                account.record_share_ask(self.seq, ticket);
                let message = Message::ShareAsk { seq: self.seq, org };
                actions.push(Action::Send(share_holder, message));
            }
            Some(_) | None => self.refuse(now_ms, ticket, retry_after_ms, actions),
        }
    }

    /// Ends the wait of a request for the owner, or for a fixed share.
    fn give_up(&mut self, now_ms: Millis, ticket: Ticket, org: OrgHash, actions: &mut Vec<Action>) {
        let Some((_, account)) = self.accounts.get_mut(&org) else { return };
        if account.take_waiting(ticket) {
            self.decide_without_owner(now_ms, ticket, org, NO_OWNER_RETRY_MS, actions);
        } else if account.take_sharing(ticket) {
            self.refuse(now_ms, ticket, NO_OWNER_RETRY_MS, actions);
        }
    }

    /// Refuses a request while there is no owner, or only one with empty buckets.
    fn refuse(&self, now_ms: Millis, ticket: Ticket, wait_ms: Millis, actions: &mut Vec<Action>) {
        let earliest_ms = wait_ms.max(self.election.settles_in_ms(now_ms));
        let retry_after_ms = return_in_ms(&self.own, ticket, earliest_ms);
        actions.push(Action::Decide(ticket, Decision::Refused { retry_after_ms }));
    }

    /// Sends a request for credit of an organisation if one is due.
    fn ask(&mut self, now_ms: Millis, org: OrgHash, is_retry: bool, actions: &mut Vec<Action>) {
        let Some(owner) = self.election.preferred(group_of(org)).cloned() else { return };
        let Some((_, account)) = self.accounts.get_mut(&org) else { return };
        let Some(ask) = account.next_ask(self.settings.credit_life_ms(), is_retry) else { return };
        self.seq += 1;
        account.record_ask(now_ms, self.seq, ask);
        let message = Message::Ask { seq: self.seq, org, need: ask.need, ahead: ask.ahead };
        self.send(now_ms, owner, message, actions);
    }

    fn take_back(
        &mut self,
        now_ms: Millis,
        org: OrgHash,
        source: Source,
        count: u32,
        actions: &mut Vec<Action>,
    ) {
        match source {
            Source::Shared => {}
            Source::Fixed { spent_ms } => {
                if let Some((_, account)) = self.accounts.get_mut(&org) {
                    account.take_back_fixed(spent_ms);
                }
            }
            Source::Owner { owner, term, take } => {
                self.seq += 1;
                let seq = self.seq;
                let message = Message::Return { seq, org, term, take, count };
                self.send(now_ms, owner, message, actions);
            }
        }
    }

    /// Sends a message, or handles it here if this daemon is the receiver.
    fn send(
        &mut self,
        now_ms: Millis,
        to: DaemonName,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        if to != self.own {
            actions.push(Action::Send(to, message));
            return;
        }
        let own = self.own.clone();
        let mut messages = VecDeque::from([message]);
        while let Some(message) = messages.pop_front() {
            let mut next = Vec::new();
            self.receive(now_ms, (&own, self.incarnation), message, &mut next);
            for action in next {
                match action {
                    Action::Send(to, message) if to == own => messages.push_back(message),
                    action => actions.push(action),
                }
            }
        }
    }

    /// Returns what this daemon may admit of an organisation without an owner.
    fn fixed_share(&self, now_ms: Millis, org: OrgHash) -> FixedShare {
        // Credit for other daemons may be spent as long after it was granted as the owner's.
        let window_ms = self.settings.window_ms + self.settings.credit_life_ms();
        let limit = self.accounts.get(&org).map(|(limit, _)| limit);
        let count = match limit {
            Some(limit) if self.election.is_fleet_known() && now_ms >= self.fixed_from_ms => {
                let key = share_key(org);
                let rank = rendezvous::rank(&key, &self.own, self.election.known());
                fixed_share(self.settings.fixed_total(limit), rank)
            }
            _ => 0,
        };
        FixedShare { count, window_ms }
    }
}
