//! Floods of clients' and peers' connections, and the bounds that a daemon keeps during them.

use std::cell::Cell;
use std::future::pending;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use platform_stub::Client;
use platform_stub::deployment::LOOKUP;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;

/// The largest body that the configuration allows, in bytes.
pub const BODY_BYTES: usize = 4 << 20;
/// The memory of the host, in MB.
const MEMORY_MB: u64 = 120;
/// The bound of the daemon's peak resident memory, in percent of the host's memory.
const MAX_PEAK_PERCENT: u64 = 60;
/// The number of descriptors that the daemon may open.
const MAX_FDS: u64 = 600;
/// The time in which a flood sends what the daemon takes, after which it only stays open.
const SEND_LIMIT: Duration = Duration::from_secs(8);
/// The time in which an ordinary request is answered at the latest; shorter than the time after which
/// an idle connection is closed.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// The time after which a peak that has not grown is final.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// The longest time for which the daemon's memory is watched after the ordinary answer.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(10);
/// The time between two looks at the daemon and between two tries of a request.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two bytes of a connection that sends a byte at a time.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(200);
/// The receive buffer of a flood's connections, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// The number of addresses from which a flood connects, from 127.0.0.2 on.
const SOURCES: usize = 4;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Returns a guard that keeps the tests of one process from running at the same time.
pub fn run_alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a fleet of one daemon on a small host.
pub async fn start_small_host(folder: PathBuf) -> Fleet {
    start_host(folder, MEMORY_MB, MAX_FDS).await
}

/// Starts a fleet of one daemon on a host with this memory and this number of descriptors.
pub async fn start_host(folder: PathBuf, memory_mb: u64, max_fds: u64) -> Fleet {
    Fleet::start_with_settings(folder, 1, |settings| {
        settings.memory_mb = memory_mb;
        settings.max_fds = max_fds;
    })
    .await
}

/// What one connection of a flood sends.
pub struct Sending {
    /// The address that it connects to.
    pub to: SocketAddr,
    /// The head of the request.
    pub head: String,
    /// What follows the head.
    pub tail: Bytes,
    /// Whether further bytes follow, one at a time.
    pub is_trickling: bool,
}

/// Connections that stay open until this is dropped.
pub struct Flood {
    tasks: Vec<JoinHandle<()>>,
    started: Instant,
    unsent: Rc<Cell<usize>>,
}

impl Default for Flood {
    fn default() -> Self {
        Self { tasks: Vec::new(), started: Instant::now(), unsent: Rc::default() }
    }
}

impl Flood {
    /// Opens `count` connections; `sending` returns what the connection of a number sends.
    pub fn open(&mut self, count: usize, sending: impl Fn(usize) -> Sending) {
        for number in 0..count {
            let (sending, unsent) = (sending(number), self.unsent.clone());
            unsent.set(unsent.get() + 1);
            self.tasks.push(spawn_local(async move {
                // A daemon may refuse or close any connection of a flood.
                let stream = send(number, &sending).await;
                unsent.set(unsent.get() - 1);
                let Ok(mut stream) = stream else { return };
                while sending.is_trickling && stream.write_all(b"a").await.is_ok() {
                    sleep(TRICKLE_INTERVAL).await;
                }
                // Keeps the connection open.
                pending::<()>().await;
                drop(stream);
            }));
        }
    }

