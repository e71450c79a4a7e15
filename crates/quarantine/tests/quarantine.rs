//! Tests of the quarantine: evidence, exchange between daemons, trials, expiry and bounds.

use quarantine::Change;
use quarantine::Delegates;
use quarantine::PromptPart;
use quarantine::Quarantine;
use quarantine::QuarantineView;
use quarantine::ReplicaIncarnation;
use quarantine::Suspect;
use quarantine::core::MAX_SOUND_SUSPECTS;
use quarantine::core::MAX_SUSPECTS;
use quarantine::view::MAX_VIEW_BYTES;
use quarantine::view::MAX_VIEW_SUSPECTS;
use wire::Millis;
use wire::ReplicaName;

fn part(id: &str) -> Suspect {
    Suspect::Part(PromptPart::from_id(id))
}

fn incarnation(number: usize) -> ReplicaIncarnation {
    ReplicaIncarnation::from(&ReplicaName::from(format!("replica-{number}")))
}

/// A daemon that acts for all others on no part, or on every part.
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

/// Records crashes of `count` incarnations, one every 500 ms from `start_ms` on.
fn crash(quarantine: &mut Quarantine, start_ms: Millis, parts: &[Suspect], count: usize) {
    for number in 0..count {
        let now_ms = start_ms + 500 * number as Millis;
        quarantine.record_crash(now_ms, parts, incarnation(number));
    }
}

fn is_blocked(quarantine: &Quarantine, now_ms: Millis, part: Suspect) -> bool {
    quarantine.blocking_suspect(now_ms, &[part], NEVER) == Some(part)
}

fn quarantined(now_ms: Millis, parts: &[Suspect]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, now_ms.saturating_sub(1_000), parts, 3);
    quarantine
}

fn merge(to: &mut Quarantine, now_ms: Millis, view: Option<QuarantineView>) {
    to.merge(now_ms, &view.expect("there is something to tell"), NEVER);
}

#[test]
fn part_is_quarantined_after_crashes_of_three_incarnations() {
    let deadly = part("dead");
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 0, &[deadly], 2);
    quarantine.record_crash(2_000, &[deadly], incarnation(1));
    assert!(!is_blocked(&quarantine, 2_000, deadly), "two incarnations, one of them twice");
    quarantine.record_crash(2_100, &[deadly], incarnation(2));
    assert!(is_blocked(&quarantine, 2_100, deadly));
    assert!(!is_blocked(&quarantine, 2_100, part("beef")));
    let changes = quarantine.take_changes();
    assert!(changes.contains(&Change::Quarantined { suspect: deadly, crashes: 3 }));
}

#[test]
fn shared_part_that_is_answered_is_never_quarantined() {
    let (first, deadly) = (part("a1"), part("dead"));
    let mut quarantine = Quarantine::default();
    for number in 0..20 {
        let now_ms = 300 * number as Millis;
        quarantine.record_sound(now_ms, &[first]);
        quarantine.record_crash(now_ms + 50, &[first, deadly], incarnation(number));
        assert!(!is_blocked(&quarantine, now_ms + 60, first));
    }
    assert!(is_blocked(&quarantine, 6_000, deadly));
}

#[test]
fn shared_part_is_not_blamed_for_crashes_of_quarantined_part_during_outage() {
    let (first, deadly) = (part("a1"), part("dead"));
    let mut quarantine = Quarantine::default();
    quarantine.record_sound(0, &[first]);
    crash(&mut quarantine, 60_000, &[first, deadly], 6);
    assert!(is_blocked(&quarantine, 63_000, deadly));
    assert!(!is_blocked(&quarantine, 63_000, first), "no answer since the outage began");
}

#[test]
fn replicas_that_crash_at_once_quarantine_no_part_in_use() {
    let used = part("a1");
    let mut quarantine = Quarantine::default();
    quarantine.record_sound(10_000, &[used]);
    for number in 0..8 {
        quarantine.record_crash(10_500 + number as Millis, &[used], incarnation(number));
    }
    assert!(!is_blocked(&quarantine, 10_600, used));
}

#[test]
fn part_that_turns_bad_after_sound_answers_is_quarantined() {
    let turned = part("a1");
    let mut quarantine = Quarantine::default();
    quarantine.record_sound(10_000, &[turned]);
    crash(&mut quarantine, 12_000, &[turned], 3);
    assert!(is_blocked(&quarantine, 13_000, turned));
}

