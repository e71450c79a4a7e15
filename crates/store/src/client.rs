//! The client of an object store that keeps objects by kind and name.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use kernel::Counters;
use kernel::counters::RetryReason;
use log::info;
use log::warn;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use upstream::Pool;
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
/// How long every call must fail before the store counts as lost.
const LOST_AFTER_MS: Millis = 500;

/// Carries calls to the store for a daemon that cannot reach it itself.
pub trait Relay {
    /// Sends one encoded call through a peer and returns status and body of the answer.
    fn relay<'a>(
        &'a self,
        call: &'a Encoded,
        limit: Duration,
    ) -> futures::future::LocalBoxFuture<'a, Option<(StatusCode, Bytes)>>;
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
    pool: Pool,
    counters: Counters,
    started: Instant,
    writes: RefCell<Budget>,
    reads: RefCell<Budget>,
    failing_since: Cell<Option<Instant>>,
    reach: Cell<Reach>,
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
            pool: Pool::new(MAX_IDLE, CONNECT_TIMEOUT),
            counters,
            started: Instant::now(),
            writes: RefCell::new(Budget::new(writes_per_s, 0)),
            reads: RefCell::new(Budget::new(reads_per_s, 0)),
            failing_since: Cell::new(None),
            reach: Cell::new(Reach::Answers),
            relay: RefCell::new(None),
        }
    }

    /// Gives the client a way around a store that turns this daemon away.
    pub fn set_relay(&self, relay: Rc<dyn Relay>) {
        *self.relay.borrow_mut() = Some(relay);
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
        self.take_turn(class, call).await?;
        let limit_ms = match call {
            Call::Changes { wait_ms, .. } => wait_ms + CALL_TIMEOUT_MS,
            _ => CALL_TIMEOUT_MS,
        };
        let encoded = self.dialect.encode(call);
        let result = match self.exchange(&encoded, Duration::from_millis(limit_ms)).await {
            Ok((status, body)) => self.dialect.decode(call, status, &body),
            Err(error) => Err(error),
        };
        self.note_reach(call, &result);
        result
    }

    /// Makes a call until it is answered for certain or `patience` has passed.
    ///
    /// Writes must be conditional or idempotent, since one without an answer is sent again.
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
            if let Some(reply) = self.through_peer(call, give_up).await {
                return Ok(reply);
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
            sleep(pause).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    /// Makes a call on behalf of a peer; returns nothing if the store does not answer here either.
    pub async fn for_peer(&self, call: &Encoded, limit: Duration) -> Option<(StatusCode, Bytes)> {
        if self.reach.get() == Reach::Lost {
            return None;
        }
        self.exchange(call, limit).await.ok()
    }

    async fn through_peer(&self, call: &Call, give_up: Instant) -> Option<Reply> {
        if matches!(call, Call::Changes { .. }) {
            return None;
        }
        let relay = self.relay.borrow().clone()?;
        let left = give_up.saturating_duration_since(Instant::now());
        let limit = left.min(Duration::from_millis(CALL_TIMEOUT_MS));
        let encoded = self.dialect.encode(call);
        let (status, body) = relay.relay(&encoded, limit).await?;
        self.counters.count("store_calls_relayed");
        self.dialect.decode(call, status, &body).ok()
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
            Ok(Err(fault)) if fault.is_not_sent() => {
                Err(StoreError::Unavailable(fault.to_string()))
            }
            Ok(Err(fault)) => Err(StoreError::Unknown(fault.to_string())),
            Err(_) => {
                self.pool.forget(address);
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

    fn note_reach(&self, call: &Call, result: &Result<Reply, StoreError>) {
        let is_answered = !matches!(
            result,
            Err(StoreError::Unavailable(_) | StoreError::Unknown(_) | StoreError::RateLimited)
        );
        if is_answered {
            self.failing_since.set(None);
            if self.reach.replace(Reach::Answers) == Reach::Lost {
                info!("event=dependency_regained dependency=store verb={}", call.verb());
            }
            return;
        }
        let now = Instant::now();
        let since = self.failing_since.get().unwrap_or(now);
        self.failing_since.set(Some(since));
        if now.duration_since(since) >= Duration::from_millis(LOST_AFTER_MS)
            && self.reach.replace(Reach::Lost) == Reach::Answers
        {
            let error = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
            warn!("event=dependency_lost dependency=store verb={} error=\"{error}\"", call.verb());
        }
    }
}
