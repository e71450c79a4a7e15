//! The limits on how long a client's connection waits for a request, for a complete head, or for its
//! client to read.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::body_watch;
use crate::connection_table::ConnectionId;
use crate::connection_table::ConnectionTable;
use crate::linger::Linger;
use crate::linger::LingerEnd;
use crate::linger::UnreadRequest;
use crate::pause_tolerant;
use crate::unread_answer;
use crate::unread_answer::UnreadAnswer;

/// The time limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// The longest time without a byte of a request.
    pub idle: Duration,
    /// The longest time from the first byte of a head to its end.
    pub head: Duration,
}

impl TimeLimits {
    fn max(self, other: Self) -> Self {
        Self { idle: self.idle.max(other.idle), head: self.head.max(other.head) }
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expiry {
    /// No byte of a request came in time.
    Idle,
    /// A head was not complete in time.
    SlowHead,
    /// The client does not read its answer.
    UnreadAnswer,
}

impl Expiry {
    /// Returns the name used in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::SlowHead => "slow_head",
            Self::UnreadAnswer => "unread_answer",
        }
    }
}

/// Measures how long a connection has been idle: without a request whose head is complete, and
/// without bytes of an answer that the client has not taken.
#[derive(Clone)]
pub struct IdleTimer {
    state: Rc<IdleState>,
}

struct IdleState {
    limits: Box<dyn Fn() -> TimeLimits>,
    /// The server's table, which knows whether this connection is idle.
    table: Arc<Mutex<ConnectionTable>>,
    id: ConnectionId,
    requests: Cell<usize>,
    /// Whether bytes wait because the client has not read those before.
    is_write_blocked: Cell<bool>,
    unread_answer: Cell<UnreadAnswer>,
    /// When it is checked next whether the client reads; `None` while no bytes wait.
    check_at: Cell<Option<Instant>>,
    /// Wakes the timer when a shorter limit begins to apply.
    changed: Notify,
    idle_since: Cell<Instant>,
    /// When the first byte of a head came that is not complete.
    head_since: Cell<Option<Instant>>,
    /// Whether the timer does not know of the head yet.
    has_new_head: Cell<bool>,
    limits_when_idle: Cell<TimeLimits>,
    unread_request: UnreadRequest,
    linger_end: Cell<Option<LingerEnd>>,
}

impl IdleTimer {
    /// Creates the timer of a connection that was just opened; `limits` returns the limits in force.
    pub fn new(
        table: Arc<Mutex<ConnectionTable>>,
        id: ConnectionId,
        limits: impl Fn() -> TimeLimits + 'static,
    ) -> Self {
        let state = IdleState {
            table,
            id,
            requests: Cell::new(0),
            is_write_blocked: Cell::new(false),
            unread_answer: Cell::default(),
            check_at: Cell::new(None),
            changed: Notify::new(),
            idle_since: Cell::new(Instant::now()),
            head_since: Cell::new(None),
            has_new_head: Cell::new(false),
            limits_when_idle: Cell::new(limits()),
            unread_request: UnreadRequest::default(),
            linger_end: Cell::new(None),
            limits: Box::new(limits),
        };
        Self { state: Rc::new(state) }
    }

    /// Marks the connection as busy until the returned value is dropped.
    pub fn begin_request(&self) -> BusyConnection {
        self.state.requests.set(self.state.requests.get() + 1);
        self.state.head_since.set(None);
        self.state.unread_request.clear();
        self.state.update_table();
        BusyConnection { state: self.state.clone() }
    }

    /// Returns whether the connection carries a request or has bytes to send.
    pub fn is_busy(&self) -> bool {
        self.state.is_busy()
    }

    /// Returns a stream whose blocked writes keep the connection from being idle.
    pub fn watch(&self, stream: TcpStream) -> WatchedStream {
        WatchedStream { stream, state: self.state.clone(), linger: None }
    }

    /// Returns the mark of a request that is refused before its body was read.
    pub fn unread_request(&self) -> UnreadRequest {
        self.state.unread_request.clone()
    }

    /// Returns why no more bytes of a refused request were discarded, if any were.
    pub fn linger_end(&self) -> Option<LingerEnd> {
        self.state.linger_end.get()
    }

