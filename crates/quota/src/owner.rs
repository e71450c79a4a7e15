//! The buckets of the organisations that a daemon owns.

use std::collections::HashMap;

use wire::DaemonName;
use wire::Millis;

use crate::allowance::Limit;
use crate::allowance::QuotaSettings;
use crate::bucket::Bucket;
use crate::election::Change;
use crate::hand_over::HandedOver;
use crate::message::GROUPS;
use crate::message::Message;
use crate::message::OrgHash;
use crate::message::group_of;
use crate::replay::ReplayFilter;

/// The longest time that a refused client is told to wait.
const MAX_RETRY_AFTER_MS: Millis = 60_000;

/// One term of the ownership of a group.
#[derive(Clone, Debug)]
struct Term {
    id: u64,
    started_ms: Millis,
    /// Whether buckets start with the initial level, if the previous owner handed over none.
    has_initial_level: bool,
    handed_over: Option<HandedOver>,
    buckets: HashMap<OrgHash, Bucket>,
}

impl Term {
    fn bucket(
        &mut self,
        now_ms: Millis,
        org: OrgHash,
        limit: Limit,
        settings: &QuotaSettings,
    ) -> &mut Bucket {
        let (started_ms, handed_over) = (self.started_ms, &self.handed_over);
        let initial = if self.has_initial_level { settings.initial_level(&limit) } else { 0.0 };
        let bucket = self.buckets.entry(org).or_insert_with(|| {
            let level = |handed_over: &HandedOver| handed_over.levels.get(&org).copied();
            let level = handed_over.as_ref().and_then(level).unwrap_or(initial);
            Bucket::new(started_ms, limit, level)
        });
        bucket.set_limit(now_ms, limit);
        bucket
    }
}

/// The buckets of the groups that this daemon owns.
#[derive(Clone, Debug)]
pub struct Owner {
    incarnation: u64,
    settings: QuotaSettings,
    terms: Vec<Option<Term>>,
    /// When the last term of each group with initial levels began.
    initial_ms: Vec<Option<Millis>>,
    filters: HashMap<DaemonName, ReplayFilter>,
}

/// A request for credit, or a return of it, with its sender.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// The name of the sender.
    pub name: &'a DaemonName,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The number of the message.
    pub seq: u64,
}

impl Owner {
    /// Creates the state of a daemon that owns nothing.
    pub fn new(incarnation: u64, settings: QuotaSettings) -> Self {
        let terms = vec![None; usize::from(GROUPS)];
        let initial_ms = vec![None; usize::from(GROUPS)];
        Self { incarnation, settings, terms, initial_ms, filters: HashMap::new() }
    }

    /// Begins or ends terms, and returns the messages that hand over to the next owner.
    pub fn apply(
        &mut self,
        now_ms: Millis,
        change: Change,
        limits: &HashMap<OrgHash, Limit>,
    ) -> Option<(DaemonName, Message)> {
        match change {
            Change::Gained(group, handed_over) => {
                let has_initial_level = handed_over.is_none() && self.take_initial(now_ms, group);
                self.begin(now_ms, group, handed_over, has_initial_level);
                None
            }
            Change::GainedEarly(group, handed_over) => {
                self.begin(now_ms, group, handed_over, false);
                None
            }
            Change::Confirmed(group) => {
                self.confirm(now_ms, group, limits);
                None
            }
            Change::Lost(group) => {
                self.terms[usize::from(group)] = None;
                None
            }
            Change::Released(group, next) => {
                let mut term = self.terms[usize::from(group)].take()?;
                let term_id = term.id;
                let owned = limits.iter().filter(|(org, _)| group_of(**org) == group);
                let levels = owned.map(|(org, limit)| {
                    (*org, term.bucket(now_ms, *org, *limit, &self.settings).level(now_ms) as f32)
                });
                Some((next?, Message::HandOver { group, term: term_id, levels: levels.collect() }))
            }
        }
    }

    fn begin(
        &mut self,
        now_ms: Millis,
        group: u8,
        handed_over: Option<HandedOver>,
        has_initial_level: bool,
    ) {
        let id = self.incarnation.wrapping_add(now_ms);
        let started_ms = handed_over.as_ref().map_or(now_ms, |handed_over| handed_over.received_ms);
        let buckets = HashMap::new();
        let term = Term { id, started_ms, has_initial_level, handed_over, buckets };
        self.terms[usize::from(group)] = Some(term);
    }

