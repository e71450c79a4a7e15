//! Calls to the object API within a call budget; a write without an answer is sent again, and a
//! read after a conflict shows whether an earlier attempt took effect.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use kernel::Clock;
use kernel::Counters;
use kernel::counters::RetryReason;
use log::debug;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::Millis;
use wire::Version;

use crate::budget::CallBudget;
use crate::budget::CallClass;
use crate::object::ListEntry;
use crate::object::Object;
use crate::object::ObjectStore;
use crate::object::StoreError;

/// The number of attempts of a call before its failure is reported.
const MAX_ATTEMPTS: u32 = 4;
/// The pause after the first failed attempt; it doubles after each further one.
const FIRST_BACKOFF_MS: Millis = 50;
/// The maximum wait for a call's token in the budget.
const MAX_BUDGET_WAIT_MS: Millis = 5_000;

/// The outcome of a conditional write that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect and created this version.
    Applied(Version),
    /// The object has another version, created by another write. If the answer to an earlier attempt
    /// was lost, that attempt may have taken effect before the other write.
    Conflict,
}

/// A decoded object and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored<T> {
    /// The object's version.
    pub version: Version,
    /// The decoded value.
    pub value: T,
}

/// The object API as the rest of the daemon uses it.
pub struct Store {
    adapter: Arc<dyn ObjectStore>,
    clock: Clock,
    counters: Counters,
    writes: Mutex<CallBudget>,
    reads: Mutex<CallBudget>,
}

impl Store {
    /// Wraps an adapter and limits its calls to the fleet's rates.
    pub fn new(
        adapter: Arc<dyn ObjectStore>,
        clock: Clock,
        counters: Counters,
        fleet_writes_per_s: f64,
        fleet_reads_per_s: f64,
    ) -> Self {
        let now_ms = clock.now_ms();
        Self {
            adapter,
            clock,
            counters,
            writes: Mutex::new(CallBudget::new(fleet_writes_per_s, now_ms)),
            reads: Mutex::new(CallBudget::new(fleet_reads_per_s, now_ms)),
        }
    }

    /// Sets the number of daemons that share the fleet's call rates.
    pub fn set_live_daemons(&self, live_daemons: usize) {
        for budget in [&self.writes, &self.reads] {
            budget.lock().unwrap_or_else(PoisonError::into_inner).set_live_daemons(live_daemons);
        }
    }

    /// Reads an object.
    pub async fn get(&self, class: CallClass, key: &str) -> Result<Option<Object>, StoreError> {
        let mut attempt = 0;
        loop {
            self.wait_for_budget(&self.reads, class, "store_reads").await?;
            match self.adapter.get(key).await {
                Ok(object) => return Ok(object),
                Err(error) => attempt = self.back_off(attempt, error).await?,
            }
        }
    }

