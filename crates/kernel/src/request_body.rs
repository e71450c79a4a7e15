//! Reads the bodies of requests to the product's own interface within a bound for all together.

use std::fmt;
use std::future::poll_fn;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use budget::BodyClaim;
use budget::BodyRefusal;
use budget::BodyReservation;
use budget::Budget;
use budget::Limits;
use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use wire::Millis;
use wire::Reason;
use wire::Refusal;

use crate::Clock;

/// The maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 17 << 20;
/// The bodies of one server together, in bytes: four of the largest ones, and a quarter of the bound for
/// small ones beside them.
const MAX_BODIES_BYTES: usize = 6 * MAX_BODY_BYTES;
/// The first capacity of the buffer of a body, in bytes.
const FIRST_CAPACITY_BYTES: usize = 4 << 10;
/// How long a body may bring no byte, as on the platform.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a body may take; the largest one needs 2.4 Mbit/s.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// How often a body waits for one turn of all tasks until evicted bodies are dropped.
const MAX_EVICTION_TURNS: u32 = 8;
/// The `Retry-After` of a request that got no memory, in milliseconds.
const NO_MEMORY_RETRY_MS: Millis = 1_000;

/// The bodies that one server holds.
pub struct RequestBodies {
    budget: Arc<Budget>,
    clock: Clock,
}

impl Default for RequestBodies {
    fn default() -> Self {
        Self::with_limit(MAX_BODIES_BYTES)
    }
}

impl RequestBodies {
    /// Creates the bound for bodies that hold at most `limit_bytes` together.
    pub fn with_limit(limit_bytes: usize) -> Self {
        let limits = Limits {
            total_bytes: limit_bytes,
            request_bodies_bytes: limit_bytes,
            small_bodies_bytes: limit_bytes / 4,
            client_share_bytes: limit_bytes / 4,
            ..Limits::unlimited()
        };
        Self { budget: Budget::new(limits), clock: Clock::start() }
    }

    /// Returns the capacity of the buffers of all bodies, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.budget.total_used_bytes()
    }

    /// Reads a body into one buffer, which is counted until its last copy is dropped.
    pub async fn read<S, E>(&self, client: IpAddr, parts: S) -> Result<Bytes, Refusal>
    where
        S: Stream<Item = Result<Bytes, E>> + Unpin,
        E: fmt::Display,
    {
        let reservation = self.budget.begin_body(Some(client), self.clock.now_ms());
        let reader = BodyReader { clock: &self.clock, reservation, buffer: Vec::new() };
        match tokio::time::timeout(READ_TIMEOUT, reader.read(parts)).await {
            Ok(body) => body,
            Err(_) => Err(Refusal::not_run(Reason::SlowBody, "the body came too slowly")),
        }
    }
}

struct BodyReader<'a> {
    clock: &'a Clock,
    reservation: BodyReservation,
    buffer: Vec<u8>,
}

impl BodyReader<'_> {
    async fn read<S, E>(mut self, mut parts: S) -> Result<Bytes, Refusal>
    where
        S: Stream<Item = Result<Bytes, E>> + Unpin,
        E: fmt::Display,
    {
        loop {
            let part = tokio::select! {
                biased;
                () = poll_fn(|context| self.reservation.poll_evicted(context)) => {
                    return Err(no_memory("the body was evicted in favour of another one"));
                }
                part = tokio::time::timeout(IDLE_TIMEOUT, parts.next()) => part,
            };
            match part {
                Ok(Some(Ok(part))) => self.append(&part).await?,
                Ok(Some(Err(error))) => {
                    let message = format!("the request body ended early: {error}");
                    return Err(Refusal::not_run(Reason::BadRequest, message));
                }
                Ok(None) => break,
                Err(_) => {
                    let message = "no byte of the body came for too long";
                    return Err(Refusal::not_run(Reason::SlowBody, message));
                }
            }
        }
        self.reservation.complete(Bytes::from(self.buffer)).map_err(refusal)
    }

    async fn append(&mut self, part: &[u8]) -> Result<(), Refusal> {
        let needed = self.buffer.len() + part.len();
        if needed > MAX_BODY_BYTES {
            let message = format!("the request body is over {MAX_BODY_BYTES} bytes");
            return Err(Refusal::not_run(Reason::TooLarge, message));
        }
        if needed > self.buffer.capacity() {
            let doubled = (2 * self.buffer.capacity()).clamp(FIRST_CAPACITY_BYTES, MAX_BODY_BYTES);
            self.grow(doubled.max(needed)).await?;
        }
        self.buffer.extend_from_slice(part);
        self.reservation.record_received(part.len(), self.clock.now_ms());
        Ok(())
    }

    async fn grow(&mut self, capacity: usize) -> Result<(), Refusal> {
        for _ in 0..MAX_EVICTION_TURNS {
            match self.reservation.claim(capacity, self.clock.now_ms()).map_err(refusal)? {
                BodyClaim::Granted => {
                    self.buffer.reserve_exact(capacity - self.buffer.len());
                    return Ok(());
                }
                BodyClaim::AfterEviction => tokio::task::yield_now().await,
            }
        }
        Err(refusal(BodyRefusal::Full))
    }
}

fn refusal(refusal: BodyRefusal) -> Refusal {
    match refusal {
        BodyRefusal::NeverFits => {
            Refusal::not_run(Reason::TooLarge, "the body does not fit into the memory for bodies")
        }
        BodyRefusal::Full => no_memory("the memory for bodies is used up"),
        BodyRefusal::Evicted => no_memory("the body was evicted in favour of another one"),
    }
}

fn no_memory(message: &str) -> Refusal {
    Refusal::not_run(Reason::NoMemory, message).with_retry_after(NO_MEMORY_RETRY_MS)
}
