//! Tests that lines of the log about malformed entries are bounded.

use store::LoggedVersions;
use store::logged_versions::excerpt;

#[test]
fn malformed_entry_is_not_logged_at_every_read() {
    let mut logged = LoggedVersions::default();
    assert!(logged.add(1));
    assert!(!logged.add(1));
    assert!(logged.add(2), "another version is logged again");
    assert!(!logged.add(1));
    // The oldest versions are forgotten, so that the memory stays bounded.
    (10..5_000).for_each(|digest| assert!(logged.add(digest)));
    assert!(logged.add(1));
}

#[test]
fn long_or_unprintable_text_does_not_flood_the_log() {
    assert_eq!(excerpt("a\nb\u{7}\""), "a\\nb\\u{7}\\\"");
    assert_eq!(excerpt(&"x".repeat(1 << 20)).len(), 120);
}
