//! The jobs whose home is this daemon, and what it knows of the homes of other jobs.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use budget::Budget;
use budget::Kind;
use budget::Reservation;
use catalog::ConfigurationInForce;
use gate::CrashGuard;
use gate::IngressCodec;
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
use upstream::ConnectionPool;
use wire::DaemonName;
use wire::JobId;
use wire::Millis;
use wire::OrgName;
use wire::Route;
use wire::rendezvous;

use crate::codec::JobCodec;
use crate::job::Job;
use crate::job::JobLimits;
use crate::message::HeartbeatJobs;
use crate::message::JobSummary;
use crate::message::WaitingTokens;
use crate::pause::PauseDetector;
use crate::record::Home;
use crate::retention::UnheldJobs;
use crate::run_time::RunTimeEstimate;
use crate::slot_places::SlotPlaces;
use crate::submissions::PendingSubmissions;
use crate::submissions::PendingTokens;

/// The due time of a job whose route sets none.
const DEFAULT_DUE_MS: Millis = 60_000;

/// The smallest limit to which refusals by the store reduce the size of a job's objects.
const MIN_OBJECT_BYTES: usize = 16 << 10;

/// The components of the daemon that the job manager uses.
pub struct Dependencies {
    /// The platform's encoding of jobs.
    pub job_codec: Rc<dyn JobCodec>,
    /// The platform's encoding of requests.
    pub ingress_codec: Rc<dyn IngressCodec>,
    /// The daemon's clock.
    pub clock: BootClock,
    /// The daemon's counters.
    pub counters: Counters,
    /// The configuration in force.
    pub in_force: Rc<RefCell<ConfigurationInForce>>,
    /// The slots of the replicas.
    pub slots: Rc<Slots>,
    /// The connections to replicas.
    pub pool: Rc<ConnectionPool>,
    /// The client of the store.
    pub store: Rc<ObjectClient>,
    /// The membership view of the other daemons.
    pub membership: Rc<RefCell<Membership>>,
    /// The client for calls to other daemons.
    pub control: Rc<ControlClient>,
    /// The largest object that the store takes, in bytes.
    pub max_object_bytes: usize,
    /// The datagram transport to other daemons.
    pub transport: Rc<Transport>,
    /// How long a job's results must stay readable after its submission.
    pub keep_jobs_ms: Millis,
    /// The quarantine of prompt parts.
    pub crash_guard: Rc<CrashGuard>,
    /// The memory for jobs and for answers about them.
    pub budget: Arc<Budget>,
}

/// A job with the flags and notifications that its tasks share.
pub struct JobHandle {
    /// The job.
    pub job: RefCell<Job>,
    /// Notified when results are written or the job's home changes.
    pub changed: Notify,
    /// Cancelled when the runs of the job's items must stop.
    pub stop: CancellationToken,
    /// Whether this daemon is no longer the job's home.
    pub is_deposed: Cell<bool>,
    /// Whether another daemon may have become the home and the store has not answered yet; no item
    /// is sent and no result is shown meanwhile.
    pub is_unconfirmed: Cell<bool>,
    is_record_busy: Cell<bool>,
    /// How often the store refused an object of the job as too large.
    oversized_writes: Cell<u32>,
    /// What the job holds in memory; a copy that is only read once is not counted.
    pub(crate) memory: RefCell<Option<Reservation>>,
}

impl JobHandle {
    /// Returns the size limit of the job's objects in bytes; each refusal of one as too large halves
    /// it, since a store may count the size in another encoding.
    pub fn max_object_bytes(&self, configured_bytes: usize) -> usize {
        let halved_bytes = configured_bytes >> self.oversized_writes.get().min(usize::BITS - 1);
        halved_bytes.max(MIN_OBJECT_BYTES.min(configured_bytes))
    }

    /// Records that the store refused an object of the job as too large.
    pub fn record_oversized_write(&self) {
        self.oversized_writes.set(self.oversized_writes.get().saturating_add(1));
    }

