//! Online requests: choice of the replica, the stream, and retries where they are allowed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bundle::Active;
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
use crate::levels::Levels;
use crate::online_part::Part;
use crate::online_part::PartEnd;
use crate::replicas::Replicas;
use crate::stream::Assembly;

/// How often falling levels are looked for.
const LEVEL_TICK: Duration = Duration::from_millis(50);
/// Replicas tried for one request.
const MAX_TRIES: usize = 4;
/// The part of a prompt that decides over prefix affinity, in bytes.
const PREFIX_BYTES: usize = 256;

/// An online request to a model.
pub struct OnlineRequest {
    /// The bundle under which the request is decided from start to end.
    pub active: Arc<Active>,
    /// The model's name without an adapter.
    pub model: ModelName,
    /// The model as the caller named it.
    pub target: ModelName,
    /// The text to complete.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The deadline on the daemon's clock.
    pub deadline_ms: Millis,
}

/// An online request to a plain service.
pub struct OnlineCall {
    /// The bundle under which the call is decided.
    pub active: Arc<Active>,
    /// The service.
    pub service: ModelName,
    /// The call's name.
    pub call: String,
    /// The body.
    pub body: Bytes,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// The deadline on the daemon's clock.
    pub deadline_ms: Millis,
}

/// The online side of one daemon.
pub struct Online {
    pub(crate) services: Arc<Services>,
    replicas: Arc<Replicas>,
    pub(crate) backend: Arc<dyn Backend>,
    lanes: Arc<Lanes>,
    pub(crate) router: Mutex<Router>,
    levels: Mutex<Levels>,
    retries: Mutex<admit::RetryBudget>,
}

