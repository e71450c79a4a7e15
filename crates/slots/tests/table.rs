//! Tests of the slot table: grants, queueing, refusal and revocation.

use slots::message::Class;
use slots::message::Run;
use slots::message::Ticket;
use slots::message::Urgency;
use slots::table::GrantRequest;
use slots::table::SlotTable;
use slots::table::TableAction;
use wire::DaemonName;

fn holder() -> DaemonName {
    DaemonName::from("holder")
}

fn grant_request(ticket: u64, class: Class, on_time_left_ms: u64) -> GrantRequest {
    let urgency = Urgency { on_time_left_ms, order_left_ms: on_time_left_ms };
    GrantRequest {
        ticket: Ticket(ticket),
        holder: holder(),
        class,
        urgency,
        give_up_left_ms: 5_000,
        share: None,
    }
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
fn requests_queue_when_all_slots_are_granted() {
    let mut table = SlotTable::new(2);
    assert_eq!(grants(&table.request(0, grant_request(1, Class::Online, 100))), [1]);
    assert_eq!(grants(&table.request(0, grant_request(2, Class::Online, 100))), [2]);
    let actions = table.request(0, grant_request(3, Class::Online, 100));
    assert_eq!(actions, [TableAction::Queue { holder: holder(), ticket: Ticket(3) }]);
    assert_eq!(grants(&table.release(5, Ticket(1))), [3]);
}

#[test]
fn runs_of_a_lost_holder_occupy_slots_until_reported_ended() {
    let mut table = SlotTable::new(2);
    let other = DaemonName::from("other");
    table.request(0, GrantRequest { holder: other.clone(), ..grant_request(1, Class::Batch, 100) });
    table.request(0, grant_request(2, Class::Online, 100));
    table.request(0, grant_request(3, Class::Online, 100));
    assert!(
        grants(&table.remove_holder(10, &other)).is_empty(),
        "the replica still runs the batch item"
    );
    assert_eq!(table.load().online, 2, "other daemons see that the slot is taken");
    assert!(grants(&table.apply_in_progress(20, 2)).is_empty());
    assert_eq!(
        grants(&table.apply_in_progress(30, 1)),
        [3],
        "the replica has aborted the batch item"
    );
    assert_eq!(table.orphaned_runs(), 0);
}

#[test]
fn listed_runs_are_no_longer_orphaned() {
    let mut table = SlotTable::new(3);
    assert!(grants(&table.apply_in_progress(0, 3)).is_empty());
    assert!(grants(&table.request(0, grant_request(1, Class::Online, 100))).is_empty());
    let urgency = Urgency { on_time_left_ms: 100, order_left_ms: 100 };
    let run = |ticket| Run { ticket: Ticket(ticket), class: Class::Batch, urgency };
    table.apply_run_list(5, &DaemonName::from("other"), &[run(7), run(8)]);
    assert_eq!((table.orphaned_runs(), table.load().batch), (1, 2));
    assert_eq!(grants(&table.apply_in_progress(10, 2)), [1]);
}

#[test]
fn orphaned_runs_are_capped_at_the_slots() {
    let mut table = SlotTable::new(2);
    table.apply_in_progress(0, 1_000);
    assert_eq!(table.orphaned_runs(), 2);
    assert!(grants(&table.request(1, grant_request(1, Class::Online, 100))).is_empty());
    assert_eq!(grants(&table.apply_in_progress(2, 0)), [1]);
}

#[test]
fn a_repeated_request_is_answered_and_counts_once() {
    let mut table = SlotTable::new(1);
    table.request(0, grant_request(1, Class::Online, 100));
    assert_eq!(grants(&table.request(1, grant_request(1, Class::Online, 99))), [1]);
    table.request(1, grant_request(2, Class::Online, 100));
    table.request(2, grant_request(2, Class::Online, 99));
    assert_eq!(table.load().online_waiting, 1);
}

#[test]
fn the_batch_item_with_most_time_left_is_revoked() {
    let mut table = SlotTable::new(2);
    table.request(0, grant_request(1, Class::Batch, 9_000));
    table.request(0, grant_request(2, Class::Batch, 15_000));
    let actions = table.request(10, grant_request(3, Class::Online, 200));
    assert_eq!(revokes(&actions), [2]);
    assert_eq!(grants(&actions), [0_u64; 0]);
    assert_eq!(grants(&table.release(12, Ticket(2))), [3]);
}

#[test]
fn among_equal_items_the_shortest_run_is_revoked() {
    let mut table = SlotTable::new(2);
    table.request(0, grant_request(1, Class::Batch, 9_000));
    table.request(3_000, grant_request(2, Class::Batch, 6_000));
    assert_eq!(revokes(&table.request(3_100, grant_request(3, Class::Online, 200))), [2]);
}

#[test]
fn an_unreleased_revocation_falls_back_to_another_item() {
    let mut table = SlotTable::new(2);
    table.request(0, grant_request(1, Class::Batch, 9_000));
    table.request(0, grant_request(2, Class::Batch, 15_000));
    assert_eq!(revokes(&table.request(10, grant_request(3, Class::Online, 200))), [2]);
    assert_eq!(
        revokes(&table.tick(20)),
        [0_u64; 0],
        "the holder has had no time to release the slot"
    );
    assert_eq!(revokes(&table.tick(60)), [1]);
    assert_eq!(revokes(&table.tick(300)), [2], "the revocation is sent again in case it was lost");
}

#[test]
fn online_precedes_batch_and_on_time_precedes_late() {
    let mut table = SlotTable::new(1);
    table.request(0, grant_request(1, Class::Online, 100));
    table.request(0, grant_request(2, Class::Batch, 5));
    table.request(0, grant_request(3, Class::Online, 10));
    table.request(0, grant_request(4, Class::Online, 300));
    table.request(0, grant_request(5, Class::Online, 250));
    let order: Vec<u64> = [1, 5, 4, 3, 2]
        .into_iter()
        .flat_map(|ticket| grants(&table.release(100, Ticket(ticket))))
        .collect();
    assert_eq!(order, [5, 4, 3, 2]);
}

#[test]
fn batch_items_get_no_slot_after_a_revocation() {
    let mut table = SlotTable::new(1);
    table.request(0, grant_request(1, Class::Batch, 9_000));
    table.request(0, grant_request(2, Class::Batch, 9_000));
    table.request(10, grant_request(3, Class::Online, 200));
    assert_eq!(grants(&table.release(12, Ticket(1))), [3]);
    assert_eq!(grants(&table.release(50, Ticket(3))), [0_u64; 0]);
    assert_eq!(grants(&table.tick(320)), [2]);
}

#[test]
fn a_run_list_makes_up_for_lost_messages() {
    let mut table = SlotTable::new(2);
    table.request(0, grant_request(1, Class::Online, 100));
    table.request(0, grant_request(2, Class::Online, 100));
    let urgency = Urgency { on_time_left_ms: 0, order_left_ms: 0 };
    let run = |ticket| Run { ticket: Ticket(ticket), class: Class::Online, urgency };
    table.apply_run_list(100, &holder(), &[run(1)]);
    assert_eq!(table.load().online, 2, "a new grant may be missing from the list");
    table.apply_run_list(600, &holder(), &[run(1)]);
    assert_eq!(table.load().online, 1, "the list makes up for a lost release");
    table.apply_run_list(700, &holder(), &[run(1), run(9)]);
    assert_eq!(table.load().online, 2, "a listed run without a grant counts");
}

#[test]
fn slots_of_a_lost_holder_are_freed() {
    let mut table = SlotTable::new(1);
    table.request(0, grant_request(1, Class::Online, 100));
    let other =
        GrantRequest { holder: DaemonName::from("other"), ..grant_request(2, Class::Online, 100) };
    table.request(0, other);
    assert!(grants(&table.remove_holder(10, &holder())).is_empty(), "the replica may still run it");
    assert_eq!(grants(&table.apply_in_progress(12, 0)), [2]);
}

#[test]
fn unconfirmed_orphaned_runs_expire() {
    let mut table = SlotTable::new(1);
    table.request(0, grant_request(1, Class::Online, 100));
    table.remove_holder(10, &holder());
    let other =
        GrantRequest { holder: DaemonName::from("other"), ..grant_request(2, Class::Online, 100) };
    table.request(4_000, GrantRequest { give_up_left_ms: 9_000, ..other });
    assert!(grants(&table.tick(6_000)).is_empty());
    assert_eq!(grants(&table.tick(6_010)), [2]);
}

#[test]
fn inherited_runs_occupy_slots_until_the_list_deadline() {
    let mut table = SlotTable::inherit(4, 3, 400);
    let granted: usize = (1..=4)
        .map(|ticket| grants(&table.request(0, grant_request(ticket, Class::Online, 900))).len())
        .sum();
    assert_eq!(granted, 1);
    assert_eq!(grants(&table.tick(400)).len(), 3);
}

#[test]
fn a_queued_request_expires_at_its_time_limit() {
    let mut table = SlotTable::new(1);
    table.request(0, grant_request(1, Class::Online, 100));
    table.request(0, GrantRequest { give_up_left_ms: 50, ..grant_request(2, Class::Online, 20) });
    table.tick(60);
    assert_eq!(table.load().online_waiting, 0);
    assert_eq!(grants(&table.release(70, Ticket(1))), [0_u64; 0]);
}

#[test]
fn a_suspect_replica_grants_no_slots_until_cleared() {
    let mut table = SlotTable::new(2);
    assert!(table.mark_suspect());
    assert!(!table.mark_suspect(), "only the first report changes the state");
    assert_eq!(grants(&table.request(0, grant_request(1, Class::Online, 100))), [0_u64; 0]);
    assert!(table.load().is_suspect);
    assert_eq!(grants(&table.clear_suspect(10)), [1]);
}

/// Returns a table with one slot where runs take 500 ms and a request timed out at about 2,000 ms.
fn overloaded_table() -> SlotTable {
    let mut table = SlotTable::new(1);
    table.request(0, grant_request(1, Class::Online, 240));
    table.release(500, Ticket(1));
    table.request(500, grant_request(2, Class::Online, 240));
    table.request(
        500,
        GrantRequest { give_up_left_ms: 1_500, ..grant_request(3, Class::Online, 240) },
    );
    table.release(1_990, Ticket(3));
    table
}

fn is_refused(actions: &[TableAction], ticket: u64) -> bool {
    actions.contains(&TableAction::Refuse { holder: holder(), ticket: Ticket(ticket) })
}

#[test]
fn an_overloaded_table_refuses_requests_that_would_be_late() {
    let mut table = overloaded_table();
    let first = table.request(2_000, grant_request(4, Class::Online, 240));
    assert!(!is_refused(&first, 4), "it is next in the queue");
    assert!(is_refused(&table.request(2_000, grant_request(5, Class::Online, 240)), 5));
    assert_eq!(table.load().online_waiting, 1);
    let urgent = table.request(2_000, grant_request(6, Class::Online, 100));
    assert!(!is_refused(&urgent, 6), "it is ahead of the others");
    assert!(
        !is_refused(&table.request(2_000, grant_request(7, Class::Batch, 240)), 7),
        "items can wait"
    );
}

#[test]
fn requests_queue_again_after_overload_ends() {
    let mut table = overloaded_table();
    for ticket in 4..8 {
        table.request(2_000, grant_request(ticket, Class::Online, 240));
    }
    assert!(!is_refused(&table.request(3_500, grant_request(8, Class::Online, 240)), 8));
}

#[test]
fn request_is_not_refused_because_others_timed_out_while_the_replica_was_silent() {
    let mut table = SlotTable::new(1);
    table.request(0, grant_request(1, Class::Online, 300));
    table.mark_suspect();
    for (ticket, give_up_left_ms) in [(2, 500), (3, 850)] {
        let timed_out =
            GrantRequest { give_up_left_ms, ..grant_request(ticket, Class::Online, 300) };
        table.request(400, timed_out);
    }
    table.tick(1_000);
    table.clear_suspect(1_300);
    table.request(1_310, grant_request(4, Class::Online, 300));
    assert_eq!(grants(&table.release(1_320, Ticket(1))), [4]);
    table.request(1_330, grant_request(5, Class::Online, 300));
    let last = table.request(1_340, grant_request(6, Class::Online, 301));
    assert!(!is_refused(&last, 6), "one request is ahead of it");
}

#[test]
fn late_requests_queue_without_overload() {
    let mut table = SlotTable::new(1);
    table.request(0, grant_request(1, Class::Online, 240));
    table.release(500, Ticket(1));
    for ticket in 2..12 {
        assert!(!is_refused(
            &table.request(500, grant_request(ticket, Class::Online, 240)),
            ticket
        ));
    }
}

#[test]
fn times_and_counts_of_another_daemon_do_not_overflow() {
    let mut table = SlotTable::inherit(u32::MAX, u32::MAX, 100);
    let urgency = Urgency { on_time_left_ms: u64::MAX, order_left_ms: u64::MAX };
    let request =
        GrantRequest { urgency, give_up_left_ms: u64::MAX, ..grant_request(1, Class::Online, 0) };
    table.request(10, request);
    let run = Run { ticket: Ticket(2), class: Class::Batch, urgency };
    table.apply_run_list(20, &holder(), &[run]);
    table.apply_in_progress(30, u32::MAX);
    table.request(40, grant_request(3, Class::Online, 100));
    table.tick(200);
    assert_eq!(table.load().slots, u16::MAX);
    assert_eq!(table.load().online, u16::MAX);
}

// Guards against items that are interrupted for online requests that get no slot, since the owner
// withholds it.
#[test]
fn no_item_is_revoked_for_a_slot_that_is_withheld() {
    let mut table = SlotTable::new(4);
    for ticket in 1..=4 {
        table.request(0, grant_request(ticket, Class::Batch, 10_000));
    }
    table.set_limit(0, 0);
    assert!(revokes(&table.request(1, grant_request(9, Class::Online, 100))).is_empty());
    let revoked = revokes(&table.set_limit(2, 2));
    assert_eq!(revoked.len(), 3, "one of two slots is freed, beside the two that are withheld");
}
