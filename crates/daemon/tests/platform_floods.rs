//! Tests that no flood of clients or peers ends a daemon or takes the memory of its host.
//!
//! Each test floods a daemon process on a small host with a bounded number of connections, which stay
//! open. It checks that the process lives, that its peak resident memory and its open descriptors stay
//! under their bounds, and that an ordinary request is answered during the flood.

mod floods;
#[expect(dead_code, reason = "not all helpers are used here")]
mod platform_fleet;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::NewItem;
use platform_stub::client::OutgoingRequest;
use platform_stub::client::is_complete_stream;
use platform_stub::deployment::ENGINE_SERVICE;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::STREAM;
use platform_stub::replica::ReplicaSettings;
use platform_stub::settings::SMALLEST_MEMORY_MB;
use platform_stub::settings::USUAL_MAX_FDS;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::floods::BODY_BYTES;
use crate::floods::Flood;
use crate::floods::Sending;
use crate::floods::check_bounds;
use crate::floods::chunked;
use crate::floods::request_head;
use crate::floods::run_alone;
use crate::floods::start_host;
use crate::floods::start_small_host;
use crate::floods::unfinished_chunked;
use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_all_results;
use crate::platform_fleet::run_local;

/// The size of a chunk in a body of large chunks, in bytes.
const LARGE_CHUNK_BYTES: usize = 64 << 10;
/// The size of a body in tiny chunks, in bytes.
const TINY_CHUNKS_BYTES: usize = 1 << 20;
/// The size of the body of a peer's call, in bytes.
const PEER_CALL_BYTES: usize = 16 << 20;

/// The size of a body that stops short on each of many connections, in bytes.
const SMALL_BODY_BYTES: usize = 7_000;
/// The size of a header that a client sends before a body that stops short, in bytes.
const FILLER_BYTES: usize = 14_000;

/// Floods a daemon and checks its bounds.
fn check_flood(name: &str, open: impl FnOnce(&Fleet, &mut Flood)) {
    check_flood_after(name, async |_| (), open);
}

/// Prepares a fleet, floods its daemon and checks its bounds.
fn check_flood_after(
    name: &str,
    prepare: impl AsyncFnOnce(&Fleet),
    open: impl FnOnce(&Fleet, &mut Flood),
) {
    let _alone = run_alone();
    run_local(name, |folder| async move {
        let mut fleet = start_small_host(folder).await;
        prepare(&fleet).await;
        let mut flood = Flood::default();
        open(&fleet, &mut flood);
        check_bounds(&mut fleet, flood).await;
    });
}

fn open_bodies_with_a_length(to: SocketAddr, count: usize, flood: &mut Flood) {
    let tail = Bytes::from(vec![b'x'; BODY_BYTES - 1]);
    let length = format!("content-length: {BODY_BYTES}\r\n\r\n");
    flood.open(count, |number| Sending {
        to,
        head: request_head(LOOKUP, &format!("length-{number}"), &length),
        tail: tail.clone(),
        is_trickling: false,
    });
}

/// Opens submissions of jobs, whose route has no shorter limit than the idle time.
fn open_small_bodies(to: SocketAddr, count: usize, bytes: usize, headers: &str, flood: &mut Flood) {
    let tail = Bytes::from(vec![b'x'; bytes - 1]);
    let headers = format!("{headers}content-length: {bytes}\r\n\r\n");
    flood.open(count, |number| Sending {
        to,
        head: request_head(JOBS, &format!("small-{number}"), &headers),
        tail: tail.clone(),
        is_trickling: false,
    });
}

fn open_chunked_bodies(to: SocketAddr, count: usize, tail: &Bytes, flood: &mut Flood) {
    flood.open(count, |number| Sending {
        to,
        head: chunked_head(&format!("chunked-{number}")),
        tail: tail.clone(),
        is_trickling: false,
    });
}

fn open_peer_calls(to: SocketAddr, count: usize, flood: &mut Flood) {
    let tail = Bytes::from(vec![b'x'; PEER_CALL_BYTES - 1]);
    flood.open(count, |number| {
        let path =
            if number % 2 == 0 { "/store".to_owned() } else { format!("/jobs/{number}/home") };
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: peer\r\ncontent-length: {PEER_CALL_BYTES}\r\n\r\n"
        );
        Sending { to, head, tail: tail.clone(), is_trickling: false }
    });
}

fn chunked_head(id: &str) -> String {
    request_head(LOOKUP, id, "transfer-encoding: chunked\r\n\r\n")
}

// Guards against bodies that are each legal but take the memory of the host together.
#[test]
fn flood_of_bodies_with_a_length() {
    check_flood("flood-length", |fleet, flood| {
        open_bodies_with_a_length(fleet.ingress(0), 40, flood);
    });
}

// Guards against bodies without an announced length that take the memory of the host together.
#[test]
fn flood_of_bodies_in_large_chunks() {
    let tail = unfinished_chunked(BODY_BYTES, LARGE_CHUNK_BYTES);
    check_flood("flood-chunks", |fleet, flood| {
        open_chunked_bodies(fleet.ingress(0), 40, &tail, flood);
    });
}

