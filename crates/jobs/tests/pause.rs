//! Tests how a daemon finds out that it was paused.

use jobs::pause::PAUSE_THRESHOLD_MS;
use jobs::pause::PauseDetector;

#[test]
fn only_a_long_gap_between_checks_counts_as_pause() {
    let mut detector = PauseDetector::default();
    assert_eq!(detector.check(50_000), None, "the first check shows nothing");
    assert_eq!(detector.check(50_050), None);
    assert_eq!(detector.check(50_050 + PAUSE_THRESHOLD_MS - 1), None);
    assert_eq!(detector.pauses(), 0);
    assert_eq!(detector.check(55_000 + PAUSE_THRESHOLD_MS), Some(4_951));
    assert_eq!(detector.check(55_010 + PAUSE_THRESHOLD_MS), None, "a pause is reported once");
    assert_eq!(detector.pauses(), 1);
}
