//! The grace period of a job whose daemon stops while the object API does not answer.

use batch::stop_grace::StopGrace;

#[test]
fn grace_period_ends_only_without_running_items_and_progress() {
    let mut grace = StopGrace::new(1_000);
    assert!(!grace.is_over(0, false, false), "the daemon is not stopping");
    assert!(!grace.is_over(5_000, false, false), "items are running");
    assert!(!grace.is_over(5_100, true, false));
    assert!(!grace.is_over(6_000, true, true), "a write was answered");
    assert!(!grace.is_over(6_900, true, false));
    assert!(grace.is_over(7_000, true, false));
}

#[test]
fn item_that_runs_again_restarts_the_grace_period() {
    let mut grace = StopGrace::new(1_000);
    assert!(!grace.is_over(0, true, false));
    assert!(!grace.is_over(900, false, false));
    assert!(!grace.is_over(1_800, true, false));
    assert!(!grace.is_over(2_799, true, false));
    assert!(grace.is_over(2_800, true, false));
}
