//! Votes that determine the owner of each group of organisations.
//!
//! A daemon votes for one owner of a group at a time and may vote for another one only after its
//! last vote has expired or was released. An owner needs valid votes of more than half of the
//! daemons, so that no two owners of a group exist at the same time. A restarted daemon does not know
//! its last vote; it waits until that has expired, or until all daemons have discarded it.

use std::collections::BTreeMap;
use std::collections::HashMap;

use wire::DaemonName;
use wire::Millis;
use wire::rendezvous;

use crate::allowance::SHARE_HOLDERS;
use crate::hand_over::HandOver;
use crate::hand_over::HandedOver;
use crate::message::GROUPS;
use crate::message::Message;
use crate::message::OrgHash;
use crate::withdrawal::RestartedVoters;
use crate::withdrawal::Withdrawal;

/// The longest delay of a vote in the network at which two owners of a group exclude each other.
pub const VOTE_DELAY_MS: Millis = 300;
/// The bounds of the time between two votes, which grows with the number of daemons in order to
/// bound an owner's load.
const PERIOD_MS: (Millis, Millis) = (300, 1_000);
const PERIOD_PER_DAEMON_MS: Millis = 6;
/// The validity of a vote in quarters of the period: one vote of two may be lost.
const VALID_QUARTERS: Millis = 10;
/// How long a daemon that is no longer a member counts when the majority is computed. Both sides of
/// a partition would have a majority if either forgot the other.
const FORGET_AFTER_MS: Millis = 600_000;
/// The time between two ticks, normally 50 ms, from which on this daemon counts as paused. Votes
/// that arrived during a pause are read late and would count as new.
const PAUSE_MS: Millis = 400;
/// How long votes are ignored after a pause, until the socket's buffer has been read.
const AFTER_PAUSE_MS: Millis = 250;
/// How long the daemons of a system that starts for the first time find each other before they vote.
const FIRST_SETTLE_MS: Millis = 1_000;

/// A vote for this daemon.
#[derive(Clone, Copy, Debug)]
struct Vote {
    until_ms: Millis,
    /// Whether the voter would not have voted yet without the withdrawal of its earlier votes.
    is_early: bool,
}

#[derive(Clone, Debug, Default)]
struct Group {
    preferred: Option<DaemonName>,
    /// The daemon that will be preferred once those that are starting are ready.
    expected: Option<DaemonName>,
    /// The daemon that got this daemon's last vote, and when it expires.
    voted: Option<(DaemonName, Millis)>,
    votes: HashMap<DaemonName, Vote>,
    term_started_ms: Option<Millis>,
    /// Whether the term began with early votes and is not confirmed by later ones yet.
    is_early_term: bool,
    /// When this daemon released the group last.
    released_ms: Option<Millis>,
    /// The daemon whose release freed votes last, and when.
    freed_by: Option<(DaemonName, Millis)>,
    hand_over: HandOver,
}

/// A change of what this daemon owns.
#[derive(Clone, Debug)]
pub enum Change {
    /// This daemon owns the group from now on.
    Gained(u8, Option<HandedOver>),
    /// This daemon owns the group from now on, by early votes. Such terms may follow each other faster
    /// than others, so that their buckets start empty.
    GainedEarly(u8, Option<HandedOver>),
    /// Votes that are not early confirm the term that began with early ones.
    Confirmed(u8),
    /// This daemon no longer owns the group since too few votes are valid.
    Lost(u8),
    /// This daemon no longer owns the group and another daemon should.
    Released(u8, Option<DaemonName>),
}

/// The votes of one daemon, and those for it.
#[derive(Clone, Debug)]
pub struct Election {
    own: DaemonName,
    started_ms: Millis,
    is_first_start: bool,
    is_fleet_known: bool,
    known: BTreeMap<DaemonName, Millis>,
    reachable: Vec<DaemonName>,
    groups: Vec<Group>,
    ticked_ms: Option<Millis>,
    ignored_until_ms: Millis,
    /// When the next votes are due; `None` if at once.
    due_ms: Option<Millis>,
    withdrawal: Withdrawal,
    restarted: RestartedVoters,
}

