//! Stub platform: the object API and the host list over HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use kernel::KernelError;
use kernel::http_server::Body;
use kernel::http_server::Handler;
use kernel::http_server::Server;
use kernel::http_server::bytes_response;
use kernel::http_server::json_response;
use kernel::http_server::stream_response;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::fault::Fault;
use crate::objects::Objects;
use crate::objects::StoredObject;

/// Maximum number of keys in one page of a list answer.
const LIST_PAGE_KEYS: usize = 1000;
/// Largest value of an object.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Time over which unused calls accumulate for a burst.
const RATE_BURST_S: f64 = 1.0;

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the replica on this host.
    pub replica: String,
    /// Address of the replica.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: String,
    /// State of the host: `live` or `leaving`.
    pub state: String,
}

/// Numbers of calls that the object API has received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads and lists.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Calls refused because they were over the rate limit.
    pub refused: u64,
    /// Writes by the first path segment of their key.
    pub writes_by_kind: BTreeMap<String, u64>,
    /// Reads by the first path segment of their key.
    pub reads_by_kind: BTreeMap<String, u64>,
}

/// Rate limits of the object API.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Writes per second.
    pub writes_per_s: f64,
    /// Reads per second.
    pub reads_per_s: f64,
}

struct TokenBucket {
    per_s: f64,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    fn new(per_s: f64) -> Self {
        Self { per_s, tokens: per_s * RATE_BURST_S, filled_at: Instant::now() }
    }

