//! Tests the server of a single-threaded daemon with slow clients.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use hyper::body::Incoming;
use kernel::Counters;
use kernel::linger::UnreadRequest;
use kernel::local_server;
use kernel::local_server::ConnectionBound;
use kernel::local_server::ConnectionLimits;
use kernel::local_server::LocalBody;
use kernel::local_server::LocalHandler;
use kernel::local_server::ServerLifecycle;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

const IDLE: Duration = Duration::from_millis(200);
/// An idle limit that ends no connection of a test.
const LONG_IDLE: Duration = Duration::from_secs(60);
const HEAD: Duration = Duration::from_millis(100);
/// More than the socket buffers of both ends hold.
const BODY_BYTES: usize = 48 << 20;
const READ_BYTES: usize = 4 << 20;

/// Answers every request with a large body.
struct LargeAnswer;

impl LocalHandler for LargeAnswer {
    fn handle(
        self: Rc<Self>,
        _request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        Box::pin(async { Response::new(LocalBody::full(vec![b'x'; BODY_BYTES])) })
    }
}

/// Starts a server with the idle limit `IDLE`, the limit `HEAD` of a head and a bound of connections.
fn start_server(max_connections: usize, counters: &Counters) -> SocketAddr {
    start_server_of(Rc::new(LargeAnswer), max_connections, IDLE, counters)
}

/// Starts a server of a handler with another idle limit.
fn start_server_of<H: LocalHandler>(
    handler: Rc<H>,
    max_connections: usize,
    idle: Duration,
    counters: &Counters,
) -> SocketAddr {
    let limits = ConnectionLimits { header_bytes: 8192, idle, head: HEAD };
    let counters = counters.clone();
    let bound = ConnectionBound { server: "test", max_connections, counters };
    start_server_with(handler, Rc::new(ServerLifecycle::bounded(limits, bound)))
}

/// Starts a server of a handler with its lifecycle.
fn start_server_with<H: LocalHandler>(
    handler: Rc<H>,
    lifecycle: Rc<ServerLifecycle>,
) -> SocketAddr {
    let listener = local_server::listen(([127, 0, 0, 1], 0).into()).expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    spawn_local(local_server::serve(listener, handler, lifecycle));
    address
}

