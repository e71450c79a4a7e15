//! Start-time fair queueing of the organisations whose online requests wait for one replica.
//!
//! The load that it answers: one organisation sends many times its usual rate while the others stay
//! at theirs. Each organisation has a virtual time, which its grants advance by the slot time that
//! they take; the waiting organisation that is the furthest behind is served next. An organisation
//! that was idle starts at the virtual time of the last grant and gets no credit for its idleness.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use wire::Millis;
use wire::OrgName;
use wire::rendezvous;

/// The number of organisations above which those that are not ahead of the last grant are forgotten.
const MAX_IDLE_ORGANISATIONS: usize = 128;

/// The organisation of a request or an item, as slot owners know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The hash of the organisation's name.
    pub organisation: u64,
    /// The priority of an online request; 0 is the most urgent. Owners ignore that of an item.
    pub priority: u32,
}

impl Share {
    /// Returns the share of an organisation's request; requests of callers without an organisation
    /// share one queue.
    pub fn new(organisation: Option<&OrgName>, priority: u32) -> Self {
        let name = organisation.map_or("", OrgName::as_str);
        Self { organisation: rendezvous::hash(name.as_bytes()), priority }
    }
}

/// The virtual times of the organisations at one replica.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    /// The virtual time of the last grant.
    virtual_ms: Millis,
    /// The virtual times at which the organisations' next requests start. One that is not listed
    /// starts at the virtual time of the last grant.
    next_start_ms: HashMap<u64, Millis>,
}

impl FairShares {
    /// Returns the virtual time at which an organisation's next request starts; the lowest is served
    /// first.
    pub fn start_ms(&self, organisation: u64) -> Millis {
        self.next_start_ms.get(&organisation).map_or(self.virtual_ms, |at| self.virtual_ms.max(*at))
    }

    /// Charges an organisation for a granted slot with the slot time that it is expected to take.
    pub fn charge(&mut self, organisation: u64, expected_ms: Millis) {
        let start_ms = self.start_ms(organisation);
        self.virtual_ms = start_ms;
        if self.next_start_ms.len() >= MAX_IDLE_ORGANISATIONS {
            self.next_start_ms.retain(|_, at_ms| *at_ms > start_ms);
        }
        self.next_start_ms.insert(organisation, start_ms.saturating_add(expected_ms));
    }

    /// Corrects the charge for a slot that was released after `taken_ms`.
    pub fn settle(&mut self, organisation: u64, expected_ms: Millis, taken_ms: Millis) {
        let start_ms = self.start_ms(organisation);
        let next = self.next_start_ms.entry(organisation).or_insert(start_ms);
        *next = next.saturating_add(taken_ms).saturating_sub(expected_ms);
    }

    /// Returns the number of organisations that are remembered.
    pub fn remembered(&self) -> usize {
        self.next_start_ms.len()
    }
}