impl Election {
    /// Creates the votes of a daemon that starts now. Unless the whole system starts for the first
    /// time, votes of a previous incarnation of this daemon may still be valid.
    pub fn new(own: DaemonName, now_ms: Millis, is_first_start: bool) -> Self {
        Self {
            own,
            started_ms: now_ms,
            is_first_start,
            is_fleet_known: false,
            known: BTreeMap::new(),
            reachable: Vec::new(),
            groups: vec![Group::default(); usize::from(GROUPS)],
            ticked_ms: None,
            ignored_until_ms: 0,
            due_ms: None,
            withdrawal: Withdrawal::new(now_ms + VOTE_DELAY_MS),
            restarted: RestartedVoters::default(),
        }
    }

    /// Returns the other daemons that count for the majority.
    pub fn known(&self) -> impl Iterator<Item = &DaemonName> {
        self.known.keys()
    }

    /// Returns whether a daemon counts for the majority.
    pub fn is_known(&self, name: &DaemonName) -> bool {
        self.known.contains_key(name)
    }

    /// Returns the number of daemons that count for the majority, with this one.
    pub fn daemons(&self) -> usize {
        self.known.len() + 1
    }

    /// Returns whether this daemon has read a list of all daemons.
    pub fn is_fleet_known(&self) -> bool {
        self.is_fleet_known
    }

    /// Returns the daemon that this daemon asks for credit of a group.
    pub fn preferred(&self, group: u8) -> Option<&DaemonName> {
        self.groups[usize::from(group)].preferred.as_ref()
    }

    /// Returns one of the daemons that hold the fixed share of an organisation, if any other than this
    /// one can be reached; `turn` selects among them.
    pub fn share_holder(&self, org: OrgHash, turn: u64) -> Option<DaemonName> {
        let key = share_key(org);
        let mut weighed: Vec<(u64, &DaemonName)> = self
            .known
            .keys()
            .chain([&self.own])
            .map(|name| (rendezvous::weight(&key, name.as_str()), name))
            .collect();
        weighed.sort_unstable_by(|a, b| b.cmp(a));
        let holders = weighed.into_iter().take(SHARE_HOLDERS).map(|(_, name)| name);
        let reachable: Vec<&DaemonName> =
            holders.filter(|name| **name != self.own && self.reachable.contains(name)).collect();
        let turn = usize::try_from(turn).unwrap_or_default();
        let holder = reachable.get(turn.checked_rem(reachable.len())?)?;
        Some((*holder).clone())
    }

    /// Returns when this daemon became the owner of a group, if it is.
    pub fn term_started_ms(&self, group: u8) -> Option<Millis> {
        self.groups[usize::from(group)].term_started_ms
    }

    /// Replaces the members and the candidates for the ownership of groups; `is_complete` tells
    /// whether the members come from a list of all daemons.
    pub fn set_members(
        &mut self,
        now_ms: Millis,
        known: &[DaemonName],
        reachable: Vec<DaemonName>,
        candidates: &[DaemonName],
        is_complete: bool,
    ) {
        self.is_fleet_known |= is_complete;
        for name in known.iter().filter(|name| **name != self.own) {
            self.known.insert(name.clone(), now_ms);
        }
        self.known.retain(|_, seen_ms| now_ms < *seen_ms + FORGET_AFTER_MS);
        for (group, number) in self.groups.iter_mut().zip(0_u8..) {
            group.preferred = rendezvous::owner(&format!("quota-{number}"), candidates).cloned();
        }
        self.reachable = reachable;
        self.set_expected(candidates, &[]);
    }

    /// Sets the daemons that will be candidates, but are not ready yet. A vote for another one would
    /// bind this daemon when they are.
    pub fn set_expected(&mut self, candidates: &[DaemonName], starting: &[DaemonName]) {
        let expected: Vec<DaemonName> = candidates.iter().chain(starting).cloned().collect();
        for (group, number) in self.groups.iter_mut().zip(0_u8..) {
            group.expected = rendezvous::owner(&format!("quota-{number}"), &expected).cloned();
        }
    }

    /// Records a pause of this daemon; called with every event.
    pub fn check_for_pause(&mut self, now_ms: Millis) {
        if self.ticked_ms.is_some_and(|ticked_ms| now_ms > ticked_ms + PAUSE_MS) {
            self.ignored_until_ms = now_ms + AFTER_PAUSE_MS;
        }
    }

