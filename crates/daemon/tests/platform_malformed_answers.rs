//! Tests a daemon process with replicas whose answers are malformed in the head or in the framing.

mod faulty_answers;
#[expect(dead_code, reason = "not all helpers are used here")]
mod platform_fleet;
#[expect(dead_code, reason = "not all scripts of answers are used here")]
mod raw_replicas;

use std::time::Duration;

use http::StatusCode;
use platform_stub::Client;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::PLAIN_SERVICE;
use platform_stub::deployment::RESUMABLE;
use platform_stub::deployment::STREAM;
use platform_stub::raw_replica;
use platform_stub::raw_replica::RawAnswer;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::faulty_answers::CHUNKED;
use crate::faulty_answers::FaultyAnswer;
use crate::faulty_answers::check_broken_answers;
use crate::faulty_answers::check_plain_answers;
use crate::faulty_answers::check_resumptions;
use crate::faulty_answers::chunk;
use crate::faulty_answers::read_stream;
use crate::platform_fleet::run_local;
use crate::raw_replicas::EVENTS;
use crate::raw_replicas::Requests;
use crate::raw_replicas::events;
use crate::raw_replicas::events_from;
use crate::raw_replicas::faulty_at_first;
use crate::raw_replicas::reads_of;
use crate::raw_replicas::recorded;
use crate::raw_replicas::start_with_raw_engines;
use crate::raw_replicas::start_with_raw_replicas;
use crate::raw_replicas::success_head;

/// The most replicas to which the routes allow a request to be sent.
const MAX_ATTEMPTS: usize = 2;
/// The longest time until a line is in the log, which is written in the background.
const LOG_DELAY: Duration = Duration::from_secs(5);
/// The pause between two reads of the log.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Heads that are malformed where they announce the length of the body.
const MALFORMED_LENGTHS: [FaultyAnswer; 12] = [
    ("signed length", |id| with_events(id, &format!("content-length: +{}\r\n", length(id)))),
    ("other second length", |id| with_events(id, &two_lengths(length(id), 1))),
    ("other first length", |id| with_events(id, &two_lengths(1, length(id)))),
    ("equal lengths", |id| with_events(id, &two_lengths(length(id), length(id)))),
    ("list of lengths", |id| with_events(id, &format!("content-length: {0}, {0}\r\n", length(id)))),
    ("length beside chunks", |id| with_chunks(id, &format!("content-length: 9\r\n{CHUNKED}"))),
    ("unknown coding", |id| with_chunks(id, "transfer-encoding: xchunked\r\n")),
    ("coding with other bytes", |id| with_chunks(id, "transfer-encoding: chunk\u{e9}d\r\n")),
    ("coding before chunks", |id| with_chunks(id, "transfer-encoding: gzip, chunked\r\n")),
    ("coding after chunks", |id| with_chunks(id, "transfer-encoding: chunked, gzip\r\n")),
    ("no coding", |id| with_chunks(id, "transfer-encoding: \r\n")),
    ("chunks in HTTP/1.0", |id| with_chunks(id, CHUNKED).replace("HTTP/1.1", "HTTP/1.0")),
];

/// Heads with a line that is no field, or with a name that holds a blank or a control byte.
const MALFORMED_LINES: [FaultyAnswer; 12] = [
    ("text", |id| with_length_after(id, "out of memory\r\n")),
    ("no colon", |id| with_events(id, &format!("content-length {}\r\n", length(id)))),
    ("no name", |id| with_length_after(id, ": x\r\n")),
    ("folded line", |id| with_length_after(id, "x-a: b\r\n c\r\n")),
    ("line feed", |id| with_length_after(id, "\n")),
    ("line feed after a value", |id| with_length_after(id, "x-a: b\n")),
    ("line feed in a name", |id| with_length_after(id, "x-a: b\r\n\nx-c: d\r\n")),
    ("line feed at the end", |id| with_length_after(id, "").replace("\r\n\r\n", "\r\n\n")),
    ("blank in a name", |id| with_length_after(id, "x a: b\r\n")),
    ("blank after a name", |id| with_events(id, &format!("content-length : {}\r\n", length(id)))),
    ("control byte in a name", |id| with_length_after(id, "x\x01a: b\r\n")),
    ("zero byte in a name", |id| with_length_after(id, "x\0a: b\r\n")),
];