    /// Returns whether a task is writing, handing over or removing the job's record.
    pub fn is_record_busy(&self) -> bool {
        self.is_record_busy.get()
    }

    /// Starts a use of the job's record; returns `None` while another task uses it.
    pub fn use_record(self: &Rc<Self>) -> Option<RecordUse> {
        (!self.is_record_busy.replace(true))
            .then(|| RecordUse { handle: self.clone(), is_last: false })
    }
}

/// The exclusive use of a job's record, which ends when it is dropped.
pub struct RecordUse {
    handle: Rc<JobHandle>,
    is_last: bool,
}

impl RecordUse {
    /// Ends the use and lets no other follow: the record is gone or has another home.
    pub fn retire(mut self) {
        self.is_last = true;
    }
}

impl Drop for RecordUse {
    fn drop(&mut self) {
        self.handle.is_record_busy.set(self.is_last);
    }
}

/// Which daemon holds a job, as far as this daemon knows.
pub enum JobLocation {
    /// This daemon holds it.
    Local(Rc<JobHandle>),
    /// Another daemon is its home.
    Remote(Home),
    /// No daemon has reported it.
    Unknown,
}

/// Runs, serves and hands over this daemon's jobs, and tracks the homes of other jobs.
pub struct JobManager {
    pub(crate) deps: Dependencies,
    pub(crate) own_home: Home,
    pub(crate) jobs: RefCell<BTreeMap<JobId, Rc<JobHandle>>>,
    pub(crate) wake: Notify,
    pub(crate) waiting_for_slot: RefCell<SlotPlaces>,
    pub(crate) is_leaving: Cell<bool>,
    pub(crate) run_time: Cell<RunTimeEstimate>,
    pub(crate) sweeps_due_ms: RefCell<Vec<Millis>>,
    pub(crate) unheld_jobs: RefCell<UnheldJobs>,
    pub(crate) next_result_part: Cell<u64>,
    pub(crate) pause_detector: Cell<PauseDetector>,
    /// When the sizes of all jobs were measured last.
    pub(crate) measured_ms: Cell<Millis>,
    remote_homes: RefCell<HashMap<JobId, Home>>,
    peer_waiting_tokens: RefCell<HashMap<DaemonName, Vec<WaitingTokens>>>,
    pending_submissions: PendingSubmissions,
}

impl JobManager {
    /// Creates a manager without jobs.
    pub fn new(deps: Dependencies) -> Rc<Self> {
        let membership = deps.membership.borrow();
        let identity = membership.own();
        let own_home = Home { daemon: identity.name.clone(), incarnation: identity.incarnation };
        drop(membership);
        Rc::new(Self {
            deps,
            own_home,
            jobs: RefCell::new(BTreeMap::new()),
            wake: Notify::new(),
            waiting_for_slot: RefCell::default(),
            is_leaving: Cell::new(false),
            run_time: Cell::new(RunTimeEstimate::default()),
            sweeps_due_ms: RefCell::new(Vec::new()),
            unheld_jobs: RefCell::default(),
            next_result_part: Cell::new(0),
            pause_detector: Cell::default(),
            measured_ms: Cell::new(0),
            remote_homes: RefCell::new(HashMap::new()),
            peer_waiting_tokens: RefCell::new(HashMap::new()),
            pending_submissions: PendingSubmissions::default(),
        })
    }

    /// Returns the current time of the daemon's clock.
    pub fn now_ms(&self) -> Millis {
        self.deps.clock.now_ms()
    }

