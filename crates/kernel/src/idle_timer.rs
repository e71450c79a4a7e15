//! The time for which a client's connection has waited for a request.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::pause_tolerant;

/// Measures how long a connection has been idle: without a request whose head is complete, and
/// without bytes of an answer that the client has not taken.
#[derive(Clone)]
pub struct IdleTimer {
    state: Rc<IdleState>,
}

struct IdleState {
    limit: Box<dyn Fn() -> Duration>,
    requests: Cell<usize>,
    /// Whether bytes wait because the client has not read those before.
    is_write_blocked: Cell<bool>,
    idle_since: Cell<Instant>,
    limit_when_idle: Cell<Duration>,
}

impl IdleTimer {
    /// Creates the timer of a connection that was just opened; `limit` returns the limit in force.
    pub fn new(limit: impl Fn() -> Duration + 'static) -> Self {
        let state = IdleState {
            requests: Cell::new(0),
            is_write_blocked: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            limit_when_idle: Cell::new(limit()),
            limit: Box::new(limit),
        };
        Self { state: Rc::new(state) }
    }

    /// Marks the connection as busy until the returned value is dropped.
    pub fn begin_request(&self) -> BusyConnection {
        self.state.requests.set(self.state.requests.get() + 1);
        BusyConnection { state: self.state.clone() }
    }

    /// Returns a stream whose blocked writes keep the connection from being idle.
    pub fn watch(&self, stream: TcpStream) -> WatchedStream {
        WatchedStream { stream, state: self.state.clone() }
    }

    /// Waits until the connection has been idle for longer than the limit when it became idle and
    /// the one in force.
    pub async fn expired(&self) {
        while let Some(left) = self.state.left() {
            // The time-out is the purpose of the wait.
            let _ = pause_tolerant::timeout(left, std::future::pending::<()>()).await;
        }
    }
}

impl IdleState {
    /// Returns the time until the connection may expire, or `None` if it has expired.
    fn left(&self) -> Option<Duration> {
        let limit = (self.limit)();
        if self.requests.get() > 0 || self.is_write_blocked.get() {
            return Some(limit);
        }
        let limit = limit.max(self.limit_when_idle.get());
        Some(limit.saturating_sub(self.idle_since.get().elapsed())).filter(|left| !left.is_zero())
    }

    fn restart(&self) {
        self.idle_since.set(Instant::now());
        self.limit_when_idle.set((self.limit)());
    }

    fn record_write(&self, is_blocked: bool) {
        if self.is_write_blocked.replace(is_blocked) && !is_blocked {
            self.restart();
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
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.state.record_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.state.record_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
