//! A bounded buffer between the log and standard output, so that a slow reader delays nothing.

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

/// The most bytes that wait for the reader; more lines are dropped and counted.
const MAX_WAITING_BYTES: usize = 512 << 10;
/// How long lines wait for others, so that a line costs no wake-up of its own.
const FLUSH_EVERY: Duration = Duration::from_millis(200);
/// The bytes at which lines are written without waiting for others.
const FLUSH_BYTES: usize = 32 << 10;
/// How long the end of the process waits for a reader of the last lines.
const END_PATIENCE: Duration = Duration::from_millis(300);

/// The lines that this process has dropped.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines this process has dropped since its start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped_lines: u64,
    is_closed: bool,
    is_ended: bool,
    is_idle: bool,
}

#[derive(Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The log's end of the buffer; each write is one line.
#[derive(Clone, Default)]
pub struct LogWriter {
    shared: Arc<Shared>,
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = self.shared.lock();
        if waiting.bytes.len() + line.len() > MAX_WAITING_BYTES {
            waiting.dropped_lines += 1;
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        waiting.bytes.extend_from_slice(line);
        if waiting.is_idle || waiting.bytes.len() >= FLUSH_BYTES {
            waiting.is_idle = false;
            self.shared.changed.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what waits when it is dropped, unless the reader does not take it in time.
pub struct LogGuard {
    shared: Arc<Shared>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let mut waiting = self.shared.lock();
        waiting.is_closed = true;
        self.shared.changed.notify_all();
        let ended = self
            .shared
            .changed
            .wait_timeout_while(waiting, END_PATIENCE, |waiting| !waiting.is_ended);
        if ended.is_ok_and(|(waiting, _)| !waiting.is_ended) {
            eprintln!("the last lines of the log were not written: nobody reads them");
        }
    }
}

/// Starts the thread that writes lines to `out`.
pub fn start(out: impl Write + Send + 'static) -> io::Result<(LogWriter, LogGuard)> {
    let writer = LogWriter::default();
    let shared = Arc::clone(&writer.shared);
    thread::Builder::new().name("log".to_owned()).spawn({
        let shared = Arc::clone(&shared);
        move || {
            run(&shared, out);
            shared.lock().is_ended = true;
            shared.changed.notify_all();
        }
    })?;
    Ok((writer, LogGuard { shared }))
}

fn run(shared: &Shared, mut out: impl Write) {
    loop {
        let (bytes, dropped_lines, is_closed) = take(shared);
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

/// Waits for lines and takes them, with the number of those that were dropped.
fn take(shared: &Shared) -> (Vec<u8>, u64, bool) {
    let mut waiting = shared.lock();
    while waiting.bytes.is_empty() && !waiting.is_closed {
        waiting.is_idle = true;
        waiting = shared.changed.wait(waiting).unwrap_or_else(PoisonError::into_inner);
    }
    if !waiting.is_closed && waiting.bytes.len() < FLUSH_BYTES {
        let waited = shared.changed.wait_timeout(waiting, FLUSH_EVERY);
        waiting = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    let bytes = std::mem::take(&mut waiting.bytes);
    let dropped_lines = std::mem::take(&mut waiting.dropped_lines);
    (bytes, dropped_lines, waiting.is_closed)
}
