//! Tests of overload: what callers that return after refusals get, with and without early refusals.

#[allow(dead_code, reason = "each test file uses a part of the model")]
mod fleet;

use peers::Topic;
use peers::transport::decode_prefix;
use peers::transport::encode;
use slots::extension::Expectation;
use slots::message::Class;
use slots::message::Load as ReplicaLoad;
use slots::message::Ticket;
use slots::message::ToHolder;
use slots::message::Urgency;
use slots::overload;
use slots::overload::Candidate;
use slots::overload::EarlyRefusals;
use slots::overload::Outlook;
use slots::overload::RefusalReport;
use slots::table::GrantRequest;
use slots::table::SlotTable;
use slots::table::TableAction;

use crate::fleet::Fleet;
use crate::fleet::Run;
use crate::fleet::SLOTS;
use crate::fleet::Size;
use crate::fleet::callers;
use crate::fleet::callers::Load;
use crate::fleet::callers::Outcomes;

const REPLICAS: usize = 45;
const DAEMONS: usize = 60;
/// 22 events of 5 to 8 tokens at 2.2 ms.
const MEAN_RUN_MS: f64 = 22.0 * 2.2 * 6.5;
/// The mean demand as a share of the capacity; each load exceeds the capacity with it.
const MEAN_SHARE: f64 = 0.75;
const FROM_MS: u64 = 4_000;
const COUNTED_MS: (u64, u64) = (3_000, 11_000);
const END_MS: u64 = 18_000;
const SEEDS: [u64; 3] = [1, 2, 3];
/// The window in which a run must begin so that its caller is on time at the first or second attempt: an
/// early refusal, the longest wait and the wait for a slot.
const ON_TIME_WINDOW_MS: u64 = 75 + 1_667 + 285;
/// The window in which a run must begin so that it ends before the deadline.
const SERVED_WINDOW_MS: u64 = 5_000 - 242;

fn behaviour(run: &Run) -> (u64, bool) {
    ((22.0 * 2.2 * (5.0 + 3.0 * run.random)) as u64, true)
}

fn always(_: usize, _: u64) -> bool {
    true
}

fn step(at_ms: u64) -> f64 {
    if (FROM_MS..FROM_MS + 3_000).contains(&at_ms) { 1.84 } else { 0.38 }
}

fn doubled(at_ms: u64) -> f64 {
    if (FROM_MS..FROM_MS + 4_000).contains(&at_ms) { 2.0 } else { 1.0 }
}

fn steady(_: u64) -> f64 {
    1.0
}

fn without_a_third(replica: usize, at_ms: u64) -> bool {
    replica % 3 != 2 || !(FROM_MS..FROM_MS + 5_000).contains(&at_ms)
}

fn runs_per_s() -> f64 {
    f64::from(SLOTS) * REPLICAS as f64 * 1_000.0 / MEAN_RUN_MS
}

fn play(load: Load, seed: u64) -> Outcomes {
    let requests_per_s = MEAN_SHARE * runs_per_s();
    let size = Size { daemons: DAEMONS, replicas: REPLICAS, requests_per_s, poisonous: 0.0 };
    let mut fleet = Fleet::new(size, behaviour, false, seed);
    fleet.set_load(load);
    fleet.run_until(END_MS);
    fleet.outcomes
}

/// Returns the most callers on time at the first or second attempt, the most served, and all.
fn best(load: &Load) -> (f64, f64, f64) {
    let demand = |at_ms| (load.demand)(at_ms) * MEAN_SHARE * runs_per_s() / 1_000.0;
    let capacity = |at_ms| {
        let replicas = (0..REPLICAS).filter(|replica| (load.is_in_service)(*replica, at_ms));
        replicas.count() as f64 / REPLICAS as f64 * runs_per_s() / 1_000.0
    };
    let most = |window_ms| callers::most_served(COUNTED_MS, window_ms, demand, capacity);
    let (on_time, all) = most(ON_TIME_WINDOW_MS);
    (on_time, most(SERVED_WINDOW_MS).0, all)
}

