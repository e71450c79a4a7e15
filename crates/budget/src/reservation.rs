//! Bytes of one kind that are held until they are dropped.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;

use crate::Budget;
use crate::limits::Kind;

/// The bytes do not fit into the budget now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetFull;

impl fmt::Display for BudgetFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the memory for this kind of data is used up")
    }
}

impl std::error::Error for BudgetFull {}

/// A part of the budget, which is released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<Budget>,
    kind: Kind,
    bytes: usize,
}

impl Reservation {
    pub(crate) fn new(budget: Arc<Budget>, kind: Kind) -> Self {
        Self { budget, kind, bytes: 0 }
    }

    /// Returns the reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets the reserved bytes; if more do not fit, the reservation stays as it was.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BudgetFull> {
        if bytes > self.bytes {
            let more = bytes - self.bytes;
            let limits = &self.budget.limits;
            let mut state = self.budget.lock();
            if state.usage.missing(limits, self.kind, limits.of_kind(self.kind), more) > 0 {
                return Err(BudgetFull);
            }
            state.usage.add(self.kind, more);
        } else {
            self.budget.lock().usage.release(self.kind, self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Sets the reserved bytes of data that must be held in any case, also above the limits.
    pub fn resize_unchecked(&mut self, bytes: usize) {
        let mut state = self.budget.lock();
        state.usage.release(self.kind, self.bytes);
        state.usage.add(self.kind, bytes);
        drop(state);
        self.bytes = bytes;
    }

    /// Returns `body` such that it holds the reservation until its last copy is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        if self.bytes == 0 { body } else { attach(body, self) }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.lock().usage.release(self.kind, self.bytes);
    }
}

/// Returns `body` such that it keeps `held` until its last copy is dropped.
pub(crate) fn attach<T: Send + 'static>(body: Bytes, held: T) -> Bytes {
    Bytes::from_owner(HoldingBody { body, _held: held })
}

struct HoldingBody<T> {
    body: Bytes,
    _held: T,
}

impl<T> AsRef<[u8]> for HoldingBody<T> {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