#[test]
fn sound_answer_lifts_quarantine_at_every_daemon() {
    let wrong = part("a1");
    let mut here = quarantined(10_000, &[wrong]);
    let mut there = Quarantine::default();
    merge(&mut there, 10_010, here.complete_view(10_000));
    assert!(is_blocked(&there, 10_010, wrong));
    here.record_sound(11_000, &[wrong]);
    assert!(!is_blocked(&here, 11_000, wrong));
    merge(&mut there, 11_060, here.take_push(11_050));
    assert!(!is_blocked(&there, 11_060, wrong));
    assert_eq!(there.take_changes().last(), Some(&Change::Lifted { suspect: wrong }));
}

#[test]
fn old_crashes_of_returning_peer_do_not_count_after_sound_answer() {
    let wrong = part("a1");
    let cut_off = quarantined(10_000, &[wrong]);
    let mut here = Quarantine::default();
    here.record_sound(20_000, &[wrong]);
    merge(&mut here, 30_000, cut_off.complete_view(30_000));
    assert!(!is_blocked(&here, 30_000, wrong));
    let mut cut_off = cut_off;
    merge(&mut cut_off, 30_100, here.complete_view(30_100));
    assert!(!is_blocked(&cut_off, 30_100, wrong), "the peer learns of the sound answer");
}

#[test]
fn crashes_at_different_daemons_add_up_and_none_counts_twice() {
    let deadly = part("dead");
    let mut daemons = vec![Quarantine::default(); 3];
    for (number, daemon) in daemons.iter_mut().enumerate() {
        daemon.record_crash(5_000, &[deadly], incarnation(number.min(1)));
    }
    let views: Vec<_> = daemons.iter().map(|daemon| daemon.complete_view(5_100)).collect();
    let mut observer = Quarantine::default();
    for view in views.iter().cycle().take(12) {
        merge(&mut observer, 5_200, view.clone());
    }
    assert!(!is_blocked(&observer, 5_200, deadly), "two incarnations");
    daemons[0].record_crash(5_300, &[deadly], incarnation(2));
    merge(&mut observer, 5_400, daemons[0].take_push(5_400));
    assert!(is_blocked(&observer, 5_400, deadly));
}

#[test]
fn lost_push_is_repeated_and_restarted_daemon_learns_the_rest() {
    let deadly = part("dead");
    let mut here = quarantined(10_000, &[deadly]);
    assert!(here.take_push(10_050).is_some());
    assert!(here.take_push(10_200).is_none(), "nothing new");
    let mut missed_push = Quarantine::default();
    merge(&mut missed_push, 10_300, here.recent_view(10_250));
    assert!(is_blocked(&missed_push, 10_300, deadly));
    assert!(here.recent_view(11_500).is_none());
    let mut restarted = Quarantine::default();
    merge(&mut restarted, 40, missed_push.complete_view(50_000));
    assert!(is_blocked(&restarted, 40, deadly), "its clock began later");
}

#[test]
fn reporter_replies_to_suspicion_with_its_sound_answer() {
    let (first, deadly) = (part("a1"), part("dead"));
    let mut marker = Quarantine::default();
    crash(&mut marker, 59_000, &[first, deadly], 3);
    let mut reporter = Quarantine::default();
    reporter.record_sound(1_000, &[first]);
    let push = marker.take_push(60_000).expect("a push");
    let mut other = reporter.clone();
    reporter.merge(60_010, &push, ALWAYS);
    other.merge(60_010, &push, NEVER);
    assert!(other.take_push(60_050).is_none());
    merge(&mut marker, 60_060, reporter.take_push(60_050));
    assert!(!is_blocked(&marker, 60_060, first));
    assert!(is_blocked(&marker, 60_060, deadly));
    let answer = marker.complete_view(60_100).expect("a view");
    reporter.merge(60_110, &answer, NEVER);
    assert!(reporter.take_push(60_250).is_none());
}

#[test]
fn request_with_one_of_two_suspect_parts_shows_which_is_sound() {
    let (first, deadly) = (part("a1"), part("dead"));
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 10_000, &[first, deadly], 3);
    assert_eq!(quarantine.admit(11_010, &[first, deadly], ALWAYS), Err(first));
    assert_eq!(quarantine.admit(11_010, &[first], NEVER), Err(first), "reporters come first");
    assert_eq!(quarantine.admit(11_010, &[first], ALWAYS), Ok(()));
    assert_eq!(quarantine.admit(11_020, &[first], ALWAYS), Err(first), "one at a time");
    quarantine.record_sound(11_200, &[first]);
    assert_eq!(quarantine.admit(11_300, &[first], NEVER), Ok(()));
    assert_eq!(quarantine.admit(11_300, &[first, deadly], ALWAYS), Err(deadly));
    assert_eq!(quarantine.admit(13_900, &[deadly], ALWAYS), Err(deadly));
}

