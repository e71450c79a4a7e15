//! A bounded buffer between the log and standard output; a slow reader must not block the process.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use jiff::Timestamp;

/// The maximum size of the buffer; further lines are dropped and counted.
const MAX_BUFFER_BYTES: usize = 512 << 10;
/// The time over which lines are batched, to avoid a wake-up for each line.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// The buffer size at which lines are written without further batching.
const FLUSH_BYTES: usize = 32 << 10;
/// How long the process waits at its exit until the last lines are written.
const EXIT_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The number of lines that this process has dropped.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines that this process has dropped since its start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped_lines: u64,
    is_closed: bool,
    is_writer_done: bool,
    is_idle: bool,
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The writer for the log; each write is one line.
#[derive(Clone, Default)]
pub struct LogWriter {
    shared: Arc<Shared>,
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.shared.lock();
        if buffer.bytes.len() + line.len() > MAX_BUFFER_BYTES {
            buffer.dropped_lines += 1;
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        buffer.bytes.extend_from_slice(line);
        if buffer.is_idle || buffer.bytes.len() >= FLUSH_BYTES {
            buffer.is_idle = false;
            self.shared.changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the buffered lines when it is dropped, and gives up after `EXIT_FLUSH_TIMEOUT`.
pub struct LogGuard {
    shared: Arc<Shared>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let mut buffer = self.shared.lock();
        buffer.is_closed = true;
        self.shared.changed.notify_all();
        let ended = self
            .shared
            .changed
            .wait_timeout_while(buffer, EXIT_FLUSH_TIMEOUT, |buffer| !buffer.is_writer_done);
        if ended.is_ok_and(|(buffer, _)| !buffer.is_writer_done) {
            eprintln!("the last lines of the log were not written: the output is not being read");
        }
    }
}

/// Starts the thread that writes buffered lines to `out`.
pub fn start(out: impl Write + Send + 'static) -> io::Result<(LogWriter, LogGuard)> {
    let writer = LogWriter::default();
    let shared = Arc::clone(&writer.shared);
    thread::Builder::new().name("log".to_owned()).spawn({
        let shared = Arc::clone(&shared);
        move || {
            write_lines(&shared, out);
            shared.lock().is_writer_done = true;
            shared.changed.notify_all();
        }
    })?;
    Ok((writer, LogGuard { shared }))
}

fn write_lines(shared: &Shared, mut out: impl Write) {
    loop {
        let (bytes, dropped_lines, is_closed) = take_lines(shared);
        let mut written = out.write_all(&bytes);
        if dropped_lines > 0 {
            let now = Timestamp::now();
            let line = format!(
                "ts={now:.3} level=warn at=kernel::log_writer event=log_lines_dropped \
                 lines={dropped_lines}\n"
            );
            written = written.and_then(|()| out.write_all(line.as_bytes()));
        }
        if written.and_then(|()| out.flush()).is_err() || is_closed {
            return;
        }
    }
}

/// Waits for lines; returns them, the number of dropped lines and whether the log is closed.
fn take_lines(shared: &Shared) -> (Vec<u8>, u64, bool) {
    let mut buffer = shared.lock();
    while buffer.bytes.is_empty() && !buffer.is_closed {
        buffer.is_idle = true;
        buffer = shared.changed.wait(buffer).unwrap_or_else(PoisonError::into_inner);
    }
    if !buffer.is_closed && buffer.bytes.len() < FLUSH_BYTES {
        let timed_wait = shared.changed.wait_timeout(buffer, FLUSH_INTERVAL);
        buffer = timed_wait.unwrap_or_else(PoisonError::into_inner).0;
    }
    let bytes = std::mem::take(&mut buffer.bytes);
    let dropped_lines = std::mem::take(&mut buffer.dropped_lines);
    (bytes, dropped_lines, buffer.is_closed)
}
