//! Tests of the least share of organisations of low priority at one replica.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slots::Share;
use slots::least_share::LeastShares;
use slots::message::Class;
use slots::message::Ticket;
use slots::message::Urgency;
use slots::table::GrantRequest;
use slots::table::SlotTable;
use slots::table::TableAction;
use wire::DaemonName;
use wire::Millis;

const SLOTS: u32 = 8;
const RUN_MS: Millis = 100;
/// The runs per second that the replica can do.
const CAPACITY_PER_S: f64 = 80.0;
const ON_TIME_MS: Millis = 240;
const GIVE_UP_MS: Millis = 1_600;

/// An organisation of a simulated load.
#[derive(Clone, Copy)]
struct Sender {
    organisation: u64,
    priority: u32,
    per_s: f64,
    run_ms: Millis,
}

/// What an organisation got.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    sent: u32,
    served: u32,
    on_time: u32,
    slot_ms: Millis,
}

fn request(ticket: u64, sender: &Sender) -> GrantRequest {
    let share = Share { organisation: sender.organisation, priority: sender.priority };
    GrantRequest {
        ticket: Ticket(ticket),
        holder: DaemonName::from("holder"),
        class: Class::Online,
        urgency: Urgency { on_time_left_ms: ON_TIME_MS, order_left_ms: ON_TIME_MS },
        give_up_left_ms: GIVE_UP_MS,
        share: Some(share),
    }
}

/// Runs a load against one replica for `for_ms` and returns what each organisation got.
fn simulate(senders: &[Sender], for_ms: Millis) -> BTreeMap<u64, Got> {
    let mut random = StdRng::seed_from_u64(30);
    let mut table = SlotTable::new(SLOTS);
    let mut got: BTreeMap<u64, Got> = BTreeMap::new();
    let mut asked: HashMap<u64, (Sender, Millis)> = HashMap::new();
    let mut running: Vec<(Millis, u64)> = Vec::new();
    let mut next_ticket = 0;
    for now_ms in 0..for_ms {
        let mut actions = Vec::new();
        for (_, ticket) in running.extract_if(.., |(end_ms, _)| *end_ms <= now_ms) {
            actions.extend(table.release(now_ms, Ticket(ticket)));
        }
        for sender in senders {
            if random.r#gen::<f64>() < sender.per_s / 1_000.0 {
                next_ticket += 1;
                asked.insert(next_ticket, (*sender, now_ms));
                got.entry(sender.organisation).or_default().sent += 1;
                actions.extend(table.request(now_ms, request(next_ticket, sender)));
            }
        }
        actions.extend(table.tick(now_ms));
        for action in actions {
            let TableAction::Grant { ticket, .. } = action else { continue };
            let Some((sender, asked_ms)) = asked.remove(&ticket.0) else { continue };
            let entry = got.entry(sender.organisation).or_default();
            entry.served += 1;
            entry.on_time += u32::from(now_ms - asked_ms <= ON_TIME_MS);
            entry.slot_ms += sender.run_ms;
            running.push((now_ms + sender.run_ms, ticket.0));
        }
    }
    got
}

/// Returns five organisations of priority 0 that ask for `high_per_s` each, and fifteen of priority 1
/// and 2 that ask for `low_per_s` each.
fn senders(high_per_s: f64, low_per_s: f64) -> Vec<Sender> {
    let sender = |organisation: u64| {
        let priority = u32::from(organisation > 5) + u32::from(organisation > 12);
        let per_s = if priority == 0 { high_per_s } else { low_per_s };
        Sender { organisation, priority, per_s, run_ms: RUN_MS }
    };
    (1..=20).map(sender).collect()
}

/// Guards against organisations of low priority that get nothing while those of high priority ask for
/// twice the slots. By arithmetic the fair share of each of twenty is 4 runs per second, a quarter of
/// it 1, and the five of high priority can get 65 of 80.
#[test]
fn low_priority_gets_a_quarter_of_its_fair_share_in_overload() {
    let got = simulate(&senders(32.0, 6.0), 60_000);
    let per_s = |got: &Got| f64::from(got.served) / 60.0;
    let low: Vec<f64> = (6..=20).map(|organisation| per_s(&got[&organisation])).collect();
    let high: f64 = (1..=5).map(|organisation| per_s(&got[&organisation])).sum();
    let least = low.iter().copied().fold(f64::INFINITY, f64::min);
    println!("low: least {least:.2}, sum {:.1}; high {high:.1}", low.iter().sum::<f64>());
    assert!(least >= CAPACITY_PER_S / 20.0 / 4.0, "{low:?}");
    assert!(high >= 58.0, "{high}");
}

