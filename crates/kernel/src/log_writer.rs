//! A bounded buffer between the log and standard output, so that a slow reader delays nothing.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// The most bytes that wait for the reader; more lines are dropped and counted.
const MAX_WAITING_BYTES: usize = 512 << 10;
/// How long lines wait for others, so that a line costs no wake-up of its own.
const FLUSH_EVERY: Duration = Duration::from_millis(200);
/// The bytes at which lines are written without waiting for others.
const FLUSH_BYTES: usize = 32 << 10;

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped_lines: u64,
    is_closed: bool,
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
            return Ok(line.len());
        }
        waiting.bytes.extend_from_slice(line);
        if waiting.is_idle || waiting.bytes.len() >= FLUSH_BYTES {
            waiting.is_idle = false;
            self.shared.changed.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what waits when it is dropped.
pub struct LogGuard {
    shared: Arc<Shared>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.shared.lock().is_closed = true;
        self.shared.changed.notify_one();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            eprintln!("the log's thread panicked");
        }
    }
}

/// Starts the thread that writes lines to `out`.
pub fn start(out: impl Write + Send + 'static) -> io::Result<(LogWriter, LogGuard)> {
    let writer = LogWriter::default();
    let shared = Arc::clone(&writer.shared);
    let thread = thread::Builder::new().name("log".to_owned()).spawn({
        let shared = Arc::clone(&shared);
        move || run(&shared, out)
    })?;
    Ok((writer, LogGuard { shared, thread: Some(thread) }))
}

fn run(shared: &Shared, mut out: impl Write) {
    loop {
        let (bytes, dropped_lines, is_closed) = take(shared);
        let mut written = out.write_all(&bytes);
        if dropped_lines > 0 {
            let line = format!("level=warn event=log_lines_dropped lines={dropped_lines}\n");
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
