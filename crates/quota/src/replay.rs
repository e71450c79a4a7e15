//! Detects duplicated messages by their numbers.

/// The numbers of a sender's messages that have arrived.
#[derive(Clone, Debug)]
pub struct ReplayFilter {
    incarnation: u64,
    highest: u64,
    seen: u128,
}

impl ReplayFilter {
    /// Creates a filter for an incarnation of a sender.
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, highest: 0, seen: 0 }
    }

    /// Returns whether a message arrives for the first time; one that is far older than the newest
    /// counts as a duplicate.
    pub fn accept(&mut self, incarnation: u64, seq: u64) -> bool {
        if incarnation != self.incarnation {
            *self = Self::new(incarnation);
        }
        if seq > self.highest {
            let shift = u32::try_from(seq - self.highest).unwrap_or(u32::MAX);
            self.seen = self.seen.checked_shl(shift).unwrap_or(0) | 1;
            self.highest = seq;
            return true;
        }
        let age = u32::try_from(self.highest - seq).unwrap_or(u32::MAX);
        let Some(bit) = 1_u128.checked_shl(age) else { return false };
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}
