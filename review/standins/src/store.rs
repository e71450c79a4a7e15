//! A stand-in of the platform's store, after PROTOCOL.md, "The platform's metadata store".

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json;

const PREFIX: &str = "/-/objects/";
pub const VALUE_BYTES: usize = 1 << 20;
/// The status of a watch that is cut off instead of answered.
const CUT_OFF: u16 = 0;
/// `history_s`.
const HISTORY: Duration = Duration::from_secs(20);
/// How long a replica's entry stays after its last heartbeat: three intervals.
const LAPSE: Duration = Duration::from_millis(3_600);
/// `beat_ms`.
const BEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn to_json(&self) -> String {
        let status = if self.status.is_empty() { "null" } else { &self.status };
        format!(
            r#"{{"metadata":{{"name":"{}","revision":{},"created":{},"finalizers":[],"deleting":false}},"spec":{},"status":{}}}"#,
            self.name, self.revision, self.created, self.spec, status
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<(Instant, u64, String, String)>,
    /// The revision of the newest event that was discarded.
    discarded: u64,
}

impl State {
    /// Discards the history that is older than `HISTORY`.
    fn discard_old(&mut self) {
        let is_old = |event: &&(Instant, u64, String, String)| event.0.elapsed() > HISTORY;
        let old = self.events.iter().take_while(is_old).count();
        if let Some(last) = self.events.drain(..old).last() {
            self.discarded = last.1;
        }
    }
}

/// The store and its faults.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Whether the store is down: it cuts the waiting watches and answers every call with 503.
    is_down: AtomicBool,
    /// How much longer each call takes, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Called with each refused or applied write: method, path, status, size of the body.
    pub observer: Mutex<Option<Box<dyn Fn(&str, &str, u16, usize) + Send>>>,
    /// Decides for each write what to do with it.
    pub filter: Mutex<Option<Box<dyn Fn(&Message) -> WriteFault + Send>>>,
}

/// The store's address for one machine.
pub struct Door {
    pub address: SocketAddr,
    /// How many connections have been opened here.
    opened: AtomicU64,
    /// How many of them, the first ones, have gone silent for good.
    silenced: AtomicU64,
    /// How many watches of the configuration wait here.
    pub config_watches: AtomicU64,
}

impl Door {
    /// Makes all open connections silent; new ones work.
    pub fn silence_connections(&self) {
        self.silenced.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code)]
