//! Checks that no entry of a table of faulty answers reaches a client as a complete one.

use std::path::PathBuf;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::expected_text;
use platform_stub::deployment::HOST;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::PLAIN_SERVICE;
use platform_stub::deployment::RESUMABLE;
use platform_stub::deployment::STREAM;
use platform_stub::raw_replica;
use platform_stub::raw_replica::RawAnswer;
use platform_stub::replica::plain_body;
use tokio::time::sleep;
use upstream::Connection;
use upstream::RequestWriter;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_all_results;
use crate::raw_replicas::EVENTS;
use crate::raw_replicas::Requests;
use crate::raw_replicas::events;
use crate::raw_replicas::events_from;
use crate::raw_replicas::reads_of;
use crate::raw_replicas::recorded;
use crate::raw_replicas::start_with_raw_engines;
use crate::raw_replicas::start_with_raw_replicas;
use crate::raw_replicas::stream_answer;
use crate::raw_replicas::success_head;

/// The number of replicas for tables of faulty answers, each of which ejects one of them for a while.
const TABLE_REPLICAS: usize = 24;
/// The number of events that a run writes before it breaks off.
pub const EVENTS_BEFORE_BREAK: u64 = 2;

/// A name and the bytes that a replica writes for a request before it closes the connection.
pub type FaultyAnswer = (&'static str, fn(&str) -> String);
/// The header line that announces chunks.
pub const CHUNKED: &str = "transfer-encoding: chunked\r\n";
/// A comment between events.
pub const COMMENT: &str = ": comment\n\n";

/// Returns a chunk with `data`.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Returns a success with its length.
pub fn with_length(id: &str, header_lines: &str, body: &str) -> String {
    success_head(id, &format!("{header_lines}content-length: {}\r\n", body.len())) + body
}

/// Returns the complete answer to a plain request.
pub fn plain_answer(id: &str) -> String {
    with_length(id, "", &plain_body(id))
}

/// Returns the entry of `answers` that is named by the number at the end of the id.
fn faulty_answer(answers: &[FaultyAnswer], id: &str) -> String {
    let number = id.rsplit('-').next().and_then(|number| number.parse::<usize>().ok());
    answers[number.expect("the id ends with a number")].1(id)
}

/// Answers the first request of each id with an entry of `answers` and closes the connection, and
/// later ones with `sound`.
pub fn broken_at_first(
    requests: &Requests,
    answers: &'static [FaultyAnswer],
    sound: fn(&str) -> String,
) -> RawAnswer {
    let reads = requests.clone();
    recorded(requests, move |request, stream| {
        let is_first = reads_of(&reads, &request.id) == 1;
        let id = request.id;
        let bytes = if is_first { faulty_answer(answers, &id) } else { sound(&id) };
        async move { raw_replica::write(stream, bytes).await.filter(|_| !is_first) }
    })
}

/// Breaks off the first run of each id inside its stream, answers the second one with an entry of
/// `answers`, closes both connections, and answers later ones with the rest of the stream.
pub fn broken_at_resumption(requests: &Requests, answers: &'static [FaultyAnswer]) -> RawAnswer {
    let reads = requests.clone();
    recorded(requests, move |request, stream| {
        let id = request.id;
        let run = reads_of(&reads, &id);
        let rest = events_from(&id, request.last_event.unwrap_or(0) + 1);
        let bytes = match run {
            1 => {
                let start = rest.replace(&events_from(&id, EVENTS_BEFORE_BREAK + 1), "");
                success_head(&id, CHUNKED) + &chunk(&start)
            }
            2 => faulty_answer(answers, &id),
            _ => with_length(&id, "", &rest),
        };
        async move {
            // The start of the stream reaches the client before the daemon reads this answer.
            sleep(Duration::from_millis(50)).await;
            raw_replica::write(stream, bytes).await.filter(|_| run > 2)
        }
    })
}

/// Requests a stream; returns the body without comments as far as it arrived, and whether it looks complete.
pub async fn read_stream(fleet: &Fleet, prefix: &str, id: &str) -> (String, bool) {
    let opened = Connection::open(fleet.ingress(0), Duration::from_secs(1)).await;
    let mut connection = opened.expect("the daemon accepts");
    let mut writer = RequestWriter::new("POST", &format!("{prefix}{id}"));
    for (name, value) in [("host", HOST), ("x-request-id", id), ("x-deadline-ms", "5000")] {
        writer.header(name, value);
    }
    writer.header("x-token-counts", format!("100,{}", EVENTS * 5));
    connection.queue_request(writer.finish(b"prompt"));
    let Ok(head) = connection.read_head(&Method::POST).await else {
        return (String::new(), false);
    };
    let mut body = String::new();
    loop {
        match connection.read_body().await {
            Ok(Some(bytes)) => body.push_str(&String::from_utf8_lossy(&bytes)),
            Ok(None) => return (body.replace(COMMENT, ""), head.status.is_success()),
            Err(_) => return (body.replace(COMMENT, ""), false),
        }
    }
}

/// Requires that a job's items have their complete output, one for each of `answers`.
pub async fn check_items(fleet: &Fleet, answers: &[FaultyAnswer]) {
    let job = items("j", answers.len(), EVENTS);
    Client.submit_job(fleet.ingress(0), JOBS, "j", &job).await.expect("an answer");
    let results = read_all_results(fleet.ingress(0), "j", Duration::from_secs(15)).await;
    let wrong: Vec<_> =
        results.iter().filter(|result| result.text != expected_text(&result.id, EVENTS)).collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    assert_eq!(results.len(), answers.len(), "items did not end");
}

/// Requires that no entry of `answers` makes an answer that looks complete and is not.
pub async fn check_broken_answers(folder: PathBuf, answers: &'static [FaultyAnswer]) {
    let requests = Requests::default();
    let script = broken_at_first(&requests, answers, stream_answer);
    let fleet = start_with_raw_engines(folder, TABLE_REPLICAS, script).await;
    let mut wrong = Vec::new();
    for (number, (name, _)) in answers.iter().enumerate() {
        let id = format!("stream-{number}");
        let (body, is_complete) = read_stream(&fleet, STREAM, &id).await;
        if is_complete || reads_of(&requests, &id) != 1 {
            wrong.push(("stream", name, body));
        }
        let id = format!("resumable-{number}");
        let (body, is_complete) = read_stream(&fleet, RESUMABLE, &id).await;
        if !is_complete || body != events(&id) {
            wrong.push(("resumable", name, body));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
    check_items(&fleet, answers).await;
}

/// Requires that nothing of an entry of `answers` gets into a stream that it does not continue.
pub async fn check_resumptions(folder: PathBuf, answers: &'static [FaultyAnswer]) {
    let requests = Requests::default();
    let script = broken_at_resumption(&requests, answers);
    let fleet = start_with_raw_engines(folder, TABLE_REPLICAS, script).await;
    let mut wrong = Vec::new();
    for (number, (name, _)) in answers.iter().enumerate() {
        let id = format!("resumed-{number}");
        let (body, is_complete) = read_stream(&fleet, RESUMABLE, &id).await;
        let is_start = events(&id).starts_with(&body) && !body.is_empty();
        if is_complete || !is_start || reads_of(&requests, &id) != 2 {
            wrong.push((name, is_complete, body));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
    check_items(&fleet, answers).await;
}

/// Requires that a plain request whose first answer is an entry of `answers` gets the complete one of
/// another replica.
pub async fn check_plain_answers(folder: PathBuf, answers: &'static [FaultyAnswer]) {
    let requests = Requests::default();
    let script = broken_at_first(&requests, answers, plain_answer);
    let fleet = start_with_raw_replicas(folder, PLAIN_SERVICE, TABLE_REPLICAS, script).await;
    for (number, (name, _)) in answers.iter().enumerate() {
        let id = format!("l-{number}");
        let answer = Client.lookup(fleet.ingress(0), LOOKUP, &id).await.expect("an answer");
        assert_eq!((answer.status, reads_of(&requests, &id)), (StatusCode::OK, 2), "{name}");
        assert_eq!(&*answer.body, plain_body(&id).as_bytes(), "{name}");
    }
}
