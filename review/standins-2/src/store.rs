//! A store of the platform that keeps objects as bytes and serves them on a thread of its own.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use kernel::local_server;
use kernel::local_server::ConnectionLimits;
use kernel::local_server::LocalBody;
use kernel::local_server::LocalHandler;
use kernel::local_server::ServerLifecycle;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// The time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_SIZE: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;
const MAX_OBJECT_BYTES: usize = 1 << 20;
/// The kinds whose changes are kept for watches, and how many are kept.
const WATCHED_KINDS: [&str; 3] = ["config", "servers", "retirements"];
const MAX_EVENTS: usize = 10_000;
const LIMITS: ConnectionLimits = ConnectionLimits {
    header_bytes: 32 << 10,
    idle: Duration::from_secs(60),
    head: Duration::from_secs(30),
};

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Bytes,
    status: Bytes,
}

struct Event {
    revision: u64,
    kind: String,
    body: Bytes,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: VecDeque<Event>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

#[derive(Deserialize)]
struct Written<'a> {
    metadata: Metadata,
    #[serde(borrow)]
    spec: Option<&'a RawValue>,
    #[serde(borrow)]
    status: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Metadata {
    revision: Option<u64>,
}

impl Store {
    /// Starts a store.
    pub fn start() -> Result<Self, String> {
        let state = Arc::new(Mutex::new(State { revision: 10, ..State::default() }));
        let changed = Arc::new(Notify::new());
        let (sender, receiver) = mpsc::channel();
        let (served_state, served_changed) = (state.clone(), changed.clone());
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            LocalSet::new().block_on(&runtime, async move {
                let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
                let Ok(listener) = local_server::listen(any_port) else { return };
                let Ok(address) = listener.local_addr() else { return };
                if sender.send(address).is_err() {
                    return;
                }
                let store = Store { address, state: served_state, changed: served_changed };
                let lifecycle = Rc::new(ServerLifecycle::new(LIMITS));
                local_server::serve(listener, Rc::new(store), lifecycle).await;
            });
        });
        let address = receiver.recv().map_err(|_| "the store did not start".to_owned())?;
        Ok(Self { address, state, changed })
    }

    /// Creates or replaces an object, as the operator and the replicas do.
    pub fn put(&self, kind: &str, name: &str, spec: impl Into<Bytes>) {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let created = state.objects.get(&key).map_or(state.revision + 1, |object| object.created);
        let object = Object { revision: 0, created, spec: spec.into(), status: Bytes::new() };
        state.change(key, object);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns an object as it is sent.
    pub fn get(&self, kind: &str, name: &str) -> Option<Bytes> {
        self.lock().get(kind, name).map(|object| encode(name, object))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request<Incoming>) -> (StatusCode, Bytes) {
        let (parts, body) = request.into_parts();
        let Some(path) = parts.uri.path().strip_prefix("/-/objects/") else {
            return (StatusCode::NOT_FOUND, Bytes::new());
        };
        let segments: Vec<&str> = path.split('/').collect();
        let query = parts.uri.query().unwrap_or_default();
        let Ok(body) = body.collect().await else { return (StatusCode::BAD_REQUEST, Bytes::new()) };
        sleep(ANSWER_TIME).await;
        match (&parts.method, segments.as_slice()) {
            (&Method::GET, [kind, name]) => match self.lock().get(kind, name) {
                Some(object) => (StatusCode::OK, encode(name, object)),
                None => (StatusCode::NOT_FOUND, Bytes::new()),
            },
            (&Method::GET, [kind]) => match query_value(query, "watch") {
                Some(since) => self.watch(kind, since, query_value(query, "wait_ms")).await,
                None => (StatusCode::OK, self.lock().page(kind, query_value(query, "after"))),
            },
            (method, segments) => {
                let answer = self.write(method, segments, &body.to_bytes());
                self.changed.notify_waiters();
                answer
            }
        }
    }

    async fn watch(&self, kind: &str, since: &str, wait_ms: Option<&str>) -> (StatusCode, Bytes) {
        let since: u64 = since.parse().unwrap_or(0);
        let wait_ms = wait_ms.and_then(|text| text.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            let remaining = deadline.saturating_duration_since(Instant::now());
            {
                let state = self.lock();
                let events = state.events.iter();
                let events = events.filter(|event| event.revision > since && event.kind == kind);
                let bodies: Vec<&[u8]> = events.map(|event| &event.body[..]).collect();
                if !bodies.is_empty() || remaining.is_zero() {
                    let end = format!("],\"current_rev\":{}}}", state.revision);
                    let list = [&b"{\"events\":["[..], &bodies.join(&b","[..]), end.as_bytes()];
                    return (StatusCode::OK, Bytes::from(list.concat()));
                }
            }
            // After a time-out the loop answers without events.
            let _ = timeout(remaining, changed).await;
        }
    }

    fn write(&self, method: &Method, segments: &[&str], body: &[u8]) -> (StatusCode, Bytes) {
        let mut state = self.lock();
        let (kind, name, is_status) = match segments {
            [kind, name] => (*kind, *name, false),
            [kind, name, "status"] => (*kind, *name, true),
            _ => return (StatusCode::NOT_FOUND, Bytes::new()),
        };
        let key = (kind.to_owned(), name.to_owned());
        let found = state.objects.get(&key).cloned();
        if *method == Method::DELETE {
            return match state.objects.remove(&key) {
                Some(_) => (StatusCode::OK, Bytes::from_static(b"{}")),
                None => (StatusCode::NOT_FOUND, Bytes::new()),
            };
        }
        let Ok(written) = serde_json::from_slice::<Written<'_>>(body) else {
            return (StatusCode::BAD_REQUEST, Bytes::new());
        };
        let raw = |value: Option<&RawValue>| {
            value.map_or_else(Bytes::new, |value| Bytes::copy_from_slice(value.get().as_bytes()))
        };
        let next = match (method, found) {
            (&Method::POST, Some(found)) => return (StatusCode::CONFLICT, encode(name, &found)),
            (&Method::POST, None) => Object {
                revision: 0,
                created: state.revision + 1,
                spec: raw(written.spec),
                status: Bytes::new(),
            },
            (_, None) => return (StatusCode::NOT_FOUND, Bytes::new()),
            (_, Some(found)) => {
                if written.metadata.revision.is_some_and(|revision| revision != found.revision) {
                    return (StatusCode::CONFLICT, encode(name, &found));
                }
                if is_status {
                    Object { status: raw(written.status), ..found }
                } else {
                    Object { spec: raw(written.spec), ..found }
                }
            }
        };
        if next.spec.len() + next.status.len() > MAX_OBJECT_BYTES {
            return (StatusCode::PAYLOAD_TOO_LARGE, Bytes::new());
        }
        let object = state.change(key, next);
        let status = if *method == Method::POST { StatusCode::CREATED } else { StatusCode::OK };
        (status, encode(name, &object))
    }
}