    /// Records votes for this daemon.
    pub fn record_vote(
        &mut self,
        now_ms: Millis,
        (from, incarnation): (&DaemonName, u64),
        groups: u8,
        valid_ms: u32,
    ) {
        if now_ms < self.ignored_until_ms
            || !self.known.contains_key(from)
            || self.restarted.is_superseded(now_ms, from, incarnation)
        {
            return;
        }
        let until_ms = now_ms + Millis::from(valid_ms);
        let vote = Vote { until_ms, is_early: self.restarted.is_early(now_ms, from) };
        for number in in_set(groups) {
            let group = &mut self.groups[usize::from(number)];
            // The voter may have sent this vote before it got the release, and is then free.
            let is_void = |released_ms| now_ms < released_ms + VOTE_DELAY_MS;
            if !group.released_ms.is_some_and(is_void) {
                group.votes.insert(from.clone(), vote);
            }
        }
    }

    /// Discards the votes of earlier incarnations of a daemon that has restarted, and returns whether
    /// this daemon holds none of them from now on.
    pub fn record_withdrawal(
        &mut self,
        now_ms: Millis,
        (from, incarnation): (&DaemonName, u64),
        early_ms: u32,
    ) -> bool {
        if !self.known.contains_key(from) || self.restarted.is_superseded(now_ms, from, incarnation)
        {
            return false;
        }
        let early_until_ms = now_ms + Millis::from(early_ms);
        if self.restarted.record(now_ms, from, incarnation, early_until_ms) {
            for group in &mut self.groups {
                group.votes.remove(from);
            }
        }
        true
    }

    /// Records that a daemon holds no votes of earlier incarnations of this one.
    pub fn record_withdrawn(&mut self, from: &DaemonName) {
        self.withdrawal.record(from);
    }

    /// Frees this daemon's votes for an owner that has stopped. A release that follows another one of the
    /// same owner within the longest delay of a message may be a duplicate and frees none.
    pub fn record_release(&mut self, now_ms: Millis, from: &DaemonName, groups: u8) {
        for number in in_set(groups) {
            let group = &mut self.groups[usize::from(number)];
            group.hand_over.record_owner(now_ms, from);
            let is_duplicate = group.freed_by.as_ref().is_some_and(|(owner, freed_ms)| {
                owner == from && now_ms < freed_ms + VOTE_DELAY_MS
            });
            if is_duplicate {
                continue;
            }
            group.freed_by = Some((from.clone(), now_ms));
            let voted = &mut group.voted;
            if voted.as_ref().is_some_and(|(owner, _)| owner == from) {
                *voted = None;
                // The next owner gets the vote at once.
                self.due_ms = None;
            }
        }
    }

    /// Keeps the levels that a previous owner hands over until this daemon becomes the owner.
    pub fn record_hand_over(
        &mut self,
        now_ms: Millis,
        from: &DaemonName,
        (group, term): (u8, u64),
        levels: &[(u64, f32)],
    ) {
        let Some(group) = self.groups.get_mut(usize::from(group)) else { return };
        if group.term_started_ms.is_none() && now_ms >= self.ignored_until_ms {
            group.hand_over.record(now_ms, from, term, levels);
        }
    }

    /// Updates the ownership of groups. It must be called before credit is granted, since votes may
    /// have expired.
    pub fn update(&mut self, now_ms: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        let majority = self.daemons() / 2 + 1;
        let own = &self.own;
        for (group, number) in self.groups.iter_mut().zip(0_u8..) {
            group.votes.retain(|_, vote| now_ms < vote.until_ms);
            let is_preferred = group.preferred.as_ref() == Some(own);
            // A daemon that knows only a few others could get the votes of more than half of them.
            let has_majority = self.is_fleet_known && group.votes.len() >= majority;
            let is_early = group.votes.values().filter(|vote| !vote.is_early).count() < majority;
            match group.term_started_ms {
                None if has_majority && is_preferred => {
                    group.term_started_ms = Some(now_ms);
                    let handed_over = group.hand_over.take(now_ms);
                    group.is_early_term = is_early;
                    let gained = if is_early { Change::GainedEarly } else { Change::Gained };
                    changes.push(gained(number, handed_over));
                }
                Some(_) if !has_majority => {
                    group.term_started_ms = None;
                    group.hand_over.record_owner(now_ms, own);
                    changes.push(Change::Lost(number));
                }
                Some(_) if !is_preferred => {
                    group.term_started_ms = None;
                    group.hand_over.record_owner(now_ms, own);
                    group.votes.clear();
                    group.released_ms = Some(now_ms);
                    if group.voted.as_ref().is_some_and(|(owner, _)| owner == own) {
                        group.voted = None;
                    }
                    changes.push(Change::Released(number, group.preferred.clone()));
                }
                Some(_) if group.is_early_term && !is_early => {
                    group.is_early_term = false;
                    changes.push(Change::Confirmed(number));
                }
                None | Some(_) => {}
            }
        }
        changes
    }

