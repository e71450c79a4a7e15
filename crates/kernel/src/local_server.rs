//! The HTTP server of a daemon that runs on a single thread.
//!
//! A handler's future, and the stream of its answer's body, are dropped as soon as the client's
//! connection ends, which cancels the work for a client that has disconnected. `http_server`
//! cannot do that, since xitca-web runs every handler to completion.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
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
use tokio_util::sync::CancellationToken;

use crate::KernelError;
use crate::idle_timer::BusyConnection;
use crate::idle_timer::IdleTimer;

/// The length of the queue of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// The pause after a failed accept, such as when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
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
    connections: Cell<usize>,
}

impl ServerLifecycle {
    /// Creates the lifecycle of a server that has not started.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits: Cell::new(limits),
            leaving: CancellationToken::new(),
            closing: CancellationToken::new(),
            stopped: CancellationToken::new(),
            connections: Cell::new(0),
        }
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.get()
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
                let connection = serve_connection(stream, peer, handler.clone(), lifecycle.clone());
                spawn_local(connection);
            }
            Err(error) => {
                warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<H: LocalHandler>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Rc<H>,
    lifecycle: Rc<ServerLifecycle>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("event=socket_option_refused peer={peer} error=\"{error}\"");
    }
    lifecycle.connections.set(lifecycle.connections.get() + 1);
    let limits = lifecycle.limits.get();
    let idle_timer = IdleTimer::new({
        let lifecycle = lifecycle.clone();
        move || lifecycle.limits.get().idle
    });
    let service = service_fn(|request| {
        let busy = idle_timer.begin_request();
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
    let result = loop {
        tokio::select! {
            result = connection.as_mut() => break Some(result),
            () = lifecycle.closing.cancelled(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = idle_timer.expired() => {
                debug!("event=connection_idle peer={peer}");
                break None;
            }
            () = lifecycle.stopped.cancelled() => break None,
        }
    };
    if let Some(Err(error)) = result {
        debug!("event=connection_ended peer={peer} error=\"{error}\"");
    }
    lifecycle.connections.set(lifecycle.connections.get().saturating_sub(1));
}
