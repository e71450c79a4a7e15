//! Tests the count of tokens of submissions that are not jobs yet.

use jobs::submissions::PendingSubmissions;

// Guards against a limit on waiting tokens that submissions pass together while the store is slow,
// and against tokens that stay counted after a refusal.
#[test]
fn tokens_count_until_the_submission_ends() {
    let pending = PendingSubmissions::default();
    let first = pending.add(1, 40);
    let second = pending.add(1, u64::MAX);
    let other = pending.add(2, 5);
    assert_eq!((pending.tokens(1), pending.tokens(2)), (u64::MAX, 5));
    drop(second);
    assert_eq!(pending.tokens(1), 40);
    drop((first, other));
    assert!(pending.all().is_empty());
}
