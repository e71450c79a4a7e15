//! Reservations of request bodies, which may be evicted until the body is complete.

use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use wire::Millis;

use crate::Budget;
use crate::body_table::BodyId;
pub use crate::body_table::MIN_PROGRESS_BYTES;
pub use crate::body_table::MIN_STALL_MS;
use crate::limits::Kind;
use crate::reservation::attach;

/// The largest body that may use the part of the limit that large bodies may not. Bodies of ordinary
/// requests have some kilobytes.
pub const SMALL_BODY_BYTES: usize = 32 << 10;

/// The outcome of a claim that is not refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyClaim {
    /// The bytes are reserved.
    Granted,
    /// Bodies were evicted; the bytes are free once their tasks have dropped them.
    AfterEviction,
}

/// Why a body gets no more memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRefusal {
    /// The body would not fit into an empty budget.
    NeverFits,
    /// No body gives way to this one.
    Full,
    /// This body was evicted.
    Evicted,
}

/// The part of the budget that one request body takes; it is released when this is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<Budget>,
    id: BodyId,
}

impl BodyReservation {
    pub(crate) fn new(budget: Arc<Budget>, id: BodyId) -> Self {
        Self { budget, id }
    }

    /// Returns the reserved bytes.
    pub fn bytes(&self) -> usize {
        self.budget.lock().bodies.get_mut(self.id).map_or(0, |body| body.bytes)
    }

    /// Returns whether a body of this size would fit into an empty budget.
    pub fn can_fit(&self, bytes: usize) -> bool {
        let limits = &self.budget.limits;
        let unreserved_bytes = limits.total_bytes.saturating_sub(limits.reserve_bytes);
        bytes <= limit_for(&self.budget, bytes).min(unreserved_bytes)
    }

    /// Sets the capacity of the body's buffer, in bytes, before it grows; evicts other bodies if
    /// necessary.
    pub fn claim(&mut self, bytes: usize, now_ms: Millis) -> Result<BodyClaim, BodyRefusal> {
        if !self.can_fit(bytes) {
            return Err(BodyRefusal::NeverFits);
        }
        let limit_bytes = limit_for(&self.budget, bytes);
        let limits = &self.budget.limits;
        let mut guard = self.budget.lock();
        let state = &mut *guard;
        let held_bytes = match state.bodies.get_mut(self.id) {
            Some(body) if !body.is_evicted => body.bytes,
            _ => return Err(BodyRefusal::Evicted),
        };
        let more = bytes.saturating_sub(held_bytes);
        let missing = match more {
            0 => 0,
            more => state.usage.missing(limits, Kind::RequestBodies, limit_bytes, more),
        };
        if missing == 0 {
            state.bodies.set_bytes(self.id, bytes);
            state.usage.add(Kind::RequestBodies, more);
            state.usage.release(Kind::RequestBodies, held_bytes.saturating_sub(bytes));
            return Ok(BodyClaim::Granted);
        }
        let mut freed_bytes = state.bodies.evicted_bytes();
        let mut victims = Vec::new();
        while freed_bytes < missing {
            let share_bytes = limits.client_share_bytes;
            let victim = state.bodies.choose_victim(self.id, more, share_bytes, now_ms);
            let Some(body) = victim.and_then(|id| state.bodies.get_mut(id)) else { break };
            body.is_evicted = true;
            freed_bytes = freed_bytes.saturating_add(body.bytes);
            victims.extend(victim);
        }
        let is_enough = freed_bytes >= missing;
        let mut wakers = Vec::new();
        for id in victims {
            let Some(body) = state.bodies.get_mut(id) else { continue };
            // No body is evicted for a claim that is refused nevertheless.
            body.is_evicted = is_enough;
            wakers.extend(body.waker.take_if(|_| is_enough));
        }
        drop(guard);
        wakers.into_iter().for_each(std::task::Waker::wake);
        if is_enough { Ok(BodyClaim::AfterEviction) } else { Err(BodyRefusal::Full) }
    }

    /// Records that bytes of the body have been received.
    pub fn record_received(&mut self, bytes: usize, now_ms: Millis) {
        self.budget.lock().bodies.record_received(self.id, bytes, now_ms);
    }

    /// Waits until the body is evicted; the task must then drop it.
    pub fn poll_evicted(&self, context: &mut Context<'_>) -> Poll<()> {
        match self.budget.lock().bodies.get_mut(self.id) {
            Some(body) if body.is_evicted => Poll::Ready(()),
            Some(body) => {
                body.waker = Some(context.waker().clone());
                Poll::Pending
            }
            None => Poll::Pending,
        }
    }

    /// Returns the complete `body`, which holds the reservation until its last copy is dropped and is
    /// never evicted; fails if it was evicted before.
    pub fn complete(self, body: Bytes) -> Result<Bytes, BodyRefusal> {
        match self.budget.lock().bodies.get_mut(self.id) {
            Some(held) if !held.is_evicted => {
                held.is_complete = true;
                held.waker = None;
            }
            _ => return Err(BodyRefusal::Evicted),
        }
        Ok(if body.is_empty() { body } else { attach(body, self) })
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        let bytes = state.bodies.remove(self.id);
        state.usage.release(Kind::RequestBodies, bytes);
    }
}

/// Returns the limit of all bodies together that applies to one of this size.
fn limit_for(budget: &Budget, bytes: usize) -> usize {
    let limits = &budget.limits;
    if bytes <= SMALL_BODY_BYTES {
        limits.request_bodies_bytes
    } else {
        limits.large_bodies_bytes()
    }
}