/// Chunks with a malformed line before, between or after them.
const MALFORMED_CHUNKS: [FaultyAnswer; 8] = [
    ("signed size", |id| chunks(id, "+", "0\r\n\r\n")),
    ("blank before the size", |id| chunks(id, " ", "0\r\n\r\n")),
    ("signed last size", |id| chunks(id, "", "+0\r\n\r\n")),
    ("text in the last size", |id| chunks(id, "", "0;\x01\r\n\r\n")),
    ("line feed after the last size", |id| chunks(id, "", "0\n\r\n")),
    ("text in the trailers", |id| chunks(id, "", "0\r\nout of memory\r\n\r\n")),
    ("blank in the name of a trailer", |id| chunks(id, "", "0\r\nx a: b\r\n\r\n")),
    ("line feed at the end", |id| chunks(id, "", "0\r\n\n")),
];

/// Statuses that no answer may have.
const MALFORMED_STATUSES: [FaultyAnswer; 6] = [
    ("000", |id| with_status(id, "000 OK")),
    ("099", |id| with_status(id, "099 OK")),
    ("101", |id| with_status(id, "101 Switching Protocols")),
    ("600", |id| with_status(id, "600 OK")),
    ("999", |id| with_status(id, "999 OK")),
    ("2000", |id| with_status(id, "2000 OK")),
];

/// Bodies with a coding. Clients ask for none, so such a body is not the one that the replica made.
const ENCODED_BODIES: [FaultyAnswer; 3] = [
    ("gzip", |id| with_length_after(id, "content-encoding: gzip\r\n")),
    ("unknown", |id| with_length_after(id, "Content-Encoding: x\r\n")),
    ("chunked", |id| with_chunks(id, &format!("content-encoding: br\r\n{CHUNKED}"))),
];

/// Answers that can have no body and hold another answer in it, which the replica did not give.
const INNER_ANSWERS: [FaultyAnswer; 3] = [
    ("100", |id| with_inner(id, "100 OK")),
    ("103", |id| with_inner(id, "103 OK")),
    ("199", |id| with_inner(id, "199 OK")),
];

fn length(id: &str) -> usize {
    events(id).len()
}

fn two_lengths(first: usize, second: usize) -> String {
    format!("content-length: {first}\r\ncontent-length: {second}\r\n")
}

fn with_events(id: &str, lines: &str) -> String {
    success_head(id, lines) + &events(id)
}

fn with_length_after(id: &str, lines: &str) -> String {
    with_events(id, &format!("{lines}content-length: {}\r\n", length(id)))
}

fn with_status(id: &str, status: &str) -> String {
    with_length_after(id, "").replace("200 OK", status)
}

fn with_inner(id: &str, status: &str) -> String {
    let inner = with_length_after(id, "");
    let head = success_head(id, &format!("content-length: {}\r\n", inner.len()));
    head.replace("200 OK", status) + &inner
}

fn with_chunks(id: &str, lines: &str) -> String {
    success_head(id, lines) + &chunk(&events(id)) + "0\r\n\r\n"
}

/// Returns a success with a chunk that holds all events but the last one.
fn chunks(id: &str, before_size: &str, end: &str) -> String {
    let data = events(id).replace(&events_from(id, EVENTS), "");
    success_head(id, CHUNKED) + before_size + &chunk(&data) + end
}

/// Writes an answer and keeps the connection open.
fn malformed_and_open(requests: &Requests, answer: fn(&str) -> String) -> RawAnswer {
    faulty_at_first(requests, move |id, stream| raw_replica::write(stream, answer(&id)))
}

/// Requires that no entry of `answers` reaches a client as the answer to a plain request, in a stream,
/// as the rest of a stream or in the output of an item.
fn check_everywhere(name: &str, answers: &'static [FaultyAnswer]) {
    run_local(&format!("{name}-plain"), |folder| check_plain_answers(folder, answers));
    run_local(&format!("{name}-stream"), |folder| check_broken_answers(folder, answers));
    run_local(&format!("{name}-resumption"), |folder| check_resumptions(folder, answers));
}