pub enum WriteFault {
    None,
    /// The write is done after this time, and its answer is lost.
    LostLate(u64),
    /// The write is done, and its answer comes after this time.
    SlowAnswer(u64),
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(State { revision: 100, ..State::default() }),
            changed: Condvar::new(),
            is_down: AtomicBool::new(false),
            delay_ms: AtomicU64::new(4),
            observer: Mutex::new(None),
            filter: Mutex::new(None),
        });
        store
    }

    /// Opens an address of the store for one machine, so that the store can turn it away.
    pub fn open_door(self: &Arc<Self>) -> Arc<Door> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let door = Arc::new(Door {
            address: listener.local_addr().expect("an address"),
            silenced: AtomicU64::new(0),
            opened: AtomicU64::new(0),
            config_watches: AtomicU64::new(0),
        });
        let (store, shared) = (self.clone(), door.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (store.clone(), shared.clone());
                thread::spawn(move || store.serve(stream, &door));
            }
        });
        door
    }

    fn serve(self: Arc<Self>, stream: TcpStream, door: &Door) {
        let number = door.opened.fetch_add(1, Ordering::SeqCst) + 1;
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_message(&mut reader, false) {
            thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::SeqCst)));
            let fault = match (request.method(), &*self.filter.lock().unwrap()) {
                ("GET", _) | (_, None) => WriteFault::None,
                (_, Some(filter)) => filter(&request),
            };
            if let WriteFault::LostLate(ms) = fault {
                thread::sleep(Duration::from_millis(ms));
                self.answer(&request);
                return;
            }
            let is_config_watch =
                request.path() == "/-/objects/config" && request.query("watch").is_some();
            if is_config_watch {
                door.config_watches.fetch_add(1, Ordering::SeqCst);
            }
            let (status, body) = match self.is_down.load(Ordering::SeqCst) {
                true => (503, String::new()),
                false => self.answer(&request),
            };
            if is_config_watch {
                door.config_watches.fetch_sub(1, Ordering::SeqCst);
            }
            while number <= door.silenced.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_secs(1));
            }
            if status == CUT_OFF {
                return;
            }
            if let WriteFault::SlowAnswer(ms) = fault {
                thread::sleep(Duration::from_millis(ms));
            }
            if let (true, Some(observer)) =
                (request.method() != "GET", &*self.observer.lock().unwrap())
            {
                observer(request.method(), request.path(), status, request.body.len());
            }
            let kind = [("content-type", "application/json".to_owned())];
            if http::write_answer(&mut writer, status, &kind, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let Some(path) = request.path().strip_prefix(PREFIX) else {
            return (404, String::new());
        };
        let segments: Vec<&str> = path.split('/').collect();
        let body = request.text();
        match (request.method(), &segments[..]) {
            ("GET", [kind]) => self.list_or_watch(kind, request),
            ("GET", [kind, name]) => match self.get(kind, name) {
                Some(object) => (200, object.to_json()),
                None => (404, String::new()),
            },
            ("POST", [kind, name]) => {
                let spec = json::field(&body, "spec").unwrap_or("null");
                self.write(kind, name, true, None, |object| object.spec = spec.to_owned())
            }
            ("PUT", [kind, name]) => {
                let spec = json::field(&body, "spec").unwrap_or("null");
                let revision = expected_revision(&body);
                self.write(kind, name, false, revision, |object| object.spec = spec.to_owned())
            }
            ("PUT", [kind, name, "status"]) => {
                let status = json::field(&body, "status").unwrap_or("null");
                let revision = expected_revision(&body);
                self.write(kind, name, false, revision, |object| object.status = status.to_owned())
            }
            ("DELETE", [kind, name]) => {
                if self.remove(kind, name) {
                    (200, "{}".to_owned())
                } else {
                    (404, String::new())
                }
            }
            _ => (404, String::new()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Option<Object> {
        let state = self.state.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    /// Returns the status of an object, as it stands in the store.
    #[allow(dead_code)]
    pub fn status_of(&self, kind: &str, name: &str) -> Option<String> {
        self.get(kind, name).map(|object| object.status)
    }

    fn list_or_watch(&self, kind: &str, request: &Message) -> (u16, String) {
        let Some(since) = request.query("watch").and_then(|since| since.parse::<u64>().ok()) else {
            let after = request.query("after").unwrap_or("").to_owned();
            let state = self.state.lock().unwrap();
            let items: Vec<String> = state
                .objects
                .range((kind.to_owned(), after.clone())..)
                .take_while(|((k, _), _)| k == kind)
                .filter(|((_, name), _)| *name != after)
                .map(|(_, object)| object.to_json())
                .collect();
            let text = format!(
                r#"{{"items":[{}],"more_pages":false,"current_rev":{}}}"#,
                items.join(","),
                state.revision
            );
            return (200, text);
        };
        let wait = request.query("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            state.discard_old();
            if since < state.discarded {
                return (410, String::new());
            }
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(_, revision, k, _)| *revision > since && k == kind)
                .map(|(_, _, _, event)| event.clone())
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    r#"{{"events":[{}],"current_rev":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return (200, text);
            }
            if self.is_down.load(Ordering::SeqCst) {
                return (CUT_OFF, String::new());
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        is_create: bool,
        expected: Option<u64>,
        change: impl FnOnce(&mut Object),
    ) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let existing = state.objects.get(&key).cloned();
        let mut object = match (existing, is_create) {
            (Some(object), true) => return (409, object.to_json()),
            (None, false) => return (404, String::new()),
            (Some(object), false) => object,
            (None, true) => Object {
                name: name.to_owned(),
                revision: 0,
                created: state.revision + 1,
                spec: "null".to_owned(),
                status: String::new(),
            },
        };
        if expected.is_some_and(|expected| expected != object.revision) {
            return (409, object.to_json());
        }
        change(&mut object);
        if object.spec.len() + object.status.len() > VALUE_BYTES {
            return (413, String::new());
        }
        state.revision += 1;
        object.revision = state.revision;
        let event = format!(r#"{{"object":{},"deleted":false}}"#, object.to_json());
        let revision = state.revision;
        state.events.push((Instant::now(), revision, kind.to_owned(), event));
        let text = object.to_json();
        state.objects.insert(key, object);
        drop(state);
        self.changed.notify_all();
        (if is_create { 201 } else { 200 }, text)
    }

    /// Takes the store down or brings it back.
    pub fn set_down(&self, is_down: bool) {
        let _state = self.state.lock().unwrap();
        self.is_down.store(is_down, Ordering::SeqCst);
        self.changed.notify_all();
    }

    pub fn has(&self, kind: &str, name: &str) -> bool {
        self.get(kind, name).is_some()
    }

    /// Keeps the entry of a replica as its heartbeats do, of which the first comes after `phase`: it
    /// lapses after three intervals without one, also while the store is down, and is back with the
    /// first heartbeat that the store takes. A heartbeat that changes nothing else is no event.
    pub fn keep_entry(self: &Arc<Self>, name: &str, entry: String, phase: Duration) {
        let (store, name) = (self.clone(), name.to_owned());
        thread::spawn(move || {
            store.put("servers", &name, &entry);
            let mut last_beat = Instant::now();
            let mut next_beat = Instant::now() + phase;
            loop {
                thread::sleep(Duration::from_millis(10));
                let now = Instant::now();
                if now >= next_beat {
                    next_beat += BEAT;
                    if !store.is_down.load(Ordering::SeqCst) {
                        last_beat = now;
                        if !store.has("servers", &name) {
                            store.put("servers", &name, &entry);
                        }
                    }
                }
                if now >= last_beat + LAPSE && store.has("servers", &name) {
                    store.remove("servers", &name);
                }
            }
        });
    }

    /// Writes an object from outside, as the operator and the replicas do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        if self.write(kind, name, true, None, |object| object.spec = spec.to_owned()).0 == 409 {
            self.write(kind, name, false, None, |object| object.spec = spec.to_owned());
        }
    }

    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.revision += 1;
        let event = format!(r#"{{"object":{},"deleted":true}}"#, object.to_json());
        let revision = state.revision;
        state.events.push((Instant::now(), revision, kind.to_owned(), event));
        drop(state);
        self.changed.notify_all();
        true
    }
}

fn expected_revision(body: &str) -> Option<u64> {
    json::field(json::field(body, "metadata")?, "revision").and_then(json::number)
}
