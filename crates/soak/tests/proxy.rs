//! Tests of the proxy between a client and an echo server.

use std::time::Duration;

use soak::plan::LinkFault;
use soak::proxy::Proxy;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout;

const WITHHELD_TIMEOUT: Duration = Duration::from_millis(150);
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that sends back the data that it receives, and returns its address.
async fn start_echo_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the server listens");
    let address = listener.local_addr().expect("the listener has an address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let (mut reader, mut writer) = stream.split();
                // The copy ends when the connection ends, with an error if it was reset.
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

async fn send(stream: &mut TcpStream) {
    stream.write_all(b"x").await.expect("the byte is sent");
}

#[tokio::test]
async fn proxy_delays_withholds_and_resets_connections() {
    LocalSet::new()
        .run_until(async {
            let proxy = Proxy::start(start_echo_server().await).expect("the proxy starts");
            let mut stream = TcpStream::connect(proxy.address).await.expect("the client connects");
            let mut byte = [0; 1];
            send(&mut stream).await;
            stream.read_exact(&mut byte).await.expect("the byte comes back");

            proxy.set_fault(LinkFault::Delay(60));
            let started = Instant::now();
            send(&mut stream).await;
            stream.read_exact(&mut byte).await.expect("the byte comes back");
            assert!(started.elapsed() >= Duration::from_millis(120), "both directions are delayed");

            for fault in [LinkFault::CutThere, LinkFault::CutBack, LinkFault::Silent] {
                proxy.set_fault(fault);
                send(&mut stream).await;
                let early = timeout(WITHHELD_TIMEOUT, stream.read_exact(&mut byte)).await;
                assert!(early.is_err(), "{fault:?} withholds the byte");
                proxy.set_fault(LinkFault::None);
                let late = timeout(DELIVERY_TIMEOUT, stream.read_exact(&mut byte)).await;
                assert!(
                    late.is_ok_and(|read| read.is_ok()),
                    "the byte is delivered after {fault:?}"
                );
            }

            proxy.set_fault(LinkFault::Reset);
            let ended = timeout(DELIVERY_TIMEOUT, stream.read(&mut byte))
                .await
                .expect("the connection ends");
            assert!(ended.is_err() || ended.is_ok_and(|count| count == 0));
        })
        .await;
}