    /// Returns whether this daemon is handing over its jobs before it stops.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Returns the list of this daemon's jobs as an attachment of heartbeats.
    ///
    /// Jobs whose home is unconfirmed are left out: peers would forward calls to this daemon.
    pub fn encode_jobs(self: &Rc<Self>) -> Attachment {
        self.check_for_pause();
        let mut waiting = self.pending_submissions.all();
        let mut jobs = Vec::new();
        for (id, handle) in self.jobs.borrow().iter() {
            let job = handle.job.borrow();
            if !handle.is_unconfirmed.get() {
                jobs.push(JobSummary { job: id.clone(), is_open: !job.is_finished() });
            }
            let tokens_of_job = job.waiting_tokens();
            if let Some(route) = self.route_of(&job).filter(|_| tokens_of_job > 0) {
                let queue = queue_hash(&route, job.organisation.as_ref());
                let tokens: &mut u64 = waiting.entry(queue).or_default();
                *tokens = tokens.saturating_add(tokens_of_job);
            }
        }
        let waiting =
            waiting.into_iter().map(|(route, tokens)| WaitingTokens { route, tokens }).collect();
        let own_jobs = HeartbeatJobs { jobs, waiting };
        Attachment { topic: Topic::Jobs, payload: encode(Topic::Jobs, &own_jobs) }
    }

    /// Applies the list of jobs that a peer's heartbeat carries.
    pub fn apply_jobs(self: &Rc<Self>, daemon: &DaemonName, incarnation: u64, payload: &[u8]) {
        let Some(peer_jobs) = decode::<HeartbeatJobs>(Topic::Jobs, payload) else { return };
        let home = Home { daemon: daemon.clone(), incarnation };
        for summary in peer_jobs.jobs {
            // The new home may have finished or ended the job by now.
            self.verify_contested_home(&summary.job, &home);
            self.remote_homes.borrow_mut().insert(summary.job, home.clone());
        }
        self.peer_waiting_tokens.borrow_mut().insert(daemon.clone(), peer_jobs.waiting);
    }

    /// Returns the jobs whose home is gone and whose successor is this daemon.
    pub fn orphaned_jobs(&self) -> Vec<JobId> {
        let membership = self.deps.membership.borrow();
        let ready: Vec<&DaemonName> =
            membership.ready_daemons().into_iter().map(|identity| &identity.name).collect();
        let remote_homes = self.remote_homes.borrow();
        let orphans = remote_homes
            .iter()
            .filter(|(_, home)| membership.has_incarnation_ended(&home.daemon, home.incarnation))
            .filter(|(job, _)| {
                let successor = rendezvous::owner(job.as_str(), ready.iter().copied());
                successor == Some(&self.own_home.daemon)
            });
        orphans.map(|(job, _)| job.clone()).collect()
    }

    /// Returns which daemon holds a job, as far as this daemon knows.
    pub fn locate(&self, job: &JobId) -> JobLocation {
        if let Some(handle) = self.jobs.borrow().get(job) {
            return JobLocation::Local(handle.clone());
        }
        self.remote_homes
            .borrow()
            .get(job)
            .cloned()
            .map_or(JobLocation::Unknown, JobLocation::Remote)
    }

    /// Remembers the home of another daemon's job.
    pub fn note_home(&self, job: &JobId, home: &Home) {
        if *home != self.own_home {
            self.remote_homes.borrow_mut().insert(job.clone(), home.clone());
        }
    }

    /// Forgets the home of a job.
    pub fn forget_home(&self, job: &JobId) {
        self.remote_homes.borrow_mut().remove(job);
    }

    /// Returns the tokens of an organisation's unfinished items on a route, summed over all daemons.
    pub fn waiting_tokens(&self, route: &Route, organisation: Option<&OrgName>) -> u64 {
        let hash = queue_hash(route, organisation);
        let own = self
            .jobs
            .borrow()
            .values()
            .map(|handle| handle.job.borrow())
            .filter(|job| job.organisation.as_ref() == organisation)
            .filter(|job| {
                self.route_of(job).is_some_and(|other| queue_hash(&other, organisation) == hash)
            })
            .fold(self.pending_submissions.tokens(hash), |sum: u64, job| {
                sum.saturating_add(job.waiting_tokens())
            });
        let peers = self.peer_waiting_tokens.borrow();
        let others = peers.values().flatten().filter(|waiting| waiting.route == hash);
        others.fold(own, |sum, waiting| sum.saturating_add(waiting.tokens))
    }

