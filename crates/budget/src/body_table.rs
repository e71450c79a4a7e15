//! The request bodies of clients, and the decision which of them gives way.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::task::Waker;

use wire::Millis;

/// How long a body must have made no progress before it may be evicted: longer than the round trips
/// and retransmissions of a working path.
pub const MIN_STALL_MS: Millis = 250;
/// The bytes that count as progress of a body that is not complete, so that single bytes now and then
/// do not keep it from being evicted.
pub const MIN_PROGRESS_BYTES: usize = 1 << 10;

/// The key of a body in the table.
pub(crate) type BodyId = u64;

/// A request body.
#[derive(Debug)]
pub(crate) struct Body {
    client: Option<IpAddr>,
    /// The capacity of its buffer.
    pub(crate) bytes: usize,
    progress_ms: Millis,
    unmarked_bytes: usize,
    /// Whether it is complete, so that the request may have been forwarded.
    pub(crate) is_complete: bool,
    pub(crate) is_evicted: bool,
    /// Wakes the task that reads it.
    pub(crate) waker: Option<Waker>,
}

/// All request bodies that are held.
#[derive(Debug, Default)]
pub(crate) struct BodyTable {
    bodies: BTreeMap<BodyId, Body>,
    next_id: BodyId,
    client_bytes: HashMap<IpAddr, usize>,
}

impl BodyTable {
    pub(crate) fn insert(&mut self, client: Option<IpAddr>, now_ms: Millis) -> BodyId {
        let id = self.next_id;
        self.next_id += 1;
        let body = Body {
            client,
            bytes: 0,
            progress_ms: now_ms,
            unmarked_bytes: 0,
            is_complete: false,
            is_evicted: false,
            waker: None,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Removes a body and returns its bytes.
    pub(crate) fn remove(&mut self, id: BodyId) -> usize {
        self.set_bytes(id, 0).map_or(0, |bytes| {
            self.bodies.remove(&id);
            bytes
        })
    }

    pub(crate) fn get_mut(&mut self, id: BodyId) -> Option<&mut Body> {
        self.bodies.get_mut(&id)
    }

    /// Sets the size of a body and returns the previous one.
    pub(crate) fn set_bytes(&mut self, id: BodyId, bytes: usize) -> Option<usize> {
        let body = self.bodies.get_mut(&id)?;
        let previous = std::mem::replace(&mut body.bytes, bytes);
        if let Some(client) = body.client {
            let total = self.client_bytes.entry(client).or_default();
            *total = total.saturating_sub(previous).saturating_add(bytes);
            if *total == 0 {
                self.client_bytes.remove(&client);
            }
        }
        Some(previous)
    }

    pub(crate) fn record_received(&mut self, id: BodyId, bytes: usize, now_ms: Millis) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        body.unmarked_bytes += bytes;
        if body.unmarked_bytes >= MIN_PROGRESS_BYTES {
            body.unmarked_bytes = 0;
            body.progress_ms = now_ms;
        }
    }

    /// Returns the bytes of evicted bodies whose tasks have not dropped them yet.
    pub(crate) fn evicted_bytes(&self) -> usize {
        let evicted = self.bodies.values().filter(|body| body.is_evicted);
        evicted.fold(0, |sum, body| sum.saturating_add(body.bytes))
    }

    /// Returns the body that gives way to `claimant`, which wants `more` bytes: that without progress
    /// for longest, and first one of a client that holds more than its share.
    ///
    /// A client over its share takes nothing from those within it. A body that makes progress gives way
    /// only if its client is over its share and the claimant's is not.
    pub(crate) fn choose_victim(
        &self,
        claimant: BodyId,
        more: usize,
        share_bytes: usize,
        now_ms: Millis,
    ) -> Option<BodyId> {
        let claimant_client = self.bodies.get(&claimant)?.client;
        let is_over =
            |client: Option<IpAddr>, more| self.bytes_of(client).saturating_add(more) > share_bytes;
        let is_claimant_over = is_over(claimant_client, more);
        let candidates = self.bodies.iter().filter(|(id, body)| {
            **id != claimant && body.bytes > 0 && !body.is_complete && !body.is_evicted
        });
        let ranked = candidates.filter_map(|(id, body)| {
            let stall_ms = now_ms.saturating_sub(body.progress_ms);
            let is_stalled = stall_ms >= MIN_STALL_MS;
            let is_over = is_over(body.client, 0);
            let gives_way = match (is_over, is_claimant_over) {
                (true, true) | (false, false) => is_stalled,
                (true, false) => true,
                (false, true) => false,
            };
            gives_way.then_some(((is_stalled, is_over, stall_ms), *id))
        });
        ranked.max().map(|(_, id)| id)
    }

    /// Returns the bytes that a client's bodies hold; clients without a known address have no share.
    fn bytes_of(&self, client: Option<IpAddr>) -> usize {
        client.and_then(|client| self.client_bytes.get(&client)).copied().unwrap_or(0)
    }
}
