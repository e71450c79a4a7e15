//! Tests what connections, bodies and streams cost a daemon process, and what the metrics page shows.

mod platform_fleet;

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::NewItem;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::STREAM;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_all_results;
use crate::platform_fleet::run_local;

/// The port of the metrics page.
const METRICS_PORT: u16 = 9464;
/// The connections of one kind.
const CONNECTIONS: usize = 200;
/// The memory of a host that admits all connections of a measurement at the same time, in MB.
const MEASURED_MEMORY_MB: u64 = 256;
/// The time after which the daemon has read what was sent.
const READ_TIME: Duration = Duration::from_millis(500);
/// The bytes that each incomplete body has brought.
const BODY_BYTES: usize = 20_000;
/// The most that an idle connection may cost, in bytes.
const MAX_CONNECTION_BYTES: usize = 48 << 10;
/// The most that an incomplete body may cost beside its connection and its own bytes, in bytes.
const MAX_BODY_OVERHEAD_BYTES: usize = 64 << 10;
/// The most that a stream may cost whose client reads nothing, in bytes.
const MAX_STREAM_BYTES: usize = 160 << 10;

/// The items of a job with inputs.
const ITEMS: usize = 10;
/// The size of the inputs of a job, in bytes: a multiple of three for each item.
const INPUT_BYTES: usize = 798_000;
/// More finished jobs than the part for jobs of a host of 88 MB holds with their inputs.
const FINISHED_JOBS: usize = 30;

/// Guards against connections, incomplete bodies and unread streams that cost much more than they hold.
#[test]
fn connections_bodies_and_streams_cost_a_bounded_amount() {
    run_local("costs", |folder| async move {
        let fleet = Fleet::start_with_settings(folder, 1, |settings| {
            settings.memory_mb = MEASURED_MEMORY_MB;
        })
        .await;
        let pid = fleet.daemons[0].id();
        let to = fleet.ingress(0);
        Client.lookup(to, LOOKUP, "first").await.expect("an answer");
        let at_start = resident_bytes(pid);

        let mut idle = Vec::new();
        for _ in 0..CONNECTIONS {
            idle.push(TcpStream::connect(to).await.expect("it connects"));
        }
        sleep(READ_TIME).await;
        let with_idle = resident_bytes(pid);

        let mut streams = Vec::new();
        for number in 0..20 {
            // 200 events of 32 KiB.
            let headers = "x-token-counts: 100,1000\r\ncontent-length: 0\r\n";
            let head = request_head(STREAM, "large", number, headers);
            streams.push(send(to, head.as_bytes()).await);
        }
        sleep(2 * READ_TIME).await;
        let with_streams = resident_bytes(pid);

        let before_bodies = resident_bytes(pid);
        let mut bodies = Vec::new();
        for number in 0..CONNECTIONS {
            let head = request_head(LOOKUP, "m", number, "content-length: 100000\r\n");
            bodies.push(send(to, &[head.as_bytes(), &vec![b'x'; BODY_BYTES]].concat()).await);
        }
        sleep(READ_TIME).await;
        let with_bodies = resident_bytes(pid);
        let held_bytes = gauge(to, "crocus_bytes_held_request_bodies").await;
        assert!(held_bytes >= CONNECTIONS * BODY_BYTES, "{held_bytes}");
        assert!(held_bytes <= CONNECTIONS * (2 * BODY_BYTES + (4 << 10)), "{held_bytes}");
        drop((idle, bodies));
        sleep(READ_TIME).await;
        assert_eq!(gauge(to, "crocus_bytes_held_request_bodies").await, 0);

        let each = |after: usize, before: usize, count| after.saturating_sub(before) / count;
        let connection_bytes = each(with_idle, at_start, CONNECTIONS);
        let body_bytes = each(with_bodies, before_bodies, CONNECTIONS);
        let stream_bytes = each(with_streams, with_idle, streams.len());
        println!(
            "at_start={at_start} connection_bytes={connection_bytes} body_bytes={body_bytes} \
             held_per_body={} stream_bytes={stream_bytes}",
            held_bytes / CONNECTIONS
        );
        assert!(connection_bytes <= MAX_CONNECTION_BYTES, "{connection_bytes}");
        let body_limit = 2 * BODY_BYTES + MAX_CONNECTION_BYTES + MAX_BODY_OVERHEAD_BYTES;
        assert!(body_bytes <= body_limit, "{body_bytes}");
        assert!(stream_bytes <= MAX_STREAM_BYTES, "{stream_bytes}");
    });
}

/// Guards against a refused body whose connection is read on, and against a refusal that the metrics
/// page does not show.
#[test]
fn refused_body_closes_its_connection_and_is_counted() {
    run_local("refused-body", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let to = fleet.ingress(0);
        let head = request_head(LOOKUP, "m", 0, "content-length: 5000000\r\n");
        let mut stream = send(to, head.as_bytes()).await;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.expect("the connection is closed");
        let answer = String::from_utf8_lossy(&answer).to_lowercase();
        assert!(answer.starts_with("http/1.1 413"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        let name = "crocus_bodies_refused{reason=\"too_large\"}";
        assert_eq!(gauge(to, name).await, 1);
        assert_eq!(gauge(to, "crocus_bytes_held").await, 0);
        assert_eq!(fleet.runs("m-0"), 0, "a refusal must stay true");
    });
}

/// Guards against a refusal that is lost in a reset, since its client sends the whole body before it reads.
#[test]
fn refusal_of_an_unread_body_reaches_its_client() {
    run_local("refusal-read", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let to = fleet.ingress(0);
        let heads = [
            (LOOKUP, "content-length: 4200000\r\n", "413"),
            ("/nothing/", "content-length: 1000000\r\n", "404"),
        ];
        for (number, (path, headers, status)) in heads.into_iter().enumerate() {
            let head = request_head(path, "r", number, headers);
            let mut stream = send(to, head.as_bytes()).await;
            for _ in 0..19 {
                stream.write_all(&[b'x'; 50_000]).await.expect("the client is not reset");
                sleep(Duration::from_millis(5)).await;
            }
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await.expect("the answer is whole");
            let answer = String::from_utf8_lossy(&answer).into_owned();
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
            assert_eq!(fleet.runs(&format!("r-{number}")), 0, "a refusal must stay true");
        }
    });
}

