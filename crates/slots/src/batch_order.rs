//! The order in which the items of jobs get slots.
//!
//! It answers loads beyond the slots that online requests leave. By due time alone, every item
//! would then start at the last moment and end late after the first interruption.

use wire::Millis;

/// The rank of an item; the lowest gets a slot first.
///
/// Items that can still be on time come before the others; each kind has an order of its own, which
/// the homes of the jobs choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BatchRank {
    /// The item can be on time; holds its sort key.
    OnTime(Millis),
    /// The item is expected to be late; holds its sort key.
    Late(Millis),
}

impl BatchRank {
    /// Returns the rank of an item that must start until `on_time_at_ms` to be on time.
    pub fn new(now_ms: Millis, on_time_at_ms: Millis, order_at_ms: Millis) -> Self {
        if on_time_at_ms <= now_ms { Self::Late(order_at_ms) } else { Self::OnTime(order_at_ms) }
    }
}
