//! The client of an object store that stores objects by kind and name.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use budget::Budget;
use budget::Kind;
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use http::StatusCode;
use kernel::Counters;
use kernel::counters::RetryReason;
use log::debug;
use log::info;
use log::warn;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use upstream::ConnectionPool;
use upstream::RequestWriter;
use wire::Millis;

use crate::budget::CallBudget;
use crate::budget::CallClass;
use crate::call::Call;
use crate::call::EncodedCall;
use crate::call::ObjectCodec;
use crate::call::Reply;
use crate::logged_versions::LoggedVersions;
use crate::logged_versions::excerpt;
use crate::object::StoreError;

/// The maximum wait for an answer; a store that is a hundred times slower than usual still answers
/// in less time.
const CALL_TIMEOUT_MS: Millis = 1_500;
/// The minimum time-out of a call; a short load peak must not be mistaken for a lost answer.
const MIN_TIMEOUT_MS: Millis = 300;
/// The time-out of a call as a multiple of the average latency.
const TIMEOUT_LATENCY_FACTOR: f64 = 8.0;
/// The weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;
/// The interval at which an unreachable store is probed.
const PROBE_INTERVAL_MS: Millis = 400;
/// The maximum wait for the answer to a probe.
const PROBE_TIMEOUT_MS: Millis = 400;
/// The pause before the first retry of a call; it doubles up to `MAX_BACKOFF_MS`.
const FIRST_BACKOFF_MS: Millis = 40;
/// The maximum pause before a retry.
const MAX_BACKOFF_MS: Millis = 400;
/// The maximum size of an answer, in bytes: a page of objects and one oversized object.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// The maximum time for which an idle connection to the store is kept.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
/// The maximum time to connect to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long calls must be unanswered before the store counts as unreachable.
const UNREACHABLE_AFTER_MS: Millis = 500;

/// Forwards calls to the store through a peer, for a daemon that cannot reach the store itself.
pub trait Relay {
    /// Sends an encoded call through a peer and returns the status and body of the answer.
    ///
    /// Returns `None` if the call had no effect, and `Some(None)` if it may have had one.
    fn relay<'a>(
        &'a self,
        call: &'a EncodedCall,
        limit: Duration,
    ) -> LocalBoxFuture<'a, Option<Option<(StatusCode, Bytes)>>>;
}

/// Whether this daemon can reach the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The store answered the latest calls.
    Reachable,
    /// No call has been answered for `UNREACHABLE_AFTER_MS`.
    Unreachable,
}

/// A client of the store with rate limits, retries and probes.
pub struct ObjectClient {
    codec: Rc<dyn ObjectCodec>,
    address: Cell<SocketAddr>,
    pool: ConnectionPool,
    counters: Counters,
    started: Instant,
    writes: RefCell<CallBudget>,
    reads: RefCell<CallBudget>,
    last_answered: Cell<Instant>,
    last_fresh_answer: Cell<Option<Instant>>,
    latency_ms: Cell<f64>,
    timeout_ms: Cell<Millis>,
    reachability: Cell<Reachability>,
    reachable_again: Notify,
    relay: RefCell<Option<Rc<dyn Relay>>>,
    logged: RefCell<LoggedVersions>,
}

impl ObjectClient {
    /// Creates a client; it connects at the first call.
    pub fn new(
        codec: Rc<dyn ObjectCodec>,
        address: SocketAddr,
        writes_per_s: f64,
        reads_per_s: f64,
        counters: Counters,
    ) -> Self {
        Self {
            codec,
            address: Cell::new(address),
            pool: ConnectionPool::new(MAX_IDLE_TIME, CONNECT_TIMEOUT),
            counters,
            started: Instant::now(),
            writes: RefCell::new(CallBudget::new(writes_per_s, 0)),
            reads: RefCell::new(CallBudget::new(reads_per_s, 0)),
            last_answered: Cell::new(Instant::now()),
            last_fresh_answer: Cell::new(None),
            latency_ms: Cell::new(0.0),
            timeout_ms: Cell::new(CALL_TIMEOUT_MS),
            reachability: Cell::new(Reachability::Reachable),
            reachable_again: Notify::new(),
            relay: RefCell::new(None),
            logged: RefCell::default(),
        }
    }

