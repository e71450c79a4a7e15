//! Tests that no two daemons own a group of organisations at the same time.

use quota::Message;
use quota::election::Change;
use quota::election::Election;
use wire::DaemonName;

fn names() -> Vec<DaemonName> {
    ["a", "b", "c"].map(DaemonName::from).to_vec()
}

/// Returns a daemon that has known the others since its start.
fn daemon(name: &str, now_ms: u64, is_first_start: bool) -> Election {
    let mut election = Election::new(DaemonName::from(name), now_ms, is_first_start);
    election.set_members(now_ms, &names(), names(), &names(), true);
    election
}

/// Returns the daemons for which `election` votes between two times, with the times.
fn votes(election: &mut Election, from_ms: u64, until_ms: u64) -> Vec<(u64, DaemonName, Message)> {
    let ticks = (from_ms..until_ms).step_by(50);
    let tick = |now_ms| election.tick(now_ms).into_iter().map(move |(to, vote)| (now_ms, to, vote));
    let is_vote =
        |(_, _, message): &(u64, DaemonName, Message)| matches!(message, Message::Vote { .. });
    ticks.flat_map(tick).filter(is_vote).collect()
}

#[test]
fn vote_for_a_lost_owner_expires_before_the_next_vote() {
    let mut voter = daemon("a", 0, true);
    let before = votes(&mut voter, 0, 3_000);
    let (last_ms, _, vote) =
        before.iter().rev().find(|(_, to, _)| to.as_str() == "b").expect("a vote for b");
    let Message::Vote { valid_ms, .. } = vote else { panic!("not a vote: {vote:?}") };
    let candidates = [DaemonName::from("c")];
    voter.set_members(3_000, &names(), candidates.to_vec(), &candidates, true);
    let after = votes(&mut voter, 3_000, 8_000);
    assert!(after.iter().all(|(_, to, _)| to.as_str() != "b"));
    let groups = |votes: &[(u64, DaemonName, Message)], until_ms: u64| {
        let to_c = votes.iter().filter(|(at, to, _)| to.as_str() == "c" && *at < until_ms);
        to_c.fold(0, |set, (_, _, vote)| match vote {
            Message::Vote { groups, .. } => set | groups,
            _ => set,
        })
    };
    let expired_ms = last_ms + u64::from(*valid_ms);
    assert_eq!(groups(&after, expired_ms + 1), groups(&before, 3_000), "moved before the expiry");
    assert_ne!(groups(&after, 8_000), groups(&before, 3_000), "never moved");
}

#[test]
fn restarted_daemon_votes_only_after_its_earlier_votes_have_expired() {
    let mut first = daemon("a", 0, true);
    let earlier = votes(&mut first, 0, 3_000);
    let Message::Vote { valid_ms, .. } = earlier[0].2 else { panic!("not a vote") };
    let mut second = daemon("a", 3_000, false);
    let later = votes(&mut second, 3_000, 6_000);
    assert!(later[0].0 > 3_000 + u64::from(valid_ms));
}

#[test]
fn votes_that_arrived_during_a_pause_do_not_count() {
    let mut owner = daemon("b", 0, true);
    owner.tick(0);
    owner.check_for_pause(5_000);
    for voter in ["a", "c"] {
        owner.record_vote(5_000, (&DaemonName::from(voter), 1), u8::MAX, 750);
    }
    assert!(owner.update(5_000).is_empty(), "votes of unknown age made an owner");
    owner.tick(5_050);
    for voter in ["a", "c"] {
        owner.record_vote(5_400, (&DaemonName::from(voter), 1), u8::MAX, 750);
    }
    let gained = |change: &Change| matches!(change, Change::Gained(..));
    assert!(owner.update(5_400).iter().any(gained));
}

#[test]
fn daemon_that_knows_only_a_few_others_owns_nothing() {
    let mut owner = Election::new(DaemonName::from("b"), 0, false);
    owner.set_members(0, &names()[..1], names(), &names(), false);
    for voter in ["a", "b"] {
        owner.record_vote(100, (&DaemonName::from(voter), 1), u8::MAX, 750);
    }
    assert!(owner.update(100).is_empty(), "the votes of one of many daemons made an owner");
}

#[test]
fn owner_without_votes_of_more_than_half_stops_at_once() {
    let mut owner = daemon("b", 0, true);
    for voter in ["a", "c"] {
        owner.record_vote(100, (&DaemonName::from(voter), 1), u8::MAX, 750);
    }
    assert!(!owner.update(849).is_empty());
    let lost = |change: &Change| matches!(change, Change::Lost(_));
    assert!(owner.update(850).iter().any(lost));
}

/// Returns a daemon that owned all groups and has released them at 1,100 ms.
fn former_owner() -> Election {
    let mut owner = Election::new(DaemonName::from("a"), 0, true);
    owner.set_members(0, &names(), names(), &names()[..1], true);
    for voter in ["b", "c"] {
        owner.record_vote(1_000, (&DaemonName::from(voter), 1), u8::MAX, 750);
    }
    assert_eq!(owner.update(1_000).len(), 8);
    owner.set_members(1_100, &names(), names(), &names()[1..2], true);
    let changes = owner.update(1_100);
    assert!(changes.iter().all(|change| matches!(change, Change::Released(..))), "{changes:?}");
    owner
}

/// Guards against two owners: votes that were under way when the owner released the group are void,
/// since the voters vote for the next owner once they get the release.
#[test]
fn votes_under_way_at_the_release_begin_no_term() {
    let mut owner = former_owner();
    for voter in ["b", "c"] {
        owner.record_vote(1_399, (&DaemonName::from(voter), 1), u8::MAX, 750);
    }
    owner.set_members(1_399, &names(), names(), &names()[..1], true);
    assert!(owner.update(1_399).is_empty(), "votes from before the release made an owner");
    for voter in ["b", "c"] {
        owner.record_vote(1_400, (&DaemonName::from(voter), 1), u8::MAX, 750);
    }
    assert_eq!(owner.update(1_400).len(), 8, "votes after the release do not count");
}

/// Guards against two owners: a duplicated release must not free a later vote for the same owner.
#[test]
fn duplicated_release_frees_no_later_vote() {
    let mut voter = Election::new(DaemonName::from("c"), 0, true);
    let (a, b) = (DaemonName::from("a"), DaemonName::from("b"));
    let vote = |voter: &mut Election, candidate: &DaemonName, now_ms: u64| {
        voter.set_members(now_ms, &names(), names(), std::slice::from_ref(candidate), true);
        let votes = voter.tick(now_ms);
        votes.into_iter().map(|(to, _)| to).collect::<Vec<_>>()
    };
    assert_eq!(vote(&mut voter, &a, 1_000), std::slice::from_ref(&a));
    voter.record_release(1_050, &a, u8::MAX);
    assert_eq!(vote(&mut voter, &a, 1_050), std::slice::from_ref(&a));
    voter.record_release(1_349, &a, u8::MAX);
    assert!(vote(&mut voter, &b, 1_350).is_empty(), "the vote for a is valid until 1,800 ms");
    voter.record_release(1_360, &a, u8::MAX);
    assert_eq!(vote(&mut voter, &b, 1_400), [b], "a later release frees the vote");
}
