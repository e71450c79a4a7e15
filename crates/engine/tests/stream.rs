//! An answer is put together once and whole, whatever its connections do.

use engine::backend::Token;
use engine::levels::Levels;
use engine::stream::Action;
use engine::stream::Assembly;
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
fn crossed_and_repeated_tokens_are_dropped() {
    let mut assembly = Assembly::new(RequestId::from("r"), true);
    assert_eq!(assembly.step(token("other", 0)), Action::Drop);
    assert_eq!(assembly.step(token("r", 0)), Action::Emit("t0 ".to_owned()));
    assert_eq!(assembly.step(token("r", 0)), Action::Drop);
    assert_eq!(assembly.step(token("r", 1)), Action::Emit("t1 ".to_owned()));
}

#[test]
fn a_gap_is_read_again() {
    let mut assembly = Assembly::new(RequestId::from("r"), true);
    assembly.step(token("r", 0));
    assert_eq!(assembly.step(token("r", 2)), Action::Resume { from_index: 1 });
}

#[test]
fn only_an_idempotent_request_goes_on_elsewhere() {
    let mut once = Assembly::new(RequestId::from("r"), false);
    assert_eq!(once.step(Event::UnknownRun), Action::Fail);
    let mut again = Assembly::new(RequestId::from("r"), true);
    assert_eq!(again.step(Event::UnknownRun), Action::Continue);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Whatever arrives in whatever order, the answer is a prefix of the right one.
    #[test]
    fn the_answer_is_never_wrong(steps in proptest::collection::vec((any::<bool>(), 0u32..6), 0..60)) {
        let mut assembly = Assembly::new(RequestId::from("r"), true);
        for (is_crossed, index) in steps {
            assembly.step(token(if is_crossed { "other" } else { "r" }, index));
        }
        for (index, text) in assembly.tokens().iter().enumerate() {
            prop_assert_eq!(text, &format!("t{index} "));
        }
    }
}

#[test]
fn a_rise_is_reported_at_once_and_a_fall_after_a_pause() {
    let mut levels = Levels::default();
    let replica = ReplicaName::from("r");
    assert_eq!(levels.on_start(0, &replica).map(|report| report.level), Some(1));
    assert_eq!(levels.on_start(1, &replica).map(|report| report.level), Some(2));
    levels.on_end(2, &replica);
    assert!(levels.due(10).is_empty());
    let due = levels.due(300);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].level, 1);
}

#[test]
fn many_requests_need_few_reports() {
    let mut levels = Levels::default();
    let replica = ReplicaName::from("r");
    let reports = (0..200).filter(|now| levels.on_start(*now, &replica).is_some()).count();
    assert!(reports < 40, "{reports}");
}
