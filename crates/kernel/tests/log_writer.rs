//! The log writer with a reader that is slow or does not read at all.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use kernel::log_writer;

#[derive(Default)]
struct State {
    is_released: bool,
    received: Vec<u8>,
}

/// A reader that blocks until it is released.
#[derive(Clone, Default)]
struct Reader {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Reader {
    fn release(&self) {
        self.state.lock().expect("the lock is not poisoned").is_released = true;
        self.changed.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.state.lock().expect("the lock is not poisoned").received.clone())
            .expect("the log is UTF-8")
    }
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.state.lock().expect("the lock is not poisoned");
        let mut state = self
            .changed
            .wait_while(state, |state| !state.is_released)
            .expect("the lock is not poisoned");
        state.received.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn log_flood_never_blocks_and_dropped_lines_are_counted() {
    const LINES: usize = 100_000;
    let reader = Reader::default();
    let (mut writer, guard) = log_writer::start(reader.clone()).expect("the log thread starts");
    let before = log_writer::dropped_lines();
    let mut slowest = Duration::ZERO;
    for number in 0..LINES {
        let line = format!("ts=2026-12-04T10:00:00.000Z level=info event=flood number={number}\n");
        let started = Instant::now();
        writer.write_all(line.as_bytes()).expect("a write to the log never fails");
        slowest = slowest.max(started.elapsed());
    }
    // A line takes microseconds; a wait for the reader would never end, since it is not released.
    assert!(slowest < Duration::from_millis(200), "a line took {slowest:?}");
    let dropped = log_writer::dropped_lines() - before;
    assert!(dropped > 0, "the buffer is bounded");
    reader.release();
    drop(guard);
    let text = reader.text();
    let kept = text.lines().filter(|line| line.contains("event=flood")).count();
    assert_eq!(kept + dropped as usize, LINES);
    let reported: u64 = text
        .lines()
        .filter(|line| line.starts_with("ts=") && line.contains("event=log_lines_dropped"))
        .filter_map(|line| line.rsplit_once("lines=")?.1.parse::<u64>().ok())
        .sum();
    assert_eq!(reported, dropped);
}

#[test]
fn exit_does_not_wait_long_for_a_blocked_reader() {
    let (mut writer, guard) = log_writer::start(Reader::default()).expect("the log thread starts");
    writer.write_all(b"ts=now event=last\n").expect("a write to the log never fails");
    let started = Instant::now();
    drop(guard);
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}
