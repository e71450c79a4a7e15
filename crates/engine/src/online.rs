//! Dispatch of online requests: choice of the replica, streaming of the answer, and retries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bundle::ActiveBundle;
use bytes::Bytes;
use kernel::Services;
use kernel::counters::RetryReason;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::Router;
use route::router::PickError;
use route::router::PickRequest;
use store::store::new_write_id;
use tokio::sync::mpsc;
use wire::Millis;
use wire::ModelName;
use wire::Ran;
use wire::Reason;
use wire::Refusal;
use wire::ReplicaName;
use wire::RequestId;

use crate::backend::Backend;
use crate::backend::BackendError;
use crate::backend::ServiceRequest;
use crate::lanes::Lanes;
use crate::online_levels::OnlineLevels;
use crate::replica_attempt::AttemptEnd;
use crate::replica_attempt::ReplicaAttempt;
use crate::replicas::Replicas;
use crate::stream::AnswerAssembler;

/// How often the decreases and refreshes of online levels that are due are reported.
const LEVEL_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// The most replicas tried for one request.
const MAX_TRIES: usize = 4;
/// The length of the prompt prefix that prefix affinity is based on.
const AFFINITY_PREFIX_BYTES: usize = 256;

/// An online request to a model.
pub struct OnlineRequest {
    /// The bundle that applies to the request until it ends, even if another comes into force.
    pub active: Arc<ActiveBundle>,
    /// The name of the model without an adapter.
    pub model: ModelName,
    /// The model as the caller named it, with an adapter as `model:adapter`.
    pub requested_model: ModelName,
    /// The text to complete.
    pub prompt: String,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The deadline on the monotonic clock of this daemon.
    pub deadline_ms: Millis,
}

/// An online request to a plain service.
pub struct OnlineServiceCall {
    /// The bundle that applies to the call until it ends, even if another comes into force.
    pub active: Arc<ActiveBundle>,
    /// The service.
    pub service: ModelName,
    /// The name of the call.
    pub call: String,
    /// The request body.
    pub body: Bytes,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// The deadline on the monotonic clock of this daemon.
    pub deadline_ms: Millis,
}

/// Dispatches the online requests of this daemon to replicas.
pub struct OnlineDispatcher {
    pub(crate) services: Arc<Services>,
    replicas: Arc<Replicas>,
    pub(crate) backend: Arc<dyn Backend>,
    lanes: Arc<Lanes>,
    pub(crate) router: Mutex<Router>,
    levels: Mutex<OnlineLevels>,
    retries: Mutex<admit::RetryBudget>,
}

impl OnlineDispatcher {
    /// Creates the dispatcher; `spawn` starts its background reports.
    pub fn new(
        services: Arc<Services>,
        replicas: Arc<Replicas>,
        backend: Arc<dyn Backend>,
        lanes: Arc<Lanes>,
    ) -> Arc<Self> {
        let settings = &services.settings;
        let router = Router::new(
            settings.daemon.clone(),
            settings.data_centre.clone(),
            settings.online.subset,
        );
        let retries = admit::RetryBudget::new(settings.online.retry_ratio);
        Arc::new(Self {
            replicas,
            backend,
            lanes,
            router: Mutex::new(router),
            levels: Mutex::new(OnlineLevels::default()),
            retries: Mutex::new(retries),
            services,
        })
    }

