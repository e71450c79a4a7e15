//! Answers as servers may send them: framed, broken, crossed, cut.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use proptest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use upstream::AnswerHead;
use upstream::Connection;
use upstream::EventSplitter;
use upstream::Fault;
use upstream::Pool;
use upstream::RequestWriter;
use upstream::framing::Framing;

/// Serves one connection: reads a request, writes the parts, and closes.
async fn serve(parts: Vec<&'static [u8]>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0_u8; 1024];
        let read = stream.read(&mut request).await.expect("a request");
        assert!(read > 0);
        for part in parts {
            stream.write_all(part).await.expect("it is written");
            stream.flush().await.expect("it is written");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    address
}

fn request() -> Bytes {
    RequestWriter::new("GET", "/x").finish_empty()
}

async fn answer(parts: Vec<&'static [u8]>) -> Result<(AnswerHead, Bytes, bool), Fault> {
    let address = serve(parts).await;
    let mut connection = Connection::open(address, Duration::from_secs(1)).await?;
    connection.begin(request());
    let head = connection.read_head(&Method::GET).await?;
    let body = connection.read_whole_body(1 << 20).await?;
    Ok((head, body, connection.is_reusable()))
}

#[tokio::test]
async fn bodies_with_a_length_with_chunks_and_up_to_the_end_are_read_whole() {
    let (_, body, reusable) =
        answer(vec![b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhe", b"llo"])
            .await
            .expect("whole");
    assert_eq!((&body[..], reusable), (&b"hello"[..], true));
    let chunks =
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
    let (_, body, reusable) = answer(vec![chunks]).await.expect("whole");
    assert_eq!((&body[..], reusable), (&b"hello"[..], true));
    let (_, body, reusable) =
        answer(vec![b"HTTP/1.1 200 OK\r\n\r\nhel", b"lo"]).await.expect("whole");
    assert_eq!((&body[..], reusable), (&b"hello"[..], false));
}

#[tokio::test]
async fn an_answer_that_ends_early_is_a_fault() {
    let cut = answer(vec![b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello"]).await;
    assert!(matches!(cut, Err(Fault::Lost(_))));
    let cut =
        answer(vec![b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n"]).await;
    assert!(matches!(cut, Err(Fault::Lost(_))));
    let none = answer(vec![]).await;
    assert!(matches!(none, Err(Fault::Lost(_))));
}

#[tokio::test]
async fn bytes_that_are_no_answer_are_a_fault() {
    assert!(matches!(answer(vec![b"\x00\x01garbage\r\n\r\n"]).await, Err(Fault::Malformed(_))));
    let chunks = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
    assert!(matches!(answer(vec![chunks]).await, Err(Fault::Malformed(_))));
}

#[tokio::test]
async fn bytes_after_an_answer_make_its_connection_useless() {
    let extra = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n";
    let (_, _, reusable) = answer(vec![extra]).await.expect("whole");
    assert!(!reusable);
}

#[tokio::test]
async fn interim_answers_are_skipped() {
    let parts: Vec<&[u8]> =
        vec![b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 204 No Content\r\n\r\n"];
    let (head, body, _) = answer(parts).await.expect("whole");
    assert_eq!((head.status.as_u16(), body.len()), (204, 0));
}

#[tokio::test]
async fn a_server_that_announces_the_end_is_not_used_again() {
    let closes = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    let (head, _, reusable) = answer(vec![closes]).await.expect("whole");
    assert!(head.closes());
    assert!(!reusable);
}

#[tokio::test]
async fn no_connection_means_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    drop(listener);
    let refused = Connection::open(address, Duration::from_secs(1)).await.err();
    assert!(refused.is_some_and(|fault| fault.is_not_sent()));
}

#[tokio::test]
async fn a_pool_hands_out_no_connection_that_was_closed_or_has_bytes() {
    let pool = Pool::new(Duration::from_secs(5), Duration::from_secs(1));
    let address = serve(vec![b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"]).await;
    let mut connection = pool.get(address).await.expect("it connects");
    connection.begin(request());
    connection.read_head(&Method::GET).await.expect("a head");
    connection.read_whole_body(10).await.expect("a body");
    pool.put(connection);
    assert_eq!(pool.idle_count(), 1);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(pool.take_idle(address).is_none(), "the server has closed it");
}

proptest! {
    #[test]
    fn chunks_are_the_same_however_they_are_split(
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
            while let Some(bytes) = framing.take(&mut buffer).expect("sound chunks") {
                body.extend_from_slice(&bytes);
            }
        }
        prop_assert_eq!(framing, Framing::Done);
        prop_assert_eq!(body, chunks.concat());
    }

    #[test]
    fn events_are_the_same_however_they_are_split(
        data in prop::collection::vec("[a-z]{0,12}", 0..8),
        cut in 0_usize..300,
    ) {
        let mut wire = String::new();
        for (number, text) in data.iter().enumerate() {
            wire.push_str(&format!("id: {}\ndata: {text}\n\n", number + 1));
        }
        let cut = cut.min(wire.len());
        let mut splitter = EventSplitter::default();
        let mut seen = Vec::new();
        for part in [&wire[..cut], &wire[cut..]] {
            splitter.push(part.as_bytes()).expect("it is short");
            while let Some(event) = splitter.next_event() {
                let mut text = String::new();
                event.append_data(&mut text);
                seen.push((event.id, text));
            }
        }
        let expected: Vec<_> =
            data.iter().enumerate().map(|(n, text)| (Some(n as u64 + 1), text.clone())).collect();
        prop_assert_eq!(seen, expected);
        prop_assert!(!splitter.has_partial());
    }
}

#[test]
fn an_event_without_an_end_is_refused() {
    let mut splitter = EventSplitter::default();
    let part = [b'x'; 64 << 10];
    let pushed: Result<(), _> = (0..64).try_for_each(|_| splitter.push(&part));
    assert!(pushed.is_err(), "four megabytes without an end were taken");
}
