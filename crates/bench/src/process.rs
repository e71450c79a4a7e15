//! CPU time and memory of processes, read from `/proc`.

use std::io;

/// Clock ticks a second, the unit of CPU times in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// The size of a memory page.
const PAGE_BYTES: f64 = 4096.0;

/// Returns the resident memory of this process in megabytes.
pub fn rss_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|field| field.parse().ok()).unwrap_or(0.0);
    pages * PAGE_BYTES / 1e6
}

/// Returns the CPU time that this process has used so far, in seconds.
pub fn own_cpu_s() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    parse_cpu_s(&text)
}

/// Returns the CPU time that another process has used so far, in seconds.
pub fn process_cpu_s(process: u32) -> io::Result<f64> {
    std::fs::read_to_string(format!("/proc/{process}/stat")).map(|text| parse_cpu_s(&text))
}

/// Returns the peak resident memory of another process in megabytes.
pub fn process_peak_mb(process: u32) -> io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib: Option<f64> = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kib.map(|kib| kib * 1024.0 / 1e6)
        .ok_or_else(|| io::Error::other("the status of the process names no peak memory"))
}

fn parse_cpu_s(text: &str) -> f64 {
    // The second field is the program's name in parentheses, which may contain spaces.
    let fields: Vec<&str> =
        text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| -> f64 {
        fields.get(index).and_then(|field| field.parse().ok()).unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S
}
