//! Selects the lane for a batch item: the one with the fewest outstanding items, skipping lanes
//! that recently reported that they were full.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use engine::replicas::LiveReplica;
use wire::Millis;
use wire::ReplicaName;

#[derive(Clone, Copy, Debug, Default)]
struct LaneLoad {
    outstanding: u32,
    full_until_ms: Millis,
}

/// Selects lanes by the number of items that this daemon has outstanding on each.
#[derive(Debug, Default)]
pub struct LaneSelector {
    lanes: Mutex<BTreeMap<ReplicaName, LaneLoad>>,
}

impl LaneSelector {
    /// Selects a lane and counts one outstanding item on it; returns `None` if all lanes are full.
    pub fn acquire(
        &self,
        now_ms: Millis,
        replicas: &[LiveReplica],
        slots: u32,
    ) -> Option<ReplicaName> {
        let mut lanes = self.lanes();
        let selected = replicas
            .iter()
            .map(|candidate| &candidate.replica.name)
            .map(|name| (lanes.get(name).copied().unwrap_or_default(), name))
            .filter(|(lane, _)| lane.outstanding < slots + slots / 2)
            .filter(|(lane, _)| now_ms >= lane.full_until_ms)
            .min_by_key(|(lane, _)| lane.outstanding)
            .map(|(_, name)| name.clone())?;
        lanes.entry(selected.clone()).or_default().outstanding += 1;
        Some(selected)
    }

    /// Releases one outstanding item of a lane.
    ///
    /// `full_until_ms` is set if the lane refused the item because it was full.
    pub fn release(&self, replica: &ReplicaName, full_until_ms: Option<Millis>) {
        let mut lanes = self.lanes();
        let lane = lanes.entry(replica.clone()).or_default();
        lane.outstanding = lane.outstanding.saturating_sub(1);
        if let Some(until_ms) = full_until_ms {
            lane.full_until_ms = until_ms;
        }
    }

    fn lanes(&self) -> MutexGuard<'_, BTreeMap<ReplicaName, LaneLoad>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
