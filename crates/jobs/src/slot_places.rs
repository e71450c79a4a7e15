//! The places of a home's items that wait for a slot, by organisation.

use std::collections::HashMap;

use wire::OrgName;

/// The number of items of each organisation that wait for a slot; those of jobs without an
/// organisation count together.
#[derive(Clone, Debug, Default)]
pub struct SlotPlaces {
    waiting: HashMap<Option<OrgName>, usize>,
}

impl SlotPlaces {
    /// Takes a place for an item of an organisation.
    pub fn take(&mut self, organisation: &Option<OrgName>) {
        *self.waiting.entry(organisation.clone()).or_default() += 1;
    }

    /// Frees the place of an item that has its slot or no longer waits.
    pub fn free(&mut self, organisation: &Option<OrgName>) {
        let Some(waiting) = self.waiting.get_mut(organisation) else { return };
        *waiting = waiting.saturating_sub(1);
        if *waiting == 0 {
            self.waiting.remove(organisation);
        }
    }

    /// Returns the number of items that wait.
    pub fn taken(&self) -> usize {
        self.waiting.values().sum()
    }

    /// Returns the number of items of an organisation that wait.
    pub fn taken_by(&self, organisation: &Option<OrgName>) -> usize {
        self.waiting.get(organisation).copied().unwrap_or_default()
    }

    /// Returns the organisations that have items waiting.
    pub fn organisations(&self) -> impl Iterator<Item = &Option<OrgName>> {
        self.waiting.keys()
    }
}