/// Plays a load with and without early refusals and checks that they serve no fewer callers in total, and
/// more on time at the first attempt and in all.
fn compare(name: &str, load: Load) {
    let (best_on_time, best_served, expected) = best(&load);
    let sum = |refuses_early| {
        let outcomes = SEEDS.map(|seed| play(Load { refuses_early, ..load }, seed));
        outcomes.into_iter().fold(Outcomes::default(), Outcomes::plus)
    };
    let (with, without) = (sum(true), sum(false));
    println!("{name}: of {} with {with:?}\n  without {without:?}", with.total());
    let part = |count: f64| 100.0 * count / expected;
    println!("  best: on time {:.1}%, served {:.1}%", part(best_on_time), part(best_served));
    assert_eq!(with.total(), without.total(), "{name}: each caller has an outcome");
    assert!(with.served() >= without.served(), "{name}: fewer callers are served");
    assert!(with.on_time > without.on_time, "{name}: fewer are on time at once");
    let both = |outcomes: &Outcomes| outcomes.on_time + outcomes.second;
    assert!(both(&with) * 100 > both(&without) * 102, "{name}: no more are on time");
}

fn load(demand: fn(u64) -> f64, is_in_service: fn(usize, u64) -> bool) -> Load {
    Load {
        demand,
        is_in_service,
        has_organisations: false,
        counted_ms: COUNTED_MS,
        refuses_early: false,
    }
}

/// The demand steps from 0.38 to 1.84 of its mean for 3 s. Best: all on time at the second attempt at the
/// latest. Guards against early refusals that lose callers, and against slots that serve late requests
/// while others could be on time.
#[test]
fn step_of_the_demand() {
    compare("step", load(step, always));
    let with_organisations = Load { has_organisations: true, ..load(step, always) };
    compare("step with organisations", with_organisations);
}

/// The demand doubles for 4 s. Best: all on time at the second attempt at the latest. Guards against the
/// same as a step; fewer slots are free after the overload.
#[test]
fn doubled_demand() {
    compare("doubled", load(doubled, always));
    let with_organisations = Load { has_organisations: true, ..load(doubled, always) };
    compare("doubled with organisations", with_organisations);
}

/// A third of the replicas is out of service for 5 s. Best: all on time at the second attempt at the
/// latest. Guards against the same as a step, and against requests left in queues of lost replicas.
#[test]
fn loss_of_a_third_of_the_replicas() {
    compare("a third lost", load(steady, without_a_third));
    let with_organisations = Load { has_organisations: true, ..load(steady, without_a_third) };
    compare("a third lost with organisations", with_organisations);
}

/// A steady demand of three quarters of the capacity. Best: all on time at once. Guards against early
/// refusals without an overload.
#[test]
fn no_request_is_refused_without_overload() {
    for seed in SEEDS {
        let got = play(Load { refuses_early: true, ..load(steady, always) }, seed);
        assert_eq!((got.on_time, got.refusals), (got.total(), 0), "seed {seed}: {got:?}");
    }
}

fn full_outlook(ahead: usize) -> Outlook {
    Outlook { free_in_ms: vec![100; 8], ahead, usual_ms: 300 }
}

fn first_attempt() -> Candidate {
    Candidate { on_time_left_ms: 240, give_up_left_ms: 1_600 }
}

/// Each request ahead waits in two queues. Guards against an expected time that ignores the ages of runs
/// or counts the requests ahead twice.
#[test]
fn expected_time_follows_from_the_runs_and_the_queue() {
    let outlook = Outlook { free_in_ms: vec![200, 50, 120], ahead: 0, usual_ms: 300 };
    assert_eq!(outlook.slot_in_ms(), Some(50));
    assert_eq!(Outlook { ahead: 4, ..outlook.clone() }.slot_in_ms(), Some(200));
    assert_eq!(Outlook { ahead: 6, ..outlook.clone() }.slot_in_ms(), Some(350));
    assert_eq!(Outlook { usual_ms: 0, ..outlook }.slot_in_ms(), None, "not known yet");
}

