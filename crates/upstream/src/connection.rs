//! An HTTP/1.1 connection that carries one request at a time.

use std::fmt;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use budget::AnswerRefusal;
use budget::AnswerReservation;
use budget::Budget;
use budget::Kind;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use log::debug;
use log::warn;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::decoder::AnswerDecoder;
use crate::head::AnswerHead;

/// The system closes a connection whose sent bytes stay unacknowledged this long; a working path
/// acknowledges within tens of milliseconds.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The free space of the receive buffer before each read.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// The most requests with an id that a connection carries; the hashes of their ids are kept.
const MAX_REQUEST_IDS: usize = 1024;

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection could not be opened, so nothing was sent.
    Connect(String),
    /// The connection was lost before a byte of the request was written.
    NothingSent,
    /// The connection was lost after a part of the request may have been sent.
    Lost(&'static str),
    /// The peer sent bytes that are not a valid answer.
    Malformed(&'static str),
    /// The peer sent more bytes than a part of an answer may have.
    OverLimit(&'static str),
    /// The memory for answers is used up, mostly by others.
    NoMemory,
}

impl ExchangeError {
    /// Returns whether it is certain that the peer received no byte of the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::NothingSent)
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(message) => write!(f, "no connection: {message}"),
            Self::NothingSent => f.write_str("the connection was closed before the request"),
            Self::Lost(message) => write!(f, "the connection was lost: {message}"),
            Self::Malformed(message) => write!(f, "the answer is malformed: {message}"),
            Self::OverLimit(message) => write!(f, "the answer is over a limit: {message}"),
            Self::NoMemory => f.write_str("the memory for answers is used up"),
        }
    }
}

impl std::error::Error for ExchangeError {}

impl From<AnswerRefusal> for ExchangeError {
    fn from(refusal: AnswerRefusal) -> Self {
        match refusal {
            AnswerRefusal::OverShare => Self::OverLimit("the answer takes too much memory"),
            AnswerRefusal::Full => Self::NoMemory,
        }
    }
}

/// A connection to one server.
pub struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    decoder: AnswerDecoder,
    unsent_head: Bytes,
    unsent_body: Bytes,
    has_sent: bool,
    can_keep_open: bool,
    is_closing: bool,
    is_reset: bool,
    has_ended_by_close: bool,
    has_carried_requests: bool,
    request_ids: Vec<u64>,
    keep_alive_timeout_ms: Option<u64>,
    idle_since: Instant,
    budget: Arc<Budget>,
    kind: Kind,
    reservation: AnswerReservation,
}

impl Connection {
    /// Opens a connection to `peer` within `limit`.
    pub async fn open(peer: SocketAddr, limit: Duration) -> Result<Self, ExchangeError> {
        Self::open_with_budget(peer, limit, Budget::unlimited(), Kind::ReplicaAnswers).await
    }