#[test]
fn part_that_crashes_without_the_other_suspect_is_not_let_through_again() {
    let (first, deadly) = (part("a1"), part("dead"));
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 10_000, &[first, deadly], 3);
    assert_eq!(quarantine.admit(12_100, &[deadly], NEVER), Ok(()));
    quarantine.record_crash(12_200, &[deadly], incarnation(8));
    assert_eq!(quarantine.admit(15_100, &[deadly], ALWAYS), Err(deadly));
}

#[test]
fn trial_of_sound_part_lifts_its_quarantine() {
    let wrong = part("a1");
    let mut quarantine = quarantined(10_000, &[wrong]);
    assert_eq!(quarantine.admit(70_000, &[wrong], ALWAYS), Ok(()));
    quarantine.record_sound(70_100, &[wrong]);
    assert_eq!(quarantine.admit(70_200, &[wrong], NEVER), Ok(()));
}

/// Returns the part because of which a job with these items is refused.
fn refuse(
    quarantine: &mut Quarantine,
    now_ms: Millis,
    items: &[&[Suspect]],
    delegates: &dyn Delegates,
) -> Option<Suspect> {
    let items: Vec<Vec<Suspect>> = items.iter().map(|item| item.to_vec()).collect();
    quarantine.refuse_job(now_ms, &items, delegates).map(|(_, suspect)| suspect)
}

#[test]
fn item_of_a_new_job_is_refused_for_every_part_that_it_would_be_held_for() {
    let (first, deadly) = (part("a1"), part("dead"));
    let mut quarantine = quarantined(10_000, &[deadly]);
    assert_eq!(refuse(&mut quarantine, 10_000, &[&[first, deadly]], ALWAYS), Some(deadly));
    assert_eq!(refuse(&mut quarantine, 10_000, &[&[first]], ALWAYS), None);
    let due_ms = 10_000 + quarantine.trial_due_in_ms(10_000, deadly).expect("a trial is left");
    let held_first = refuse(&mut quarantine, due_ms, &[&[deadly]], ALWAYS);
    assert_eq!(held_first, Some(deadly), "held items come first");
    let late_ms = due_ms + 10_000;
    assert_eq!(refuse(&mut quarantine, late_ms, &[&[deadly]], NEVER), Some(deadly));
    assert_eq!(refuse(&mut quarantine, late_ms, &[&[deadly]], ALWAYS), None, "nobody holds one");
    assert_eq!(refuse(&mut quarantine, late_ms + 1, &[&[deadly]], ALWAYS), Some(deadly));
    let mut both = quarantined(10_000, &[first, deadly]);
    assert_eq!(refuse(&mut both, 10_000, &[&[first, deadly]], ALWAYS), Some(first));
    assert_eq!(refuse(&mut both, 11_500, &[&[first]], ALWAYS), None, "its run tells them apart");
    assert_eq!(refuse(&mut both, 11_600, &[&[first]], ALWAYS), Some(first), "one job is enough");
}

// Guards against refusing every job with a sound part, since only jobs with a single such item were accepted.
#[test]
fn job_with_several_items_of_a_sound_part_clears_it() {
    let (first, deadly) = (part("a1"), part("dead"));
    let mut both = quarantined(10_000, &[first, deadly]);
    let mixed: [&[Suspect]; 3] = [&[first], &[first, deadly], &[first]];
    assert!(refuse(&mut both, 11_500, &mixed, ALWAYS).is_some());
    assert_eq!(refuse(&mut both, 11_600, &[&[first], &[first], &[first]], ALWAYS), None);
}

// Guards against a sound part that stays quarantined beside the one that crashes replicas with other parts too.
#[test]
fn part_is_released_once_another_one_has_all_its_crashes_and_more() {
    let (first, other, deadly) = (part("a1"), part("a2"), part("dead"));
    let mut both = quarantined(10_000, &[first, deadly]);
    assert_eq!(both.admit(11_500, &[other, deadly], ALWAYS), Ok(()), "it tells the two apart");
    both.record_crash(11_600, &[other, deadly], incarnation(9));
    assert_eq!(both.admit(11_700, &[first], NEVER), Ok(()));
    assert_eq!(both.admit(11_700, &[first, deadly], NEVER), Err(deadly));
}

