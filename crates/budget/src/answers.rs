//! Limits the memory that all answers of one kind of server together take while they are read or passed
//! on.

use std::sync::Arc;

use bytes::Bytes;

use crate::Budget;
use crate::limits::Kind;
use crate::reservation::Reservation;

/// The part of an answer that is not counted, so that sound answers, most of which are smaller, do not
/// fail while others use the budget up.
pub const UNCOUNTED_BYTES: usize = 32 << 10;
/// The share of the limit for answers of replicas that one of them may take, as a divisor.
const SHARE_DIVISOR: usize = 8;

/// Why an answer may not take more memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerRefusal {
    /// The answer itself is too large.
    OverShare,
    /// All answers together, or all kinds together, are too large.
    Full,
}

/// The part of the budget that one answer takes; it is released when this is dropped.
#[derive(Debug)]
pub struct AnswerReservation {
    reservation: Reservation,
    largest_bytes: usize,
}

impl AnswerReservation {
    /// Creates a reservation of no bytes.
    ///
    /// Only one answer of a replica has a share: callers limit those of the store and of peers, which
    /// are trusted.
    pub fn new(budget: &Arc<Budget>, kind: Kind) -> Self {
        let limit_bytes = budget.limits().of_kind(kind);
        let largest_bytes = match kind {
            Kind::ReplicaAnswers => limit_bytes / SHARE_DIVISOR,
            _ => limit_bytes,
        };
        Self { reservation: budget.reserve(kind), largest_bytes }
    }

    /// Sets the size of the answer in memory, in bytes.
    pub fn resize(&mut self, answer_bytes: usize) -> Result<(), AnswerRefusal> {
        let bytes = answer_bytes.saturating_sub(UNCOUNTED_BYTES);
        if bytes > self.largest_bytes {
            return Err(AnswerRefusal::OverShare);
        }
        self.reservation.resize(bytes).map_err(|_| AnswerRefusal::Full)
    }

    /// Returns `body` such that it holds the reservation until its last copy is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        self.reservation.attach(body)
    }
}
