//! Tests the decision when a client that does not read is disconnected, without a network.

use kernel::unread_answer::MAX_UNREAD_CHECKS;
use kernel::unread_answer::MIN_READ_BYTES;
use kernel::unread_answer::UnreadAnswer;

fn checks_until_closed(mut before_check: impl FnMut(&mut UnreadAnswer) -> bool) -> Option<u32> {
    let mut answer = UnreadAnswer::default();
    (1..=100).find(|_| {
        let is_blocked = before_check(&mut answer);
        answer.check(is_blocked)
    })
}

// Guards against answers that are held for a client that never reads.
#[test]
fn client_that_reads_nothing_is_disconnected() {
    assert_eq!(checks_until_closed(|_| true), Some(MAX_UNREAD_CHECKS));
}

// Guards against answers that are held for a client that reads a byte now and then.
#[test]
fn client_that_reads_single_bytes_is_disconnected() {
    let closed = checks_until_closed(|answer| {
        answer.record_sent(1);
        true
    });
    assert_eq!(closed, Some(MAX_UNREAD_CHECKS));
}

// Guards against disconnecting a client on a slow link.
#[test]
fn client_that_reads_slowly_is_not_disconnected() {
    let closed = checks_until_closed(|answer| {
        answer.record_sent(MIN_READ_BYTES);
        true
    });
    assert_eq!(closed, None);
}

// Guards against disconnecting a client that has read all there was, after a pause.
#[test]
fn client_that_caught_up_starts_again() {
    let mut checks = 0;
    let closed = checks_until_closed(|_| {
        checks += 1;
        checks % MAX_UNREAD_CHECKS != 0
    });
    assert_eq!(closed, None);
}
