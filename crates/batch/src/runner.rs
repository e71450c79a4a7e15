//! The adapter round the ledger of one job: reads, writes and tries run as tasks.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use engine::Lanes;
use engine::Replicas;
use fleet::Members;
use fleet::membership::OwnerState;
use kernel::Services;
use log::info;
use log::warn;
use store::CallClass;
use store::PutEnd;
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
use wire::job::Head;
use wire::job::Manifest;

use crate::chooser::Chooser;
use crate::inputs::Inputs;
use crate::keys;
use crate::ledger::Action;
use crate::ledger::Event;
use crate::ledger::JobFacts;
use crate::ledger::Ledger;
use crate::ledger::LedgerLimits;
use crate::ledger::WriteEnd;
use crate::records;
use crate::try_task::Try;
use crate::try_task::TryTask;

/// How often the ledger looks for what time alone changes.
const TICK: Duration = Duration::from_millis(50);
/// The pause before a failed read is repeated.
const READ_RETRY: Duration = Duration::from_millis(500);
/// Reads of the head while another daemon still owns the job, before that one is deposed.
const MAX_OWNER_WAITS: u32 = 240;
/// The most items of one job in flight from one daemon.
const MAX_IN_FLIGHT: u32 = 512;

/// How a runner ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Every item has its outcome.
    Finished,
    /// Another daemon owns the job, or it was handed back.
    Released,
}

/// What the home of a job tells its runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The job was cancelled.
    Cancel,
    /// Give the job back.
    HandBack,
}

/// What all runners of a daemon share.
pub struct RunnerContext {
    /// The daemon's services.
    pub services: Arc<Services>,
    /// The object API.
    pub store: Arc<Store>,
    /// The batch lanes.
    pub lanes: Arc<Lanes>,
    /// The backend servers.
    pub replicas: Arc<Replicas>,
    /// The fleet.
    pub members: Arc<Members>,
    /// The choice of lanes.
    pub chooser: Chooser,
}

/// The runner of one job.
pub struct Runner {
    context: Arc<RunnerContext>,
    manifest: Arc<Manifest>,
    inputs: Arc<Inputs>,
    ledger: Ledger,
    write_prefix: String,
    events: mpsc::UnboundedSender<Event>,
    inbox: mpsc::UnboundedReceiver<Event>,
    running: HashMap<(u32, u32), CancellationToken>,
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
            max_attempts: settings.batch.max_attempts,
            max_in_flight: MAX_IN_FLIGHT,
        };
        let facts = JobFacts::new(manifest.items, manifest.spec.idempotent);
        let ledger = Ledger::new(context.members.own_owner(), facts, limits, manifest.cancelled);
        let (events, inbox) = mpsc::unbounded_channel();
        Self {
            inputs: Arc::new(Inputs::new(Arc::clone(&context.store), Arc::clone(&manifest))),
            write_prefix: format!("{}-{}", manifest.job, new_write_id()),
            stopped: context.services.stopped.child_token(),
            context,
            manifest,
            ledger,
            events,
            inbox,
            running: HashMap::new(),
        }
    }

    /// Works on the job until it is over or released.
    pub async fn run(mut self, mut orders: mpsc::UnboundedReceiver<Order>) -> RunEnd {
        let job = self.manifest.job.clone();
        info!("event=job_claimed daemon={} job={job}", self.context.services.settings.daemon);
        self.spawn_head_read();
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let end = loop {
            let event = tokio::select! {
                () = self.stopped.cancelled() => break RunEnd::Released,
                Some(event) = self.inbox.recv() => event,
                Some(order) = orders.recv() => match order {
                    Order::Cancel => Event::Cancel,
                    Order::HandBack => Event::HandBack,
                },
                _ = ticks.tick() => {
                    self.ledger.set_max_in_flight(self.fleet_limit());
                    Event::Tick
                }
            };
            if let Some(end) = self.step(event) {
                break end;
            }
        };
        self.stopped.cancel();
        info!(
            "event=job_left daemon={} job={job} end={end:?}",
            self.context.services.settings.daemon
        );
        end
    }

    fn step(&mut self, event: Event) -> Option<RunEnd> {
        if let Event::ItemEnded { chunk, item, .. } = &event {
            self.running.remove(&(*chunk, *item));
        }
        let now_ms = self.context.services.clock.now_ms();
        let mut end = None;
        for action in self.ledger.step(now_ms, event) {
            match action {
                Action::WriteHead { write, head, expected } => {
                    self.spawn_head_write(write, head, expected);
                }
                Action::ReadChunk { chunk } => self.spawn_chunk_read(chunk),
                Action::WriteChunk { chunk, write, record, expected } => {
                    self.spawn_chunk_write(chunk, write, record, expected);
                }
                Action::Dispatch { chunk, item, attempt, resume_only, alone } => {
                    let try_ = Try { chunk, item, attempt, resume_only, alone };
                    self.spawn_try(try_);
                }
                Action::Stop { chunk, item } => {
                    if let Some(stop) = self.running.get(&(chunk, item)) {
                        stop.cancel();
                    }
                }
                Action::CloseChunk { chunk } => self.inputs.drop_before(
                    chunk.saturating_sub(self.context.services.settings.batch.open_chunks),
                ),
                Action::Finished => end = Some(RunEnd::Finished),
                Action::Deposed => {
                    self.context.services.counters.count("jobs_deposed");
                    end = Some(RunEnd::Released);
                }
                Action::HandedBack => {
                    self.context.services.counters.count("jobs_handed_back");
                    end = Some(RunEnd::Released);
                }
            }
        }
        end
    }

    /// Returns the items that the model's lanes can hold together.
    fn fleet_limit(&self) -> u32 {
        let Some(active) = self.context.replicas.holder().active() else {
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
            let mut waits = 0;
            let mut seen = OwnerSeen::default();
            loop {
                match read_head(&context.store, &job).await {
                    Ok(read) => {
                        let seen_at_ms = seen.at_ms(&read.head, context.services.clock.now_ms());
                        // A live owner hands the job back by itself; only a stuck one is deposed.
                        if waits >= MAX_OWNER_WAITS || read.is_free(&context.members, seen_at_ms) {
                            return read.into_event();
                        }
                        waits += 1;
                    }
                    Err(error) => warn!("event=head_not_read job={job} error=\"{error}\""),
                }
                tokio::time::sleep(READ_RETRY).await;
            }
        });
    }

    fn spawn_head_write(&self, write: u64, head: Head, expected: Version) {
        let store = Arc::clone(&self.context.store);
        let key = keys::head(&self.manifest.job);
        let write_id = self.write_id(write);
        self.spawn(async move {
            let value = serde_json::to_vec(&head).unwrap_or_default().into();
            let put = store.put(CallClass::Claim, &key, value, expected, &write_id).await;
            Event::HeadWritten { write, end: write_end(put, &key) }
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
                tokio::time::sleep(READ_RETRY).await;
            }
        });
    }

    fn spawn_chunk_write(&self, chunk: u32, write: u64, record: ChunkRecord, expected: Version) {
        let store = Arc::clone(&self.context.store);
        let job = self.manifest.job.clone();
        let write_id = self.write_id(write);
        self.context.services.counters.count("ledger_chunk_writes");
        self.spawn(async move {
            let put = records::write(&store, &job, chunk, &record, expected, &write_id).await;
            let end = write_end(put, &keys::chunk(&job, chunk));
            Event::ChunkWritten { chunk, write, end }
        });
    }

    fn spawn_try(&mut self, try_: Try) {
        let stop = self.stopped.child_token();
        self.running.insert((try_.chunk, try_.item), stop.clone());
        let task = TryTask {
            context: Arc::clone(&self.context),
            manifest: Arc::clone(&self.manifest),
            inputs: Arc::clone(&self.inputs),
            epoch: self.ledger.head().epoch,
            try_,
            stop,
        };
        self.spawn(async move {
            let end = task.run().await;
            let Try { chunk, item, attempt, .. } = task.try_;
            Event::ItemEnded { chunk, item, attempt, end }
        });
    }

    /// Runs a task whose event goes to the ledger, until the runner ends.
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

