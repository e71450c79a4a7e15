//! The daemons and the platform stub of one run, and the faults that are injected into them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use kernel::KernelError;
use log::warn;
use platform_stub::DaemonProcess;
use platform_stub::Deployment;
use platform_stub::deployment::ENGINE_SERVICE;
use platform_stub::deployment::PLAIN_SERVICE;
use platform_stub::replica::ReplicaFault;
use platform_stub::replica::ReplicaSettings;
use platform_stub::settings::DaemonSettings;
use platform_stub::settings::SMALLEST_MEMORY_MB;
use platform_stub::settings::USUAL_MAX_FDS;
use platform_stub::store_server::StoreFault;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::flood::flood;
use crate::organisations;
use crate::organisations::KEY_PREFIX;
use crate::organisations::OPERATOR;
use crate::organisations::Organisations;
use crate::plan::Fault;
use crate::plan::LinkFault;
use crate::plan::PlannedFault;
use crate::process_watch::ProcessWatch;
use crate::process_watch::read_peak_kib;
use crate::proxy::Proxy;
use crate::scenario::Scenario;
use crate::timeline::MAX_STOP_MS;
use crate::timeline::Timeline;

/// The first port of every daemon; daemons differ in their IP addresses.
const FIRST_PORT: u16 = 23_400;
/// How long the results of jobs stay readable, in seconds; longer than a run.
const STATUS_RETENTION_S: u64 = 120;
/// The time between SIGTERM and SIGKILL, in seconds.
const GRACE_S: u64 = 3;
/// The longest time that daemons may take to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval between two checks of whether a daemon is ready or has stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long the record of a crashed replica stays in the store.
const REPLICA_RECORD_TTL: Duration = Duration::from_millis(1_500);
/// The store applies half of the writes 400 ms late and does not answer them.
const LOST_ANSWERS: StoreFault = StoreFault::LostAnswers { share: 0.5, late_ms: 400 };
/// The number of engines for each daemon, as on the smaller sites.
const ENGINES_PER_DAEMON: f64 = 0.8;

/// A daemon, and the number of faults that currently keep it down or paused.
struct Daemon {
    process: RefCell<DaemonProcess>,
    down_count: Cell<u32>,
    pause_count: Cell<u32>,
    clock_shift_ms: Cell<i64>,
    store_link: Rc<Proxy>,
}

/// The fleet of one run; must be used inside a `LocalSet`.
pub struct Fleet {
    /// The store, the replicas and the log of what the replicas ran.
    pub deployment: Rc<Deployment>,
    /// The times of the injected faults.
    pub timeline: RefCell<Timeline>,
    /// The operator's changes to the organisations, if the configuration has any.
    pub organisations: RefCell<Option<Organisations>>,
    /// What was seen of the daemons' processes.
    pub process_watch: RefCell<ProcessWatch>,
    daemons: Vec<Daemon>,
    replica_links: RefCell<BTreeMap<String, Rc<Proxy>>>,
    next_replica: Cell<u32>,
    routes_added_ms: RefCell<Vec<u64>>,
    faulty_replicas: RefCell<BTreeSet<String>>,
}

impl Fleet {
    /// Starts a deployment and `count` daemons with addresses in 127.`subnet`.
    pub async fn start(
        binary: &Path,
        folder: &Path,
        subnet: [u8; 2],
        count: usize,
        scenario: &Scenario,
    ) -> Result<Rc<Self>, KernelError> {
        let deployment = Deployment::start()?;
        let organisations = scenario.has_organisations.then(Organisations::default);
        match &organisations {
            Some(organisations) => deployment.set_organisations(organisations.to_json()),
            None => deployment.configure(|_| {}),
        };
        let ip =
            |number: usize| IpAddr::V4(Ipv4Addr::new(127, subnet[0], subnet[1], number as u8 + 1));
        let mut daemons = Vec::new();
        for number in 0..count {
            let store_link = Proxy::start(deployment.store_address)?;
            let settings = DaemonSettings {
                name: format!("daemon-{number}"),
                ip: ip(number),
                data_centre: data_centre(number).to_owned(),
                first_port: FIRST_PORT,
                seeds: vec![ip(0)],
                store: store_link.address,
                grace_s: GRACE_S,
                status_s: STATUS_RETENTION_S,
                contracts: scenario.contracts.clone(),
                is_first_start: true,
                memory_mb: SMALLEST_MEMORY_MB,
                max_fds: USUAL_MAX_FDS,
            };
            let process = DaemonProcess::start(binary, settings, folder).map_err(|source| {
                KernelError::Start { what: format!("'{}'", binary.display()), source }
            })?;
            daemons.push(Daemon {
                process: RefCell::new(process),
                down_count: Cell::new(0),
                pause_count: Cell::new(0),
                clock_shift_ms: Cell::new(0),
                store_link,
            });
        }
        let fleet = Rc::new(Self {
            deployment,
            timeline: RefCell::default(),
            daemons,
            replica_links: RefCell::default(),
            next_replica: Cell::new(0),
            routes_added_ms: RefCell::default(),
            faulty_replicas: RefCell::default(),
            organisations: RefCell::new(organisations),
            process_watch: RefCell::default(),
        });
        let engines = (count as f64 * ENGINES_PER_DAEMON).ceil() as usize;
        for _ in 0..engines.max(2) {
            fleet.add_replica(ENGINE_SERVICE)?;
        }
        for _ in 0..2 {
            fleet.add_replica(PLAIN_SERVICE)?;
        }
        Ok(fleet)
    }