// Guards against a cost in memory for each chunk, which is many times that of the data.
#[test]
fn flood_of_bodies_in_tiny_chunks() {
    let tail = unfinished_chunked(TINY_CHUNKS_BYTES, 2);
    check_flood("flood-tiny", |fleet, flood| {
        open_chunked_bodies(fleet.ingress(0), 20, &tail, flood);
    });
}

// Guards against reading bodies that are announced as larger than the limit.
#[test]
fn flood_of_announced_oversized_bodies() {
    let tail = Bytes::from(vec![b'x'; 2 * BODY_BYTES]);
    check_flood("flood-announced", |fleet, flood| {
        let (to, length) = (fleet.ingress(0), 16 * BODY_BYTES);
        flood.open(40, |number| {
            let id = format!("announced-{number}");
            let head = request_head(LOOKUP, &id, &format!("content-length: {length}\r\n\r\n"));
            Sending { to, head, tail: tail.clone(), is_trickling: false }
        });
    });
}

// Guards against holding bodies up to the limit that turn out to be over it.
#[test]
fn flood_of_unannounced_oversized_bodies() {
    let tail = unfinished_chunked(2 * BODY_BYTES, LARGE_CHUNK_BYTES);
    check_flood("flood-unannounced", |fleet, flood| {
        open_chunked_bodies(fleet.ingress(0), 40, &tail, flood);
    });
}

// Guards against connections whose heads never end, which are never idle and take all descriptors.
#[test]
fn flood_of_endless_heads() {
    let head = request_head(LOOKUP, "head", &format!("x-filler: {}", "a".repeat(14_000)));
    check_flood("flood-heads", |fleet, flood| {
        let to = fleet.ingress(0);
        flood.open(800, |_| Sending {
            to,
            head: head.clone(),
            tail: Bytes::new(),
            is_trickling: true,
        });
    });
}

// Guards against connections without a request that take all descriptors of the process.
#[test]
fn flood_of_silent_connections() {
    check_flood("flood-silent", |fleet, flood| {
        for (to, count) in [(fleet.ingress(0), 600), (fleet.daemons[0].settings.directory(), 200)] {
            flood.open(count, |_| Sending {
                to,
                head: String::new(),
                tail: Bytes::new(),
                is_trickling: false,
            });
        }
    });
}

// Guards against connections whose own buffers take the memory of the host, though their bodies fit into
// the budget and their number into the descriptors.
#[test]
fn flood_of_small_bodies_on_the_smallest_host() {
    let _alone = run_alone();
    run_local("flood-small", |folder| async move {
        let mut fleet = start_host(folder, SMALLEST_MEMORY_MB, USUAL_MAX_FDS).await;
        let mut flood = Flood::default();
        let filler = format!("x-filler: {}\r\n", "a".repeat(FILLER_BYTES));
        open_small_bodies(fleet.ingress(0), 1_400, SMALL_BODY_BYTES, &filler, &mut flood);
        check_bounds(&mut fleet, flood).await;
    });
}

// Guards against stalled bodies that fit into the budget and keep all connections from other clients.
#[test]
fn flood_of_stalled_bodies_on_all_connections() {
    check_flood("flood-stalled", |fleet, flood| {
        open_small_bodies(fleet.ingress(0), 400, 1_000, "", flood);
    });
}

// Guards against holding the events of streams that their clients do not read.
#[test]
fn flood_of_unread_streams() {
    let prepare = async |fleet: &Fleet| {
        let mut settings = ReplicaSettings::with_defaults("engine-wide", ENGINE_SERVICE, "a");
        settings.slots = 64;
        fleet.deployment.add_replica(settings).expect("the replica starts");
        sleep(Duration::from_millis(700)).await;
    };
    check_flood_after("flood-streams", prepare, |fleet, flood| {
        let to = fleet.ingress(0);
        flood.open(60, |number| {
            // 200 events of 32 KiB.
            let headers = "x-token-counts: 100,1000\r\ncontent-length: 6\r\n\r\n";
            let head = request_head(STREAM, &format!("large-{number}"), headers);
            Sending { to, head, tail: Bytes::from_static(b"prompt"), is_trickling: false }
        });
    });
}

// Guards against holding a page of results for each client that does not read it.
#[test]
fn flood_of_unread_job_results() {
    let prepare = async |fleet: &Fleet| {
        let items = items("quoted", 40, 80);
        let accepted = Client.submit_job(fleet.ingress(0), JOBS, "quoted", &items).await;
        assert_eq!(accepted.expect("an answer").status, StatusCode::ACCEPTED);
        let results = read_all_results(fleet.ingress(0), "quoted", Duration::from_secs(30)).await;
        assert_eq!(results.len(), 40);
    };
    check_flood_after("flood-results", prepare, |fleet, flood| {
        let to = fleet.ingress(0);
        // More answers than the buffers of the sockets hold.
        let calls = "GET /-/lots/quoted?after=0 HTTP/1.1\r\nhost: stub.example\r\n\r\n".repeat(12);
        flood.open(100, |_| Sending {
            to,
            head: calls.clone(),
            tail: Bytes::new(),
            is_trickling: false,
        });
    });
}

