//! Tests of the daemons that read the replicas when the watchers have no answers.

use catalog::contact::MAX_CONTACT_GAP_MS;
use node::election::REPLICA_WATCH_WAIT_MS;
use node::election::WATCHERS;
use node::election::is_standby_due;
use wire::Millis;

const HEARTBEAT_PERIOD_MS: Millis = 200;
const DAEMONS: usize = 9;

fn due_ms(rank: usize) -> Option<Millis> {
    (0..10_000).find(|silent_ms| is_standby_due(rank, *silent_ms, HEARTBEAT_PERIOD_MS))
}

// Guards against a contact that breaks off because the connections of all watchers are silent.
#[test]
fn standby_reads_the_replicas_before_the_gap_counts_as_an_outage() {
    let due: Vec<Millis> = (WATCHERS..DAEMONS).filter_map(due_ms).collect();
    assert!(due.len() >= WATCHERS, "as many may be cut off as there are watchers");
    assert!(due.iter().all(|due_ms| due_ms + 150 < MAX_CONTACT_GAP_MS), "{due:?}");
}

#[test]
fn standbys_are_quiet_while_the_watchers_have_answers() {
    let longest_silence_ms = REPLICA_WATCH_WAIT_MS + HEARTBEAT_PERIOD_MS + 50;
    assert!((0..DAEMONS).filter_map(due_ms).all(|due_ms| due_ms > longest_silence_ms));
}

#[test]
fn watchers_are_no_standbys_and_standbys_are_few() {
    assert!((0..WATCHERS).all(|rank| due_ms(rank).is_none()));
    assert!((0..400).filter_map(due_ms).count() < 2 * WATCHERS);
}
