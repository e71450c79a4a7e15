//! The owner's table: who gets a slot, who waits, who gives way.

use slots::message::Class;
use slots::message::Run;
use slots::message::Ticket;
use slots::message::Urgency;
use slots::table::Table;
use slots::table::TableAction;
use slots::table::Wish;
use wire::DaemonName;

fn holder() -> DaemonName {
    DaemonName::from("holder")
}

fn wish(ticket: u64, class: Class, on_time_left_ms: u64) -> Wish {
    let urgency = Urgency { on_time_left_ms, order_left_ms: on_time_left_ms };
    Wish { ticket: Ticket(ticket), holder: holder(), class, urgency, give_up_left_ms: 5_000 }
}

fn grants(actions: &[TableAction]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|action| match action {
            TableAction::Grant { ticket, .. } => Some(ticket.0),
            _ => None,
        })
        .collect()
}

fn revokes(actions: &[TableAction]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|action| match action {
            TableAction::Revoke { ticket, .. } => Some(ticket.0),
            _ => None,
        })
        .collect()
}

#[test]
fn slots_are_granted_until_none_is_left() {
    let mut table = Table::new(2);
    assert_eq!(grants(&table.ask(0, wish(1, Class::Online, 100))), [1]);
    assert_eq!(grants(&table.ask(0, wish(2, Class::Online, 100))), [2]);
    let actions = table.ask(0, wish(3, Class::Online, 100));
    assert_eq!(actions, [TableAction::Queue { holder: holder(), ticket: Ticket(3) }]);
    assert_eq!(grants(&table.release(5, Ticket(1))), [3]);
}

#[test]
fn runs_of_a_lost_daemon_keep_their_slots_until_the_replica_says_otherwise() {
    let mut table = Table::new(2);
    let other = DaemonName::from("other");
    table.ask(0, Wish { holder: other.clone(), ..wish(1, Class::Batch, 100) });
    table.ask(0, wish(2, Class::Online, 100));
    table.ask(0, wish(3, Class::Online, 100));
    assert!(grants(&table.holder_lost(10, &other)).is_empty(), "the replica still runs the item");
    assert_eq!(table.load().online, 2, "other daemons see that the slot is taken");
    assert!(grants(&table.observed(20, 2)).is_empty());
    assert_eq!(grants(&table.observed(30, 1)), [3], "the replica has dropped the item");
    assert_eq!(table.foreign(), 0);
}

#[test]
fn runs_that_turn_out_to_have_a_holder_are_no_longer_foreign() {
    let mut table = Table::new(3);
    assert!(grants(&table.observed(0, 3)).is_empty());
    assert!(grants(&table.ask(0, wish(1, Class::Online, 100))).is_empty());
    let urgency = Urgency { on_time_left_ms: 100, order_left_ms: 100 };
    let run = |ticket| Run { ticket: Ticket(ticket), class: Class::Batch, urgency };
    table.held(5, &DaemonName::from("other"), &[run(7), run(8)]);
    assert_eq!((table.foreign(), table.load().batch), (1, 2));
    assert_eq!(grants(&table.observed(10, 2)), [1]);
}

#[test]
fn a_replica_cannot_have_more_foreign_runs_than_slots() {
    let mut table = Table::new(2);
    table.observed(0, 1_000);
    assert_eq!(table.foreign(), 2);
    assert!(grants(&table.ask(1, wish(1, Class::Online, 100))).is_empty());
    assert_eq!(grants(&table.observed(2, 0)), [1]);
}

#[test]
fn a_repeated_wish_is_answered_again_and_counts_once() {
    let mut table = Table::new(1);
    table.ask(0, wish(1, Class::Online, 100));
    assert_eq!(grants(&table.ask(1, wish(1, Class::Online, 99))), [1]);
    table.ask(1, wish(2, Class::Online, 100));
    table.ask(2, wish(2, Class::Online, 99));
    assert_eq!(table.load().online_waiting, 1);
}

