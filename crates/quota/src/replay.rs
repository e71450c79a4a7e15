//! Detects duplicated messages by their numbers.

use std::collections::VecDeque;

/// The incarnations of a sender whose numbers are remembered. Late datagrams come from the last few.
const MAX_INCARNATIONS: usize = 4;

/// The numbers of a sender's messages that have arrived.
#[derive(Clone, Debug)]
pub struct ReplayFilter {
    /// The numbers by incarnation; the one used last is at the end.
    windows: VecDeque<Window>,
}

#[derive(Clone, Debug)]
struct Window {
    incarnation: u64,
    highest: u64,
    seen: u128,
}

impl ReplayFilter {
    /// Creates a filter for an incarnation of a sender.
    pub fn new(incarnation: u64) -> Self {
        Self { windows: VecDeque::from([Window::new(incarnation)]) }
    }

    /// Returns whether a message arrives for the first time; one that is far older than the newest of
    /// its incarnation counts as a duplicate.
    pub fn accept(&mut self, incarnation: u64, seq: u64) -> bool {
        let position = self.windows.iter().position(|window| window.incarnation == incarnation);
        let known = position.and_then(|position| self.windows.remove(position));
        let mut window = known.unwrap_or_else(|| Window::new(incarnation));
        let is_new = window.accept(seq);
        if self.windows.len() >= MAX_INCARNATIONS {
            self.windows.pop_front();
        }
        self.windows.push_back(window);
        is_new
    }
}

impl Window {
    fn new(incarnation: u64) -> Self {
        Self { incarnation, highest: 0, seen: 0 }
    }

    fn accept(&mut self, seq: u64) -> bool {
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