    /// Waits until each connection has sent everything or was closed, or the time is over.
    async fn wait_until_sent(&self) {
        while self.unsent.get() > 0 && self.started.elapsed() < SEND_LIMIT {
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn send(number: usize, sending: &Sending) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let source = Ipv4Addr::new(127, 0, 0, 2 + (number % SOURCES) as u8);
    socket.bind(SocketAddr::new(source.into(), 0))?;
    let mut stream = socket.connect(sending.to).await?;
    stream.write_all(sending.head.as_bytes()).await?;
    stream.write_all(&sending.tail).await?;
    Ok(stream)
}

/// Waits until a flood is sent and checks that the daemon lives, answers an ordinary request while the
/// flood's connections are open, and stays within its memory and its descriptors.
pub async fn check_bounds(fleet: &mut Fleet, flood: Flood) {
    let pid = fleet.daemons[0].id();
    let max_fds = fleet.daemons[0].settings.max_fds;
    let max_peak_kib = fleet.daemons[0].settings.memory_mb * 1024 * MAX_PEAK_PERCENT / 100;
    let peak_fds = Rc::new(Cell::new(0));
    let watched_fds = peak_fds.clone();
    let watching = spawn_local(async move {
        loop {
            watched_fds.set(watched_fds.get().max(open_descriptors(pid)));
            sleep(POLL_INTERVAL).await;
        }
    });
    flood.wait_until_sent().await;
    let (sent_ms, unsent) = (flood.started.elapsed().as_millis(), flood.unsent.get());
    let is_answered = is_answered(fleet).await;
    wait_for_final_peak(pid).await;
    watching.abort();
    let is_running = fleet.daemons[0].is_running();
    let peak_kib = peak_memory_kib(pid);
    println!(
        "peak_kib={peak_kib} peak_fds={} answered={is_answered} running={is_running} \
         connections={} unsent={unsent} sent_ms={sent_ms}",
        peak_fds.get(),
        flood.tasks.len()
    );
    assert!(is_running, "the process ended");
    assert!(is_answered, "an ordinary request is not answered");
    assert!(
        peak_kib > 0 && peak_kib < max_peak_kib,
        "the peak is {peak_kib} KiB, over {max_peak_kib} KiB"
    );
    let fds = peak_fds.get();
    assert!(fds < max_fds, "{fds} descriptors were open, of {max_fds}");
    drop(flood);
}

/// Waits until the peak memory has not grown for the settle time.
async fn wait_for_final_peak(pid: u32) {
    let started = Instant::now();
    let (mut peak_kib, mut grown_at) = (peak_memory_kib(pid), started);
    while grown_at.elapsed() < SETTLE_TIME && started.elapsed() < MAX_SETTLE_TIME {
        sleep(POLL_INTERVAL).await;
        let now_kib = peak_memory_kib(pid);
        if now_kib > peak_kib {
            (peak_kib, grown_at) = (now_kib, Instant::now());
        }
    }
}

/// Sends an ordinary request until it is answered, as a client does that is told to try again.
async fn is_answered(fleet: &Fleet) -> bool {
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < ANSWER_LIMIT {
        let answer = Client.lookup(fleet.ingress(0), LOOKUP, &format!("ordinary-{number}")).await;
        if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
            return true;
        }
        number += 1;
        sleep(POLL_INTERVAL).await;
    }
    false
}

/// Returns the peak resident memory of a process in KiB, or 0 if the process ended.
fn peak_memory_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|peak| peak.trim().strip_suffix(" kB")?.trim().parse().ok()).unwrap_or(0)
}

/// Returns the number of open descriptors of a process, or 0 if the process ended.
fn open_descriptors(pid: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |entries| entries.count() as u64)
}

/// Returns the head of a plain request with an id and further header lines.
pub fn request_head(path: &str, id: &str, headers: &str) -> String {
    format!(
        "POST {path}{id} HTTP/1.1\r\nhost: stub.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 30000\r\n{headers}"
    )
}

/// Returns a body of `bytes` bytes in chunks of `chunk_bytes`, without its last chunk.
pub fn chunked(bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut body = Vec::new();
    for _ in 0..bytes / chunk_bytes {
        body.extend_from_slice(format!("{chunk_bytes:x}\r\n").as_bytes());
        body.resize(body.len() + chunk_bytes, b'x');
        body.extend_from_slice(b"\r\n");
    }
    body
}

/// Returns a chunked body that stops one byte short of its last data.
pub fn unfinished_chunked(bytes: usize, chunk_bytes: usize) -> Bytes {
    let mut body = chunked(bytes, chunk_bytes);
    // The last data byte and the line break after it.
    body.truncate(body.len() - 3);
    Bytes::from(body)
}