impl State {
    fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    fn change(&mut self, key: (String, String), object: Object) -> Object {
        let old = self.objects.get(&key);
        let is_same = old.is_some_and(|old| old.spec == object.spec && old.status == object.status);
        if is_same && let Some(old) = old {
            return old.clone();
        }
        self.revision += 1;
        let object = Object { revision: self.revision, ..object };
        if WATCHED_KINDS.contains(&key.0.as_str()) {
            let encoded = encode(&key.1, &object);
            let body = [&b"{\"object\":"[..], &encoded, &b",\"deleted\":false}"[..]].concat();
            let event = Event { revision: self.revision, kind: key.0.clone(), body: body.into() };
            self.events.push_back(event);
            if self.events.len() > MAX_EVENTS {
                self.events.pop_front();
            }
        }
        self.objects.insert(key, object.clone());
        object
    }

    fn page(&self, kind: &str, after: Option<&str>) -> Bytes {
        let after = after.unwrap_or_default();
        let of_kind =
            self.objects.iter().filter(|((k, name), _)| k == kind && name.as_str() > after);
        let mut bodies: Vec<Bytes> = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for ((_, name), object) in of_kind {
            let body = encode(name, object);
            if bodies.len() == PAGE_SIZE
                || !bodies.is_empty() && bytes + body.len() > MAX_PAGE_BYTES
            {
                has_more = true;
                break;
            }
            bytes += body.len();
            bodies.push(body);
        }
        let end = format!("],\"more_pages\":{has_more},\"current_rev\":{}}}", self.revision);
        let list = [&b"{\"items\":["[..], &bodies.join(&b","[..]), end.as_bytes()];
        Bytes::from(list.concat())
    }
}

impl LocalHandler for Store {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> futures::future::LocalBoxFuture<'static, Response<LocalBody>> {
        Box::pin(async move {
            let (status, body) = self.answer(request).await;
            let mut response = Response::new(LocalBody::full(body));
            *response.status_mut() = status;
            response
        })
    }
}

fn encode(name: &str, object: &Object) -> Bytes {
    let metadata = format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[]}}",
        object.revision, object.created
    );
    let null = Bytes::from_static(b"null");
    let part = |bytes: &Bytes| if bytes.is_empty() { null.clone() } else { bytes.clone() };
    let (spec, status) = (part(&object.spec), part(&object.status));
    let parts =
        [metadata.as_bytes(), &b",\"spec\":"[..], &spec, &b",\"status\":"[..], &status, &b"}"[..]];
    Bytes::from(parts.concat())
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}