    /// Returns the client such that its answers count towards `budget`.
    pub fn with_budget(self, budget: Arc<Budget>) -> Self {
        let kind = Kind::StoreAnswers;
        let pool = ConnectionPool::with_budget(MAX_IDLE_TIME, CONNECT_TIMEOUT, budget, kind);
        Self { pool, ..self }
    }

    /// Sets the relay that carries calls which this daemon cannot complete itself.
    pub fn set_relay(&self, relay: Rc<dyn Relay>) {
        *self.relay.borrow_mut() = Some(relay);
    }

    /// Sets the store's address and the fleet's call rates.
    pub fn reconfigure(&self, address: SocketAddr, writes_per_s: f64, reads_per_s: f64) {
        self.address.set(address);
        self.writes.borrow_mut().set_fleet_rate(writes_per_s);
        self.reads.borrow_mut().set_fleet_rate(reads_per_s);
    }

    /// Returns whether this daemon can reach the store without a relay.
    pub fn reachability(&self) -> Reachability {
        self.reachability.get()
    }

    /// Returns how long ago the store last answered a call of this daemon, stale reads left out: their
    /// answers do not show that it accepts writes. `None` before the first answer.
    pub fn last_fresh_answer_age(&self) -> Option<Duration> {
        self.last_fresh_answer.get().map(|answered_at| answered_at.elapsed())
    }

    /// Sets the number of daemons that share the call rates.
    pub fn set_live_daemons(&self, live_daemons: usize) {
        self.writes.borrow_mut().set_live_daemons(live_daemons);
        self.reads.borrow_mut().set_live_daemons(live_daemons);
    }

    /// Makes a call without retries. After `Unknown` a write may still take effect.
    pub async fn call_once(&self, class: CallClass, call: &Call) -> Result<Reply, StoreError> {
        if self.reachability.get() == Reachability::Unreachable {
            return Err(StoreError::Unavailable("the store does not answer".to_owned()));
        }
        self.wait_for_budget(class, call).await?;
        let Call::Changes { wait_ms, .. } = call else {
            return self.attempt(call, self.timeout_ms.get()).await;
        };
        // A call that the store received during an outage may never be answered.
        tokio::select! {
            biased;
            result = self.attempt(call, wait_ms + self.timeout_ms.get()) => result,
            () = self.reachable_again.notified() => {
                Err(StoreError::Unknown("the store was unreachable meanwhile".to_owned()))
            }
        }
    }

