//! Runs the ledger of one job: performs its reads, writes and attempts as tasks, and passes their
//! results back to it as events.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use engine::Lanes;
use engine::Replicas;
use fleet::MembershipService;
use fleet::membership::OwnerState;
use kernel::Services;
use log::info;
use log::warn;
use store::CallClass;
use store::PutOutcome;
use store::Store;
use store::StoreError;
use store::store::new_write_id;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::DaemonName;
use wire::JobId;
use wire::Millis;
use wire::Version;
use wire::job::ChunkRecord;
use wire::job::LedgerHead;
use wire::job::Manifest;

use crate::attempt::Attempt;
use crate::attempt::AttemptTask;
use crate::keys;
use crate::lane_selector::LaneSelector;
use crate::ledger::Action;
use crate::ledger::Event;
use crate::ledger::JobParams;
use crate::ledger::Ledger;
use crate::ledger::LedgerLimits;
use crate::ledger::WriteResult;
use crate::lot_cache::LotCache;
use crate::records;
use crate::stop_grace::StopGrace;

/// Interval of the ledger's timer events.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a failed read is retried and before the owner of a job is checked again.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of head reads after which this daemon deposes an owner that is not known to be lost, by
/// claiming its job.
const MAX_OWNER_CHECKS: u32 = 240;
/// Limit on items of one job in flight.
const MAX_IN_FLIGHT: u32 = 512;

/// Result of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerExit {
    /// Every item has a recorded outcome.
    Finished,
    /// The runner gave up the job before its end: another daemon has taken it over, it was handed
    /// back, this daemon has stopped, or the object API did not answer while it was stopping.
    Released,
}

/// Command of the supervisor to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerCommand {
    /// Cancel the job.
    Cancel,
    /// Hand the job back.
    HandBack,
}

/// Dependencies that all runners of a daemon share.
pub struct RunnerContext {
    /// Services of the daemon.
    pub services: Arc<Services>,
    /// Access to the object API.
    pub store: Arc<Store>,
    /// Lanes that run batch items.
    pub lanes: Arc<Lanes>,
    /// Replicas of the bundle in force.
    pub replicas: Arc<Replicas>,
    /// The membership of the fleet.
    pub members: Arc<MembershipService>,
    /// Selects a lane for each attempt.
    pub lane_selector: LaneSelector,
}

/// The runner of one job.
pub struct Runner {
    context: Arc<RunnerContext>,
    manifest: Arc<Manifest>,
    lots: Arc<LotCache>,
    ledger: Ledger,
    write_prefix: String,
    events: mpsc::UnboundedSender<Event>,
    inbox: mpsc::UnboundedReceiver<Event>,
    attempts: HashMap<(u32, u32), CancellationToken>,
    stop_grace: StopGrace,
    stopped: CancellationToken,
}

impl Runner {
    /// Creates the runner of a job.
    pub fn new(context: Arc<RunnerContext>, manifest: Manifest) -> Self {
        let manifest = Arc::new(manifest);
        let settings = &context.services.settings;
        let limits = LedgerLimits {
            open_chunks: settings.batch.open_chunks,
            mark_group: settings.batch.mark_group,
            group_commit_ms: settings.batch.group_commit_ms,
            record_within_ms: settings.batch.record_within_ms,
            max_backend_losses: settings.batch.max_attempts,
            max_in_flight: MAX_IN_FLIGHT,
        };
        let params = JobParams::new(manifest.items, manifest.spec.idempotent);
        let ledger =
            Ledger::new(context.members.own_owner_name(), params, limits, manifest.cancelled);
        let stop_grace = StopGrace::new(settings.batch.stop_grace_ms);
        let (events, inbox) = mpsc::unbounded_channel();
        Self {
            lots: Arc::new(LotCache::new(Arc::clone(&context.store), Arc::clone(&manifest))),
            write_prefix: format!("{}-{}", manifest.job, new_write_id()),
            stopped: context.services.stopped.child_token(),
            context,
            manifest,
            ledger,
            events,
            inbox,
            attempts: HashMap::new(),
            stop_grace,
        }
    }

