//! The HTTP client: its connection pool is replaced after a time-out, since a connection may have
//! failed silently.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::header::CONTENT_ENCODING;
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
use crate::checked_stream::CheckedConnector;
use crate::tls;

type Connector = CheckedConnector<HttpsConnector<HttpConnector>>;
type Pool = Client<Connector, Full<Bytes>>;

/// The maximum size of an answer that is read into memory, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// The maximum time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long an idle connection is kept; short, since a connection may fail silently while idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The reason why a call got no answer.
#[derive(Debug)]
pub enum CallError {
    /// No connection could be set up, so nothing was sent.
    Connect(String),
    /// The connection was lost, possibly after the request had been sent.
    Lost(String),
    /// No answer arrived in time.
    TimedOut,
}

impl CallError {
    /// Returns whether the request was certainly not sent.
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

/// An HTTP client whose connection pool can be replaced as a whole.
pub struct HttpClient {
    pool: ArcSwap<Pool>,
    tls: ClientConfig,
}

impl HttpClient {
    /// Creates a client; it verifies `https` servers with the certificates in `ca_file`.
    pub fn new(ca_file: Option<&Path>) -> Result<Self, KernelError> {
        tls::install_crypto_provider();
        let tls = match ca_file {
            Some(path) => tls::client_config(path)?,
            None => ClientConfig::builder()
                .with_root_certificates(RootCertStore::empty())
                .with_no_client_auth(),
        };
        Ok(Self { pool: ArcSwap::from_pointee(new_pool(&tls)), tls })
    }

    /// Sends a request and waits for the head of the answer; the method must not be HEAD.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let pool = self.pool.load_full();
        match timeout(time_limit, pool.request(request.map(Full::new))).await {
            Ok(Ok(response)) if response.headers().contains_key(CONTENT_ENCODING) => {
                Err(CallError::Lost("the answer has a content coding".to_owned()))
            }
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => {
                Err(CallError::Connect(format_error_chain(&error)))
            }
            Ok(Err(error)) => Err(CallError::Lost(format_error_chain(&error))),
            Err(_) => {
                self.replace_pool();
                Err(CallError::TimedOut)
            }
        }
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let exchange = async {
            let (head, body) = self.send(request, time_limit).await?.into_parts();
            let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let collected =
                collected.map_err(|error| CallError::Lost(format_error_chain(&*error)))?;
            Ok(Response::from_parts(head, collected.to_bytes()))
        };
        match timeout(time_limit, exchange).await {
            Ok(result) => result,
            Err(_) => {
                self.replace_pool();
                Err(CallError::TimedOut)
            }
        }
    }

    /// Replaces the connection pool; calls in progress keep their connections.
    pub fn replace_pool(&self) {
        self.pool.store(new_pool(&self.tls).into());
    }
}

/// Builds a request with a JSON body; fails if the URL is invalid or the body cannot be encoded.
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
        .build(CheckedConnector::new(connector))
}

fn format_error_chain(error: &dyn std::error::Error) -> String {
    std::iter::successors(Some(error), |cause| cause.source())
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