/// The owner that a job's head names, and when it was first read there.
#[derive(Debug, Default)]
struct OwnerSeen {
    owner: Option<DaemonName>,
    at_ms: Millis,
}

impl OwnerSeen {
    /// Takes a head that was read by `now_ms` and returns when its owner was first read.
    fn at_ms(&mut self, head: &Head, now_ms: Millis) -> Millis {
        if self.owner != head.owner {
            *self = Self { owner: head.owner.clone(), at_ms: now_ms };
        }
        self.at_ms
    }
}

/// The durable state of a job when its runner starts.
struct HeadRead {
    head: Head,
    version: Version,
    existing: BTreeSet<u32>,
}

impl HeadRead {
    /// Returns whether no daemon that may still run owns the job.
    fn is_free(&self, members: &Members, owner_seen_at_ms: Millis) -> bool {
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
        Event::HeadRead { head: self.head, version: self.version, existing: self.existing }
    }
}

async fn read_head(store: &Store, job: &JobId) -> Result<HeadRead, StoreError> {
    let stored = store.get_json::<Head>(CallClass::Claim, &keys::head(job)).await?;
    let (head, version) =
        stored.map_or((Head::default(), Version::ABSENT), |s| (s.value, s.version));
    let existing = if head.epoch == 0 {
        BTreeSet::new()
    } else {
        let prefix = keys::chunks(job);
        let listed = store.list(CallClass::Claim, &prefix).await?;
        listed.iter().filter_map(|line| line.key.strip_prefix(&prefix)?.parse().ok()).collect()
    };
    Ok(HeadRead { head, version, existing })
}

fn write_end(put: Result<PutEnd, StoreError>, key: &str) -> WriteEnd {
    match put {
        Ok(PutEnd::Applied(version)) => WriteEnd::Applied(version),
        Ok(PutEnd::Conflict) => WriteEnd::Conflict,
        Err(error) => {
            warn!("event=ledger_write_unanswered key={key} error=\"{error}\"");
            WriteEnd::NoAnswer
        }
    }
}
