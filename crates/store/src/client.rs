//! The client of an object store that keeps objects by kind and name.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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

use crate::budget::Budget;
use crate::budget::CallClass;
use crate::call::Call;
use crate::call::Dialect;
use crate::call::Encoded;
use crate::call::Reply;
use crate::object::StoreError;

/// The longest wait for an answer; a store that is a hundred times slower than usual answers in
/// less.
const CALL_TIMEOUT_MS: Millis = 1_500;
/// The shortest wait for an answer, so that a busy moment does not look like a lost answer.
const MIN_TIMEOUT_MS: Millis = 300;
/// How many times the usual latency an answer may take.
const TIMEOUT_LATENCIES: f64 = 8.0;
/// The weight of the newest latency in the usual one.
const LATENCY_WEIGHT: f64 = 0.1;
/// How often a store that does not answer is asked whether it does.
const PROBE_EVERY_MS: Millis = 400;
/// The longest wait for the answer to a probe.
const PROBE_TIMEOUT_MS: Millis = 400;
/// The pause before a call is tried again; it doubles up to `MAX_BACKOFF_MS`.
const FIRST_BACKOFF_MS: Millis = 40;
/// The longest pause before a call is tried again.
const MAX_BACKOFF_MS: Millis = 400;
/// The largest answer, in bytes: a page of objects with room for one that is too large.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// How long an idle connection to the store is kept.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// The longest wait for a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long no call may have been answered before the store counts as lost.
const LOST_AFTER_MS: Millis = 500;

/// Carries calls to the store for a daemon that cannot reach it itself.
pub trait Relay {
    /// Sends one encoded call through a peer and returns status and body of the answer.
    ///
    /// Nothing at all means that the call had no effect, nothing inside that it may have had one.
    fn relay<'a>(
        &'a self,
        call: &'a Encoded,
        limit: Duration,
    ) -> LocalBoxFuture<'a, Option<Option<(StatusCode, Bytes)>>>;
}

/// Whether the store answers this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// The last calls were answered.
    Answers,
    /// No call has been answered for a while.
    Lost,
}

/// The store as the rest of the daemon uses it.
pub struct ObjectClient {
    dialect: Rc<dyn Dialect>,
    address: Cell<SocketAddr>,
    pool: ConnectionPool,
    counters: Counters,
    started: Instant,
    writes: RefCell<Budget>,
    reads: RefCell<Budget>,
    answered: Cell<Instant>,
    latency_ms: Cell<f64>,
    timeout_ms: Cell<Millis>,
    reach: Cell<Reach>,
    regained: Notify,
    relay: RefCell<Option<Rc<dyn Relay>>>,
}

impl ObjectClient {
    /// Creates a client; no connection is made yet.
    pub fn new(
        dialect: Rc<dyn Dialect>,
        address: SocketAddr,
        writes_per_s: f64,
        reads_per_s: f64,
        counters: Counters,
    ) -> Self {
        Self {
            dialect,
            address: Cell::new(address),
            pool: ConnectionPool::new(MAX_IDLE, CONNECT_TIMEOUT),
            counters,
            started: Instant::now(),
            writes: RefCell::new(Budget::new(writes_per_s, 0)),
            reads: RefCell::new(Budget::new(reads_per_s, 0)),
            answered: Cell::new(Instant::now()),
            latency_ms: Cell::new(0.0),
            timeout_ms: Cell::new(CALL_TIMEOUT_MS),
            reach: Cell::new(Reach::Answers),
            regained: Notify::new(),
            relay: RefCell::new(None),
        }
    }

    /// Gives the client a way around a store that turns this daemon away.
    pub fn set_relay(&self, relay: Rc<dyn Relay>) {
        *self.relay.borrow_mut() = Some(relay);
    }

    /// Follows a change of the store's address or rates.
    pub fn reconfigure(&self, address: SocketAddr, writes_per_s: f64, reads_per_s: f64) {
        self.address.set(address);
        self.writes.borrow_mut().set_fleet_rate(writes_per_s);
        self.reads.borrow_mut().set_fleet_rate(reads_per_s);
    }

