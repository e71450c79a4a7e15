//! Tests of the fleet's contact with the store.

use catalog::ContactReport;
use catalog::SendTime;
use catalog::StoreContact;
use catalog::contact::MAX_CONTACT_GAP_MS;
use catalog::sender_clock::SenderClocks;
use wire::DaemonName;
use wire::Millis;

const STEP_MS: Millis = 200;
const PEER_AHEAD_MS: Millis = 700_000;

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

fn sent(sender: &DaemonName, sent_ms: Millis) -> SendTime<'_> {
    SendTime { sender, incarnation: 1, sent_ms }
}

/// Returns a contact that has heard of answers up to `until_ms` from a peer whose clock is ahead by
/// `PEER_AHEAD_MS`.
fn contact_by_peer(peer: &DaemonName, until_ms: Millis) -> StoreContact {
    let mut contact = StoreContact::default();
    for now_ms in (0..=until_ms).step_by(50) {
        contact.tick(now_ms);
        if now_ms.is_multiple_of(200) {
            let report = ContactReport { since_age_ms: now_ms, latest_age_ms: 10 };
            contact.merge_sent(now_ms + 5, sent(peer, now_ms + PEER_AHEAD_MS), report);
        }
    }
    contact
}

// Guards against an outage that is hidden by a report which was on its way during the outage, both
// before and after the first answer, and at a time that would close the gap.
#[test]
fn late_report_counts_from_its_sending_on() {
    let peer = DaemonName::from("peer");
    let report = ContactReport { since_age_ms: 10_000, latest_age_ms: 0 };
    for arrives_ms in [11_000, 12_000, 12_950, 13_050] {
        let mut contact = contact_by_peer(&peer, 10_000);
        for now_ms in (10_050..=14_000).step_by(50) {
            contact.tick(now_ms);
            if now_ms == arrives_ms {
                contact.merge_sent(now_ms, sent(&peer, 10_000 + PEER_AHEAD_MS), report);
            }
            if now_ms >= 13_000 {
                contact.record_answer(now_ms, now_ms);
            }
        }
        assert_eq!(contact.since_ms(), Some(13_000), "arrived at {arrives_ms}");
    }
}

// Guards against a gap that stays though a peer had answers all the time, of which nothing was heard.
#[test]
fn report_in_time_closes_a_gap_that_was_noticed() {
    let peer = DaemonName::from("peer");
    let mut contact = contact_by_peer(&peer, 10_000);
    (10_050..14_000).step_by(50).for_each(|now_ms| contact.tick(now_ms));
    assert!(contact.is_interrupted(13_950));
    let report = ContactReport { since_age_ms: 14_000, latest_age_ms: 10 };
    contact.merge_sent(14_005, sent(&peer, 14_000 + PEER_AHEAD_MS), report);
    assert!(contact.is_unbroken_for(14_005, 13_900));
}

// Guards against an outage that is hidden by a late report of a build that does not state when it
// was sent, after the first answer.
#[test]
fn report_of_unknown_delay_does_not_close_a_gap_that_was_noticed() {
    let mut contact = contact([0]);
    for now_ms in (0..=10_000).step_by(50) {
        contact.tick(now_ms);
        contact.record_answer(now_ms, now_ms);
    }
    (10_050..13_000).step_by(50).for_each(|now_ms| contact.tick(now_ms));
    contact.record_answer(13_000, 13_000);
    contact.merge(13_100, ContactReport { since_age_ms: 10_000, latest_age_ms: 0 });
    assert!(!contact.has_lasted(200));
    for now_ms in (13_100..16_000).step_by(200) {
        contact.tick(now_ms);
        contact.merge(now_ms, ContactReport { since_age_ms: 14_000, latest_age_ms: 0 });
    }
    assert!(contact.has_lasted(2_800), "the contact since the gap counts");
}

// Guards against reports that count as late for ever after the sender's host was suspended, and
// against a restarted sender whose clock starts anew.
#[test]
fn clock_of_a_sender_is_known_again_after_it_changed() {
    let peer = DaemonName::from("peer");
    let mut clocks = SenderClocks::default();
    assert_eq!(clocks.record_arrival(0, sent(&peer, 500)), None);
    assert_eq!(clocks.record_arrival(2_000, sent(&peer, 2_500)), Some(0));
    assert_eq!(clocks.record_arrival(3_000, sent(&peer, 3_200)), Some(300));
    let suspended: Vec<_> = (4_000..200_000)
        .step_by(1_000)
        .map(|now_ms| clocks.record_arrival(now_ms, sent(&peer, now_ms - 3_500)))
        .collect();
    assert_eq!(suspended.first(), Some(&Some(4_000)));
    assert_eq!(suspended.last(), Some(&Some(0)));
    let restarted = SendTime { sender: &peer, incarnation: 2, sent_ms: 5 };
    assert_eq!(clocks.record_arrival(200_000, restarted), None);
}

// Guards against senders, or incarnations that one states, whose clocks are remembered without a bound.
#[test]
fn clocks_of_senders_are_bounded() {
    let peer = DaemonName::from("peer");
    let mut clocks = SenderClocks::default();
    assert_eq!(clocks.record_arrival(0, sent(&peer, 0)), None);
    for incarnation in 2..20_000 {
        let foreign = SendTime { sender: &peer, incarnation, sent_ms: 0 };
        clocks.record_arrival(0, foreign);
    }
    assert_eq!(clocks.remembered(), 4_096);
    assert_eq!(clocks.record_arrival(2_000, sent(&peer, 2_000)), Some(0), "known before");
    let unknown = SendTime { sender: &peer, incarnation: 20_000, sent_ms: 0 };
    assert_eq!(clocks.record_arrival(2_000, unknown), None);
    assert_eq!(clocks.record_arrival(4_000, unknown), None, "its delay stays unknown");
    clocks.tick(200_000);
    assert_eq!(clocks.remembered(), 0);
}
