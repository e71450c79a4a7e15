//! Tests the server of a single-threaded daemon with slow clients.

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use kernel::local_server;
use kernel::local_server::ConnectionLimits;
use kernel::local_server::LocalBody;
use kernel::local_server::LocalHandler;
use kernel::local_server::ServerLifecycle;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

const IDLE: Duration = Duration::from_millis(200);
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

/// Connects to a server with the idle limit `IDLE` and sends one request.
async fn request_large_answer() -> TcpStream {
    let listener = local_server::listen(([127, 0, 0, 1], 0).into()).expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    let limits = ConnectionLimits { header_bytes: 8192, idle: IDLE };
    let lifecycle = Rc::new(ServerLifecycle::new(limits));
    spawn_local(local_server::serve(listener, Rc::new(LargeAnswer), lifecycle));
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
