//! A small fleet of daemon processes on a stub deployment, and helpers for the tests.

use std::future::Future;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use platform_stub::Client;
use platform_stub::DaemonProcess;
use platform_stub::Deployment;
use platform_stub::client::ItemResult;
use platform_stub::client::NewItem;
use platform_stub::deployment::ENGINE_SERVICE;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::PLAIN_SERVICE;
use platform_stub::replica::ReplicaSettings;
use platform_stub::replica::TOKENS_PER_EVENT;
use platform_stub::settings::DaemonSettings;
use platform_stub::settings::SMALLEST_MEMORY_MB;
use platform_stub::settings::USUAL_MAX_FDS;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// The first port of every daemon; daemons differ by address, and no two tests share one.
const FIRST_PORT: u16 = 21_400;
/// The third byte of the addresses of the next fleet.
static NEXT_SUBNET: AtomicU8 = AtomicU8::new(1);

/// Daemons and their stub deployment.
pub struct Fleet {
    pub deployment: Rc<Deployment>,
    pub daemons: Vec<DaemonProcess>,
    /// Keeps other test processes from using the same addresses.
    _claim: TcpListener,
}

impl Fleet {
    /// Starts a deployment with three engines and two plain replicas, and `count` daemons.
    pub async fn start(folder: PathBuf, count: u8) -> Self {
        Self::start_with_retention(folder, count, 120).await
    }

    /// Starts a fleet that keeps the results of jobs for `status_s` seconds.
    pub async fn start_with_retention(folder: PathBuf, count: u8, status_s: u64) -> Self {
        Self::start_with_settings(folder, count, |settings| settings.status_s = status_s).await
    }

    /// Starts a fleet whose daemons' settings are edited by `edit`.
    pub async fn start_with_settings(
        folder: PathBuf,
        count: u8,
        edit: impl Fn(&mut DaemonSettings),
    ) -> Self {
        Self::start_with_replicas(folder, count, edit, |deployment| {
            add_replicas(deployment, ENGINE_SERVICE);
            add_replicas(deployment, PLAIN_SERVICE);
        })
        .await
    }

    /// Starts a fleet whose only replicas are those that `add_replicas` adds.
    pub async fn start_with_replicas(
        folder: PathBuf,
        count: u8,
        edit: impl Fn(&mut DaemonSettings),
        add_replicas: impl FnOnce(&Deployment),
    ) -> Self {
        let deployment = Deployment::start().expect("the deployment starts");
        deployment.configure(|_| {});
        add_replicas(&deployment);
        let (claim, [net, subnet]) = claim_subnet();
        let ip = |number: u8| IpAddr::V4(Ipv4Addr::new(127, net, subnet, number + 1));
        let binary = Path::new(env!("CARGO_BIN_EXE_crocusd"));
        let mut daemons = Vec::new();
        for number in 0..count {
            let mut settings = DaemonSettings {
                name: format!("daemon-{number}"),
                ip: ip(number),
                data_centre: "a".to_owned(),
                first_port: FIRST_PORT,
                seeds: vec![ip(0)],
                store: deployment.store_address,
                grace_s: 3,
                status_s: 120,
                contracts: Vec::new(),
                is_first_start: true,
                memory_mb: SMALLEST_MEMORY_MB,
                max_fds: USUAL_MAX_FDS,
            };
            edit(&mut settings);
            daemons
                .push(DaemonProcess::start(binary, settings, &folder).expect("the daemon starts"));
        }
        for daemon in &mut daemons {
            assert!(
                daemon.wait_until_ready(Duration::from_secs(10)).await,
                "the daemon was not ready in time"
            );
            assert!(daemon.is_running(), "the daemon ended, and another process is ready");
        }
        let fleet = Self { deployment, daemons, _claim: claim };
        fleet.wait_until_settled(count as usize).await;
        fleet
    }

