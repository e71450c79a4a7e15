//! The jobs that this daemon is the home of, and what it knows of the others.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use catalog::ConfigurationInForce;
use gate::IngressDialect;
use kernel::BootClock;
use kernel::Counters;
use log::warn;
use peers::ControlClient;
use peers::Membership;
use peers::Topic;
use peers::Transport;
use peers::heartbeat::Attachment;
use peers::transport::decode;
use peers::transport::encode;
use slots::Slots;
use store::ObjectClient;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use upstream::Pool;
use wire::DaemonName;
use wire::JobId;
use wire::Millis;
use wire::Route;
use wire::rendezvous;

use crate::dialect::JobDialect;
use crate::job::Job;
use crate::job::JobLimits;
use crate::notes::HomeNotes;
use crate::notes::JobNote;
use crate::notes::WaitingTokens;
use crate::pace::Pace;
use crate::record::Home;
use crate::retention::Unheld;

/// The due time of a job whose route names none.
const DEFAULT_DUE_MS: Millis = 60_000;
/// The parts of the daemon that jobs need.
pub struct Parts {
    /// How jobs are spelled.
    pub dialect: Rc<dyn JobDialect>,
    /// How requests are spelled.
    pub ingress: Rc<dyn IngressDialect>,
    /// The daemon's clock.
    pub clock: BootClock,
    /// The daemon's counters.
    pub counters: Counters,
    /// The configuration in force.
    pub in_force: Rc<RefCell<ConfigurationInForce>>,
    /// The replicas' slots.
    pub slots: Rc<Slots>,
    /// Connections to replicas.
    pub pool: Rc<Pool>,
    /// The store.
    pub store: Rc<ObjectClient>,
    /// The other daemons.
    pub membership: Rc<RefCell<Membership>>,
    /// Calls to other daemons.
    pub control: Rc<ControlClient>,
    /// The largest object, in bytes.
    pub max_object_bytes: usize,
    /// The way to send datagrams to other daemons.
    pub transport: Rc<Transport>,
    /// How long after it was handed in a job's results must stay readable.
    pub keep_jobs_ms: Millis,
}

/// One job that this daemon holds.
pub struct JobCell {
    /// The job.
    pub job: RefCell<Job>,
    /// Told of new results.
    pub changed: Notify,
    /// Cancelled when the job's runs must stop.
    pub stop: CancellationToken,
    /// Whether another daemon is the job's home now.
    pub is_deposed: Cell<bool>,
    /// Whether another daemon says that it is the home, and the store has not been asked yet.
    pub is_contested: Cell<bool>,
    /// Whether a write of its status is in progress.
    pub is_saving: Cell<bool>,
}

/// Where a job is.
pub enum Place {
    /// This daemon holds it.
    Here(Rc<JobCell>),
    /// Another daemon is its home.
    At(Home),
    /// Nobody has told of it.
    Unknown,
}

/// The jobs, as this daemon sees them.
pub struct Board {
    pub(crate) parts: Parts,
    pub(crate) own: Home,
    pub(crate) jobs: RefCell<BTreeMap<JobId, Rc<JobCell>>>,
    pub(crate) wake: Notify,
    pub(crate) asking: Cell<usize>,
    pub(crate) is_leaving: Cell<bool>,
    pub(crate) pace: Cell<Pace>,
    pub(crate) sweeps: RefCell<Vec<Millis>>,
    pub(crate) unheld: RefCell<Unheld>,
    pub(crate) next_part: Cell<u64>,
    known: RefCell<HashMap<JobId, Home>>,
    peer_waiting: RefCell<HashMap<DaemonName, Vec<WaitingTokens>>>,
}

impl Board {
    /// Creates an empty board.
    pub fn new(parts: Parts) -> Rc<Self> {
        let membership = parts.membership.borrow();
        let identity = membership.own();
        let own = Home { daemon: identity.name.clone(), incarnation: identity.incarnation };
        drop(membership);
        Rc::new(Self {
            parts,
            own,
            jobs: RefCell::new(BTreeMap::new()),
            wake: Notify::new(),
            asking: Cell::new(0),
            is_leaving: Cell::new(false),
            pace: Cell::new(Pace::default()),
            sweeps: RefCell::new(Vec::new()),
            unheld: RefCell::default(),
            next_part: Cell::new(0),
            known: RefCell::new(HashMap::new()),
            peer_waiting: RefCell::new(HashMap::new()),
        })
    }

    /// Returns the time on the daemon's clock.
    pub fn now_ms(&self) -> Millis {
        self.parts.clock.now_ms()
    }

    /// Returns whether this daemon is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Returns this daemon's jobs as a part of a heartbeat.
    pub fn rider(&self) -> Attachment {
        let mut waiting: HashMap<u64, u64> = HashMap::new();
        let mut jobs = Vec::new();
        for (id, cell) in self.jobs.borrow().iter() {
            let job = cell.job.borrow();
            jobs.push(JobNote { job: id.clone(), is_open: !job.is_over() });
            if let Some(route) = self.route_of(&job) {
                *waiting.entry(route_hash(&route)).or_default() += job.waiting_tokens();
            }
        }
        let waiting =
            waiting.into_iter().map(|(route, tokens)| WaitingTokens { route, tokens }).collect();
        let notes = HomeNotes { jobs, waiting };
        Attachment { topic: Topic::Jobs, payload: encode(Topic::Jobs, &notes) }
    }

