//! Answers that are malformed, cut or reset, as the HTTP client reads them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use kernel::http_client::CallError;
use kernel::http_client::HttpClient;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// The time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The time after which the peer has handled what was sent.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);
/// More than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 64 << 20;

/// How a server ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It closes the connection after it has read the request.
    Orderly,
    /// It resets the connection, since bytes of the request are unread.
    Reset,
    /// It ends its direction, reads on for a while and then closes the connection.
    OrderlyDuringUpload,
}

/// Starts a server that answers one request on each connection with `answer` and ends it.
async fn start_server(answer: Vec<u8>, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let read = stream.read(&mut [0; 256]).await.expect("the request is read");
            assert!(read > 0);
            stream.write_all(&answer).await.expect("the answer is written");
            sleep(ARRIVAL_TIME).await;
            if end == End::OrderlyDuringUpload {
                stream.shutdown().await.expect("its direction is ended");
                let mut discarded = vec![0; 1 << 20];
                while stream.read(&mut discarded).await.is_ok_and(|read| read > 0) {}
            }
        }
    });
    address
}

async fn call(
    answer: impl Into<Vec<u8>>,
    end: End,
    body: Bytes,
) -> Result<Response<Bytes>, CallError> {
    let address = start_server(answer.into(), end).await;
    let client = HttpClient::new(None).expect("a client");
    let request = Request::post(format!("http://{address}/x")).body(body).expect("a request");
    client.call(request, CALL_TIMEOUT).await
}

fn upload() -> Bytes {
    Bytes::from(vec![b'u'; UPLOAD_BYTES])
}

/// Returns a success with these header lines and this body.
fn success(lines: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\n{body}")
}

