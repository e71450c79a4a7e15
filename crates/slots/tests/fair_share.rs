//! Tests of fair shares: what one organisation's overload costs the others at one replica.

use std::collections::BTreeMap;
use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slots::Share;
use slots::fair_share::FairShares;
use slots::message::Class;
use slots::message::Ticket;
use slots::message::Urgency;
use slots::table::GrantRequest;
use slots::table::SlotTable;
use slots::table::TableAction;
use wire::DaemonName;
use wire::Millis;

const SLOTS: u32 = 8;
/// How long a request may wait and be on time, and until it gives up.
const ON_TIME_MS: Millis = 240;
const GIVE_UP_MS: Millis = 1_600;

fn share(organisation: u64, priority: u32) -> Option<Share> {
    Some(Share { organisation, priority })
}

fn ask(ticket: u64, share: Option<Share>, on_time_left_ms: Millis) -> GrantRequest {
    GrantRequest {
        ticket: Ticket(ticket),
        holder: DaemonName::from("holder"),
        class: Class::Online,
        urgency: Urgency { on_time_left_ms, order_left_ms: on_time_left_ms },
        give_up_left_ms: GIVE_UP_MS,
        share,
    }
}

fn grants(actions: &[TableAction]) -> Vec<u64> {
    let tickets = actions.iter().map(|action| match action {
        TableAction::Grant { ticket, .. } => Some(ticket.0),
        _ => None,
    });
    tickets.flatten().collect()
}

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

/// Runs a load against one replica for `for_ms` and returns what each organisation got.
fn simulate(senders: &[Sender], has_shares: bool, for_ms: Millis) -> BTreeMap<u64, Got> {
    let mut random = StdRng::seed_from_u64(20);
    let mut table = SlotTable::new(SLOTS);
    let mut got: BTreeMap<u64, Got> = BTreeMap::new();
    let mut asked: HashMap<u64, (Sender, Millis)> = HashMap::new();
    let mut ends: BTreeMap<(Millis, u64), ()> = BTreeMap::new();
    let mut next_ticket = 0;
    for now_ms in 0..for_ms {
        let mut actions = Vec::new();
        while let Some(((end_ms, ticket), ())) = ends.first_key_value() {
            if *end_ms > now_ms {
                break;
            }
            let ticket = *ticket;
            ends.pop_first();
            actions.extend(table.release(now_ms, Ticket(ticket)));
        }
        for sender in senders {
            if random.r#gen::<f64>() < sender.per_s / 1_000.0 {
                next_ticket += 1;
                asked.insert(next_ticket, (*sender, now_ms));
                got.entry(sender.organisation).or_default().sent += 1;
                let share = share(sender.organisation, sender.priority).filter(|_| has_shares);
                actions.extend(table.request(now_ms, ask(next_ticket, share, ON_TIME_MS)));
            }
        }
        actions.extend(table.tick(now_ms));
        for ticket in grants(&actions) {
            let Some((sender, asked_ms)) = asked.remove(&ticket) else { continue };
            let entry = got.entry(sender.organisation).or_default();
            entry.served += 1;
            entry.on_time += u32::from(now_ms - asked_ms <= ON_TIME_MS);
            entry.slot_ms += sender.run_ms;
            ends.insert((now_ms + sender.run_ms, ticket), ());
        }
    }
    got
}

/// Ten organisations take 75% of the capacity of 80 requests per second, and one sends 7.5 times the
/// rate of each. By arithmetic the ten can all be on time and the one gets the other 20 requests per
/// second.
#[test]
fn others_are_on_time_beside_one_organisation_in_overload() {
    let sender = |organisation, per_s| Sender { organisation, priority: 0, per_s, run_ms: 100 };
    let mut senders: Vec<Sender> = (1..=10).map(|number| sender(number, 6.0)).collect();
    senders.push(sender(11, 45.0));
    let got = simulate(&senders, true, 120_000);
    for organisation in 1..=10 {
        let Got { sent, on_time, .. } = got[&organisation];
        assert!(on_time * 100 >= sent * 98, "{organisation}: {:?}", got[&organisation]);
    }
    // 20 requests per second for 120 s, of which 10% may be lost at the edges.
    assert!(got[&11].served >= 2_160, "{:?}", got[&11]);
}

/// Guards against organisations that are never served under an overload of all: each of twenty sends
/// twice its share, and one ten times as much. The bound is a quarter of the mean.
#[test]
fn no_organisation_is_starved_by_overload_of_all() {
    let sender = |organisation, per_s| Sender { organisation, priority: 0, per_s, run_ms: 100 };
    let mut senders: Vec<Sender> = (1..=20).map(|number| sender(number, 8.0)).collect();
    senders.push(sender(21, 80.0));
    let got = simulate(&senders, true, 30_000);
    let mean = got.values().map(|got| got.served).sum::<u32>() / 21;
    for (organisation, got) in &got {
        assert!(got.served * 4 >= mean, "{organisation}: {got:?}, mean {mean}");
    }
    // The one with ten times the rate gets no more than one and a half times the mean.
    assert!(got[&21].served * 2 <= mean * 3, "{:?}, mean {mean}", got[&21]);
}

