//! Which requests a daemon takes that is about to stop.

use gate::Ending;

#[test]
fn early_requests_are_taken_and_late_ones_only_if_they_end_in_time() {
    let ending = Ending::new(10_000, 8_000);
    let cases = [
        (10_000, 15_000, true),
        (13_000, 18_500, true),
        (13_001, 18_000, true),
        (13_001, 18_001, false),
        (16_086, 21_086, false),
        (16_086, 17_286, true),
        (17_900, 19_100, false),
    ];
    for (now_ms, give_up_at_ms, is_taken) in cases {
        assert_eq!(ending.takes(now_ms, give_up_at_ms), is_taken, "{now_ms} {give_up_at_ms}");
    }
}
