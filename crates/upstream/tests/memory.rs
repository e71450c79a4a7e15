//! Tests the limit for the memory of all answers.

use bytes::Bytes;
use upstream::AnswerMemory;
use upstream::ExchangeError;
use upstream::memory::Reservation;
use upstream::memory::UNCOUNTED_BYTES;

const LIMIT_BYTES: usize = 800_000;
const LARGEST_ANSWER_BYTES: usize = UNCOUNTED_BYTES + LIMIT_BYTES / 8;

#[test]
fn answers_together_take_no_more_than_the_limit() {
    let memory = AnswerMemory::new(LIMIT_BYTES);
    let mut held = Vec::new();
    loop {
        let mut reservation = Reservation::new(memory.clone());
        match reservation.resize(LARGEST_ANSWER_BYTES) {
            Ok(()) => held.push(reservation),
            Err(error) => {
                assert_eq!(error, ExchangeError::NoMemory);
                break;
            }
        }
    }
    assert_eq!((held.len(), memory.used_bytes()), (8, LIMIT_BYTES));
    let mut small = Reservation::new(memory.clone());
    assert_eq!(small.resize(UNCOUNTED_BYTES), Ok(()), "a small answer fails beside large ones");
    held.pop();
    assert_eq!(small.resize(LARGEST_ANSWER_BYTES), Ok(()));
    drop((small, held));
    assert_eq!(memory.used_bytes(), 0);
}

#[test]
fn one_answer_takes_no_more_than_its_share() {
    let memory = AnswerMemory::new(LIMIT_BYTES);
    let mut reservation = Reservation::new(memory.clone());
    assert_eq!(reservation.resize(LARGEST_ANSWER_BYTES), Ok(()));
    let over = reservation.resize(LARGEST_ANSWER_BYTES + 1);
    assert!(matches!(over, Err(ExchangeError::OverLimit(_))), "{over:?}");
    assert_eq!(reservation.resize(0), Ok(()));
    assert_eq!(memory.used_bytes(), 0);
}

#[test]
fn body_counts_until_its_last_copy_is_dropped() {
    let memory = AnswerMemory::new(LIMIT_BYTES);
    let mut reservation = Reservation::new(memory.clone());
    reservation.resize(UNCOUNTED_BYTES + 1_000).expect("it fits");
    let body = reservation.attach(Bytes::from(vec![b'x'; UNCOUNTED_BYTES + 1_000]));
    let copy = body.slice(10..20);
    drop(body);
    assert_eq!((memory.used_bytes(), &copy[..]), (1_000, &b"xxxxxxxxxx"[..]));
    drop(copy);
    assert_eq!(memory.used_bytes(), 0);
}
