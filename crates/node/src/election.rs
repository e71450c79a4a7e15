//! Which daemons watch the store.

use wire::Millis;

/// The number of daemons that watch one kind; two may be lost at the same time without a gap.
pub const WATCHERS: usize = 3;
/// How long the store may wait for changes of the replicas before it answers a watch call. The
/// answers show that the store is up, which is news to all daemons.
pub const REPLICA_WATCH_WAIT_MS: Millis = 500;
/// The number of daemons that read the replicas when the watchers seem to have no answers: the
/// connections of all three may be silent, which they notice only at the end of a call.
const STANDBYS: usize = 4;
/// How much later than a watcher's answer the next heartbeat with its age may come, beside the
/// period of the heartbeats.
const ANSWER_MARGIN_MS: Millis = 100;
/// The delay between two standbys, so that the first one's answer can reach the next one.
const STANDBY_DELAY_MS: Millis = 100;

/// Returns whether a daemon of a rank is to read the replicas although it is no watcher, if it is
/// not aware of an answer to any daemon in the last `silent_ms`.
pub fn is_standby_due(rank: usize, silent_ms: Millis, heartbeat_period_ms: Millis) -> bool {
    let delays = rank.saturating_sub(WATCHERS);
    let due_ms = REPLICA_WATCH_WAIT_MS
        + ANSWER_MARGIN_MS
        + heartbeat_period_ms
        + STANDBY_DELAY_MS * delays as Millis;
    (WATCHERS..WATCHERS + STANDBYS).contains(&rank) && silent_ms >= due_ms
}
