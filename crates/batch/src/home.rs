//! The home of jobs: this daemon runs the jobs of the shards that it owns.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use fleet::LinkHandler;
use fleet::Members;
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
use crate::runner::Order;
use crate::runner::RunEnd;
use crate::runner::Runner;
use crate::runner::RunnerContext;

/// How often the home looks which shards are due to be listed.
const TICK: Duration = Duration::from_millis(100);
/// Shards listed in one turn.
const SHARDS_PER_TURN: usize = 16;
/// How long a marker without a manifest is kept; its job was never accepted.
const ORPHAN_MARKER_MS: Millis = 600_000;

struct OwnShard {
    list_at_ms: Millis,
}

struct RunningJob {
    orders: mpsc::UnboundedSender<Order>,
    marker: Version,
}

/// The jobs that this daemon runs.
pub struct JobHome {
    context: Arc<RunnerContext>,
    store: Arc<Store>,
    members: Arc<Members>,
    shards: Mutex<BTreeMap<u32, OwnShard>>,
    running: Mutex<BTreeMap<JobId, RunningJob>>,
    orphans: Mutex<BTreeMap<JobId, Millis>>,
}

/// Returns the key by which a shard's home is chosen.
pub fn shard_key(shard: u32) -> String {
    format!("shard-{shard}")
}

impl JobHome {
    /// Creates the home; `spawn` starts its work.
    pub fn new(context: Arc<RunnerContext>, members: Arc<Members>) -> Arc<Self> {
        Arc::new(Self {
            store: Arc::clone(&context.store),
            context,
            members,
            shards: Mutex::new(BTreeMap::new()),
            running: Mutex::new(BTreeMap::new()),
            orphans: Mutex::new(BTreeMap::new()),
        })
    }

