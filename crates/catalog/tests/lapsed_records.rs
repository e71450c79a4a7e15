//! Tests of records that expire during an outage of the store, over three watchers and their peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use catalog::ReplicaChange;
use catalog::ReplicaSet;
use catalog::ReplicaView;
use catalog::replicas::HOLD_SPREAD_MS;
use catalog::replicas::MISSING_HOLD_MS;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use wire::Millis;
use wire::ReplicaRecord;

const WATCHERS: usize = 3;
const DAEMONS: usize = 7;
const REPLICAS: usize = 6;
const SEEDS: u64 = 400;
/// Records are renewed within this time after the store's return.
const RENEWAL_MS: Millis = 2_000;
const STEP_MS: Millis = 50;
const HEARTBEAT_MS: Millis = 200;
/// How long after the store's first answer replicas whose records have not returned get requests.
const GONE_AFTER_MS: Millis = MISSING_HOLD_MS + HOLD_SPREAD_MS + 5 * HEARTBEAT_MS;

fn replica(number: usize) -> ReplicaRecord {
    ReplicaRecord {
        name: format!("r{number}").as_str().into(),
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: "a".into(),
        slots: 8,
        is_draining: false,
        cold_left_ms: 0,
        started_unix_ms: 1,
    }
}

fn all_replicas() -> Vec<ReplicaRecord> {
    (0..REPLICAS).map(replica).collect()
}

fn names(set: &ReplicaSet) -> BTreeSet<String> {
    set.records().map(|record| record.name.to_string()).collect()
}

fn usable_names(set: &ReplicaSet) -> BTreeSet<String> {
    set.usable_records().map(|record| record.name.to_string()).collect()
}

// Guards against live replicas being dropped everywhere after an outage in which their records lapsed.
#[test]
fn record_that_returns_unchanged_is_not_dropped_by_peers() {
    let mut watcher = ReplicaSet::default();
    watcher.replace(0, 10, vec![replica(0), replica(1)]);
    watcher.record_store_answer(5_000, 5_000);
    watcher.replace(5_000, 20, vec![ReplicaRecord { slots: 4, ..replica(1) }]);
    let mut peer = ReplicaSet::default();
    peer.merge_view(5_010, watcher.view(5_010));
    watcher.apply(6_000, 21, ReplicaChange::Set(replica(0)));
    peer.tick(5_000 + 2 * MISSING_HOLD_MS);
    assert_eq!(peer.records().count(), 2);
    assert!(peer.revision() <= watcher.revision(), "only the store numbers changes");
    peer.merge_view(8_000, watcher.view_since(8_000, peer.revision()));
    assert_eq!((peer.next_hold_end_ms(), peer.digest()), (None, watcher.digest()));
    assert_eq!(usable_names(&peer).len(), 2);
}

// Guards against a replica that stays unusable although its record came back after the hold.
#[test]
fn record_that_returns_after_the_hold_is_usable_again_at_all_daemons() {
    let mut watcher = ReplicaSet::default();
    let mut peer = ReplicaSet::default();
    watcher.replace(0, 10, all_replicas());
    peer.merge_view(0, watcher.view(0));
    watcher.record_store_answer(5_000, 5_000);
    watcher.apply(5_000, 20, ReplicaChange::Gone("r0".into()));
    peer.merge_view(5_010, watcher.view_since(5_010, 10));
    let generation = peer.generation();
    for now_ms in (5_050..5_000 + 2 * MISSING_HOLD_MS).step_by(STEP_MS as usize) {
        watcher.record_store_answer(now_ms, now_ms);
        let report = watcher.contact().report(now_ms).expect("the store answers");
        for set in [&mut watcher, &mut peer] {
            set.merge_contact(now_ms, report);
            set.tick(now_ms);
        }
    }
    for set in [&watcher, &peer] {
        assert_eq!((usable_names(set).len(), names(set).len()), (REPLICAS - 1, REPLICAS));
    }
    assert_ne!(peer.generation(), generation);
    let now_ms = 5_000 + 2 * MISSING_HOLD_MS;
    watcher.apply(now_ms, 21, ReplicaChange::Set(replica(0)));
    peer.merge_view(now_ms, watcher.view_since(now_ms, peer.revision()));
    for set in [&watcher, &peer] {
        assert_eq!(usable_names(set).len(), REPLICAS);
    }
}

// Guards against a peer's older removal of a record that the store has listed again since.
#[test]
fn older_removal_does_not_undo_return_that_watch_has_shown() {
    let mut first = ReplicaSet::default();
    let mut second = ReplicaSet::default();
    for watcher in [&mut first, &mut second] {
        watcher.replace(0, 10, all_replicas());
    }
    first.apply(1, 20, ReplicaChange::Gone("r0".into()));
    assert_eq!(second.apply(2, 21, ReplicaChange::Set(replica(0))), None);
    second.merge_view(3, first.view_since(3, second.revision()));
    assert_eq!(names(&second).len(), REPLICAS);
    let mut peer = ReplicaSet::default();
    peer.merge_view(4, first.view(4));
    peer.merge_view(5, second.view_since(5, peer.revision()));
    assert_eq!(names(&peer).len(), REPLICAS, "the return reaches peers that merged the removal");
}