/// Requires that each of `answers` is taken for a lost one.
async fn check_lost(answers: impl IntoIterator<Item = String>) {
    let mut accepted = Vec::new();
    for answer in answers {
        match call(answer.clone(), End::Orderly, Bytes::new()).await {
            Err(CallError::Lost(_)) => {}
            other => accepted.push((answer, other)),
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
}

#[tokio::test]
async fn answer_with_malformed_length_is_lost() {
    let lengths = ["+5", "-5", "5, 5", "5 5", "0x5", "", "five", "18446744073709551616"];
    check_lost(lengths.map(|length| success(&format!("content-length: {length}"), "hello"))).await;
    let pairs = [("5", "3"), ("3", "5"), ("5", "5"), ("5", "x")];
    check_lost(pairs.map(|(first, second)| {
        success(&format!("content-length: {first}\r\ncontent-length: {second}"), "hello")
    }))
    .await;
}

#[tokio::test]
async fn answer_with_unknown_coding_is_lost() {
    let codings = [
        "identity",
        "gzip",
        "xchunked",
        "chunke\u{e9}d",
        "",
        "gzip, chunked",
        "chunked, gzip",
        "chunked, chunked",
    ];
    check_lost(
        codings.map(|coding| {
            success(&format!("transfer-encoding: {coding}"), "5\r\nhello\r\n0\r\n\r\n")
        }),
    )
    .await;
    let beside = "content-length: 5\r\ntransfer-encoding: chunked";
    check_lost([success(beside, "5\r\nhello\r\n0\r\n\r\n")]).await;
    let older = success("transfer-encoding: chunked", "5\r\nhello\r\n0\r\n\r\n");
    check_lost([older.replace("HTTP/1.1", "HTTP/1.0")]).await;
}

#[tokio::test]
async fn answer_with_a_line_that_is_no_field_is_lost() {
    let lines = [
        "garbage",
        "content-length 5",
        "content length: 5",
        "content-length : 5",
        "x\u{1}a: b",
        "x\0a: b",
        ": 5",
        " x-a: b",
        "x-a: b\r\n folded",
        "\ncontent-length: 5",
        "x-a: b\n\ncontent-length: 5",
        "x-a: b\ncontent-length: 5",
        "x-a: \u{1}",
    ];
    check_lost(lines.map(|line| success(line, "hello"))).await;
    check_lost(["HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\nhello".to_owned()]).await;
}

#[tokio::test]
async fn answer_with_malformed_status_is_lost() {
    let statuses = ["000", "099", "101", "600", "999", "20", "2000"];
    check_lost(statuses.map(|status| success("content-length: 5", "hello").replace("200", status)))
        .await;
}

#[tokio::test]
async fn answer_with_malformed_chunks_is_lost() {
    let bodies = [
        "+5\r\nhello\r\n0\r\n\r\n",
        " 5\r\nhello\r\n0\r\n\r\n",
        "5\r\r\nhello\r\n0\r\n\r\n",
        "5;\u{1}\r\nhello\r\n0\r\n\r\n",
        "0x5\r\nhello\r\n0\r\n\r\n",
        "\r\nhello\r\n0\r\n\r\n",
        "5\nhello\r\n0\r\n\r\n",
        "5\r\nhello\n0\r\n\r\n",
        "4\r\nhello\r\n0\r\n\r\n",
        "6\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello\r\n+0\r\n\r\n",
        "5\r\nhello\r\n0\n\r\n",
        "5\r\nhello\r\n0\r\n\n",
        "5\r\nhello\r\n0\r\ngarbage\r\n\r\n",
        "5\r\nhello\r\n0\r\nx y: z\r\n\r\n",
        "5\r\nhello\r\n0\r\nx: \u{1}\r\n\r\n",
        "",
        "5\r\nhel",
        "5\r\nhello\r\n",
        "5\r\nhello\r\n0\r\n",
    ];
    check_lost(bodies.map(|body| success("transfer-encoding: chunked", body))).await;
}

/// The client asks for no coding, so an encoded body is not the one that was asked for.
#[tokio::test]
async fn answer_with_an_encoded_body_is_lost() {
    check_lost([success("content-encoding: gzip\r\ncontent-length: 5", "hello")]).await;
}

#[tokio::test]
async fn answer_that_is_reset_during_the_upload_is_lost() {
    let answers = [
        success("x-a: b", "part"),
        success("content-length: 9", "part"),
        success("transfer-encoding: chunked", "4\r\npart\r\n"),
    ];
    for answer in answers {
        let result = call(answer.clone(), End::Reset, upload()).await;
        assert!(matches!(result, Err(CallError::Lost(_))), "{answer}: {result:?}");
    }
}

#[tokio::test]
async fn sound_answers_are_read() {
    let answers = [
        success("content-length: 5", "hello"),
        success("Content-Length:  5 \t", "hello"),
        success("Transfer-Encoding: Chunked", "3\r\nhel\r\n2 \r\nlo\r\n0;x=y\r\nx-a: b\r\n\r\n"),
        success("x-a: b", "hello"),
        format!("HTTP/1.1 100 Continue\r\n\r\n{}", success("content-length: 5", "hello")),
        success("x-a: b", "hello").replace("HTTP/1.1", "HTTP/1.0"),
    ];
    for answer in answers {
        let result = call(answer.clone(), End::Orderly, Bytes::new()).await;
        let response = result.unwrap_or_else(|error| panic!("{answer}: {error}"));
        assert_eq!((response.status(), &response.body()[..]), (StatusCode::OK, &b"hello"[..]));
    }
}

#[tokio::test]
async fn answer_that_ends_in_order_during_the_upload_is_read() {
    for lines in ["x-a: b", "content-length: 4"] {
        let answer = success(lines, "long").replace("200 OK", "413 Too Large");
        let result = call(answer.clone(), End::OrderlyDuringUpload, upload()).await;
        let response = result.unwrap_or_else(|error| panic!("{answer}: {error}"));
        assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(&response.body()[..], b"long");
    }
}

/// A server may write more than its answer; the bytes belong to no call.
#[tokio::test]
async fn bytes_after_an_answer_are_not_read() {
    let surplus = success("content-length: 5", "other");
    let answers = [
        success("content-length: 5", "hello"),
        success("transfer-encoding: chunked", "5\r\nhello\r\n0\r\n\r\n"),
    ];
    for answer in answers {
        for surplus in [surplus.as_str(), "surplus", "\r\n"] {
            let bytes = format!("{answer}{surplus}");
            let address = start_server(bytes.clone().into(), End::Orderly).await;
            let client = HttpClient::new(None).expect("a client");
            for _ in 0..2 {
                let request = Request::get(format!("http://{address}/x")).body(Bytes::new());
                let result = client.call(request.expect("a request"), CALL_TIMEOUT).await;
                let response = result.unwrap_or_else(|error| panic!("{bytes}: {error}"));
                assert_eq!(&response.body()[..], b"hello", "{bytes}");
            }
        }
    }
}
