//! The times of all faults; some promises are checked only while no fault is active.

use crate::plan::Fault;

/// The time after a fault during which promises with a time bound are not checked, in milliseconds;
/// the platform's `contact_ms`.
pub const CONTACT_MS: u64 = 3_000;
/// The longest time that a daemon may take to stop, in milliseconds: the settings' `grace_s` and
/// one second more.
pub const MAX_STOP_MS: u64 = 4_000;

/// One fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultSpan {
    /// When it began, in milliseconds of the run.
    pub from_ms: u64,
    /// When it ended, in milliseconds of the run; none while it lasts.
    pub until_ms: Option<u64>,
    /// The fault.
    pub fault: Fault,
}

impl FaultSpan {
    fn overlaps(&self, from_ms: u64, until_ms: u64) -> bool {
        self.from_ms <= until_ms && self.until_ms.is_none_or(|end_ms| end_ms >= from_ms)
    }
}

/// The faults of one run.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    spans: Vec<FaultSpan>,
}

impl Timeline {
    /// Records that a fault began and returns its index.
    pub fn begin(&mut self, now_ms: u64, fault: Fault) -> usize {
        self.spans.push(FaultSpan { from_ms: now_ms, until_ms: None, fault });
        self.spans.len() - 1
    }

    /// Records that the fault at `index` has ended.
    pub fn end(&mut self, now_ms: u64, index: usize) {
        if let Some(span) = self.spans.get_mut(index) {
            span.until_ms = Some(now_ms);
        }
    }

    /// Returns all faults and their times.
    pub fn spans(&self) -> &[FaultSpan] {
        &self.spans
    }

    /// Returns whether no fault, except harmless ones, was active in a period or in the contact time
    /// before it.
    pub fn is_undisturbed(&self, from_ms: u64, until_ms: u64) -> bool {
        let from_ms = from_ms.saturating_sub(CONTACT_MS);
        !self.spans.iter().any(|span| !span.fault.is_harmless() && span.overlaps(from_ms, until_ms))
    }

    /// Returns whether no fault, except planned and harmless ones, was active in a period or in the
    /// contact time before it.
    pub fn has_only_planned_faults(&self, from_ms: u64, until_ms: u64) -> bool {
        let from_ms = from_ms.saturating_sub(CONTACT_MS);
        let is_unplanned = |fault: Fault| !fault.is_planned() && !fault.is_harmless();
        !self.spans.iter().any(|span| is_unplanned(span.fault) && span.overlaps(from_ms, until_ms))
    }

    /// Returns whether a daemon was neither stopped nor paused in a period.
    pub fn has_run_throughout(&self, daemon: usize, from_ms: u64, until_ms: u64) -> bool {
        !self
            .spans
            .iter()
            .any(|span| span.fault.interrupts(daemon) && span.overlaps(from_ms, until_ms))
    }

    /// Returns whether a replica that goes on was silent in a period.
    pub fn has_replica_pause(&self, from_ms: u64, until_ms: u64) -> bool {
        let is_pause = |fault: Fault| matches!(fault, Fault::ReplicaPause { .. });
        self.spans.iter().any(|span| is_pause(span.fault) && span.overlaps(from_ms, until_ms))
    }

    /// Returns when the last fault ended, in milliseconds of the run.
    pub fn last_end_ms(&self) -> u64 {
        self.spans.iter().filter_map(|span| span.until_ms).max().unwrap_or(0)
    }
}
