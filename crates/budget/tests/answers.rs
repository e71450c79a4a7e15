//! Tests the limit for the memory of all answers.

use budget::AnswerRefusal;
use budget::AnswerReservation;
use budget::Budget;
use budget::Kind;
use budget::Limits;
use budget::answers::UNCOUNTED_BYTES;
use bytes::Bytes;

const LIMIT_BYTES: usize = 800_000;
const LARGEST_ANSWER_BYTES: usize = UNCOUNTED_BYTES + LIMIT_BYTES / 8;

fn limits() -> Limits {
    Limits { replica_answers_bytes: LIMIT_BYTES, ..Limits::unlimited() }
}

#[test]
fn answers_together_take_no_more_than_the_limit() {
    let budget = Budget::new(limits());
    let mut held = Vec::new();
    loop {
        let mut reservation = AnswerReservation::new(&budget, Kind::ReplicaAnswers);
        match reservation.resize(LARGEST_ANSWER_BYTES) {
            Ok(()) => held.push(reservation),
            Err(error) => {
                assert_eq!(error, AnswerRefusal::Full);
                break;
            }
        }
    }
    assert_eq!((held.len(), budget.used_bytes(Kind::ReplicaAnswers)), (8, LIMIT_BYTES));
    let mut small = AnswerReservation::new(&budget, Kind::ReplicaAnswers);
    assert_eq!(small.resize(UNCOUNTED_BYTES), Ok(()), "a small answer fails beside large ones");
    held.pop();
    assert_eq!(small.resize(LARGEST_ANSWER_BYTES), Ok(()));
    drop((small, held));
    assert_eq!(budget.total_used_bytes(), 0);
}

#[test]
fn one_answer_takes_no_more_than_its_share() {
    let budget = Budget::new(limits());
    let mut reservation = AnswerReservation::new(&budget, Kind::ReplicaAnswers);
    assert_eq!(reservation.resize(LARGEST_ANSWER_BYTES), Ok(()));
    let over = reservation.resize(LARGEST_ANSWER_BYTES + 1);
    assert_eq!(over, Err(AnswerRefusal::OverShare));
    assert_eq!(reservation.resize(0), Ok(()));
    assert_eq!(budget.total_used_bytes(), 0);
}

#[test]
fn body_counts_until_its_last_copy_is_dropped() {
    let budget = Budget::new(limits());
    let mut reservation = AnswerReservation::new(&budget, Kind::ReplicaAnswers);
    reservation.resize(UNCOUNTED_BYTES + 1_000).expect("it fits");
    let body = reservation.attach(Bytes::from(vec![b'x'; UNCOUNTED_BYTES + 1_000]));
    let copy = body.slice(10..20);
    drop(body);
    assert_eq!((budget.total_used_bytes(), &copy[..]), (1_000, &b"xxxxxxxxxx"[..]));
    drop(copy);
    assert_eq!(budget.total_used_bytes(), 0);
}

/// Guards against replicas that use up the memory without which the store and peers are not heard.
#[test]
fn answers_of_the_store_fit_beside_those_of_replicas() {
    let limits = Limits { total_bytes: LIMIT_BYTES, reserve_bytes: 200_000, ..limits() };
    let budget = Budget::new(limits);
    let mut held = Vec::new();
    for _ in 0..6 {
        let mut answer = AnswerReservation::new(&budget, Kind::ReplicaAnswers);
        answer.resize(LARGEST_ANSWER_BYTES).expect("it fits");
        held.push(answer);
    }
    let mut more = AnswerReservation::new(&budget, Kind::ReplicaAnswers);
    assert_eq!(more.resize(LARGEST_ANSWER_BYTES), Err(AnswerRefusal::Full));
    let mut page = AnswerReservation::new(&budget, Kind::StoreAnswers);
    assert_eq!(page.resize(UNCOUNTED_BYTES + 150_000), Ok(()), "more than a replica's share");
    let mut call = AnswerReservation::new(&budget, Kind::PeerCalls);
    assert_eq!(call.resize(UNCOUNTED_BYTES + 50_001), Err(AnswerRefusal::Full));
    assert_eq!(call.resize(UNCOUNTED_BYTES + 50_000), Ok(()));
}
