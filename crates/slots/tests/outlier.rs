//! Tests of outlier detection, each at a load that its doc comment names.

#[allow(dead_code, reason = "each test file uses a part of the model")]
mod fleet;

use peers::Topic;
use peers::transport::decode;
use peers::transport::decode_prefix;
use peers::transport::encode;
use slots::balancer::Balancer;
use slots::message::Class;
use slots::message::Load;
use slots::message::LoadReport;
use slots::message::Ticket;
use slots::message::ToOwner;
use slots::outcomes::OutcomeReport;
use slots::outlier::Detector;
use slots::outlier::HealthSummary;
use slots::outlier::ServiceReplica;
use slots::outlier::Stage;
use slots::outlier::bounded_limits;
use slots::outlier::service_rate;
use wire::ReplicaRecord;

use crate::fleet::Fleet;
use crate::fleet::Run;
use crate::fleet::SLOTS;
use crate::fleet::Size;

/// The duration of a sound run at a replica, in milliseconds.
const RUN_MS: u64 = 300;
/// The failure rate of a sound service.
const SOUND_RATE: f64 = 0.0;
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];
const FAULT_AT_MS: u64 = 3_000;
/// 77 daemons with 3 requests a second each.
const USUAL: Size = Size { daemons: 77, replicas: 45, requests_per_s: 231.0, poisonous: 0.0 };

fn successes(count: u16) -> OutcomeReport {
    OutcomeReport { successes: count, failures: Vec::new() }
}

fn failure(request: u32) -> OutcomeReport {
    OutcomeReport { successes: 0, failures: vec![request] }
}

/// Fails replicas 0 to 5 at once for 5.5 s.
fn six_fail_fast(run: &Run) -> (u64, bool) {
    let is_faulty = run.replica < 6 && (FAULT_AT_MS..FAULT_AT_MS + 5_500).contains(&run.at_ms);
    if is_faulty { (3, false) } else { (RUN_MS, true) }
}

/// 77 daemons, 45 replicas of which 6 answer 500 at once for 5.5 s, 231 requests a second. Sound
/// replicas get all others at best; 4 outcomes a replica and 3 trials are 42. A share of the service
/// would be 169. Guards against replicas that look empty because they fail fast.
#[test]
fn replicas_that_fail_fast_lose_few_requests() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(USUAL, six_fail_fast, true, seed);
        fleet.run_until(FAULT_AT_MS + 5_500);
        let lost = fleet.total_lost();
        println!("seed {seed}: lost {lost}, taken out {}", fleet.taken_out());
        assert!(lost <= 60, "seed {seed}: lost {lost}");
        assert_eq!(fleet.refused, 0, "seed {seed}");
        assert!(fleet.out_at_ms[6..].iter().all(Option::is_none), "seed {seed}: sound ones");
        fleet.run_until(FAULT_AT_MS + 5_500 + 20_000);
        for replica in 0..6 {
            assert_eq!(fleet.stage(replica), Stage::Full, "seed {seed}: replica {replica}");
        }
    }
}

/// The same fleet without the feature, which shows what the model loses today.
#[test]
fn the_model_shows_the_loss_without_detection() {
    let mut fleet = Fleet::new(USUAL, six_fail_fast, false, 1);
    fleet.run_until(FAULT_AT_MS + 5_500);
    println!("without detection: lost {}", fleet.total_lost());
    assert!(fleet.total_lost() > 169, "lost {}", fleet.total_lost());
}

/// The same at 0.9 of the capacity (1,080 of 1,200 requests a second), where the other 39 replicas cannot take all. Runs at
/// the failing ones help nobody, so that at best 4 outcomes a replica and 5 trials are lost, 54. Guards against
/// replicas that get all slots back under load, since they were sound a few seconds before.
#[test]
fn replicas_that_fail_all_requests_stay_out_under_load() {
    const BEST_LOST: u64 = 54;
    let size = Size { requests_per_s: 1_080.0, ..USUAL };
    for seed in SEEDS {
        let mut fleet = Fleet::new(size, six_fail_fast, true, seed);
        fleet.run_until(FAULT_AT_MS + 5_500);
        let lost = fleet.total_lost();
        println!("seed {seed}: lost {lost} under load, refused {}", fleet.refused);
        assert!(lost <= 2 * BEST_LOST, "seed {seed}: lost {lost}");
        assert!(lost + fleet.refused <= 4 * BEST_LOST, "seed {seed}: refused {}", fleet.refused);
    }
}

