//! Tests of how changes of the replicas reach the other daemons.

use catalog::ReplicaSet;
use catalog::ReplicaView;
use node::platform_state::Source;
use node::recent_changes::RecentChanges;
use peers::Topic;
use peers::transport::decode;
use peers::transport::encode;
use wire::ReplicaRecord;

/// The bytes that a 30 Mbit/s link, that of a small host, carries in 60 ms.
const MAX_LIST_BYTES: usize = 225_000;

#[test]
fn changes_from_a_peer_are_not_pushed_at_once() {
    assert!(Source::Store.is_pushed_at_once());
    assert!(!Source::Peer.is_pushed_at_once());
}

#[test]
fn changes_are_pushed_since_the_oldest_recent_one() {
    let mut changes = RecentChanges::default();
    assert_eq!(changes.base_revision(0), None);
    changes.record(100, 7);
    changes.record(600, 9);
    assert_eq!(changes.base_revision(1_000), Some(7));
    assert_eq!(changes.base_revision(1_100), Some(9));
    assert_eq!(changes.base_revision(1_600), None);
}

#[test]
fn list_of_large_fleet_fits_link_of_small_host() {
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
    assert!(bytes.len() < MAX_LIST_BYTES, "{} bytes", bytes.len());
    assert_eq!(decode::<ReplicaView>(Topic::Replicas, &bytes), Some(view));
}
