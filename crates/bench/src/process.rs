//! What this process has used of the machine.

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

/// Returns the CPU time used so far, in seconds.
pub fn cpu_s() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The second field is the program's name in brackets, which may hold spaces.
    let fields: Vec<&str> =
        text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| -> f64 {
        fields.get(index).and_then(|field| field.parse().ok()).unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S
}