    /// Waits until the connection must be closed: until it has been idle, or a head incomplete, for
    /// longer than the limit when it became idle and the one in force, or its answer unread.
    pub async fn expired(&self) -> Expiry {
        loop {
            match self.state.left() {
                Ok(left) => {
                    // The wait ends by the time-out or by a change, after which the limits are read
                    // again.
                    let _ = pause_tolerant::timeout(left, self.state.changed.notified()).await;
                }
                Err(expiry) => return expiry,
            }
            if self.state.is_unread() {
                return Expiry::UnreadAnswer;
            }
        }
    }
}

impl IdleState {
    fn is_busy(&self) -> bool {
        self.requests.get() > 0 || self.is_write_blocked.get()
    }

    fn update_table(&self) {
        let mut table = body_watch::lock(&self.table);
        if self.is_busy() { table.set_busy(self.id) } else { table.set_idle(self.id) }
    }

    /// Returns the time until the connection must be looked at again, or why it has expired.
    fn left(&self) -> Result<Duration, Expiry> {
        if let Some(check_at) = self.check_at.get() {
            return Ok(check_at.saturating_duration_since(Instant::now()));
        }
        let limits = (self.limits)().max(self.limits_when_idle.get());
        if self.is_busy() {
            return Ok(limits.idle);
        }
        let (limit, since, expiry) = match self.head_since.get() {
            Some(since) => (limits.head, since, Expiry::SlowHead),
            None => (limits.idle, self.idle_since.get(), Expiry::Idle),
        };
        let left = limit.saturating_sub(since.elapsed());
        if left.is_zero() { Err(expiry) } else { Ok(left) }
    }

    /// Checks, if it is time, whether the client must be disconnected since it does not read.
    fn is_unread(&self) -> bool {
        let now = Instant::now();
        if self.check_at.get().is_none_or(|check_at| now < check_at) {
            return false;
        }
        let is_blocked = self.is_write_blocked.get();
        let mut unread_answer = self.unread_answer.get();
        let is_unread = unread_answer.check(is_blocked);
        self.unread_answer.set(unread_answer);
        self.check_at.set(is_blocked.then(|| now + unread_answer::CHECK_INTERVAL));
        is_unread
    }

    fn restart(&self) {
        self.idle_since.set(Instant::now());
        self.limits_when_idle.set((self.limits)());
        self.update_table();
    }

    fn record_read(&self, bytes: &[u8]) {
        let is_head = !self.is_busy() && self.head_since.get().is_none();
        // Some clients end a body with a line break that is not counted in its length.
        if is_head && bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n')) {
            self.head_since.set(Some(Instant::now()));
            self.has_new_head.set(true);
        }
    }

    /// Records that the client's bytes are used up; a head that has begun is not complete then.
    fn record_read_blocked(&self) {
        if self.has_new_head.replace(false) && self.head_since.get().is_some() {
            self.changed.notify_one();
        }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            let mut unread_answer = self.unread_answer.get();
            unread_answer.record_sent(*bytes);
            self.unread_answer.set(unread_answer);
        }
        let is_blocked = written.is_pending();
        let was_blocked = self.is_write_blocked.replace(is_blocked);
        if was_blocked && !is_blocked {
            self.restart();
        } else if is_blocked && !was_blocked {
            self.update_table();
            if self.check_at.get().is_none() {
                self.check_at.set(Some(Instant::now() + unread_answer::CHECK_INTERVAL));
                self.changed.notify_one();
            }
        }
    }
}

/// A request in progress on a connection.
pub struct BusyConnection {
    state: Rc<IdleState>,
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        let left = self.state.requests.get().saturating_sub(1);
        self.state.requests.set(left);
        self.state.restart();
    }
}

/// The stream of a client's connection.
pub struct WatchedStream {
    stream: TcpStream,
    state: Rc<IdleState>,
    /// The discarding of a refused request's rest, once it has begun.
    linger: Option<Linger>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_bytes = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match read {
            Poll::Pending => self.state.record_read_blocked(),
            Poll::Ready(_) => self.state.record_read(&buffer.filled()[filled_bytes..]),
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.state.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.state.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
        if this.state.unread_request.is_marked() {
            let linger = this.linger.get_or_insert_with(Linger::begin);
            let end = ready!(linger.poll(&mut this.stream, context));
            this.state.linger_end.set(Some(end));
        }
        Poll::Ready(Ok(()))
    }
}
