//! Reads the body of a request into one buffer, within the limits and the memory budget.

use std::fmt;
use std::future::poll_fn;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use budget::BodyClaim;
use budget::BodyRefusal;
use budget::BodyReservation;
use budget::Budget;
use bytes::Bytes;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use kernel::BootClock;
use kernel::body_watch::BodyWatch;
use kernel::body_watch::ConnectionEvicted;
use kernel::linger::UnreadRequest;
use kernel::pause_tolerant;
use log::debug;
use wire::Millis;
use wire::Reason;
use wire::Refusal;

/// The least rate of a body that takes longer than the idle time, in bytes per second. Working paths are
/// far faster; a client that sends single bytes would hold its connection until the request's deadline.
pub const MIN_BODY_BYTES_PER_S: u64 = 1 << 10;
/// The first capacity of the buffer of a body without a length, in bytes.
const FIRST_CAPACITY_BYTES: usize = 4 << 10;
/// How often a body waits for one turn of all tasks until evicted bodies are dropped, which takes one
/// turn unless several bodies want the same bytes.
const MAX_EVICTION_TURNS: u32 = 8;
/// The `Retry-After` of a request that got no memory: bodies of working clients arrive within it.
const NO_MEMORY_RETRY_MS: Millis = 300;

/// The limits of one request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The most bytes of the body.
    pub max_bytes: usize,
    /// How long the body may bring no byte.
    pub idle_ms: Millis,
    /// When the request's time is over, on the daemon's clock.
    pub give_up_at_ms: Millis,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFailure {
    /// It is over the limit, or would not fit into an empty budget.
    TooLarge,
    /// The budget is full.
    Full,
    /// It gave way to another body.
    Evicted,
    /// No byte came, and its connection was closed for a new one.
    Stalled,
    /// No byte came for the idle time.
    Idle,
    /// It came more slowly than the least rate.
    Trickle,
    /// The request's time was over before it was complete.
    Late,
    /// The client ended it early or sent malformed chunks.
    Broken,
}

impl BodyFailure {
    /// Returns the name used in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::Full => "full",
            Self::Evicted => "evicted",
            Self::Stalled => "stalled",
            Self::Idle => "idle",
            Self::Trickle => "trickle",
            Self::Late => "late",
            Self::Broken => "broken",
        }
    }

    /// Returns the refusal for the client; the request has not run.
    pub fn refusal(self) -> Refusal {
        let (reason, message) = match self {
            Self::TooLarge => (Reason::TooLarge, "the body is over the limit"),
            Self::Full => (Reason::NoMemory, "the memory for bodies is used up"),
            Self::Evicted => (Reason::NoMemory, "the body was evicted in favour of another one"),
            Self::Stalled => (Reason::SlowBody, "the stalled body gave way to a new connection"),
            Self::Idle => (Reason::SlowBody, "no byte of the body came for too long"),
            Self::Trickle => (Reason::SlowBody, "the body came too slowly"),
            Self::Late => (Reason::Deadline, "the body was not complete in time"),
            Self::Broken => (Reason::BadRequest, "the body ended early"),
        };
        let refusal = Refusal::not_run(reason, message);
        match self {
            Self::Full | Self::Evicted => refusal.with_retry_after(NO_MEMORY_RETRY_MS),
            _ => refusal,
        }
    }
}

impl fmt::Display for BodyFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl From<ConnectionEvicted> for BodyFailure {
    fn from(_: ConnectionEvicted) -> Self {
        Self::Stalled
    }
}

impl From<BodyRefusal> for BodyFailure {
    fn from(refusal: BodyRefusal) -> Self {
        match refusal {
            BodyRefusal::NeverFits => Self::TooLarge,
            BodyRefusal::Full => Self::Full,
            BodyRefusal::Evicted => Self::Evicted,
        }
    }
}

/// A body that was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadBody {
    /// Why it was not read.
    pub failure: BodyFailure,
    /// The bytes that had been received.
    pub received_bytes: usize,
    /// The time since its head, in milliseconds.
    pub took_ms: Millis,
}

/// Returns the address of the client, which the server adds to each request as its peer's address.
pub fn client_address(parts: &Parts) -> Option<IpAddr> {
    parts.extensions.get::<SocketAddr>().map(SocketAddr::ip)
}

/// Returns the watch of the request's body, which the server adds to each request.
pub fn body_watch(parts: &Parts) -> Option<BodyWatch> {
    parts.extensions.get().cloned()
}

/// Has the server discard the rest of a refused request, if it has a body, so that its client can read the
/// refusal.
pub fn discard_rest(parts: &Parts) {
    let is_chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
    if !is_chunked && announced_bytes(parts).is_none_or(|bytes| bytes == 0) {
        return;
    }
    if let Some(unread_request) = parts.extensions.get::<UnreadRequest>() {
        unread_request.mark();
    }
}

