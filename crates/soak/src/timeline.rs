//! When what was disturbed, for promises that hold only where nothing is.

use crate::plan::Fault;

/// How long after a disturbance promises with a time bound do not hold yet, in milliseconds; the
/// platform's `contact_ms`.
pub const CONTACT_MS: u64 = 3_000;
/// How long a stopping daemon may take, in milliseconds; the settings' `grace_s` and the second
/// after it.
pub const GRACE_MS: u64 = 4_000;

/// One disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// When it began, in milliseconds of the run.
    pub from_ms: u64,
    /// When it was over; none while it lasts.
    pub until_ms: Option<u64>,
    /// What it was.
    pub fault: Fault,
}

impl Span {
    fn overlaps(&self, from_ms: u64, until_ms: u64) -> bool {
        self.from_ms <= until_ms && self.until_ms.is_none_or(|end_ms| end_ms >= from_ms)
    }
}

/// The disturbances of one run.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    spans: Vec<Span>,
}

impl Timeline {
    /// Notes that a fault began and returns its place.
    pub fn begin(&mut self, now_ms: u64, fault: Fault) -> usize {
        self.spans.push(Span { from_ms: now_ms, until_ms: None, fault });
        self.spans.len() - 1
    }

    /// Notes that a fault is over.
    pub fn end(&mut self, now_ms: u64, place: usize) {
        if let Some(span) = self.spans.get_mut(place) {
            span.until_ms = Some(now_ms);
        }
    }

    /// Returns all disturbances.
    pub fn spans(&self) -> &[Span] {
        &self.spans
    }

    /// Returns whether nothing was disturbed in a time and for the contact time before it.
    pub fn is_calm(&self, from_ms: u64, until_ms: u64) -> bool {
        let from_ms = from_ms.saturating_sub(CONTACT_MS);
        !self.spans.iter().any(|span| !span.fault.is_harmless() && span.overlaps(from_ms, until_ms))
    }

    /// Returns whether nothing but planned work was done in a time and for the contact time before
    /// it.
    pub fn is_only_planned(&self, from_ms: u64, until_ms: u64) -> bool {
        let from_ms = from_ms.saturating_sub(CONTACT_MS);
        let is_excuse = |fault: Fault| !fault.is_planned() && !fault.is_harmless();
        !self.spans.iter().any(|span| is_excuse(span.fault) && span.overlaps(from_ms, until_ms))
    }

    /// Returns when the last disturbance was over.
    pub fn last_end_ms(&self) -> u64 {
        self.spans.iter().filter_map(|span| span.until_ms).max().unwrap_or(0)
    }
}