/// Connects to a server and sends one request.
async fn request_large_answer() -> TcpStream {
    let counters = Counters::new(None).expect("the counters are created");
    let address = start_server(usize::MAX, &counters);
    let mut stream = TcpStream::connect(address).await.expect("it connects");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("it is written");
    stream
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

#[test]
fn answer_is_not_cut_when_its_client_reads_for_longer_than_the_idle_limit() {
    run_local(async {
        let mut stream = request_large_answer().await;
        let mut part = vec![0; READ_BYTES];
        let mut read_bytes = 0;
        while read_bytes < BODY_BYTES {
            sleep(Duration::from_millis(50)).await;
            read_bytes += stream.read_exact(&mut part).await.expect("the answer is whole");
        }
    });
}

#[test]
fn connection_is_closed_at_the_idle_limit_after_its_answer_was_read() {
    run_local(async {
        let mut stream = request_large_answer().await;
        let mut rest = Vec::new();
        let reading = timeout(Duration::from_secs(5), stream.read_to_end(&mut rest));
        reading.await.expect("the connection is closed").expect("it ends without an error");
        assert!(rest.len() > BODY_BYTES, "the answer is not whole");
    });
}

// Guards against a head that never ends and is never idle.
#[test]
fn connection_is_closed_when_its_head_is_not_complete_in_time() {
    run_local(async {
        let counters = Counters::new(None).expect("the counters are created");
        let address = start_server(usize::MAX, &counters);
        let mut stream = TcpStream::connect(address).await.expect("it connects");
        stream.write_all(b"GET / HTTP/1.1\r\nx-endless: ").await.expect("it is written");
        let trickling = async {
            while stream.write_all(b"x").await.is_ok() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(Duration::from_secs(5), trickling).await.expect("the connection is closed");
        assert!(counters.render_page().contains("slow_head"), "the reason is not counted");
    });
}

// Guards against an answer that is held for ever for a client that does not read.
#[test]
fn client_that_does_not_read_its_answer_is_disconnected() {
    run_local(async {
        let counters = Counters::new(None).expect("the counters are created");
        let address = start_server(usize::MAX, &counters);
        let mut stream = TcpStream::connect(address).await.expect("it connects");
        stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("it is written");
        let closed = async {
            while !counters.render_page().contains("unread_answer") {
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(Duration::from_secs(30), closed).await.expect("the client is disconnected");
    });
}

// Guards against silent connections that keep others from being served.
#[test]
fn silent_connections_give_way_to_a_new_one() {
    run_local(async {
        let counters = Counters::new(None).expect("the counters are created");
        let address = start_server(4, &counters);
        let mut silent = Vec::new();
        for _ in 0..20 {
            silent.push(TcpStream::connect(address).await.expect("it connects"));
        }
        let mut stream = TcpStream::connect(address).await.expect("it connects");
        stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("it is written");
        let mut status = [0; 15];
        let reading = timeout(Duration::from_secs(5), stream.read_exact(&mut status));
        reading.await.expect("it is answered").expect("it is not closed");
        assert_eq!(&status, b"HTTP/1.1 200 OK");
        assert!(counters.render_page().contains("idle_at_bound"), "the reason is not counted");
    });
}

/// Reads no body and gives no answer.
struct Unreading;

impl LocalHandler for Unreading {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        Box::pin(async {
            let _unread = request;
            std::future::pending().await
        })
    }
}

/// Returns how many bytes a client can send to a server that does not read them.
async fn unread_bytes(mut stream: TcpStream) -> usize {
    let head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 90000000\r\n\r\n";
    stream.write_all(head).await.expect("it is written");
    let mut sent_bytes = 0;
    let part = vec![b'x'; 1 << 10];
    while let Ok(sent) = timeout(Duration::from_millis(150), stream.write(&part)).await {
        sent_bytes += sent.expect("it is written");
    }
    sent_bytes
}

// Guards against bytes that are not read and take the memory of the host in the kernel's buffers.
#[test]
fn unread_bytes_are_few_once_many_connections_are_open() {
    run_local(async {
        let counters = Counters::new(None).expect("the counters are created");
        let address = start_server_of(Rc::new(Unreading), 8, IDLE, &counters);
        let mut streams = Vec::new();
        for _ in 0..3 {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_send_buffer_size(4 << 10).expect("the option is set");
            streams.push(socket.connect(address).await.expect("it connects"));
        }
        sleep(Duration::from_millis(50)).await;
        let last = unread_bytes(streams.remove(2));
        let first = unread_bytes(streams.remove(0));
        let (last, first) = tokio::join!(last, first);
        println!("first={first} last={last}");
        // Both counts hold the buffers of the client and of the HTTP library too.
        assert!(last < first / 4 * 3, "{last} of {first}");
    });
}

/// Refuses each request without reading its body.
struct Refusing;

impl LocalHandler for Refusing {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        let unread_request = request.extensions().get::<UnreadRequest>().cloned();
        unread_request.expect("the server adds it").mark();
        Box::pin(async {
            let mut answer = Response::new(LocalBody::full("refused"));
            *answer.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            answer
        })
    }
}

/// Connects to a server that refuses each request, and sends a head.
async fn request_refusal(counters: &Counters, length: usize) -> TcpStream {
    let address = start_server_of(Rc::new(Refusing), usize::MAX, LONG_IDLE, counters);
    let mut stream = TcpStream::connect(address).await.expect("it connects");
    let head = format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("it is written");
    stream
}

// Guards against a reset for unread bytes, by which a client that sends its whole body first loses the
// refusal.
#[test]
fn refusal_reaches_a_client_that_sends_its_whole_body_first() {
    run_local(async {
        let counters = Counters::new(None).expect("the counters are created");
        for length in [100 << 10, 1 << 20, 4 << 20] {
            let mut stream = request_refusal(&counters, length).await;
            for _ in 0..length / (50 << 10) {
                stream.write_all(&[b'x'; 50 << 10]).await.expect("the client is not reset");
                sleep(Duration::from_millis(1)).await;
            }
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await.expect("the answer is whole");
            let answer = String::from_utf8(answer).expect("it is text");
            assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
            assert!(answer.ends_with("refused"), "{answer}");
        }
    });
}

// Guards against discarding the bytes of a client for ever.
#[test]
fn refused_client_that_never_ends_is_disconnected() {
    run_local(async {
        let counters = Counters::new(None).expect("the counters are created");
        let mut stream = request_refusal(&counters, usize::MAX >> 1).await;
        let mut sent_bytes = 0;
        let part = vec![b'x'; 64 << 10];
        while let Ok(sent) = stream.write(&part).await {
            sent_bytes += sent;
            assert!(sent_bytes < BODY_BYTES, "the connection stays open");
        }
        sleep(Duration::from_millis(50)).await;
        assert!(counters.render_page().contains("unread_request_bytes"), "it is not counted");
    });
}

// Guards against a connection that a silent client keeps open after its refusal.
#[test]
fn refused_client_that_stays_silent_is_disconnected() {
    run_local(async {
        let counters = Counters::new(None).expect("the counters are created");
        let mut stream = request_refusal(&counters, 1 << 20).await;
        let mut answer = Vec::new();
        let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
        read.expect("the answer ends").expect("it is read");
        sleep(Duration::from_secs(3)).await;
        assert!(counters.render_page().contains("unread_request_time"), "it is not counted");
    });
}

/// Answers every request after some time.
struct SlowAnswer;

impl LocalHandler for SlowAnswer {
    fn handle(
        self: Rc<Self>,
        _request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        Box::pin(async {
            sleep(Duration::from_millis(50)).await;
            Response::new(LocalBody::full("answer"))
        })
    }
}

// Guards against connections that stay open beyond the bound: a connection that is closed for a new one
// is no longer counted, but still answers a request that arrived meanwhile.
#[test]
fn replaced_connection_ends_with_the_answer_to_a_request_that_came_meanwhile() {
    run_local(async {
        let counters = Counters::new(None).expect("the counters are created");
        let address = start_server_of(Rc::new(SlowAnswer), 1, LONG_IDLE, &counters);
        let mut replaced = TcpStream::connect(address).await.expect("it connects");
        sleep(Duration::from_millis(20)).await;
        // The server runs on this thread, so it sees the new connection and the request together.
        let _newer = std::net::TcpStream::connect(address).expect("it connects");
        let request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
        assert_eq!(replaced.try_write(request).expect("it is written"), request.len());
        let mut answer = Vec::new();
        let reading = timeout(Duration::from_secs(5), replaced.read_to_end(&mut answer));
        reading.await.expect("the connection is closed").expect("it ends without an error");
        let answer = String::from_utf8(answer).expect("it is text");
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("answer"), "{answer}");
    });
}

// Guards against a stopping process that exits before the answer to a request, since the connection was
// closed for a new one and is not among those that it waits for.
#[test]
fn replaced_connection_is_open_until_its_last_answer() {
    run_local(async {
        let counters = Counters::new(None).expect("the counters are created");
        let limits = ConnectionLimits { header_bytes: 8192, idle: LONG_IDLE, head: HEAD };
        let bound = ConnectionBound { server: "test", max_connections: 1, counters };
        let lifecycle = Rc::new(ServerLifecycle::bounded(limits, bound));
        let address = start_server_with(Rc::new(SlowAnswer), lifecycle.clone());
        let mut replaced = TcpStream::connect(address).await.expect("it connects");
        sleep(Duration::from_millis(20)).await;
        // The server runs on this thread, so it sees the new connection and the request together.
        let newer = std::net::TcpStream::connect(address).expect("it connects");
        let request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
        assert_eq!(replaced.try_write(request).expect("it is written"), request.len());
        drop(newer);
        sleep(Duration::from_millis(20)).await;
        assert_eq!(lifecycle.connections(), 1, "the request is not answered yet");
        let mut answer = Vec::new();
        let reading = timeout(Duration::from_secs(5), replaced.read_to_end(&mut answer));
        reading.await.expect("the connection is closed").expect("it ends without an error");
        assert!(answer.ends_with(b"answer"), "the answer is not whole");
        sleep(Duration::from_millis(20)).await;
        assert_eq!(lifecycle.connections(), 0);
    });
}
