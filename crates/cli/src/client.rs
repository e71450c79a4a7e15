//! HTTP client that discovers its endpoints at an entry host and caches them for as long as the
//! answer allows.

use std::path::Path;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt;
use kernel::http_client::CallError;
use kernel::http_client::HttpClient;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use upstream::EventSplitter;
use wire::Ran;
use wire::Reason;
use wire::Refusal;

use crate::error::CliError;

/// Lifetime of a pinned address, longer than any client runs.
const PINNED_LIFETIME: Duration = Duration::from_secs(365 * 24 * 3600);
/// Time limit of one call, and of each frame of a streamed answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit of an endpoints query to one entry host.
const ENDPOINTS_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of attempts at a call that may be repeated.
const MAX_ATTEMPTS: u32 = 8;
/// Longest backoff between two attempts, even if a refusal suggests a longer one.
const MAX_BACKOFF_MS: u64 = 2_000;

/// A client of the system, used by callers and operators.
pub struct Client {
    http: HttpClient,
    entries: Vec<String>,
    token: String,
    data_centre: Option<String>,
    cached: Mutex<Option<CachedEndpoints>>,
}

#[derive(Clone)]
struct CachedEndpoints {
    urls: Vec<String>,
    expires_at: Instant,
}

/// One request to the system.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path, including the query.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Bytes,
    /// Whether the call may be sent again when its answer was lost.
    pub idempotent: bool,
}

