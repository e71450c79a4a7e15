//! The choice of the item that a home runs next.

use wire::Millis;

use crate::job::ItemUrgency;

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
