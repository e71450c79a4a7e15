//! Calls to the object API within the budget, with lost answers settled by reading back.

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

use crate::budget::Budget;
use crate::budget::CallClass;
use crate::object::Listed;
use crate::object::Object;
use crate::object::ObjectStore;
use crate::object::StoreError;

/// Tries of one call before its failure is reported.
const TRIES: u32 = 4;
/// The pause after the first failed try; it doubles with each further one.
const FIRST_BACKOFF_MS: Millis = 50;
/// The longest wait for a call's turn in the budget.
const MAX_BUDGET_WAIT_MS: Millis = 5_000;

/// How a conditional write ended for certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutEnd {
    /// The write took effect and made this version.
    Applied(Version),
    /// The object had another version, made by another write.
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
    api: Arc<dyn ObjectStore>,
    clock: Clock,
    counters: Counters,
    writes: Mutex<Budget>,
    reads: Mutex<Budget>,
}

impl Store {
    /// Wraps an adapter with the fleet's call rates.
    pub fn new(
        api: Arc<dyn ObjectStore>,
        clock: Clock,
        counters: Counters,
        fleet_writes_per_s: f64,
        fleet_reads_per_s: f64,
    ) -> Self {
        let now_ms = clock.now_ms();
        Self {
            api,
            clock,
            counters,
            writes: Mutex::new(Budget::new(fleet_writes_per_s, now_ms)),
            reads: Mutex::new(Budget::new(fleet_reads_per_s, now_ms)),
        }
    }

    /// Sets the number of daemons that share the fleet's call rates.
    pub fn set_live_daemons(&self, live_daemons: usize) {
        for budget in [&self.writes, &self.reads] {
            budget.lock().unwrap_or_else(PoisonError::into_inner).set_live_daemons(live_daemons);
        }
    }

    /// Reads one object.
    pub async fn get(&self, class: CallClass, key: &str) -> Result<Option<Object>, StoreError> {
        let mut attempt = 0;
        loop {
            self.take(&self.reads, class, "store_reads").await?;
            match self.api.get(key).await {
                Ok(object) => return Ok(object),
                Err(error) => attempt = self.back_off(attempt, error).await?,
            }
        }
    }

    /// Reads one object and decodes it from JSON.
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
    pub async fn list(&self, class: CallClass, prefix: &str) -> Result<Vec<Listed>, StoreError> {
        let mut attempt = 0;
        loop {
            self.take(&self.reads, class, "store_reads").await?;
            match self.api.list(prefix).await {
                Ok(listed) => return Ok(listed),
                Err(error) => attempt = self.back_off(attempt, error).await?,
            }
        }
    }

    /// Waits for a change of one object; one call counts against the budget.
    pub async fn watch(
        &self,
        class: CallClass,
        key: &str,
        known: Version,
        wait_ms: Millis,
    ) -> Result<Option<Object>, StoreError> {
        self.take(&self.reads, class, "store_reads").await?;
        self.api.watch(key, known, wait_ms).await
    }

    /// Writes an object if it has the version `expected`, and settles a lost answer.
    ///
    /// An error means that the write may still take effect; the same write id may be used
    /// again, and then the write takes effect at most once.
    pub async fn put(
        &self,
        class: CallClass,
        key: &str,
        value: Bytes,
        expected: Version,
        write_id: &str,
    ) -> Result<PutEnd, StoreError> {
        let mut attempt = 0;
        loop {
            self.take(&self.writes, class, "store_writes").await?;
            match self.api.put(key, value.clone(), expected, write_id).await {
                Ok(version) => return Ok(PutEnd::Applied(version)),
                Err(StoreError::Conflict) => return self.settle(class, key, write_id).await,
                Err(error) => attempt = self.back_off(attempt, error).await?,
            }
        }
    }

    /// Encodes a value as JSON and writes it under a fresh write id.
    pub async fn put_json<T: Serialize>(
        &self,
        class: CallClass,
        key: &str,
        value: &T,
        expected: Version,
    ) -> Result<PutEnd, StoreError> {
        let bytes = serde_json::to_vec(value).map_err(|error| StoreError::Malformed {
            key: key.to_owned(),
            message: error.to_string(),
        })?;
        self.put(class, key, Bytes::from(bytes), expected, &new_write_id()).await
    }

    /// Deletes an object if it has the version `expected`.
    pub async fn delete(
        &self,
        class: CallClass,
        key: &str,
        expected: Version,
    ) -> Result<(), StoreError> {
        let mut attempt = 0;
        loop {
            self.take(&self.writes, class, "store_writes").await?;
            match self.api.delete(key, expected).await {
                Ok(()) => return Ok(()),
                Err(error) => attempt = self.back_off(attempt, error).await?,
            }
        }
    }

    /// Finds out whether a write that met another version had taken effect before.
    async fn settle(
        &self,
        class: CallClass,
        key: &str,
        write_id: &str,
    ) -> Result<PutEnd, StoreError> {
        let object = self.get(class, key).await?;
        match object {
            Some(object) if object.write_id == write_id => {
                self.counters.count("store_lost_answers_settled");
                Ok(PutEnd::Applied(object.version))
            }
            _ => {
                self.counters.retried(RetryReason::StoreConflict);
                Ok(PutEnd::Conflict)
            }
        }
    }

    async fn take(
        &self,
        budget: &Mutex<Budget>,
        class: CallClass,
        counter: &str,
    ) -> Result<(), StoreError> {
        let mut waited_ms = 0;
        loop {
            let now_ms = self.clock.now_ms();
            let taken = budget.lock().unwrap_or_else(PoisonError::into_inner).take(now_ms, class);
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

    /// Pauses before the next try, or returns the error when there is none.
    async fn back_off(&self, attempt: u32, error: StoreError) -> Result<u32, StoreError> {
        let reason = match &error {
            StoreError::RateLimited => RetryReason::StoreRate,
            StoreError::Unavailable(_) | StoreError::Unknown(_) => RetryReason::StoreCall,
            StoreError::Conflict | StoreError::TooLarge { .. } | StoreError::Malformed { .. } => {
                return Err(error);
            }
        };
        if attempt + 1 >= TRIES {
            return Err(error);
        }
        debug!("event=store_retry attempt={attempt} error=\"{error}\"");
        self.counters.retried(reason);
        let limit_ms = FIRST_BACKOFF_MS << attempt;
        let pause_ms = rand::thread_rng().gen_range(limit_ms / 2..=limit_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        Ok(attempt + 1)
    }
}

/// Returns an id that no other write has.
pub fn new_write_id() -> String {
    uuid::Uuid::new_v4().simple().to_string()
}
