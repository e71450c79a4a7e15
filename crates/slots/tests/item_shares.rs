//! Tests of the shares of organisations in the items that wait for one replica.

use slots::Share;
use slots::message::Class;
use slots::message::Ticket;
use slots::message::Urgency;
use slots::table::GrantRequest;
use slots::table::SlotTable;
use slots::table::TableAction;
use wire::DaemonName;
use wire::Millis;

const RUN_MS: Millis = 400;

fn item(ticket: u64, organisation: Option<u64>, due_ms: Millis) -> GrantRequest {
    GrantRequest {
        ticket: Ticket(ticket),
        holder: DaemonName::from("home"),
        class: Class::Batch,
        urgency: Urgency { on_time_left_ms: due_ms, order_left_ms: due_ms },
        give_up_left_ms: 600_000,
        share: organisation.map(|organisation| Share { organisation, priority: 0 }),
    }
}

fn granted(actions: &[TableAction]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        TableAction::Grant { ticket, .. } => Some(ticket.0),
        _ => None,
    })
}

/// Runs the items one after the other on one slot, and returns their order.
fn order(items: &[(u64, Option<u64>, Millis)]) -> Vec<u64> {
    let mut table = SlotTable::new(1);
    let mut order = Vec::new();
    for (ticket, organisation, due_ms) in items {
        order.extend(granted(&table.request(0, item(*ticket, *organisation, *due_ms))));
    }
    let mut now_ms = 0;
    while order.len() < items.len() {
        now_ms += RUN_MS;
        let running = Ticket(*order.last().expect("the first is granted at once"));
        order.extend(granted(&table.release(now_ms, running)));
    }
    order
}

/// Guards against an item that waits for many earlier ones of another organisation, which are all due
/// before it. The best result is that the two take turns; two runs ahead are allowed.
#[test]
fn item_does_not_wait_for_many_of_another_organisation() {
    let mut items: Vec<(u64, Option<u64>, Millis)> =
        (1..=30).map(|ticket| (ticket, Some(1), 60_000)).collect();
    items.extend((101..=103).map(|ticket| (ticket, Some(2), 70_000)));
    let order = order(&items);
    let position = |ticket| order.iter().position(|other| *other == ticket).expect("it ran");
    assert!(position(101) <= 4 && position(102) <= 6 && position(103) <= 8, "{order:?}");
}

/// Guards against shares that delay an item that is due earlier, while its organisation is level.
#[test]
fn items_of_level_organisations_run_by_due_time() {
    let items = [(1, Some(1), 50_000), (2, Some(2), 40_000), (3, Some(3), 30_000)];
    assert_eq!(order(&items), [1, 3, 2]);
}

/// Guards against credit for idleness: an organisation that was idle takes turns from then on.
#[test]
fn idle_organisation_gets_no_credit_for_items() {
    let mut table = SlotTable::new(1);
    let (mut now_ms, mut running) = (0, 1);
    for ticket in 1..=40 {
        table.request(0, item(ticket, Some(1), 90_000));
    }
    for _ in 0..10 {
        now_ms += RUN_MS;
        running = granted(&table.release(now_ms, Ticket(running))).expect("one waits");
    }
    for ticket in 101..=110 {
        table.request(now_ms, item(ticket, Some(2), 5_000));
    }
    let mut of_second = 0;
    for _ in 0..10 {
        now_ms += RUN_MS;
        running = granted(&table.release(now_ms, Ticket(running))).expect("one waits");
        of_second += u32::from(running > 100);
    }
    // Its turns, and the two runs by which it may be ahead since its items are due earlier.
    assert!((5..=7).contains(&of_second), "{of_second} of 10");
}

/// Guards against a change of the order where no organisations are known.
#[test]
fn order_of_items_without_shares_is_by_due_time() {
    let items: Vec<(u64, Option<u64>, Millis)> =
        (1..=20).map(|ticket| (ticket, None, 60_000 - 1_000 * (ticket % 7))).collect();
    let mut expected: Vec<u64> = (2..=20).collect();
    expected.sort_by_key(|ticket| (60_000 - 1_000 * (ticket % 7), *ticket));
    assert_eq!(order(&items)[1..], expected);
}

/// Guards against items of older builds that never run beside those with shares.
#[test]
fn items_without_share_share_one_turn() {
    let mut items: Vec<(u64, Option<u64>, Millis)> =
        (1..=10).map(|ticket| (ticket, Some(1), 60_000)).collect();
    items.extend((101..=105).map(|ticket| (ticket, None, 90_000)));
    let order = order(&items);
    let without = order[..8].iter().filter(|ticket| **ticket > 100).count();
    assert!((2..=5).contains(&without), "{order:?}");
}