#[test]
fn part_is_forgotten_ten_minutes_after_its_last_request_anywhere() {
    let deadly = part("dead");
    let mut here = quarantined(10_000, &[deadly]);
    let mut there = Quarantine::default();
    merge(&mut there, 10_010, here.complete_view(10_010));
    assert_eq!(there.admit(300_000, &[deadly], NEVER), Err(deadly));
    // The two tell each other all they know, with a delay, until both have forgotten.
    let mut forgotten_ms = None;
    for second in 301..1_200 {
        let now_ms = second * 1_000;
        for (from, to) in [(true, false), (false, true)] {
            let view = if from { here.complete_view(now_ms) } else { there.complete_view(now_ms) };
            let target = if to { &mut here } else { &mut there };
            if let Some(view) = view {
                target.merge(now_ms + 200, &view, NEVER);
            }
        }
        here.tick(now_ms + 300);
        there.tick(now_ms + 300);
        let is_forgotten =
            !is_blocked(&here, now_ms, deadly) && !is_blocked(&there, now_ms, deadly);
        if is_forgotten && forgotten_ms.is_none() {
            forgotten_ms = Some(now_ms);
        }
        assert!(is_forgotten == forgotten_ms.is_some(), "a forgotten part came back");
    }
    let forgotten_ms = forgotten_ms.expect("the part is forgotten");
    assert!((900_000..=902_000).contains(&forgotten_ms), "{forgotten_ms}");
}

#[test]
fn memory_and_messages_are_bounded() {
    let mut quarantine = Quarantine::default();
    let deadly = part("ffffffffffffffff");
    crash(&mut quarantine, 1_000, &[deadly], 9);
    for number in 0..3 * MAX_SUSPECTS {
        let parts = [part(&format!("{:016x}", u64::MAX - 1 - number as u64))];
        for replica in 0..9 {
            let now_ms = 10_000 + number as Millis;
            quarantine.record_crash(
                now_ms,
                &parts[..usize::from(replica < 2)],
                incarnation(replica),
            );
        }
    }
    for number in 0..3 * MAX_SOUND_SUSPECTS {
        quarantine.record_sound(20_000 + number as Millis, &[part(&format!("{number:x}"))]);
    }
    let (records, sounds) = quarantine.sizes();
    assert!(records <= MAX_SUSPECTS && sounds <= MAX_SOUND_SUSPECTS);
    assert!(is_blocked(&quarantine, 40_000, deadly), "the quarantined part is kept");
    let view = quarantine.complete_view(40_000).expect("a view");
    assert_eq!(view.parts.len(), MAX_VIEW_SUSPECTS);
    assert_eq!(Suspect::Part(view.parts[0].part), deadly);
}

#[test]
fn largest_message_fits_an_ethernet_frame() {
    let mut quarantine = Quarantine::default();
    for number in 0..MAX_VIEW_SUSPECTS {
        let parts = [part(&format!("{:016x}", u64::MAX - number as u64))];
        quarantine.record_sound(1_000, &parts);
        crash(&mut quarantine, 10_000, &parts, 9);
        quarantine.admit(100_000, &parts, ALWAYS).expect("a trial");
    }
    let view = quarantine.complete_view(700_000).expect("a view");
    let bytes = postcard::to_allocvec(&view).expect("a view can be encoded");
    assert!(bytes.len() <= MAX_VIEW_BYTES, "{} bytes", bytes.len());
    assert_eq!(QuarantineView::decode(&bytes), Ok(view));
}

#[test]
fn message_with_too_many_parts_is_cut() {
    let mut sender = Quarantine::default();
    crash(&mut sender, 1_000, &[part("dead")], 3);
    let mut view = sender.complete_view(2_000).expect("a view");
    for number in 0..1_000 {
        let mut other = view.parts[0].clone();
        other.part = PromptPart::from_id(&format!("{number:x}"));
        view.parts.push(other);
    }
    let mut quarantine = Quarantine::default();
    quarantine.merge(2_100, &view, NEVER);
    assert!(quarantine.sizes().0 <= MAX_VIEW_SUSPECTS);
}
