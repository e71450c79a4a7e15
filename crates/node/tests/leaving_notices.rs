//! Tests of the announcements of leaving replicas that are sent to peers.

use catalog::Incarnation;
use node::leaving_notices::LeavingNotices;
use node::leaving_notices::MAX_NOTICES;
use peers::Topic;
use peers::transport::encode;

/// The peers of a daemon in a large fleet.
const PEERS: usize = 389;
/// The bytes that a 30 Mbit/s link, that of a small host, carries in the 50 ms of a tick.
const MAX_TICK_BYTES: usize = 187_500;
/// The bytes of a datagram besides its payload, headers of the network included.
const OVERHEAD_BYTES: usize = 80;

fn incarnations(numbers: std::ops::Range<usize>) -> Vec<Incarnation> {
    let incarnation = |number: usize| Incarnation {
        name: format!("i-{number:010x}").as_str().into(),
        started_unix_ms: 1_790_000_000_000,
        address: ([10, 3, 64, 23], 8_364).into(),
    };
    numbers.map(incarnation).collect()
}

#[test]
fn announcement_is_sent_at_once_and_with_heartbeats_for_a_second() {
    let mut notices = LeavingNotices::default();
    assert_eq!(notices.recent(0), []);
    assert_eq!(notices.record(100, incarnations(0..1)), incarnations(0..1));
    notices.record(600, incarnations(1..2));
    assert_eq!(notices.recent(1_000).len(), 2);
    assert_eq!(notices.recent(1_100), incarnations(1..2));
    assert_eq!(notices.recent(1_600), []);
}

#[test]
fn all_replicas_leaving_at_once_leave_room_on_the_link_of_a_small_host() {
    let mut notices = LeavingNotices::default();
    let sent = notices.record(0, incarnations(0..880));
    assert_eq!(sent.len(), MAX_NOTICES);
    notices.record(1, incarnations(880..1_760));
    let resent = notices.recent(2);
    assert_eq!(resent, incarnations(880..880 + MAX_NOTICES).into_iter().rev().collect::<Vec<_>>());
    for list in [sent, resent] {
        let bytes = (encode(Topic::Leaving, &list).len() + OVERHEAD_BYTES) * PEERS;
        println!("{} bytes in one datagram", bytes / PEERS);
        assert!(bytes < MAX_TICK_BYTES, "{bytes} bytes to all peers");
    }
}