#[test]
fn answer_with_malformed_length_is_not_passed_on() {
    check_everywhere("malformed-length", &MALFORMED_LENGTHS);
}

#[test]
fn answer_with_a_line_that_is_no_field_is_not_passed_on() {
    check_everywhere("malformed-line", &MALFORMED_LINES);
}

#[test]
fn answer_with_malformed_chunks_is_not_passed_on() {
    check_everywhere("malformed-chunks", &MALFORMED_CHUNKS);
}

#[test]
fn answer_with_malformed_status_is_not_passed_on() {
    check_everywhere("malformed-status", &MALFORMED_STATUSES);
}

#[test]
fn body_of_an_interim_answer_is_not_passed_on() {
    check_everywhere("inner-answer", &INNER_ANSWERS);
}

#[test]
fn answer_with_an_encoded_body_is_not_passed_on() {
    check_everywhere("encoded", &ENCODED_BODIES);
}

/// A connection that carried a malformed answer is in an unknown state, even if the replica keeps it open.
#[test]
fn connection_of_a_malformed_answer_is_not_used_again() {
    let answers = [
        MALFORMED_LENGTHS[1].1,
        MALFORMED_LINES[4].1,
        MALFORMED_CHUNKS[5].1,
        MALFORMED_STATUSES[0].1,
    ];
    for (number, answer) in answers.into_iter().enumerate() {
        run_local(&format!("malformed-connection-{number}"), |folder| async move {
            let requests = Requests::default();
            let script = malformed_and_open(&requests, answer);
            let fleet = start_with_raw_engines(folder, 1, script).await;
            let (_, is_complete) = read_stream(&fleet, STREAM, "malformed").await;
            assert!(!is_complete, "{number}");
            let _ = Client.stream(fleet.ingress(0), RESUMABLE, "next", EVENTS).await;
            let requests = requests.borrow();
            let sends = requests.iter().filter(|request| request.id == "malformed").count();
            assert_eq!(sends, 1, "{number}: a request that may not be repeated was sent again");
            let next = requests.iter().find(|request| request.id == "next");
            let earlier_ids = &next.expect("the next request was sent").earlier_ids;
            assert!(!earlier_ids.contains(&"malformed".to_owned()), "{number}");
        });
    }
}

#[test]
fn malformed_answers_of_all_replicas_use_up_the_attempts() {
    run_local("malformed-budget", |folder| async move {
        let requests = Requests::default();
        let script = recorded(&requests, |request, stream| {
            raw_replica::write(stream, MALFORMED_LENGTHS[0].1(&request.id))
        });
        let fleet = start_with_raw_replicas(folder, PLAIN_SERVICE, MAX_ATTEMPTS + 1, script).await;
        let answer = Client.lookup(fleet.ingress(0), LOOKUP, "l").await.expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(reads_of(&requests, "l"), MAX_ATTEMPTS);
    });
}

#[test]
fn log_tells_why_an_answer_was_rejected() {
    run_local("malformed-log", |folder| async move {
        let requests = Requests::default();
        let script = malformed_and_open(&requests, MALFORMED_CHUNKS[5].1);
        let fleet = start_with_raw_engines(folder, 2, script).await;
        read_stream(&fleet, RESUMABLE, "r").await;
        let reason = "the answer is malformed: a trailer line is no field";
        let expected = [
            format!("event=answer_rejected id=r reason=\"{reason}\""),
            "event=answer_malformed peer=127.0.0.1:".to_owned(),
        ];
        let deadline = Instant::now() + LOG_DELAY;
        loop {
            let log = std::fs::read_to_string(&fleet.daemons[0].log).expect("the log is read");
            if expected.iter().all(|line| log.contains(line)) {
                break;
            }
            assert!(Instant::now() < deadline, "{expected:?} is not in the log");
            sleep(POLL_INTERVAL).await;
        }
    });
}
