//! A small deployment: a store, engines, daemons and clients.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::daemon;
use crate::daemon::Daemon;
use crate::http;
use crate::http::Message;
use crate::json;
use crate::record::Record;
use crate::replica::Replica;
use crate::replica::Run;
use crate::store::Door;
use crate::store::Store;

pub const HOST: &str = "ficu95.example";

pub struct Fleet {
    // Dropped first, so that no daemon outlives the folder.
    pub daemons: Vec<Daemon>,
    pub store: Arc<Store>,
    /// The store's address for each daemon.
    pub doors: Vec<Arc<Door>>,
    pub replicas: Vec<Arc<Replica>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Arc<Record>,
    pub folder: PathBuf,
    /// When the replicas sent their first heartbeats.
    pub started: Instant,
    next_id: AtomicU64,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.stop();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The text of event `n` of the request `id`.
pub fn data(id: &str, event: u64) -> String {
    format!("{id} says word {event}")
}

/// The complete output of an item.
pub fn whole_text(id: &str, events: u64) -> String {
    (1..=events).map(|event| data(id, event)).collect::<Vec<_>>().join("\n")
}

/// The version of the configuration that adds the route of `ADDED`.
pub const ADDING_VERSION: u64 = 8;
/// The path prefix of streams of the route that is added.
pub const ADDED: &str = "/added/";

/// The configuration of a version, in which streams go to `stream_service`.
pub fn configuration(version: u64, stream_service: &str) -> String {
    let added = match version {
        ADDING_VERSION.. => format!(
            r#",
{{"name":"added","host":"{HOST}","path_prefix":"{ADDED}","kind":"streaming","timeout_ms":5000,"goal_ms":300,"priority":0,"service":"{stream_service}","max_attempts":1,"sticky":true,"can_resume":false,"gap_target_ms":200}}"#
        ),
        _ => String::new(),
    };
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"stream","host":"{HOST}","path_prefix":"/stream/","kind":"streaming","timeout_ms":5000,"goal_ms":300,"priority":0,"service":"{stream_service}","max_attempts":1,"sticky":true,"can_resume":false,"gap_target_ms":200}},
{{"name":"lots","host":"{HOST}","path_prefix":"/batch/","kind":"batch","timeout_ms":15000,"goal_ms":400,"priority":2,"service":"llm","max_attempts":3,"sticky":true,"can_resume":true,"gap_target_ms":200,"due_ms":18000,"retention_s":60,"max_count":1500000}}{added}
],"services":[{{"name":"llm","health_path":"/healthz","max_conns":370,"protocol":"h1","engine":{{"slots":8,"kv_capacity_tokens":72000}}}},
{{"name":"llm-new","health_path":"/healthz","max_conns":370,"protocol":"h1","engine":{{"slots":8,"kv_capacity_tokens":72000}}}}],
"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}}}"#
    )
}

/// What the engines of a fleet are like.
#[derive(Clone, Copy)]
pub struct Engines {
    pub count: usize,
    /// The number of those of a second service, `llm-new`.
    pub new_count: usize,
    pub slots: usize,
    pub step_ms: u64,
    pub data: fn(&str, u64) -> String,
}

impl Fleet {
    /// Starts a deployment; returns `None` if its daemons don't become ready.
    pub fn start(folder: &str, daemons: usize, zones: &[&str], engines: Engines) -> Option<Self> {
        let record = Arc::new(Record::create(&format!("{folder}/record.txt")));
        let temporary = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        let store = Store::start();
        let runs = Arc::new(Mutex::new(Vec::new()));
        let replicas: Vec<Arc<Replica>> = (0..engines.count + engines.new_count)
            .map(|i| {
                let (runs, record) = (runs.clone(), record.clone());
                let name = format!("i-{i:08x}");
                Replica::start(&name, engines.slots, engines.step_ms, runs, record, engines.data)
            })
            .collect();
        store.put("config", "main", &configuration(3, "llm"));
        let started = Instant::now();
        for (i, replica) in replicas.iter().enumerate() {
            let zone = zones[i % zones.len()];
            let phase = Duration::from_millis(100 * i as u64);
            let service = if i < engines.count { "llm" } else { "llm-new" };
            store.keep_entry(&replica.name, replica.entry(service, zone), phase);
        }
        let program = Path::new("target/release/crocusd");
        if !program.exists() {
            return None;
        }
        let doors: Vec<Arc<Door>> = (0..daemons).map(|_| store.open_door()).collect();
        let addresses: Vec<SocketAddr> = doors.iter().map(|door| door.address).collect();
        let daemons = daemon::start_all(program, &temporary, &addresses, zones);
        let next_id = AtomicU64::new(u64::from(std::process::id()) << 32);
        let fleet = Self {
            daemons,
            store,
            doors,
            replicas,
            runs,
            record,
            folder: temporary,
            started,
            next_id,
        };
        if !daemon::wait_ready(&fleet.daemons, Duration::from_secs(15)) {
            return None;
        }
        // All daemons hear each other's heartbeats before the traffic starts.
        thread::sleep(Duration::from_secs(3));
        fleet.record.say("all daemons are ready");
        Some(fleet)
    }

