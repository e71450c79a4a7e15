//! Fair shares of organisations among the batch items that wait for one replica.
//!
//! The load that it answers is one organisation whose jobs ask for many times the slots that online
//! requests leave. Items are served by due time as long as their organisations are about level; one
//! that is ahead of another by more than some runs waits for it. Without organisations nothing is
//! ahead.

use std::collections::HashMap;

use wire::Millis;

use crate::message::Ticket;

/// The runs by which an organisation may be ahead of another one while items are served by due time. Fewer
/// make items late that are within the capacity.
const ALLOWED_RUNS: Millis = 2;
/// The number of runs over which the duration of an item's run is averaged.
const AVERAGED_RUNS: Millis = 8;
/// The number of organisations above which those that are not ahead of the others are forgotten.
const MAX_IDLE_ORGANISATIONS: usize = 128;
/// The least charge for a run before the first one has ended.
const MIN_CHARGE_MS: Millis = 1;

/// What the organisation of a running item was charged.
#[derive(Clone, Copy, Debug)]
struct ItemCharge {
    organisation: u64,
    expected_ms: Millis,
    granted_ms: Millis,
}

/// The shares of organisations in the item runs of one replica.
#[derive(Clone, Debug, Default)]
pub struct ItemShares {
    /// The virtual time that no organisation with waiting items is behind; one that was idle starts
    /// there and gets no credit for its idleness.
    virtual_ms: Millis,
    /// The virtual times at which the organisations' next runs start, which their runs advance.
    next_start_ms: HashMap<u64, Millis>,
    charges: HashMap<Ticket, ItemCharge>,
    mean_run_ms: Millis,
}

impl ItemShares {
    /// Records that an organisation has an item that waits. Those without a share count only once
    /// others have one.
    pub fn record_waiting(&mut self, organisation: Option<u64>) {
        if organisation.is_none() && self.next_start_ms.is_empty() {
            return;
        }
        let start_ms = self.start_ms(organisation.unwrap_or_default());
        self.next_start_ms.insert(organisation.unwrap_or_default(), start_ms);
    }

    /// Returns the virtual time from which an organisation is ahead, given those with items that wait;
    /// it is computed once for each grant.
    pub fn ahead_from_ms(&self, waiting: impl Iterator<Item = u64>) -> Millis {
        if self.next_start_ms.is_empty() {
            return Millis::MAX;
        }
        let least_ms = waiting.map(|organisation| self.start_ms(organisation)).min();
        let allowed_ms = ALLOWED_RUNS * self.mean_run_ms;
        least_ms.map_or(Millis::MAX, |least_ms| least_ms.saturating_add(allowed_ms))
    }

    /// Returns whether an organisation waits for those that are behind.
    pub fn is_ahead(&self, organisation: u64, ahead_from_ms: Millis) -> bool {
        !self.next_start_ms.is_empty() && self.start_ms(organisation) > ahead_from_ms
    }

    /// Charges an organisation for a granted slot with the mean run, until the slot is released;
    /// `waiting` are the organisations of the items that still wait.
    pub fn charge(
        &mut self,
        now_ms: Millis,
        ticket: Ticket,
        organisation: u64,
        waiting: impl Iterator<Item = u64>,
    ) {
        if self.next_start_ms.is_empty() {
            return;
        }
        let start_ms = self.start_ms(organisation);
        let least_ms = waiting.map(|organisation| self.start_ms(organisation)).min();
        self.virtual_ms = self.virtual_ms.max(least_ms.unwrap_or(start_ms).min(start_ms));
        if self.next_start_ms.len() >= MAX_IDLE_ORGANISATIONS {
            let virtual_ms = self.virtual_ms;
            self.next_start_ms.retain(|_, at_ms| *at_ms > virtual_ms);
        }
        let expected_ms = self.mean_run_ms.max(MIN_CHARGE_MS);
        self.next_start_ms.insert(organisation, start_ms.saturating_add(expected_ms));
        let charge = ItemCharge { organisation, expected_ms, granted_ms: now_ms };
        self.charges.insert(ticket, charge);
    }

    /// Corrects the charge for a slot that is released now.
    pub fn settle(&mut self, now_ms: Millis, ticket: Ticket) {
        let Some(charge) = self.charges.remove(&ticket) else { return };
        let run_ms = now_ms.saturating_sub(charge.granted_ms);
        let start_ms = self.start_ms(charge.organisation);
        let settled_ms = start_ms.saturating_add(run_ms).saturating_sub(charge.expected_ms);
        self.next_start_ms.insert(charge.organisation, settled_ms);
        self.mean_run_ms = match self.mean_run_ms {
            0 => run_ms,
            mean_ms => (mean_ms * (AVERAGED_RUNS - 1) + run_ms) / AVERAGED_RUNS,
        };
    }

    /// Removes the charges of runs that ended without a release.
    pub fn retain(&mut self, is_running: impl Fn(Ticket) -> bool) {
        self.charges.retain(|ticket, _| is_running(*ticket));
    }

    fn start_ms(&self, organisation: u64) -> Millis {
        let next_ms = self.next_start_ms.get(&organisation);
        next_ms.map_or(self.virtual_ms, |at_ms| self.virtual_ms.max(*at_ms))
    }
}
