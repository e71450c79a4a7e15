//! The memory of the bodies of other daemons' calls.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use budget::Budget;
use budget::Kind;
use budget::Reservation;
use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use kernel::pause_tolerant;

/// The size limit of the body of a control call: an object, or a job with its output.
pub const MAX_BODY_BYTES: usize = 16 << 20;
/// The largest body that is not counted among the large ones, so that small calls find room beside them.
pub const SMALL_BODY_BYTES: usize = 256 << 10;
/// The share of the budget for large bodies together, as a divisor; one body of the largest size fits in
/// any case.
const LARGE_SHARE_DIVISOR: usize = 2;
/// How often a body is held while its call is handled: as it came, and decoded.
const COPIES: usize = 2;
/// The first capacity of the buffer of a body, in bytes.
const FIRST_CAPACITY_BYTES: usize = 4 << 10;
/// How long a body may take. Callers wait for an answer for at most 1.5 s.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the body of a call was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadCall {
    /// It is over the limit.
    TooLarge,
    /// The memory for calls is used up.
    Full,
    /// It did not come in time.
    Late,
    /// The peer ended it early or sent malformed chunks.
    Broken,
}

impl UnreadCall {
    /// Returns the name used in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::Full => "full",
            Self::Late => "late",
            Self::Broken => "broken",
        }
    }

    /// Returns the status of the answer to the peer; the call was not executed.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Full => StatusCode::SERVICE_UNAVAILABLE,
            Self::Late => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_REQUEST,
        }
    }
}

impl fmt::Display for UnreadCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The memory of the bodies of all calls.
pub struct PeerCalls {
    budget: Arc<Budget>,
    /// The capacity of the large bodies, in bytes.
    large_bytes: Cell<usize>,
}

impl PeerCalls {
    /// Creates the memory of calls of which none is read.
    pub fn new(budget: Arc<Budget>) -> Rc<Self> {
        Rc::new(Self { budget, large_bytes: Cell::new(0) })
    }

    /// Returns the memory of a call of which nothing has been read.
    pub fn begin(self: &Rc<Self>) -> CallMemory {
        let reservation = self.budget.reserve(Kind::PeerCalls);
        CallMemory { calls: self.clone(), reservation, large_bytes: 0 }
    }

    /// Reads the body of a call into one buffer.
    pub async fn read<B>(
        self: &Rc<Self>,
        body: B,
        announced_bytes: Option<usize>,
    ) -> Result<CallBody, UnreadCall>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if announced_bytes.is_some_and(|bytes| bytes > MAX_BODY_BYTES) {
            return Err(UnreadCall::TooLarge);
        }
        let reading = self.read_parts(body);
        pause_tolerant::timeout(READ_TIMEOUT, reading).await.map_err(|_| UnreadCall::Late)?
    }

    async fn read_parts<B>(self: &Rc<Self>, mut body: B) -> Result<CallBody, UnreadCall>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut memory = self.begin();
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| UnreadCall::Broken)?;
            let part = frame.into_data().unwrap_or_default();
            let needed = bytes.len() + part.len();
            if needed > MAX_BODY_BYTES {
                return Err(UnreadCall::TooLarge);
            }
            if needed > bytes.capacity() {
                let doubled = (2 * bytes.capacity()).clamp(FIRST_CAPACITY_BYTES, MAX_BODY_BYTES);
                let capacity = doubled.max(needed);
                memory.resize(capacity)?;
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(&part);
        }
        bytes.shrink_to_fit();
        memory.hold_copies(bytes.len())?;
        Ok(CallBody { bytes, _memory: memory })
    }
}

/// The memory of one call, which is released when this is dropped.
pub struct CallMemory {
    calls: Rc<PeerCalls>,
    reservation: Reservation,
    large_bytes: usize,
}

impl CallMemory {
    /// Sets the size of the buffer of the body before it grows, in bytes.
    pub fn resize(&mut self, bytes: usize) -> Result<(), UnreadCall> {
        let large_bytes = if bytes > SMALL_BODY_BYTES { bytes } else { 0 };
        let others_bytes = self.calls.large_bytes.get() - self.large_bytes;
        let share_bytes = self.calls.budget.limits().total_bytes / LARGE_SHARE_DIVISOR;
        if large_bytes > 0 && others_bytes + large_bytes > share_bytes.max(MAX_BODY_BYTES) {
            return Err(UnreadCall::Full);
        }
        self.reservation.resize(bytes).map_err(|_| UnreadCall::Full)?;
        self.calls.large_bytes.set(others_bytes + large_bytes);
        self.large_bytes = large_bytes;
        Ok(())
    }

    /// Reserves the copies of a complete body that exist while its call is handled.
    pub fn hold_copies(&mut self, bytes: usize) -> Result<(), UnreadCall> {
        self.reservation.resize(bytes.saturating_mul(COPIES)).map_err(|_| UnreadCall::Full)
    }
}

impl Drop for CallMemory {
    fn drop(&mut self) {
        self.calls.large_bytes.set(self.calls.large_bytes.get() - self.large_bytes);
    }
}

/// The complete body of a call.
pub struct CallBody {
    bytes: Vec<u8>,
    _memory: CallMemory,
}

impl CallBody {
    /// Returns the bytes of the body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
