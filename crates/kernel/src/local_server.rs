//! The HTTP server of a daemon that runs on a single thread.
//!
//! A handler's future, and the stream of its answer's body, are dropped as soon as the client's
//! connection ends, which cancels the work for a client that has disconnected. `http_server`
//! cannot do that, since xitca-web runs every handler to completion.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use futures::future::LocalBoxFuture;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::Counters;
use crate::KernelError;
use crate::body_watch;
use crate::body_watch::BodyWatch;
use crate::connection_table::Admission;
use crate::connection_table::ConnectionId;
use crate::connection_table::ConnectionTable;
use crate::idle_timer::BusyConnection;
use crate::idle_timer::Expiry;
use crate::idle_timer::IdleTimer;
use crate::idle_timer::TimeLimits;
use crate::linger::LingerEnd;
use crate::receive_buffer;

/// The length of the queue of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// The pause after a failed accept, such as when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The least time between two log lines about connections over the bound.
const BOUND_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The minimum read buffer that the HTTP library allows, in bytes.
const MIN_HEAD_BYTES: usize = 8192;

/// A body that is generated while it is sent; an error closes the connection.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, io::Error>>>>;

/// The body of an answer.
pub enum LocalBody {
    /// A complete body; `None` once it has been sent.
    Full(Option<Bytes>),
    /// A body that is sent while it is generated.
    Stream(BodyStream),
}

impl LocalBody {
    /// Returns a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for LocalBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream.as_mut().poll_next(context).map_ok(Frame::data),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// A body whose connection is busy until the body is dropped.
struct BusyBody {
    body: LocalBody,
    _busy: BusyConnection,
}

impl Body for BusyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The handler that a server calls for each request.
pub trait LocalHandler: 'static {
    /// Answers a request; the future is dropped when the client disconnects.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<LocalBody>>;
}

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// The maximum size of a request's head, in bytes; a change applies to connections that are
    /// opened later.
    pub header_bytes: usize,
    /// The maximum time that a connection waits for a complete head: the longer of the limits at
    /// the beginning and at the end of the wait.
    pub idle: Duration,
    /// The maximum time from the first byte of a head to its end, of which the longer applies likewise.
    pub head: Duration,
}

/// The bound of a server's open connections, and where its decisions are counted.
pub struct ConnectionBound {
    /// The name of the server in logs and counters.
    pub server: &'static str,
    /// The maximum number of open connections; at the bound idle ones are closed for new ones, then
    /// those whose request body has stalled, and new ones are refused if there is neither.
    pub max_connections: usize,
    /// The counters of the daemon.
    pub counters: Counters,
}

/// The lifecycle of a server: its limits, the stages of its shutdown and its open connections.
pub struct ServerLifecycle {
    /// The limits of connections.
    pub limits: Cell<ConnectionLimits>,
    /// Cancelled when every answer must be the last one on its connection.
    pub leaving: CancellationToken,
    /// Cancelled when idle connections are closed and no new ones are accepted.
    pub closing: CancellationToken,
    /// Cancelled when all connections are closed at once.
    pub stopped: CancellationToken,
    bound: Option<ConnectionBound>,
    table: Arc<Mutex<ConnectionTable>>,
    /// For each open connection, a token that is cancelled when it is closed for a new one.
    replaced: RefCell<HashMap<ConnectionId, CancellationToken>>,
    over_bound: RefCell<OverBound>,
}

/// What was done at the bound since the last log line.
#[derive(Default)]
struct OverBound {
    logged_at: Option<Instant>,
    closed_idle: u64,
    closed_stalled: u64,
    refused: u64,
}

