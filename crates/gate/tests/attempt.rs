//! What may be sent where, and what a client is told.

use gate::attempt::Attempt;
use gate::attempt::Failure;
use gate::attempt::Next;
use gate::attempt::Policy;
use wire::Ran;
use wire::Reason;

fn policy() -> Policy {
    Policy { is_repeatable: false, is_resumable: false, max_attempts: 2, give_up_at_ms: 1_000 }
}

fn refusal(next: Next) -> (Reason, Ran) {
    match next {
        Next::Refuse(refusal) => (refusal.reason, refusal.ran),
        other => panic!("{other:?} is no refusal"),
    }
}

#[test]
fn a_request_that_may_have_run_is_not_sent_again_unless_it_may_be_repeated() {
    let mut attempt = Attempt::new(policy());
    let (reason, ran) = refusal(attempt.failed(0, Failure::NoAnswer));
    assert_eq!((reason, ran), (Reason::BackendLost, Ran::Unknown));

    let mut attempt = Attempt::new(Policy { is_repeatable: true, ..policy() });
    assert_eq!(attempt.failed(0, Failure::NoAnswer), Next::TryAnother);
    assert_eq!(refusal(attempt.failed(1, Failure::Garbled)).1, Ran::Unknown);
}

#[test]
fn a_request_that_was_turned_away_goes_to_another_replica_and_counts_as_not_run() {
    let mut attempt = Attempt::new(Policy { max_attempts: 1, ..policy() });
    let mut last = Next::TryAnother;
    let mut sends = 0;
    while last == Next::TryAnother {
        last = attempt.failed(sends, Failure::TurnedAway);
        sends += 1;
    }
    assert!(sends > 1);
    assert_eq!(refusal(last).1, Ran::No);
}

#[test]
fn a_refusal_after_a_send_never_says_not_run() {
    let mut attempt = Attempt::new(Policy { is_repeatable: true, max_attempts: 3, ..policy() });
    attempt.failed(0, Failure::NoAnswer);
    assert_eq!(refusal(attempt.gave_up(Reason::Overload, Some(100))).1, Ran::Unknown);
    let mut attempt = Attempt::new(policy());
    assert_eq!(refusal(attempt.gave_up(Reason::Overload, Some(100))).1, Ran::No);
}

#[test]
fn a_started_answer_is_cut_or_goes_on_but_is_never_refused() {
    let mut attempt = Attempt::new(policy());
    attempt.answer_started();
    assert_eq!(attempt.failed(0, Failure::BrokenOff), Next::Cut(Failure::BrokenOff));
    let resumable = Policy { is_repeatable: true, is_resumable: true, ..policy() };
    let mut attempt = Attempt::new(resumable);
    attempt.answer_started();
    assert_eq!(attempt.failed(0, Failure::BrokenOff), Next::TryAnother);
    assert_eq!(attempt.failed(0, Failure::Stalled), Next::Cut(Failure::Stalled));
    assert!(matches!(attempt.gave_up(Reason::Deadline, None), Next::Cut(_)));
}

#[test]
fn nothing_is_sent_after_the_end_of_the_wait() {
    let mut attempt = Attempt::new(Policy { is_repeatable: true, ..policy() });
    assert!(matches!(attempt.failed(1_000, Failure::Unreachable), Next::Refuse(_)));
}

#[test]
fn a_request_whose_time_is_over_gets_its_final_answer() {
    let mut attempt = Attempt::new(Policy { is_repeatable: true, ..policy() });
    let (reason, ran) = refusal(attempt.failed(1_000, Failure::TimedOut));
    assert_eq!((reason, ran), (Reason::Deadline, Ran::Unknown));
}

#[test]
fn a_request_waits_for_a_slot_only_while_its_client_can_still_come_back() {
    assert_eq!(policy().slot_by_ms(100), 400);
    assert_eq!(policy().slot_by_ms(700), 800, "a later try waits a part of what is left then");
    assert_eq!(policy().slot_by_ms(1_200), 1_200);
}
