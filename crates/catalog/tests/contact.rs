//! Tests of the fleet's contact with the store.

use catalog::ContactReport;
use catalog::StoreContact;
use catalog::contact::MAX_CONTACT_GAP_MS;
use wire::Millis;

const STEP_MS: Millis = 200;

fn contact(answers_ms: impl IntoIterator<Item = Millis>) -> StoreContact {
    let mut contact = StoreContact::default();
    answers_ms.into_iter().for_each(|answered_ms| contact.record_answer(answered_ms, answered_ms));
    contact
}

#[test]
fn gap_over_the_limit_begins_a_new_interval() {
    let mut contact = contact([100, 100 + MAX_CONTACT_GAP_MS]);
    assert_eq!(contact.since_ms(), Some(100));
    let after_gap_ms = 101 + 2 * MAX_CONTACT_GAP_MS;
    let since_ms = Some(after_gap_ms as i64);
    assert!(contact.is_interrupted(after_gap_ms) && !contact.is_interrupted(after_gap_ms - 1));
    contact.record_answer(after_gap_ms, after_gap_ms);
    assert_eq!((contact.since_ms(), contact.latest_ms()), (since_ms, since_ms));
}

#[test]
fn reports_of_peers_close_a_gap_of_this_daemon_in_either_order() {
    let report = ContactReport { since_age_ms: 9_000, latest_age_ms: 100 };
    let mut before = contact([0]);
    before.merge(9_000, report);
    before.record_answer(9_000, 9_000);
    let mut after = contact([0, 9_000]);
    assert_eq!(after.since_ms(), Some(9_000));
    after.merge(9_000, report);
    for contact in [before, after] {
        assert_eq!((contact.since_ms(), contact.latest_ms()), (Some(0), Some(9_000)));
        assert!(contact.has_lasted(9_000) && !contact.has_lasted(9_001));
    }
}

#[test]
fn later_of_two_separate_intervals_counts() {
    let mut contact = contact([0]);
    contact.merge(9_000, ContactReport { since_age_ms: 500, latest_age_ms: 300 });
    assert_eq!((contact.since_ms(), contact.latest_ms()), (Some(8_500), Some(8_700)));
    contact.merge(9_000, ContactReport { since_age_ms: 8_000, latest_age_ms: 7_000 });
    assert_eq!((contact.since_ms(), contact.latest_ms()), (Some(8_500), Some(8_700)));
}

// Guards against an outage that is hidden by reports which peers repeat with a delay each.
#[test]
fn answer_heard_of_is_not_reported_as_own() {
    let mut daemons = [contact([0]), StoreContact::default(), StoreContact::default()];
    for now_ms in (STEP_MS..3_000).step_by(STEP_MS as usize) {
        for from in 0..daemons.len() {
            let Some(report) = daemons[from].report(now_ms) else { continue };
            assert_eq!(report.latest_age_ms, now_ms);
            daemons.iter_mut().for_each(|daemon| daemon.merge(now_ms + 30, report));
        }
    }
    assert!(daemons.iter().all(|daemon| daemon.is_interrupted(3_000)));
}

// Guards against an outage that is hidden by messages which waited while this daemon was paused.
#[test]
fn messages_that_waited_during_a_pause_are_ignored() {
    let mut contact = contact([0]);
    contact.tick(0);
    let report = ContactReport { since_age_ms: 100, latest_age_ms: 10 };
    contact.merge(4_000, report);
    contact.record_answer(4_000, 4_000);
    contact.tick(4_001);
    contact.merge(4_010, report);
    assert_eq!(contact.latest_ms(), Some(0));
    for now_ms in (4_050..=4_500).step_by(50) {
        contact.tick(now_ms);
    }
    contact.record_answer(4_500, 4_010);
    assert_eq!(contact.latest_ms(), Some(0), "the answer may have waited");
    contact.record_answer(4_500, 4_500);
    assert_eq!(contact.since_ms(), Some(4_500));
}

#[test]
fn times_and_ages_near_the_limits_do_not_overflow() {
    let mut contact = contact([5]);
    contact.merge(10, ContactReport { since_age_ms: u64::MAX, latest_age_ms: u64::MAX });
    contact.merge(10, ContactReport { since_age_ms: 0, latest_age_ms: u64::MAX });
    assert_eq!((contact.since_ms(), contact.latest_ms()), (Some(5), Some(5)));
}

// Guards against ages that are cut off at the start of this daemon's clock.
#[test]
fn reports_from_before_the_start_of_this_daemon_count_in_full() {
    let mut started = StoreContact::default();
    started.merge(100, ContactReport { since_age_ms: 60_000, latest_age_ms: 100 });
    assert!(started.has_lasted(59_900));
    let mut in_outage = StoreContact::default();
    in_outage.merge(100, ContactReport { since_age_ms: 60_000, latest_age_ms: 3_100 });
    in_outage.record_answer(1_200, 1_200);
    assert_eq!(in_outage.since_ms(), Some(1_200));
}
