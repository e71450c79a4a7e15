//! Tests that a restarted daemon votes early only if no daemon holds its earlier votes.

use quota::Message;
use quota::election::Change;
use quota::election::Election;
use wire::DaemonName;

/// When the votes of a daemon that starts at 0 arrive after all its earlier ones.
const ARRIVED_MS: u64 = 300;
/// When a daemon that starts at 0 votes without a withdrawal: the validity of a vote and its delay.
const SETTLED_MS: u64 = 1_050;

fn names() -> Vec<DaemonName> {
    ["a", "b", "c"].map(DaemonName::from).to_vec()
}

fn restarted(name: &str) -> Election {
    let mut election = Election::new(DaemonName::from(name), 0, false);
    election.set_members(0, &names(), names(), &names(), true);
    election
}

/// Returns when `election` asks and votes first, in ticks of 50 ms.
fn first_times(election: &mut Election) -> (Option<u64>, Option<u64>) {
    let (mut asked_ms, mut voted_ms) = (None, None);
    for now_ms in (0..3_000).step_by(50) {
        for (_, message) in election.tick(now_ms) {
            match message {
                Message::Withdraw { .. } => asked_ms = asked_ms.or(Some(now_ms)),
                Message::Vote { .. } => voted_ms = voted_ms.or(Some(now_ms)),
                _ => panic!("unexpected {message:?}"),
            }
        }
    }
    (asked_ms, voted_ms)
}

/// Returns a daemon that got the votes of earlier incarnations of the others for all groups.
fn owner() -> Election {
    let mut owner = Election::new(DaemonName::from("b"), 0, false);
    owner.set_members(0, &names(), names(), &[DaemonName::from("b")], true);
    for voter in ["a", "c"] {
        owner.record_vote(2_000, (&DaemonName::from(voter), 1), u8::MAX, 750);
    }
    assert_eq!(owner.update(2_000).len(), 8);
    owner
}

/// Guards against seconds without owners after all daemons were killed.
#[test]
fn restarted_daemon_votes_once_all_others_have_answered() {
    let mut election = restarted("a");
    for now_ms in (0..=ARRIVED_MS).step_by(50) {
        election.tick(now_ms);
    }
    election.record_withdrawn(&DaemonName::from("b"));
    election.record_withdrawn(&DaemonName::from("c"));
    let next = election.tick(ARRIVED_MS + 50);
    assert!(next.iter().any(|(_, message)| matches!(message, Message::Vote { .. })), "{next:?}");
}

/// Guards against two owners: the daemon that has not answered may hold a valid earlier vote.
#[test]
fn restarted_daemon_waits_if_one_has_not_answered() {
    let mut election = restarted("a");
    election.tick(ARRIVED_MS);
    election.record_withdrawn(&DaemonName::from("b"));
    let (_, voted_ms) = first_times(&mut election);
    assert!(voted_ms.is_some_and(|at| at >= SETTLED_MS), "voted at {voted_ms:?}");
}

/// Guards against an answer that comes before the last vote of the earlier incarnation arrives.
#[test]
fn withdrawal_begins_when_earlier_votes_have_arrived() {
    let mut election = restarted("a");
    for voter in ["b", "c"] {
        election.record_withdrawn(&DaemonName::from(voter));
    }
    let (asked_ms, voted_ms) = first_times(&mut election);
    assert_eq!(asked_ms, Some(ARRIVED_MS));
    assert!(voted_ms.is_some_and(|at| at >= SETTLED_MS), "unasked answers counted: {voted_ms:?}");
}

/// Guards against an owner that keeps a term by votes that a voter withdrew.
#[test]
fn withdrawn_votes_end_the_term_before_the_answer() {
    let mut owner = owner();
    assert!(owner.record_withdrawal(2_100, (&DaemonName::from("a"), 2), 700));
    assert!(owner.update(2_100).iter().all(|change| matches!(change, Change::Lost(_))));
    assert_eq!(owner.term_started_ms(0), None);
    owner.record_vote(2_110, (&DaemonName::from("a"), 1), u8::MAX, 750);
    assert!(owner.update(2_110).is_empty(), "a vote of the earlier incarnation counted");
}

