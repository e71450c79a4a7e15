//! The least share that each organisation with waiting requests gets, whatever its priority.
//!
//! The load that it answers is organisations of high priority that ask for more slots than a replica
//! has, so that those of lower priority would get none. A clock advances with each grant by what each
//! organisation would get by equal shares; one that has got less than a part of that is due, and its
//! most urgent request is granted before those of higher priority.

use std::collections::HashMap;
use std::collections::HashSet;

use wire::Millis;

/// The advance of the clock of equal shares, in halves of a run, after which an organisation is due one
/// run: 3.5 runs. It must get at least a quarter of its share, and a due request still waits until
/// another run ends.
const SHARE_HALVES: u64 = 7;
/// The grants by priority between two of organisations that are due; after idleness many may be due
/// at the same time.
const GRANTS_BETWEEN: u32 = 2;
/// The number of organisations above which those that are due and have nothing waiting are forgotten.
const MAX_IDLE_ORGANISATIONS: usize = 128;
const MICROS_PER_MS: u64 = 1_000;

/// What the organisations have got at one replica against equal shares, in microseconds of slot time.
#[derive(Clone, Debug, Default)]
pub struct LeastShares {
    fair_us: u64,
    /// When the organisations are due next, by the clock of equal shares.
    due_us: HashMap<u64, u64>,
    grants_since_due: u32,
    /// Whether organisations were forgotten. They were due, so that one that is not listed is due too
    /// from then on; as a new one it might never get a grant.
    has_forgotten: bool,
}

impl LeastShares {
    /// Records that an organisation has a request that waits, and the expected slot time of a run. One
    /// that was idle or forgotten is due once, a new one only after the clock has advanced by a unit.
    pub fn record_waiting(&mut self, organisation: u64, expected_ms: Millis) {
        let first_unit_us = if self.has_forgotten { 0 } else { unit_us(expected_ms) };
        let first_us = self.fair_us.saturating_add(first_unit_us);
        let due_us = self.due_us.entry(organisation).or_insert(first_us);
        *due_us = (*due_us).max(self.fair_us.saturating_sub(unit_us(expected_ms)));
    }

    /// Returns whether a request of an organisation goes before those of higher priority.
    pub fn is_due(&self, organisation: u64) -> bool {
        self.grants_since_due >= GRANTS_BETWEEN
            && self.due_us.get(&organisation).is_some_and(|due_us| *due_us <= self.fair_us)
    }

    /// Charges an organisation for a granted slot; `waiting` are the organisations whose requests still
    /// wait.
    pub fn charge(&mut self, organisation: u64, expected_ms: Millis, waiting: &HashSet<u64>) {
        self.grants_since_due =
            if self.is_due(organisation) { 0 } else { self.grants_since_due.saturating_add(1) };
        let unit_us = unit_us(expected_ms);
        let due_us = self.due_us.get(&organisation).copied().unwrap_or(self.fair_us);
        let since_us = due_us.max(self.fair_us.saturating_sub(unit_us));
        if self.due_us.len() >= MAX_IDLE_ORGANISATIONS {
            let fair_us = self.fair_us;
            let before = self.due_us.len();
            self.due_us.retain(|other, due_us| *due_us > fair_us || waiting.contains(other));
            self.has_forgotten |= self.due_us.len() < before;
        }
        self.due_us.insert(organisation, since_us.saturating_add(unit_us));
        let expected_us = expected_ms.saturating_mul(MICROS_PER_MS);
        let organisations = waiting.len() + usize::from(!waiting.contains(&organisation));
        self.fair_us = self.fair_us.saturating_add(expected_us / organisations as u64);
    }

    /// Corrects the charge for a slot that was released after `taken_ms`.
    pub fn settle(&mut self, organisation: u64, expected_ms: Millis, taken_ms: Millis) {
        if let Some(due_us) = self.due_us.get_mut(&organisation) {
            *due_us = due_us.saturating_add(unit_us(taken_ms)).saturating_sub(unit_us(expected_ms));
        }
    }

    /// Returns the number of organisations that are remembered.
    pub fn remembered(&self) -> usize {
        self.due_us.len()
    }
}

/// Returns the advance of the clock of equal shares between two runs of this slot time to which an
/// organisation is entitled.
fn unit_us(slot_ms: Millis) -> u64 {
    slot_ms.saturating_mul(MICROS_PER_MS).saturating_mul(SHARE_HALVES) / 2
}