    /// Opens a connection to `peer` within `limit`, whose answers count towards `budget` as
    /// `kind`.
    pub async fn open_with_budget(
        peer: SocketAddr,
        limit: Duration,
        budget: Arc<Budget>,
        kind: Kind,
    ) -> Result<Self, ExchangeError> {
        let stream = match timeout(limit, TcpStream::connect(peer)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ExchangeError::Connect(error.to_string())),
            Err(_) => return Err(ExchangeError::Connect("no answer in time".to_owned())),
        };
        let socket = SockRef::from(&stream);
        let options = socket
            .set_tcp_nodelay(true)
            .and_then(|()| socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)));
        if let Err(error) = options {
            debug!("event=socket_option_refused peer={peer} error=\"{error}\"");
        }
        Ok(Self {
            stream,
            peer,
            decoder: AnswerDecoder::default(),
            unsent_head: Bytes::new(),
            unsent_body: Bytes::new(),
            has_sent: false,
            can_keep_open: true,
            is_closing: false,
            is_reset: false,
            has_ended_by_close: false,
            has_carried_requests: false,
            request_ids: Vec::new(),
            keep_alive_timeout_ms: None,
            idle_since: Instant::now(),
            reservation: AnswerReservation::new(&budget, kind),
            budget,
            kind,
        })
    }

    /// Returns the address of the server.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether a byte of the current request has been written.
    pub fn has_sent(&self) -> bool {
        self.has_sent
    }

    /// Returns how long the connection has been idle.
    pub fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Returns the idle time after which the server closes the connection, if it has announced one.
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        self.keep_alive_timeout_ms.map(Duration::from_millis)
    }

    /// Sets the next request, which [`Self::read_head`] writes.
    pub fn queue_request(&mut self, request: Bytes) {
        self.queue_request_parts(request, Bytes::new());
    }

    fn queue_request_parts(&mut self, head: Bytes, body: Bytes) {
        self.unsent_head = head;
        self.unsent_body = body;
        self.has_sent = false;
        self.has_carried_requests = true;
    }

    /// Sets the next request, which has an id that its answer repeats. The body is not copied.
    pub fn queue_request_with_id(&mut self, head: Bytes, body: Bytes, id: &str) {
        self.queue_request_parts(head, body);
        self.request_ids.push(hash_id(id));
    }

    /// Returns whether a request has been set before.
    pub fn has_carried_requests(&self) -> bool {
        self.has_carried_requests
    }

    /// Returns whether a request with this id was set before.
    pub fn has_carried(&self, id: &str) -> bool {
        self.request_ids.contains(&hash_id(id))
    }

    /// Excludes the connection from reuse after the current request.
    pub fn close_after_answer(&mut self) {
        self.is_closing = true;
    }

    /// Writes the rest of the request and returns the head of the next answer that is not interim.
    ///
    /// Reads while it writes, because a server may answer before it has read the complete body.
    pub async fn read_head(&mut self, method: &Method) -> Result<AnswerHead, ExchangeError> {
        let result = self.read_head_unlogged(method).await;
        self.log_rejected(result)
    }

    async fn read_head_unlogged(&mut self, method: &Method) -> Result<AnswerHead, ExchangeError> {
        loop {
            if let Some(head) = self.decoder.next_head(method)? {
                self.can_keep_open = !head.has_connection_close() && !self.decoder.is_until_close();
                self.keep_alive_timeout_ms = head.keep_alive_timeout_ms();
                return Ok(head);
            }
            if self.write_and_read().await? == 0 {
                return Err(self.connection_lost("it ended before the answer"));
            }
            self.reservation.resize(self.decoder.received.capacity())?;
        }
    }

    /// Returns the next part of the answer's body, or `None` once the body is complete.
    pub async fn read_body(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let result = self.read_body_unlogged().await;
        self.log_rejected(result)
    }

    async fn read_body_unlogged(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            if let Some(part) = self.decoder.next_part()? {
                return Ok(Some(part));
            }
            if self.decoder.is_complete() {
                return Ok(None);
            }
            if self.write_and_read().await? == 0 {
                self.has_ended_by_close = self.decoder.is_until_close();
                self.decoder.finish()?;
            }
        }
    }

    /// Sets how many bytes of the answer the caller keeps in memory; fails if they are too many.
    pub fn set_kept_bytes(&mut self, kept_bytes: usize) -> Result<(), ExchangeError> {
        let result = self.reservation.resize(kept_bytes).map_err(ExchangeError::from);
        self.log_rejected(result)
    }

    /// Reads the rest of the body, which may have at most `limit_bytes`.
    ///
    /// The body counts towards the memory for answers until it is dropped.
    pub async fn read_whole_body(&mut self, limit_bytes: usize) -> Result<Bytes, ExchangeError> {
        let mut body = Bytes::new();
        let mut parts = BytesMut::new();
        while let Some(part) = self.read_body().await? {
            if body.len() + parts.len() + part.len() > limit_bytes {
                let error = ExchangeError::OverLimit("the body is too large");
                return self.log_rejected(Err(error));
            }
            if body.is_empty() && parts.is_empty() {
                body = part;
                continue;
            }
            parts.extend_from_slice(&std::mem::take(&mut body));
            parts.extend_from_slice(&part);
            self.set_kept_bytes(parts.capacity())?;
        }
        let body = if parts.is_empty() { body } else { parts.freeze() };
        let next = AnswerReservation::new(&self.budget, self.kind);
        Ok(std::mem::replace(&mut self.reservation, next).attach(body))
    }

    /// Returns whether the answer has been read to its end.
    pub fn has_complete_answer(&self) -> bool {
        self.decoder.is_complete()
    }

    /// Returns whether the answer had no length and ended with its connection, so that it may have
    /// been cut short.
    pub fn has_ended_by_close(&self) -> bool {
        self.has_ended_by_close
    }

    /// Returns whether the answer has ended and the connection can carry another request.
    pub fn is_reusable(&self) -> bool {
        self.can_keep_open
            && !self.is_closing
            && self.request_ids.len() < MAX_REQUEST_IDS
            && self.decoder.is_complete()
            && !self.has_unsent()
            && self.decoder.received.is_empty()
    }

    /// Marks the connection as idle from now on and frees the receive buffer.
    pub fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
        self.decoder.received = BytesMut::new();
        self.reservation = AnswerReservation::new(&self.budget, self.kind);
    }

    /// Returns whether an idle connection is still open and has no bytes to read.
    pub fn is_open_and_silent(&self) -> bool {
        let mut probe = [MaybeUninit::<u8>::uninit(); 1];
        matches!(SockRef::from(&self.stream).peek(&mut probe),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn has_unsent(&self) -> bool {
        !self.unsent_head.is_empty() || !self.unsent_body.is_empty()
    }

    fn advance_unsent(&mut self, written: usize) {
        let head_bytes = written.min(self.unsent_head.len());
        self.unsent_head.advance(head_bytes);
        self.unsent_body.advance(written - head_bytes);
        if !self.has_unsent() {
            self.drop_unsent();
        }
    }

    /// Drops the parts of the request: even an empty part keeps the memory of the whole body.
    fn drop_unsent(&mut self) {
        self.unsent_head = Bytes::new();
        self.unsent_body = Bytes::new();
    }

    /// Writes as much as possible until some bytes have been read; returns their number, or 0 if
    /// the peer has closed the connection.
    async fn write_and_read(&mut self) -> Result<usize, ExchangeError> {
        loop {
            if self.has_unsent() {
                let parts = [IoSlice::new(&self.unsent_head), IoSlice::new(&self.unsent_body)];
                match self.stream.try_write_vectored(&parts) {
                    Ok(written) => {
                        self.has_sent |= written > 0;
                        self.advance_unsent(written);
                    }
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(error) => {
                        // The peer may have answered before it stopped reading, so the answer is
                        // still read.
                        self.drop_unsent();
                        self.close_after_answer();
                        // A socket reports a reset once, and then an end like that of an orderly
                        // close. A broken pipe means that the orderly end came first.
                        self.is_reset = error.kind() != io::ErrorKind::BrokenPipe;
                    }
                }
            }
            let received = &mut self.decoder.received;
            received.reserve(READ_BUFFER_BYTES);
            match self.stream.try_read_buf(received) {
                Ok(0) if self.is_reset => return Err(self.connection_lost("it was reset")),
                Ok(read) => {
                    // A peer that sends without a pause must not keep the caller's timers and the
                    // other tasks from running.
                    tokio::task::coop::consume_budget().await;
                    return Ok(read);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(self.connection_lost("it was reset")),
            }
            let ready = if self.has_unsent() {
                tokio::select! {
                    ready = self.stream.readable() => ready,
                    ready = self.stream.writable() => ready,
                }
            } else {
                self.stream.readable().await
            };
            if ready.is_err() {
                return Err(self.connection_lost("it failed"));
            }
        }
    }

    fn log_rejected<T>(&self, result: Result<T, ExchangeError>) -> Result<T, ExchangeError> {
        match &result {
            Err(ExchangeError::OverLimit(reason)) => {
                warn!("event=answer_over_limit peer={} reason=\"{reason}\"", self.peer);
            }
            Err(ExchangeError::Malformed(reason)) => {
                warn!("event=answer_malformed peer={} reason=\"{reason}\"", self.peer);
            }
            Err(ExchangeError::NoMemory) => {
                warn!(
                    "event=answer_without_memory peer={} kind={} used_bytes={}",
                    self.peer,
                    self.kind.as_str(),
                    self.budget.used_bytes(self.kind)
                );
            }
            _ => {}
        }
        result
    }

    fn connection_lost(&self, message: &'static str) -> ExchangeError {
        if self.has_sent { ExchangeError::Lost(message) } else { ExchangeError::NothingSent }
    }
}

fn hash_id(id: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(id)
}

/// Returns whether `peer` refuses a new connection, so that no process listens there. A connect that
/// gets no answer within `limit` does not show this.
pub async fn refuses_connections(peer: SocketAddr, limit: Duration) -> bool {
    match timeout(limit, TcpStream::connect(peer)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
