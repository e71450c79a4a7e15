//! Who tells the others of a change.

use catalog::ReplicaSet;
use catalog::ReplicaView;
use node::knowledge::Source;
use node::news::News;
use peers::Topic;
use peers::transport::decode;
use peers::transport::encode;
use wire::ReplicaRecord;

/// What a link of 30 Mbit/s, that of a small host, carries in 60 ms.
const LIST_BYTES: usize = 225_000;

#[test]
fn a_daemon_that_heard_of_a_change_from_a_peer_does_not_hurry_to_tell_all_others() {
    assert!(Source::Store.is_told_at_once());
    assert!(Source::Hold.is_told_at_once());
    assert!(!Source::Peer.is_told_at_once());
}

#[test]
fn changes_are_told_for_a_while_from_before_the_oldest_new_one() {
    let mut news = News::default();
    assert_eq!(news.since(0), None);
    news.changed(100, 7);
    news.changed(600, 9);
    assert_eq!(news.since(1_000), Some(7));
    assert_eq!(news.since(1_100), Some(9));
    assert_eq!(news.since(1_600), None);
}

#[test]
fn the_list_of_a_large_fleet_is_small_enough_for_the_link_of_a_small_host() {
    let record = |number: u32| ReplicaRecord {
        name: format!("i-{number:010x}").as_str().into(),
        service: "wash-llm".into(),
        address: ([10, 3, 64, 23], 8_364).into(),
        data_centre: "hcm-a".into(),
        slots: 8,
        is_draining: false,
        cold_left_ms: 0,
        started_unix_ms: 1_790_000_000_000,
    };
    let mut set = ReplicaSet::default();
    set.replace(0, 10, (0..3_000).map(record).collect());
    let view = set.view(0);
    let bytes = encode(Topic::Replicas, &view);
    assert!(bytes.len() < LIST_BYTES, "{} bytes", bytes.len());
    assert_eq!(decode::<ReplicaView>(Topic::Replicas, &bytes), Some(view));
}
