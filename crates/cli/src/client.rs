//! The client: asks which addresses to use, keeps the answer for its lifetime, connects there.

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

/// How long a pinned address is kept.
const PINNED: Duration = Duration::from_secs(365 * 24 * 3600);
/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// How long an entry host may take to tell the endpoints.
const ENDPOINTS_TIMEOUT: Duration = Duration::from_secs(2);
/// Tries of a call that certainly did not run.
const TRIES: u32 = 8;
/// The longest pause between two tries.
const MAX_PAUSE_MS: u64 = 2_000;

/// A caller of the system.
pub struct Client {
    http: HttpClient,
    entries: Vec<String>,
    token: String,
    data_centre: Option<String>,
    kept: Mutex<Option<Kept>>,
}

#[derive(Clone)]
struct Kept {
    urls: Vec<String>,
    until: Instant,
}

/// One request to the system.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
    /// Whether the call may be sent again after its answer was lost.
    pub idempotent: bool,
}

impl Call {
    /// Builds a GET.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            idempotent: true,
        }
    }

    /// Builds a POST.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method: Method::POST, idempotent: false, body: body.into(), ..Self::get(path) }
    }

    /// Builds a POST with a JSON body.
    pub fn post_json<T: Serialize>(path: impl Into<String>, body: &T) -> Self {
        Self::post(path, serde_json::to_vec(body).unwrap_or_default())
    }

    /// Allows the call to be sent again after its answer was lost.
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
    /// Creates a client that asks `entries` for the endpoints.
    pub fn new(
        entries: Vec<String>,
        token: String,
        data_centre: Option<String>,
        ca_file: Option<&Path>,
    ) -> Result<Self, CliError> {
        let http = HttpClient::new(ca_file).map_err(|error| CliError::Usage(error.to_string()))?;
        Ok(Self { http, entries, token, data_centre, kept: Mutex::new(None) })
    }

    /// Returns the base URLs to use, the best first.
    pub async fn endpoints(&self) -> Result<Vec<String>, CliError> {
        if let Some(kept) = self.kept().clone().filter(|kept| Instant::now() < kept.until) {
            return Ok(kept.urls);
        }
        let mut last = "no --entry was given".to_owned();
        let known = self.kept().clone().map(|kept| kept.urls).unwrap_or_default();
        for entry in self.entries.iter().chain(&known) {
            match self.ask_endpoints(entry).await {
                Ok(kept) => {
                    let urls = kept.urls.clone();
                    *self.kept() = Some(kept);
                    return Ok(urls);
                }
                Err(message) => last = message,
            }
        }
        Err(CliError::Unreachable(last))
    }

    /// Uses one address always, without asking for the endpoints.
    pub fn pin(&self, url: String) {
        let until = Instant::now() + PINNED;
        let urls = vec![url.trim_end_matches('/').to_owned()];
        *self.kept() = Some(Kept { urls, until });
    }

    /// Makes a call; one that certainly did not run is tried again, also at other addresses.
    pub async fn call(&self, call: &Call) -> Result<Response<Bytes>, CliError> {
        let mut place = 0;
        let mut last = CliError::Unreachable("no address".to_owned());
        for attempt in 0..TRIES {
            let urls = self.endpoints().await?;
            let Some(url) = urls.get(place % urls.len().max(1)) else {
                return Err(CliError::Unreachable("the system names no address".to_owned()));
            };
            match self.call_at(url, call).await {
                Ok(response) => return Ok(response),
                Err(error) => {
                    if !may_repeat(&error, call) {
                        return Err(error);
                    }
                    place += 1;
                    self.on_failure(&error);
                    let pause_ms = pause_ms(&error, attempt);
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                    last = error;
                }
            }
        }
        Err(last)
    }

    /// Makes a call and decodes its JSON answer.
    pub async fn call_json<T: DeserializeOwned>(&self, call: &Call) -> Result<T, CliError> {
        let response = self.call(call).await?;
        serde_json::from_slice(response.body()).map_err(|error| CliError::Answer(error.to_string()))
    }

    /// Makes a call once, at one address.
    pub async fn call_at(&self, url: &str, call: &Call) -> Result<Response<Bytes>, CliError> {
        let request = self.request(url, call)?;
        let response = self.http.call(request, CALL_TIMEOUT).await.map_err(from_call_error)?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(refusal(response.status().as_u16(), response.body()))
    }

    /// Makes a streamed completion once, at one address; `on_event` gets each event's JSON.
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
            return Err(refusal(status.as_u16(), &bytes));
        }
        let mut events = EventSplitter::default();
        loop {
            while let Some(event) = events.next_event() {
                let data = event.data();
                if data == "[DONE]" {
                    return Ok(());
                }
                let event: Value = serde_json::from_str(&data)
                    .map_err(|error| CliError::Answer(error.to_string()))?;
                if let Ok(body) = serde_json::from_value::<ErrorBody>(event.clone()) {
                    return Err(CliError::Refused(body.error));
                }
                on_event(&event);
            }
            let frame = tokio::time::timeout(CALL_TIMEOUT, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                return Err(CliError::Unknown("the stream ended early".to_owned()));
            };
            if let Ok(bytes) = frame.into_data() {
                let pushed = events.push(&bytes);
                pushed.map_err(|error| CliError::Answer(error.to_string()))?;
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

    async fn ask_endpoints(&self, entry: &str) -> Result<Kept, String> {
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
            return Err(format!("{entry} names no address"));
        }
        Ok(Kept { urls, until: asked_at + Duration::from_millis(body.keep_ms) })
    }

    /// After a failure the endpoints are asked for again, from a host that may know more.
    fn on_failure(&self, error: &CliError) {
        let is_stale = match error {
            CliError::Unreachable(_) | CliError::Unknown(_) => true,
            CliError::Refused(refusal) => refusal.reason == Reason::Leaving,
            _ => false,
        };
        if is_stale
            && !self.entries.is_empty()
            && let Some(kept) = self.kept().as_mut()
        {
            kept.until = Instant::now();
        }
    }

    fn kept(&self) -> MutexGuard<'_, Option<Kept>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a failed call may be sent again without a second run.
fn may_repeat(error: &CliError, call: &Call) -> bool {
    match error {
        CliError::Unreachable(_) => true,
        CliError::Unknown(_) => call.idempotent,
        CliError::Refused(refusal) => {
            let can_help = refusal.retry_after_ms.is_some();
            can_help && (refusal.ran == Ran::No || call.idempotent)
        }
        _ => false,
    }
}

fn pause_ms(error: &CliError, attempt: u32) -> u64 {
    let backoff_ms = 20u64 << attempt.min(6);
    let wanted_ms = match error {
        CliError::Refused(refusal) => refusal.retry_after_ms.unwrap_or(0),
        _ => 0,
    };
    wanted_ms.max(backoff_ms).min(MAX_PAUSE_MS)
}

fn refusal(status: u16, body: &[u8]) -> CliError {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => CliError::Refused(body.error),
        Err(_) => CliError::Unknown(format!("the status is {status}")),
    }
}

fn from_call_error(error: CallError) -> CliError {
    match error {
        CallError::Connect(message) => CliError::Unreachable(message),
        other => CliError::Unknown(other.to_string()),
    }
}