impl ServerLifecycle {
    /// Creates the lifecycle of a server that has not started, without a bound of its connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self::create(limits, None)
    }

    /// Creates the lifecycle of a server that has not started, with a bound of its connections.
    pub fn bounded(limits: ConnectionLimits, bound: ConnectionBound) -> Self {
        Self::create(limits, Some(bound))
    }

    fn create(limits: ConnectionLimits, bound: Option<ConnectionBound>) -> Self {
        let max_connections = bound.as_ref().map_or(usize::MAX, |bound| bound.max_connections);
        Self {
            limits: Cell::new(limits),
            leaving: CancellationToken::new(),
            closing: CancellationToken::new(),
            stopped: CancellationToken::new(),
            bound,
            table: Arc::new(Mutex::new(ConnectionTable::new(max_connections))),
            replaced: RefCell::default(),
            over_bound: RefCell::default(),
        }
    }

    /// Returns the number of open connections, including those that were closed for a new one and still
    /// answer their last request.
    pub fn connections(&self) -> usize {
        self.replaced.borrow().len()
    }

    /// Returns the number of connections that count towards the bound.
    fn counted_connections(&self) -> usize {
        body_watch::lock(&self.table).len()
    }

    fn is_at_bound(&self) -> bool {
        self.bound.as_ref().is_some_and(|bound| self.counted_connections() >= bound.max_connections)
    }

    /// Returns whether so many connections are open that a new one gets a small receive buffer.
    fn limits_receive_buffers(&self) -> bool {
        let bound = self.bound.as_ref();
        bound.is_some_and(|bound| {
            receive_buffer::is_limited(self.counted_connections(), bound.max_connections)
        })
    }

    /// Decides about a new connection; returns its id, or `None` if it is refused.
    fn admit(&self) -> Option<ConnectionId> {
        let admission = body_watch::lock(&self.table).admit();
        let (opened, outcome) = match admission {
            Admission::Open(opened) => (Some(opened), None),
            Admission::Replace { opened, closed } => {
                if let Some(replaced) = self.replaced.borrow().get(&closed) {
                    replaced.cancel();
                }
                (Some(opened), Some("idle_at_bound"))
            }
            Admission::Evict { opened, evicted } => {
                if let Some(evicted) = self.replaced.borrow().get(&evicted) {
                    evicted.cancel();
                }
                (Some(opened), Some("stalled_at_bound"))
            }
            Admission::Refuse => (None, Some("refused")),
        };
        if let Some(outcome) = outcome {
            self.record_over_bound(admission, outcome);
        }
        opened
    }

    fn record_over_bound(&self, admission: Admission, outcome: &str) {
        self.count_closed(outcome);
        let mut over_bound = self.over_bound.borrow_mut();
        match admission {
            Admission::Open(_) => {}
            Admission::Replace { .. } => over_bound.closed_idle += 1,
            Admission::Evict { .. } => over_bound.closed_stalled += 1,
            Admission::Refuse => over_bound.refused += 1,
        }
        if over_bound.logged_at.is_some_and(|at| at.elapsed() < BOUND_LOG_INTERVAL) {
            return;
        }
        warn!(
            "event=connections_at_bound server={} open={} closed_idle={} closed_stalled={} refused={}",
            self.server(),
            self.connections(),
            over_bound.closed_idle,
            over_bound.closed_stalled,
            over_bound.refused
        );
        *over_bound = OverBound { logged_at: Some(Instant::now()), ..OverBound::default() };
    }

    fn count_closed(&self, reason: &str) {
        if let Some(bound) = &self.bound {
            bound.counters.count_tagged("connections_closed", "reason", reason);
        }
    }

    fn server(&self) -> &'static str {
        self.bound.as_ref().map_or("-", |bound| bound.server)
    }

    /// Returns a token that is cancelled when a connection is closed for a new one.
    fn watch_replacement(&self, id: ConnectionId) -> CancellationToken {
        let replaced = CancellationToken::new();
        self.replaced.borrow_mut().insert(id, replaced.clone());
        replaced
    }

    fn record_end(&self, id: ConnectionId) {
        body_watch::lock(&self.table).remove(id);
        self.replaced.borrow_mut().remove(&id);
    }
}

/// Opens a listening socket.
pub fn listen(address: SocketAddr) -> Result<TcpListener, KernelError> {
    let bind = || -> io::Result<TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().map_err(|source| KernelError::Bind { address: address.to_string(), source })
}

