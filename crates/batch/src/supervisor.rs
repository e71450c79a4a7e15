//! Supervises the jobs of the shards that this daemon owns: finds open jobs and starts their
//! runners.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use fleet::LinkHandler;
use fleet::MembershipService;
use log::warn;
use store::CallClass;
use store::Store;
use tokio::sync::mpsc;
use wire::DaemonName;
use wire::JobId;
use wire::Millis;
use wire::Version;
use wire::job::Manifest;
use wire::link::Notice;
use wire::link::Reply;
use wire::link::Request;
use wire::rendezvous::SHARDS;
use wire::rendezvous::shard_of;

use crate::keys;
use crate::runner::Runner;
use crate::runner::RunnerCommand;
use crate::runner::RunnerContext;
use crate::runner::RunnerExit;

/// Interval at which the supervisor checks which shards are due to be listed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of shards listed per tick.
const MAX_SHARDS_PER_TICK: usize = 16;
/// How long a marker without a manifest is kept; its job was never accepted.
const ORPHAN_MARKER_RETENTION_MS: Millis = 600_000;

struct OwnShard {
    next_list_at_ms: Millis,
}

struct RunningJob {
    commands: mpsc::UnboundedSender<RunnerCommand>,
    marker_version: Version,
}

/// Supervisor of the jobs that this daemon runs.
pub struct JobSupervisor {
    context: Arc<RunnerContext>,
    store: Arc<Store>,
    members: Arc<MembershipService>,
    shards: Mutex<BTreeMap<u32, OwnShard>>,
    running: Mutex<BTreeMap<JobId, RunningJob>>,
    orphan_markers: Mutex<BTreeMap<JobId, Millis>>,
}

/// Returns the rendezvous-hashing key that determines a shard's owner.
pub fn shard_key(shard: u32) -> String {
    format!("shard-{shard}")
}

impl JobSupervisor {
    /// Creates the supervisor; `spawn` starts it.
    pub fn new(context: Arc<RunnerContext>, members: Arc<MembershipService>) -> Arc<Self> {
        Arc::new(Self {
            store: Arc::clone(&context.store),
            context,
            members,
            shards: Mutex::new(BTreeMap::new()),
            running: Mutex::new(BTreeMap::new()),
            orphan_markers: Mutex::new(BTreeMap::new()),
        })
    }

