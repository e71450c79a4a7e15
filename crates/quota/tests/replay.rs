//! Tests that messages of a daemon are handled once, also around its restarts.

use quota::replay::ReplayFilter;

/// Guards against duplicates that are handled twice since a late datagram of an earlier incarnation
/// of the sender has reset the filter.
#[test]
fn late_datagram_of_an_earlier_incarnation_resets_nothing() {
    let mut filter = ReplayFilter::new(1);
    assert!(filter.accept(1, 7));
    assert!(filter.accept(2, 1));
    assert!(filter.accept(2, 2));
    assert!(!filter.accept(1, 7), "a duplicate of the earlier incarnation");
    assert!(filter.accept(1, 8), "a late message of the earlier incarnation");
    assert!(!filter.accept(2, 1), "a duplicate after a late datagram");
    assert!(!filter.accept(2, 2));
    assert!(filter.accept(2, 3));
}

/// Guards against a daemon that is ignored since its clock was set back before a restart.
#[test]
fn restart_with_an_earlier_clock_is_accepted() {
    let mut filter = ReplayFilter::new(5);
    assert!(filter.accept(5, 1));
    assert!(filter.accept(3, 1));
    assert!(!filter.accept(3, 1));
    assert!(filter.accept(3, 2));
}

/// Guards against memory that grows with each restart of a daemon.
#[test]
fn incarnation_in_use_is_kept_over_many_restarts() {
    let mut filter = ReplayFilter::new(100);
    for incarnation in 0..50 {
        assert!(filter.accept(100, incarnation + 1));
        assert!(filter.accept(incarnation, 1));
        assert!(!filter.accept(100, incarnation + 1));
    }
}
