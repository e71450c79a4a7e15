//! Tests the HTTP client of backend servers with answers that do not end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use engine::backend::Backend;
use engine::backend::BackendError;
use engine::backend::GenerationRequest;
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
