//! Tests of the quarantine of requests: evidence, what it means for shared parts, trials, and the
//! exchange with older builds.

use quarantine::Delegates;
use quarantine::PromptPart;
use quarantine::Quarantine;
use quarantine::QuarantineView;
use quarantine::ReplicaIncarnation;
use quarantine::RequestFingerprint;
use quarantine::Suspect;
use serde::Deserialize;
use serde::Serialize;
use wire::Millis;
use wire::ReplicaName;

fn request(name: &str) -> Suspect {
    Suspect::Request(RequestFingerprint::of_fields(&[name.as_bytes()]))
}

fn part(id: &str) -> Suspect {
    Suspect::Part(PromptPart::from_id(id))
}

fn incarnation(number: usize) -> ReplicaIncarnation {
    ReplicaIncarnation::from(&ReplicaName::from(format!("replica-{number}")))
}

/// A daemon that acts for all others on no suspect, or on every suspect.
struct Acts(bool);

impl Delegates for Acts {
    fn trial_rank(&self, _: Suspect) -> Option<usize> {
        self.0.then_some(0)
    }

    fn is_reporter(&self, _: Suspect) -> bool {
        self.0
    }
}

const NEVER: &Acts = &Acts(false);
const ALWAYS: &Acts = &Acts(true);

/// Records crashes of the incarnations `numbers`, one every 500 ms from `start_ms` on.
fn crash(
    quarantine: &mut Quarantine,
    start_ms: Millis,
    suspects: &[Suspect],
    numbers: std::ops::Range<usize>,
) {
    let first = numbers.start;
    for number in numbers {
        let now_ms = start_ms + 500 * (number - first) as Millis;
        quarantine.record_crash(now_ms, suspects, incarnation(number));
    }
}

fn blocking(quarantine: &Quarantine, now_ms: Millis, suspects: &[Suspect]) -> Option<Suspect> {
    quarantine.blocking_suspect(now_ms, suspects, NEVER)
}

#[test]
fn request_is_quarantined_after_crashes_of_three_incarnations_and_its_parts_are_not() {
    let (deadly, shared) = (request("deadly"), part("a1"));
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 0, &[deadly, shared], 0..2);
    assert_eq!(blocking(&quarantine, 1_000, &[deadly, shared]), None);
    crash(&mut quarantine, 1_000, &[deadly, shared], 2..3);
    assert_eq!(blocking(&quarantine, 1_100, &[deadly, shared]), Some(deadly));
    assert_eq!(blocking(&quarantine, 1_100, &[request("sound"), shared]), None);
    crash(&mut quarantine, 1_500, &[deadly, shared], 3..12);
    assert_eq!(blocking(&quarantine, 6_100, &[request("sound"), shared]), None);
}

#[test]
fn answers_to_requests_that_share_parts_do_not_clear_the_request() {
    let (deadly, shared) = (request("deadly"), part("a1"));
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let now_ms = 500 * number as Millis;
        quarantine.record_crash(now_ms, &[deadly, shared], incarnation(number));
        quarantine.record_sound(now_ms + 100, &[request("sound"), shared]);
    }
    assert_eq!(blocking(&quarantine, 1_200, &[deadly, shared]), Some(deadly));
}

#[test]
fn part_is_quarantined_by_fifth_crash_although_each_request_is_retried() {
    let tainted = part("dead");
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 0, &[request("first"), tainted], 0..3);
    assert_eq!(blocking(&quarantine, 1_100, &[request("other"), tainted]), None);
    crash(&mut quarantine, 1_500, &[request("second"), tainted], 3..5);
    assert_eq!(blocking(&quarantine, 2_100, &[request("other"), tainted]), Some(tainted));
}

#[test]
fn part_of_three_requests_is_quarantined_after_three_crashes() {
    let tainted = part("dead");
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let suspects = [request(&format!("{number}")), tainted];
        quarantine.record_crash(500 * number as Millis, &suspects, incarnation(number));
    }
    assert_eq!(blocking(&quarantine, 1_100, &[request("other"), tainted]), Some(tainted));
}

