//! Tests which answers on a connection are taken for the answer to a request.

use gate::codec::AnswerMeta;
use gate::ownership::ConnectionHistory;
use gate::ownership::Ownership;
use gate::ownership::of_answer;
use wire::RequestId;

const NEW: ConnectionHistory = ConnectionHistory { is_reused: false, has_same_id: false };
const REUSED: ConnectionHistory = ConnectionHistory { is_reused: true, has_same_id: false };
const SAME_ID: ConnectionHistory = ConnectionHistory { is_reused: true, has_same_id: true };

fn ownership(id: Option<&str>, is_not_run: bool, history: ConnectionHistory) -> Ownership {
    let meta =
        AnswerMeta { request_id: id.map(RequestId::from), is_not_run, ..AnswerMeta::default() };
    of_answer(&meta, &RequestId::from("own"), history)
}

#[test]
fn refusal_is_believed_only_with_the_id_of_a_request_that_the_connection_carries_once() {
    assert_eq!(ownership(Some("own"), true, NEW), Ownership::Own);
    assert_eq!(ownership(Some("own"), true, REUSED), Ownership::Own);
    assert_eq!(ownership(Some("own"), true, SAME_ID), Ownership::Earlier);
    assert_eq!(ownership(Some("other"), true, NEW), Ownership::Earlier);
    assert_eq!(ownership(None, true, NEW), Ownership::Unknown);
    assert_eq!(ownership(None, true, REUSED), Ownership::Earlier);
}

#[test]
fn success_of_an_earlier_request_is_skipped() {
    assert_eq!(ownership(Some("own"), false, REUSED), Ownership::Own);
    assert_eq!(ownership(Some("own"), false, SAME_ID), Ownership::Earlier);
    assert_eq!(ownership(Some("other"), false, REUSED), Ownership::Earlier);
    assert_eq!(ownership(None, false, REUSED), Ownership::Earlier);
    assert_eq!(ownership(None, false, NEW), Ownership::Own);
}
