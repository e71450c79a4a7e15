//! What processes have used of the machine.

use std::io;

/// The unit of CPU times in the process's status, in a second.
const TICKS_PER_S: f64 = 100.0;
/// The size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// Returns the resident memory in megabytes.
pub fn rss_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|field| field.parse().ok()).unwrap_or(0.0);
    pages * PAGE_BYTES / 1e6
}

/// Returns the CPU time that this process has used so far, in seconds.
pub fn cpu_s() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    cpu_in_stat(&text)
}

/// Returns the CPU time that another process has used so far, in seconds.
pub fn cpu_of_s(process: u32) -> io::Result<f64> {
    std::fs::read_to_string(format!("/proc/{process}/stat")).map(|text| cpu_in_stat(&text))
}

/// Returns the most memory that another process has had, in megabytes.
pub fn peak_mb(process: u32) -> io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib: Option<f64> = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kib.map(|kib| kib * 1024.0 / 1e6).ok_or_else(|| io::Error::other("no peak memory is known"))
}

fn cpu_in_stat(text: &str) -> f64 {
    // The second field is the program's name in brackets, which may hold spaces.
    let fields: Vec<&str> =
        text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| -> f64 {
        fields.get(index).and_then(|field| field.parse().ok()).unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S
}