#[test]
fn item_that_is_lost_beside_crashing_request_is_no_evidence_against_its_parts() {
    let (deadly, other) = (request("deadly"), part("b1"));
    let mut quarantine = Quarantine::default();
    for number in 0..4 {
        let now_ms = 500 * number as Millis;
        quarantine.record_crash(now_ms, &[other], incarnation(number));
        quarantine.record_crash(now_ms, &[deadly], incarnation(number));
    }
    assert_eq!(blocking(&quarantine, 2_000, &[other]), None);
    assert_eq!(blocking(&quarantine, 2_000, &[deadly]), Some(deadly));
}

#[test]
fn request_lost_beside_crashing_one_is_cleared_by_its_answer() {
    let (deadly, beside) = (request("deadly"), request("beside"));
    let mut quarantine = Quarantine::default();
    for number in 0..2 {
        quarantine.record_crash(500, &[deadly], incarnation(number));
        quarantine.record_crash(500, &[beside], incarnation(number));
    }
    quarantine.record_sound(900, &[beside]);
    crash(&mut quarantine, 1_000, &[deadly], 2..3);
    crash(&mut quarantine, 1_000, &[beside], 2..3);
    assert_eq!(blocking(&quarantine, 1_100, &[beside]), None);
    assert_eq!(blocking(&quarantine, 1_100, &[deadly]), Some(deadly));
}

#[test]
fn request_lost_in_same_crashes_is_released_by_one_trial_of_the_owner() {
    let (deadly, beside) = (request("deadly"), request("beside"));
    let mut owner = Quarantine::default();
    crash(&mut owner, 0, &[deadly], 0..3);
    crash(&mut owner, 0, &[beside], 0..3);
    assert_eq!(blocking(&owner, 2_600, &[beside]), Some(beside));
    assert_eq!(owner.admit(2_600, &[beside], NEVER), Err(beside), "only the owner tries");
    assert_eq!(owner.admit(2_600, &[beside], ALWAYS), Ok(()));
    owner.record_sound(2_700, &[beside]);
    assert_eq!(owner.admit(2_800, &[beside], NEVER), Ok(()));
    assert_eq!(owner.admit(2_800, &[deadly], ALWAYS), Ok(()), "the trial of the other one");
    crash(&mut owner, 2_900, &[deadly], 3..4);
    assert_eq!(owner.admit(10_000, &[deadly], ALWAYS), Err(deadly));
    assert_eq!(owner.admit(62_900, &[deadly], ALWAYS), Ok(()));
    assert_eq!(owner.admit(300_000, &[deadly], ALWAYS), Err(deadly), "no third trial");
}

#[test]
fn request_lost_in_some_crashes_of_a_worse_one_is_not_quarantined() {
    let (deadly, beside) = (request("deadly"), request("beside"));
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 0, &[deadly], 0..4);
    crash(&mut quarantine, 0, &[beside], 0..3);
    assert_eq!(blocking(&quarantine, 2_000, &[beside]), None);
    assert_eq!(blocking(&quarantine, 2_000, &[deadly]), Some(deadly));
}

#[test]
fn request_lost_beside_crashing_one_stays_free_however_often_that_one_crashes_replicas() {
    let (deadly, beside) = (request("deadly"), request("beside"));
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 0, &[beside], 0..3);
    crash(&mut quarantine, 0, &[deadly], 0..4);
    for number in 4..12 {
        assert_eq!(blocking(&quarantine, 3_000, &[beside]), None, "{number} crashes");
        crash(&mut quarantine, 3_000, &[deadly], number..number + 1);
    }
}

#[test]
fn restarted_daemon_learns_of_request_and_of_trial_from_a_peer() {
    let deadly = request("deadly");
    let mut here = Quarantine::default();
    crash(&mut here, 0, &[deadly, part("a1")], 0..3);
    assert_eq!(here.admit(2_600, &[deadly], ALWAYS), Ok(()));
    let view = here.complete_view(3_000).expect("a view");
    let bytes = postcard::to_allocvec(&view).expect("a view is encoded");
    let view = QuarantineView::decode(&bytes).expect("a view is decoded");
    let mut restarted = Quarantine::default();
    restarted.merge(40, &view, NEVER);
    assert_eq!(restarted.admit(50, &[deadly], ALWAYS), Err(deadly));
    assert_eq!(blocking(&restarted, 50, &[request("sound"), part("a1")]), None);
}

