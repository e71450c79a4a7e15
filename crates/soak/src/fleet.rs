//! The daemons and stand-ins of one run, and what is done to them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use kernel::KernelError;
use log::warn;
use platform_stub::DaemonProcess;
use platform_stub::Deployment;
use platform_stub::deployment::ENGINES;
use platform_stub::deployment::PLAIN;
use platform_stub::replica::ReplicaFault;
use platform_stub::replica::ReplicaSettings;
use platform_stub::settings::DaemonSettings;
use platform_stub::store_server::StoreFault;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::plan::Fault;
use crate::plan::LinkFault;
use crate::plan::PlannedFault;
use crate::proxy::Proxy;
use crate::timeline::GRACE_MS;
use crate::timeline::Timeline;

/// The first port of every daemon; each has an address of its own.
const FIRST_PORT: u16 = 23_400;
/// How long the results of jobs must stay readable, in seconds; longer than a run.
const STATUS_S: u64 = 120;
/// The time between SIGTERM and SIGKILL, in seconds.
const GRACE_S: u64 = 3;
/// How long a started daemon may take to be ready.
const START_PATIENCE: Duration = Duration::from_secs(20);
/// How often a stopping process is looked at.
const POLL: Duration = Duration::from_millis(20);
/// How long the record of a lost replica stays.
const LAPSE: Duration = Duration::from_millis(1_500);
/// The part of writes that are done late and not answered, and how late, in milliseconds.
const LOST_ANSWERS: StoreFault = StoreFault::LostAnswers { share: 0.5, late_ms: 400 };
/// The engines for each daemon, as on the smaller sites.
const ENGINES_PER_DAEMON: f64 = 0.8;

/// A daemon and how many faults hold it down or still.
struct Daemon {
    process: RefCell<DaemonProcess>,
    downs: Cell<u32>,
    pauses: Cell<u32>,
    clock_shift_ms: Cell<i64>,
    store_link: Rc<Proxy>,
}

/// A fleet under faults; runs inside a `LocalSet`.
pub struct Fleet {
    /// Store, replicas and what they saw.
    pub deployment: Rc<Deployment>,
    /// What was disturbed when.
    pub timeline: RefCell<Timeline>,
    daemons: Vec<Daemon>,
    replica_links: RefCell<BTreeMap<String, Rc<Proxy>>>,
    next_replica: Cell<u32>,
    route_times_ms: RefCell<Vec<u64>>,
}