/// Guards against the same where an organisation of low priority sends little more than its quarter,
/// so that it has one request at a time, and its runs take twice as long as the others'.
#[test]
fn few_long_requests_of_low_priority_get_their_part_of_slot_time() {
    let mut senders = senders(40.0, 0.0);
    senders.truncate(5);
    senders.push(Sender { organisation: 6, priority: 3, per_s: 2.5, run_ms: 2 * RUN_MS });
    let got = simulate(&senders, 60_000);
    println!("one of low priority: {:?}", got[&6]);
    // The fair share of each of six is 1.33 slots, a quarter of it a third of a slot.
    assert!(got[&6].slot_ms * 3 >= 60_000, "{:?}", got[&6]);
}

/// Guards against least shares that cost high priority more than their sum: within the capacity, all
/// of high priority is on time.
#[test]
fn high_priority_within_its_part_stays_on_time_beside_overload_of_low() {
    let got = simulate(&senders(10.0, 30.0), 60_000);
    for organisation in 1..=5 {
        let Got { sent, on_time, .. } = got[&organisation];
        assert!(on_time * 100 >= sent * 97, "{organisation}: {:?}", got[&organisation]);
    }
}

/// Guards against many idle organisations that return at once and hold up high priority.
#[test]
fn returning_organisations_take_one_grant_of_three() {
    let mut shares = LeastShares::default();
    let waiting: HashSet<u64> = (0..50).collect();
    for organisation in 1..50 {
        shares.record_waiting(organisation, RUN_MS);
    }
    for _ in 0..1_000 {
        shares.charge(0, RUN_MS, &waiting);
    }
    let mut due = 0;
    for _ in 0..90 {
        let next = (1..50).find(|organisation| shares.is_due(*organisation));
        due += u32::from(next.is_some());
        shares.charge(next.unwrap_or(0), RUN_MS, &waiting);
    }
    assert_eq!(due, 30);
}

/// Guards against memory that grows with the organisations that ever sent a request, and against due
/// organisations that are forgotten while they wait.
#[test]
fn idle_organisations_are_forgotten_and_waiting_ones_are_not() {
    let mut shares = LeastShares::default();
    let waiting: HashSet<u64> = [7].into();
    shares.record_waiting(7, 1);
    for organisation in 100..50_000 {
        shares.record_waiting(organisation, 1);
        shares.charge(organisation, 1, &waiting);
        shares.charge(1, 50, &waiting);
    }
    assert!(shares.remembered() <= 256, "{}", shares.remembered());
    shares.charge(1, 50, &waiting);
    shares.charge(1, 50, &waiting);
    assert!(shares.is_due(7));
}

/// Guards against organisations of low priority that get nothing beside many others: when one has no
/// request for a moment it is forgotten, and it must not wait as a new one each time that it returns.
#[test]
fn low_priority_gets_its_part_among_more_organisations_than_are_remembered() {
    let mut senders = senders(32.0, 0.0);
    senders.truncate(5);
    for organisation in 6..=255 {
        senders.push(Sender { organisation, priority: 1, per_s: 0.2, run_ms: RUN_MS });
    }
    let got = simulate(&senders, 120_000);
    let served = |organisation| got.get(&organisation).map_or(0, |got: &Got| got.served);
    let mut low: Vec<u32> = (6..=255).map(served).collect();
    low.sort_unstable();
    println!("low: {low:?}");
    // A quarter of the fair share of each of 255 in 120 s is 9.4 runs; each sends about 24 requests.
    let quarter = CAPACITY_PER_S * 120.0 / 255.0 / 4.0;
    let mean = f64::from(low.iter().sum::<u32>()) / 250.0;
    assert!(mean >= quarter, "mean {mean} of {quarter}");
}