    pub fn new_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        // Ids of clients are spread evenly.
        format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    /// Starts clients of streams that keep the engines busy until the returned flag is set.
    pub fn press(&self, clients: usize, fronts: Vec<SocketAddr>, events: u64) -> Press {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..clients)
            .map(|client| {
                let stop = stop.clone();
                let front = fronts[client % fronts.len()];
                let ids: Vec<String> = (0..400).map(|_| self.new_id()).collect();
                thread::spawn(move || {
                    for id in ids {
                        if stop.load(Ordering::SeqCst) {
                            return;
                        }
                        stream(front, &id, events);
                    }
                })
            })
            .collect();
        Press { stop, threads }
    }

    /// Submits a job at a daemon; returns the status.
    pub fn submit(&self, front: SocketAddr, job: &str, items: &[String], events: u64) -> u16 {
        let items: Vec<String> = items
            .iter()
            .map(|id| {
                format!(
                    r#"{{"id":"{id}","path":"/batch/3/{id}","headers":{{"X-Model-Name":"m","X-Token-Counts":"100,{}","X-Prompt-Prefix":"{}a:100,{id}:50"}},"body":"q83vEjRWeJA=","tokens":{}}}"#,
                    events * 5,
                    &job[..8],
                    100 + events * 5
                )
            })
            .collect();
        let body = format!(r#"{{"items":[{}]}}"#, items.join(","));
        let headers = [
            ("Host", HOST.to_owned()),
            ("X-Request-Id", job.to_owned()),
            ("Content-Type", "application/json".to_owned()),
            ("X-Deadline-Ms", "4000".to_owned()),
        ];
        let path = format!("/batch/{}", &job[..6]);
        let limit = Duration::from_secs(4);
        let answer = http::call(front, "POST", &path, &headers, body.as_bytes(), limit);
        let status = answer.map_or(0, |answer| answer.status());
        self.record.say(&format!("client submits job {job} at {front}: {status}"));
        status
    }

    /// Reads the results of a job from a position.
    pub fn read(&self, front: SocketAddr, job: &str, after: usize) -> Option<Results> {
        let path = format!("/-/lots/{job}?after={after}");
        let headers = [("Host", HOST.to_owned())];
        let limit = Duration::from_millis(2_500);
        let answer = http::call(front, "GET", &path, &headers, b"", limit).ok();
        let results = answer.as_ref().and_then(Results::from_answer);
        let shown = match (&answer, &results) {
            (_, Some(results)) => format!(
                "200, total {}, results {:?}",
                results.total,
                results
                    .list
                    .iter()
                    .map(|(id, state, _)| format!("{id} {state}"))
                    .collect::<Vec<_>>()
            ),
            (Some(answer), None) => answer.first.clone(),
            (None, None) => "no answer".to_owned(),
        };
        self.record.line(&format!("client reads job {job} after {after} at {front}: {shown}"));
        results
    }

    /// Ends a job; returns the status.
    pub fn end(&self, front: SocketAddr, job: &str) -> u16 {
        let path = format!("/-/lots/{job}");
        let headers = [("Host", HOST.to_owned())];
        let limit = Duration::from_secs(4);
        let answer = http::call(front, "DELETE", &path, &headers, b"", limit);
        let status = answer.map_or(0, |answer| answer.status());
        self.record.say(&format!("client ends job {job} at {front}: {status}"));
        status
    }

    /// Returns the runs of an item that began after a moment.
    pub fn runs_since(&self, items: &[String], since: Instant) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| items.contains(&run.id) && run.started > since).cloned().collect()
    }

    /// Copies the log lines of the daemons that name a job into the record.
    pub fn record_logs(&self, job: &str) {
        for daemon in &self.daemons {
            let log = daemon.log();
            for line in log.lines().filter(|line| line.contains(job)) {
                self.record.line(&format!("log of {}: {line}", daemon.name));
            }
        }
    }
}

pub struct Press {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Press {
    pub fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Reads one stream to its end; returns the status of its answer, or 0 if there was none.
pub fn stream(front: SocketAddr, id: &str, events: u64) -> u16 {
    stream_at(front, "/stream/", id, events)
}

/// Like `stream`, for a route with this path prefix.
pub fn stream_at(front: SocketAddr, prefix: &str, id: &str, events: u64) -> u16 {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Model-Name", "m".to_owned()),
        ("X-Token-Counts", format!("100,{}", events * 5)),
        ("X-Prompt-Prefix", format!("5c1e07a2:100,{id}:50")),
        ("X-Deadline-Ms", "5000".to_owned()),
    ];
    let path = format!("{prefix}{}", &id[..4]);
    let sent = http::send(front, "POST", &path, &headers, b"{}", Duration::from_secs(5));
    let Ok(stream) = sent else {
        thread::sleep(Duration::from_millis(100));
        return 0;
    };
    let mut reader = BufReader::new(stream);
    let Ok(Some(head)) = http::read_head(&mut reader) else { return 0 };
    if head.status() != 200 {
        thread::sleep(Duration::from_millis(50));
        return head.status();
    }
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
        if line.trim_end() == "0" {
            break;
        }
        line.clear();
    }
    head.status()
}

/// The answer to a read of results.
#[derive(Clone, Debug)]
pub struct Results {
    pub total: usize,
    /// The id, state and text of each result.
    pub list: Vec<(String, String, String)>,
}

impl Results {
    fn from_answer(answer: &Message) -> Option<Self> {
        if answer.status() != 200 {
            return None;
        }
        let text = answer.text();
        let list = json::elements(json::field(&text, "results")?)
            .into_iter()
            .map(|result| {
                let field = |name| json::string(json::field(result, name).unwrap_or(""));
                (field("id"), field("state"), field("text"))
            })
            .collect();
        Some(Self { total: json::number(json::field(&text, "total")?)? as usize, list })
    }
}
