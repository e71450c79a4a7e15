//! The choice of the item that a home runs next.

use slots::BatchRank;
use wire::Millis;

use crate::job::ItemUrgency;

/// Chooses the most urgent of the next items of several jobs.
///
/// It uses the order in which the owners of slots serve items, see [`BatchRank`], and answers the
/// same load: jobs that ask for more than the slots that online requests leave.
pub fn most_urgent<T>(
    now_ms: Millis,
    candidates: impl IntoIterator<Item = (ItemUrgency, T)>,
) -> Option<(ItemUrgency, T)> {
    candidates.into_iter().min_by_key(|(urgency, _)| {
        BatchRank::new(now_ms, urgency.on_time_at_ms, urgency.order_at_ms)
    })
}