/// The store's records, with the changes by revision.
#[derive(Default)]
struct Store {
    revision: u64,
    records: BTreeMap<usize, ReplicaRecord>,
    changes: Vec<(u64, ReplicaChange)>,
}

impl Store {
    fn set(&mut self, number: usize) {
        self.revision += 1;
        let record = replica(number);
        self.records.insert(number, record.clone());
        self.changes.push((self.revision, ReplicaChange::Set(record)));
    }

    fn remove(&mut self, number: usize) {
        self.revision += 1;
        if let Some(record) = self.records.remove(&number) {
            self.changes.push((self.revision, ReplicaChange::Gone(record.name)));
        }
    }
}

/// One daemon; a watcher has a cursor.
#[derive(Default)]
struct Daemon {
    set: ReplicaSet,
    cursor: Option<u64>,
}

impl Daemon {
    fn read(&mut self, now_ms: Millis, store: &Store) {
        self.set.record_store_answer(now_ms, now_ms);
        let hold_has_ended = self.set.next_hold_end_ms().is_some_and(|end_ms| end_ms <= now_ms);
        match self.cursor {
            Some(cursor) if !hold_has_ended => {
                for (revision, change) in store.changes.iter().filter(|(at, _)| *at > cursor) {
                    self.set.apply(now_ms, *revision, change.clone());
                }
            }
            _ => {
                let records = store.records.values().cloned().collect();
                self.set.replace(now_ms, store.revision, records);
            }
        }
        self.cursor = Some(store.revision);
    }
}

struct Fleet {
    random: StdRng,
    store: Store,
    daemons: Vec<Daemon>,
    in_flight: Vec<(usize, ReplicaView)>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut store = Store::default();
        (0..REPLICAS).for_each(|number| store.set(number));
        let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|_| Daemon::default()).collect();
        for daemon in &mut daemons {
            daemon.set.replace(0, store.revision, all_replicas());
        }
        for watcher in &mut daemons[..WATCHERS] {
            watcher.cursor = Some(store.revision);
        }
        Self { random: StdRng::seed_from_u64(seed), store, daemons, in_flight: Vec::new() }
    }

    /// Sends a view from a random daemon to another, and delivers, reorders or loses an earlier one.
    fn exchange_views(&mut self, now_ms: Millis) {
        let from = self.random.gen_range(0..DAEMONS);
        let to = self.random.gen_range(0..DAEMONS);
        if from != to {
            let view = self.pulled_view(now_ms, from, to);
            self.in_flight.push((to, view));
        }
        self.in_flight.shuffle(&mut self.random);
        let Some((to, view)) = self.in_flight.pop() else { return };
        if self.random.gen_bool(0.8) {
            self.daemons[to].set.merge_view(now_ms, view);
        }
    }

    /// Lets each daemon hear from each other one every `HEARTBEAT_MS`, with losses, and ask for what it
    /// lacks.
    fn exchange_heartbeats(&mut self, now_ms: Millis) {
        for from in 0..DAEMONS {
            for to in (0..DAEMONS).filter(|to| *to != from) {
                let turn = now_ms / STEP_MS + from as Millis;
                let is_due = turn.is_multiple_of(HEARTBEAT_MS / STEP_MS);
                if !is_due || self.random.gen_bool(0.2) {
                    continue;
                }
                let report = self.daemons[from].set.contact().report(now_ms);
                if let Some(report) = report {
                    self.daemons[to].set.merge_contact(now_ms, report);
                }
                let since = self.daemons[to].set.revision();
                if self.daemons[from].set.revision() > since {
                    let view = self.daemons[from].set.view_since(now_ms, since);
                    self.daemons[to].set.merge_view(now_ms, view);
                }
            }
        }
        for daemon in &mut self.daemons {
            daemon.set.tick(now_ms);
        }
    }

    fn pulled_view(&mut self, now_ms: Millis, from: usize, to: usize) -> ReplicaView {
        let since = self.daemons[to].set.revision();
        let is_complete = self.random.gen_bool(0.3);
        self.daemons[from].set.view_since(now_ms, if is_complete { 0 } else { since })
    }

    /// Lets every daemon pull from every watcher until nothing is in flight.
    fn settle(&mut self, now_ms: Millis) {
        self.in_flight.clear();
        for _ in 0..2 {
            for to in 0..DAEMONS {
                for from in 0..WATCHERS {
                    let view =
                        self.daemons[from].set.view_since(now_ms, self.daemons[to].set.revision());
                    self.daemons[to].set.merge_view(now_ms, view);
                    let view = self.daemons[from].set.view(now_ms);
                    self.daemons[to].set.merge_view(now_ms, view);
                }
            }
        }
    }
}

