//! Tests that levels which an owner hands over are used only if no other owner has granted since.

use quota::election::Change;
use quota::election::Election;
use wire::DaemonName;

const GROUP: u8 = 3;
const LEVELS: [(u64, f32); 1] = [(11, 40.0)];

fn name(text: &str) -> DaemonName {
    DaemonName::from(text)
}

/// Returns the daemon that should own all groups, with the others known.
fn next_owner() -> Election {
    let names: Vec<DaemonName> = ["p", "a", "q"].map(DaemonName::from).to_vec();
    let mut election = Election::new(name("p"), 0, true);
    election.set_members(0, &names, names.clone(), &names[..1], true);
    election
}

/// Has the others vote for the daemon, and returns the levels with which it begins the term.
fn begin(election: &mut Election, now_ms: u64) -> Option<f64> {
    for voter in ["a", "q"] {
        election.record_vote(now_ms, (&name(voter), 1), 1 << GROUP, 750);
    }
    let changes = election.update(now_ms);
    let [Change::Gained(GROUP, handed_over)] = &changes[..] else { panic!("{changes:?}") };
    handed_over.as_ref().map(|handed_over| handed_over.levels[&LEVELS[0].0])
}

#[test]
fn levels_are_used_by_the_next_owner() {
    let mut election = next_owner();
    election.record_hand_over(1_000, &name("a"), (GROUP, 1), &LEVELS);
    election.record_release(1_005, &name("a"), 1 << GROUP);
    assert_eq!(begin(&mut election, 1_250), Some(40.0));
}

/// Guards against tokens that are granted twice: another owner refilled its own buckets meanwhile.
#[test]
fn levels_are_dropped_when_another_owner_releases_the_group() {
    let mut election = next_owner();
    election.record_hand_over(1_000, &name("a"), (GROUP, 1), &LEVELS);
    election.record_release(1_200, &name("q"), 1 << GROUP);
    assert_eq!(begin(&mut election, 1_250), None);
}

/// Guards against the same when the hand-over of the owner before arrives last.
#[test]
fn levels_that_arrive_after_the_release_of_another_owner_are_dropped() {
    let mut election = next_owner();
    election.record_release(1_000, &name("q"), 1 << GROUP);
    election.record_hand_over(1_100, &name("a"), (GROUP, 1), &LEVELS);
    assert_eq!(begin(&mut election, 1_150), None);
}

/// Guards against the same when another owner was lost: votes for it have expired since.
#[test]
fn levels_are_dropped_when_votes_for_another_owner_may_have_expired() {
    let mut election = next_owner();
    election.record_hand_over(1_000, &name("a"), (GROUP, 1), &LEVELS);
    assert_eq!(begin(&mut election, 1_400), None);
}

/// Guards against the same when this daemon itself has granted since: the hand-over was duplicated.
#[test]
fn levels_that_arrive_during_a_term_are_not_used_for_the_next() {
    let mut election = next_owner();
    election.record_hand_over(1_000, &name("a"), (GROUP, 1), &LEVELS);
    election.record_hand_over(1_010, &name("q"), (GROUP, 2), &LEVELS);
    assert_eq!(begin(&mut election, 1_050), Some(40.0));
    election.record_hand_over(1_100, &name("a"), (GROUP, 1), &LEVELS);
    assert!(matches!(election.update(1_800)[..], [Change::Lost(GROUP)]));
    assert_eq!(begin(&mut election, 1_810), None);
}
