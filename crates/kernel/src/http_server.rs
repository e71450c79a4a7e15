//! The HTTP server: connects xitca-web to handlers that run on the daemon's runtime.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use log::info;
use log::warn;
use rustls::ServerConfig;
use serde::Serialize;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::Reason;
use wire::Refusal;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::BodyExt;
use xitca_web::body::Frame;
use xitca_web::body::ResponseBody;
use xitca_web::body::StreamDataBody;
use xitca_web::error::BodyError;
use xitca_web::error::Error;
use xitca_web::http::WebResponse;
use xitca_web::service::fn_service;

use crate::KernelError;
use crate::request_body::RequestBodies;

/// The chunks of a streamed body; an error closes the connection.
pub type BodyChunks = mpsc::Receiver<Result<Bytes, io::Error>>;

/// The body of an answer.
pub enum Body {
    /// A complete body.
    Full(Bytes),
    /// A body that is sent while it is generated.
    Stream(BodyChunks),
}

/// The handler that a server calls for each request.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    async fn handle(&self, request: Request<Bytes>) -> Response<Body>;
}

/// The number of threads that read and write connections of one server.
const WORKER_THREADS: usize = 1;
/// The interval at which a draining server checks whether its requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// A function that stops a server; xitca-web does not export the type of its handle.
type StopServer = Box<dyn Fn() + Send + Sync>;

/// A running server.
pub struct Server {
    stop: StopServer,
    thread: Mutex<Option<JoinHandle<()>>>,
    bridge: Arc<Bridge>,
}

