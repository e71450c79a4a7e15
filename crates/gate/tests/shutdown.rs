//! Which requests a daemon accepts during its shutdown.

use gate::ShutdownWindow;

#[test]
fn late_requests_are_accepted_only_if_they_end_in_time() {
    let window = ShutdownWindow::new(10_000, 8_000);
    let cases = [
        (10_000, 15_000, true),
        (13_000, 18_500, true),
        (13_001, 18_000, true),
        (13_001, 18_001, false),
        (16_086, 21_086, false),
        (16_086, 17_286, true),
        (17_900, 19_100, false),
    ];
    for (now_ms, give_up_at_ms, is_accepted) in cases {
        assert_eq!(window.accepts(now_ms, give_up_at_ms), is_accepted, "{now_ms} {give_up_at_ms}");
    }
}
