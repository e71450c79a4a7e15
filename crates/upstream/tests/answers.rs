//! Valid, malformed, truncated and surplus answers of servers, and the splitting of event streams.

use std::net::SocketAddr;
use std::time::Duration;

use budget::Budget;
use budget::Kind;
use budget::Limits;
use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use proptest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use upstream::AnswerHead;
use upstream::Connection;
use upstream::ConnectionPool;
use upstream::EventSplitter;
use upstream::ExchangeError;
use upstream::RequestWriter;
use upstream::framing::Framing;

/// Starts a server that accepts one connection, reads a request, writes `parts` and closes.
async fn start_server(parts: Vec<&'static [u8]>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut request = [0_u8; 1024];
        let read = stream.read(&mut request).await.expect("the request is read");
        assert!(read > 0);
        for part in parts {
            stream.write_all(part).await.expect("the part is written");
            stream.flush().await.expect("the part is flushed");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    address
}

fn request() -> Bytes {
    RequestWriter::new("GET", "/x").finish_empty()
}

async fn fetch(parts: Vec<&'static [u8]>) -> Result<(AnswerHead, Bytes, bool), ExchangeError> {
    let address = start_server(parts).await;
    let mut connection = Connection::open(address, Duration::from_secs(1)).await?;
    connection.queue_request(request());
    let head = connection.read_head(&Method::GET).await?;
    let body = connection.read_whole_body(1 << 20).await?;
    Ok((head, body, connection.is_reusable()))
}

#[tokio::test]
async fn bodies_of_every_framing_are_read_completely() {
    let (_, body, is_reusable) =
        fetch(vec![b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhe", b"llo"])
            .await
            .expect("a complete answer");
    assert_eq!((&body[..], is_reusable), (&b"hello"[..], true));
    let chunks =
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
    let (_, body, is_reusable) = fetch(vec![chunks]).await.expect("a complete answer");
    assert_eq!((&body[..], is_reusable), (&b"hello"[..], true));
    let (_, body, is_reusable) =
        fetch(vec![b"HTTP/1.1 200 OK\r\n\r\nhel", b"lo"]).await.expect("a complete answer");
    assert_eq!((&body[..], is_reusable), (&b"hello"[..], false));
}

#[tokio::test]
async fn a_truncated_answer_is_a_lost_connection() {
    let truncated = fetch(vec![b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello"]).await;
    assert!(matches!(truncated, Err(ExchangeError::Lost(_))));
    let truncated =
        fetch(vec![b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n"]).await;
    assert!(matches!(truncated, Err(ExchangeError::Lost(_))));
    let missing = fetch(vec![]).await;
    assert!(matches!(missing, Err(ExchangeError::Lost(_))));
}

#[tokio::test]
async fn invalid_bytes_are_a_malformed_answer() {
    assert!(matches!(
        fetch(vec![b"\x00\x01garbage\r\n\r\n"]).await,
        Err(ExchangeError::Malformed(_))
    ));
    let chunks = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
    assert!(matches!(fetch(vec![chunks]).await, Err(ExchangeError::Malformed(_))));
}

#[tokio::test]
async fn surplus_bytes_make_a_connection_unusable() {
    let surplus = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n";
    let (_, _, is_reusable) = fetch(vec![surplus]).await.expect("a complete answer");
    assert!(!is_reusable);
}

#[tokio::test]
async fn interim_answers_are_skipped() {
    let parts: Vec<&[u8]> =
        vec![b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 204 No Content\r\n\r\n"];
    let (head, body, _) = fetch(parts).await.expect("a complete answer");
    assert_eq!((head.status.as_u16(), body.len()), (204, 0));
}

#[tokio::test]
async fn a_body_in_one_part_is_not_read_over_the_limit() {
    let address =
        start_server(vec![b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n123456789"]).await;
    let mut connection =
        Connection::open(address, Duration::from_secs(1)).await.expect("it connects");
    connection.queue_request(request());
    connection.read_head(&Method::GET).await.expect("a head");
    let body = connection.read_whole_body(8).await;
    assert!(matches!(body, Err(ExchangeError::OverLimit(_))), "{body:?}");
}

#[tokio::test]
async fn a_body_without_length_that_is_reset_is_a_lost_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let read = stream.read(&mut [0; 1024]).await.expect("the request is read");
        assert!(read > 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhello").await.expect("the part is written");
        tokio::time::sleep(Duration::from_millis(20)).await;
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("it is set");
    });
    let mut connection =
        Connection::open(address, Duration::from_secs(1)).await.expect("it connects");
    connection.queue_request(request());
    connection.read_head(&Method::GET).await.expect("a head");
    let body = connection.read_whole_body(1 << 20).await;
    assert!(matches!(body, Err(ExchangeError::Lost(_))), "{body:?}");
}

#[tokio::test]
async fn a_connection_is_not_reused_after_connection_close() {
    let close_header = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    let (head, _, is_reusable) = fetch(vec![close_header]).await.expect("a complete answer");
    assert!(head.has_connection_close());
    assert!(!is_reusable);
}

#[tokio::test]
async fn a_refused_connection_means_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let error = Connection::open(address, Duration::from_secs(1)).await.err();
    assert!(error.is_some_and(|error| error.is_not_sent()));
}

#[tokio::test]
async fn the_pool_discards_connections_that_the_server_closed() {
    let pool = ConnectionPool::new(Duration::from_secs(5), Duration::from_secs(1));
    let address = start_server(vec![b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"]).await;
    let mut connection = pool.get(address).await.expect("the pool connects");
    connection.queue_request(request());
    connection.read_head(&Method::GET).await.expect("the head is read");
    connection.read_whole_body(10).await.expect("the body is read");
    pool.put(connection);
    assert_eq!(pool.idle_count(), 1);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(pool.take_idle(address).is_none(), "the server has closed it");
}

proptest! {
    #[test]
    fn chunked_bodies_decode_the_same_however_split(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..6),
        cut in 0_usize..400,
    ) {
        let mut wire = Vec::new();
        for chunk in &chunks {
            wire.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\n\r\n");
        let cut = cut.min(wire.len());
        let mut framing = Framing::Chunked(upstream::framing::ChunkState::Size);
        let mut buffer = BytesMut::new();
        let mut body = Vec::new();
        for part in [&wire[..cut], &wire[cut..]] {
            buffer.extend_from_slice(part);
            while let Some(bytes) = framing.decode(&mut buffer).expect("valid chunks") {
                body.extend_from_slice(&bytes);
            }
        }
        prop_assert_eq!(framing, Framing::Done);
        prop_assert_eq!(body, chunks.concat());
    }

    #[test]
    fn event_streams_decode_the_same_however_split(
        data in prop::collection::vec("[a-z]{0,12}", 0..8),
        cut in 0_usize..300,
    ) {
        let mut wire = String::new();
        for (number, text) in data.iter().enumerate() {
            wire.push_str(&format!("id: {}\ndata: {text}\n\n", number + 1));
        }
        let cut = cut.min(wire.len());
        let mut splitter = EventSplitter::default();
        let mut decoded = Vec::new();
        for part in [&wire[..cut], &wire[cut..]] {
            splitter.push(part.as_bytes()).expect("the event is within the limit");
            while let Some(event) = splitter.next_event() {
                let mut text = String::new();
                event.append_data(&mut text);
                decoded.push((event.id, text));
            }
        }
        let expected: Vec<_> =
            data.iter().enumerate().map(|(n, text)| (Some(n as u64 + 1), text.clone())).collect();
        prop_assert_eq!(decoded, expected);
        prop_assert!(!splitter.has_partial());
    }
}

#[test]
fn an_event_without_an_end_is_rejected() {
    let mut splitter = EventSplitter::default();
    let part = [b'x'; 64 << 10];
    let pushed: Result<(), _> = (0..64).try_for_each(|_| splitter.push(&part));
    assert!(pushed.is_err(), "an event of 4 MiB without an end was accepted");
}

#[test]
fn many_events_in_one_part_are_not_one_event_over_the_limit() {
    let mut splitter = EventSplitter::default();
    let part = b"id: 1\ndata: a\n\n".repeat(100_000);
    splitter.push(&part).expect("each event is within the limit");
    assert_eq!(std::iter::from_fn(|| splitter.next_event()).count(), 100_000);
    assert!(!splitter.has_partial());
}

/// Guards against an idle connection that keeps the memory of the request bodies it has sent.
#[tokio::test]
async fn a_body_is_sent_without_a_copy_and_released() {
    const BODY_BYTES: usize = 300_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    let head = RequestWriter::new("POST", "/x").finish_head(BODY_BYTES);
    let expected_bytes = head.len() + BODY_BYTES;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut request = vec![0; expected_bytes];
        stream.read_exact(&mut request).await.expect("the request is read");
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.expect("the answer is written");
        request
    });
    let budget = Budget::new(Limits::unlimited());
    let mut reservation = budget.reserve(Kind::RequestBodies);
    reservation.resize(BODY_BYTES).expect("it fits");
    let body = reservation.attach(Bytes::from(vec![b'b'; BODY_BYTES]));

    let mut connection =
        Connection::open(address, Duration::from_secs(1)).await.expect("the connection opens");
    connection.queue_request_with_id(head.clone(), body.clone(), "id");
    assert!(!connection.has_sent());
    connection.read_head(&Method::POST).await.expect("an answer");
    connection.read_whole_body(0).await.expect("an empty body");
    assert!(connection.has_sent() && connection.is_reusable());
    let sent = server.await.expect("the server ends");
    assert!(sent.starts_with(&head) && sent.ends_with(&body[..]));
    drop(body);
    assert_eq!(budget.total_used_bytes(), 0, "the connection keeps the body");
}