impl Fleet {
    /// Starts a deployment and `count` daemons at 127.`net`.
    pub async fn start(
        binary: &Path,
        folder: &Path,
        net: [u8; 2],
        count: usize,
    ) -> Result<Rc<Self>, KernelError> {
        let deployment = Deployment::start()?;
        deployment.configure(|_| {});
        let ip = |number: usize| IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], number as u8 + 1));
        let mut daemons = Vec::new();
        for number in 0..count {
            let store_link = Proxy::start(deployment.store_address)?;
            let settings = DaemonSettings {
                name: format!("daemon-{number}"),
                ip: ip(number),
                zone: zone(number).to_owned(),
                first_port: FIRST_PORT,
                seeds: vec![ip(0)],
                store: store_link.address,
                grace_s: GRACE_S,
                status_s: STATUS_S,
                is_first_start: true,
            };
            let process = DaemonProcess::start(binary, settings, folder).map_err(|source| {
                KernelError::Bind { address: binary.display().to_string(), source }
            })?;
            daemons.push(Daemon {
                process: RefCell::new(process),
                downs: Cell::new(0),
                pauses: Cell::new(0),
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
            route_times_ms: RefCell::default(),
        });
        let engines = (count as f64 * ENGINES_PER_DAEMON).ceil() as usize;
        for _ in 0..engines.max(2) {
            fleet.add_replica(ENGINES)?;
        }
        for _ in 0..2 {
            fleet.add_replica(PLAIN)?;
        }
        Ok(fleet)
    }

    /// Returns the milliseconds since the start.
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

    /// Returns where clients reach a daemon.
    pub fn ingress(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].process.borrow().settings.ingress()
    }

    /// Returns how often a daemon's process was started.
    pub fn life(&self, daemon: usize) -> u32 {
        self.daemons[daemon].process.borrow().starts()
    }

    /// Returns the prefixes of the added routes and when each was added.
    pub fn added_routes(&self) -> Vec<(String, u64)> {
        let times = self.route_times_ms.borrow();
        times
            .iter()
            .enumerate()
            .map(|(number, added_ms)| (route_prefix(number), *added_ms))
            .collect()
    }

    /// Waits until every daemon that should run is ready; returns those that are not.
    pub async fn settle(&self) -> Vec<usize> {
        let mut late = Vec::new();
        let until_ms = self.now_ms() + START_PATIENCE.as_millis() as u64;
        for number in 0..self.len() {
            while !self.is_ready(number).await {
                if self.now_ms() > until_ms {
                    late.push(number);
                    break;
                }
                sleep(POLL).await;
            }
        }
        late
    }

    async fn is_ready(&self, number: usize) -> bool {
        let address = self.daemons[number].process.borrow().settings.readiness();
        platform_stub::processes::is_ready(address).await
    }

    /// Lets one fault begin, last and end.
    pub async fn inject(self: Rc<Self>, planned: PlannedFault) {
        let fault = planned.fault;
        let place = self.timeline.borrow_mut().begin(self.now_ms(), fault);
        let lasts = Duration::from_millis(planned.lasts_ms);
        if let Err(error) = self.run_fault(fault, lasts).await {
            warn!("event=fault_failed fault=\"{fault}\" error=\"{error}\"");
        }
        self.timeline.borrow_mut().end(self.now_ms(), place);
    }

    async fn run_fault(self: &Rc<Self>, fault: Fault, lasts: Duration) -> io::Result<()> {
        let store = &self.deployment.store;
        match fault {
            Fault::Kill { daemon } => {
                self.daemons[daemon].kill()?;
                sleep(lasts).await;
                self.daemons[daemon].release()
            }
            Fault::Stop { daemon } => {
                self.stop(daemon).await?;
                sleep(lasts).await;
                self.daemons[daemon].release()
            }
            Fault::Pause { daemon } => self.daemons[daemon].pause(lasts).await,
            Fault::Reload { daemon } => {
                let mut process = self.daemons[daemon].process.borrow_mut();
                let own = process.settings.ip;
                process.settings.seeds.push(own);
                process.reload()
            }
            Fault::KillAll => {
                self.daemons.iter().try_for_each(|daemon| daemon.kill())?;
                sleep(lasts).await;
                self.daemons.iter().try_for_each(Daemon::release)
            }
            Fault::StoreLink { daemon, link } => {
                harm(&self.daemons[daemon].store_link, link, lasts).await;
                Ok(())
            }
            Fault::ReplicaLink { replica, link } => {
                let name = self.replica_name(replica);
                let proxy = self.replica_links.borrow().get(&name).cloned();
                if let Some(proxy) = proxy {
                    harm(&proxy, link, lasts).await;
                }
                Ok(())
            }
            Fault::StoreBusy => self.harm_store(StoreFault::Busy, lasts).await,
            Fault::StoreSilent => self.harm_store(StoreFault::Silent, lasts).await,
            Fault::StoreSlow { ms } => self.harm_store(StoreFault::Slow(ms), lasts).await,
            Fault::StoreLosesAnswers => self.harm_store(LOST_ANSWERS, lasts).await,
            Fault::StoreResets => self.deployment.reset_store().map_err(io::Error::other),
            Fault::StoreForgets => {
                store.change(|objects| objects.compact());
                Ok(())
            }
            Fault::ReplicaSilent { replica } => {
                self.harm_replica(replica, ReplicaFault::Silent, lasts).await
            }
            Fault::ReplicaBreaksOff { replica } => {
                self.harm_replica(replica, ReplicaFault::BreaksOff, lasts).await
            }
            Fault::ReplicaFull { replica } => {
                self.harm_replica(replica, ReplicaFault::Full, lasts).await
            }
            Fault::ReplicaCrash { replica } => {
                let name = self.replica_name(replica);
                self.deployment.crash_replica(&name, LAPSE);
                sleep(lasts).await;
                self.add_replica(service_of(&name)).map_err(io::Error::other)
            }
            Fault::ReplicaDrain { replica } => {
                let name = self.replica_name(replica);
                self.deployment.drain_replica(&name);
                self.add_replica(service_of(&name)).map_err(io::Error::other)
            }
            Fault::ClockStep { daemon, by_ms } => {
                self.daemons[daemon].step_clock(by_ms)?;
                sleep(lasts).await;
                self.daemons[daemon].step_clock(-by_ms)
            }
            Fault::Configure => {
                let number = self.route_times_ms.borrow().len();
                self.deployment.add_route(&route_prefix(number));
                self.route_times_ms.borrow_mut().push(self.now_ms());
                Ok(())
            }
        }
    }

    /// Asks a daemon to stop and waits for its end.
    async fn stop(&self, number: usize) -> io::Result<()> {
        let daemon = &self.daemons[number];
        daemon.downs.set(daemon.downs.get() + 1);
        daemon.process.borrow_mut().signal(Signal::TERM)?;
        let until_ms = self.now_ms() + GRACE_MS;
        while daemon.process.borrow_mut().is_running() {
            if self.now_ms() > until_ms {
                return daemon.process.borrow_mut().kill();
            }
            sleep(POLL).await;
        }
        Ok(())
    }

    async fn harm_store(&self, fault: StoreFault, lasts: Duration) -> io::Result<()> {
        self.deployment.store.fault.set(fault);
        sleep(lasts).await;
        self.deployment.store.fault.set(StoreFault::None);
        Ok(())
    }

    async fn harm_replica(
        &self,
        number: usize,
        fault: ReplicaFault,
        lasts: Duration,
    ) -> io::Result<()> {
        let Some(replica) = self.deployment.replica(&self.replica_name(number)) else {
            return Ok(());
        };
        replica.fault.set(fault);
        sleep(lasts).await;
        replica.fault.set(ReplicaFault::None);
        Ok(())
    }

    fn replica_name(&self, number: usize) -> String {
        let names = self.deployment.replicas();
        match names.len() {
            0 => String::new(),
            count => names[number % count].clone(),
        }
    }

    fn add_replica(&self, service: &'static str) -> Result<(), KernelError> {
        let number = self.next_replica.replace(self.next_replica.get() + 1);
        let name = format!("{service}-{number}");
        let settings = ReplicaSettings::usual(&name, service, zone(number as usize));
        self.deployment.add_replica_behind(settings, |address| {
            let proxy = Proxy::start(address)?;
            let front = proxy.address;
            self.replica_links.borrow_mut().insert(name, proxy);
            Ok(front)
        })
    }
}