// Guards against any order of holds, returns and peers' views in which a live replica is dropped.
#[test]
fn live_replicas_stay_in_use_at_all_daemons_after_an_outage() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        let dead = fleet.random.gen_range(0..REPLICAS);
        (0..REPLICAS).for_each(|number| fleet.store.remove(number));
        let mut renewals: Vec<(Millis, usize)> = (0..REPLICAS)
            .filter(|number| *number != dead)
            .map(|number| (fleet.random.gen_range(0..RENEWAL_MS), number))
            .collect();
        for watcher in &mut fleet.daemons[..WATCHERS] {
            watcher.cursor = None;
        }
        let mut first_answer_ms = None;
        let cut_off = fleet.random.gen_range(0..WATCHERS);
        for now_ms in (0..2 * MISSING_HOLD_MS).step_by(STEP_MS as usize) {
            renewals.retain(|(at_ms, number)| {
                let is_due = *at_ms <= now_ms;
                if is_due {
                    fleet.store.set(*number);
                }
                !is_due
            });
            let reader = fleet.random.gen_range(0..WATCHERS);
            if reader != cut_off {
                fleet.daemons[reader].read(now_ms, &fleet.store);
                first_answer_ms = first_answer_ms.or(Some(now_ms));
            }
            let is_over =
                first_answer_ms.is_some_and(|first_ms| now_ms >= first_ms + GONE_AFTER_MS);
            (0..4).for_each(|_| fleet.exchange_views(now_ms));
            fleet.exchange_heartbeats(now_ms);
            for (number, daemon) in fleet.daemons.iter().enumerate() {
                let usable = usable_names(&daemon.set);
                let is_dead_usable = usable.contains(&replica(dead).name.to_string());
                assert!(
                    usable.len() == REPLICAS - usize::from(!is_dead_usable)
                        && !(is_dead_usable && is_over),
                    "seed {seed}: daemon {number} uses {usable:?} at {now_ms} ms, r{dead} is gone"
                );
            }
        }
        let end_ms = 2 * MISSING_HOLD_MS;
        fleet.daemons[cut_off].cursor = None;
        for watcher in &mut fleet.daemons[..WATCHERS] {
            watcher.read(end_ms, &fleet.store);
        }
        fleet.settle(end_ms);
        let listed: BTreeSet<String> =
            fleet.store.records.values().map(|record| record.name.to_string()).collect();
        for (number, daemon) in fleet.daemons.iter().enumerate() {
            assert_eq!(names(&daemon.set), listed, "seed {seed}: daemon {number}");
        }
    }
}

// Guards against a hold that stays at a peer since the daemon that it asks never saw the record go.
#[test]
fn return_reaches_a_peer_through_a_daemon_that_did_not_see_the_record_go() {
    let (mut first, mut second) = (ReplicaSet::default(), ReplicaSet::default());
    let (mut peer, mut relay) = (ReplicaSet::default(), ReplicaSet::default());
    for set in [&mut first, &mut second] {
        set.replace(0, 10, all_replicas());
        set.record_store_answer(5_000, 5_000);
    }
    peer.merge_view(0, first.view(0));
    relay.merge_view(0, first.view(0));
    first.apply(5_000, 20, ReplicaChange::Gone("r0".into()));
    peer.merge_view(5_010, first.view_since(5_010, 10));
    assert!(peer.is_missing(&"r0".into()));
    // The record is back before the second watcher lists, so that nothing changes there.
    second.replace(5_100, 21, all_replicas());
    relay.merge_view(5_110, second.view_since(5_110, 10));
    peer.merge_view(5_120, relay.view_since(5_120, peer.revision()));
    assert!(!peer.is_missing(&"r0".into()));
}

// Guards against a hold that stays at a peer since one answer showed another watcher only the return.
#[test]
fn return_that_a_watch_call_shows_without_the_removal_reaches_peers() {
    let (mut first, mut second) = (ReplicaSet::default(), ReplicaSet::default());
    for set in [&mut first, &mut second] {
        set.replace(0, 10, all_replicas());
        set.record_store_answer(5_000, 5_000);
    }
    let mut peer = ReplicaSet::default();
    peer.merge_view(0, first.view(0));
    first.apply(5_000, 20, ReplicaChange::Gone("r0".into()));
    peer.merge_view(5_010, first.view_since(5_010, 10));
    assert!(peer.is_missing(&"r0".into()));
    second.apply(5_100, 21, ReplicaChange::Set(replica(0)));
    peer.merge_view(5_120, second.view_since(5_120, peer.revision()));
    assert!(!peer.is_missing(&"r0".into()));
}