/// Guards against the refusal of requests that can be on time, that returned already, or of whose runs
/// nothing is known.
#[test]
fn only_a_first_attempt_that_will_be_late_is_refused() {
    let mut refusals = EarlyRefusals::default();
    let unknown = Outlook { usual_ms: 0, ..full_outlook(40) };
    assert_eq!(refusals.decide(0, &unknown, first_attempt()), None);
    assert_eq!(refusals.decide(0, &full_outlook(14), first_attempt()), None, "on time");
    assert!(refusals.decide(0, &full_outlook(16), first_attempt()).is_some());
    refusals.record_wait(0, 1_600);
    let returned = Candidate { give_up_left_ms: 1_100, ..first_attempt() };
    assert_eq!(refusals.decide(0, &full_outlook(40), returned), None);
    let too_far = full_outlook(100);
    assert_eq!(refusals.decide(0, &too_far, first_attempt()), None, "no slot before it gives up");
}

/// Guards against more refusals than the slots can serve when they return, all at the same moment, and
/// against a bound that is never lifted.
#[test]
fn refused_requests_are_bounded_and_return_spread() {
    let mut refusals = EarlyRefusals::default();
    let refuse = |refusals: &mut EarlyRefusals, now_ms| {
        let decisions =
            (0..200).map(|_| refusals.decide(now_ms, &full_outlook(40), first_attempt()));
        decisions.flatten().collect::<Vec<_>>()
    };
    let returns = refuse(&mut refusals, 0);
    // 8 slots serve 42 runs of 300 ms in 1,600 ms; two owners refuse each request.
    assert_eq!(returns.len(), 85);
    assert!(returns.iter().all(|in_ms| (1_200..=1_520).contains(in_ms)), "{returns:?}");
    let most_in_40_ms =
        |from: u64| returns.iter().filter(|at| (from..from + 40).contains(at)).count();
    let most = (1_200..1_520).map(most_in_40_ms).max();
    assert!(most <= Some(12), "an even spread has 11 in 40 ms: {most:?}");
    let report = RefusalReport { refused: 85, kept: 115 };
    assert_eq!(refusals.take_report(0), Some(report));
    assert_eq!(refuse(&mut refusals, 1_000).len(), 0, "none has returned");
    assert_eq!(refusals.take_report(999), None, "one report a second");
    assert_eq!(refuse(&mut refusals, 1_600).len(), 85);
}

/// Requests of a route with a longer deadline come first and then no more. Guards against taking all
/// others for requests that returned.
#[test]
fn longest_wait_is_forgotten() {
    let mut refusals = EarlyRefusals::default();
    refusals.record_wait(0, 20_000);
    refusals.record_wait(1_000, 1_600);
    assert_eq!(refusals.decide(1_000, &full_outlook(40), first_attempt()), None);
    refusals.record_wait(10_000, 1_600);
    assert!(refusals.decide(10_000, &full_outlook(40), first_attempt()).is_some());
}

/// Requests of a table whose runs take 300 ms.
fn ask(ticket: u64, class: Class, give_up_left_ms: u64) -> GrantRequest {
    GrantRequest {
        ticket: Ticket(ticket),
        holder: "holder".into(),
        class,
        urgency: Urgency { on_time_left_ms: 240, order_left_ms: 240 },
        give_up_left_ms,
        share: None,
    }
}

/// Returns a table of one slot that is taken for about 300 ms more, with `queued` online requests.
fn busy_table(class: Class, queued: u64) -> SlotTable {
    let mut table = SlotTable::new(1);
    table.set_refuses_early(true);
    table.request(0, ask(1, Class::Online, 1_600));
    table.release(300, Ticket(1));
    table.request(300, ask(2, class, 1_600));
    for ticket in 0..queued {
        table.request(300, ask(100 + ticket, Class::Online, 1_600));
    }
    table
}

fn is_refused_early(actions: &[TableAction]) -> bool {
    actions.iter().any(|action| matches!(action, TableAction::RefuseEarly { .. }))
}

/// Guards against a refusal beside a batch item whose slot is free at once, of a request that may have run,
/// and against refusals where the switch is off.
#[test]
fn table_refuses_only_what_cannot_be_on_time() {
    let request = ask(3, Class::Online, 1_600);
    assert!(is_refused_early(&busy_table(Class::Online, 0).request(300, request.clone())));
    assert!(!is_refused_early(&busy_table(Class::Batch, 0).request(300, request.clone())));
    let mut table = busy_table(Class::Online, 0);
    assert!(!is_refused_early(&table.request(300, ask(3, Class::Batch, 1_600))), "an item waits");
    let retry = ask(4, Class::Online, overload::stated_wait_ms(Class::Online, true, 1_600));
    assert!(!is_refused_early(&table.request(300, retry)), "it would be lost");
    let mut off = busy_table(Class::Online, 0);
    off.set_refuses_early(false);
    assert!(!is_refused_early(&off.request(300, request)));
}