    fn try_take(&mut self) -> bool {
        let elapsed = self.filled_at.elapsed().as_secs_f64();
        self.filled_at = Instant::now();
        self.tokens = (self.tokens + elapsed * self.per_s).min(self.per_s * RATE_BURST_S);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

#[derive(Default)]
struct Faults {
    is_down: bool,
    is_frozen: bool,
    answer_delay: Duration,
    drop_answers: u32,
}

struct State {
    objects: Objects,
    counts: CallCounts,
    writes: TokenBucket,
    reads: TokenBucket,
    faults: Faults,
    hosts: Vec<Host>,
}

/// A stub platform.
pub struct Platform {
    state: Mutex<State>,
    changed: Notify,
    host_list_lag: Duration,
}

impl Platform {
    /// Creates a platform whose host list has these hosts.
    pub fn new(rates: Rates, hosts: Vec<Host>, host_list_lag: Duration) -> Arc<Self> {
        let state = State {
            objects: Objects::default(),
            counts: CallCounts::default(),
            writes: TokenBucket::new(rates.writes_per_s),
            reads: TokenBucket::new(rates.reads_per_s),
            faults: Faults::default(),
            hosts,
        };
        Arc::new(Self { state: Mutex::new(state), changed: Notify::new(), host_list_lag })
    }

    /// Serves the platform on `address`.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> Result<Server, KernelError> {
        Server::bind(address, None, Arc::new(PlatformHandler(Arc::clone(self))))
    }

    /// Injects a fault; `Heal` ends all faults.
    pub fn set_fault(&self, fault: &Fault) {
        let mut state = self.state();
        match fault {
            Fault::Down | Fault::Restart => state.faults.is_down = true,
            Fault::Freeze | Fault::Silence => state.faults.is_frozen = true,
            Fault::Slow { wait_ms } => state.faults.answer_delay = Duration::from_millis(*wait_ms),
            Fault::DropAnswers { count } => state.faults.drop_answers = *count,
            Fault::Heal => state.faults = Faults::default(),
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Changes the state of a host after the delay of the host list.
    pub fn set_host_state(self: &Arc<Self>, replica: &str, host_state: &str) {
        let platform = Arc::clone(self);
        let (replica, host_state) = (replica.to_owned(), host_state.to_owned());
        tokio::spawn(async move {
            tokio::time::sleep(platform.host_list_lag).await;
            let mut state = platform.state();
            let host = state.hosts.iter_mut().find(|host| host.replica == replica);
            if let Some(host) = host {
                host.state = host_state;
            }
        });
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> CallCounts {
        self.state().counts.clone()
    }

    /// Returns an object for checks, without counting a call.
    pub fn read(&self, key: &str) -> Option<StoredObject> {
        self.state().objects.get(key).cloned()
    }

    /// Returns the total size of all values in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.state().objects.stored_bytes()
    }

    /// Returns the keys with a prefix for checks, without counting a call.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let listed = self.state().objects.list(prefix, "", usize::MAX);
        listed.into_iter().map(|(key, _)| key).collect()
    }

    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if let Some(rest) = path.strip_prefix("/stub/") {
            return self.control(rest, request.body());
        }
        self.apply_delay_and_freeze().await;
        if self.state().faults.is_down {
            return status_response(503);
        }
        if path == "/v1/hosts" {
            return json_response(200, &self.state().hosts);
        }
        if path == "/v1/list" {
            return self.list_objects(&request);
        }
        match path.strip_prefix("/v1/objects/") {
            Some(key) => self.handle_object_call(key, &request).await,
            None => status_response(404),
        }
    }

    async fn apply_delay_and_freeze(&self) {
        let answer_delay = self.state().faults.answer_delay;
        if !answer_delay.is_zero() {
            tokio::time::sleep(answer_delay).await;
        }
        loop {
            let changed = self.changed.notified();
            if !self.state().faults.is_frozen {
                return;
            }
            changed.await;
        }
    }

    async fn handle_object_call(&self, key: &str, request: &Request<Bytes>) -> Response<Body> {
        let is_write = request.method() != Method::GET;
        if !self.admit_call(key, is_write) {
            return status_response(429);
        }
        match *request.method() {
            Method::GET => self.get_object(key, request).await,
            Method::PUT => self.put_object(key, request),
            Method::DELETE => self.delete_object(key, request),
            _ => status_response(405),
        }
    }

    /// Counts a call, or returns false if it is over the rate limit.
    fn admit_call(&self, key: &str, is_write: bool) -> bool {
        let mut state = self.state();
        let bucket = if is_write { &mut state.writes } else { &mut state.reads };
        if !bucket.try_take() {
            state.counts.refused += 1;
            return false;
        }
        let kind = key.split('/').next().unwrap_or_default().to_owned();
        let counts = &mut state.counts;
        if is_write {
            counts.writes += 1;
            *counts.writes_by_kind.entry(kind).or_default() += 1;
        } else {
            counts.reads += 1;
            *counts.reads_by_kind.entry(kind).or_default() += 1;
        }
        true
    }

    /// Returns an object; with the query fields `known` and `wait_ms`, waits until its version differs
    /// from `known`.
    async fn get_object(&self, key: &str, request: &Request<Bytes>) -> Response<Body> {
        let known: Option<u64> = query_field(request, "known").and_then(|text| text.parse().ok());
        let wait_ms: u64 =
            query_field(request, "wait_ms").and_then(|t| t.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            let object = self.state().objects.get(key).cloned();
            let version = object.as_ref().map_or(0, |object| object.version);
            let left = until.saturating_duration_since(Instant::now());
            if known != Some(version) || left.is_zero() {
                return object
                    .map_or_else(|| status_response(404), |object| object_response(&object));
            }
            let _ = tokio::time::timeout(left, changed).await;
        }
    }

    fn put_object(&self, key: &str, request: &Request<Bytes>) -> Response<Body> {
        if request.body().len() > MAX_VALUE_BYTES {
            return status_response(413);
        }
        let expected = expected_version(request.headers());
        let write_id = text_header(request.headers(), "x-write-id");
        let mut state = self.state();
        let put = state.objects.put(key, request.body().clone(), expected, write_id);
        let Ok(version) = put else {
            return status_response(412);
        };
        let is_dropped = take_dropped_answer(&mut state.faults);
        drop(state);
        self.changed.notify_waiters();
        if is_dropped {
            return broken_response();
        }
        let mut response = json_response(200, &json!({}));
        response.headers_mut().insert("x-version", HeaderValue::from(version));
        response
    }

    fn delete_object(&self, key: &str, request: &Request<Bytes>) -> Response<Body> {
        let expected = expected_version(request.headers());
        let mut state = self.state();
        if state.objects.delete(key, expected).is_err() {
            return status_response(412);
        }
        if take_dropped_answer(&mut state.faults) {
            broken_response()
        } else {
            json_response(200, &json!({}))
        }
    }

    fn list_objects(&self, request: &Request<Bytes>) -> Response<Body> {
        let prefix = query_field(request, "prefix").unwrap_or_default();
        let after = query_field(request, "after").unwrap_or_default();
        if !self.admit_call(prefix, false) {
            return status_response(429);
        }
        let listed = self.state().objects.list(prefix, after, LIST_PAGE_KEYS);
        let next = (listed.len() == LIST_PAGE_KEYS).then(|| listed[LIST_PAGE_KEYS - 1].0.clone());
        let objects: Vec<_> = listed
            .into_iter()
            .map(|(key, version)| json!({"key": key, "version": version}))
            .collect();
        json_response(200, &json!({"objects": objects, "next": next}))
    }

    fn control(&self, path: &str, body: &Bytes) -> Response<Body> {
        match path {
            "counts" => json_response(200, &self.counts()),
            "fault" => match serde_json::from_slice::<Fault>(body) {
                Ok(fault) => {
                    self.set_fault(&fault);
                    json_response(200, &fault)
                }
                Err(error) => json_response(400, &json!({"error": error.to_string()})),
            },
            _ => status_response(404),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct PlatformHandler(Arc<Platform>);

#[async_trait]
impl Handler for PlatformHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        // A change of a host's state is delayed, so it needs the `Arc` of the platform.
        if request.uri().path() == "/stub/host" {
            return match serde_json::from_slice::<HostChange>(request.body()) {
                Ok(change) => {
                    self.0.set_host_state(&change.replica, &change.state);
                    json_response(200, &json!({}))
                }
                Err(error) => json_response(400, &json!({"error": error.to_string()})),
            };
        }
        self.0.handle(request).await
    }
}

#[derive(Deserialize)]
struct HostChange {
    replica: String,
    state: String,
}

/// Returns whether the next answer is to be dropped, and counts it.
fn take_dropped_answer(faults: &mut Faults) -> bool {
    let is_dropped = faults.drop_answers > 0;
    faults.drop_answers = faults.drop_answers.saturating_sub(1);
    is_dropped
}

/// Returns a response whose connection breaks before any of the body is sent.
pub fn broken_response() -> Response<Body> {
    let (sender, chunks) = mpsc::channel(1);
    let _ = sender.try_send(Err(std::io::Error::other("connection broken by an injected fault")));
    stream_response("application/json", chunks)
}

/// Returns a response that contains only its status.
pub fn status_response(status: u16) -> Response<Body> {
    json_response(status, &json!({"status": status}))
}

/// Returns the value of a query field.
pub fn query_field<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    let fields = request.uri().query()?.split('&');
    fields.filter_map(|field| field.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
}

fn object_response(object: &StoredObject) -> Response<Body> {
    let mut response = bytes_response(200, "application/octet-stream", object.value.clone());
    let headers = response.headers_mut();
    headers.insert("x-version", HeaderValue::from(object.version));
    if let Ok(write_id) = HeaderValue::from_str(&object.write_id) {
        headers.insert("x-write-id", write_id);
    }
    response
}

fn expected_version(headers: &HeaderMap) -> u64 {
    text_header(headers, "x-if-version").parse().unwrap_or(0)
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
