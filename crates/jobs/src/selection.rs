//! The choice of the item that a home runs next.

use std::collections::HashSet;

use wire::Millis;
use wire::OrgName;

use crate::job::ItemUrgency;
use crate::slot_places::SlotPlaces;

/// Chooses the most urgent of the next items of several jobs: an item that can still be on time
/// before one that cannot, and among equals the one with the lowest sort key.
///
/// The load that it answers is jobs that ask for more slots than online requests leave.
pub fn most_urgent<T>(
    now_ms: Millis,
    candidates: impl IntoIterator<Item = (ItemUrgency, T)>,
) -> Option<(ItemUrgency, T)> {
    candidates
        .into_iter()
        .min_by_key(|(urgency, _)| (urgency.on_time_at_ms < now_ms, urgency.order_at_ms))
}

/// Chooses the next item of several jobs to wait for a slot, if one of `max_places` is free.
///
/// The load that it answers is one organisation that submits many jobs: the places are divided among
/// the organisations that have items, and one that has taken its part gets a further place only if
/// no other has an item that can still be on time. Among the rest the order is that of
/// [`most_urgent`], as it is for all without organisations.
pub fn next_item<T>(
    now_ms: Millis,
    max_places: usize,
    places: &SlotPlaces,
    candidates: impl IntoIterator<Item = (ItemUrgency, Option<OrgName>, T)>,
) -> Option<(ItemUrgency, T)> {
    // Candidates are costly to compute: each is chosen from all items of its job.
    if places.taken() >= max_places {
        return None;
    }
    let candidates: Vec<_> = candidates.into_iter().collect();
    let ready = candidates.iter().map(|(_, organisation, _)| organisation);
    let organisations: HashSet<&Option<OrgName>> = ready.chain(places.organisations()).collect();
    let part = (max_places / organisations.len().max(1)).max(1);
    let order = |(urgency, organisation, _): &(ItemUrgency, Option<OrgName>, T)| {
        let is_over_part = places.taken_by(organisation) >= part;
        (urgency.on_time_at_ms < now_ms, is_over_part, urgency.order_at_ms)
    };
    let next = candidates.into_iter().min_by_key(order)?;
    Some((next.0, next.2))
}