    /// Reads an object and decodes it from JSON.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        class: CallClass,
        key: &str,
    ) -> Result<Option<Stored<T>>, StoreError> {
        let Some(object) = self.get(class, key).await? else {
            return Ok(None);
        };
        let value = serde_json::from_slice(&object.value).map_err(|error| {
            StoreError::Malformed { key: key.to_owned(), message: error.to_string() }
        })?;
        Ok(Some(Stored { version: object.version, value }))
    }

    /// Lists the keys with a prefix.
    pub async fn list(&self, class: CallClass, prefix: &str) -> Result<Vec<ListEntry>, StoreError> {
        let mut attempt = 0;
        loop {
            self.wait_for_budget(&self.reads, class, "store_reads").await?;
            match self.adapter.list(prefix).await {
                Ok(listed) => return Ok(listed),
                Err(error) => attempt = self.back_off(attempt, error).await?,
            }
        }
    }

    /// Waits for a change of an object; it counts as one call in the budget.
    pub async fn watch(
        &self,
        class: CallClass,
        key: &str,
        known: Version,
        wait_ms: Millis,
    ) -> Result<Option<Object>, StoreError> {
        self.wait_for_budget(&self.reads, class, "store_reads").await?;
        self.adapter.watch(key, known, wait_ms).await
    }

    /// Writes an object if its version is `expected`; a write without an answer is sent again, and
    /// a read after a conflict shows whether an earlier attempt took effect.
    ///
    /// After an error the write may still take effect; it may be sent again with the same write id,
    /// and then takes effect at most once.
    pub async fn put(
        &self,
        class: CallClass,
        key: &str,
        value: Bytes,
        expected: Version,
        write_id: &str,
    ) -> Result<PutOutcome, StoreError> {
        let mut attempt = 0;
        loop {
            self.wait_for_budget(&self.writes, class, "store_writes").await?;
            match self.adapter.put(key, value.clone(), expected, write_id).await {
                Ok(version) => return Ok(PutOutcome::Applied(version)),
                Err(StoreError::Conflict) => {
                    return self.resolve_conflict(class, key, write_id).await;
                }
                Err(error) => attempt = self.back_off(attempt, error).await?,
            }
        }
    }

    /// Encodes a value as JSON and writes it with a new write id.
    pub async fn put_json<T: Serialize>(
        &self,
        class: CallClass,
        key: &str,
        value: &T,
        expected: Version,
    ) -> Result<PutOutcome, StoreError> {
        let bytes = serde_json::to_vec(value).map_err(|error| StoreError::Malformed {
            key: key.to_owned(),
            message: error.to_string(),
        })?;
        self.put(class, key, Bytes::from(bytes), expected, &new_write_id()).await
    }

    /// Deletes an object if its version is `expected`.
    pub async fn delete(
        &self,
        class: CallClass,
        key: &str,
        expected: Version,
    ) -> Result<(), StoreError> {
        let mut attempt = 0;
        loop {
            self.wait_for_budget(&self.writes, class, "store_writes").await?;
            match self.adapter.delete(key, expected).await {
                Ok(()) => return Ok(()),
                Err(error) => attempt = self.back_off(attempt, error).await?,
            }
        }
    }

    /// Checks whether a write that failed with a conflict took effect in an earlier attempt.
    async fn resolve_conflict(
        &self,
        class: CallClass,
        key: &str,
        write_id: &str,
    ) -> Result<PutOutcome, StoreError> {
        let object = self.get(class, key).await?;
        match object {
            Some(object) if object.write_id == write_id => {
                self.counters.count("store_lost_answers_settled");
                Ok(PutOutcome::Applied(object.version))
            }
            _ => {
                self.counters.count_retry(RetryReason::StoreConflict);
                Ok(PutOutcome::Conflict)
            }
        }
    }

    async fn wait_for_budget(
        &self,
        budget: &Mutex<CallBudget>,
        class: CallClass,
        counter: &str,
    ) -> Result<(), StoreError> {
        let mut waited_ms = 0;
        loop {
            let now_ms = self.clock.now_ms();
            let taken =
                budget.lock().unwrap_or_else(PoisonError::into_inner).take_call(now_ms, class);
            let Err(wait_ms) = taken else {
                self.counters.count_tagged(counter, "class", class.as_str());
                return Ok(());
            };
            if waited_ms + wait_ms > MAX_BUDGET_WAIT_MS {
                self.counters.count_tagged("store_over_budget", "class", class.as_str());
                return Err(StoreError::RateLimited);
            }
            waited_ms += wait_ms;
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Waits before the next attempt, or returns the error if no attempt is left.
    async fn back_off(&self, attempt: u32, error: StoreError) -> Result<u32, StoreError> {
        let reason = match &error {
            StoreError::RateLimited => RetryReason::StoreRate,
            StoreError::Unavailable(_) | StoreError::Unknown(_) => RetryReason::StoreCall,
            StoreError::Conflict | StoreError::TooLarge { .. } | StoreError::Malformed { .. } => {
                return Err(error);
            }
        };
        if attempt + 1 >= MAX_ATTEMPTS {
            return Err(error);
        }
        debug!("event=store_retry attempt={attempt} error=\"{error}\"");
        self.counters.count_retry(reason);
        let limit_ms = FIRST_BACKOFF_MS << attempt;
        let pause_ms = rand::thread_rng().gen_range(limit_ms / 2..=limit_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        Ok(attempt + 1)
    }
}

/// Returns a new unique write id.
pub fn new_write_id() -> String {
    uuid::Uuid::new_v4().simple().to_string()
}