    /// Returns how long until this daemon may vote in any case, and owners exist soon after.
    pub fn settles_in_ms(&self, now_ms: Millis) -> Millis {
        self.settled_ms().saturating_sub(now_ms)
    }

    /// Returns the time between two votes in a fleet without early votes.
    fn period_ms(&self) -> Millis {
        let daemons = self.daemons() as Millis;
        (daemons * PERIOD_PER_DAEMON_MS).clamp(PERIOD_MS.0, PERIOD_MS.1)
    }

    /// Returns when votes of a previous incarnation of this daemon have expired.
    fn settled_ms(&self) -> Millis {
        let valid_ms = self.period_ms() * VALID_QUARTERS / 4;
        let settle_ms =
            if self.is_first_start { FIRST_SETTLE_MS } else { valid_ms + VOTE_DELAY_MS };
        self.started_ms + settle_ms
    }

    /// Returns the votes that are due, or the requests to discard earlier ones.
    pub fn tick(&mut self, now_ms: Millis) -> Vec<(DaemonName, Message)> {
        self.check_for_pause(now_ms);
        self.ticked_ms = Some(now_ms);
        let settled_ms = self.settled_ms();
        let is_early = now_ms < settled_ms;
        let period_ms = if is_early { PERIOD_MS.0 } else { self.period_ms() };
        let valid_ms = period_ms * VALID_QUARTERS / 4;
        if is_early && !self.is_first_start && self.is_fleet_known {
            let requests = self.withdrawal.requests(now_ms, settled_ms, self.known.keys());
            if !requests.is_empty() {
                return requests;
            }
        }
        let has_withdrawn = !self.is_first_start && self.withdrawal.is_complete(self.known.keys());
        let may_vote = self.is_fleet_known && (!is_early || has_withdrawn);
        let is_due = self.due_ms.is_none_or(|due_ms| now_ms >= due_ms);
        if !is_due || !may_vote {
            return Vec::new();
        }
        // The first votes that are not early follow the early ones while these are valid.
        self.due_ms = Some(now_ms + period_ms);
        let mut votes: BTreeMap<DaemonName, u8> = BTreeMap::new();
        for (group, number) in self.groups.iter_mut().zip(0_u8..) {
            let Some(preferred) = &group.preferred else { continue };
            let is_bound = group.voted.as_ref().is_some_and(|(owner, until_ms)| {
                owner != preferred && now_ms < until_ms + VOTE_DELAY_MS
            });
            let is_premature = is_early && group.expected.as_ref() != Some(preferred);
            if !is_bound && !is_premature {
                group.voted = Some((preferred.clone(), now_ms + valid_ms));
                *votes.entry(preferred.clone()).or_default() |= 1 << number;
            }
        }
        if let Some(groups) = votes.remove(&self.own) {
            let vote = Vote { until_ms: now_ms + valid_ms, is_early };
            for number in in_set(groups) {
                self.groups[usize::from(number)].votes.insert(self.own.clone(), vote);
            }
        }
        let valid_ms = valid_ms as u32;
        let message = |groups| Message::Vote { groups, valid_ms };
        votes.into_iter().map(|(name, groups)| (name, message(groups))).collect()
    }
}

/// Returns the key by which the daemons that hold the fixed share of an organisation are chosen.
pub fn share_key(org: OrgHash) -> String {
    format!("quota-share-{org}")
}

fn in_set(groups: u8) -> impl Iterator<Item = u8> {
    (0..GROUPS).filter(move |number| groups & (1 << number) != 0)
}