#[test]
fn an_online_request_takes_the_slot_of_the_item_with_the_most_time_left() {
    let mut table = Table::new(2);
    table.ask(0, wish(1, Class::Batch, 9_000));
    table.ask(0, wish(2, Class::Batch, 15_000));
    let actions = table.ask(10, wish(3, Class::Online, 200));
    assert_eq!(revokes(&actions), [2]);
    assert_eq!(grants(&actions), [0_u64; 0]);
    assert_eq!(grants(&table.release(12, Ticket(2))), [3]);
}

#[test]
fn of_equal_items_the_one_that_ran_shortest_gives_way() {
    let mut table = Table::new(2);
    table.ask(0, wish(1, Class::Batch, 9_000));
    table.ask(3_000, wish(2, Class::Batch, 6_000));
    assert_eq!(revokes(&table.ask(3_100, wish(3, Class::Online, 200))), [2]);
}

#[test]
fn an_item_that_does_not_give_way_is_left_for_another_one() {
    let mut table = Table::new(2);
    table.ask(0, wish(1, Class::Batch, 9_000));
    table.ask(0, wish(2, Class::Batch, 15_000));
    assert_eq!(revokes(&table.ask(10, wish(3, Class::Online, 200))), [2]);
    assert_eq!(revokes(&table.tick(20)), [0_u64; 0], "the holder has had no time yet");
    assert_eq!(revokes(&table.tick(60)), [1]);
    assert_eq!(revokes(&table.tick(300)), [2], "a lost message is sent again");
}

#[test]
fn online_goes_before_batch_and_those_on_time_before_those_that_are_late() {
    let mut table = Table::new(1);
    table.ask(0, wish(1, Class::Online, 100));
    table.ask(0, wish(2, Class::Batch, 5));
    table.ask(0, wish(3, Class::Online, 10));
    table.ask(0, wish(4, Class::Online, 300));
    table.ask(0, wish(5, Class::Online, 250));
    let order: Vec<u64> = [1, 5, 4, 3, 2]
        .into_iter()
        .flat_map(|ticket| grants(&table.release(100, Ticket(ticket))))
        .collect();
    assert_eq!(order, [5, 4, 3, 2]);
}

#[test]
fn no_item_gets_a_slot_right_after_a_revocation() {
    let mut table = Table::new(1);
    table.ask(0, wish(1, Class::Batch, 9_000));
    table.ask(0, wish(2, Class::Batch, 9_000));
    table.ask(10, wish(3, Class::Online, 200));
    assert_eq!(grants(&table.release(12, Ticket(1))), [3]);
    assert_eq!(grants(&table.release(50, Ticket(3))), [0_u64; 0]);
    assert_eq!(grants(&table.tick(320)), [2]);
}

#[test]
fn a_holders_list_heals_lost_messages() {
    let mut table = Table::new(2);
    table.ask(0, wish(1, Class::Online, 100));
    table.ask(0, wish(2, Class::Online, 100));
    let urgency = Urgency { on_time_left_ms: 0, order_left_ms: 0 };
    let run = |ticket| Run { ticket: Ticket(ticket), class: Class::Online, urgency };
    table.held(100, &holder(), &[run(1)]);
    assert_eq!(table.load().online, 2, "a fresh grant may not be in the list yet");
    table.held(600, &holder(), &[run(1)]);
    assert_eq!(table.load().online, 1, "a lost release is made good");
    table.held(700, &holder(), &[run(1), run(9)]);
    assert_eq!(table.load().online, 2, "a run without a grant counts");
}

#[test]
fn what_a_lost_holder_had_is_free_again() {
    let mut table = Table::new(1);
    table.ask(0, wish(1, Class::Online, 100));
    let other = Wish { holder: DaemonName::from("other"), ..wish(2, Class::Online, 100) };
    table.ask(0, other);
    assert!(grants(&table.holder_lost(10, &holder())).is_empty(), "the replica may still run it");
    assert_eq!(grants(&table.observed(12, 0)), [2]);
}