impl Online {
    /// Creates the online side; `spawn` starts its reports.
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
            levels: Mutex::new(Levels::default()),
            retries: Mutex::new(retries),
            services,
        })
    }

    /// Starts reporting falls of the online load.
    pub fn spawn(self: &Arc<Self>) {
        let online = Arc::clone(self);
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(LEVEL_TICK);
            loop {
                tokio::select! {
                    () = online.services.stopped.cancelled() => return,
                    _ = ticks.tick() => {}
                }
                let now_ms = online.services.clock.now_ms();
                let due = lock(&online.levels).due(now_ms);
                due.into_iter().for_each(|level| online.lanes.report(level));
            }
        });
    }

    /// Runs a request and sends the answer's text token by token into `tokens`.
    ///
    /// Dropping the receiver of `tokens` cancels the run.
    pub async fn generate(
        &self,
        request: &OnlineRequest,
        tokens: &mpsc::Sender<String>,
    ) -> Result<(), Refusal> {
        lock(&self.retries).on_request();
        let mut assembly = Assembly::new(new_request_id(), request.idempotent);
        let mut tried: Vec<ReplicaName> = Vec::new();
        let mut ran = Ran::No;
        loop {
            let prefix = Some(prefix_hash(&request.prompt));
            let picked = self.pick(&request.active, &request.model, prefix, &tried, ran)?;
            let (replica, address) = picked;
            let part = Part { online: self, request, replica: &replica, address };
            let end = part.run(&mut assembly, tokens).await;
            tried.push(replica);
            let message = match end {
                PartEnd::Finished => return Ok(()),
                PartEnd::Refused(refusal) => return Err(worst(refusal, ran)),
                PartEnd::NotRun { reason, message } => {
                    self.services.counters.retried(reason);
                    message
                }
                PartEnd::Continue { message } => {
                    ran = Ran::Unknown;
                    assembly.on_new_run(new_request_id());
                    message
                }
            };
            self.allow_retry(request.deadline_ms, tried.len(), ran, message)?;
        }
    }

    /// Makes a call to a plain service.
    pub async fn call(&self, call: &OnlineCall) -> Result<Bytes, Refusal> {
        lock(&self.retries).on_request();
        let mut tried: Vec<ReplicaName> = Vec::new();
        let mut ran = Ran::No;
        let request = ServiceRequest {
            request_id: new_request_id(),
            call: call.call.clone(),
            body: call.body.clone(),
        };
        loop {
            let (replica, address) = self.pick(&call.active, &call.service, None, &tried, ran)?;
            let now_ms = self.services.clock.now_ms();
            let wait_ms = call.deadline_ms.saturating_sub(now_ms).max(1);
            let guard = self.begin(&replica);
            let result = self.backend.call(address, &request, wait_ms).await;
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
                    return Err(worst(refusal, ran));
                }
                Err(error) => {
                    lock(&self.router).on_failure(now_ms, &replica);
                    if !call.idempotent {
                        let message = format!("the call may have run: {error}");
                        return Err(Refusal::unknown(Reason::BackendLost, message));
                    }
                    ran = Ran::Unknown;
                    (RetryReason::StreamResumed, error.to_string())
                }
            };
            lock(&self.router).on_failure(self.services.clock.now_ms(), &replica);
            self.services.counters.retried(reason);
            self.allow_retry(call.deadline_ms, tried.len(), ran, message)?;
        }
    }

    /// Returns this daemon's online requests in flight at a replica.
    pub fn in_flight(&self, replica: &ReplicaName) -> u32 {
        lock(&self.router).in_flight(replica)
    }

    fn pick(
        &self,
        active: &Active,
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
        let picked = lock(&self.router).pick(now_ms, &pick, &mut rng);
        let replica = picked.map_err(|error| worst(pick_refusal(error, target), ran))?;
        let address = self.replicas.address(&replica);
        let address = address.ok_or_else(|| worst(pick_refusal(PickError::None, target), ran))?;
        Ok((replica, address))
    }

    fn allow_retry(
        &self,
        deadline_ms: Millis,
        tries: usize,
        ran: Ran,
        message: String,
    ) -> Result<(), Refusal> {
        if self.services.clock.now_ms() >= deadline_ms {
            let text = format!("the deadline passed after {tries} tries: {message}");
            return Err(worst(Refusal::not_run(Reason::Deadline, text), ran));
        }
        if tries >= MAX_TRIES || !lock(&self.retries).take_retry() {
            self.services.counters.count("retries_exhausted");
            let text = format!("{tries} backend servers were tried: {message}");
            let refusal = Refusal::not_run(Reason::BackendLost, text);
            return Err(worst(refusal.retry_after(EXHAUSTED_RETRY_AFTER_MS), ran));
        }
        Ok(())
    }

    pub(crate) fn begin(&self, replica: &ReplicaName) -> InFlight<'_> {
        let now_ms = self.services.clock.now_ms();
        lock(&self.router).on_start(replica);
        let report = lock(&self.levels).on_start(now_ms, replica);
        if let Some(level) = report {
            self.lanes.report(level);
        }
        InFlight { online: self, replica: replica.clone() }
    }
}

/// The wait suggested after the tries are used up.
const EXHAUSTED_RETRY_AFTER_MS: Millis = 1_000;

/// Counts a request at a replica until it is dropped.
pub(crate) struct InFlight<'a> {
    online: &'a Online,
    replica: ReplicaName,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now_ms = self.online.services.clock.now_ms();
        lock(&self.online.router).on_end(&self.replica);
        lock(&self.online.levels).on_end(now_ms, &self.replica);
    }
}

fn pick_refusal(error: PickError, target: &ModelName) -> Refusal {
    match error {
        PickError::None => {
            let message = format!("no backend server for '{target}' is live");
            Refusal::not_run(Reason::NoBackend, message).retry_after(EXHAUSTED_RETRY_AFTER_MS)
        }
        PickError::Full { retry_after_ms } => {
            let message = format!("every backend server for '{target}' is full");
            Refusal::not_run(Reason::Overload, message).retry_after(retry_after_ms)
        }
    }
}

/// A refusal after a try that may have run says so.
fn worst(mut refusal: Refusal, ran: Ran) -> Refusal {
    if ran == Ran::Unknown {
        refusal.ran = Ran::Unknown;
    }
    refusal
}

fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    wire::rendezvous::hash(prefix)
}

fn new_request_id() -> RequestId {
    RequestId::from(new_write_id())
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