/// A replica that was sound until it failed four times in a row. Guards against a share of failures that its
/// outcomes before the fault hide: its slots would count as useful.
#[test]
fn the_failure_share_of_a_reduced_replica_counts_from_the_change() {
    let mut detector = Detector::default();
    for number in 0..30 {
        detector.record(number * 100, number, &successes(1), SOUND_RATE);
    }
    assert_eq!(detector.summary().outcomes, 30);
    for number in 0..4 {
        detector.record(3_000 + number, number, &failure(number as u32), SOUND_RATE);
    }
    assert_eq!(detector.stage(), Stage::Out);
    assert!(detector.summary().failure_share() > 0.9, "{:?}", detector.summary());
    let replica = |name: &str, limit: u32, summary: HealthSummary| ServiceReplica {
        name: name.into(),
        slots: SLOTS,
        limit,
        demand: SLOTS,
        summary,
    };
    let failing = replica("failing", 0, detector.summary());
    let sound = replica("sound", SLOTS, HealthSummary::default());
    assert_eq!(bounded_limits(&[failing, sound]), [0, SLOTS]);
}

/// 0.14 of a service, 6 of 45 replicas, fail 0.4 of their requests from 3 s on, 231 requests a second.
/// At best each is found after the 13 outcomes that 0.4 needs, 5 of them failures: 31 in all. Their
/// usual share for 17 s would lose 209. A few keep some requests, since the cost of their failures
/// already leaves them too few outcomes for more evidence.
#[test]
fn replicas_that_fail_a_part_of_their_requests_are_found() {
    fn behaviour(run: &Run) -> (u64, bool) {
        let is_faulty = run.replica < 6 && run.at_ms >= FAULT_AT_MS;
        (RUN_MS, !is_faulty || run.random >= 0.4)
    }
    for seed in SEEDS {
        let mut fleet = Fleet::new(USUAL, behaviour, true, seed);
        fleet.run_until(20_000);
        let lost = fleet.total_lost();
        println!("seed {seed}: lost {lost}, out at {:?}", &fleet.out_at_ms[..6]);
        assert!(fleet.out_at_ms[6..].iter().all(Option::is_none), "seed {seed}: sound ones");
        assert!(lost <= 70, "seed {seed}: lost {lost}");
        assert_eq!(fleet.refused, 0, "seed {seed}");
    }
}

/// One of 77 daemons fails all its requests, and one of 3. Best: no replica is taken out.
#[test]
fn a_daemon_with_a_broken_link_takes_nothing_out() {
    fn behaviour(run: &Run) -> (u64, bool) {
        if run.daemon == 0 { (3, false) } else { (RUN_MS, true) }
    }
    let few = Size { daemons: 3, replicas: 4, requests_per_s: 30.0, ..USUAL };
    for size in [USUAL, few] {
        for seed in SEEDS {
            let mut fleet = Fleet::new(size, behaviour, true, seed);
            fleet.run_until(20_000);
            assert_eq!(fleet.taken_out(), 0, "{} daemons, seed {seed}", size.daemons);
        }
    }
}

/// A daemon that alone uses a replica is believed; one of two is not.
#[test]
fn reports_of_one_daemon_count_only_if_no_other_uses_the_replica() {
    let mut alone = Detector::default();
    let mut shared = Detector::default();
    shared.record(0, 2, &successes(1), SOUND_RATE);
    for request in 0..20 {
        let at_ms = u64::from(request) * 100;
        alone.record(at_ms, 1, &failure(request), SOUND_RATE);
        shared.record(at_ms, 1, &failure(request), SOUND_RATE);
    }
    assert_eq!(alone.stage(), Stage::Out);
    assert_eq!(shared.stage(), Stage::Full);
}

/// One request that fails at every run and is sent to each replica 30 times, between successes.
#[test]
fn a_request_that_fails_everywhere_takes_nothing_out() {
    let mut detector = Detector::default();
    for round in 0..30 {
        detector.record(round * 10, round, &failure(7), SOUND_RATE);
        assert_eq!(detector.stage(), Stage::Full, "round {round}");
    }
}

/// A client sends requests of which each fails at any replica, a fifth of 231 a second. Best: no
/// replica is taken out, since all fail alike.
#[test]
fn poisonous_requests_take_nothing_out() {
    fn behaviour(run: &Run) -> (u64, bool) {
        if run.is_poisonous { (3, false) } else { (RUN_MS, true) }
    }
    for seed in SEEDS {
        let size = Size { poisonous: 0.2, ..USUAL };
        let mut fleet = Fleet::new(size, behaviour, true, seed);
        fleet.run_until(20_000);
        assert_eq!(fleet.taken_out(), 0, "seed {seed}");
        assert_eq!(fleet.refused, 0, "seed {seed}");
    }
}

