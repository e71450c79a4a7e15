//! The tokens of submissions whose records are being written.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Counts the tokens of submissions that passed the quota and are not jobs yet, by queue.
///
/// Without them, all submissions that come while the store is slow would be checked against the same
/// sum of waiting tokens.
#[derive(Clone, Debug, Default)]
pub struct PendingSubmissions {
    tokens: Rc<RefCell<HashMap<u64, u64>>>,
}

/// The tokens of one submission, which count until this is dropped.
#[derive(Debug)]
pub struct PendingTokens {
    pending: PendingSubmissions,
    queue: u64,
    tokens: u64,
}

impl PendingSubmissions {
    /// Counts the tokens of a submission to a queue.
    pub fn add(&self, queue: u64, tokens: u64) -> PendingTokens {
        let mut counts = self.tokens.borrow_mut();
        let count = counts.entry(queue).or_default();
        // Capped, so that the same number is subtracted at the end.
        let tokens = tokens.min(u64::MAX - *count);
        *count += tokens;
        drop(counts);
        PendingTokens { pending: self.clone(), queue, tokens }
    }

    /// Returns the tokens of the submissions to a queue.
    pub fn tokens(&self, queue: u64) -> u64 {
        self.tokens.borrow().get(&queue).copied().unwrap_or_default()
    }

    /// Returns the tokens of all queues with submissions.
    pub fn all(&self) -> HashMap<u64, u64> {
        self.tokens.borrow().clone()
    }
}

impl Drop for PendingTokens {
    fn drop(&mut self) {
        let mut counts = self.pending.tokens.borrow_mut();
        if let Some(count) = counts.get_mut(&self.queue) {
            *count -= self.tokens;
            if *count == 0 {
                counts.remove(&self.queue);
            }
        }
    }
}
