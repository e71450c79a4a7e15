//! Malformed answers to the upgrade of a connection to a link, as the library of links reads them.

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::handshake::derive_accept_key;

/// Asks for an upgrade and returns whether the answer opens a link. In the answer, `KEY` stands for the
/// key that accepts the upgrade.
async fn opens_link(answer: &str) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut request = vec![0; 4096];
        let read = stream.read(&mut request).await.expect("the request is read");
        let request = String::from_utf8_lossy(&request[..read]).into_owned();
        let key = request.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("sec-websocket-key").then(|| value.to_owned())
        });
        let key = derive_accept_key(key.expect("the request has a key").as_bytes());
        let answer = answer.replace("KEY", &key);
        stream.write_all(answer.as_bytes()).await.expect("the answer is written");
    };
    let dial = async {
        let stream = TcpStream::connect(address).await.expect("the server accepts");
        client_async(format!("ws://{address}/"), stream).await.is_ok()
    };
    tokio::join!(serve, dial).1
}

fn upgrade(status: &str, lines: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{lines}upgrade: websocket\r\nconnection: upgrade\r\n\
         sec-websocket-accept: KEY\r\n\r\n"
    )
}

#[tokio::test]
async fn malformed_upgrade_opens_no_link() {
    for status in ["000 X", "099 X", "200 OK", "600 X", "1010 X", "10 X"] {
        assert!(!opens_link(&upgrade(status, "")).await, "{status}");
    }
    let lines = ["out of memory\r\n", "x a: b\r\n", "x\u{1}a: b\r\n", ": b\r\n", " x: y\r\n", "\n"];
    for line in lines {
        assert!(!opens_link(&upgrade("101 Switching Protocols", line)).await, "{line:?}");
    }
    let other_key = upgrade("101 Switching Protocols", "").replace("KEY", "other");
    assert!(!opens_link(&other_key).await);
    assert!(opens_link(&upgrade("101 Switching Protocols", "x-a: b\r\n")).await);
}
