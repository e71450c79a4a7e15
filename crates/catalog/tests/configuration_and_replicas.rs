//! Tests of the configuration in force and the replica set: store outages and outdated updates.

use std::net::SocketAddr;
use std::sync::Arc;

use catalog::ConfigurationInForce;
use catalog::ReplicaChange;
use catalog::ReplicaSet;
use catalog::replicas::MISSING_HOLD_MS;
use wire::Configuration;
use wire::Millis;
use wire::ReplicaRecord;
use wire::route::IngressLimits;

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

/// Records answers of the store without a gap in a period.
fn keep_contact(set: &mut ReplicaSet, from_ms: Millis, to_ms: Millis) {
    for answered_ms in (from_ms..to_ms).step_by(500).chain([to_ms]) {
        set.record_store_answer(answered_ms, answered_ms);
    }
}

fn usable_names(set: &ReplicaSet) -> Vec<String> {
    set.usable_records().map(|record| record.name.to_string()).collect()
}

fn configuration(version: u64) -> Arc<Configuration> {
    let limits = IngressLimits { header_bytes: 1, body_bytes: 1, header_ms: 1, idle_ms: 1 };
    Arc::new(Configuration::new(version, limits, Vec::new(), Vec::new()))
}

fn names(set: &ReplicaSet) -> Vec<String> {
    set.records().map(|record| record.name.to_string()).collect()
}

#[test]
fn version_in_force_never_decreases() {
    let mut in_force = ConfigurationInForce::default();
    assert!(in_force.update_if_newer(0, configuration(5)));
    assert!(!in_force.update_if_newer(1, configuration(5)));
    assert!(!in_force.update_if_newer(2, configuration(4)));
    assert!(in_force.update_if_newer(3, configuration(9)));
    assert_eq!(in_force.version(), 9);
}

#[test]
fn configuration_is_outdated_while_another_daemon_reports_a_newer_one() {
    let mut in_force = ConfigurationInForce::default();
    assert!(!in_force.is_outdated());
    in_force.update_if_newer(0, configuration(5));
    in_force.record_reported(5);
    assert!(!in_force.is_outdated());
    in_force.record_reported(9);
    in_force.record_reported(7);
    in_force.update_if_newer(1, configuration(8));
    assert!(in_force.is_outdated());
    in_force.update_if_newer(2, configuration(9));
    assert!(!in_force.is_outdated());
}

#[test]
fn missing_record_is_removed_at_once_while_store_is_reachable() {
    let mut set = ReplicaSet::default();
    set.replace(0, 10, vec![replica("a"), replica("b")]);
    keep_contact(&mut set, 0, MISSING_HOLD_MS);
    let change = set.apply(MISSING_HOLD_MS, 11, ReplicaChange::Gone("a".into()));
    assert_eq!(change, Some(ReplicaChange::Gone("a".into())));
    assert_eq!(names(&set), ["b"]);
}

#[test]
fn record_expired_during_outage_is_held_until_renewed() {
    let mut set = ReplicaSet::default();
    set.replace(0, 10, vec![replica("a"), replica("b")]);
    keep_contact(&mut set, 0, 5_000);
    let back_ms = 10_000;
    set.record_store_answer(back_ms, back_ms);
    assert!(set.replace(back_ms + 10, 20, Vec::new()).is_empty());
    assert_eq!(usable_names(&set), ["a", "b"]);
    set.apply(back_ms + 400, 21, ReplicaChange::Set(replica("a")));
    let end_ms = set.next_hold_end_ms().unwrap_or_default();
    assert_eq!(end_ms, back_ms + MISSING_HOLD_MS);
    keep_contact(&mut set, back_ms, end_ms - 1);
    assert!(set.replace(end_ms - 1, 22, vec![replica("a")]).is_empty());
    assert_eq!(usable_names(&set), ["a", "b"]);
    set.record_store_answer(end_ms, end_ms);
    let gone = set.replace(end_ms, 23, vec![replica("a")]);
    assert_eq!(gone, [ReplicaChange::Gone("b".into())]);
    assert_eq!(names(&set), ["a"]);
    assert_eq!((set.revision(), set.next_hold_end_ms()), (23, None));
}

#[test]
fn no_record_is_removed_while_store_is_unreachable() {
    let mut set = ReplicaSet::default();
    set.replace(0, 10, vec![replica("a")]);
    keep_contact(&mut set, 0, 5_000);
    set.tick(60_000);
    assert_eq!(set.apply(60_000, 11, ReplicaChange::Gone("a".into())), None);
    assert!(set.replace(60_001, 12, Vec::new()).is_empty());
    assert!(set.tick(60_050).is_empty());
    assert_eq!((names(&set), usable_names(&set)), (vec!["a".to_owned()], vec!["a".to_owned()]));
}

#[test]
fn view_of_peer_is_merged_only_if_newer() {
    let mut watcher = ReplicaSet::default();
    watcher.replace(0, 10, vec![replica("a")]);
    let mut peer = ReplicaSet::default();
    assert_eq!(peer.merge_view(0, watcher.view(0)).len(), 1);
    watcher.apply(1, 11, ReplicaChange::Set(replica("b")));
    let old = peer.view(1);
    peer.merge_view(1, watcher.view(1));
    assert_eq!(names(&peer), ["a", "b"]);
    assert!(peer.merge_view(2, old).is_empty());
    assert_eq!(peer.revision(), 11);
}

