//! Malformed answers to calls of the store, of other daemons and for the state of a replica.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use kernel::Counters;
use node::probe::StateProbe;
use peers::control::ControlClient;
use peers::control::PeerCallError;
use platform::objects::PlatformObjectCodec;
use slots::client::Probe;
use store::Call;
use store::CallClass;
use store::ObjectClient;
use store::StoreError;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use upstream::ConnectionPool;
use wire::ReplicaRecord;

/// The time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// An object of the store, as a daemon or a replica may answer it too.
const BODY: &str = "{\"metadata\":{\"name\":\"n\",\"revision\":1},\"running\":1,\"waiting\":0}";

/// Starts a server that answers the first request of each connection with `answer` and closes it.
async fn start_server(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let read = stream.read(&mut [0; 4096]).await.expect("the request is read");
            assert!(read > 0);
            stream.write_all(answer.as_bytes()).await.expect("the answer is written");
        }
    });
    address
}

/// Returns answers with this status that are malformed, each in another way.
fn malformed_answers(status: u16) -> Vec<String> {
    let length = BODY.len();
    let chunk = format!("{length:x}\r\n{BODY}\r\n");
    let answers = [
        format!("content-length: +{length}\r\n\r\n{BODY}"),
        format!("content-length: {length}\r\ncontent-length: 0\r\n\r\n{BODY}"),
        format!("content-length: {length}\r\ntransfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n"),
        format!("transfer-encoding: identity\r\n\r\n{BODY}"),
        format!("x-a: b\ncontent-length: {length}\r\n\r\n{BODY}"),
        format!("x a: b\r\ncontent-length: {length}\r\n\r\n{BODY}"),
        format!("out of memory\r\ncontent-length: {length}\r\n\r\n{BODY}"),
        format!("transfer-encoding: chunked\r\n\r\n{chunk}+0\r\n\r\n"),
        format!("transfer-encoding: chunked\r\n\r\n{chunk}0\r\nx y: z\r\n\r\n"),
        format!("content-length: {}\r\n\r\n{BODY}", length + 1),
    ];
    answers.map(|answer| format!("HTTP/1.1 {status} X\r\n{answer}")).to_vec()
}

async fn run_local(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// A malformed refusal does not promise that the store has done nothing, nor a malformed 404 that an object
/// is absent.
#[tokio::test]
async fn malformed_answer_of_the_store_tells_nothing() {
    run_local(async {
        let statuses = [0, 101, 200, 404, 409, 410, 413, 429, 503, 600];
        for answer in statuses.into_iter().flat_map(malformed_answers) {
            let address = start_server(answer.replace("HTTP/1.1 0 ", "HTTP/1.1 000 ")).await;
            let counters = Counters::new(None).expect("counters without an address");
            let codec = Rc::new(PlatformObjectCodec);
            let client = ObjectClient::new(codec, address, 100.0, 100.0, counters);
            let call = Call::Get { kind: "things", name: "n".to_owned() };
            let result = client.call_once(CallClass::Lease, &call).await;
            assert!(matches!(result, Err(StoreError::Unknown(_))), "{answer}: {result:?}");
        }
    })
    .await;
}

#[tokio::test]
async fn malformed_answer_of_a_daemon_tells_nothing() {
    run_local(async {
        for answer in [200, 404, 503].into_iter().flat_map(malformed_answers) {
            let address = start_server(answer.clone()).await;
            let client = ControlClient::default();
            let result = client.call(address, Method::POST, "/x", b"body", CALL_TIMEOUT).await;
            assert_eq!(result, Err(PeerCallError::Unknown), "{answer}");
        }
    })
    .await;
}

#[tokio::test]
async fn malformed_answer_is_no_state_of_a_replica() {
    run_local(async {
        for answer in malformed_answers(StatusCode::OK.as_u16()) {
            let record = ReplicaRecord {
                name: "engine".into(),
                service: "engines".into(),
                address: start_server(answer.clone()).await,
                data_centre: "a".into(),
                slots: 8,
                is_draining: false,
                cold_left_ms: 0,
                started_unix_ms: 1,
            };
            let pool = Rc::new(ConnectionPool::new(CALL_TIMEOUT, CALL_TIMEOUT));
            let state = StateProbe { pool }.fetch_state(&record, false).await.state;
            assert!(state.is_none(), "{answer}: {state:?}");
        }
    })
    .await;
}