// Guards against jobs that are each legal but take the memory of the host together with their inputs.
#[test]
fn flood_of_large_jobs() {
    check_flood("flood-jobs", |fleet, flood| {
        let to = fleet.ingress(0);
        flood.open(24, |number| {
            let job = format!("job-{number}");
            let body = large_job(&job);
            let head = request_head(JOBS, &job, &format!("content-length: {}\r\n\r\n", body.len()));
            Sending { to, head, tail: Bytes::from(body), is_trickling: false }
        });
    });
}

// Guards against calls of peers that are each legal but take the memory of the host together.
#[test]
fn flood_of_large_peer_calls() {
    check_flood("flood-peers", |fleet, flood| {
        open_peer_calls(fleet.daemons[0].settings.control(), 12, flood);
    });
}

// Guards against bounds that hold for each kind of body but not for the process.
#[test]
fn flood_of_two_kinds_at_once() {
    let tail = unfinished_chunked(TINY_CHUNKS_BYTES, 2);
    check_flood("flood-two", |fleet, flood| {
        open_bodies_with_a_length(fleet.ingress(0), 20, flood);
        open_chunked_bodies(fleet.ingress(0), 10, &tail, flood);
        open_peer_calls(fleet.daemons[0].settings.control(), 6, flood);
    });
}

// Guards against bounds that refuse requests within the limits while nothing else loads the daemon.
#[test]
fn single_requests_of_each_size_are_served() {
    let _alone = run_alone();
    run_local("single-sizes", |folder| async move {
        let mut fleet = start_small_host(folder).await;
        let daemon = fleet.ingress(0);
        for bytes in [0, 1, 1 << 10, 100 << 10, 1 << 20, 2 << 20, BODY_BYTES - 1, BODY_BYTES] {
            let lookup = OutgoingRequest::lookup(LOOKUP, &format!("lookup-{bytes}"));
            let lookup = OutgoingRequest { body: Bytes::from(vec![b'x'; bytes]), ..lookup };
            let answer = Client.call(daemon, &lookup).await.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK, "a plain request of {bytes} bytes");
            let id = format!("stream-{bytes}");
            let stream = OutgoingRequest::stream(STREAM, &id, 4);
            let stream = OutgoingRequest { body: Bytes::from(vec![b'x'; bytes]), ..stream };
            let answer = Client.call(daemon, &stream).await.expect("an answer");
            assert!(is_complete_stream(&id, 4, &answer.body), "a stream of {bytes} bytes");
        }
        for (bytes, chunk_bytes) in [(BODY_BYTES, LARGE_CHUNK_BYTES), (TINY_CHUNKS_BYTES, 2)] {
            let id = format!("whole-{chunk_bytes}");
            let status = send_chunked(daemon, &id, bytes, chunk_bytes).await;
            assert!(status.starts_with("HTTP/1.1 200"), "chunks of {chunk_bytes} bytes: {status}");
        }
        let job = large_job("single");
        assert!((BODY_BYTES - 100_000..=BODY_BYTES).contains(&job.len()), "{} bytes", job.len());
        let headers = [("x-request-id", "single"), ("x-deadline-ms", "4000")];
        let target = format!("{JOBS}single");
        let accepted = Client.send(daemon, Method::POST, &target, &headers, job.as_bytes()).await;
        assert_eq!(accepted.expect("an answer").status, StatusCode::ACCEPTED);
        let results = read_all_results(daemon, "single", Duration::from_secs(30)).await;
        assert_eq!(results.len(), 200);
        check_bounds(&mut fleet, Flood::default()).await;
    });
}

/// Sends a complete chunked request and returns the status line of its answer.
async fn send_chunked(to: SocketAddr, id: &str, bytes: usize, chunk_bytes: usize) -> String {
    let mut stream = TcpStream::connect(to).await.expect("it connects");
    let mut request = chunked_head(id).into_bytes();
    request.extend_from_slice(&chunked(bytes, chunk_bytes));
    request.extend_from_slice(b"0\r\n\r\n");
    stream.write_all(&request).await.expect("it is sent");
    let mut answer = vec![0; 1 << 10];
    let read = stream.read(&mut answer).await.expect("it is answered");
    let answer = String::from_utf8_lossy(&answer[..read]).into_owned();
    answer.lines().next().unwrap_or_default().to_owned()
}

/// Returns the submission of a job of 200 items that is little smaller than the largest body.
fn large_job(job: &str) -> String {
    let text = "eHh4".repeat(5_100);
    let items: Vec<String> = items(job, 200, 1)
        .iter()
        .map(|NewItem { id, path, .. }| {
            format!(
                r#"{{"id":"{id}","path":"{path}","headers":{{"x-token-counts":"100,5"}},"body":"{text}","tokens":105}}"#
            )
        })
        .collect();
    format!(r#"{{"items":[{}]}}"#, items.join(","))
}
