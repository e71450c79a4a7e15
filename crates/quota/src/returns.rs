//! When the clients of refused requests return if there is no owner, or only a new one.

use wire::DaemonName;
use wire::Millis;
use wire::rendezvous;

use crate::holder::Ticket;

/// The longest wait that clients honour: a third of a deadline of 5 s, less the delay of the refusal.
const LONGEST_WAIT_MS: Millis = 1_600;
/// The least time over which refused requests return. Buckets of a new owner start empty, so that clients
/// that return together would be refused again.
const LEAST_SPREAD_MS: Millis = 300;
/// The stride between two requests of a daemon, which spreads them over any range.
const RETURN_STRIDE_MS: u64 = 389;

/// Returns after how long a refused request may return: not before `earliest_ms`, and spread over all
/// daemons and their requests.
///
/// The load that it answers is a fleet whose daemons were all killed at once: for about a second there is no
/// owner, and all organisations are refused.
pub fn return_in_ms(daemon: &DaemonName, ticket: Ticket, earliest_ms: Millis) -> Millis {
    let first = rendezvous::hash(daemon.as_str().as_bytes());
    let offset = first.wrapping_add(ticket.wrapping_mul(RETURN_STRIDE_MS));
    let spread_ms = LONGEST_WAIT_MS.saturating_sub(earliest_ms).max(LEAST_SPREAD_MS);
    earliest_ms.saturating_add(offset % spread_ms)
}
