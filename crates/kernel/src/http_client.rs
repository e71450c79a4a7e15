//! The HTTP client: pooled connections that are left behind once one has gone silent.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_rustls::HttpsConnector;
use hyper_rustls::HttpsConnectorBuilder;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use rustls::ClientConfig;
use rustls::RootCertStore;
use serde::Serialize;
use tokio::time::timeout;

use crate::KernelError;
use crate::tls;

type Pool = Client<HttpsConnector<HttpConnector>, Full<Bytes>>;

/// The largest answer read into memory, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// The time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long an unused connection is kept; short, since one may go silent while it is idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call brought no answer.
#[derive(Debug)]
pub enum CallError {
    /// No connection could be made, so nothing was sent.
    Connect(String),
    /// The connection was lost after the request may have left.
    Lost(String),
    /// Nothing was heard in time.
    TimedOut,
}

impl CallError {
    /// Returns whether the request certainly never left this process.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(message) => write!(f, "no connection: {message}"),
            Self::Lost(message) => write!(f, "the connection was lost: {message}"),
            Self::TimedOut => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for CallError {}

/// An HTTP client whose connections can be replaced all at once.
pub struct HttpClient {
    pool: ArcSwap<Pool>,
    tls: ClientConfig,
}

impl HttpClient {
    /// Creates a client; `https` addresses are checked against `ca_file`.
    pub fn new(ca_file: Option<&Path>) -> Result<Self, KernelError> {
        tls::install_crypto();
        let tls = match ca_file {
            Some(path) => tls::client_config(path)?,
            None => ClientConfig::builder()
                .with_root_certificates(RootCertStore::empty())
                .with_no_client_auth(),
        };
        Ok(Self { pool: ArcSwap::from_pointee(new_pool(&tls)), tls })
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let pool = self.pool.load_full();
        match timeout(wait, pool.request(request.map(Full::new))).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(CallError::Connect(describe(&error))),
            Ok(Err(error)) => Err(CallError::Lost(describe(&error))),
            Err(_) => {
                self.renew();
                Err(CallError::TimedOut)
            }
        }
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let exchange = async {
            let (head, body) = self.send(request, wait).await?.into_parts();
            let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let whole = whole.map_err(|error| CallError::Lost(error.to_string()))?;
            Ok(Response::from_parts(head, whole.to_bytes()))
        };
        match timeout(wait, exchange).await {
            Ok(result) => result,
            Err(_) => {
                self.renew();
                Err(CallError::TimedOut)
            }
        }
    }

    /// Leaves all pooled connections behind; calls in progress keep theirs.
    pub fn renew(&self) {
        self.pool.store(new_pool(&self.tls).into());
    }
}

/// Builds a request with a JSON body; a name or value that HTTP does not allow is an error.
pub fn json_request<T: Serialize>(
    method: http::Method,
    url: &str,
    body: &T,
) -> Result<Request<Bytes>, CallError> {
    let bytes = serde_json::to_vec(body).map_err(|error| CallError::Connect(error.to_string()))?;
    Request::builder()
        .method(method)
        .uri(url)
        .header(CONTENT_TYPE, "application/json")
        .body(Bytes::from(bytes))
        .map_err(|error| CallError::Connect(error.to_string()))
}

/// Builds a GET request.
pub fn get_request(url: &str) -> Result<Request<Bytes>, CallError> {
    Request::get(url).body(Bytes::new()).map_err(|error| CallError::Connect(error.to_string()))
}

fn new_pool(tls: &ClientConfig) -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector.enforce_http(false);
    let connector = HttpsConnectorBuilder::new()
        .with_tls_config(tls.clone())
        .https_or_http()
        .enable_http1()
        .wrap_connector(connector);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector)
}

fn describe(error: &dyn std::error::Error) -> String {
    std::iter::successors(Some(error), |inner| inner.source())
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