    /// Starts reporting decreases and refreshes of the online levels.
    pub fn spawn(self: &Arc<Self>) {
        let online = Arc::clone(self);
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(LEVEL_REPORT_INTERVAL);
            loop {
                tokio::select! {
                    () = online.services.stopped.cancelled() => return,
                    _ = ticks.tick() => {}
                }
                let now_ms = online.services.clock.now_ms();
                let due = lock(&online.levels).take_due_reports(now_ms);
                due.into_iter().for_each(|level| online.lanes.report_online_level(level));
            }
        });
    }

    /// Runs a request and sends the text of the answer to `tokens`, one token at a time.
    ///
    /// Dropping the receiver of `tokens` cancels the run.
    pub async fn generate(
        &self,
        request: &OnlineRequest,
        tokens: &mpsc::Sender<String>,
    ) -> Result<(), Refusal> {
        lock(&self.retries).on_request();
        let mut answer = AnswerAssembler::new(new_request_id(), request.idempotent);
        let mut tried: Vec<ReplicaName> = Vec::new();
        let mut ran = Ran::No;
        loop {
            let prefix = Some(prefix_hash(&request.prompt));
            let picked =
                self.choose_replica(&request.active, &request.model, prefix, &tried, ran)?;
            let (replica, address) = picked;
            let attempt = ReplicaAttempt { online: self, request, replica: &replica, address };
            let end = attempt.run(&mut answer, tokens).await;
            tried.push(replica);
            let message = match end {
                AttemptEnd::Finished => return Ok(()),
                AttemptEnd::Refused(refusal) => return Err(with_ran(refusal, ran)),
                AttemptEnd::NotRun { reason, message } => {
                    self.services.counters.count_retry(reason);
                    message
                }
                AttemptEnd::ContinueElsewhere { message } => {
                    ran = Ran::Unknown;
                    answer.start_new_run(new_request_id());
                    message
                }
            };
            self.check_retry(request.deadline_ms, tried.len(), ran, message)?;
        }
    }

    /// Calls a plain service and returns its answer.
    pub async fn call(&self, call: &OnlineServiceCall) -> Result<Bytes, Refusal> {
        lock(&self.retries).on_request();
        let mut tried: Vec<ReplicaName> = Vec::new();
        let mut ran = Ran::No;
        let request = ServiceRequest {
            request_id: new_request_id(),
            call: call.call.clone(),
            body: call.body.clone(),
        };
        loop {
            let (replica, address) =
                self.choose_replica(&call.active, &call.service, None, &tried, ran)?;
            let now_ms = self.services.clock.now_ms();
            let timeout_ms = call.deadline_ms.saturating_sub(now_ms).max(1);
            let guard = self.track_in_flight(&replica);
            let result = self.backend.call(address, &request, timeout_ms).await;
            drop(guard);
            tried.push(replica.clone());
            let (reason, message) = match result {
                Ok(body) => {
                    let took_ms = self.services.clock.now_ms().saturating_sub(now_ms);
                    lock(&self.router).on_first_token(&replica, took_ms);
                    return Ok(body);
                }
                Err(BackendError::NotSent(message)) => (RetryReason::BackendConnect, message),
                Err(BackendError::Busy(message)) => (RetryReason::BackendBusy, message),
                Err(BackendError::Refused(message)) => {
                    let refusal = Refusal::not_run(Reason::BackendRefused, message);
                    return Err(with_ran(refusal, ran));
                }
                Err(error) => {
                    if !call.idempotent {
                        lock(&self.router).on_failure(self.services.clock.now_ms(), &replica);
                        let message = format!("the call may have run: {error}");
                        return Err(Refusal::may_have_run(Reason::BackendLost, message));
                    }
                    ran = Ran::Unknown;
                    (RetryReason::StreamResumed, error.to_string())
                }
            };
            lock(&self.router).on_failure(self.services.clock.now_ms(), &replica);
            self.services.counters.count_retry(reason);
            self.check_retry(call.deadline_ms, tried.len(), ran, message)?;
        }
    }

    /// Returns the number of online requests that this daemon has in flight at a replica.
    pub fn in_flight(&self, replica: &ReplicaName) -> u32 {
        lock(&self.router).in_flight(replica)
    }

    fn choose_replica(
        &self,
        active: &ActiveBundle,
        target: &ModelName,
        prefix: Option<u64>,
        tried: &[ReplicaName],
        ran: Ran,
    ) -> Result<(ReplicaName, SocketAddr), Refusal> {
        let candidates = self.replicas.for_online(active, target);
        let queue_percent = active.bundle.rules.online_queue_percent;
        let pick = PickRequest { candidates: &candidates, prefix, tried, queue_percent };
        let now_ms = self.services.clock.now_ms();
        let mut rng = StdRng::from_entropy();
        let chosen = lock(&self.router).pick(now_ms, &pick, &mut rng);
        let replica = chosen.map_err(|error| with_ran(refusal_for(error, target), ran))?;
        let address = self.replicas.address(&replica);
        let address =
            address.ok_or_else(|| with_ran(refusal_for(PickError::NoCandidate, target), ran))?;
        Ok((replica, address))
    }

    fn check_retry(
        &self,
        deadline_ms: Millis,
        tries: usize,
        ran: Ran,
        message: String,
    ) -> Result<(), Refusal> {
        if self.services.clock.now_ms() >= deadline_ms {
            let text = format!("the deadline passed after {tries} tries: {message}");
            return Err(with_ran(Refusal::not_run(Reason::Deadline, text), ran));
        }
        if tries >= MAX_TRIES || !lock(&self.retries).take_retry() {
            self.services.counters.count("retries_exhausted");
            let text = format!("{tries} backend servers were tried: {message}");
            let refusal = Refusal::not_run(Reason::BackendLost, text);
            return Err(with_ran(refusal.with_retry_after(EXHAUSTED_RETRY_AFTER_MS), ran));
        }
        Ok(())
    }

    pub(crate) fn track_in_flight(&self, replica: &ReplicaName) -> InFlightGuard<'_> {
        let now_ms = self.services.clock.now_ms();
        lock(&self.router).on_start(replica);
        let report = lock(&self.levels).on_start(now_ms, replica);
        if let Some(level) = report {
            self.lanes.report_online_level(level);
        }
        InFlightGuard { online: self, replica: replica.clone() }
    }
}

/// The suggested retry delay when the tries are used up or no replica is live.
const EXHAUSTED_RETRY_AFTER_MS: Millis = 1_000;

/// Counts a request as in flight at a replica until the guard is dropped.
pub(crate) struct InFlightGuard<'a> {
    online: &'a OnlineDispatcher,
    replica: ReplicaName,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let now_ms = self.online.services.clock.now_ms();
        lock(&self.online.router).on_end(&self.replica);
        lock(&self.online.levels).on_end(now_ms, &self.replica);
    }
}

fn refusal_for(error: PickError, target: &ModelName) -> Refusal {
    match error {
        PickError::NoCandidate => {
            let message = format!("no backend server for '{target}' is live");
            Refusal::not_run(Reason::NoBackend, message).with_retry_after(EXHAUSTED_RETRY_AFTER_MS)
        }
        PickError::Full { retry_after_ms } => {
            let message = format!("every backend server for '{target}' is full");
            Refusal::not_run(Reason::Overload, message).with_retry_after(retry_after_ms)
        }
    }
}

/// Marks a refusal as possibly run if an earlier try may have run the request.
fn with_ran(mut refusal: Refusal, ran: Ran) -> Refusal {
    if ran == Ran::Unknown {
        refusal.ran = Ran::Unknown;
    }
    refusal
}

fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let prefix = &bytes[..bytes.len().min(AFFINITY_PREFIX_BYTES)];
    wire::rendezvous::hash(prefix)
}

fn new_request_id() -> RequestId {
    RequestId::from(new_write_id())
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