    /// Returns the time since the start of the run, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.deployment.started.elapsed().as_millis() as u64
    }

    /// Returns the number of daemons.
    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Returns whether there are no daemons.
    pub fn is_empty(&self) -> bool {
        self.daemons.is_empty()
    }

    /// Returns the address at which a daemon accepts clients.
    pub fn ingress(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].process.borrow().settings.ingress()
    }

    /// Returns how often a daemon's process has been started.
    pub fn starts(&self, daemon: usize) -> u32 {
        self.daemons[daemon].process.borrow().starts()
    }

    /// Returns the prefixes of the added routes and when each was added.
    pub fn added_routes(&self) -> Vec<(String, u64)> {
        let added_times_ms = self.routes_added_ms.borrow();
        added_times_ms
            .iter()
            .enumerate()
            .map(|(number, added_ms)| (route_prefix(number), *added_ms))
            .collect()
    }

    /// Returns the running replicas that showed a fault before.
    pub fn mended_replicas(&self) -> Vec<String> {
        let faulty = self.faulty_replicas.borrow();
        self.deployment.replicas().into_iter().filter(|name| faulty.contains(name)).collect()
    }

    /// Looks at the processes of all daemons that no fault keeps down.
    pub fn watch_processes(&self) {
        let mut watch = self.process_watch.borrow_mut();
        for (number, daemon) in self.daemons.iter().enumerate() {
            if daemon.down_count.get() > 0 {
                continue;
            }
            let mut process = daemon.process.borrow_mut();
            if !process.is_running() {
                watch.record_end(number, process.starts());
            } else if let Some(peak_kib) = read_peak_kib(process.id()) {
                watch.record_peak(number, peak_kib);
            }
        }
    }

    /// Returns whether the configuration has organisations.
    pub fn has_organisations(&self) -> bool {
        self.organisations.borrow().is_some()
    }

    /// Returns the paths of the logs that contain a key.
    pub fn logs_with_keys(&self) -> Vec<PathBuf> {
        let logs = self.daemons.iter().map(|daemon| daemon.process.borrow().log.clone());
        logs.filter(|log| std::fs::read_to_string(log).unwrap_or_default().contains(KEY_PREFIX))
            .collect()
    }

    /// Waits until every daemon is ready, and returns those that are not ready in time.
    pub async fn wait_until_ready(&self) -> Vec<usize> {
        let mut unready = Vec::new();
        let until_ms = self.now_ms() + START_TIMEOUT.as_millis() as u64;
        for number in 0..self.len() {
            while !self.is_ready(number).await {
                if self.now_ms() > until_ms {
                    unready.push(number);
                    break;
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        unready
    }

    async fn is_ready(&self, number: usize) -> bool {
        let address = self.daemons[number].process.borrow().settings.readiness();
        platform_stub::processes::is_ready(address).await
    }

    /// Runs one fault from its start to its end, and records both in the timeline.
    pub async fn inject(self: Rc<Self>, planned: PlannedFault) {
        let fault = planned.fault;
        let index = self.timeline.borrow_mut().begin(self.now_ms(), fault);
        let duration = Duration::from_millis(planned.duration_ms);
        if let Err(error) = self.apply_fault(fault, duration).await {
            warn!("event=fault_failed fault=\"{fault}\" error=\"{error}\"");
        }
        self.timeline.borrow_mut().end(self.now_ms(), index);
    }

    async fn apply_fault(self: &Rc<Self>, fault: Fault, duration: Duration) -> io::Result<()> {
        let store = &self.deployment.store;
        match fault {
            Fault::Kill { daemon } => {
                self.daemons[daemon].kill()?;
                sleep(duration).await;
                self.daemons[daemon].release()
            }
            Fault::Stop { daemon } => {
                self.stop(daemon).await?;
                sleep(duration).await;
                self.daemons[daemon].release()
            }
            Fault::Pause { daemon } => self.daemons[daemon].pause(duration).await,
            Fault::Reload { daemon } => {
                let mut process = self.daemons[daemon].process.borrow_mut();
                let own_ip = process.settings.ip;
                process.settings.seeds.push(own_ip);
                process.reload()
            }
            Fault::KillAll => {
                self.daemons.iter().try_for_each(|daemon| daemon.kill())?;
                sleep(duration).await;
                self.daemons.iter().try_for_each(Daemon::release)
            }
            Fault::StoreLink { daemon, link } => {
                inject_link_fault(&self.daemons[daemon].store_link, link, duration).await;
                Ok(())
            }
            Fault::ReplicaLink { replica, link } => {
                let name = self.replica_name(replica);
                let proxy = self.replica_links.borrow().get(&name).cloned();
                if let Some(proxy) = proxy {
                    inject_link_fault(&proxy, link, duration).await;
                }
                Ok(())
            }
            Fault::StoreBusy => self.inject_store_fault(StoreFault::Busy, duration).await,
            Fault::StoreSilent => self.inject_store_fault(StoreFault::Silent, duration).await,
            Fault::StoreSlow { ms } => {
                self.inject_store_fault(StoreFault::Slow(ms), duration).await
            }
            Fault::StoreLosesAnswers => self.inject_store_fault(LOST_ANSWERS, duration).await,
            Fault::StoreResets => self.deployment.reset_store().map_err(io::Error::other),
            Fault::StoreForgets => {
                store.change(|objects| objects.compact());
                Ok(())
            }
            Fault::ReplicaSilent { replica } => {
                self.inject_replica_fault(replica, ReplicaFault::Silent, duration).await
            }
            Fault::ReplicaBreaksOff { replica } => {
                self.inject_replica_fault(replica, ReplicaFault::AbortsStreams, duration).await
            }
            Fault::ReplicaFull { replica } => {
                self.inject_replica_fault(replica, ReplicaFault::Full, duration).await
            }
            Fault::ReplicaFailsPart { replica, failure } => {
                self.inject_replica_fault(replica, ReplicaFault::FailsPart(failure), duration).await
            }
            Fault::ReplicaSlow { replica, factor } => {
                self.inject_replica_fault(replica, ReplicaFault::Slow(factor), duration).await
            }
            Fault::ReplicaCrash { replica } => {
                let name = self.replica_name(replica);
                self.deployment.crash_replica(&name, REPLICA_RECORD_TTL);
                sleep(duration).await;
                self.add_replica(service_of(&name)).map_err(io::Error::other)
            }
            Fault::ReplicaDrain { replica } => {
                let name = self.replica_name(replica);
                self.deployment.drain_replica(&name);
                self.add_replica(service_of(&name)).map_err(io::Error::other)
            }
            Fault::ReplicaLeave { replica } => {
                let name = self.replica_name(replica);
                self.deployment.leave_replica(&name);
                self.add_replica(service_of(&name)).map_err(io::Error::other)
            }
            Fault::ReplicaPause { replica, count } => {
                let proxies = self.replica_proxies(replica, count);
                proxies.iter().for_each(|proxy| proxy.set_fault(LinkFault::Silent));
                sleep(duration).await;
                proxies.iter().for_each(|proxy| proxy.set_fault(LinkFault::None));
                Ok(())
            }
            Fault::ClockStep { daemon, by_ms } => {
                self.daemons[daemon].step_clock(by_ms)?;
                sleep(duration).await;
                self.daemons[daemon].step_clock(-by_ms)
            }
            Fault::Flood { daemon, kind, connections } => {
                let key = self.has_organisations().then(|| organisations::key(OPERATOR, 0));
                flood(self.ingress(daemon), kind, connections, key.as_deref(), duration).await;
                Ok(())
            }
            Fault::RevokeKey { key } => {
                self.change_organisations(|organisations, now_ms| {
                    organisations.revoke(key, now_ms)
                });
                Ok(())
            }
            Fault::LowerQuota => {
                self.change_organisations(|organisations, now_ms| {
                    organisations.lowered_ms = Some(now_ms);
                });
                Ok(())
            }
            Fault::Configure => {
                let number = self.routes_added_ms.borrow().len();
                self.deployment.add_route(&route_prefix(number));
                self.routes_added_ms.borrow_mut().push(self.now_ms());
                Ok(())
            }
        }
    }

    /// Sends SIGTERM to a daemon and waits until it ends; kills it if it takes too long.
    async fn stop(&self, number: usize) -> io::Result<()> {
        let daemon = &self.daemons[number];
        daemon.down_count.set(daemon.down_count.get() + 1);
        daemon.process.borrow_mut().signal(Signal::TERM)?;
        let until_ms = self.now_ms() + MAX_STOP_MS;
        while daemon.process.borrow_mut().is_running() {
            if self.now_ms() > until_ms {
                return daemon.process.borrow_mut().kill();
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn inject_store_fault(&self, fault: StoreFault, duration: Duration) -> io::Result<()> {
        self.deployment.store.fault.set(fault);
        sleep(duration).await;
        self.deployment.store.fault.set(StoreFault::None);
        Ok(())
    }

    async fn inject_replica_fault(
        &self,
        number: usize,
        fault: ReplicaFault,
        duration: Duration,
    ) -> io::Result<()> {
        let name = self.replica_name(number);
        let Some(replica) = self.deployment.replica(&name) else {
            return Ok(());
        };
        self.faulty_replicas.borrow_mut().insert(name);
        replica.fault.set(fault);
        sleep(duration).await;
        replica.fault.set(ReplicaFault::None);
        Ok(())
    }

    fn change_organisations(&self, change: impl FnOnce(&mut Organisations, u64)) {
        if let Some(organisations) = self.organisations.borrow_mut().as_mut() {
            change(organisations, self.now_ms());
            self.deployment.set_organisations(organisations.to_json());
        }
    }

    fn replica_name(&self, number: usize) -> String {
        let names = self.deployment.replicas();
        match names.len() {
            0 => String::new(),
            count => names[number % count].clone(),
        }
    }

    /// Returns the proxies of `count` replicas from the one at `number` on, or of all.
    fn replica_proxies(&self, number: usize, count: usize) -> Vec<Rc<Proxy>> {
        let running = self.deployment.replicas().len();
        let links = self.replica_links.borrow();
        (0..count.min(running))
            .filter_map(|offset| links.get(&self.replica_name(number + offset)).cloned())
            .collect()
    }

    fn add_replica(&self, service: &'static str) -> Result<(), KernelError> {
        let number = self.next_replica.replace(self.next_replica.get() + 1);
        let name = format!("{service}-{number}");
        let settings = ReplicaSettings::with_defaults(&name, service, data_centre(number as usize));
        self.deployment.add_replica_behind_proxy(settings, |address| {
            let proxy = Proxy::start(address)?;
            let proxy_address = proxy.address;
            self.replica_links.borrow_mut().insert(name, proxy);
            Ok(proxy_address)
        })
    }
}

impl Daemon {
    fn kill(&self) -> io::Result<()> {
        self.down_count.set(self.down_count.get() + 1);
        self.process.borrow_mut().kill()
    }

    /// Restarts the process unless another fault still keeps it down.
    fn release(&self) -> io::Result<()> {
        self.down_count.set(self.down_count.get() - 1);
        let mut process = self.process.borrow_mut();
        if self.down_count.get() > 0 || process.is_running() {
            return Ok(());
        }
        process.restart()
    }

    fn step_clock(&self, by_ms: i64) -> io::Result<()> {
        self.clock_shift_ms.set(self.clock_shift_ms.get() + by_ms);
        self.process.borrow().shift_clock(self.clock_shift_ms.get())
    }

    async fn pause(&self, duration: Duration) -> io::Result<()> {
        self.pause_count.set(self.pause_count.get() + 1);
        self.process.borrow_mut().signal(Signal::STOP)?;
        sleep(duration).await;
        self.pause_count.set(self.pause_count.get() - 1);
        if self.pause_count.get() == 0 {
            self.process.borrow_mut().signal(Signal::CONT)?;
        }
        Ok(())
    }
}

async fn inject_link_fault(proxy: &Proxy, link: LinkFault, duration: Duration) {
    proxy.set_fault(link);
    sleep(duration).await;
    proxy.set_fault(LinkFault::None);
}

fn data_centre(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "a" } else { "b" }
}

fn service_of(name: &str) -> &'static str {
    if name.starts_with(PLAIN_SERVICE) { PLAIN_SERVICE } else { ENGINE_SERVICE }
}

fn route_prefix(number: usize) -> String {
    format!("/added-{number}/")
}