fn request_head(path: &str, id: &str, number: usize, headers: &str) -> String {
    format!(
        "POST {path}{id}-{number} HTTP/1.1\r\nhost: stub.example\r\nx-request-id: {id}-{number}\r\n\
         x-deadline-ms: 30000\r\n{headers}\r\n"
    )
}

async fn send(to: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.expect("it connects");
    stream.write_all(bytes).await.expect("it is sent");
    stream
}

/// Returns a value of the metrics page of the daemon at an address.
async fn gauge(daemon: SocketAddr, name: &str) -> usize {
    let address = SocketAddr::new(daemon.ip(), METRICS_PORT);
    let request = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let mut stream = send(address, request).await;
    let mut page = String::new();
    stream.read_to_string(&mut page).await.expect("the page is text");
    let line = page.lines().find(|line| line.split(' ').next() == Some(name));
    let value = line.and_then(|line| line.split(' ').nth(1)).expect("the page has the metric");
    value.parse().expect("a number")
}

/// Returns the resident memory of a process in bytes.
fn resident_bytes(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("it has memory");
    let kib = line.trim().strip_suffix(" kB").expect("it is in kB");
    kib.trim().parse::<usize>().expect("a number") << 10
}

/// Guards against jobs that are not counted, or are counted although they hold nothing.
#[test]
fn held_job_is_counted() {
    run_local("held-job", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let to = fleet.ingress(0);
        let accepted = Client.submit_job(to, JOBS, "held", &items("held", 4, 20)).await;
        assert_eq!(accepted.expect("an answer").status, StatusCode::ACCEPTED);
        let results = read_all_results(to, "held", Duration::from_secs(20)).await;
        assert_eq!(results.len(), 4);
        // The sizes of jobs are measured once a second.
        sleep(3 * READ_TIME).await;
        let texts: usize = results.iter().map(|result| result.text.len()).sum();
        let held_bytes = gauge(to, "crocus_bytes_held_jobs").await;
        assert!(held_bytes >= texts, "{held_bytes} for texts of {texts} bytes");
        assert!(held_bytes <= 2 * texts + 8_000, "{held_bytes} for texts of {texts} bytes");
    });
}

/// Guards against finished jobs whose inputs fill the memory for jobs until their retention ends, such
/// that new jobs are refused, and against inputs that cannot be read any more once they are released.
#[test]
fn finished_jobs_leave_room_for_new_ones() {
    run_local("finished-jobs", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let to = fleet.ingress(0);
        for number in 0..FINISHED_JOBS {
            let job = format!("finished-{number}");
            let body = job_with_inputs(&job);
            let headers = [("x-request-id", job.as_str()), ("x-deadline-ms", "4000")];
            let target = format!("{JOBS}{job}");
            let accepted = Client.send(to, Method::POST, &target, &headers, body.as_bytes()).await;
            let status = accepted.expect("an answer").status;
            assert_eq!(status, StatusCode::ACCEPTED, "job {number} of {FINISHED_JOBS}");
            let results = read_all_results(to, &job, Duration::from_secs(20)).await;
            assert_eq!(results.len(), ITEMS);
        }
        // The sizes of jobs are measured once a second.
        sleep(3 * READ_TIME).await;
        let held_bytes = gauge(to, "crocus_bytes_held_jobs").await;
        println!("held_bytes={held_bytes}");
        assert!(held_bytes < FINISHED_JOBS * INPUT_BYTES / 4, "{held_bytes}");
        let body = Client.read_item_body(to, "finished-0", "finished-0-3").await;
        let body = body.expect("an answer");
        assert_eq!(body.status, StatusCode::OK);
        assert!(body.body.len() == INPUT_BYTES / ITEMS && body.body.iter().all(|b| *b == b'x'));
        let unknown = Client.read_item_body(to, "finished-0", "finished-0-99").await;
        assert_eq!(unknown.expect("an answer").status, StatusCode::NOT_FOUND);
    });
}

/// Returns the submission of a job whose items have bodies of `INPUT_BYTES` together.
fn job_with_inputs(job: &str) -> String {
    let text = "eHh4".repeat(INPUT_BYTES / ITEMS / 3);
    let items: Vec<String> = items(job, ITEMS, 1)
        .iter()
        .map(|NewItem { id, path, .. }| {
            format!(
                r#"{{"id":"{id}","path":"{path}","headers":{{"x-token-counts":"100,5"}},"body":"{text}","tokens":105}}"#
            )
        })
        .collect();
    format!(r#"{{"items":[{}]}}"#, items.join(","))
}