    /// Makes a call and retries it until its result is definite or `time_limit` has passed.
    ///
    /// Writes must be conditional or idempotent, since a write without an answer is sent again.
    /// While the store is unreachable, calls go through a peer or wait until it is reachable.
    pub async fn call_with_retries(
        &self,
        class: CallClass,
        call: &Call,
        time_limit: Duration,
    ) -> Result<Reply, StoreError> {
        let deadline = Instant::now() + time_limit;
        let mut backoff_ms = FIRST_BACKOFF_MS;
        let mut is_unknown = false;
        loop {
            let error = match self.call_once(class, call).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            let is_final = matches!(
                error,
                StoreError::Conflict | StoreError::TooLarge { .. } | StoreError::Malformed { .. }
            );
            if is_final {
                return Err(error);
            }
            is_unknown |= matches!(error, StoreError::Unknown(_));
            match self.call_via_peer(call, deadline).await {
                RelayResult::Answered(reply) => return Ok(reply),
                RelayResult::Unknown => is_unknown = true,
                RelayResult::NotSent => {}
            }
            let pause = Duration::from_millis(backoff_ms);
            if Instant::now() + pause >= deadline {
                return Err(match (is_unknown, error) {
                    (true, error @ StoreError::Unknown(_)) => error,
                    (true, error) => StoreError::Unknown(error.to_string()),
                    (false, error) => error,
                });
            }
            self.counters.count_retry(match error {
                StoreError::RateLimited => RetryReason::StoreRate,
                _ => RetryReason::StoreCall,
            });
            match self.reachability.get() {
                Reachability::Reachable => sleep(pause).await,
                Reachability::Unreachable => self.wait_until_reachable(pause).await,
            }
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Probes the store while it is unreachable, until the task is dropped.
    ///
    /// A probe is a stale read of a kind with few objects, which costs a tenth of a call.
    pub async fn watch_reachability(&self, probe_kind: &'static str) {
        let probe = Call::Page { kind: probe_kind, after: String::new(), may_be_stale: true };
        loop {
            sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
            if self.reachability.get() == Reachability::Unreachable
                && let Err(error) = self.attempt(&probe, PROBE_TIMEOUT_MS).await
            {
                debug!("event=store_probe_failed error=\"{error}\"");
            }
        }
    }

    async fn attempt(&self, call: &Call, limit_ms: Millis) -> Result<Reply, StoreError> {
        let started_at = Instant::now();
        let encoded = self.codec.encode(call);
        let name = format!("{}_{}", call.verb(), call.kind());
        self.counters.count_tagged("store_calls", "call", &name);
        let result = match self.exchange(&encoded, Duration::from_millis(limit_ms)).await {
            Ok((status, body)) => self.decode(call, status, &body),
            Err(error) => Err(error),
        };
        self.update_reachability(call, started_at, &result);
        result
    }

    /// Decodes an answer and logs its malformed entries, each version once.
    fn decode(&self, call: &Call, status: StatusCode, body: &Bytes) -> Result<Reply, StoreError> {
        let reply = self.codec.decode(call, status, body)?;
        for entry in reply.malformed() {
            if self.logged.borrow_mut().add(entry.digest) {
                warn!(
                    "event=stored_object_malformed kind={} digest={:016x} error=\"{}\"",
                    call.kind(),
                    entry.digest,
                    excerpt(&entry.message)
                );
            }
        }
        Ok(reply)
    }

    /// Waits until the store is reachable again, or until `pause` has passed.
    async fn wait_until_reachable(&self, pause: Duration) {
        let reachable_again = self.reachable_again.notified();
        if self.reachability.get() == Reachability::Unreachable {
            // After a time-out the caller checks its own limit.
            let _ = timeout(pause, reachable_again).await;
        }
    }

    /// Makes a call for a peer that cannot reach the store.
    pub async fn call_for_peer(
        &self,
        call: &EncodedCall,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        if self.reachability.get() == Reachability::Unreachable {
            return Err(StoreError::Unavailable("the store does not answer here".to_owned()));
        }
        self.exchange(call, limit).await
    }

    async fn call_via_peer(&self, call: &Call, deadline: Instant) -> RelayResult {
        let relay = self.relay.borrow().clone();
        let (Some(relay), false) = (relay, matches!(call, Call::Changes { .. })) else {
            return RelayResult::NotSent;
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = left.min(Duration::from_millis(CALL_TIMEOUT_MS));
        let encoded = self.codec.encode(call);
        let Some(answer) = relay.relay(&encoded, limit).await else { return RelayResult::NotSent };
        let Some((status, body)) = answer else { return RelayResult::Unknown };
        self.counters.count("store_calls_relayed");
        match self.decode(call, status, &body) {
            Ok(reply) => RelayResult::Answered(reply),
            Err(StoreError::Unavailable(_) | StoreError::RateLimited) => RelayResult::NotSent,
            Err(_) => RelayResult::Unknown,
        }
    }

    async fn exchange(
        &self,
        call: &EncodedCall,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let address = self.address.get();
        let mut writer = RequestWriter::new(call.method.as_str(), &call.target);
        writer.header("host", address.to_string());
        let request = if call.body.is_empty() {
            writer.finish_empty()
        } else {
            writer.header("content-type", "application/json");
            writer.finish(&call.body)
        };
        let exchange = self.pool.call(address, &call.method, request, MAX_ANSWER_BYTES);
        match timeout(limit, exchange).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) if error.is_not_sent() => {
                Err(StoreError::Unavailable(error.to_string()))
            }
            Ok(Err(error)) => Err(StoreError::Unknown(error.to_string())),
            Err(_) => {
                self.pool.close_idle(address);
                Err(StoreError::Unknown("no answer in time".to_owned()))
            }
        }
    }

    /// Waits until the budget has a token for the call and takes it; a call that would wait for more
    /// than `CALL_TIMEOUT_MS` is refused.
    async fn wait_for_budget(&self, class: CallClass, call: &Call) -> Result<(), StoreError> {
        let is_write = call.is_write();
        let budget = if is_write { &self.writes } else { &self.reads };
        let counter = if is_write { "store_writes" } else { "store_reads" };
        self.counters.count_tagged(counter, "class", class.as_str());
        let started_ms = self.elapsed_ms();
        loop {
            let now_ms = self.elapsed_ms();
            let taken = budget.borrow_mut().take_call(now_ms, class);
            let Err(wait_ms) = taken else { return Ok(()) };
            if now_ms - started_ms + wait_ms > CALL_TIMEOUT_MS {
                self.counters.count_tagged("store_over_budget", "class", class.as_str());
                return Err(StoreError::RateLimited);
            }
            // Another call may take the token first, so the budget is asked again.
            sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    fn elapsed_ms(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    fn update_reachability(
        &self,
        call: &Call,
        started_at: Instant,
        result: &Result<Reply, StoreError>,
    ) {
        let now = Instant::now();
        let is_answered = !matches!(
            result,
            Err(StoreError::Unavailable(_) | StoreError::Unknown(_) | StoreError::RateLimited)
        );
        if is_answered {
            self.last_answered.set(now);
            if !matches!(call, Call::Page { may_be_stale: true, .. }) {
                self.last_fresh_answer.set(Some(now));
            }
            if !matches!(call, Call::Changes { .. }) {
                let latency_ms = (now - started_at).as_secs_f64() * 1000.0;
                self.counters.observe("store_call_ms", latency_ms as u64);
                self.record_latency(latency_ms);
            }
            if self.reachability.replace(Reachability::Reachable) == Reachability::Unreachable {
                self.reachable_again.notify_waiters();
                info!("event=dependency_regained dependency=store verb={}", call.verb());
            }
            return;
        }
        if matches!(result, Err(StoreError::Unknown(_))) {
            self.timeout_ms.set((self.timeout_ms.get() * 2).min(CALL_TIMEOUT_MS));
        }
        let is_unreachable = self.last_answered.get() < started_at
            && now.duration_since(self.last_answered.get())
                >= Duration::from_millis(UNREACHABLE_AFTER_MS);
        if is_unreachable
            && self.reachability.replace(Reachability::Unreachable) == Reachability::Reachable
        {
            let error = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
            warn!("event=dependency_lost dependency=store verb={} error=\"{error}\"", call.verb());
        }
    }

    fn record_latency(&self, latency_ms: f64) {
        let average_ms = self.latency_ms.get();
        let average_ms = average_ms + LATENCY_WEIGHT * (latency_ms - average_ms);
        self.latency_ms.set(average_ms);
        let timeout_ms = (average_ms * TIMEOUT_LATENCY_FACTOR) as Millis;
        self.timeout_ms.set(timeout_ms.clamp(MIN_TIMEOUT_MS, CALL_TIMEOUT_MS));
    }
}

/// The result of a call that was sent through a peer.
enum RelayResult {
    /// The store answered the call.
    Answered(Reply),
    /// The call certainly had no effect.
    NotSent,
    /// The call may have had an effect.
    Unknown,
}
