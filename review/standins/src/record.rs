//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self { file: Mutex::new(File::create(path).expect("record.txt")), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line and shows it on standard output too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} s  {text}", self.started.elapsed().as_secs_f64());
    }
}