    /// Counts the tokens of a submission as waiting until the returned value is dropped.
    pub(crate) fn add_pending_submission(
        &self,
        route: &Route,
        organisation: Option<&OrgName>,
        tokens: u64,
    ) -> PendingTokens {
        self.pending_submissions.add(queue_hash(route, organisation), tokens)
    }

    /// Forgets the waiting tokens of a lost daemon; the homes that adopt its jobs report them anew.
    pub fn forget_waiting_tokens(&self, daemon: &DaemonName) {
        self.peer_waiting_tokens.borrow_mut().remove(daemon);
    }

    /// Returns the route of a job, or `None` if the configuration in force has none for it.
    pub fn route_of(&self, job: &Job) -> Option<Arc<Route>> {
        let in_force = self.deps.in_force.borrow();
        in_force.current()?.route(&job.host, &job.path).cloned()
    }

    /// Returns the limits of a job, or `None` if its route was removed.
    ///
    /// While no configuration is known, or a newer one exists, no item is given up.
    pub fn limits_of(&self, job: &Job) -> Option<JobLimits> {
        let in_force = self.deps.in_force.borrow();
        let is_configured = in_force.current().is_some() && !in_force.is_outdated();
        drop(in_force);
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

    /// Returns the number of pauses of this daemon so far, which is read before a call to the store.
    pub(crate) fn pauses(self: &Rc<Self>) -> u64 {
        self.check_for_pause();
        self.pause_detector.get().pauses()
    }

    /// Adds a job whose home is this daemon, and has a heartbeat announce it at once.
    ///
    /// A job that is held already keeps its state: it may have been loaded from the record while
    /// the store's answer to another task was still on its way.
    pub fn add_job(&self, job: Job) -> Rc<JobHandle> {
        let id = job.id.clone();
        if let JobLocation::Local(held) = self.locate(&id) {
            return held;
        }
        let handle = Rc::new(new_handle(job));
        *handle.memory.borrow_mut() = Some(self.deps.budget.reserve(Kind::Jobs));
        handle.measure();
        self.remote_homes.borrow_mut().remove(&id);
        self.jobs.borrow_mut().insert(id, handle.clone());
        self.deps.membership.borrow_mut().expedite_heartbeats();
        self.wake.notify_one();
        handle
    }

    /// Adds a job for which the store was called after `pauses_before` pauses; after a further one the
    /// home is confirmed first.
    pub(crate) fn add_job_since(self: &Rc<Self>, job: Job, pauses_before: u64) -> Rc<JobHandle> {
        let handle = self.add_job(job);
        if self.pauses() != pauses_before {
            self.start_home_confirmation(&handle);
        }
        handle
    }

    /// Removes a deposed job, that is, one whose home this daemon is no longer, and stops its items.
    pub fn drop_deposed_job(&self, id: &JobId, home: Option<&Home>) {
        if let Some(handle) = self.jobs.borrow_mut().remove(id) {
            handle.is_deposed.set(true);
            handle.stop.cancel();
            handle.changed.notify_waiters();
        }
        if let Some(home) = home {
            self.note_home(id, home);
        }
        self.deps.counters.count("jobs_deposed");
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

/// Returns the hash of a route's host and path prefix and of the organisation whose items wait, which
/// is the same in every daemon.
///
/// The line break, which is in no host or path, keeps the hashes of two queues apart.
pub fn queue_hash(route: &Route, organisation: Option<&OrgName>) -> u64 {
    let mut text = format!("{} {}", route.host, route.path_prefix);
    if let Some(organisation) = organisation {
        text.push('\n');
        text.push_str(organisation.as_str());
    }
    rendezvous::hash(text.as_bytes())
}

/// Creates the handle of a job.
pub fn new_handle(job: Job) -> JobHandle {
    JobHandle {
        job: RefCell::new(job),
        changed: Notify::new(),
        stop: CancellationToken::new(),
        is_deposed: Cell::new(false),
        is_unconfirmed: Cell::new(false),
        is_record_busy: Cell::new(false),
        oversized_writes: Cell::new(0),
        memory: RefCell::new(None),
    }
}