    /// Runs the job until it has ended or is released.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<RunnerCommand>) -> RunnerExit {
        let job = self.manifest.job.clone();
        info!("event=job_run_started daemon={} job={job}", self.context.services.settings.daemon);
        self.spawn_head_read();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let end = loop {
            let event = tokio::select! {
                () = self.stopped.cancelled() => break RunnerExit::Released,
                Some(event) = self.inbox.recv() => event,
                Some(command) = commands.recv() => match command {
                    RunnerCommand::Cancel => Event::Cancel,
                    RunnerCommand::HandBack => Event::HandBack,
                },
                _ = ticks.tick() => {
                    self.ledger.set_max_in_flight(self.lane_capacity());
                    Event::Tick
                }
            };
            if let Some(end) = self.step(event) {
                break end;
            }
        };
        self.stopped.cancel();
        info!(
            "event=job_run_ended daemon={} job={job} end={end:?}",
            self.context.services.settings.daemon
        );
        end
    }

    fn step(&mut self, event: Event) -> Option<RunnerExit> {
        if let Event::ItemEnded { chunk, item, .. } = &event {
            self.attempts.remove(&(*chunk, *item));
        }
        let now_ms = self.context.services.clock.now_ms();
        let has_progress = is_progress(&event);
        let mut end = None;
        for action in self.ledger.step(now_ms, event) {
            match action {
                Action::WriteHead { write_number, head, expected } => {
                    self.spawn_head_write(write_number, head, expected);
                }
                Action::ReadChunk { chunk } => self.spawn_chunk_read(chunk),
                Action::WriteChunk { chunk, write_number, record, expected } => {
                    self.spawn_chunk_write(chunk, write_number, record, expected);
                }
                Action::Dispatch { chunk, item, attempt, resume_only, alone } => {
                    let attempt = Attempt { chunk, item, number: attempt, resume_only, alone };
                    self.spawn_attempt(attempt);
                }
                Action::Stop { chunk, item } => {
                    if let Some(stop) = self.attempts.get(&(chunk, item)) {
                        stop.cancel();
                    }
                }
                Action::CloseChunk { chunk } => self.lots.evict_before(
                    chunk.saturating_sub(self.context.services.settings.batch.open_chunks),
                ),
                Action::Finished => end = Some(RunnerExit::Finished),
                Action::Deposed => {
                    self.context.services.counters.count("jobs_deposed");
                    end = Some(RunnerExit::Released);
                }
                Action::HandedBack => {
                    self.context.services.counters.count("jobs_handed_back");
                    end = Some(RunnerExit::Released);
                }
            }
        }
        let is_waiting = self.context.services.leaving.is_cancelled() && self.attempts.is_empty();
        if self.stop_grace.is_over(now_ms, is_waiting, has_progress) && end.is_none() {
            let job = &self.manifest.job;
            warn!("event=job_not_handed_back job={job} error=\"the object API does not answer\"");
            self.context.services.counters.count("jobs_not_handed_back");
            end = Some(RunnerExit::Released);
        }
        end
    }

    /// Returns the number of items that all lanes of the model can hold together, up to
    /// `MAX_IN_FLIGHT`.
    fn lane_capacity(&self) -> u32 {
        let Some(active) = self.context.replicas.bundle_manager().active() else {
            return 0;
        };
        let model = &self.manifest.spec.model;
        let slots = active.bundle.slots_of(model);
        let replicas = self.context.replicas.for_batch(&active, model).len() as u32;
        (replicas * (slots + slots / 2)).min(MAX_IN_FLIGHT)
    }

    fn spawn_head_read(&self) {
        let context = Arc::clone(&self.context);
        let job = self.manifest.job.clone();
        self.spawn(async move {
            let mut owner_checks = 0;
            let mut sighting = OwnerSighting::default();
            loop {
                match read_durable_state(&context.store, &job).await {
                    Ok(state) => {
                        let seen_at_ms =
                            sighting.observe(&state.head, context.services.clock.now_ms());
                        // A live owner hands the job back by itself; only an owner that is stuck is
                        // deposed.
                        if owner_checks >= MAX_OWNER_CHECKS
                            || state.is_claimable(&context.members, seen_at_ms)
                        {
                            return state.into_event();
                        }
                        owner_checks += 1;
                    }
                    Err(error) => warn!("event=head_not_read job={job} error=\"{error}\""),
                }
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        });
    }

    fn spawn_head_write(&self, write_number: u64, head: LedgerHead, expected: Version) {
        let store = Arc::clone(&self.context.store);
        let key = keys::head(&self.manifest.job);
        let write_id = self.write_id(write_number);
        self.spawn(async move {
            let value = serde_json::to_vec(&head).unwrap_or_default().into();
            let put = store.put(CallClass::Claim, &key, value, expected, &write_id).await;
            Event::HeadWritten { write_number, result: write_result(put, &key) }
        });
    }

    fn spawn_chunk_read(&self, chunk: u32) {
        let store = Arc::clone(&self.context.store);
        let job = self.manifest.job.clone();
        self.spawn(async move {
            loop {
                match records::read(&store, CallClass::Ledger, &job, chunk).await {
                    Ok((record, version)) => return Event::ChunkRead { chunk, record, version },
                    Err(error) => {
                        warn!("event=chunk_not_read job={job} chunk={chunk} error=\"{error}\"");
                    }
                }
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        });
    }

    fn spawn_chunk_write(
        &self,
        chunk: u32,
        write_number: u64,
        record: ChunkRecord,
        expected: Version,
    ) {
        let store = Arc::clone(&self.context.store);
        let job = self.manifest.job.clone();
        let write_id = self.write_id(write_number);
        self.context.services.counters.count("ledger_chunk_writes");
        self.spawn(async move {
            let put = records::write(&store, &job, chunk, &record, expected, &write_id).await;
            let result = write_result(put, &keys::chunk(&job, chunk));
            Event::ChunkWritten { chunk, write_number, result }
        });
    }

    fn spawn_attempt(&mut self, attempt: Attempt) {
        let stop = self.stopped.child_token();
        self.attempts.insert((attempt.chunk, attempt.item), stop.clone());
        let task = AttemptTask {
            context: Arc::clone(&self.context),
            manifest: Arc::clone(&self.manifest),
            lots: Arc::clone(&self.lots),
            epoch: self.ledger.head().epoch,
            attempt,
            stop,
        };
        self.spawn(async move {
            let end = task.run().await;
            let Attempt { chunk, item, number: attempt, .. } = task.attempt;
            Event::ItemEnded { chunk, item, attempt, end }
        });
    }

    /// Spawns a task whose event is passed to the ledger; the task is cancelled when the runner
    /// ends.
    fn spawn<F>(&self, work: F)
    where
        F: Future<Output = Event> + Send + 'static,
    {
        let events = self.events.clone();
        let stopped = self.stopped.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                event = work => {
                    let _ = events.send(event);
                }
            }
        });
    }

    fn write_id(&self, write: u64) -> String {
        format!("{}-{write}", self.write_prefix)
    }
}