/// 22 of 45 replicas fail all requests after 300 ms, at 231 requests a second, which need 69 of 360
/// slots. Best: 4 outcomes each, 88, and 4 trials each, 88, are lost, and the sound half serves all.
#[test]
fn half_of_a_failing_service_leaves_enough_capacity() {
    fn behaviour(run: &Run) -> (u64, bool) {
        (RUN_MS, run.replica >= 22 || run.at_ms < FAULT_AT_MS)
    }
    for seed in SEEDS {
        let mut fleet = Fleet::new(USUAL, behaviour, true, seed);
        fleet.run_until(20_000);
        println!("seed {seed}: lost {}, least {}", fleet.total_lost(), fleet.least_granted);
        assert!(fleet.least_granted >= 80, "seed {seed}: {} slots", fleet.least_granted);
        assert_eq!(fleet.refused, 0, "seed {seed}");
    }
}

/// At 8 replicas and 60 of 64 slots in demand, no slot of a replica that still serves half of its
/// runs is affordable; one that serves none costs nothing.
#[test]
fn no_more_is_withheld_than_the_load_allows() {
    let replica = |index: usize, limit, failures| ServiceReplica {
        name: format!("r{index}").into(),
        slots: SLOTS,
        limit,
        demand: if index == 0 { 4 } else { 8 },
        summary: HealthSummary { outcomes: 10, failures, run_ms: 0 },
    };
    let sound: Vec<ServiceReplica> = (1..8).map(|index| replica(index, SLOTS, 0)).collect();
    let limits = |first: ServiceReplica| {
        let all: Vec<ServiceReplica> = std::iter::once(first).chain(sound.clone()).collect();
        bounded_limits(&all)[0]
    };
    assert_eq!(limits(replica(0, 0, 5)), SLOTS);
    assert_eq!(limits(replica(0, 0, 10)), 0);
    let idle: Vec<ServiceReplica> =
        (0..8).map(|index| ServiceReplica { demand: 0, ..replica(index, 0, 10) }).collect();
    let kept = bounded_limits(&idle).iter().filter(|limit| **limit == SLOTS).count();
    assert_eq!(kept, 4, "half of the replicas are kept when all fail");
    assert_eq!(bounded_limits(&idle[..1]), [SLOTS], "the only replica is kept");
}

#[test]
fn the_rate_of_a_service_follows_most_of_its_replicas() {
    let summary = |failures| HealthSummary { outcomes: 10, failures, run_ms: 0 };
    let rate = |shares: &[u8]| service_rate(shares.iter().map(|share| summary(*share)));
    assert!(rate(&[0, 0, 0, 10, 10]) < 0.05);
    assert!(rate(&[3, 3, 2, 3, 10]) > 0.25);
    assert!(rate(&[0, 10]) < 0.05, "of two, the better one counts");
}

/// A replica that recovers passes single trials and gets its slots back by degrees.
#[test]
fn a_sound_replica_is_restored_by_degrees() {
    let mut detector = Detector::default();
    for request in 0..4 {
        detector.record(0, u64::from(request), &failure(request), SOUND_RATE);
    }
    assert_eq!(detector.limit(399, SLOTS), 0);
    assert_eq!(detector.limit(400, SLOTS), 1);
    detector.record(400, 1, &failure(9), SOUND_RATE);
    assert_eq!(detector.limit(1_199, SLOTS), 0, "the pause doubles after a failed trial");
    let mut limits = Vec::new();
    for at_ms in 1_200..1_220 {
        detector.record(at_ms, at_ms % 3, &successes(1), SOUND_RATE);
        limits.push(detector.limit(at_ms, SLOTS));
    }
    limits.dedup();
    assert_eq!(limits, [1, 2, 4, 8]);
}

/// Runs that began before a replica was taken out end while it is out. Guards against a replica that is
/// restored by their successes, and against a trial that is delayed by their failures.
#[test]
fn runs_from_before_the_withdrawal_are_no_trials() {
    let mut detector = Detector::default();
    for request in 0..4 {
        let began_ms = Some(u64::from(request));
        detector.record_release(1_000, began_ms, u64::from(request), &failure(request), SOUND_RATE);
    }
    assert_eq!((detector.stage(), detector.limit(1_400, SLOTS)), (Stage::Out, 1));
    for holder in 0..6 {
        detector.record_release(1_400, Some(900), holder, &successes(1), SOUND_RATE);
        detector.record_release(1_400, None, holder, &successes(1), SOUND_RATE);
    }
    assert_eq!(detector.stage(), Stage::Out, "no trial succeeded");
    detector.record_release(1_400, Some(950), 1, &failure(9), SOUND_RATE);
    assert_eq!(detector.limit(1_400, SLOTS), 1, "no trial failed");
    for at_ms in 1_500..1_503 {
        detector.record_release(at_ms, Some(1_400), 1, &successes(4), SOUND_RATE);
    }
    assert_eq!(detector.stage(), Stage::Out, "one trial has one outcome");
    detector.record_release(1_503, Some(1_400), 1, &successes(1), SOUND_RATE);
    assert_eq!(detector.stage(), Stage::Quarter);
}