    /// Returns the address at which clients call a daemon.
    pub fn ingress(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].settings.ingress()
    }

    /// Returns the number of runs of a request.
    pub fn runs(&self, id: &str) -> usize {
        self.deployment.log.borrow().runs_of(id).len()
    }

    /// Waits until every daemon knows all daemons and the replicas.
    pub async fn wait_until_settled(&self, count: usize) {
        let deadline = Instant::now() + Duration::from_secs(10);
        for daemon in &self.daemons {
            let directory = daemon.settings.directory();
            while Client.resolve(directory).await.map_or(0, |addresses| addresses.len()) < count {
                assert!(Instant::now() < deadline, "the daemons did not find each other in time");
                sleep(Duration::from_millis(20)).await;
            }
        }
        // The replicas' records arrive within one period of the watch.
        sleep(Duration::from_millis(700)).await;
    }
}

/// Adds three engines or two plain replicas.
pub fn add_replicas(deployment: &Deployment, service: &str) {
    let (prefix, count) = if service == ENGINE_SERVICE { ("engine", 3) } else { ("plain", 2) };
    for number in 0..count {
        let settings = replica_settings(service, prefix, number);
        deployment.add_replica(settings).expect("the replica starts");
    }
}

/// Chooses addresses that no other process uses; returns a listener that claims them and the second and
/// the third byte.
///
/// Test processes that run at the same time may have ids that differ by a multiple of 200.
fn claim_subnet() -> (TcpListener, [u8; 2]) {
    let net = (std::process::id() % 200) as u8 + 20;
    for _ in 0..u8::MAX {
        let subnet = NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
        let address = |number| Ipv4Addr::new(127, net, subnet, number);
        let claim = TcpListener::bind((address(u8::MAX), FIRST_PORT));
        let is_used = has_udp_socket(address(1), FIRST_PORT + 4);
        if let (Ok(claim), false) = (claim, is_used) {
            return (claim, [net, subnet]);
        }
    }
    panic!("no addresses in 127.{net} are free");
}

/// Returns whether a process has a UDP socket at this address or at this port of all addresses.
///
/// A socket that is bound to find this out, and closed again, may still be open in a process that another
/// test starts at this moment, and the daemon would find its address in use.
fn has_udp_socket(address: Ipv4Addr, port: u16) -> bool {
    let sockets = std::fs::read_to_string("/proc/net/udp").expect("the list of sockets is read");
    let local_address =
        |address: Ipv4Addr| format!("{:08X}:{port:04X}", u32::from_ne_bytes(address.octets()));
    [address, Ipv4Addr::UNSPECIFIED].into_iter().map(local_address).any(|used| {
        sockets.lines().any(|line| line.split_whitespace().nth(1) == Some(used.as_str()))
    })
}

/// Runs a test on one thread with a temporary folder of its own.
pub fn run_local<F, T>(name: &str, test: F)
where
    F: FnOnce(PathBuf) -> T,
    T: Future<Output = ()>,
{
    let folder = std::env::temp_dir().join(format!("crocus-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the test folder is created");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, test(folder.clone()));
    std::fs::remove_dir_all(&folder).expect("the test folder is removed");
}

/// Returns `count` items for a job, with `events` events each.
pub fn items(job: &str, count: usize, events: u64) -> Vec<NewItem> {
    let item = |number: usize| NewItem {
        id: format!("{job}-{number}"),
        path: format!("{JOBS}{job}/{number}"),
        tokens: events * TOKENS_PER_EVENT,
        prompt_prefix: None,
    };
    (0..count).map(item).collect()
}

/// Reads the results of a job until all are there or `limit` is over.
pub async fn read_all_results(daemon: SocketAddr, job: &str, limit: Duration) -> Vec<ItemResult> {
    let deadline = Instant::now() + limit;
    let mut results = Vec::new();
    let mut total = usize::MAX;
    while results.len() < total && Instant::now() < deadline {
        match Client.read_results(daemon, job, results.len()).await {
            Ok((status, Some(page))) if status.is_success() => {
                total = page.total;
                results.extend(page.results);
            }
            _ => sleep(Duration::from_millis(100)).await,
        }
    }
    results
}

fn replica_settings(service: &str, name: &str, number: usize) -> ReplicaSettings {
    ReplicaSettings::with_defaults(&format!("{name}-{number}"), service, "a")
}
