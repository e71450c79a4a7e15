//! The record of what was sent, answered and run.

use std::cell::RefCell;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Instant;

/// The result of a case.
pub enum Verdict {
    /// The rule held.
    Held(String),
    /// The rule was broken.
    Broken(String),
    /// The case could not run.
    NotRun(String),
}

/// Lines with the time since the start of the case.
pub struct Record {
    started: Instant,
    lines: RefCell<Vec<String>>,
}

impl Record {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: RefCell::default() }
    }

    /// Adds a line.
    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}", self.started.elapsed().as_millis(), line.as_ref());
        self.lines.borrow_mut().push(line);
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        fs::write(path, self.lines.borrow().join("\n") + "\n")
    }
}
