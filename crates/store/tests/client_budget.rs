//! The call budget of a client whose calls wait for their turn.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use kernel::Counters;
use store::Call;
use store::CallClass;
use store::ObjectClient;
use store::Reply;
use store::StoreError;
use store::call::EncodedCall;
use store::call::ObjectCodec;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

const WRITES_PER_S: f64 = 10.0;
const BURST_CALLS: u32 = 20;
const CALLS: u32 = 60;

/// Encodes every call as the same request and decodes every answer as an absent object.
struct FixedCodec;

impl ObjectCodec for FixedCodec {
    fn encode(&self, _call: &Call) -> EncodedCall {
        EncodedCall { method: Method::DELETE, target: "/object".to_owned(), body: Bytes::new() }
    }

    fn decode(
        &self,
        _call: &Call,
        _status: StatusCode,
        _body: &Bytes,
    ) -> Result<Reply, StoreError> {
        Ok(Reply::Absent)
    }
}

async fn serve(mut stream: TcpStream, served: Rc<Cell<u32>>) {
    let mut buffer = vec![0; 4096];
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
        served.set(served.get() + 1);
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.expect("the client reads");
    }
}

async fn start_server(served: Rc<Cell<u32>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, served.clone()));
        }
    });
    address
}

#[tokio::test]
async fn calls_that_waited_for_the_budget_exceed_the_rate_no_more() {
    let run = async {
        let served = Rc::new(Cell::new(0));
        let address = start_server(served.clone()).await;
        let counters = Counters::new(None).expect("counters without an address");
        let codec = Rc::new(FixedCodec);
        let client = ObjectClient::new(codec, address, WRITES_PER_S, WRITES_PER_S, counters);
        let started = Instant::now();
        let calls = (0..CALLS).map(|number| {
            let (client, call) = (&client, Call::Remove { kind: "kind", name: number.to_string() });
            async move { client.call_once(CallClass::Lease, &call).await }
        });
        let results = futures::future::join_all(calls).await;
        let refilled = (started.elapsed().as_secs_f64() * WRITES_PER_S).ceil() as u32;
        let allowed = BURST_CALLS + refilled;
        assert!(served.get() <= allowed, "{} calls, {allowed} allowed", served.get());
        let answered = results.iter().filter(|result| result.is_ok()).count() as u32;
        assert_eq!(answered, served.get());
        assert!(answered > BURST_CALLS, "calls that wait get their turn");
        let refused = results.iter().filter(|result| result.is_err());
        refused.for_each(|result| assert_eq!(result, &Err(StoreError::RateLimited)));
    };
    LocalSet::new().run_until(run).await;
}