    /// Starts the task that looks for open jobs in the shards of this daemon.
    pub fn spawn(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).watch_shards());
    }

    /// Returns the link handler that receives job notices from peers.
    pub fn link_handler(self: &Arc<Self>) -> Arc<dyn LinkHandler> {
        Arc::new(JobNoticeHandler(Arc::clone(self)))
    }

    /// Reads the manifest of a job that was accepted or cancelled, and acts on it.
    pub fn on_job_changed(self: &Arc<Self>, job: JobId) {
        let supervisor = Arc::clone(self);
        tokio::spawn(async move { supervisor.reconcile_job(job, None).await });
    }

    /// Hands all jobs back and waits until their runners have recorded everything and ended.
    pub async fn drain(&self) {
        self.send_to_all(RunnerCommand::HandBack);
        while !self.running().is_empty() {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Returns the number of jobs that this daemon runs.
    pub fn job_count(&self) -> usize {
        self.running().len()
    }

    async fn watch_shards(self: Arc<Self>) {
        tokio::select! {
            () = self.context.services.stopped.cancelled() => return,
            () = self.context.services.leaving.cancelled() => return,
            () = self.members.wait_until_joined() => {}
        }
        let mut changes = self.members.changes();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        self.update_shards();
        loop {
            tokio::select! {
                () = self.context.services.stopped.cancelled() => return,
                () = self.context.services.leaving.cancelled() => {
                    return self.send_to_all(RunnerCommand::HandBack);
                }
                _ = changes.changed() => self.update_shards(),
                _ = ticks.tick() => {}
            }
            for shard in self.due_shards() {
                self.list_shard(shard).await;
            }
            let jobs = self.job_count() as u64;
            self.context.services.counters.set_gauge("jobs_running", jobs);
        }
    }

    /// Updates the set of shards that this daemon owns, and hands back jobs of all other shards.
    fn update_shards(&self) {
        let owners = self.members.eligible_owners();
        let own = &self.members.own().daemon;
        let is_own = |shard: u32| wire::rendezvous::owner(&shard_key(shard), &*owners) == Some(own);
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        for shard in 0..SHARDS {
            if is_own(shard) {
                shards.entry(shard).or_insert(OwnShard { next_list_at_ms: 0 });
            } else {
                shards.remove(&shard);
            }
        }
        for (job, running) in self.running().iter() {
            if !shards.contains_key(&shard_of(job.as_str())) {
                let _ = running.commands.send(RunnerCommand::HandBack);
            }
        }
    }

    fn due_shards(&self) -> Vec<u32> {
        let now_ms = self.context.services.clock.now_ms();
        let every_ms = self.context.services.settings.batch.shard_list_every_ms;
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let mut due: Vec<(Millis, u32)> = shards
            .iter()
            .filter(|(_, shard)| now_ms >= shard.next_list_at_ms)
            .map(|(number, shard)| (shard.next_list_at_ms, *number))
            .collect();
        // The shards that have been due for longest come first, so that the limit starves none.
        due.sort_unstable();
        let due: Vec<u32> =
            due.into_iter().take(MAX_SHARDS_PER_TICK).map(|(_, number)| number).collect();
        for number in &due {
            if let Some(shard) = shards.get_mut(number) {
                shard.next_list_at_ms = now_ms + every_ms;
            }
        }
        due
    }

    async fn list_shard(self: &Arc<Self>, shard: u32) {
        let prefix = keys::open_marker_prefix(shard);
        let listed = match self.store.list(CallClass::Status, &prefix).await {
            Ok(listed) => listed,
            Err(error) => {
                warn!("event=shard_not_listed shard={shard} error=\"{error}\"");
                return;
            }
        };
        for entry in listed {
            if let Some(job) = entry.key.strip_prefix(&prefix) {
                self.reconcile_job(JobId::from(job), Some(entry.version)).await;
            }
        }
    }

    /// Starts the runner of a job that has none, or passes a cancellation on to it.
    ///
    /// Does nothing if the marker is unchanged or if another daemon owns the job's shard.
    async fn reconcile_job(self: &Arc<Self>, job: JobId, marker: Option<Version>) {
        let is_unchanged = self
            .running()
            .get(&job)
            .is_some_and(|running| marker.is_some_and(|version| version == running.marker_version));
        if is_unchanged || !self.members.has_joined() || !self.is_owner_of(&job) {
            return;
        }
        let stored = self.store.get_json::<Manifest>(CallClass::Claim, &keys::manifest(&job)).await;
        let manifest = match stored {
            Ok(Some(stored)) => stored.value,
            Ok(None) => return self.on_orphan_marker(&job, marker).await,
            Err(error) => {
                warn!("event=manifest_not_read job={job} error=\"{error}\"");
                return;
            }
        };
        let mut running = self.running();
        if let Some(known) = running.get_mut(&job) {
            if let Some(version) = marker {
                known.marker_version = version;
            }
            if manifest.cancelled {
                let _ = known.commands.send(RunnerCommand::Cancel);
            }
            return;
        }
        if self.context.services.leaving.is_cancelled() {
            return;
        }
        let (commands, inbox) = mpsc::unbounded_channel();
        let marker_version = marker.unwrap_or(Version::ABSENT);
        running.insert(job.clone(), RunningJob { commands, marker_version });
        let runner = Runner::new(Arc::clone(&self.context), manifest);
        let supervisor = Arc::clone(self);
        tokio::spawn(async move {
            let end = runner.run(inbox).await;
            supervisor.on_runner_exit(job, end).await;
        });
    }

    async fn on_runner_exit(self: Arc<Self>, job: JobId, end: RunnerExit) {
        if end == RunnerExit::Finished {
            self.remove_marker(&job).await;
            self.context.services.counters.count("jobs_finished");
        }
        self.running().remove(&job);
    }

    async fn remove_marker(&self, job: &JobId) {
        let key = keys::open_marker(job);
        let known = self.store.get(CallClass::Status, &key).await;
        if let Ok(Some(object)) = known {
            // If the marker is not deleted, a later listing finds it again, and the new runner ends
            // at once because the head is finished.
            let _ = self.store.delete(CallClass::Status, &key, object.version).await;
        }
    }

    /// Deletes the marker of a job that was never accepted once its retention period has passed.
    async fn on_orphan_marker(&self, job: &JobId, marker: Option<Version>) {
        let Some(version) = marker else {
            return;
        };
        let now_ms = self.context.services.clock.now_ms();
        let first_seen_ms = {
            let mut orphan_markers =
                self.orphan_markers.lock().unwrap_or_else(PoisonError::into_inner);
            *orphan_markers.entry(job.clone()).or_insert(now_ms)
        };
        if now_ms >= first_seen_ms + ORPHAN_MARKER_RETENTION_MS {
            let key = keys::open_marker(job);
            let _ = self.store.delete(CallClass::Status, &key, version).await;
            self.orphan_markers.lock().unwrap_or_else(PoisonError::into_inner).remove(job);
        }
    }

    fn is_owner_of(&self, job: &JobId) -> bool {
        let shard = shard_of(job.as_str());
        self.members.owner_of(&shard_key(shard)).as_ref() == Some(&self.members.own().daemon)
    }

    fn send_to_all(&self, command: RunnerCommand) {
        for running in self.running().values() {
            let _ = running.commands.send(command);
        }
    }

    fn running(&self) -> MutexGuard<'_, BTreeMap<JobId, RunningJob>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct JobNoticeHandler(Arc<JobSupervisor>);

#[async_trait]
impl LinkHandler for JobNoticeHandler {
    async fn handle_call(&self, _from: &DaemonName, _request: &Request) -> Option<Reply> {
        None
    }

    fn handle_notice(&self, _from: &DaemonName, notice: &Notice) {
        if let Notice::JobChanged { job } = notice {
            self.0.on_job_changed(job.clone());
        }
    }
}
