//! Tests of answer assembly across connections and of online level reports.

use engine::backend::Token;
use engine::online_levels::OnlineLevels;
use engine::stream::Action;
use engine::stream::AnswerAssembler;
use engine::stream::Event;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;
use wire::ReplicaName;
use wire::RequestId;

fn token(id: &str, index: u32) -> Event {
    Event::Token(Token { request_id: RequestId::from(id), index, text: format!("t{index} ") })
}

#[test]
fn mismatched_and_repeated_tokens_are_discarded() {
    let mut answer = AnswerAssembler::new(RequestId::from("r"), true);
    assert_eq!(answer.step(token("other", 0)), Action::Discard);
    assert_eq!(answer.step(token("r", 0)), Action::Emit("t0 ".to_owned()));
    assert_eq!(answer.step(token("r", 0)), Action::Discard);
    assert_eq!(answer.step(token("r", 1)), Action::Emit("t1 ".to_owned()));
}

#[test]
fn missing_token_is_read_again_by_a_resume() {
    let mut answer = AnswerAssembler::new(RequestId::from("r"), true);
    answer.step(token("r", 0));
    assert_eq!(answer.step(token("r", 2)), Action::Resume { from_index: 1 });
}

#[test]
fn only_idempotent_request_continues_on_another_server() {
    let mut non_idempotent = AnswerAssembler::new(RequestId::from("r"), false);
    assert_eq!(non_idempotent.step(Event::UnknownRun), Action::Fail);
    let mut idempotent = AnswerAssembler::new(RequestId::from("r"), true);
    assert_eq!(idempotent.step(Event::UnknownRun), Action::ContinueElsewhere);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// The answer is a prefix of the expected one, whichever tokens arrive and in whichever order.
    #[test]
    fn answer_is_always_a_prefix_of_the_expected_one(
        steps in proptest::collection::vec((any::<bool>(), 0u32..6), 0..60)
    ) {
        let mut answer = AnswerAssembler::new(RequestId::from("r"), true);
        for (is_mismatched, index) in steps {
            answer.step(token(if is_mismatched { "other" } else { "r" }, index));
        }
        for (index, text) in answer.tokens().iter().enumerate() {
            prop_assert_eq!(text, &format!("t{index} "));
        }
    }
}

#[test]
fn online_level_increase_is_reported_at_once_and_decrease_later() {
    let mut levels = OnlineLevels::default();
    let replica = ReplicaName::from("r");
    assert_eq!(levels.on_start(0, &replica).map(|report| report.level), Some(1));
    assert_eq!(levels.on_start(1, &replica).map(|report| report.level), Some(2));
    levels.on_end(2, &replica);
    assert!(levels.take_due_reports(10).is_empty());
    let due = levels.take_due_reports(300);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].level, 1);
}

#[test]
fn many_online_requests_cause_few_level_reports() {
    let mut levels = OnlineLevels::default();
    let replica = ReplicaName::from("r");
    let reports = (0..200).filter(|now| levels.on_start(*now, &replica).is_some()).count();
    assert!(reports < 40, "{reports}");
}
