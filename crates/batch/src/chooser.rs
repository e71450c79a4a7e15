//! Choice of the lane for a batch item: the least filled one that has not just been full.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use engine::replicas::LiveReplica;
use wire::Millis;
use wire::ReplicaName;

#[derive(Clone, Copy, Debug, Default)]
struct Lane {
    outstanding: u32,
    full_until_ms: Millis,
}

/// What this daemon has sent to each lane.
#[derive(Debug, Default)]
pub struct Chooser {
    lanes: Mutex<BTreeMap<ReplicaName, Lane>>,
}

impl Chooser {
    /// Chooses a lane and counts the item there; `None` when all are full.
    pub fn take(
        &self,
        now_ms: Millis,
        replicas: &[LiveReplica],
        slots: u32,
    ) -> Option<ReplicaName> {
        let mut lanes = self.lanes();
        let chosen = replicas
            .iter()
            .map(|live| &live.replica.name)
            .map(|name| (lanes.get(name).copied().unwrap_or_default(), name))
            .filter(|(lane, _)| lane.outstanding < slots + slots / 2)
            .filter(|(lane, _)| now_ms >= lane.full_until_ms)
            .min_by_key(|(lane, _)| lane.outstanding)
            .map(|(_, name)| name.clone())?;
        lanes.entry(chosen.clone()).or_default().outstanding += 1;
        Some(chosen)
    }

    /// Records that an item ended at a lane; `full_until_ms` is set when the lane had no room.
    pub fn put_back(&self, replica: &ReplicaName, full_until_ms: Option<Millis>) {
        let mut lanes = self.lanes();
        let lane = lanes.entry(replica.clone()).or_default();
        lane.outstanding = lane.outstanding.saturating_sub(1);
        if let Some(until_ms) = full_until_ms {
            lane.full_until_ms = until_ms;
        }
    }

    fn lanes(&self) -> MutexGuard<'_, BTreeMap<ReplicaName, Lane>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