/// Serves connections until the server is closed or stopped; must run inside a `LocalSet`.
pub async fn serve<H: LocalHandler>(
    listener: TcpListener,
    handler: Rc<H>,
    lifecycle: Rc<ServerLifecycle>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = lifecycle.closing.cancelled() => return,
            () = lifecycle.stopped.cancelled() => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                // A refused connection is closed at once.
                let Some(id) = lifecycle.admit() else { continue };
                let connection = OpenConnection { id, peer, lifecycle: lifecycle.clone() };
                let replaced = lifecycle.watch_replacement(id);
                spawn_local(connection.serve(stream, handler.clone(), replaced));
                if lifecycle.is_at_bound() {
                    // Lets the replaced connection close its descriptor.
                    yield_now().await;
                }
            }
            Err(error) => {
                warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// A connection of a client.
struct OpenConnection {
    id: ConnectionId,
    peer: SocketAddr,
    lifecycle: Rc<ServerLifecycle>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.lifecycle.record_end(self.id);
    }
}

impl OpenConnection {
    async fn serve<H: LocalHandler>(
        self,
        stream: TcpStream,
        handler: Rc<H>,
        replaced: CancellationToken,
    ) {
        let (peer, lifecycle) = (self.peer, &self.lifecycle);
        if let Err(error) = stream.set_nodelay(true) {
            debug!("event=socket_option_refused peer={peer} error=\"{error}\"");
        }
        if lifecycle.limits_receive_buffers()
            && let Err(error) = receive_buffer::limit(&stream)
        {
            debug!("event=socket_option_refused peer={peer} error=\"{error}\"");
        }
        let limits = lifecycle.limits.get();
        let idle_timer = IdleTimer::new(lifecycle.table.clone(), self.id, {
            let lifecycle = lifecycle.clone();
            move || {
                let limits = lifecycle.limits.get();
                TimeLimits { idle: limits.idle, head: limits.head }
            }
        });
        let service = service_fn(|mut request: Request<Incoming>| {
            let busy = idle_timer.begin_request();
            request.extensions_mut().insert(peer);
            request.extensions_mut().insert(idle_timer.unread_request());
            request.extensions_mut().insert(BodyWatch::new(
                lifecycle.table.clone(),
                self.id,
                lifecycle.limits.get().head,
                replaced.clone(),
            ));
            let answer = handler.clone().handle(request);
            let lifecycle = lifecycle.clone();
            async move {
                let mut answer = answer.await;
                if lifecycle.leaving.is_cancelled() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer.map(|body| BusyBody { body, _busy: busy }))
            }
        });
        let connection = http1::Builder::new()
            .max_buf_size(limits.header_bytes.max(MIN_HEAD_BYTES))
            .serve_connection(TokioIo::new(idle_timer.watch(stream)), service);
        let mut connection = std::pin::pin!(connection);
        let mut is_closing = false;
        let mut is_kept = false;
        let result = loop {
            tokio::select! {
                // A request that has arrived is read before its connection may be replaced.
                biased;
                result = connection.as_mut() => break Some(result),
                () = lifecycle.closing.cancelled(), if !is_closing => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = replaced.cancelled(), if !is_kept => {
                    // A request that came meanwhile is served, and is the last one: this connection no
                    // longer counts towards the bound.
                    if !idle_timer.is_busy() {
                        break None;
                    }
                    is_kept = true;
                    connection.as_mut().graceful_shutdown();
                }
                expiry = idle_timer.expired() => {
                    self.record_expiry(expiry);
                    break None;
                }
                () = lifecycle.stopped.cancelled() => break None,
            }
        };
        if let Some(reason) = idle_timer.linger_end().and_then(LingerEnd::bound_reason) {
            lifecycle.count_closed(reason);
            debug!(
                "event=client_connection_closed server={} reason={reason} peer={peer}",
                lifecycle.server()
            );
        }
        if let Some(Err(error)) = result {
            debug!("event=connection_ended peer={peer} error=\"{error}\"");
        }
    }

    fn record_expiry(&self, expiry: Expiry) {
        let (reason, peer) = (expiry.as_str(), self.peer);
        self.lifecycle.count_closed(reason);
        let server = self.lifecycle.server();
        match expiry {
            Expiry::UnreadAnswer => {
                warn!("event=client_connection_closed server={server} reason={reason} peer={peer}");
            }
            Expiry::SlowHead | Expiry::Idle => {
                debug!(
                    "event=client_connection_closed server={server} reason={reason} peer={peer}"
                );
            }
        }
    }
}
