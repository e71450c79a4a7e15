//! Tests of trials: when a request with a quarantined part may be sent, by whom, and how often.

use quarantine::Delegates;
use quarantine::PromptPart;
use quarantine::Quarantine;
use quarantine::QuarantineView;
use quarantine::ReplicaIncarnation;
use quarantine::RequestFingerprint;
use quarantine::Suspect;
use wire::Millis;
use wire::ReplicaName;

/// The number of crashes and the time after the last of them from which runs count as late.
const KNOWN_CRASHES: usize = 5;
const CONTACT_MS: Millis = 3_000;
const MAX_LATE_RUNS: usize = 3;
/// How long a message takes to the other daemons.
const PUSH_MS: Millis = 150;

/// A daemon with a rank for every suspect.
struct Rank(usize);

impl Delegates for Rank {
    fn trial_rank(&self, _: Suspect) -> Option<usize> {
        Some(self.0)
    }

    fn is_reporter(&self, _: Suspect) -> bool {
        false
    }
}

fn part(id: &str) -> Suspect {
    Suspect::Part(PromptPart::from_id(id))
}

fn incarnation(number: usize) -> ReplicaIncarnation {
    ReplicaIncarnation::from(&ReplicaName::from(format!("replica-{number}")))
}

/// Returns a quarantine with `crashes` crashes of a part, one every 100 ms, the last at `now_ms`.
fn quarantined(now_ms: Millis, part: Suspect, crashes: usize) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in 0..crashes {
        let at_ms = now_ms - 100 * (crashes - 1 - number) as Millis;
        quarantine.record_crash(at_ms, &[part], incarnation(number));
    }
    quarantine
}

/// Lets `ranks`, which all hold items with a part that crashes each replica, try to send one every
/// 100 ms for `period_ms` after `crashes` crashes; returns the times of the crashes and of the sends.
fn play_trials(
    ranks: &[usize],
    crashes: usize,
    period_ms: Millis,
    suspects: &[Suspect],
) -> (Vec<Millis>, Vec<Millis>) {
    let (deadly, start_ms) = (suspects[0], 10_000);
    let mut daemons = vec![quarantined(start_ms, deadly, crashes); ranks.len()];
    let mut crashed_ms: Vec<Millis> =
        (0..crashes).map(|number| start_ms - 100 * (crashes - 1 - number) as Millis).collect();
    let mut sent_ms = Vec::new();
    let mut pushes: Vec<(Millis, QuarantineView)> = Vec::new();
    for now_ms in (start_ms..start_ms + period_ms).step_by(10) {
        for (arrives_ms, push) in pushes.clone() {
            if arrives_ms == now_ms {
                daemons.iter_mut().for_each(|daemon| daemon.merge(now_ms, &push, &Rank(0)));
            }
        }
        pushes.retain(|(arrives_ms, _)| *arrives_ms > now_ms);
        for (daemon, rank) in daemons.iter_mut().zip(ranks) {
            if now_ms % 100 == 0 && daemon.admit(now_ms, suspects, &Rank(*rank)).is_ok() {
                sent_ms.push(now_ms);
                daemon.record_crash(now_ms + 30, &[deadly], incarnation(crashed_ms.len()));
                crashed_ms.push(now_ms + 30);
            }
            if let Some(push) = daemon.take_push(now_ms) {
                pushes.push((now_ms + PUSH_MS, push));
            }
        }
    }
    (crashed_ms, sent_ms)
}

fn assert_within_budget(ranks: &[usize], crashes: usize) -> Vec<Millis> {
    let (crashed_ms, sent_ms) = play_trials(ranks, crashes, 700_000, &[part("dead")]);
    let known_ms = crashed_ms[KNOWN_CRASHES.min(crashed_ms.len()) - 1] + CONTACT_MS;
    let late = sent_ms.iter().filter(|at_ms| **at_ms > known_ms).count();
    assert!(late <= MAX_LATE_RUNS, "{late} late runs with ranks {ranks:?}, {crashes} crashes");
    sent_ms
}

#[test]
fn items_with_a_part_that_crashes_replicas_are_tried_within_the_budget() {
    for crashes in 3..9 {
        for ranks in [&[0][..], &[4], &[0, 1], &[2, 5, 8], &[0, 1, 2, 3, 4, 5, 6, 7, 8]] {
            let sent_ms = assert_within_budget(ranks, crashes);
            assert!(sent_ms.len() >= 2, "{sent_ms:?}");
            let is_apart = sent_ms.windows(2).all(|pair| pair[1] - pair[0] >= 10_000);
            assert!(is_apart, "one at a time: {sent_ms:?}");
        }
    }
    let sent_ms = assert_within_budget(&[0], 3);
    assert_eq!(sent_ms.len(), 4);
    assert_eq!(sent_ms[0], 10_000 + CONTACT_MS);
}

#[test]
fn item_of_any_daemon_is_tried_after_those_of_earlier_ranks() {
    let deadly = part("dead");
    let first_trial_ms = |rank: usize| {
        let mut quarantine = quarantined(10_000, deadly, 3);
        let mut times_ms = (13_000..60_000).step_by(10);
        times_ms.find(|now_ms| quarantine.admit(*now_ms, &[deadly], &Rank(rank)).is_ok())
    };
    let times_ms: Vec<Option<Millis>> =
        [0, 1, 2, 3, 6, 7, 389].iter().map(|rank| first_trial_ms(*rank)).collect();
    assert_eq!(times_ms[..2], [Some(13_000), Some(14_000)]);
    assert!(times_ms.is_sorted());
    assert!(times_ms[6].is_some_and(|ms| ms <= 23_000), "{times_ms:?}");
}

