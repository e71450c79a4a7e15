//! Tests the HTTP client of backend servers with answers that do not end or break off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use engine::backend::Backend;
use engine::backend::BackendError;
use engine::backend::GenerationRequest;
use engine::backend::ServiceRequest;
use engine::backend::StreamItem;
use engine::http_backend::HttpBackend;
use kernel::http_client::HttpClient;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;
use wire::Millis;
use wire::ModelName;
use wire::RequestId;

/// The time limit of a request.
const REQUEST_TIMEOUT_MS: Millis = 3_000;

/// Starts a server that answers with `head` and then `bytes` without end.
async fn start_server(head: &'static [u8], bytes: Vec<u8>, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let read = stream.read(&mut [0; 4096]).await.expect("the request is read");
        assert!(read > 0);
        stream.write_all(head).await.expect("the head is written");
        while stream.write_all(&bytes).await.is_ok() {
            sleep(pause).await;
        }
    });
    address
}

/// Starts a server that answers with `answer` and closes the connection.
async fn start_closing_server(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let read = stream.read(&mut [0; 4096]).await.expect("the request is read");
        assert!(read > 0);
        stream.write_all(answer).await.expect("the answer is written");
    });
    address
}

fn service_request() -> ServiceRequest {
    ServiceRequest {
        request_id: RequestId::from("r"),
        call: "c".to_owned(),
        body: Bytes::from_static(b"b"),
    }
}

fn backend() -> HttpBackend {
    HttpBackend::new(Arc::new(HttpClient::new(None).expect("a client")))
}

fn request() -> GenerationRequest {
    GenerationRequest {
        request_id: RequestId::from("r"),
        model: ModelName::from("m"),
        prompt: "p".to_owned(),
        max_tokens: 4,
        generated: Vec::new(),
    }
}

#[tokio::test]
async fn refusal_without_end_is_read_up_to_a_limit() {
    let head = b"HTTP/1.1 503 Service Unavailable\r\n\r\n";
    let address = start_server(head, vec![b'x'; 16 << 10], Duration::from_millis(1)).await;
    let started = Instant::now();
    let refused = backend().generate(address, &request(), REQUEST_TIMEOUT_MS).await.err();
    assert!(matches!(refused, Some(BackendError::Busy(_))), "{refused:?}");
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
}

#[tokio::test]
async fn event_without_end_is_a_lost_stream() {
    let head = b"HTTP/1.1 200 OK\r\n\r\ndata: ";
    let address = start_server(head, vec![b'x'], Duration::from_millis(20)).await;
    let stream = backend().generate(address, &request(), REQUEST_TIMEOUT_MS).await;
    let mut stream = stream.expect("a stream");
    let item = tokio::time::timeout(Duration::from_secs(1), stream.next(200)).await;
    assert!(matches!(item, Ok(Err(BackendError::Lost(_)))), "{item:?}");
}

#[tokio::test]
async fn service_answer_that_breaks_off_is_lost() {
    let answers: [&[u8]; 5] = [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-len",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
    ];
    for answer in answers {
        let address = start_closing_server(answer).await;
        let result = backend().call(address, &service_request(), REQUEST_TIMEOUT_MS).await;
        let answer = String::from_utf8_lossy(answer);
        assert!(matches!(result, Err(BackendError::Lost(_))), "{answer}: {result:?}");
    }
}

#[tokio::test]
async fn empty_service_answer_with_length_is_complete() {
    let address = start_closing_server(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
    let result = backend().call(address, &service_request(), REQUEST_TIMEOUT_MS).await;
    assert_eq!(result.ok(), Some(Bytes::new()));
}

#[tokio::test]
async fn stream_without_its_end_marker_is_lost() {
    let answers: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n<html>\n\n",
    ];
    for answer in answers {
        let address = start_closing_server(answer).await;
        let mut stream = backend()
            .generate(address, &request(), REQUEST_TIMEOUT_MS)
            .await
            .unwrap_or_else(|error| panic!("no head: {error}"));
        let item: Result<StreamItem, BackendError> = stream.next(REQUEST_TIMEOUT_MS).await;
        assert!(matches!(item, Err(BackendError::Lost(_))), "{}", String::from_utf8_lossy(answer));
    }
}

#[tokio::test]
async fn malformed_service_answer_is_lost() {
    let answers: [&[u8]; 12] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: +5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5, 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 3\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: xchunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, gzip\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\ncontent-length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nout of memory\r\ncontent-length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nx a: b\r\ncontent-length: 5\r\n\r\nhello",
        b"HTTP/1.1 000 OK\r\ncontent-length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;\x01\r\nhello\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx y: z\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nbusy",
    ];
    for answer in answers {
        let address = start_closing_server(answer).await;
        let result = backend().call(address, &service_request(), REQUEST_TIMEOUT_MS).await;
        let answer = String::from_utf8_lossy(answer);
        assert!(matches!(result, Err(BackendError::Lost(_))), "{answer}: {result:?}");
    }
}

#[tokio::test]
async fn malformed_stream_is_lost() {
    let token = r#"data: {"id":"r","token_index":0,"choices":[{"text":"a"}]}"#;
    let events = format!("{token}\n\ndata: [DONE]\n\n");
    let length = events.len();
    let answers = [
        format!("content-length: +{length}\r\n\r\n{events}"),
        format!("content-length: {length}\r\ncontent-length: {length}\r\n\r\n{events}"),
        format!("transfer-encoding: identity\r\n\r\n{events}"),
        format!("\ncontent-length: {length}\r\n\r\n{events}"),
        format!("transfer-encoding: chunked\r\n\r\n{length:x};\x01\r\n{events}\r\n0\r\n\r\n"),
    ];
    for answer in answers {
        let answer = format!("HTTP/1.1 200 OK\r\n{answer}").into_bytes();
        let address = start_closing_server(Vec::leak(answer.clone())).await;
        let stream = backend().generate(address, &request(), REQUEST_TIMEOUT_MS).await;
        let result = match stream {
            Ok(mut stream) => stream.next(REQUEST_TIMEOUT_MS).await.map(|_| ()),
            Err(error) => Err(error),
        };
        let answer = String::from_utf8_lossy(&answer);
        assert!(matches!(result, Err(BackendError::Lost(_))), "{answer}: {result:?}");
    }
}