/// Guards against shares by count: an organisation whose runs take four times as long gets the same
/// slot time.
#[test]
fn shares_are_of_slot_time() {
    let long = Sender { organisation: 1, priority: 0, per_s: 60.0, run_ms: 400 };
    let short = Sender { organisation: 2, priority: 0, per_s: 120.0, run_ms: 100 };
    let got = simulate(&[long, short], true, 30_000);
    let (long_ms, short_ms) = (got[&1].slot_ms, got[&2].slot_ms);
    assert!(long_ms * 10 <= short_ms * 12 && short_ms * 10 <= long_ms * 12, "{got:?}");
}

/// Guards against an urgent request that waits for the fair share of another organisation.
#[test]
fn priority_comes_before_fair_shares() {
    let mut table = SlotTable::new(1);
    assert_eq!(grants(&table.request(0, ask(1, share(1, 0), 100))), [1]);
    table.request(0, ask(2, share(2, 1), 50));
    table.request(1, ask(3, share(1, 0), 100));
    assert_eq!(grants(&table.release(10, Ticket(1))), [3]);
    assert_eq!(grants(&table.release(20, Ticket(3))), [2]);
}

/// Guards against credit for idleness, with which an organisation could take all slots at once.
#[test]
fn idle_organisation_gets_no_credit() {
    let mut shares = FairShares::default();
    for _ in 0..100 {
        shares.charge(1, 50);
    }
    assert_eq!(shares.start_ms(1), 5_000);
    assert_eq!(shares.start_ms(2), 4_950);
    shares.charge(2, 50);
    assert_eq!(shares.start_ms(2), shares.start_ms(1));
    shares.settle(2, 50, 10);
    assert_eq!(shares.start_ms(2), 4_960);
    shares.settle(1, 50, 500);
    assert_eq!(shares.start_ms(1), 5_450);
    shares.settle(1, 50, Millis::MAX);
    shares.charge(1, Millis::MAX);
}

/// Guards against memory that grows with the organisations that ever sent a request.
#[test]
fn idle_organisations_are_forgotten() {
    let mut shares = FairShares::default();
    for organisation in 0..100_000 {
        shares.charge(organisation, 50);
        // Another organisation's grants move the virtual time past it.
        shares.charge(Millis::MAX, 50);
    }
    assert!(shares.remembered() <= 256, "{}", shares.remembered());
}

/// Guards against a change of the order where no organisations are known: the request that can still
/// be on time and has the lowest sort key is first, then the late one that gives up first.
#[test]
fn order_without_shares_is_unchanged() {
    let mut random = StdRng::seed_from_u64(21);
    for _ in 0..200 {
        let mut table = SlotTable::new(1);
        table.request(0, ask(1_000, None, 500));
        let mut waiting: Vec<(u64, Millis, Millis)> = Vec::new();
        for ticket in 1..30 {
            let on_time_left_ms = random.gen_range(0..400);
            let give_up_left_ms = random.gen_range(500..2_000);
            let request = GrantRequest { give_up_left_ms, ..ask(ticket, None, on_time_left_ms) };
            table.request(0, request);
            waiting.push((ticket, on_time_left_ms, give_up_left_ms));
        }
        let (mut now_ms, mut running) = (0, 1_000);
        while !waiting.is_empty() {
            now_ms += 10;
            let order = |(ticket, on_time_at_ms, give_up_at_ms): &(u64, Millis, Millis)| {
                let is_late = *on_time_at_ms < now_ms;
                (is_late, if is_late { *give_up_at_ms } else { *on_time_at_ms }, *ticket)
            };
            let first = *waiting.iter().min_by_key(|entry| order(entry)).expect("one waits");
            waiting.retain(|entry| *entry != first);
            assert_eq!(grants(&table.release(now_ms, Ticket(running))), [first.0]);
            running = first.0;
        }
    }
}

/// Guards against requests of older builds that are never served beside those with shares.
#[test]
fn requests_without_share_share_one_queue() {
    let mut table = SlotTable::new(1);
    table.request(0, ask(1, share(1, 0), 1_000));
    for ticket in 2..6 {
        table.request(0, ask(ticket, share(1, 0), 1_000));
        table.request(0, ask(10 + ticket, None, 1_000));
    }
    let (mut running, mut order) = (1, Vec::new());
    for step in 1..=8 {
        running = grants(&table.release(step * 20, Ticket(running)))[0];
        order.push(running > 10);
    }
    let without_share = order[..4].iter().filter(|is_without| **is_without).count();
    assert_eq!(without_share, 2, "{order:?}");
}

/// Guards against a load of the first test that needs no fair shares.
#[test]
fn others_are_late_without_fair_shares() {
    let sender = |organisation, per_s| Sender { organisation, priority: 0, per_s, run_ms: 100 };
    let mut senders: Vec<Sender> = (1..=10).map(|number| sender(number, 6.0)).collect();
    senders.push(sender(11, 45.0));
    let got = simulate(&senders, false, 30_000);
    let (sent, on_time) = (1..=10).fold((0, 0), |(sent, on_time), organisation| {
        (sent + got[&organisation].sent, on_time + got[&organisation].on_time)
    });
    assert!(on_time * 100 < sent * 98, "{on_time} of {sent}");
}
