//! Limits the memory that all answers of replicas together take while they are read or passed on.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use crate::connection::ExchangeError;

/// The part of an answer that is not counted, so that sound answers, most of which are smaller, do not
/// fail while others use the budget up.
pub const UNCOUNTED_BYTES: usize = 32 << 10;
/// The share of the budget that one answer may take, as a divisor.
const SHARE_DIVISOR: usize = 8;

/// The bytes that the answers on the connections of one pool may take.
#[derive(Debug)]
pub struct AnswerMemory {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
}

impl AnswerMemory {
    /// Creates a budget of which nothing is used.
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self { limit_bytes, used_bytes: AtomicUsize::new(0) })
    }

    /// Returns the bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> bool {
        let free = |used: usize| used.checked_add(bytes).filter(|used| *used <= self.limit_bytes);
        self.used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, free).is_ok()
    }

    fn release(&self, bytes: usize) {
        self.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The part of the budget that one answer takes; it is released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<AnswerMemory>,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of no bytes.
    pub fn new(memory: Arc<AnswerMemory>) -> Self {
        Self { memory, bytes: 0 }
    }

    /// Sets the size of the answer in memory, in bytes.
    ///
    /// Fails with `OverLimit` if the answer itself is too large, and with `NoMemory` if all answers
    /// together are.
    pub fn resize(&mut self, answer_bytes: usize) -> Result<(), ExchangeError> {
        let bytes = answer_bytes.saturating_sub(UNCOUNTED_BYTES);
        if bytes > self.memory.limit_bytes / SHARE_DIVISOR {
            return Err(ExchangeError::OverLimit("the answer takes too much memory"));
        }
        if bytes > self.bytes && !self.memory.take(bytes - self.bytes) {
            return Err(ExchangeError::NoMemory);
        }
        if bytes < self.bytes {
            self.memory.release(self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Returns `body` such that it holds the reservation until its last copy is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        if self.bytes == 0 { body } else { Bytes::from_owner(ReservedBody { body, _held: self }) }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.release(self.bytes);
    }
}

struct ReservedBody {
    body: Bytes,
    _held: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