    /// Returns whether buckets may get the initial level; a group that is lost and gained again within
    /// a window gets it once.
    fn take_initial(&mut self, now_ms: Millis, group: u8) -> bool {
        let initial_ms = &mut self.initial_ms[usize::from(group)];
        let window_ms = self.settings.window_ms;
        let is_due = initial_ms.is_none_or(|at_ms| now_ms > at_ms + window_ms);
        if is_due {
            *initial_ms = Some(now_ms);
        }
        is_due
    }

    /// Adds the initial level to the buckets of a term that began early without it.
    fn confirm(&mut self, now_ms: Millis, group: u8, limits: &HashMap<OrgHash, Limit>) {
        let term = &self.terms[usize::from(group)];
        if term.as_ref().is_none_or(|term| term.handed_over.is_some())
            || !self.take_initial(now_ms, group)
        {
            return;
        }
        let Some(term) = &mut self.terms[usize::from(group)] else { return };
        for (org, limit) in limits.iter().filter(|(org, _)| group_of(**org) == group) {
            let level = self.settings.initial_level(limit);
            term.bucket(now_ms, *org, *limit, &self.settings).raise(now_ms, level);
        }
    }

    /// Answers a request for credit, or returns `None` if it is a duplicate.
    pub fn grant(
        &mut self,
        now_ms: Millis,
        sender: Sender<'_>,
        org: OrgHash,
        limit: Limit,
        (need, ahead): (u32, u32),
    ) -> Option<Message> {
        if !self.is_new(sender) {
            return None;
        }
        let seq = sender.seq;
        let Some(term) = &mut self.terms[usize::from(group_of(org))] else {
            return Some(Message::NotOwner { seq, org });
        };
        let is_new = now_ms < term.started_ms + self.settings.window_ms;
        let id = term.id;
        let bucket = term.bucket(now_ms, org, limit, &self.settings);
        let mut granted = bucket.take(now_ms, need);
        // Credit ahead of demand comes only out of the upper half, so that it is not missing elsewhere.
        let spare = (bucket.level(now_ms) - limit.capacity() / 2.0).max(0.0) as u32;
        let ahead = ahead.min(spare);
        granted += bucket.take(now_ms, ahead);
        let retry_after_ms = bucket.wait_ms(now_ms).min(MAX_RETRY_AFTER_MS) as u32;
        Some(Message::Answer {
            seq,
            org,
            granted,
            term: id,
            take: bucket.last_take(),
            retry_after_ms,
            is_new,
        })
    }

    /// Takes back credits that were not spent, and returns how many fit into the bucket.
    pub fn take_back(
        &mut self,
        now_ms: Millis,
        sender: Sender<'_>,
        org: OrgHash,
        (term_id, take): (u64, u64),
        count: u32,
    ) -> u32 {
        if !self.is_new(sender) {
            return 0;
        }
        let term = self.terms[usize::from(group_of(org))].as_mut();
        let bucket = term.filter(|term| term.id == term_id).and_then(|t| t.buckets.get_mut(&org));
        bucket.map_or(0, |bucket| bucket.give_back(now_ms, take, count))
    }

    /// Cuts the buckets of organisations whose limit was lowered.
    pub fn set_limits(&mut self, now_ms: Millis, limits: &HashMap<OrgHash, Limit>) {
        for term in self.terms.iter_mut().flatten() {
            term.buckets.retain(|org, _| limits.contains_key(org));
            for (org, bucket) in &mut term.buckets {
                if let Some(limit) = limits.get(org) {
                    bucket.set_limit(now_ms, *limit);
                }
            }
        }
    }

    /// Removes what is kept about daemons that no longer exist.
    pub fn retain_senders(&mut self, is_known: impl Fn(&DaemonName) -> bool) {
        self.filters.retain(|name, _| is_known(name));
    }

    /// Returns whether a message is no duplicate.
    pub fn is_new(&mut self, sender: Sender<'_>) -> bool {
        let new = || ReplayFilter::new(sender.incarnation);
        let filter = self.filters.entry(sender.name.clone()).or_insert_with(new);
        filter.accept(sender.incarnation, sender.seq)
    }
}