/// Guards against votes of the new incarnation that a repeated request discards.
#[test]
fn repeated_withdrawal_keeps_the_votes_of_the_new_incarnation() {
    let mut owner = owner();
    for voter in ["a", "c"] {
        let sender = DaemonName::from(voter);
        owner.record_withdrawal(2_100, (&sender, 2), 700);
        owner.record_vote(2_150, (&sender, 2), u8::MAX, 750);
        owner.record_withdrawal(2_200, (&sender, 2), 600);
    }
    owner.update(2_200);
    assert!(owner.term_started_ms(0).is_some());
}

/// Guards against initial tokens of more terms in one window than the bound covers: early terms may
/// follow each other faster.
#[test]
fn early_votes_begin_a_term_that_later_ones_confirm() {
    let mut owner = owner();
    for voter in ["a", "c"] {
        owner.record_withdrawal(2_100, (&DaemonName::from(voter), 2), 700);
    }
    owner.update(2_100);
    let vote = |owner: &mut Election, now_ms| {
        for voter in ["a", "c"] {
            owner.record_vote(now_ms, (&DaemonName::from(voter), 2), u8::MAX, 750);
        }
        owner.update(now_ms)
    };
    let changes = vote(&mut owner, 2_200);
    assert!(changes.iter().all(|change| matches!(change, Change::GainedEarly(..))), "{changes:?}");
    assert_eq!(changes.len(), 8);
    assert!(vote(&mut owner, 2_799).is_empty());
    let changes = vote(&mut owner, 2_800);
    assert!(changes.iter().all(|change| matches!(change, Change::Confirmed(_))), "{changes:?}");
    assert_eq!(changes.len(), 8);
}

/// Guards against early votes that bind a daemon when the owner of the group becomes ready.
#[test]
fn no_early_vote_passes_over_a_daemon_that_is_starting() {
    let mut election = restarted("a");
    let starting: Vec<DaemonName> = (0..20).map(|n| DaemonName::from(format!("s{n}"))).collect();
    election.set_expected(&names(), &starting);
    election.tick(ARRIVED_MS);
    for voter in ["b", "c"] {
        election.record_withdrawn(&DaemonName::from(voter));
    }
    let groups = |messages: &[(DaemonName, Message)]| {
        messages.iter().fold(0_u8, |set, (_, message)| match message {
            Message::Vote { groups, .. } => set | groups,
            _ => set,
        })
    };
    let early = groups(&election.tick(ARRIVED_MS + 50));
    let mut later = 0;
    for now_ms in (SETTLED_MS..SETTLED_MS + 1_000).step_by(50) {
        later |= groups(&election.tick(now_ms));
    }
    assert!(early.count_ones() < later.count_ones(), "{early:b} before {later:b}");
}

/// Guards against an owner that loses its majority while the voters pass from early votes, which are
/// valid for 750 ms, to the later ones, which are 1,000 ms apart in a large fleet.
#[test]
fn votes_follow_the_early_ones_before_these_expire() {
    let fleet: Vec<DaemonName> = (0..300).map(|n| DaemonName::from(format!("d{n}"))).collect();
    let mut election = Election::new(fleet[0].clone(), 0, false);
    election.set_members(0, &fleet, fleet.clone(), &fleet[1..2], true);
    election.tick(ARRIVED_MS);
    for voter in &fleet[1..] {
        election.record_withdrawn(voter);
    }
    let (mut votes, mut valid_until_ms) = (0, None);
    for now_ms in (ARRIVED_MS + 50..8_000).step_by(50) {
        for (_, message) in election.tick(now_ms) {
            let Message::Vote { valid_ms, .. } = message else { panic!("unexpected {message:?}") };
            assert!(valid_until_ms.is_none_or(|until_ms| now_ms < until_ms), "late at {now_ms}");
            valid_until_ms = Some(now_ms + u64::from(valid_ms));
            votes += 1;
        }
    }
    assert!(votes > 10, "{votes} votes");
}

/// Guards against valid votes that a late duplicate of a request discards: it arrives when the votes of
/// the new incarnation are no longer early.
#[test]
fn late_withdrawal_keeps_the_votes_of_the_new_incarnation() {
    let mut owner = owner();
    let senders = ["a", "c"].map(DaemonName::from);
    for sender in &senders {
        owner.record_withdrawal(2_100, (sender, 2), 700);
        owner.record_vote(2_810, (sender, 2), u8::MAX, 750);
    }
    owner.update(2_810);
    for sender in &senders {
        // Sent 10 ms before the early votes ended, and delayed by 290 ms.
        owner.record_withdrawal(3_080, (sender, 2), 10);
    }
    owner.update(3_080);
    assert!(owner.term_started_ms(0).is_some());
}
