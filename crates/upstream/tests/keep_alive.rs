//! Tests of the idle time that a server announces.

use bytes::BytesMut;
use upstream::head::AnswerHead;

#[test]
fn idle_time_beyond_the_largest_number_does_not_overflow() {
    for (seconds, expected_ms) in [
        ("18446744073709551615", Some(u64::MAX)),
        ("18446744073709551616", None),
        ("-1", None),
        ("4", Some(4_000)),
    ] {
        let head = format!("HTTP/1.1 200 OK\r\nkeep-alive: max=9, timeout={seconds}\r\n\r\n");
        let head = AnswerHead::parse(&mut BytesMut::from(head.as_bytes()));
        let head = head.expect("the head is sound").expect("the head is complete");
        assert_eq!(head.keep_alive_timeout_ms(), expected_ms, "{seconds}");
    }
}
