//! The configuration in force and the replicas, through outages and old news.

use std::net::SocketAddr;
use std::sync::Arc;

use catalog::InForce;
use catalog::ReplicaChange;
use catalog::ReplicaSet;
use catalog::replicas::LAPSE_HOLD_MS;
use wire::Configuration;
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

fn configuration(version: u64) -> Arc<Configuration> {
    let limits = IngressLimits { header_bytes: 1, body_bytes: 1, header_ms: 1, idle_ms: 1 };
    Arc::new(Configuration::new(version, limits, Vec::new(), Vec::new()))
}

fn names(set: &ReplicaSet) -> Vec<String> {
    set.records().map(|record| record.name.to_string()).collect()
}

#[test]
fn the_version_in_force_never_falls() {
    let mut in_force = InForce::default();
    assert!(in_force.offer(0, configuration(5)));
    assert!(!in_force.offer(1, configuration(5)));
    assert!(!in_force.offer(2, configuration(4)));
    assert!(in_force.offer(3, configuration(9)));
    assert_eq!(in_force.version(), 9);
}

#[test]
fn a_record_that_vanishes_is_gone_at_once_while_the_store_answers() {
    let mut set = ReplicaSet::default();
    set.replace(0, 10, vec![replica("a"), replica("b")]);
    let change = set.apply(1, 11, ReplicaChange::Gone("a".into()));
    assert_eq!(change, Some(ReplicaChange::Gone("a".into())));
    assert_eq!(names(&set), ["b"]);
}

#[test]
fn a_record_that_lapsed_during_an_outage_may_come_back() {
    let mut set = ReplicaSet::default();
    set.replace(0, 10, vec![replica("a"), replica("b")]);
    set.store_lost();
    set.store_returned(100);
    assert!(set.replace(110, 20, Vec::new()).is_empty());
    assert_eq!(names(&set), ["a", "b"]);
    set.apply(500, 21, ReplicaChange::Set(replica("a")));
    let gone = set.tick(100 + LAPSE_HOLD_MS);
    assert_eq!(gone, [ReplicaChange::Gone("b".into())]);
    assert_eq!(names(&set), ["a"]);
}

#[test]
fn nothing_is_dropped_while_the_store_is_away() {
    let mut set = ReplicaSet::default();
    set.replace(0, 10, vec![replica("a")]);
    set.store_lost();
    assert!(set.tick(60_000).is_empty());
    assert_eq!(names(&set), ["a"]);
}

#[test]
fn a_peers_view_is_taken_only_if_it_is_newer() {
    let mut watcher = ReplicaSet::default();
    watcher.replace(0, 10, vec![replica("a")]);
    let mut other = ReplicaSet::default();
    assert_eq!(other.adopt(0, watcher.view(0)).len(), 1);
    watcher.apply(1, 11, ReplicaChange::Set(replica("b")));
    let old = other.view(1);
    other.adopt(1, watcher.view(1));
    assert_eq!(names(&other), ["a", "b"]);
    assert!(other.adopt(2, old).is_empty());
    assert_eq!(other.revision(), 11);
}

#[test]
fn a_change_without_effect_is_no_news_for_peers() {
    let mut set = ReplicaSet::default();
    set.replace(0, 10, vec![replica("a")]);
    assert_eq!(set.apply(1, 15, ReplicaChange::Set(replica("a"))), None);
    assert_eq!(set.revision(), 10);
    let restarted = ReplicaRecord { started_unix_ms: 2, ..replica("a") };
    assert!(set.apply(2, 16, ReplicaChange::Set(restarted)).is_some());
    assert_eq!(set.revision(), 16);
}

#[test]
fn the_end_of_a_hold_is_news_for_peers() {
    let mut watcher = ReplicaSet::default();
    watcher.replace(0, 10, vec![replica("a")]);
    let mut other = ReplicaSet::default();
    other.adopt(0, watcher.view(0));
    watcher.store_lost();
    watcher.store_returned(0);
    watcher.replace(1, 30, Vec::new());
    watcher.tick(LAPSE_HOLD_MS);
    other.adopt(LAPSE_HOLD_MS, watcher.view(LAPSE_HOLD_MS));
    assert!(names(&other).is_empty());
}

#[test]
fn a_peer_that_lags_little_gets_only_what_changed() {
    let mut watcher = ReplicaSet::default();
    watcher.replace(0, 10, (0..600).map(|number| replica(&format!("r{number}"))).collect());
    let mut other = ReplicaSet::default();
    other.adopt(0, watcher.view_since(0, 0));
    watcher.apply(1, 11, ReplicaChange::Set(replica("b")));
    watcher.apply(2, 12, ReplicaChange::Gone("r7".into()));
    watcher.apply(3, 13, ReplicaChange::Set(ReplicaRecord { is_draining: true, ..replica("r8") }));
    let view = watcher.view_since(3, other.revision());
    assert_eq!((view.entries.len(), view.gone.len()), (2, 1));
    assert_eq!(other.adopt(3, view).len(), 3);
    assert_eq!((other.revision(), other.digest()), (13, watcher.digest()));
    assert_eq!(other.view_since(4, 13).entries, []);
    assert_eq!(other.view_since(4, 9).entries.len(), 600, "what is not remembered comes whole");
}

#[test]
fn a_list_that_differs_under_the_same_revision_is_told_by_its_digest() {
    let mut watcher = ReplicaSet::default();
    watcher.replace(0, 10, vec![replica("a"), replica("b")]);
    let mut other = ReplicaSet::default();
    other.adopt(0, watcher.view(0));
    // Only here "a" was missing for a moment, and its hold ended under the revision 11.
    other.store_lost();
    other.apply(1, 10, ReplicaChange::Gone("a".into()));
    other.store_returned(1);
    other.tick(1 + LAPSE_HOLD_MS);
    assert_eq!((names(&other).join(" "), other.revision()), ("b".to_owned(), 11));
    watcher.apply(2, 11, ReplicaChange::Set(ReplicaRecord { is_draining: true, ..replica("a") }));
    watcher.apply(3, 12, ReplicaChange::Set(replica("c")));
    let view = watcher.view_since(3, other.revision());
    let digest = view.digest;
    other.adopt(3, view);
    assert_ne!(other.digest(), digest);
    other.adopt(3, watcher.view_since(3, 0));
    assert_eq!(other.digest(), watcher.digest());
    assert_eq!(names(&other), ["a", "b", "c"]);
}

#[test]
fn a_view_that_goes_on_from_what_is_not_known_here_changes_nothing() {
    let mut watcher = ReplicaSet::default();
    watcher.replace(0, 10, vec![replica("a")]);
    watcher.apply(1, 11, ReplicaChange::Set(replica("b")));
    let mut other = ReplicaSet::default();
    assert!(other.adopt(2, watcher.view_since(2, 10)).is_empty());
    assert_eq!(other.revision(), 0);
}

#[test]
fn every_change_of_the_set_has_a_generation_of_its_own() {
    let mut set = ReplicaSet::default();
    set.replace(0, 10, vec![replica("a")]);
    let first = set.generation();
    set.apply(1, 11, ReplicaChange::Set(replica("a")));
    assert_eq!(set.generation(), first, "nothing has changed");
    let late = ReplicaRecord { is_draining: true, ..replica("a") };
    set.apply(2, 9, ReplicaChange::Set(late));
    assert_eq!(set.revision(), 10);
    assert_ne!(set.generation(), first, "a late change is one, too");
}
