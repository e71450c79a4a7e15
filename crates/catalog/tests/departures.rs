//! Tests of records that are removed while some daemons cannot reach the store.

use std::net::SocketAddr;

use catalog::ContactReport;
use catalog::ReplicaChange;
use catalog::ReplicaSet;
use catalog::replicas::HOLD_SPREAD_MS;
use catalog::replicas::MISSING_HOLD_MS;
use wire::Millis;
use wire::ReplicaRecord;

fn replica(name: &str) -> ReplicaRecord {
    ReplicaRecord {
        name: name.into(),
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: "a".into(),
        slots: 8,
        is_draining: false,
        cold_left_ms: 0,
        started_unix_ms: 1,
    }
}

fn usable_names(set: &ReplicaSet) -> Vec<String> {
    set.usable_records().map(|record| record.name.to_string()).collect()
}

// Guards against a departure that is held since this daemon alone could not reach the store.
#[test]
fn departure_is_not_held_by_a_daemon_that_alone_lost_the_store() {
    let mut set = ReplicaSet::default();
    set.record_store_answer(0, 0);
    set.replace(0, 10, vec![replica("a"), replica("b")]);
    set.merge_contact(9_900, ContactReport { since_age_ms: 9_900, latest_age_ms: 100 });
    set.record_store_answer(10_000, 10_000);
    set.replace(10_000, 20, vec![replica("b")]);
    assert_eq!(usable_names(&set), ["b"]);
}

// Guards against a hold that a peer copies over its own certain removal.
#[test]
fn hold_of_a_peer_does_not_revive_a_departed_replica() {
    let mut holder = ReplicaSet::default();
    holder.record_store_answer(9_000, 9_000);
    holder.replace(9_000, 10, vec![replica("a"), replica("b")]);
    holder.replace(10_100, 21, vec![replica("b"), replica("c")]);
    assert_eq!(usable_names(&holder), ["a", "b", "c"]);
    let mut set = ReplicaSet::default();
    set.record_store_answer(0, 0);
    set.replace(0, 10, vec![replica("a"), replica("b")]);
    set.merge_contact(9_900, ContactReport { since_age_ms: 9_900, latest_age_ms: 100 });
    set.record_store_answer(10_000, 10_000);
    set.apply(10_000, 20, ReplicaChange::Gone("a".into()));
    set.merge_view(10_110, holder.view_since(10_110, 20));
    assert_eq!(usable_names(&set), ["b", "c"]);
}

// Guards against holds that each lost call of this daemon starts anew.
#[test]
fn lost_calls_of_one_daemon_do_not_prolong_a_hold() {
    let mut set = ReplicaSet::default();
    set.record_store_answer(0, 0);
    set.replace(0, 10, vec![replica("a"), replica("b")]);
    let back_ms = 10_000;
    set.record_store_answer(back_ms, back_ms);
    set.replace(back_ms, 20, vec![replica("b")]);
    assert_eq!(usable_names(&set), ["a", "b"], "the record may have expired");
    let mut end_ms: Option<Millis> = None;
    for now_ms in (back_ms..back_ms + 3 * MISSING_HOLD_MS).step_by(50) {
        let since_age_ms = now_ms - back_ms;
        set.merge_contact(now_ms, ContactReport { since_age_ms, latest_age_ms: 40 });
        if now_ms % 4_000 == 0 {
            set.record_store_answer(now_ms, now_ms);
        }
        set.tick(now_ms);
        if usable_names(&set) == ["b"] {
            end_ms = end_ms.or(Some(now_ms));
        }
    }
    let end_ms = end_ms.expect("the hold ends");
    let held_ms = end_ms - back_ms;
    assert!((MISSING_HOLD_MS..=MISSING_HOLD_MS + HOLD_SPREAD_MS + 100).contains(&held_ms));
}

// Guards against live replicas that are dropped since a daemon that started in an outage never knew their records.
#[test]
fn complete_list_of_a_daemon_that_started_in_an_outage_drops_no_record() {
    let mut set = ReplicaSet::default();
    set.record_store_answer(0, 0);
    set.replace(0, 12, vec![replica("a"), replica("b")]);
    let mut started = ReplicaSet::default();
    started.record_store_answer(9_000, 9_000);
    started.replace(9_000, 26, vec![]);
    set.merge_view(9_010, started.view_since(9_010, set.revision()));
    assert_eq!(usable_names(&set), ["a", "b"]);
    started.apply(10_000, 27, ReplicaChange::Set(replica("a")));
    set.merge_view(10_010, started.view_since(10_010, set.revision()));
    set.merge_contact(12_000, ContactReport { since_age_ms: 3_000, latest_age_ms: 0 });
    set.tick(12_010);
    assert_eq!(usable_names(&set), ["a"]);
}

// Guards against lapsed records that are dropped since a report arrived seconds late in an outage.
#[test]
fn late_report_of_a_peer_does_not_hide_an_outage() {
    let mut set = ReplicaSet::default();
    set.record_store_answer(0, 0);
    set.replace(0, 10, vec![replica("a"), replica("b")]);
    for now_ms in (0..=10_000).step_by(50) {
        set.tick(now_ms);
        set.record_store_answer(now_ms, now_ms);
    }
    (10_000..12_000).step_by(50).for_each(|now_ms| drop(set.tick(now_ms)));
    set.merge_contact(12_000, ContactReport { since_age_ms: 10_000, latest_age_ms: 0 });
    (12_000..13_000).step_by(50).for_each(|now_ms| drop(set.tick(now_ms)));
    set.record_store_answer(13_000, 13_000);
    set.replace(13_000, 20, vec![replica("b")]);
    assert_eq!(usable_names(&set), ["a", "b"]);
}
