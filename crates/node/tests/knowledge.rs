//! Who tells the others of a change.

use node::knowledge::Source;
use node::news::News;

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
