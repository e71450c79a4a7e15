//! A flood of one daemon with connections whose requests never end.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use platform_stub::deployment::HOST;
use platform_stub::deployment::LOOKUP;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The sizes of the bodies that stop short, in bytes, in turn; the platform allows 4 MiB.
const BODY_BYTES: [usize; 3] = [20_000, 200_000, 1 << 20];
/// The size of the bodies in chunks of two bytes, in bytes without the chunks' heads.
const TINY_CHUNKS_BODY_BYTES: usize = 40_000;
/// The time between two lines of a head that never ends.
const LINE_INTERVAL: Duration = Duration::from_millis(50);
/// The number of addresses from which a flood connects, from 127.0.0.2 on.
const SOURCES: usize = 4;

/// What the connections of a flood send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodKind {
    /// Bodies with a length that stop one byte short of it.
    StoppedBodies,
    /// Bodies in chunks of two bytes that stop short of the last chunk.
    TinyChunks,
    /// Heads that get further lines and never end.
    EndlessHeads,
    /// Nothing.
    SilentConnections,
}

/// Opens `connections` connections, and closes all of them after `duration`.
///
/// The requests carry the key if there is one. The daemon may refuse or close any connection.
pub async fn flood(
    to: SocketAddr,
    kind: FloodKind,
    connections: usize,
    key: Option<&str>,
    duration: Duration,
) {
    let mut tasks = JoinSet::new();
    for number in 0..connections {
        let head = request_head(number, key);
        tasks.spawn_local(async move {
            if let Err(error) = hold(to, kind, number, &head).await {
                log::debug!("event=flood_connection_ended number={number} error=\"{error}\"");
            }
        });
    }
    sleep(duration).await;
    tasks.shutdown().await;
}

/// Sends the request of one connection and keeps the connection open.
async fn hold(to: SocketAddr, kind: FloodKind, number: usize, head: &str) -> io::Result<()> {
    let mut stream = connect(to, number).await?;
    match kind {
        FloodKind::StoppedBodies => {
            let length = BODY_BYTES[number % BODY_BYTES.len()];
            let head = format!("{head}content-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&vec![b'x'; length - 1]).await?;
        }
        FloodKind::TinyChunks => {
            let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&b"2\r\nxx\r\n".repeat(TINY_CHUNKS_BODY_BYTES / 2)).await?;
        }
        FloodKind::EndlessHeads => {
            stream.write_all(head.as_bytes()).await?;
            for line in 0_u64.. {
                stream.write_all(format!("x-line-{line}: {line:0200}\r\n").as_bytes()).await?;
                sleep(LINE_INTERVAL).await;
            }
        }
        FloodKind::SilentConnections => {}
    }
    // Keeps the connection open until the flood ends.
    std::future::pending().await
}

async fn connect(to: SocketAddr, number: usize) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    let source = Ipv4Addr::new(127, 0, 0, 2 + (number % SOURCES) as u8);
    socket.bind(SocketAddr::new(source.into(), 0))?;
    socket.connect(to).await
}

fn request_head(number: usize, key: Option<&str>) -> String {
    let id = format!("flood-{number}");
    let credentials = key.map_or(String::new(), |key| format!("authorization: Bearer {key}\r\n"));
    format!(
        "POST {LOOKUP}{id} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 30000\r\n{credentials}"
    )
}