#[test]
fn requests_are_tried_less_often_than_items() {
    let itself = Suspect::Request(RequestFingerprint::of_fields(&[b"again"]));
    let (_, sent_ms) = play_trials(&[0, 1, 2], 3, 700_000, &[part("dead"), itself]);
    assert_eq!(sent_ms.len(), 4);
    let is_apart = sent_ms[1..].windows(2).all(|pair| pair[1] - pair[0] >= 60_000);
    assert!(is_apart, "{sent_ms:?}");
}

#[test]
fn part_that_was_quarantined_by_mistake_is_released_within_seconds() {
    for rank in 0..9 {
        let wrong = part("a1");
        let mut quarantine = quarantined(10_000, wrong, 3);
        let mut times_ms = (10_000..).step_by(10);
        let trial_ms = times_ms
            .find(|now_ms| quarantine.admit(*now_ms, &[wrong], &Rank(rank)).is_ok())
            .expect("a trial");
        assert!(trial_ms <= 17_000, "rank {rank}: {trial_ms}");
        quarantine.record_sound(trial_ms + 100, &[wrong]);
        assert_eq!(quarantine.admit(trial_ms + 200, &[wrong], &Rank(rank)), Ok(()));
    }
}

#[test]
fn trial_that_was_taken_back_does_not_return_with_the_message_of_a_peer() {
    let deadly = part("dead");
    let mut here = quarantined(10_000, deadly, 3);
    let mut there = here.clone();
    for send in 0..300 {
        let now_ms = 20_000 + 1_000 * send;
        assert_eq!(here.admit(now_ms, &[deadly], &Rank(0)), Ok(()), "send {send}");
        let begun = here.complete_view(now_ms).expect("a view");
        there.merge(now_ms + 50, &begun, &Rank(0));
        assert_eq!(there.admit(now_ms + 60, &[deadly], &Rank(0)), Err(deadly), "it is under way");
        here.cancel_trials(now_ms + 100, now_ms, &[deadly]);
        here.merge(now_ms + 200, &there.complete_view(now_ms + 200).expect("a view"), &Rank(0));
        there.merge(now_ms + 300, &here.complete_view(now_ms + 300).expect("a view"), &Rank(0));
    }
    assert_eq!(there.admit(340_000, &[deadly], &Rank(0)), Ok(()));
}

#[test]
fn concurrent_trials_of_daemons_that_do_not_hear_each_other_count_each() {
    let deadly = part("dead");
    let mut here = quarantined(10_000, deadly, 3);
    let mut there = here.clone();
    for (trial, now_ms) in [13_000, 30_000].into_iter().enumerate() {
        assert_eq!(here.admit(now_ms, &[deadly], &Rank(0)), Ok(()));
        here.record_crash(now_ms + 30, &[deadly], incarnation(10 + trial));
        assert_eq!(there.admit(now_ms, &[deadly], &Rank(0)), Ok(()));
        there.record_crash(now_ms + 30, &[deadly], incarnation(20 + trial));
        let views = (here.complete_view(now_ms + 100), there.complete_view(now_ms + 100));
        here.merge(now_ms + 200, &views.1.expect("a view"), &Rank(0));
        there.merge(now_ms + 200, &views.0.expect("a view"), &Rank(0));
    }
    assert_eq!(here.admit(100_000, &[deadly], &Rank(0)), Err(deadly));
    assert_eq!(there.admit(100_000, &[deadly], &Rank(0)), Err(deadly));
}

#[test]
fn part_stays_quarantined_when_trials_of_one_request_crash_more_replicas() {
    let deadly = part("dead");
    let request = |name: &[u8]| Suspect::Request(RequestFingerprint::of_fields(&[name]));
    let mut quarantine = Quarantine::default();
    for number in 0..12 {
        let name: &[u8] = [&b"a"[..], b"b", b"c", b"again"][number.min(3)];
        let suspects = [request(name), deadly];
        quarantine.record_crash(5_000 * number as Millis, &suspects, incarnation(number));
        assert_eq!(quarantine.is_quarantined(deadly), number >= 2, "{number}");
    }
}

// Guards against trials that wait for a slot while all replicas are down and are then all sent.
#[test]
fn trials_without_an_outcome_stay_within_the_budget() {
    let deadly = part("dead");
    let mut daemons = vec![quarantined(10_000, deadly, 5); 4];
    let mut claimed = 0;
    for now_ms in (10_000..200_000).step_by(100) {
        for rank in 0..daemons.len() {
            if daemons[rank].admit(now_ms, &[deadly], &Rank(rank)).is_err() {
                continue;
            }
            claimed += 1;
            let view = daemons[rank].complete_view(now_ms).expect("a trial is known");
            daemons.iter_mut().for_each(|daemon| daemon.merge(now_ms, &view, &Rank(0)));
        }
    }
    assert!(claimed <= 3, "{claimed} trials wait, and five crashes are known");
}
