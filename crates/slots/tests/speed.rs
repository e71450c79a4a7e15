//! Tests of placement among replicas of different speeds, each at a load that its comment names.

#[allow(dead_code, reason = "each test file uses a part of the model")]
mod fleet;

use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slots::balancer::Balancer;
use slots::message::Class;
use slots::message::Load;
use slots::speed;
use slots::speed::RunTimes;
use wire::ReplicaRecord;

use crate::fleet::Fleet;
use crate::fleet::Run;
use crate::fleet::SLOTS;
use crate::fleet::Size;

/// The mean duration of a run at speed 1, in milliseconds.
const RUN_MS: f64 = 300.0;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
const REPLICAS: usize = 45;
const WARM_UP_MS: u64 = 3_000;
const END_MS: u64 = 13_000;
const SEEDS: [u64; 3] = [1, 2, 3];

/// Returns the requests per second that occupy a share of all slots.
fn requests_per_s(share: f64, speed_sum_of_three: f64) -> f64 {
    share * f64::from(SLOTS) * REPLICAS as f64 / 3.0 * speed_sum_of_three * 1_000.0 / RUN_MS
}

fn run_ms(run: &Run, speed: f64) -> u64 {
    (RUN_MS * (0.5 + run.random) / speed) as u64
}

/// Plays a fleet and returns the time that each replica's slots were occupied after the warm-up.
fn play(size: Size, behaviour: fleet::Behaviour, is_enabled: bool, seed: u64) -> (Fleet, Vec<f64>) {
    let mut fleet = Fleet::new(size, behaviour, is_enabled, seed);
    fleet.run_until(WARM_UP_MS);
    let before = fleet.busy_ms.clone();
    fleet.run_until(END_MS);
    let busy = fleet.busy_ms.iter().zip(before).map(|(now, before)| (now - before) as f64);
    let busy = busy.collect();
    (fleet, busy)
}

fn busiest_over_mean(busy: &[f64]) -> f64 {
    let mean = busy.iter().sum::<f64>() / busy.len() as f64;
    busy.iter().copied().fold(0.0, f64::max) / mean
}

/// 45 replicas of speeds 0.7, 0.7 and 1.7 by data centre, at 80% and 95% of their capacity. Occupied
/// slots are the load weighted by speed; 1.0 is best. Guards against a choice that fills the near or
/// the fast replicas first.
#[test]
fn replicas_of_different_speeds_are_occupied_alike() {
    fn behaviour(run: &Run) -> (u64, bool) {
        (run_ms(run, SPEEDS[run.replica % 3]), true)
    }
    for share in [0.8, 0.95] {
        for seed in SEEDS {
            let requests_per_s = requests_per_s(share, SPEEDS.iter().sum());
            let size = Size { daemons: 77, replicas: REPLICAS, requests_per_s, poisonous: 0.0 };
            let (fleet, busy) = play(size, behaviour, true, seed);
            let (without, busy_without) = play(size, behaviour, false, seed);
            let ratio = busiest_over_mean(&busy);
            println!(
                "{share} seed {seed}: {ratio:.3}, refused {}, without {:.3}, refused {}",
                fleet.refused,
                busiest_over_mean(&busy_without),
                without.refused
            );
            assert!(ratio < 1.15, "{share} seed {seed}: {ratio:.3}");
        }
    }
}

/// One of 45 replicas is 7 times slower from 4 s to 10 s at 20% of the capacity. An equal share of 480
/// requests a second would be 53 in the last 5 s, a choice by occupied slots begins 4, and the best is none.
/// Guards against a replica that is known to be
/// slow and keeps getting requests.
#[test]
fn a_replica_that_becomes_slow_gets_fewer_requests() {
    fn behaviour(run: &Run) -> (u64, bool) {
        let is_slow = run.replica == 7 && (4_000..10_000).contains(&run.at_ms);
        (run_ms(run, if is_slow { 1.0 / 7.0 } else { 1.0 }), true)
    }
    let (mut with, mut without) = (0, 0);
    for seed in 1..=10 {
        let requests_per_s = requests_per_s(0.2, 3.0);
        let size = Size { daemons: 77, replicas: REPLICAS, requests_per_s, poisonous: 0.0 };
        let slow_starts = |is_enabled| {
            let mut fleet = Fleet::new(size, behaviour, is_enabled, seed);
            fleet.run_until(5_000);
            let before = fleet.starts[7];
            fleet.run_until(10_000);
            assert_eq!(fleet.taken_out(), 0, "seed {seed}: slow runs are no failures");
            fleet.starts[7] - before
        };
        with += slow_starts(true);
        without += slow_starts(false);
    }
    println!("10 seeds: {with} runs begun while known to be slow, {without} without");
    assert!(with * 3 < without * 2, "{with} of {without}");
}

