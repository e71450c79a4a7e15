//! Answers that a server sends while it still gets the request, on connections that it then resets or
//! closes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use upstream::AnswerHead;
use upstream::Connection;
use upstream::ExchangeError;
use upstream::RequestWriter;

/// More than the buffers of both ends hold, so that a part is unsent as long as the server reads
/// nothing.
const UPLOAD_BYTES: usize = 64 << 20;
/// The time after which the peer has handled what was sent.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// How a server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It resets the connection.
    Reset,
    /// It ends its direction, reads on for a while and then closes the connection.
    Orderly,
    /// It ends its direction and resets the connection afterwards.
    OrderlyThenReset,
}

/// Starts a server that reads the head of a request, writes `parts` with pauses and ends the
/// connection while the body of the request is being written.
async fn start_server(parts: Vec<&'static [u8]>, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let read = stream.read(&mut [0; 64]).await.expect("the request is read");
        assert!(read > 0);
        for part in parts {
            stream.write_all(part).await.expect("the part is written");
            sleep(ARRIVAL_TIME).await;
        }
        end_connection(stream, end).await;
    });
    address
}

async fn end_connection(mut stream: TcpStream, end: End) {
    if end != End::Reset {
        stream.shutdown().await.expect("its direction is ended");
        sleep(ARRIVAL_TIME).await;
    }
    if end == End::Orderly {
        let mut discarded = vec![0; 1 << 20];
        while stream.read(&mut discarded).await.is_ok_and(|read| read > 0) {}
        return;
    }
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("it is set");
}

/// Sends a request with a long body and returns the answer, and whether its connection can be reused.
async fn upload(
    parts: Vec<&'static [u8]>,
    end: End,
) -> Result<(AnswerHead, Bytes, bool), ExchangeError> {
    let address = start_server(parts, end).await;
    let mut connection = Connection::open(address, Duration::from_secs(1)).await?;
    let head = RequestWriter::new("POST", "/x").finish_head(UPLOAD_BYTES);
    connection.queue_request_with_id(head, Bytes::from(vec![b'u'; UPLOAD_BYTES]), "id");
    let head = connection.read_head(&Method::POST).await?;
    let body = connection.read_whole_body(1 << 20).await?;
    Ok((head, body, connection.is_reusable()))
}

/// Guards against a failed write that uses up the error of a reset, after which the connection looks
/// as if it had been closed in order.
#[tokio::test]
async fn body_without_length_that_is_reset_during_the_upload_is_lost() {
    let answers: [Vec<&[u8]>; 3] = [
        vec![b"HTTP/1.1 200 OK\r\n\r\npart"],
        vec![b"HTTP/1.1 200 OK\r\n\r\npart", b" and more"],
        vec![b"HTTP/1.1 200 OK\r\n\r\n"],
    ];
    for parts in answers {
        let result = upload(parts.clone(), End::Reset).await;
        assert!(matches!(result, Err(ExchangeError::Lost(_))), "{parts:?}: {result:?}");
    }
}

#[tokio::test]
async fn answer_that_is_cut_by_a_reset_during_the_upload_is_lost() {
    let answers: [&[u8]; 5] = [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-len",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
    ];
    for answer in answers {
        let result = upload(vec![answer], End::Reset).await;
        let answer = String::from_utf8_lossy(answer);
        assert!(matches!(result, Err(ExchangeError::Lost(_))), "{answer}: {result:?}");
    }
}

/// A server that refuses a request early may close the connection although it has not read the body.
#[tokio::test]
async fn answer_with_its_end_is_whole_although_the_upload_is_reset() {
    let answers: [Vec<&[u8]>; 3] = [
        vec![b"HTTP/1.1 413 Too Large\r\ncontent-length: 4\r\n\r\nlong"],
        vec![b"HTTP/1.1 413 Too Large\r\ntransfer-encoding: chunked\r\n\r\n4\r\nlong\r\n0\r\n\r\n"],
        vec![b"HTTP/1.1 413 Too Large\r\ncontent-", b"length: 4\r\n\r\nlo", b"ng"],
    ];
    for parts in answers {
        let result = upload(parts.clone(), End::Reset).await;
        let (head, body, is_reusable) = result.unwrap_or_else(|error| panic!("{parts:?}: {error}"));
        assert_eq!((head.status.as_u16(), &body[..], is_reusable), (413, &b"long"[..], false));
    }
}

#[tokio::test]
async fn body_without_length_is_whole_after_an_orderly_end_during_the_upload() {
    for end in [End::Orderly, End::OrderlyThenReset] {
        let result = upload(vec![b"HTTP/1.1 413 Too Large\r\n\r\nlong"], end).await;
        let (head, body, is_reusable) = result.unwrap_or_else(|error| panic!("{end:?}: {error}"));
        assert_eq!((head.status.as_u16(), &body[..], is_reusable), (413, &b"long"[..], false));
    }
}
