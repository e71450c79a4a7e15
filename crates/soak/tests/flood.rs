//! Tests of a flood against a server that only accepts connections.

use std::time::Duration;

use soak::flood::FloodKind;
use soak::flood::flood;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::timeout;

const CONNECTIONS: usize = 5;
const FLOOD_TIME: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a flood that opens too many connections, leaves some open after its end, or sends a
/// request that ends.
#[tokio::test]
async fn flood_is_bounded_and_no_request_ends() {
    for kind in [
        FloodKind::StoppedBodies,
        FloodKind::TinyChunks,
        FloodKind::EndlessHeads,
        FloodKind::SilentConnections,
    ] {
        LocalSet::new().run_until(check_flood(kind)).await;
    }
}

async fn check_flood(kind: FloodKind) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the server listens");
    let address = listener.local_addr().expect("the listener has an address");
    let flooding = spawn_local(flood(address, kind, CONNECTIONS, Some("a-key"), FLOOD_TIME));
    let mut readers = Vec::new();
    for _ in 0..CONNECTIONS {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        readers.push(spawn_local(async move {
            let mut received = Vec::new();
            // The end of a flood may reset its connections.
            let _ = timeout(TIMEOUT, stream.read_to_end(&mut received)).await.expect("it ends");
            received
        }));
    }
    flooding.await.expect("the flood ends");
    for reader in readers {
        let received = reader.await.expect("the connection is read");
        check_request(kind, &String::from_utf8(received).expect("the request is text"));
    }
    assert!(timeout(Duration::from_millis(50), listener.accept()).await.is_err(), "{kind:?}");
}

fn check_request(kind: FloodKind, received: &str) {
    if kind == FloodKind::SilentConnections {
        return assert_eq!(received, "");
    }
    assert!(received.contains("authorization: Bearer a-key\r\n"), "{kind:?}");
    let Some((head, body)) = received.split_once("\r\n\r\n") else {
        return assert_eq!(kind, FloodKind::EndlessHeads);
    };
    if kind == FloodKind::TinyChunks {
        return assert!(!body.contains("0\r\n\r\n"));
    }
    let length = head.rsplit_once("content-length: ").and_then(|(_, length)| length.parse().ok());
    assert_eq!(length, Some(body.len() + 1), "{kind:?}");
}