/// Returns the length of the body that the head announces, if any.
pub fn announced_bytes(parts: &Parts) -> Option<usize> {
    let value = parts.headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// A body while it is read.
pub struct BodyReader {
    clock: BootClock,
    limits: BodyLimits,
    announced_bytes: Option<usize>,
    started_ms: Millis,
    reservation: BodyReservation,
    /// Tells the server when the body stalls; `None` if nothing closes its connection for that.
    watch: Option<BodyWatch>,
    buffer: Vec<u8>,
    received_bytes: usize,
}

impl BodyReader {
    /// Creates the reader of a body of which nothing has been read.
    pub fn new(
        budget: &Arc<Budget>,
        clock: BootClock,
        client: Option<IpAddr>,
        announced_bytes: Option<usize>,
        limits: BodyLimits,
    ) -> Self {
        let started_ms = clock.now_ms();
        Self {
            clock,
            limits,
            announced_bytes,
            started_ms,
            reservation: budget.begin_body(client, started_ms),
            watch: None,
            buffer: Vec::new(),
            received_bytes: 0,
        }
    }

    /// Lets the server close the body's connection for a new one while no byte comes.
    pub fn with_watch(self, watch: Option<BodyWatch>) -> Self {
        Self { watch, ..self }
    }

    /// Reads the complete body; it holds its part of the budget until its last copy is dropped.
    ///
    /// The parts that the HTTP library hands out share its read buffer, so they are copied together as
    /// they come: a part of 2 bytes would keep kilobytes.
    pub async fn read<B>(mut self, body: B) -> Result<Bytes, UnreadBody>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: fmt::Display,
    {
        let unread = |reader: &Self, failure| UnreadBody {
            failure,
            received_bytes: reader.received_bytes,
            took_ms: reader.clock.now_ms().saturating_sub(reader.started_ms),
        };
        if let Err(failure) = self.fill(body).await {
            return Err(unread(&self, failure));
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.shrink_to_fit();
        let claimed = self.reservation.claim(buffer.capacity(), self.clock.now_ms());
        if let Err(refusal) = claimed {
            return Err(unread(&self, refusal.into()));
        }
        let error = unread(&self, BodyFailure::Evicted);
        self.reservation.complete(Bytes::from(buffer)).map_err(|_| error)
    }

    async fn fill<B>(&mut self, mut body: B) -> Result<(), BodyFailure>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: fmt::Display,
    {
        if let Some(bytes) = self.announced_bytes
            && (bytes > self.limits.max_bytes || !self.reservation.can_fit(bytes))
        {
            return Err(BodyFailure::TooLarge);
        }
        if !body.is_end_stream() {
            self.reserve(1).await?;
        }
        loop {
            let (limit_ms, failure) = self.next_limit();
            let frame = next_frame(self.watch.as_ref(), &mut body);
            let frame = pause_tolerant::timeout(Duration::from_millis(limit_ms), frame);
            let frame = tokio::select! {
                biased;
                () = poll_fn(|context| self.reservation.poll_evicted(context)) => {
                    return Err(BodyFailure::Evicted);
                }
                frame = frame => frame.map_err(|_| failure)??,
            };
            let part = match frame {
                None => return Ok(()),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    debug!("event=body_broken error=\"{error}\"");
                    return Err(BodyFailure::Broken);
                }
            };
            self.received_bytes += part.len();
            if self.received_bytes > self.limits.max_bytes {
                return Err(BodyFailure::TooLarge);
            }
            self.reserve(part.len()).await?;
            self.buffer.extend_from_slice(&part);
            self.reservation.record_received(part.len(), self.clock.now_ms());
        }
    }

    /// Makes room for `more` bytes in the buffer.
    async fn reserve(&mut self, more: usize) -> Result<(), BodyFailure> {
        let needed = self.buffer.len() + more;
        if needed <= self.buffer.capacity() {
            return Ok(());
        }
        let largest = self.announced_bytes.unwrap_or(self.limits.max_bytes);
        let doubled = (2 * self.buffer.capacity()).max(FIRST_CAPACITY_BYTES);
        let capacity = doubled.min(largest).max(needed);
        for _ in 0..MAX_EVICTION_TURNS {
            match self.reservation.claim(capacity, self.clock.now_ms())? {
                BodyClaim::Granted => {
                    self.buffer.reserve_exact(capacity - self.buffer.len());
                    return Ok(());
                }
                BodyClaim::AfterEviction => tokio::task::yield_now().await,
            }
        }
        Err(BodyFailure::Full)
    }

    /// Returns how long the next part may take, and what it means if it takes longer.
    fn next_limit(&self) -> (Millis, BodyFailure) {
        let now_ms = self.clock.now_ms();
        let BodyLimits { idle_ms, give_up_at_ms, .. } = self.limits;
        let earned_ms = self.received_bytes as u64 * 1_000 / MIN_BODY_BYTES_PER_S;
        let trickle_at_ms = self.started_ms.saturating_add(idle_ms).saturating_add(earned_ms);
        let limits = [
            (idle_ms, BodyFailure::Idle),
            (trickle_at_ms.saturating_sub(now_ms), BodyFailure::Trickle),
            (give_up_at_ms.saturating_sub(now_ms), BodyFailure::Late),
        ];
        // The first of equal limits counts.
        limits.into_iter().min_by_key(|(limit_ms, _)| *limit_ms).unwrap_or(limits[0])
    }
}

/// Waits for the next frame of a body, or until its connection is closed for a new one.
async fn next_frame<B: Body + Unpin>(
    watch: Option<&BodyWatch>,
    body: &mut B,
) -> Result<Option<Result<Frame<B::Data>, B::Error>>, ConnectionEvicted> {
    match watch {
        Some(watch) => watch.wait_for_bytes(body.frame()).await,
        None => Ok(body.frame().await),
    }
}