    /// Takes the jobs of a peer's heartbeat.
    pub fn take_rider(self: &Rc<Self>, daemon: &DaemonName, incarnation: u64, payload: &[u8]) {
        let Some(notes) = decode::<HomeNotes>(Topic::Jobs, payload) else { return };
        let home = Home { daemon: daemon.clone(), incarnation };
        for note in notes.jobs {
            if note.is_open {
                self.contest(&note.job, &home);
            }
            self.known.borrow_mut().insert(note.job, home.clone());
        }
        self.peer_waiting.borrow_mut().insert(daemon.clone(), notes.waiting);
    }

    /// Returns the jobs whose home is gone and that this daemon must adopt.
    pub fn orphans(&self) -> Vec<JobId> {
        let membership = self.parts.membership.borrow();
        let working: Vec<&DaemonName> =
            membership.ready_daemons().into_iter().map(|identity| &identity.name).collect();
        let known = self.known.borrow();
        let orphans = known
            .iter()
            .filter(|(_, home)| membership.has_incarnation_ended(&home.daemon, home.incarnation))
            .filter(|(job, _)| {
                let heir = rendezvous::owner(job.as_str(), working.iter().copied());
                heir == Some(&self.own.daemon)
            });
        orphans.map(|(job, _)| job.clone()).collect()
    }

    /// Returns where a job is, as far as this daemon was told.
    pub fn place(&self, job: &JobId) -> Place {
        if let Some(cell) = self.jobs.borrow().get(job) {
            return Place::Here(cell.clone());
        }
        self.known.borrow().get(job).cloned().map_or(Place::Unknown, Place::At)
    }

    /// Notes where a job is.
    pub fn learn(&self, job: &JobId, home: &Home) {
        if *home != self.own {
            self.known.borrow_mut().insert(job.clone(), home.clone());
        }
    }

    /// Forgets what was told of a job.
    pub fn unlearn(&self, job: &JobId) {
        self.known.borrow_mut().remove(job);
    }

    /// Returns the tokens that wait on a route at all daemons.
    pub fn waiting_tokens(&self, route: &Route) -> u64 {
        let hash = route_hash(route);
        let own: u64 = self
            .jobs
            .borrow()
            .values()
            .map(|cell| cell.job.borrow())
            .filter(|job| self.route_of(job).is_some_and(|other| route_hash(&other) == hash))
            .map(|job| job.waiting_tokens())
            .sum();
        let peers = self.peer_waiting.borrow();
        let others = peers.values().flatten().filter(|waiting| waiting.route == hash);
        own + others.map(|waiting| waiting.tokens).sum::<u64>()
    }

    /// Forgets the waiting tokens of a daemon whose jobs were adopted.
    pub fn forget_waiting(&self, daemon: &DaemonName) {
        self.peer_waiting.borrow_mut().remove(daemon);
    }

    /// Returns the route of a job in the configuration in force.
    pub fn route_of(&self, job: &Job) -> Option<Arc<Route>> {
        let in_force = self.parts.in_force.borrow();
        in_force.current()?.route(&job.host, &job.path).cloned()
    }

    /// Returns the limits of a job, or `None` if its route is gone.
    pub fn limits_of(&self, job: &Job) -> Option<JobLimits> {
        let is_configured = self.parts.in_force.borrow().current().is_some();
        match self.route_of(job) {
            Some(route) => Some(limits(&route)),
            None if is_configured => None,
            None => Some(JobLimits {
                due_ms: DEFAULT_DUE_MS,
                retention_ms: Millis::MAX / 4,
                max_attempts: u32::MAX,
            }),
        }
    }

    /// Holds a job as its home.
    pub fn hold(&self, job: Job) -> Rc<JobCell> {
        let id = job.id.clone();
        let cell = Rc::new(new_cell(job));
        self.known.borrow_mut().remove(&id);
        self.jobs.borrow_mut().insert(id, cell.clone());
        self.parts.membership.borrow_mut().expedite_heartbeats();
        self.wake.notify_one();
        cell
    }

    /// Lets a job go whose home is another daemon now.
    pub fn drop_job(&self, id: &JobId, home: Option<&Home>) {
        if let Some(cell) = self.jobs.borrow_mut().remove(id) {
            cell.is_deposed.set(true);
            cell.stop.cancel();
            cell.changed.notify_waiters();
        }
        if let Some(home) = home {
            self.learn(id, home);
        }
        self.parts.counters.count("jobs_deposed");
        warn!("event=job_deposed job={id} home={}", home.map_or("-", |home| home.daemon.as_str()));
    }
}

/// Returns the limits that a route sets for its jobs.
pub fn limits(route: &Route) -> JobLimits {
    JobLimits {
        due_ms: route.due_ms.unwrap_or(DEFAULT_DUE_MS),
        retention_ms: route.retention_ms.unwrap_or(Millis::MAX / 4),
        max_attempts: route.max_attempts,
    }
}

/// Returns the hash of a route's host and prefix, the same in every daemon.
pub fn route_hash(route: &Route) -> u64 {
    rendezvous::hash(format!("{} {}", route.host, route.path_prefix).as_bytes())
}

/// Returns a cell around a job.
pub fn new_cell(job: Job) -> JobCell {
    JobCell {
        job: RefCell::new(job),
        changed: Notify::new(),
        stop: CancellationToken::new(),
        is_deposed: Cell::new(false),
        is_contested: Cell::new(false),
        is_saving: Cell::new(false),
    }
}
