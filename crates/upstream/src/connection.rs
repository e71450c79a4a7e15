//! One connection that carries one request at a time.

use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use http::StatusCode;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::framing::Framing;
use crate::head::AnswerHead;

/// How long sent bytes may stay unacknowledged before the system gives the connection up; a path
/// that answers at all acknowledges within tens of milliseconds.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The bytes read at once.
const READ_BYTES: usize = 8 << 10;

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection was made, so nothing was sent.
    Connect(String),
    /// The connection ended before a byte of the request was written.
    NothingSent,
    /// The connection ended after a part of the request may have left.
    Lost(&'static str),
    /// The peer sent bytes that are no answer.
    Malformed(&'static str),
}

impl Fault {
    /// Returns whether the peer certainly got no byte of the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NothingSent)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(message) => write!(f, "no connection: {message}"),
            Self::NothingSent => f.write_str("the connection was closed before the request"),
            Self::Lost(message) => write!(f, "the connection was lost: {message}"),
            Self::Malformed(message) => write!(f, "the answer is malformed: {message}"),
        }
    }
}

impl std::error::Error for Fault {}

/// A connection to one server.
pub struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    received: BytesMut,
    unsent: Bytes,
    has_sent: bool,
    framing: Framing,
    keeps_open: bool,
    keep_alive_ms: Option<u64>,
    idle_since: Instant,
}

impl Connection {
    /// Connects to `peer` within `limit`.
    pub async fn open(peer: SocketAddr, limit: Duration) -> Result<Self, Fault> {
        let stream = match timeout(limit, TcpStream::connect(peer)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Fault::Connect(error.to_string())),
            Err(_) => return Err(Fault::Connect("no answer in time".to_owned())),
        };
        let socket = SockRef::from(&stream);
        let options = socket
            .set_tcp_nodelay(true)
            .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
        if let Err(error) = options {
            log::debug!("event=socket_option_refused peer={peer} error=\"{error}\"");
        }
        Ok(Self {
            stream,
            peer,
            received: BytesMut::new(),
            unsent: Bytes::new(),
            has_sent: false,
            framing: Framing::Done,
            keeps_open: true,
            keep_alive_ms: None,
            idle_since: Instant::now(),
        })
    }

    /// Returns the server's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether a byte of the current request was written.
    pub fn has_sent(&self) -> bool {
        self.has_sent
    }

    /// Returns how long the connection has been idle.
    pub fn idle_for(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Returns the idle time that the server granted.
    pub fn keep_alive(&self) -> Option<Duration> {
        self.keep_alive_ms.map(Duration::from_millis)
    }

    /// Begins a request; `exchange` writes it.
    pub fn begin(&mut self, request: Bytes) {
        self.unsent = request;
        self.has_sent = false;
    }

    /// Writes what is left of the request and returns the head of the next final answer.
    ///
    /// Reads while it writes, since a server may answer before it has read the whole body.
    pub async fn read_head(&mut self, method: &Method) -> Result<AnswerHead, Fault> {
        loop {
            if let Some(head) = AnswerHead::parse(&mut self.received)? {
                if head.status.is_informational() && head.status != StatusCode::SWITCHING_PROTOCOLS
                {
                    continue;
                }
                self.framing = Framing::of(method, &head)?;
                self.keeps_open = !head.closes() && self.framing != Framing::UntilClose;
                self.keep_alive_ms = head.keep_alive_ms();
                return Ok(head);
            }
            if self.pump().await? == 0 {
                return Err(self.lost("it ended before the answer"));
            }
        }
    }

    /// Returns the next part of the answer's body, or `None` at its proper end.
    pub async fn read_body(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            if let Some(part) = self.framing.take(&mut self.received)? {
                return Ok(Some(part));
            }
            if self.framing == Framing::Done {
                return Ok(None);
            }
            if self.pump().await? > 0 {
                continue;
            }
            if self.framing == Framing::UntilClose {
                self.framing = Framing::Done;
                return Ok(None);
            }
            return Err(Fault::Lost("it ended inside the answer"));
        }
    }

    /// Reads the rest of the body into one buffer of at most `limit` bytes.
    pub async fn read_whole_body(&mut self, limit: usize) -> Result<Bytes, Fault> {
        let Some(first) = self.read_body().await? else {
            return Ok(Bytes::new());
        };
        if self.framing == Framing::Done {
            return Ok(first);
        }
        let mut whole = BytesMut::from(first);
        while let Some(part) = self.read_body().await? {
            if whole.len() + part.len() > limit {
                return Err(Fault::Malformed("the body is too large"));
            }
            whole.extend_from_slice(&part);
        }
        Ok(whole.freeze())
    }

    /// Returns whether the answer has ended and the connection can carry another request.
    pub fn is_reusable(&self) -> bool {
        self.keeps_open
            && self.framing == Framing::Done
            && self.unsent.is_empty()
            && self.received.is_empty()
    }

    /// Marks the start of an idle time and frees the buffer.
    pub fn rest(&mut self) {
        self.idle_since = Instant::now();
        self.received = BytesMut::new();
    }

    /// Returns whether an idle connection is still open and silent.
    pub fn is_quiet(&self) -> bool {
        let mut probe = [MaybeUninit::<u8>::uninit(); 1];
        matches!(SockRef::from(&self.stream).peek(&mut probe),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes what can be written and waits until something was read; returns 0 at the end.
    async fn pump(&mut self) -> Result<usize, Fault> {
        loop {
            if !self.unsent.is_empty() {
                match self.stream.try_write(&self.unsent) {
                    Ok(written) => {
                        self.has_sent |= written > 0;
                        self.unsent.advance(written);
                    }
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) if self.received.is_empty() => {
                        // An answer may still wait to be read behind a refused write.
                        self.unsent.clear();
                        self.keeps_open = false;
                    }
                    Err(_) => return Err(self.lost("the request could not be written")),
                }
            }
            self.received.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.received) {
                Ok(read) => return Ok(read),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(self.lost("it was reset")),
            }
            let ready = if self.unsent.is_empty() {
                self.stream.readable().await
            } else {
                tokio::select! {
                    ready = self.stream.readable() => ready,
                    ready = self.stream.writable() => ready,
                }
            };
            if ready.is_err() {
                return Err(self.lost("it failed"));
            }
        }
    }

    fn lost(&self, message: &'static str) -> Fault {
        if self.has_sent { Fault::Lost(message) } else { Fault::NothingSent }
    }
}