/// An owner of a build without outcomes takes over a replica whose former owner reported failures. Guards
/// against failures that cost the replica requests for as long as that owner stays.
#[test]
fn health_of_a_former_owner_ends_with_the_report_of_one_without_outcomes() {
    let mut balancer = Balancer::default();
    balancer.set_replicas_may_degrade(true);
    let report = LoadReport { replica: "a".into(), load: Load::default() };
    let failing = HealthSummary { outcomes: 60, failures: 60, run_ms: 300 };
    balancer.record_report(0, &report, Some(failing));
    assert_eq!(balancer.health(&report.replica), failing);
    balancer.record_report(100, &report, None);
    assert_eq!(balancer.health(&report.replica), HealthSummary::default());
}

/// A holder's outcomes travel after a complete message. Guards against datagrams that a build without
/// outcomes cannot read, and against outcomes that the next build cannot find.
#[test]
fn builds_without_outcomes_read_messages_with_them() {
    let message = ToOwner::Release { replica: "engine".into(), ticket: Ticket(7) };
    let report = OutcomeReport { successes: 1, failures: vec![3, 4] };
    let extended = encode(Topic::Slots, &(message.clone(), report.clone()));
    assert_eq!(decode::<ToOwner>(Topic::Slots, &extended), Some(message.clone()));
    let decoded = decode_prefix::<ToOwner>(Topic::Slots, &extended);
    let (decoded, rest) = decoded.expect("the message is complete");
    assert_eq!(decoded, message);
    let outcomes = decode_prefix::<OutcomeReport>(Topic::Slots, rest).map(|decoded| decoded.0);
    assert_eq!(outcomes, Some(report));

    let plain = encode(Topic::Slots, &message);
    let decoded = decode_prefix::<ToOwner>(Topic::Slots, &plain);
    assert_eq!(decoded, Some((message, &[][..])), "an older build appends nothing");
    println!("outcomes take {} bytes", extended.len() - plain.len());
}

/// A replica with 6 of 8 slots occupied by online requests beside an idle one that fails half of its
/// runs, and one whose owner grants nothing. Guards against a choice by emptiness alone.
#[test]
fn withheld_slots_and_failures_count_in_the_choice() {
    let replicas = [fleet::record(0), fleet::record(3), fleet::record(6)];
    let load = |slots, online| Load { slots, online, ..Load::default() };
    let mut balancer = Balancer::default();
    balancer.set_replicas_may_degrade(true);
    balancer.record_load(0, &replicas[0].name, load(8, 1));
    balancer.record_load(0, &replicas[1].name, load(8, 0));
    balancer
        .record_health(&replicas[1].name, HealthSummary { outcomes: 10, failures: 5, run_ms: 0 });
    balancer.record_load(0, &replicas[2].name, load(0, 0));
    let candidates: Vec<&ReplicaRecord> = replicas.iter().collect();
    let chosen = balancer.choose(1, &candidates, Class::Online, &"a".into(), || 0.5);
    assert_eq!(chosen.map(|record| &record.name), Some(&replicas[0].name));
    assert!(!balancer.has_capacity(&replicas[2], Class::Online));

    // A trial goes to a share of the requests, not by load.
    balancer.record_load(0, &replicas[2].name, load(1, 0));
    assert!(!balancer.has_capacity(&replicas[2], Class::Online));
    let first = balancer.choose(1, &candidates, Class::Online, &"a".into(), || 0.1);
    assert_eq!(first.map(|record| &record.name), Some(&replicas[2].name));
    balancer.set_replicas_may_degrade(false);
    let plain = balancer.choose(1, &candidates, Class::Online, &"a".into(), || 0.5);
    assert_ne!(plain.map(|record| &record.name), Some(&replicas[0].name), "off, the empty ones");
}

/// Guards against an ejection because of one faulty request.
#[test]
fn a_daemon_ejects_after_server_errors_of_two_requests() {
    let replica = fleet::record(0);
    let mut balancer = Balancer::default();
    assert_eq!(balancer.record_server_error(0, &replica.name, 1), 0);
    assert_eq!(balancer.record_server_error(0, &replica.name, 1), 0);
    balancer.record_success(&replica.name);
    assert_eq!(balancer.record_server_error(0, &replica.name, 2), 0);
    assert!(balancer.record_server_error(0, &replica.name, 3) > 0);
}
