//! Seeded days on which replicas leave, records lapse and daemons are cut off, frozen and restarted.

mod fleet;

use catalog::ReplicaSet;
use fleet::Action;
use fleet::DAEMONS;
use fleet::Fleet;
use fleet::REPLICAS;
use fleet::store::Failure;
use rand::Rng;
use rand::seq::SliceRandom;
use wire::Millis;
use wire::ReplicaRecord;

const SEEDS: u64 = 24;
/// When the daemons have found each other and have the first list.
const START_MS: Millis = 4_000;
const DAY_MS: Millis = 16_000;
/// How long the fleet gets to have one list again.
const SETTLE_MS: Millis = 6_000;

/// Lets replicas leave in different ways and others arrive.
fn plan_departures(fleet: &mut Fleet, from_ms: Millis, to_ms: Millis, every_ms: Millis) {
    let mut numbers: Vec<usize> = (0..REPLICAS).collect();
    numbers.shuffle(&mut fleet.random);
    let mut at_ms = from_ms;
    for number in numbers.into_iter().take(REPLICAS - 3) {
        at_ms += fleet.random.gen_range(every_ms / 2..every_ms * 3 / 2);
        if at_ms >= to_ms {
            return;
        }
        match fleet.random.gen_range(0..4) {
            0 => fleet.at(at_ms, Action::Stop(number)),
            1 => fleet.at(at_ms, Action::Remove(number)),
            _ => {
                let gone_ms = at_ms + fleet.random.gen_range(300..2_500);
                fleet.between(at_ms, gone_ms, Action::Drain(number), Action::Remove(number));
            }
        }
        if fleet.random.gen_bool(0.3) {
            fleet.at(at_ms + 100, Action::Arrive);
        }
    }
}

/// Runs days of one kind and reports every violation.
fn check_days(plan: impl Fn(&mut Fleet)) {
    let mut faults = Vec::new();
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        plan(&mut fleet);
        fleet.run_until(DAY_MS + SETTLE_MS);
        let differing = fleet.differing();
        if !differing.is_empty() {
            faults.push(format!("seed {seed}: {differing:?} use others than the store has"));
        }
        fleet.replay_old_views();
        let differing = fleet.differing();
        if !differing.is_empty() {
            faults.push(format!("seed {seed}: {differing:?} use others after old views"));
        }
        faults.extend(fleet.faults.iter().map(|((daemon, replica, fault), (from_ms, to_ms))| {
            format!("seed {seed}: d{daemon}, r{replica}: {fault:?} from {from_ms} to {to_ms} ms")
        }));
    }
    assert!(faults.is_empty(), "{} violations:\n{}", faults.len(), faults.join("\n"));
}

fn failure(fleet: &mut Fleet) -> Failure {
    if fleet.random.gen_bool(0.5) { Failure::Silent } else { Failure::Refused }
}

fn plan_cuts_of_half(fleet: &mut Fleet) {
    let mut daemons: Vec<usize> = (0..DAEMONS).collect();
    daemons.shuffle(&mut fleet.random);
    let half = &daemons[..DAEMONS / 2];
    let first_ms = START_MS + fleet.random.gen_range(0..1_600);
    for (index, from_ms) in (first_ms..DAY_MS).step_by(1_600).enumerate() {
        let failure = if index % 2 == 0 { Failure::Silent } else { Failure::Refused };
        for daemon in half {
            let (begin, end) =
                (Action::CutStore(*daemon, Some(failure)), Action::CutStore(*daemon, None));
            fleet.between(from_ms, from_ms + 600, begin, end);
        }
    }
}

// Guards against requests to replicas that have left while half of the daemons lose the store again and again.
#[test]
fn departure_is_known_in_time_while_half_of_the_daemons_lose_the_store() {
    check_days(|fleet| {
        plan_cuts_of_half(fleet);
        plan_departures(fleet, START_MS, DAY_MS, 1_200);
    });
}

// Guards against a hold that single lost calls start anew.
#[test]
fn departure_is_known_in_time_while_half_of_the_daemons_lose_single_calls() {
    check_days(|fleet| {
        let every_ms = if fleet.seed.is_multiple_of(2) { 1_000 } else { 2_000 };
        for daemon in 0..DAEMONS / 2 {
            let first_ms = START_MS + fleet.random.gen_range(0..every_ms);
            for from_ms in (first_ms..DAY_MS).step_by(every_ms as usize) {
                if daemon % 2 == 0 {
                    fleet.at(from_ms, Action::LoseCall(daemon));
                    continue;
                }
                let failure = failure(fleet);
                let (begin, end) =
                    (Action::CutStore(daemon, Some(failure)), Action::CutStore(daemon, None));
                let for_ms = fleet.random.gen_range(30..350);
                fleet.between(from_ms, from_ms + for_ms, begin, end);
            }
        }
        plan_departures(fleet, START_MS, DAY_MS, 1_200);
    });
}

// Guards against a departure that is lost when the watch moves from daemon to daemon.
#[test]
fn departure_is_known_in_time_while_watchers_lose_the_store_one_after_another() {
    check_days(|fleet| {
        let mut at_ms = START_MS;
        while at_ms < DAY_MS {
            let failure = failure(fleet);
            let for_ms = fleet.random.gen_range(300..2_000);
            let index = fleet.random.gen_range(0..3);
            fleet.at(at_ms, Action::CutWatcher(index, failure, for_ms));
            at_ms += fleet.random.gen_range(500..1_500);
        }
        plan_departures(fleet, START_MS, DAY_MS, 1_200);
    });
}