/// The message as builds without requests encode and decode it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldView {
    parts: Vec<OldPartView>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldPartView {
    part: PromptPart,
    crashes: Vec<(ReplicaIncarnation, u32)>,
    sound_age_ms: Option<u32>,
    requested_age_ms: u32,
    trials: u8,
    trial_age_ms: u32,
}

#[test]
fn older_build_reads_the_parts_and_its_message_is_understood() {
    let id = PromptPart::from_id("dead");
    let mut here = Quarantine::default();
    for number in 0..3 {
        let suspects = [request(&format!("{number}")), Suspect::Part(id)];
        here.record_crash(1_000, &suspects, incarnation(number));
    }
    let view = here.complete_view(1_500).expect("a view");
    assert_eq!((view.parts.len(), view.requests.len()), (1, 3));
    let bytes = postcard::to_allocvec(&view).expect("a view is encoded");
    let old: OldView = postcard::from_bytes(&bytes).expect("an older build decodes it");
    assert_eq!(old.parts.len(), 1);
    assert_eq!((old.parts[0].part, old.parts[0].crashes.len()), (id, 3));
    let old_bytes = postcard::to_allocvec(&old).expect("a view is encoded");
    let decoded = QuarantineView::decode(&old_bytes).expect("a message without requests");
    assert_eq!((decoded.parts, decoded.requests.len()), (view.parts, 0));
    assert!(QuarantineView::decode(&bytes[..bytes.len() - 1]).is_err(), "a truncated message");
}

#[test]
fn single_crash_of_a_request_expires_after_two_minutes() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1_000, &[request("lost")], 0..1);
    quarantine.tick(120_000);
    assert!(quarantine.has_suspects());
    quarantine.tick(121_000);
    assert!(!quarantine.has_suspects());
}

#[test]
fn answers_to_requests_without_evidence_take_no_memory() {
    let mut quarantine = Quarantine::default();
    for number in 0..100 {
        quarantine.record_sound(1_000, &[request(&format!("{number}"))]);
    }
    assert_eq!(quarantine.sizes(), (0, 0));
}

#[test]
fn quarantine_is_not_forgotten_while_requests_are_refused_before_they_ask_for_a_slot() {
    for suspect in [request("deadly"), part("dead")] {
        let mut quarantine = Quarantine::default();
        crash(&mut quarantine, 0, &[suspect], 0..3);
        for minute in 1..=40 {
            let now_ms = 60_000 * minute;
            assert_eq!(quarantine.refuse_early(now_ms, &[suspect], NEVER), Some(suspect));
            quarantine.tick(now_ms);
        }
        quarantine.tick(60_000 * 50 + 1);
        assert_eq!(blocking(&quarantine, 60_000 * 51, &[suspect]), None);
    }
}

#[test]
fn trial_that_reaches_no_replica_is_not_spent() {
    for (suspect, due_ms) in [(request("deadly"), 2_500), (part("dead"), 4_000)] {
        let mut owner = Quarantine::default();
        crash(&mut owner, 0, &[suspect], 0..3);
        for send in 0..5 {
            let now_ms = due_ms + 10 * send;
            assert_eq!(owner.admit(now_ms, &[suspect], ALWAYS), Ok(()), "send {send}");
            owner.cancel_trials(now_ms, now_ms, &[suspect]);
        }
        assert_eq!(owner.admit(due_ms + 100, &[suspect], ALWAYS), Ok(()));
        owner.cancel_trials(due_ms + 100, due_ms + 99, &[suspect]);
        assert_eq!(owner.admit(due_ms + 200, &[suspect], ALWAYS), Err(suspect), "a trial runs");
    }
}
