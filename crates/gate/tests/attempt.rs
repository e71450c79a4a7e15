//! Retries and refusals of one attempt of a client.

use gate::attempt::Attempt;
use gate::attempt::NextAction;
use gate::attempt::RetryPolicy;
use gate::attempt::SendFailure;
use gate::attempt::SilenceAction;
use gate::attempt::retry_after_ms;
use wire::Ran;
use wire::Reason;

fn policy() -> RetryPolicy {
    RetryPolicy { is_repeatable: false, is_resumable: false, max_runs: 2, give_up_at_ms: 1_000 }
}

fn refusal(next: NextAction) -> (Reason, Ran) {
    match next {
        NextAction::Refuse(refusal) => (refusal.reason, refusal.ran),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn only_a_repeatable_request_is_resent_after_it_may_have_run() {
    let mut attempt = Attempt::new(policy());
    let (reason, ran) = refusal(attempt.record_failure(0, SendFailure::NoAnswer));
    assert_eq!((reason, ran), (Reason::BackendLost, Ran::Unknown));

    let mut attempt = Attempt::new(RetryPolicy { is_repeatable: true, ..policy() });
    assert_eq!(attempt.record_failure(0, SendFailure::NoAnswer), NextAction::TryAnother);
    assert_eq!(refusal(attempt.record_failure(1, SendFailure::Garbled)).1, Ran::Unknown);
}

#[test]
fn a_request_refused_by_replicas_is_retried_and_not_run() {
    let mut attempt = Attempt::new(RetryPolicy { max_runs: 1, ..policy() });
    let mut last = NextAction::TryAnother;
    let mut sends = 0;
    while last == NextAction::TryAnother {
        last = attempt.record_failure(sends, SendFailure::TurnedAway);
        sends += 1;
    }
    assert!(sends > 1);
    assert_eq!(refusal(last).1, Ran::No);
}

#[test]
fn a_replica_that_leaves_before_the_send_uses_up_no_send() {
    let mut attempt = Attempt::new(RetryPolicy { max_runs: 1, ..policy() });
    for now_ms in 0..20 {
        let next = attempt.record_failure(now_ms, SendFailure::ReplicaLeaving);
        assert_eq!(next, NextAction::TryAnother);
    }
    assert!(!attempt.may_have_run());
    let late = attempt.record_failure(policy().give_up_at_ms, SendFailure::ReplicaLeaving);
    assert_eq!(refusal(late), (Reason::NoBackend, Ran::No));
}

#[test]
fn a_refusal_after_a_send_never_claims_not_run() {
    let mut attempt = Attempt::new(RetryPolicy { is_repeatable: true, max_runs: 3, ..policy() });
    attempt.record_failure(0, SendFailure::NoAnswer);
    assert_eq!(refusal(attempt.give_up(Reason::Overload, Some(100))).1, Ran::Unknown);
    let mut attempt = Attempt::new(policy());
    assert_eq!(refusal(attempt.give_up(Reason::Overload, Some(100))).1, Ran::No);
}

#[test]
fn a_started_answer_is_resumed_or_aborted_but_never_refused() {
    let mut attempt = Attempt::new(policy());
    attempt.record_answer_start();
    assert_eq!(
        attempt.record_failure(0, SendFailure::BrokenOff),
        NextAction::Abort(SendFailure::BrokenOff)
    );
    let resumable = RetryPolicy { is_repeatable: true, is_resumable: true, ..policy() };
    let mut attempt = Attempt::new(resumable);
    attempt.record_answer_start();
    assert_eq!(attempt.record_failure(0, SendFailure::BrokenOff), NextAction::TryAnother);
    assert_eq!(
        attempt.record_failure(0, SendFailure::Stalled),
        NextAction::Abort(SendFailure::Stalled)
    );
    assert!(matches!(attempt.give_up(Reason::Deadline, None), NextAction::Abort(_)));
}

#[test]
fn nothing_is_sent_after_the_attempt_has_ended() {
    let mut attempt = Attempt::new(RetryPolicy { is_repeatable: true, ..policy() });
    assert!(matches!(
        attempt.record_failure(1_000, SendFailure::Unreachable),
        NextAction::Refuse(_)
    ));
}

#[test]
fn a_timed_out_request_is_refused_with_an_unknown_outcome() {
    let mut attempt = Attempt::new(RetryPolicy { is_repeatable: true, ..policy() });
    let (reason, ran) = refusal(attempt.record_failure(1_000, SendFailure::TimedOut));
    assert_eq!((reason, ran), (Reason::Deadline, Ran::Unknown));
}

#[test]
fn the_slot_wait_leaves_the_client_time_to_retry() {
    assert_eq!(policy().slot_deadline_ms(100), 400);
    assert_eq!(
        policy().slot_deadline_ms(700),
        800,
        "a later send waits a third of the time that remains then"
    );
    assert_eq!(policy().slot_deadline_ms(1_200), 1_200);
}

#[test]
fn silence_never_ends_a_run_and_spends_no_run() {
    let policies = [
        policy(),
        RetryPolicy { is_repeatable: true, ..policy() },
        RetryPolicy { is_repeatable: true, max_runs: 1, ..policy() },
        RetryPolicy { is_repeatable: true, is_resumable: true, max_runs: 4, ..policy() },
    ];
    for policy in policies {
        let attempt = Attempt::new(policy);
        for now_ms in (0..2_000).step_by(100) {
            attempt.next_on_silence(now_ms);
        }
        assert_eq!(attempt.runs(), 0);
        let may_search = policy.is_repeatable && policy.max_runs > 1;
        let expected =
            if may_search { SilenceAction::SearchReplica } else { SilenceAction::KeepWaiting };
        assert_eq!(attempt.next_on_silence(0), expected);
        assert_eq!(attempt.next_on_silence(1_000), SilenceAction::KeepWaiting);
    }
}

#[test]
fn two_runs_at_once_are_within_the_most_runs() {
    for max_runs in 1..6 {
        let policy = RetryPolicy { is_repeatable: true, max_runs, ..policy() };
        let mut attempt = Attempt::new(policy);
        let mut runs = 1;
        while attempt.next_on_silence(0) == SilenceAction::SearchReplica {
            runs += 1;
            attempt.record_ended_run(SendFailure::Stalled);
        }
        assert_eq!(runs, max_runs);
        let next = attempt.record_failure(0, SendFailure::NoAnswer);
        assert!(matches!(next, NextAction::Refuse(_)), "{next:?}");
    }
}

#[test]
fn refusals_during_a_silence_use_up_neither_runs_nor_the_retries_after_it() {
    let mut attempt = Attempt::new(RetryPolicy { is_repeatable: true, ..policy() });
    for _ in 0..20 {
        assert_eq!(attempt.next_on_silence(0), SilenceAction::SearchReplica);
        attempt.record_ended_run(SendFailure::TurnedAway);
    }
    assert_eq!(attempt.runs(), 0);
    assert_eq!(attempt.record_failure(0, SendFailure::NoAnswer), NextAction::TryAnother);
}

#[test]
fn silent_started_answer_is_moved_only_if_it_can_be_resumed() {
    for is_resumable in [false, true] {
        let policy = RetryPolicy { is_repeatable: true, is_resumable, ..policy() };
        let mut attempt = Attempt::new(policy);
        attempt.record_answer_start();
        let expected =
            if is_resumable { SilenceAction::SearchReplica } else { SilenceAction::KeepWaiting };
        assert_eq!(attempt.next_on_silence(0), expected);
    }
}

/// Guards against a `Retry-After` of more than a third of the remaining time, which clients do not honour,
/// and against a change for refusals without an expected time.
#[test]
fn retry_after_is_the_expected_time_within_a_third_of_the_remaining_time() {
    assert_eq!(retry_after_ms(4_900, Some(1_300)), 1_300);
    assert_eq!(retry_after_ms(4_900, Some(1_650)), 1_613, "a third of 4,840 ms");
    assert_eq!(retry_after_ms(4_900, Some(0)), 50);
    assert_eq!(retry_after_ms(30, Some(1_300)), 50);
    assert_eq!(retry_after_ms(4_900, None), 816, "as before, a sixth");
}