impl Server {
    /// Listens on `address` and serves until stopped.
    pub fn bind(
        address: SocketAddr,
        tls: Option<ServerConfig>,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, KernelError> {
        let bridge = Arc::new(Bridge {
            handler,
            runtime: Handle::current(),
            in_flight: AtomicUsize::new(0),
            bodies: RequestBodies::default(),
            closing: CancellationToken::new(),
        });
        let bind_error = |source| KernelError::Bind { address: address.to_string(), source };
        let (stop, thread) = start_server(address, tls, Arc::clone(&bridge)).map_err(bind_error)?;
        Ok(Self { stop, thread: Mutex::new(Some(thread)), bridge })
    }

    /// Returns the number of requests being answered.
    pub fn in_flight(&self) -> usize {
        self.bridge.in_flight.load(Ordering::Acquire)
    }

    /// Adds `connection: close` to all further answers.
    pub fn close_after_answers(&self) {
        self.bridge.closing.cancel();
    }

    /// Waits until no request is in flight; xitca-web may still be writing the last bodies.
    pub async fn wait_idle(&self) {
        while self.in_flight() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        (self.stop)();
    }

    /// Closes the listener and blocks until the address is free again.
    pub fn close(&self) {
        self.stop();
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(thread) = thread {
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Builds an answer with a JSON body.
pub fn json_response<T: Serialize>(status: u16, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    bytes_response(status, "application/json", Bytes::from(bytes))
}

/// Builds an answer with a body of the given type.
pub fn bytes_response(status: u16, content_type: &'static str, bytes: Bytes) -> Response<Body> {
    body_response(status, content_type, Body::Full(bytes))
}

/// Builds an answer whose body is streamed.
pub fn stream_response(content_type: &'static str, chunks: BodyChunks) -> Response<Body> {
    body_response(200, content_type, Body::Stream(chunks))
}

/// Builds the answer for a refusal.
pub fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut response = json_response(refusal.reason.http_status(), &RefusalBody { error: refusal });
    if let Some(wait_ms) = refusal.retry_after_ms {
        let seconds = wait_ms.div_ceil(1000).max(1);
        response.headers_mut().insert("retry-after", HeaderValue::from(seconds));
    }
    response
}

/// The JSON body of a refusal.
#[derive(Serialize)]
struct RefusalBody<'a> {
    error: &'a Refusal,
}

fn body_response(status: u16, content_type: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

struct Bridge {
    handler: Arc<dyn Handler>,
    runtime: Handle,
    in_flight: AtomicUsize,
    bodies: RequestBodies,
    closing: CancellationToken,
}

/// Counts a request as in flight until its answer is passed to xitca-web or, if the body is
/// streamed, until the stream has ended or has been dropped.
struct InFlightGuard(Arc<Bridge>);

impl InFlightGuard {
    fn begin(bridge: &Arc<Bridge>) -> Self {
        bridge.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(bridge))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

fn start_server(
    address: SocketAddr,
    tls: Option<ServerConfig>,
    bridge: Arc<Bridge>,
) -> io::Result<(StopServer, JoinHandle<()>)> {
    let server = App::new()
        .with_state(bridge)
        .at("/", fn_service(handle_request))
        .at("/{*path}", fn_service(handle_request))
        .serve()
        .disable_signal()
        .server_threads(1)
        .worker_threads(WORKER_THREADS);
    let server = match tls {
        Some(config) => server.bind_rustls(address, config)?,
        None => server.bind(address)?,
    };
    let mut future = server.run();
    let handle = future.handle()?;
    let thread = std::thread::Builder::new().name("http-server".to_owned()).spawn(move || {
        if let Err(error) = future.wait() {
            warn!("event=http_server_ended error=\"{error}\"");
        }
    })?;
    Ok((Box::new(move || handle.stop(false)), thread))
}

async fn handle_request(mut ctx: WebContext<'_, Arc<Bridge>>) -> Result<WebResponse, Error> {
    let bridge = Arc::clone(ctx.state());
    let guard = InFlightGuard::begin(&bridge);
    let client = ctx.req().body().socket_addr().ip();
    let (head, body) = ctx.take_request().into_parts();
    let response = match read_body(&bridge.bodies, client, body).await {
        Ok(bytes) => call_handler(&bridge, to_http_request(head, bytes)).await,
        Err(refusal) => {
            info!(
                "event=body_refused client={client} reason={} bodies_held_bytes={} message=\"{}\"",
                refusal.reason.as_str(),
                bridge.bodies.held_bytes(),
                refusal.message
            );
            refusal_response(&refusal)
        }
    };
    Ok(to_web_response(response, &bridge, guard))
}

fn to_http_request<T>(head: http::request::Parts, body: T) -> Request<T> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method;
    *request.uri_mut() = head.uri;
    *request.headers_mut() = head.headers;
    request
}

async fn read_body(
    bodies: &RequestBodies,
    client: IpAddr,
    body: impl xitca_web::body::BodyStream,
) -> Result<Bytes, Refusal> {
    let parts = futures::stream::unfold(Box::pin(body), |mut body| async move {
        let part = match body.frame().await? {
            Ok(Frame::Data(part)) => Ok(part.into()),
            Ok(_) => Ok(Bytes::new()),
            Err(error) => Err(error.into()),
        };
        Some((part, body))
    });
    bodies.read::<_, BodyError>(client, std::pin::pin!(parts)).await
}

async fn call_handler(bridge: &Arc<Bridge>, request: Request<Bytes>) -> Response<Body> {
    let handler = Arc::clone(&bridge.handler);
    let task = bridge.runtime.spawn(async move { handler.handle(request).await });
    task.await.unwrap_or_else(|error| {
        let message = format!("the daemon could not answer: {error}");
        refusal_response(&Refusal::may_have_run(Reason::BackendLost, message))
    })
}

fn to_web_response(response: Response<Body>, bridge: &Bridge, guard: InFlightGuard) -> WebResponse {
    let (mut head, body) = response.into_parts();
    if bridge.closing.is_cancelled() {
        head.headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let body = match body {
        Body::Full(bytes) => ResponseBody::bytes(bytes),
        Body::Stream(chunks) => {
            ResponseBody::boxed(StreamDataBody::new(attach_guard(chunks, guard)))
        }
    };
    Response::from_parts(head, body)
}

fn attach_guard(
    chunks: BodyChunks,
    guard: InFlightGuard,
) -> impl futures::Stream<Item = Result<Bytes, io::Error>> {
    futures::stream::unfold((chunks, guard), |(mut chunks, guard)| async move {
        chunks.recv().await.map(|chunk| (chunk, (chunks, guard)))
    })
    .boxed_local()
}
