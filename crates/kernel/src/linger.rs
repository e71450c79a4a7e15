//! The end of a connection whose client may still send the body of a refused request.
//!
//! If a socket is closed with unread bytes, the kernel sends a reset, and the client may lose the refusal.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

/// How long a client's bytes are discarded: some round trips, after which it has read the refusal.
const MAX_TIME: Duration = Duration::from_secs(1);
/// The most bytes that are discarded: the largest body of the usual limits, with its framing.
pub const MAX_BYTES: usize = (4 << 20) + (256 << 10);
/// The size of the buffer into which discarded bytes are read.
const PART_BYTES: usize = 4 << 10;

/// Marks the request of a connection as refused before its body was read; an extension of each request
/// of a server.
#[derive(Clone, Debug, Default)]
pub struct UnreadRequest {
    is_marked: Arc<AtomicBool>,
}

impl UnreadRequest {
    /// Has the server discard what follows before it closes the connection.
    pub fn mark(&self) {
        self.is_marked.store(true, Ordering::Relaxed);
    }

    /// Removes the mark, since another request has begun.
    pub(crate) fn clear(&self) {
        self.is_marked.store(false, Ordering::Relaxed);
    }

    pub(crate) fn is_marked(&self) -> bool {
        self.is_marked.load(Ordering::Relaxed)
    }
}

/// Why no more bytes are discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LingerEnd {
    /// The client has ended the connection.
    ClientClosed,
    /// The time is over.
    Time,
    /// The bytes are used up.
    Bytes,
}

impl LingerEnd {
    /// Returns the reason used in logs and counters, or `None` if no bound was reached.
    pub fn bound_reason(self) -> Option<&'static str> {
        match self {
            Self::ClientClosed => None,
            Self::Time => Some("unread_request_time"),
            Self::Bytes => Some("unread_request_bytes"),
        }
    }
}

/// Discards the bytes of a client for a bounded time and up to a bounded number.
///
/// Designed for clients that send a large body at once and read the answer afterwards: the best result is
/// that each reads its refusal, while one that never ends is disconnected.
pub(crate) struct Linger {
    deadline: Pin<Box<Sleep>>,
    discarded_bytes: usize,
}

impl Linger {
    pub(crate) fn begin() -> Self {
        Self { deadline: Box::pin(sleep(MAX_TIME)), discarded_bytes: 0 }
    }

    pub(crate) fn poll(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
    ) -> Poll<LingerEnd> {
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(LingerEnd::Time);
        }
        let mut part = [0; PART_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut part);
            match Pin::new(&mut *stream).poll_read(context, &mut buffer) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.discarded_bytes += buffer.filled().len();
                }
                Poll::Ready(_) => return Poll::Ready(LingerEnd::ClientClosed),
            }
            if self.discarded_bytes > MAX_BYTES {
                return Poll::Ready(LingerEnd::Bytes);
            }
        }
    }
}