#[test]
fn foreign_runs_that_nobody_can_confirm_free_their_slots_in_time() {
    let mut table = Table::new(1);
    table.ask(0, wish(1, Class::Online, 100));
    table.holder_lost(10, &holder());
    let other = Wish { holder: DaemonName::from("other"), ..wish(2, Class::Online, 100) };
    table.ask(4_000, Wish { give_up_left_ms: 9_000, ..other });
    assert!(grants(&table.tick(6_000)).is_empty());
    assert_eq!(grants(&table.tick(6_010)), [2]);
}

#[test]
fn a_new_owner_counts_what_the_old_one_had_granted_until_holders_have_spoken() {
    let mut table = Table::inherit(4, 3, 400);
    let granted: usize =
        (1..=4).map(|ticket| grants(&table.ask(0, wish(ticket, Class::Online, 900))).len()).sum();
    assert_eq!(granted, 1);
    assert_eq!(grants(&table.tick(400)).len(), 3);
}

#[test]
fn a_wish_that_has_waited_too_long_is_dropped() {
    let mut table = Table::new(1);
    table.ask(0, wish(1, Class::Online, 100));
    table.ask(0, Wish { give_up_left_ms: 50, ..wish(2, Class::Online, 20) });
    table.tick(60);
    assert_eq!(table.load().online_waiting, 0);
    assert_eq!(grants(&table.release(70, Ticket(1))), [0_u64; 0]);
}

#[test]
fn a_suspect_replica_gets_nothing_until_it_is_trusted_again() {
    let mut table = Table::new(2);
    assert!(table.suspect());
    assert!(!table.suspect(), "only the first suspicion is news");
    assert_eq!(grants(&table.ask(0, wish(1, Class::Online, 100))), [0_u64; 0]);
    assert!(table.load().is_suspect);
    assert_eq!(grants(&table.trust(10)), [1]);
}

/// A table of one slot at which runs take 500 ms and a request has waited in vain at 2,000 ms.
fn overloaded() -> Table {
    let mut table = Table::new(1);
    table.ask(0, wish(1, Class::Online, 240));
    table.release(500, Ticket(1));
    table.ask(500, wish(2, Class::Online, 240));
    table.ask(500, Wish { give_up_left_ms: 1_500, ..wish(3, Class::Online, 240) });
    table.release(1_990, Ticket(3));
    table
}

fn is_refused(actions: &[TableAction], ticket: u64) -> bool {
    actions.contains(&TableAction::Refuse { holder: holder(), ticket: Ticket(ticket) })
}

#[test]
fn where_requests_wait_in_vain_one_that_would_be_late_is_refused_at_once() {
    let mut table = overloaded();
    let first = table.ask(2_000, wish(4, Class::Online, 240));
    assert!(!is_refused(&first, 4), "it is the next one");
    assert!(is_refused(&table.ask(2_000, wish(5, Class::Online, 240)), 5));
    assert_eq!(table.load().online_waiting, 1);
    let urgent = table.ask(2_000, wish(6, Class::Online, 100));
    assert!(!is_refused(&urgent, 6), "it is before the others");
    assert!(!is_refused(&table.ask(2_000, wish(7, Class::Batch, 240)), 7), "items can wait");
}

#[test]
fn requests_wait_again_when_nobody_waits_in_vain_any_more() {
    let mut table = overloaded();
    for ticket in 4..8 {
        table.ask(2_000, wish(ticket, Class::Online, 240));
    }
    assert!(!is_refused(&table.ask(3_500, wish(8, Class::Online, 240)), 8));
}

#[test]
fn without_overload_a_request_that_will_be_late_waits() {
    let mut table = Table::new(1);
    table.ask(0, wish(1, Class::Online, 240));
    table.release(500, Ticket(1));
    for ticket in 2..12 {
        assert!(!is_refused(&table.ask(500, wish(ticket, Class::Online, 240)), ticket));
    }
}
