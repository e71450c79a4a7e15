//! A small deployment on the store of this package: replicas and the operator's configuration.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kernel::local_server;
use kernel::local_server::ConnectionLimits;
use kernel::local_server::ServerLifecycle;
use platform_stub::RunLog;
use platform_stub::deployment::ENGINE_SERVICE;
use platform_stub::deployment::HOST;
use platform_stub::deployment::JOBS;
use platform_stub::replica::Replica;
use platform_stub::replica::ReplicaSettings;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::store::Store;

const LIMITS: ConnectionLimits = ConnectionLimits {
    header_bytes: 32 << 10,
    idle: Duration::from_secs(30),
    head: Duration::from_secs(30),
};

/// The store and the engines.
pub struct Platform {
    pub store: Store,
    pub log: Rc<RefCell<RunLog>>,
    pub started: Instant,
    /// The addresses of the engines.
    pub engines: BTreeMap<String, SocketAddr>,
}

impl Platform {
    /// Starts a store with a route for jobs of at most `max_tokens` waiting tokens, and `engines`
    /// engines with an event each `step`.
    pub fn start(engines: usize, step: Duration, max_tokens: u64) -> Result<Self, String> {
        let store = Store::start()?;
        let configuration = json!({
            "version": 3,
            "routes": [{
                "name": "jobs", "host": HOST, "path_prefix": JOBS, "kind": "batch",
                "timeout_ms": 15000, "goal_ms": 400, "priority": 2, "service": ENGINE_SERVICE,
                "max_attempts": 3, "sticky": true, "can_resume": true, "gap_target_ms": 200,
                "due_ms": 18_000, "retention_s": 600, "max_count": max_tokens,
            }],
            "services": [{
                "name": ENGINE_SERVICE, "health_path": "/healthz", "max_conns": 370,
                "protocol": "h1", "engine": { "slots": 8, "kv_capacity_tokens": 72000 },
            }],
            "limits": { "header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000,
                        "idle_ms": 15000 },
        });
        store.put("config", "main", configuration.to_string());
        let log = Rc::new(RefCell::new(RunLog::default()));
        let started = Instant::now();
        let mut addresses = BTreeMap::new();
        for number in 0..engines {
            let name = format!("engine-{number}");
            let mut settings = ReplicaSettings::with_defaults(&name, ENGINE_SERVICE, "a");
            settings.step = step;
            let replica = Rc::new(Replica::new(settings, log.clone(), started));
            let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let listener = local_server::listen(any_port).map_err(|error| error.to_string())?;
            let address = listener.local_addr().map_err(|error| error.to_string())?;
            let lifecycle = Rc::new(ServerLifecycle::new(LIMITS));
            store.put("servers", &name, replica.encode_record(address, false, 1).to_string());
            spawn_local(local_server::serve(listener, replica, lifecycle));
            addresses.insert(name, address);
        }
        Ok(Self { store, log, started, engines: addresses })
    }
}
