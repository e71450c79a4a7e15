//! Tests of what ends the knowledge that a replica has announced its leaving.

use std::net::SocketAddr;

use catalog::Incarnation;
use catalog::ReplicaChange;
use catalog::ReplicaSet;
use catalog::leaving::UNLISTED_KEEP_MS;
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

/// Records that the store has been in contact for so long that a missing record is gone.
fn keep_contact(set: &mut ReplicaSet, until_ms: Millis) {
    for answered_ms in (until_ms - 2 * MISSING_HOLD_MS..=until_ms).step_by(100) {
        set.tick(answered_ms);
        set.record_store_answer(answered_ms, answered_ms);
    }
}

/// Returns a set with two replicas of which the first has announced that it leaves.
fn set_with_leaving(leaving: &ReplicaRecord) -> ReplicaSet {
    let mut set = ReplicaSet::default();
    set.replace(0, 10, vec![leaving.clone(), replica("other")]);
    keep_contact(&mut set, 2 * MISSING_HOLD_MS);
    assert!(set.is_usable(leaving));
    assert!(set.record_leaving(0, Incarnation::from(leaving)), "the announcement is new");
    assert!(!set.record_leaving(1, Incarnation::from(leaving)), "the announcement is known");
    set
}

fn usable(set: &ReplicaSet) -> Vec<String> {
    set.usable_records().map(|record| record.name.to_string()).collect()
}

#[test]
fn ready_record_does_not_undo_announcement() {
    let leaving = replica("a");
    let mut set = set_with_leaving(&leaving);
    let changed = ReplicaRecord { slots: 4, ..leaving.clone() };
    set.apply(1, 11, ReplicaChange::Set(changed.clone()));
    assert_eq!(usable(&set), ["other"]);
    set.replace(2, 12, vec![leaving.clone(), replica("other")]);
    assert_eq!(usable(&set), ["other"]);
    assert!(!set.is_usable(&leaving) && !set.is_usable(&changed));
}

#[test]
fn view_of_peer_does_not_undo_announcement() {
    let leaving = replica("a");
    let mut set = set_with_leaving(&leaving);
    let mut peer = ReplicaSet::default();
    let changed = ReplicaRecord { slots: 4, ..leaving.clone() };
    peer.replace(0, 11, vec![changed, replica("other"), replica("third")]);
    set.merge_view(1, peer.view(1));
    assert_eq!(usable(&set), ["other", "third"]);
}

#[test]
fn record_that_vanishes_and_returns_does_not_undo_announcement() {
    let leaving = replica("a");
    let mut set = set_with_leaving(&leaving);
    set.apply(1, 11, ReplicaChange::Gone("a".into()));
    set.tick(MISSING_HOLD_MS * 2);
    set.apply(MISSING_HOLD_MS * 2, 12, ReplicaChange::Set(leaving.clone()));
    assert_eq!(usable(&set), ["other"]);
}

#[test]
fn new_incarnation_under_the_same_name_is_usable() {
    let leaving = replica("a");
    let mut set = set_with_leaving(&leaving);
    let restarted = ReplicaRecord { started_unix_ms: 2, ..leaving.clone() };
    set.apply(1, 11, ReplicaChange::Set(restarted.clone()));
    assert_eq!(usable(&set), ["a", "other"]);
    assert!(set.is_usable(&restarted));
    assert!(!set.is_usable(&leaving), "a slot of the earlier incarnation is not usable");
}

#[test]
fn other_replica_at_the_same_address_is_usable() {
    let mut set = set_with_leaving(&replica("a"));
    set.apply(1, 11, ReplicaChange::Gone("a".into()));
    set.apply(2, 12, ReplicaChange::Set(replica("b")));
    assert_eq!(usable(&set), ["b", "other"]);
}

#[test]
fn incarnation_without_start_time_ends_with_its_record_or_address() {
    let leaving = ReplicaRecord { started_unix_ms: 0, ..replica("a") };
    let mut set = set_with_leaving(&leaving);
    set.apply(1, 11, ReplicaChange::Set(ReplicaRecord { slots: 4, ..leaving.clone() }));
    assert_eq!(usable(&set), ["other"]);
    let moved = ReplicaRecord { address: ([127, 0, 0, 2], 80).into(), ..leaving.clone() };
    set.apply(2, 12, ReplicaChange::Set(moved));
    assert_eq!(usable(&set), ["a", "other"]);
    let mut set = set_with_leaving(&leaving);
    set.apply(1, 11, ReplicaChange::Gone("a".into()));
    set.apply(2, 12, ReplicaChange::Set(leaving));
    assert_eq!(usable(&set), ["a", "other"]);
}

#[test]
fn announcement_is_kept_while_listed_and_forgotten_long_after() {
    let leaving = replica("a");
    let mut set = set_with_leaving(&leaving);
    let listed_ms = 5 * UNLISTED_KEEP_MS;
    keep_contact(&mut set, listed_ms);
    set.apply(listed_ms, 11, ReplicaChange::Gone("a".into()));
    set.tick(listed_ms + UNLISTED_KEEP_MS - 1);
    assert!(set.is_leaving(&leaving));
    set.tick(listed_ms + UNLISTED_KEEP_MS);
    assert!(!set.is_leaving(&leaving));
}
