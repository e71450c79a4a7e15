//! The choice among replicas by what is known of their load and health.

use std::net::SocketAddr;

use slots::message::Class;
use slots::message::Load;
use slots::picture::Picture;
use wire::DataCentre;
use wire::ReplicaRecord;

fn replica(name: &str, data_centre: &str) -> ReplicaRecord {
    ReplicaRecord {
        name: name.into(),
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: data_centre.into(),
        slots: 8,
        is_draining: false,
        cold_left_ms: 0,
        started_unix_ms: 1,
    }
}

fn load(online: u16, batch: u16) -> Load {
    Load { slots: 8, online, batch, online_waiting: 0, batch_waiting: 0, is_suspect: false }
}

fn chosen(picture: &Picture, now_ms: u64, replicas: &[ReplicaRecord], class: Class) -> String {
    let candidates: Vec<&ReplicaRecord> = replicas.iter().collect();
    let own = DataCentre::from("a");
    let chosen = picture.choose(now_ms, &candidates, class, &own, || 0.5);
    chosen.map_or_else(String::new, |replica| replica.name.to_string())
}

#[test]
fn a_free_slot_goes_before_one_that_must_be_taken_back() {
    let replicas = [replica("full-of-items", "a"), replica("half", "b")];
    let mut picture = Picture::default();
    picture.reported(0, &replicas[0].name, load(0, 8));
    picture.reported(0, &replicas[1].name, load(4, 0));
    assert_eq!(chosen(&picture, 1, &replicas, Class::Online), "half");
    picture.reported(0, &replicas[1].name, load(8, 0));
    assert_eq!(chosen(&picture, 1, &replicas, Class::Online), "full-of-items");
}

#[test]
fn the_own_data_centre_decides_between_equals() {
    let replicas = [replica("far", "b"), replica("near", "a")];
    assert_eq!(chosen(&Picture::default(), 0, &replicas, Class::Online), "near");
}

#[test]
fn own_wishes_count_until_the_owner_reports_again() {
    let replicas = [replica("one", "a"), replica("two", "a")];
    let mut picture = Picture::default();
    picture.reported(0, &replicas[0].name, load(7, 0));
    picture.reported(0, &replicas[1].name, load(7, 0));
    picture.asked(&replicas[0].name);
    assert_eq!(chosen(&picture, 1, &replicas, Class::Online), "two");
    assert!(!picture.has_room(&replicas[0], Class::Online));
}

#[test]
fn a_failing_replica_is_left_out_longer_each_time_and_taken_back_on_success() {
    let replicas = [replica("bad", "a"), replica("good", "b"), replica("other", "b")];
    let mut picture = Picture::default();
    let first_ms = picture.failed(0, &replicas[0].name);
    assert!(picture.is_ejected(first_ms - 1, &replicas[0].name));
    assert!(!picture.is_ejected(first_ms, &replicas[0].name));
    let second_ms = picture.failed(first_ms, &replicas[0].name);
    assert!(second_ms > first_ms);
    assert_ne!(chosen(&picture, first_ms + 1, &replicas, Class::Online), "bad");
    picture.succeeded(&replicas[0].name);
    assert_eq!(chosen(&picture, first_ms + 1, &replicas, Class::Online), "bad");
}

#[test]
fn ejection_never_leaves_a_service_without_replicas() {
    let replicas = [replica("one", "a"), replica("two", "a")];
    let mut picture = Picture::default();
    picture.failed(0, &replicas[0].name);
    picture.failed(0, &replicas[1].name);
    assert_ne!(chosen(&picture, 1, &replicas, Class::Online), "");
}

#[test]
fn a_suspect_replica_is_the_last_choice() {
    let replicas = [replica("suspect", "a"), replica("full", "b")];
    let mut picture = Picture::default();
    picture.reported(0, &replicas[0].name, Load { is_suspect: true, ..load(0, 0) });
    picture.reported(0, &replicas[1].name, load(8, 0));
    assert_eq!(chosen(&picture, 1, &replicas, Class::Online), "full");
    assert!(!picture.has_room(&replicas[0], Class::Online));
}