/// Returns whether an event shows that an item has ended or that the object API has answered.
fn is_progress(event: &Event) -> bool {
    match event {
        Event::HeadRead { .. } | Event::ChunkRead { .. } | Event::ItemEnded { .. } => true,
        Event::HeadWritten { result, .. } | Event::ChunkWritten { result, .. } => {
            *result != WriteResult::NoAnswer
        }
        Event::Cancel | Event::HandBack | Event::Tick => false,
    }
}

/// The owner that a job's head names, and when it was first seen there.
#[derive(Debug, Default)]
struct OwnerSighting {
    owner: Option<DaemonName>,
    first_seen_at_ms: Millis,
}

impl OwnerSighting {
    /// Records the owner of a head that was read by `now_ms`; returns when it was first seen.
    fn observe(&mut self, head: &LedgerHead, now_ms: Millis) -> Millis {
        if self.owner != head.owner {
            *self = Self { owner: head.owner.clone(), first_seen_at_ms: now_ms };
        }
        self.first_seen_at_ms
    }
}

/// Durable state of a job, as read before it is claimed.
struct DurableState {
    head: LedgerHead,
    version: Version,
    recorded_chunks: BTreeSet<u32>,
}

impl DurableState {
    /// Returns whether the job has ended, has no owner, or has an owner that is lost.
    fn is_claimable(&self, members: &MembershipService, owner_seen_at_ms: Millis) -> bool {
        let Some(owner) = self.head.owner.as_ref().filter(|_| !self.head.finished) else {
            return true;
        };
        let state = members.owner_state(owner.as_str(), owner_seen_at_ms);
        if state == OwnerState::Lost {
            info!("event=job_owner_lost daemon={} owner={owner}", members.own().daemon);
        }
        state == OwnerState::Lost
    }

    fn into_event(self) -> Event {
        Event::HeadRead {
            head: self.head,
            version: self.version,
            recorded_chunks: self.recorded_chunks,
        }
    }
}

async fn read_durable_state(store: &Store, job: &JobId) -> Result<DurableState, StoreError> {
    let stored = store.get_json::<LedgerHead>(CallClass::Claim, &keys::head(job)).await?;
    let (head, version) =
        stored.map_or((LedgerHead::default(), Version::ABSENT), |s| (s.value, s.version));
    let recorded_chunks = if head.epoch == 0 {
        BTreeSet::new()
    } else {
        let prefix = keys::chunk_prefix(job);
        let listed = store.list(CallClass::Claim, &prefix).await?;
        listed.iter().filter_map(|entry| entry.key.strip_prefix(&prefix)?.parse().ok()).collect()
    };
    Ok(DurableState { head, version, recorded_chunks })
}

fn write_result(put: Result<PutOutcome, StoreError>, key: &str) -> WriteResult {
    match put {
        Ok(PutOutcome::Applied(version)) => WriteResult::Applied(version),
        Ok(PutOutcome::Conflict) => WriteResult::Conflict,
        Err(error) => {
            warn!("event=ledger_write_unanswered key={key} error=\"{error}\"");
            WriteResult::NoAnswer
        }
    }
}