    /// Starts looking for jobs.
    pub fn spawn(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).follow_shards());
    }

    /// Returns the handler of notices from peers.
    pub fn link_handler(self: &Arc<Self>) -> Arc<dyn LinkHandler> {
        Arc::new(JobHandler(Arc::clone(self)))
    }

    /// Reads a job again that was accepted or cancelled.
    pub fn on_job_changed(self: &Arc<Self>, job: JobId) {
        let home = Arc::clone(self);
        tokio::spawn(async move { home.look_at(job, None).await });
    }

    /// Gives every job back and waits until all are recorded.
    pub async fn drain(&self) {
        self.order_all(Order::HandBack);
        while !self.running().is_empty() {
            tokio::time::sleep(TICK).await;
        }
    }

    /// Returns the number of jobs that run here.
    pub fn job_count(&self) -> usize {
        self.running().len()
    }

    async fn follow_shards(self: Arc<Self>) {
        tokio::select! {
            () = self.context.services.stopped.cancelled() => return,
            () = self.context.services.leaving.cancelled() => return,
            () = self.members.joined() => {}
        }
        let mut changes = self.members.changes();
        let mut ticks = tokio::time::interval(TICK);
        self.update_shards();
        loop {
            tokio::select! {
                () = self.context.services.stopped.cancelled() => return,
                () = self.context.services.leaving.cancelled() => {
                    return self.order_all(Order::HandBack);
                }
                _ = changes.changed() => self.update_shards(),
                _ = ticks.tick() => {}
            }
            for shard in self.due_shards() {
                self.list_shard(shard).await;
            }
            let jobs = self.job_count() as u64;
            self.context.services.counters.gauge("jobs_running", jobs);
        }
    }

    /// Takes over shards that this daemon now owns, and gives back the jobs of lost ones.
    fn update_shards(&self) {
        let owners = self.members.owners();
        let own = &self.members.own().daemon;
        let is_own = |shard: u32| wire::rendezvous::owner(&shard_key(shard), &*owners) == Some(own);
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        for shard in 0..SHARDS {
            if is_own(shard) {
                shards.entry(shard).or_insert(OwnShard { list_at_ms: 0 });
            } else {
                shards.remove(&shard);
            }
        }
        for (job, running) in self.running().iter() {
            if !shards.contains_key(&shard_of(job.as_str())) {
                let _ = running.orders.send(Order::HandBack);
            }
        }
    }

    fn due_shards(&self) -> Vec<u32> {
        let now_ms = self.context.services.clock.now_ms();
        let every_ms = self.context.services.settings.batch.shard_list_every_ms;
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let mut due: Vec<(Millis, u32)> = shards
            .iter()
            .filter(|(_, shard)| now_ms >= shard.list_at_ms)
            .map(|(number, shard)| (shard.list_at_ms, *number))
            .collect();
        // The longest due first, so that a short turn starves none.
        due.sort_unstable();
        let due: Vec<u32> =
            due.into_iter().take(SHARDS_PER_TURN).map(|(_, number)| number).collect();
        for number in &due {
            if let Some(shard) = shards.get_mut(number) {
                shard.list_at_ms = now_ms + every_ms;
            }
        }
        due
    }

    async fn list_shard(self: &Arc<Self>, shard: u32) {
        let prefix = keys::open_shard(shard);
        let listed = match self.store.list(CallClass::Status, &prefix).await {
            Ok(listed) => listed,
            Err(error) => {
                warn!("event=shard_not_listed shard={shard} error=\"{error}\"");
                return;
            }
        };
        for line in listed {
            if let Some(job) = line.key.strip_prefix(&prefix) {
                self.look_at(JobId::from(job), Some(line.version)).await;
            }
        }
    }

    /// Starts the runner of a job, or tells it of a cancel.
    async fn look_at(self: &Arc<Self>, job: JobId, marker: Option<Version>) {
        let is_unchanged = self
            .running()
            .get(&job)
            .is_some_and(|running| marker.is_some_and(|version| version == running.marker));
        if is_unchanged || !self.members.has_joined() || !self.is_home_of(&job) {
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
                known.marker = version;
            }
            if manifest.cancelled {
                let _ = known.orders.send(Order::Cancel);
            }
            return;
        }
        if self.context.services.leaving.is_cancelled() {
            return;
        }
        let (orders, inbox) = mpsc::unbounded_channel();
        let marker = marker.unwrap_or(Version::ABSENT);
        running.insert(job.clone(), RunningJob { orders, marker });
        let runner = Runner::new(Arc::clone(&self.context), manifest);
        let home = Arc::clone(self);
        tokio::spawn(async move {
            let end = runner.run(inbox).await;
            home.on_run_end(job, end).await;
        });
    }

    async fn on_run_end(self: Arc<Self>, job: JobId, end: RunEnd) {
        if end == RunEnd::Finished {
            self.remove_marker(&job).await;
            self.context.services.counters.count("jobs_finished");
        }
        self.running().remove(&job);
    }

    async fn remove_marker(&self, job: &JobId) {
        let key = keys::open_marker(job);
        let known = self.store.get(CallClass::Status, &key).await;
        if let Ok(Some(object)) = known {
            // A marker that stays is found again, and the finished head ends its runner at once.
            let _ = self.store.delete(CallClass::Status, &key, object.version).await;
        }
    }

    /// Removes the marker of a job that was never accepted, after a long wait.
    async fn on_orphan_marker(&self, job: &JobId, marker: Option<Version>) {
        let Some(version) = marker else {
            return;
        };
        let now_ms = self.context.services.clock.now_ms();
        let first_seen_ms = {
            let mut orphans = self.orphans.lock().unwrap_or_else(PoisonError::into_inner);
            *orphans.entry(job.clone()).or_insert(now_ms)
        };
        if now_ms >= first_seen_ms + ORPHAN_MARKER_MS {
            let key = keys::open_marker(job);
            let _ = self.store.delete(CallClass::Status, &key, version).await;
            self.orphans.lock().unwrap_or_else(PoisonError::into_inner).remove(job);
        }
    }

    fn is_home_of(&self, job: &JobId) -> bool {
        let shard = shard_of(job.as_str());
        self.members.owner_of(&shard_key(shard)).as_ref() == Some(&self.members.own().daemon)
    }

    fn order_all(&self, order: Order) {
        for running in self.running().values() {
            let _ = running.orders.send(order);
        }
    }

    fn running(&self) -> MutexGuard<'_, BTreeMap<JobId, RunningJob>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct JobHandler(Arc<JobHome>);

#[async_trait]
impl LinkHandler for JobHandler {
    async fn call(&self, _from: &DaemonName, _request: &Request) -> Option<Reply> {
        None
    }

    fn notice(&self, _from: &DaemonName, notice: &Notice) {
        if let Notice::JobChanged { job } = notice {
            self.0.on_job_changed(job.clone());
        }
    }
}
