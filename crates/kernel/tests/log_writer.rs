//! The log under a reader that is slow or does not read at all.

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
    is_let_go: bool,
    taken: Vec<u8>,
}

/// A reader that takes nothing until it is let go.
#[derive(Clone, Default)]
struct Reader {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Reader {
    fn let_go(&self) {
        self.state.lock().expect("the lock").is_let_go = true;
        self.changed.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.state.lock().expect("the lock").taken.clone()).expect("text")
    }
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.state.lock().expect("the lock");
        let mut state = self.changed.wait_while(state, |state| !state.is_let_go).expect("the lock");
        state.taken.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_flood_waits_for_nobody_and_what_is_dropped_is_counted() {
    const LINES: usize = 100_000;
    let reader = Reader::default();
    let (mut writer, guard) = log_writer::start(reader.clone()).expect("it starts");
    let before = log_writer::dropped_lines();
    let mut slowest = Duration::ZERO;
    for number in 0..LINES {
        let line = format!("ts=2026-12-04T10:00:00.000Z level=info event=flood number={number}\n");
        let started = Instant::now();
        writer.write_all(line.as_bytes()).expect("it never fails");
        slowest = slowest.max(started.elapsed());
    }
    // A line takes microseconds; a wait for the reader would never end here.
    assert!(slowest < Duration::from_millis(200), "a line took {slowest:?}");
    let dropped = log_writer::dropped_lines() - before;
    assert!(dropped > 0, "the buffer is bounded");
    reader.let_go();
    drop(guard);
    let text = reader.text();
    let kept = text.lines().filter(|line| line.contains("event=flood")).count();
    assert_eq!(kept + dropped as usize, LINES);
    let noted: u64 = text
        .lines()
        .filter(|line| line.starts_with("ts=") && line.contains("event=log_lines_dropped"))
        .filter_map(|line| line.rsplit_once("lines=")?.1.parse::<u64>().ok())
        .sum();
    assert_eq!(noted, dropped);
}

#[test]
fn the_end_of_the_process_does_not_wait_for_a_reader_for_long() {
    let (mut writer, guard) = log_writer::start(Reader::default()).expect("it starts");
    writer.write_all(b"ts=now event=last\n").expect("it never fails");
    let started = Instant::now();
    drop(guard);
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}