#[test]
fn change_without_effect_keeps_the_revision() {
    let mut set = ReplicaSet::default();
    set.replace(0, 10, vec![replica("a")]);
    keep_contact(&mut set, 0, 2 * MISSING_HOLD_MS);
    assert_eq!(set.apply(1, 15, ReplicaChange::Set(replica("a"))), None);
    assert_eq!(set.revision(), 10);
    let restarted = ReplicaRecord { started_unix_ms: 2, ..replica("a") };
    assert!(set.apply(2, 16, ReplicaChange::Set(restarted)).is_some());
    assert_eq!(set.revision(), 16);
}

#[test]
fn removal_after_hold_reaches_peers() {
    let mut watcher = ReplicaSet::default();
    watcher.replace(0, 10, vec![replica("a")]);
    let mut peer = ReplicaSet::default();
    peer.merge_view(0, watcher.view(0));
    watcher.record_store_answer(0, 0);
    watcher.replace(1, 30, Vec::new());
    keep_contact(&mut watcher, 0, MISSING_HOLD_MS);
    watcher.replace(MISSING_HOLD_MS, 31, Vec::new());
    let report = watcher.contact().report(MISSING_HOLD_MS).expect("the store answered");
    peer.merge_contact(MISSING_HOLD_MS, report);
    peer.merge_view(MISSING_HOLD_MS, watcher.view(MISSING_HOLD_MS));
    assert!(names(&peer).is_empty());
}

#[test]
fn peer_within_kept_changes_gets_only_the_difference() {
    let mut watcher = ReplicaSet::default();
    watcher.replace(0, 10, (0..600).map(|number| replica(&format!("r{number}"))).collect());
    let mut peer = ReplicaSet::default();
    peer.merge_view(0, watcher.view_since(0, 0));
    watcher.apply(1, 11, ReplicaChange::Set(replica("b")));
    keep_contact(&mut watcher, 1, 1 + MISSING_HOLD_MS);
    watcher.apply(2, 12, ReplicaChange::Gone("r7".into()));
    watcher.apply(3, 13, ReplicaChange::Set(ReplicaRecord { is_draining: true, ..replica("r8") }));
    let view = watcher.view_since(3, peer.revision());
    assert_eq!((view.entries.len(), view.gone.len()), (2, 1));
    assert_eq!(peer.merge_view(3, view).len(), 3);
    assert_eq!((peer.revision(), peer.digest()), (13, watcher.digest()));
    assert_eq!(peer.view_since(4, 13).entries, []);
    assert_eq!(
        peer.view_since(4, 9).entries.len(),
        600,
        "a peer that lags beyond the kept changes gets the complete list"
    );
}

#[test]
fn digest_reveals_different_lists_under_same_revision() {
    let mut watcher = ReplicaSet::default();
    watcher.replace(0, 10, vec![replica("a"), replica("b")]);
    let mut peer = ReplicaSet::default();
    peer.merge_view(0, watcher.view(0));
    // Only at this peer "a" went missing during an outage, and its hold ended at revision 11.
    peer.apply(1, 10, ReplicaChange::Gone("a".into()));
    keep_contact(&mut peer, 1, 1 + MISSING_HOLD_MS);
    peer.replace(1 + MISSING_HOLD_MS, 11, vec![replica("b")]);
    assert_eq!((names(&peer).join(" "), peer.revision()), ("b".to_owned(), 11));
    watcher.apply(2, 11, ReplicaChange::Set(ReplicaRecord { is_draining: true, ..replica("a") }));
    watcher.apply(3, 12, ReplicaChange::Set(replica("c")));
    let view = watcher.view_since(3, peer.revision());
    let digest = view.digest;
    peer.merge_view(3, view);
    assert_ne!(peer.digest(), digest);
    peer.merge_view(3, watcher.view_since(3, 0));
    assert_eq!(peer.digest(), watcher.digest());
    assert_eq!(names(&peer), ["a", "b", "c"]);
}

#[test]
fn difference_from_unknown_revision_is_ignored() {
    let mut watcher = ReplicaSet::default();
    watcher.replace(0, 10, vec![replica("a")]);
    watcher.apply(1, 11, ReplicaChange::Set(replica("b")));
    let mut peer = ReplicaSet::default();
    assert!(peer.merge_view(2, watcher.view_since(2, 10)).is_empty());
    assert_eq!(peer.revision(), 0);
}

#[test]
fn generation_changes_with_every_change_of_set() {
    let mut set = ReplicaSet::default();
    set.replace(0, 10, vec![replica("a")]);
    keep_contact(&mut set, 0, 2 * MISSING_HOLD_MS);
    let first = set.generation();
    set.apply(1, 11, ReplicaChange::Set(replica("a")));
    assert_eq!(set.generation(), first, "the record is the same");
    let delayed = ReplicaRecord { is_draining: true, ..replica("a") };
    set.apply(2, 9, ReplicaChange::Set(delayed));
    assert_eq!(set.revision(), 10);
    assert_ne!(set.generation(), first, "a change of an older revision counts as well");
}

#[test]
fn numbers_near_the_largest_do_not_overflow() {
    let mut set = ReplicaSet::default();
    set.replace(0, u64::MAX, vec![replica("a"), replica("b")]);
    set.apply(1, u64::MAX, ReplicaChange::Gone("a".into()));
    keep_contact(&mut set, 2, 3_000);
    let gone = set.replace(3_000, u64::MAX, vec![replica("b")]);
    assert_eq!(gone, [ReplicaChange::Gone("a".into())]);
    let mut view = set.view(3_000);
    view.entries[0].hold_left_ms = Some(u64::MAX);
    let mut peer = ReplicaSet::default();
    peer.merge_view(10, view);
    assert_eq!(names(&peer), ["b"]);
    assert_eq!(peer.next_hold_end_ms(), Some(10 + MISSING_HOLD_MS));
}