    /// Returns whether the store answers this daemon itself.
    pub fn reach(&self) -> Reach {
        self.reach.get()
    }

    /// Sets the number of daemons that share the call rates.
    pub fn set_live_daemons(&self, live_daemons: usize) {
        self.writes.borrow_mut().set_live_daemons(live_daemons);
        self.reads.borrow_mut().set_live_daemons(live_daemons);
    }

    /// Makes one call once. `Unknown` means that a write may still take effect.
    pub async fn once(&self, class: CallClass, call: &Call) -> Result<Reply, StoreError> {
        if self.reach.get() == Reach::Lost {
            return Err(StoreError::Unavailable("the store does not answer".to_owned()));
        }
        self.take_turn(class, call).await?;
        let wait_ms = match call {
            Call::Changes { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        self.attempt(call, wait_ms + self.timeout_ms.get()).await
    }

    /// Makes a call until it is answered for certain or `patience` has passed.
    ///
    /// Writes must be conditional or idempotent, since one without an answer is sent again. While
    /// the store does not answer this daemon, calls go through a peer or wait for its return.
    pub async fn until(
        &self,
        class: CallClass,
        call: &Call,
        patience: Duration,
    ) -> Result<Reply, StoreError> {
        let give_up = Instant::now() + patience;
        let mut backoff_ms = FIRST_BACKOFF_MS;
        let mut is_unknown = false;
        loop {
            let error = match self.once(class, call).await {
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
            match self.through_peer(call, give_up).await {
                Relayed::Answered(reply) => return Ok(reply),
                Relayed::Unknown => is_unknown = true,
                Relayed::NotSent => {}
            }
            let pause = Duration::from_millis(backoff_ms);
            if Instant::now() + pause >= give_up {
                return Err(match (is_unknown, error) {
                    (true, error @ StoreError::Unknown(_)) => error,
                    (true, error) => StoreError::Unknown(error.to_string()),
                    (false, error) => error,
                });
            }
            self.counters.retried(match error {
                StoreError::RateLimited => RetryReason::StoreRate,
                _ => RetryReason::StoreCall,
            });
            match self.reach.get() {
                Reach::Answers => sleep(pause).await,
                Reach::Lost => self.wait_for_return(pause).await,
            }
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Asks a lost store whether it answers again, until the task is dropped.
    ///
    /// A probe is a stale read of a kind that has few objects, at a tenth of a call's price.
    pub async fn watch_reach(&self, probe_kind: &'static str) {
        let probe = Call::Page { kind: probe_kind, after: String::new(), may_be_stale: true };
        loop {
            sleep(Duration::from_millis(PROBE_EVERY_MS)).await;
            if self.reach.get() == Reach::Lost
                && let Err(error) = self.attempt(&probe, PROBE_TIMEOUT_MS).await
            {
                debug!("event=store_probe_failed error=\"{error}\"");
            }
        }
    }

    async fn attempt(&self, call: &Call, limit_ms: Millis) -> Result<Reply, StoreError> {
        let began = Instant::now();
        let encoded = self.dialect.encode(call);
        let name = format!("{}_{}", call.verb(), call.kind());
        self.counters.count_tagged("store_calls", "call", &name);
        let result = match self.exchange(&encoded, Duration::from_millis(limit_ms)).await {
            Ok((status, body)) => self.dialect.decode(call, status, &body),
            Err(error) => Err(error),
        };
        self.note_reach(call, began, &result);
        result
    }

    /// Waits until the store answers again, at most for a few pauses.
    async fn wait_for_return(&self, pause: Duration) {
        let regained = self.regained.notified();
        if self.reach.get() == Reach::Lost {
            // Without the store's return in time the caller looks at its patience again.
            let _ = timeout(pause, regained).await;
        }
    }

    /// Makes a call on behalf of a peer.
    pub async fn for_peer(
        &self,
        call: &Encoded,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        if self.reach.get() == Reach::Lost {
            return Err(StoreError::Unavailable("the store does not answer here".to_owned()));
        }
        self.exchange(call, limit).await
    }

    async fn through_peer(&self, call: &Call, give_up: Instant) -> Relayed {
        let relay = self.relay.borrow().clone();
        let (Some(relay), false) = (relay, matches!(call, Call::Changes { .. })) else {
            return Relayed::NotSent;
        };
        let left = give_up.saturating_duration_since(Instant::now());
        let limit = left.min(Duration::from_millis(CALL_TIMEOUT_MS));
        let encoded = self.dialect.encode(call);
        let Some(answered) = relay.relay(&encoded, limit).await else { return Relayed::NotSent };
        let Some((status, body)) = answered else { return Relayed::Unknown };
        self.counters.count("store_calls_relayed");
        match self.dialect.decode(call, status, &body) {
            Ok(reply) => Relayed::Answered(reply),
            Err(StoreError::Unavailable(_) | StoreError::RateLimited) => Relayed::NotSent,
            Err(_) => Relayed::Unknown,
        }
    }

    async fn exchange(
        &self,
        call: &Encoded,
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

    async fn take_turn(&self, class: CallClass, call: &Call) -> Result<(), StoreError> {
        let budget = if call.is_write() { &self.writes } else { &self.reads };
        let now_ms = self.started.elapsed().as_millis() as Millis;
        let turn = budget.borrow_mut().take(now_ms, class);
        let counter = if call.is_write() { "store_writes" } else { "store_reads" };
        self.counters.count_tagged(counter, "class", class.as_str());
        let Err(wait_ms) = turn else { return Ok(()) };
        if wait_ms > CALL_TIMEOUT_MS {
            self.counters.count_tagged("store_over_budget", "class", class.as_str());
            return Err(StoreError::RateLimited);
        }
        sleep(Duration::from_millis(wait_ms)).await;
        Ok(())
    }

    fn note_reach(&self, call: &Call, began: Instant, result: &Result<Reply, StoreError>) {
        let now = Instant::now();
        let is_answered = !matches!(
            result,
            Err(StoreError::Unavailable(_) | StoreError::Unknown(_) | StoreError::RateLimited)
        );
        if is_answered {
            self.answered.set(now);
            if !matches!(call, Call::Changes { .. }) {
                let latency_ms = (now - began).as_secs_f64() * 1000.0;
                self.counters.observe("store_call_ms", latency_ms as u64);
                self.note_latency(latency_ms);
            }
            if self.reach.replace(Reach::Answers) == Reach::Lost {
                self.regained.notify_waiters();
                info!("event=dependency_regained dependency=store verb={}", call.verb());
            }
            return;
        }
        if matches!(result, Err(StoreError::Unknown(_))) {
            self.timeout_ms.set((self.timeout_ms.get() * 2).min(CALL_TIMEOUT_MS));
        }
        let is_silent = self.answered.get() < began
            && now.duration_since(self.answered.get()) >= Duration::from_millis(LOST_AFTER_MS);
        if is_silent && self.reach.replace(Reach::Lost) == Reach::Answers {
            let error = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
            warn!("event=dependency_lost dependency=store verb={} error=\"{error}\"", call.verb());
        }
    }

    fn note_latency(&self, latency_ms: f64) {
        let usual_ms = self.latency_ms.get();
        let usual_ms = usual_ms + LATENCY_WEIGHT * (latency_ms - usual_ms);
        self.latency_ms.set(usual_ms);
        let timeout_ms = (usual_ms * TIMEOUT_LATENCIES) as Millis;
        self.timeout_ms.set(timeout_ms.clamp(MIN_TIMEOUT_MS, CALL_TIMEOUT_MS));
    }
}

/// What became of a call that was sent through a peer.
enum Relayed {
    /// The store answered.
    Answered(Reply),
    /// The call certainly had no effect.
    NotSent,
    /// The call may have had an effect.
    Unknown,
}
