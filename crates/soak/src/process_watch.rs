//! Watches the processes of the daemons: whether they live, and how much memory they take.

use std::collections::BTreeSet;

use crate::check::Violation;

/// What was seen of the processes of all daemons.
#[derive(Clone, Debug, Default)]
pub struct ProcessWatch {
    /// The daemons, with the number of the start, whose process ended though no fault ended it.
    ended: BTreeSet<(usize, u32)>,
    /// The daemon with the highest peak of resident memory, after that peak in KiB.
    highest_peak: (u64, usize),
}

impl ProcessWatch {
    /// Records that a daemon's process has ended though no fault ended it.
    pub fn record_end(&mut self, daemon: usize, starts: u32) {
        self.ended.insert((daemon, starts));
    }

    /// Records the peak resident memory of a daemon's process, in KiB.
    pub fn record_peak(&mut self, daemon: usize, peak_kib: u64) {
        self.highest_peak = self.highest_peak.max((peak_kib, daemon));
    }

    /// Returns the highest peak resident memory of a process, in KiB.
    pub fn peak_kib(&self) -> u64 {
        self.highest_peak.0
    }

    /// Returns the processes that ended, and the one that took more than the memory of its host.
    pub fn violations(&self, memory_mb: u64) -> Vec<Violation> {
        let ended = self.ended.iter().map(|(daemon, starts)| Violation {
            promise: "no process ends by itself",
            detail: format!("daemon-{daemon} ended after start {starts}"),
        });
        let mut violations: Vec<Violation> = ended.collect();
        let (peak_kib, daemon) = self.highest_peak;
        if peak_kib * 1_024 >= memory_mb * 1_000_000 {
            violations.push(Violation {
                promise: "memory stays within the host",
                detail: format!("daemon-{daemon} took {peak_kib} KiB, the host has {memory_mb} MB"),
            });
        }
        violations
    }
}

/// Returns the peak resident memory of a process in KiB, or nothing if the process has ended.
pub fn read_peak_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    peak.trim().strip_suffix(" kB")?.trim().parse().ok()
}