impl Call {
    /// Creates a GET request.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            idempotent: true,
        }
    }

    /// Creates a POST request.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method: Method::POST, idempotent: false, body: body.into(), ..Self::get(path) }
    }

    /// Creates a POST request with a JSON body.
    pub fn post_json<T: Serialize>(path: impl Into<String>, body: &T) -> Self {
        Self::post(path, serde_json::to_vec(body).unwrap_or_default())
    }

    /// Marks the call as safe to send again when its answer was lost.
    pub fn idempotent(mut self) -> Self {
        self.idempotent = true;
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

#[derive(Deserialize)]
struct ErrorBody {
    error: Refusal,
}

#[derive(Deserialize)]
struct EndpointsBody {
    endpoints: Vec<EndpointBody>,
    keep_ms: u64,
}

#[derive(Deserialize)]
struct EndpointBody {
    url: String,
}

impl Client {
    /// Creates a client that queries `entries` for the endpoints.
    pub fn new(
        entries: Vec<String>,
        token: String,
        data_centre: Option<String>,
        ca_file: Option<&Path>,
    ) -> Result<Self, CliError> {
        let http = HttpClient::new(ca_file).map_err(|error| CliError::Usage(error.to_string()))?;
        Ok(Self { http, entries, token, data_centre, cached: Mutex::new(None) })
    }

    /// Returns the base URLs to use in order of preference, from the cache while it is valid.
    pub async fn endpoints(&self) -> Result<Vec<String>, CliError> {
        if let Some(cached) =
            self.cached().clone().filter(|cached| Instant::now() < cached.expires_at)
        {
            return Ok(cached.urls);
        }
        let mut last_error = "no --entry given".to_owned();
        let known = self.cached().clone().map(|cached| cached.urls).unwrap_or_default();
        for entry in self.entries.iter().chain(&known) {
            match self.fetch_endpoints(entry).await {
                Ok(found) => {
                    let urls = found.urls.clone();
                    *self.cached() = Some(found);
                    return Ok(urls);
                }
                Err(message) => last_error = message,
            }
        }
        Err(CliError::Unreachable(last_error))
    }

    /// Uses a fixed address instead of querying the endpoints.
    pub fn pin(&self, url: String) {
        let expires_at = Instant::now() + PINNED_LIFETIME;
        let urls = vec![url.trim_end_matches('/').to_owned()];
        *self.cached() = Some(CachedEndpoints { urls, expires_at });
    }

    /// Makes a call. A call that failed is retried with backoff at the next address if it certainly
    /// did not run or is idempotent.
    ///
    /// After an attempt that may have run, the error says so, however a later attempt failed.
    pub async fn call(&self, call: &Call) -> Result<Response<Bytes>, CliError> {
        let mut may_have_run = false;
        self.call_repeatedly(call, &mut may_have_run)
            .await
            .map_err(|error| if may_have_run { error.with_unknown_outcome() } else { error })
    }

    async fn call_repeatedly(
        &self,
        call: &Call,
        may_have_run: &mut bool,
    ) -> Result<Response<Bytes>, CliError> {
        let mut url_index = 0;
        let mut last_error = CliError::Unreachable("no endpoint".to_owned());
        for attempt in 0..MAX_ATTEMPTS {
            let urls = self.endpoints().await?;
            let Some(url) = urls.get(url_index % urls.len().max(1)) else {
                return Err(CliError::Unreachable(
                    "the entry hosts returned no endpoint".to_owned(),
                ));
            };
            match self.call_at(url, call).await {
                Ok(response) => return Ok(response),
                Err(error) => {
                    *may_have_run |= error.may_have_run();
                    if !may_repeat(&error, call) {
                        return Err(error);
                    }
                    url_index += 1;
                    self.expire_endpoints(&error);
                    let delay_ms = backoff_ms(&error, attempt);
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    last_error = error;
                }
            }
        }
        Err(last_error)
    }

    /// Makes a call and decodes the JSON answer.
    pub async fn call_json<T: DeserializeOwned>(&self, call: &Call) -> Result<T, CliError> {
        let response = self.call(call).await?;
        serde_json::from_slice(response.body())
            .map_err(|error| CliError::InvalidAnswer(error.to_string()))
    }

    /// Makes a call at one address, without retrying it.
    pub async fn call_at(&self, url: &str, call: &Call) -> Result<Response<Bytes>, CliError> {
        let request = self.request(url, call)?;
        let response = self.http.call(request, CALL_TIMEOUT).await.map_err(from_call_error)?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(refusal_from(response.status().as_u16(), response.body()))
    }

    /// Makes a streamed call at one address, without retrying it, and passes the JSON of each event to
    /// `on_event`.
    pub async fn stream_at(
        &self,
        url: &str,
        call: &Call,
        mut on_event: impl FnMut(&Value),
    ) -> Result<(), CliError> {
        let request = self.request(url, call)?;
        let response = self.http.send(request, CALL_TIMEOUT).await.map_err(from_call_error)?;
        let status = response.status();
        let mut body = response.into_body();
        if !status.is_success() {
            let bytes = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
            return Err(refusal_from(status.as_u16(), &bytes));
        }
        let mut events = EventSplitter::default();
        loop {
            while let Some(event) = events.next_event() {
                let data = event.data();
                if data == "[DONE]" {
                    return Ok(());
                }
                let event: Value = serde_json::from_str(&data)
                    .map_err(|error| CliError::InvalidAnswer(error.to_string()))?;
                if let Ok(body) = serde_json::from_value::<ErrorBody>(event.clone()) {
                    return Err(CliError::Refused(body.error));
                }
                on_event(&event);
            }
            let frame = tokio::time::timeout(CALL_TIMEOUT, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                return Err(CliError::OutcomeUnknown("the stream ended early".to_owned()));
            };
            if let Ok(bytes) = frame.into_data() {
                let pushed = events.push(&bytes);
                pushed.map_err(|error| CliError::InvalidAnswer(error.to_string()))?;
            }
        }
    }

    fn request(&self, url: &str, call: &Call) -> Result<Request<Bytes>, CliError> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("{url}{}", call.path))
            .header(AUTHORIZATION, format!("Bearer {}", self.token));
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        request.body(call.body.clone()).map_err(|error| CliError::Usage(error.to_string()))
    }

    async fn fetch_endpoints(&self, entry: &str) -> Result<CachedEndpoints, String> {
        let entry = entry.trim_end_matches('/');
        let query =
            self.data_centre.as_ref().map(|d| format!("?data_centre={d}")).unwrap_or_default();
        let request = kernel::http_client::get_request(&format!("{entry}/v1/endpoints{query}"))
            .map_err(|error| error.to_string())?;
        let asked_at = Instant::now();
        let response = self
            .http
            .call(request, ENDPOINTS_TIMEOUT)
            .await
            .map_err(|error| format!("{entry}: {error}"))?;
        let body: EndpointsBody =
            serde_json::from_slice(response.body()).map_err(|error| format!("{entry}: {error}"))?;
        let urls: Vec<String> = body.endpoints.into_iter().map(|endpoint| endpoint.url).collect();
        if urls.is_empty() {
            return Err(format!("{entry} returned no endpoint"));
        }
        Ok(CachedEndpoints { urls, expires_at: asked_at + Duration::from_millis(body.keep_ms) })
    }

    /// Expires the cached endpoints after a failure that suggests that they are outdated; a pinned
    /// client without entry hosts keeps its address.
    fn expire_endpoints(&self, error: &CliError) {
        let is_stale = match error {
            CliError::Unreachable(_) | CliError::OutcomeUnknown(_) => true,
            CliError::Refused(refusal) => refusal.reason == Reason::Leaving,
            _ => false,
        };
        if is_stale
            && !self.entries.is_empty()
            && let Some(cached) = self.cached().as_mut()
        {
            cached.expires_at = Instant::now();
        }
    }

    fn cached(&self) -> MutexGuard<'_, Option<CachedEndpoints>> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a failed call may be sent again: it certainly did not run, or it is idempotent.
fn may_repeat(error: &CliError, call: &Call) -> bool {
    match error {
        CliError::Unreachable(_) => true,
        CliError::OutcomeUnknown(_) => call.idempotent,
        CliError::Refused(refusal) => {
            let has_retry_hint = refusal.retry_after_ms.is_some();
            has_retry_hint && (refusal.ran == Ran::No || call.idempotent)
        }
        _ => false,
    }
}

fn backoff_ms(error: &CliError, attempt: u32) -> u64 {
    let exponential_ms = 20u64 << attempt.min(6);
    let requested_ms = match error {
        CliError::Refused(refusal) => refusal.retry_after_ms.unwrap_or(0),
        _ => 0,
    };
    requested_ms.max(exponential_ms).min(MAX_BACKOFF_MS)
}

fn refusal_from(status: u16, body: &[u8]) -> CliError {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => CliError::Refused(body.error),
        Err(_) => {
            CliError::OutcomeUnknown(format!("HTTP status {status} with an unreadable error body"))
        }
    }
}

fn from_call_error(error: CallError) -> CliError {
    match error {
        CallError::Connect(message) => CliError::Unreachable(message),
        other => CliError::OutcomeUnknown(other.to_string()),
    }
}