/// 60 daemons learn at the same moment that one of 45 replicas is idle, while 4 of 8 slots of each other
/// one are occupied. Its 8 slots are best used by 8 daemons. Guards against a herd.
#[test]
fn daemons_that_learn_at_once_spread() {
    let replicas: Vec<ReplicaRecord> = (0..REPLICAS).map(fleet::record).collect();
    let candidates: Vec<&ReplicaRecord> = replicas.iter().collect();
    let chosen_of_60 = |is_enabled, seed| {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut balancer = Balancer::default();
        balancer.set_replicas_may_degrade(is_enabled);
        for replica in &replicas {
            let online = if replica.name == replicas[0].name { 0 } else { 4 };
            let load = Load { slots: SLOTS as u16, online, ..Load::default() };
            balancer.record_load(0, &replica.name, load);
        }
        let mut choices: HashMap<String, usize> = HashMap::new();
        for _ in 0..60 {
            let random = || rng.r#gen();
            let chosen = balancer.choose(1, &candidates, Class::Online, &"a".into(), random);
            *choices.entry(chosen.expect("a replica").name.to_string()).or_default() += 1;
        }
        choices.values().copied().max().unwrap_or(0)
    };
    let with: Vec<usize> = (1..=10).map(|seed| chosen_of_60(true, seed)).collect();
    let without = chosen_of_60(false, 1);
    println!("most at one replica: {with:?}, {without} without");
    assert!(with.iter().all(|most| *most <= 20), "{with:?}");
}

#[test]
fn estimates_are_robust_and_start_at_the_usual_speed() {
    let mut times = RunTimes::default();
    for run in 0..4 {
        times.record(run, 300);
    }
    assert_eq!(times.median_ms(10, std::iter::empty()), 0, "too few runs");
    for run in 0..4 {
        times.record(run, 300);
    }
    times.record(9, 30_000);
    assert_eq!(times.median_ms(10, std::iter::empty()), 300, "one long answer or slow client");
    assert_eq!(times.median_ms(10, [100; 8].into_iter()), 300, "runs that go on are not late yet");
    assert_eq!(times.median_ms(10, [9_000].into_iter()), 300, "one long run");
    assert!(times.median_ms(10, [900; 8].into_iter()) >= 900, "slow before the first run ends");
    assert_eq!(times.median_ms(10_000, std::iter::empty()), 0, "old runs are forgotten");
    assert_eq!(times.estimate_ms(10, std::iter::empty()), 300);
    assert_eq!(times.estimate_ms(4_000, std::iter::empty()), 60, "the estimate falls");
    assert_eq!(times.estimate_ms(10_000, std::iter::empty()), 0);
    assert!((speed::slowness(0, 300) - 1.0).abs() < 1e-9, "an unknown replica is usual");
    assert_eq!(speed::usual_ms([0, 100, 300, 300, 9_000].into_iter()), 300);
}

/// A replica completes usual runs beside three long answers; another one has only two long answers, and
/// nothing tells whether it is slow. Guards against sound replicas that count as slow for long answers.
#[test]
fn a_few_long_runs_do_not_make_a_replica_slow() {
    let mut times = RunTimes::default();
    (0..8).for_each(|run| times.record(3_000 + 200 * run, 300));
    assert_eq!(times.median_ms(4_500, [4_400, 4_300, 2_000].into_iter()), 300);
    assert_eq!(RunTimes::default().median_ms(4_500, [4_400, 4_300].into_iter()), 0);
    // No usual run began after these.
    assert!(times.median_ms(5_600, [1_400, 1_300, 1_200].into_iter()) >= 1_200, "slow");
}

/// 40 replicas whose slots batch items occupy and 5 with a free slot. Guards against a comparison of random
/// replicas that revokes the slot of an item while others are free.
#[test]
fn a_free_slot_is_preferred_to_that_of_an_item_among_many() {
    let replicas: Vec<ReplicaRecord> = (0..REPLICAS).map(fleet::record).collect();
    let candidates: Vec<&ReplicaRecord> = replicas.iter().collect();
    let mut balancer = Balancer::default();
    balancer.set_replicas_may_degrade(true);
    for (index, replica) in replicas.iter().enumerate() {
        let batch = if index < 5 { 0 } else { 8 };
        let load = Load { slots: SLOTS as u16, batch, ..Load::default() };
        balancer.record_load(0, &replica.name, load);
    }
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..100 {
        let random = || rng.r#gen();
        let chosen = balancer.choose(1, &candidates, Class::Online, &"a".into(), random);
        let chosen = chosen.expect("a replica").name.clone();
        assert!(replicas[..5].iter().any(|replica| replica.name == chosen), "{chosen}");
    }
}