// Guards against a departure that no daemon learns of, since all watchers wait for answers at once.
#[test]
fn departure_is_known_in_time_while_all_watchers_lose_the_store_at_once() {
    check_days(|fleet| {
        let mut at_ms = START_MS;
        while at_ms < DAY_MS {
            let for_ms = fleet.random.gen_range(500..3_000);
            fleet.at(at_ms, Action::CutAllWatchers(Failure::Silent, for_ms));
            at_ms += for_ms + fleet.random.gen_range(500..3_000);
        }
        plan_departures(fleet, START_MS, DAY_MS, 1_200);
    });
}

/// Lets some daemons be cut off in different ways, frozen and restarted.
fn plan_disturbances(fleet: &mut Fleet) {
    for daemon in 0..DAEMONS / 2 {
        let mut at_ms = START_MS + fleet.random.gen_range(0..2_000);
        while at_ms < DAY_MS {
            let end_ms = at_ms + fleet.random.gen_range(300..4_000);
            let failure = failure(fleet);
            let mut cut = |begin, end| fleet.between(at_ms, end_ms, begin, end);
            let store = Action::CutStore(daemon, Some(failure));
            let store_back = Action::CutStore(daemon, None);
            let peers_back = Action::CutPeers(daemon, false, false);
            match at_ms % 7 {
                0 => cut(store, store_back),
                1 => cut(Action::CutPeers(daemon, true, true), peers_back),
                2 => {
                    cut(store, store_back);
                    cut(Action::CutPeers(daemon, true, true), peers_back);
                }
                3 => cut(Action::CutPeers(daemon, true, false), peers_back),
                4 => cut(Action::CutPeers(daemon, false, true), peers_back),
                5 => cut(Action::Freeze(daemon, true), Action::Freeze(daemon, false)),
                _ => {
                    cut(Action::Freeze(daemon, true), Action::Restart(daemon));
                    fleet.at(end_ms, Action::Freeze(daemon, false));
                }
            }
            at_ms = end_ms + fleet.random.gen_range(200..3_000);
        }
    }
}

// Guards against views of daemons that were cut off or frozen, which arrive after those of others.
#[test]
fn departure_is_known_in_time_while_daemons_are_cut_off_frozen_and_restarted() {
    check_days(|fleet| {
        plan_disturbances(fleet);
        plan_departures(fleet, START_MS, DAY_MS, 1_200);
    });
}

fn plan_outage(fleet: &mut Fleet) -> Millis {
    let down_ms = START_MS + fleet.random.gen_range(2_000..4_000);
    let failure = failure(fleet);
    let (begin, end) = (Action::StoreDown(Some(failure)), Action::StoreDown(None));
    fleet.between(down_ms, down_ms + 4_500, begin, end);
    down_ms
}

// Guards against live replicas being dropped after an outage in which their records lapsed.
#[test]
fn live_replicas_stay_in_use_through_an_outage() {
    check_days(|fleet| {
        plan_outage(fleet);
    });
}

// Guards against an outage that is hidden by heartbeats which arrive seconds late, so that live replicas are dropped.
#[test]
fn live_replicas_stay_in_use_through_an_outage_with_late_heartbeats() {
    check_days(|fleet| {
        fleet.very_late_percent = 5;
        plan_outage(fleet);
    });
}

// Guards against departures that are missed since heartbeats that arrive seconds late are not believed.
#[test]
fn departures_around_an_outage_with_late_heartbeats_are_known() {
    check_days(|fleet| {
        fleet.very_late_percent = 5;
        plan_outage(fleet);
        plan_departures(fleet, START_MS, DAY_MS, 1_000);
    });
}

// Guards against a hold that stays at peers because another watcher never saw the record missing.
#[test]
fn return_that_one_watcher_never_saw_missing_reaches_peers() {
    let fleet = Fleet::new(0);
    let all: Vec<ReplicaRecord> =
        fleet.store.replicas.iter().map(|replica| replica.record.clone()).collect();
    let mut sets: Vec<ReplicaSet> = (0..3).map(|_| ReplicaSet::default()).collect();
    for set in &mut sets {
        set.replace(0, 12, all.clone());
    }
    let [first, second, peer] = &mut sets[..] else { return };
    // The first watcher lists while a record has expired, the second one after its return.
    first.record_store_answer(9_000, 9_000);
    first.replace(9_000, 26, all[1..].to_vec());
    peer.merge_view(9_010, first.view_since(9_010, peer.revision()));
    assert!(peer.is_missing(&all[0].name));
    let mut returned = all.clone();
    returned[1].slots += 1;
    second.record_store_answer(9_500, 9_500);
    second.replace(9_500, 28, returned);
    let since = peer.revision();
    peer.merge_view(9_510, second.view_since(9_510, since));
    if peer.digest() != second.digest() {
        peer.merge_view(9_520, second.view(9_520));
    }
    assert!(!peer.is_missing(&all[0].name));
}

// Guards against departures that are missed, and live replicas that are dropped, around an outage.
#[test]
fn departures_around_an_outage_are_known_and_live_replicas_stay_in_use() {
    check_days(|fleet| {
        plan_outage(fleet);
        plan_departures(fleet, START_MS, DAY_MS, 1_000);
    });
}

// Guards against either fault while other daemons are cut off around an outage as well.
#[test]
fn departures_around_an_outage_are_known_while_daemons_are_cut_off() {
    check_days(|fleet| {
        plan_outage(fleet);
        if fleet.seed.is_multiple_of(2) {
            plan_cuts_of_half(fleet);
        } else {
            plan_disturbances(fleet);
        }
        plan_departures(fleet, START_MS, DAY_MS, 1_000);
    });
}