/// Guards against a refused request that keeps its place in the queue.
#[test]
fn refused_request_leaves_the_queue() {
    let mut table = busy_table(Class::Online, 0);
    assert!(is_refused_early(&table.request(300, ask(3, Class::Online, 1_600))));
    assert_eq!(table.load().online_waiting, 0);
}

/// Guards against a refusal with an expected time that older builds cannot read, and against an expected
/// time read from older builds.
#[test]
fn older_builds_read_refusals_with_an_expected_time() {
    let message = ToHolder::Refused { ticket: Ticket(7), load: ReplicaLoad::default() };
    let expectation = Expectation { slot_in_ms: 1_300 };
    let plain = encode(Topic::Slots, &message);
    let extended = encode(Topic::Slots, &(message.clone(), expectation));
    assert_eq!(extended.len(), plain.len() + 2);
    let decoded = decode_prefix::<ToHolder>(Topic::Slots, &extended);
    let (read, rest) = decoded.expect("the message is readable");
    assert_eq!((read, Expectation::decode(&message, rest)), (message.clone(), Some(expectation)));
    assert_eq!(Expectation::decode(&message, &[]), None);
    let queued = ToHolder::Queued { ticket: Ticket(7), load: ReplicaLoad::default() };
    assert_eq!(Expectation::decode(&queued, rest), None);
}

/// Times in messages are unbounded. Guards against an overflow that ends the process or wraps to a time in
/// the past.
#[test]
fn times_near_the_limit_do_not_overflow() {
    let expectation = Expectation { slot_in_ms: u64::MAX };
    assert_eq!(expectation.slot_at_ms(1_000), u64::MAX);
    let mut refusals = EarlyRefusals::default();
    refusals.record_wait(0, u64::MAX);
    assert_eq!(refusals.decide(0, &full_outlook(40), first_attempt()), None);
    let endless = Candidate { on_time_left_ms: 240, give_up_left_ms: u64::MAX };
    let return_in_ms = refusals.decide(0, &full_outlook(40), endless);
    assert!(return_in_ms.is_some_and(|in_ms| in_ms < 60_000), "{return_in_ms:?}");
}

/// A sender that states an endless wait for each request. Guards against refused requests that are
/// remembered without a bound.
#[test]
fn endless_waits_do_not_grow_the_memory() {
    let mut refusals = EarlyRefusals::default();
    let endless = Candidate { on_time_left_ms: 240, give_up_left_ms: u64::MAX / 100 };
    let refused = (0..10_000).filter(|_| refusals.decide(0, &full_outlook(40), endless).is_some());
    assert!(refused.count() <= 3_200, "8 slots serve 1,600 runs of 300 ms in 60 s");
}

/// Owners refuse no items early. Guards against items whose places in queues end before their wait does.
#[test]
fn only_online_requests_that_may_have_run_state_a_shorter_wait() {
    assert_eq!(overload::stated_wait_ms(Class::Online, true, 1_600), 1_440);
    assert_eq!(overload::stated_wait_ms(Class::Online, false, 1_600), 1_600);
    assert_eq!(overload::stated_wait_ms(Class::Batch, true, 1_600), 1_600);
}

/// A holder repeats its requests every 150 ms, which is little of a wait of 10 s. Guards against the refusal of a
/// request that was queued as one that can be on time and has lost that time by now.
#[test]
fn queued_request_is_not_refused_when_it_is_repeated() {
    let mut table = busy_table(Class::Online, 0);
    let mut request = ask(3, Class::Online, 10_000);
    request.urgency.on_time_left_ms = 310;
    let queued = [TableAction::Queue { holder: "holder".into(), ticket: Ticket(3) }];
    assert_eq!(table.request(300, request.clone()), queued);
    assert_eq!(table.request(600, request), queued);
}
