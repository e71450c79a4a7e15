//! The proxy between two sockets.

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

const SHORT: Duration = Duration::from_millis(150);
const LONG: Duration = Duration::from_secs(5);

/// Starts a server that sends back what it gets.
async fn echo() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let (mut reader, mut writer) = stream.split();
                // The connection's end is the end of the copy.
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

async fn send(stream: &mut TcpStream) {
    stream.write_all(b"x").await.expect("it is sent");
}

#[tokio::test]
async fn a_proxy_delays_withholds_and_resets() {
    LocalSet::new()
        .run_until(async {
            let proxy = Proxy::start(echo().await).expect("it starts");
            let mut stream = TcpStream::connect(proxy.address).await.expect("it connects");
            let mut byte = [0; 1];
            send(&mut stream).await;
            stream.read_exact(&mut byte).await.expect("it comes back");

            proxy.set(LinkFault::Delay(60));
            let started = Instant::now();
            send(&mut stream).await;
            stream.read_exact(&mut byte).await.expect("it comes back");
            assert!(started.elapsed() >= Duration::from_millis(120), "both ways are delayed");

            for fault in [LinkFault::CutThere, LinkFault::CutBack, LinkFault::Silent] {
                proxy.set(fault);
                send(&mut stream).await;
                let withheld = timeout(SHORT, stream.read_exact(&mut byte)).await;
                assert!(withheld.is_err(), "{fault:?} withholds it");
                proxy.set(LinkFault::None);
                let late = timeout(LONG, stream.read_exact(&mut byte)).await;
                assert!(late.is_ok_and(|read| read.is_ok()), "{fault:?} delivers it late");
            }

            proxy.set(LinkFault::Reset);
            let ended = timeout(LONG, stream.read(&mut byte)).await.expect("it ends");
            assert!(ended.is_err() || ended.is_ok_and(|count| count == 0));
        })
        .await;
}