impl Daemon {
    fn kill(&self) -> io::Result<()> {
        self.downs.set(self.downs.get() + 1);
        self.process.borrow_mut().kill()
    }

    /// Starts the process again when no other fault holds it down.
    fn release(&self) -> io::Result<()> {
        self.downs.set(self.downs.get() - 1);
        let mut process = self.process.borrow_mut();
        if self.downs.get() > 0 || process.is_running() {
            return Ok(());
        }
        process.restart()
    }

    fn step_clock(&self, by_ms: i64) -> io::Result<()> {
        self.clock_shift_ms.set(self.clock_shift_ms.get() + by_ms);
        self.process.borrow().shift_clock(self.clock_shift_ms.get())
    }

    async fn pause(&self, lasts: Duration) -> io::Result<()> {
        self.pauses.set(self.pauses.get() + 1);
        self.process.borrow_mut().signal(Signal::STOP)?;
        sleep(lasts).await;
        self.pauses.set(self.pauses.get() - 1);
        if self.pauses.get() == 0 {
            self.process.borrow_mut().signal(Signal::CONT)?;
        }
        Ok(())
    }
}

async fn harm(proxy: &Proxy, link: LinkFault, lasts: Duration) {
    proxy.set(link);
    sleep(lasts).await;
    proxy.set(LinkFault::None);
}

fn zone(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "a" } else { "b" }
}

fn service_of(name: &str) -> &'static str {
    if name.starts_with(PLAIN) { PLAIN } else { ENGINES }
}

fn route_prefix(number: usize) -> String {
    format!("/added-{number}/")
}
