//! Rolls of bundles: a conditional update of the in-force object decides between concurrent
//! operators.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use store::CallClass;
use store::PutOutcome;
use store::Store;
use store::StoreError;
use store::store::new_write_id;
use wire::Version;
use wire::link::Pointer;

use crate::sign::SignedBundle;

/// The key of the in-force object.
pub const IN_FORCE_KEY: &str = "in-force";
/// The rolls kept in the in-force object, so that the outcome of a roll whose answer was lost can
/// be determined later.
const MAX_HISTORY: usize = 16;

/// The value of the in-force object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceObject {
    /// The bundle in force.
    pub pointer: Pointer,
    /// The latest rolls, with the newest last.
    pub history: Vec<RollRecord>,
}

/// One accepted roll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollRecord {
    /// The bundle that was put in force.
    pub pointer: Pointer,
    /// The identifier of the write that put it in force.
    pub write_id: String,
    /// The operator who requested the roll.
    pub operator: String,
}

/// Why a roll was not accepted, or why its outcome is not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RollError {
    /// A concurrent roll was accepted first and is in force.
    LostRace {
        /// The roll that was accepted.
        winner: RollRecord,
    },
    /// The number in force is not the one that the operator expected.
    UnexpectedNumber {
        /// The bundle in force.
        current: Pointer,
    },
    /// The object API failed, and nothing was changed.
    Store(StoreError),
    /// The object API did not answer. The roll may still take effect; the status shows whether it
    /// did.
    OutcomeUnknown(StoreError),
}

impl fmt::Display for RollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LostRace { winner } => write!(
                f,
                "operator '{}' rolled first: number {} is in force; look at it and roll again",
                winner.operator, winner.pointer.number
            ),
            Self::UnexpectedNumber { current } => {
                write!(f, "number {} is in force, which is not the expected one", current.number)
            }
            Self::Store(error) => write!(f, "the roll was not accepted: {error}"),
            Self::OutcomeUnknown(error) => {
                write!(f, "whether the roll was accepted is not known: {error}; ask for the status")
            }
        }
    }
}

/// Returns the key of a signed bundle in the object API.
pub fn bundle_key(digest: &str) -> String {
    format!("bundles/{digest}")
}

/// Reads the signed bundle with this digest from the object API.
pub async fn read_bundle(store: &Store, digest: &str) -> Result<Option<SignedBundle>, StoreError> {
    let stored = store.get_json(CallClass::Bundle, &bundle_key(digest)).await?;
    Ok(stored.map(|stored| stored.value))
}

/// Reads the in-force object with its version; without one, the number and the version are 0.
pub async fn read_in_force(store: &Store) -> Result<(InForceObject, Version), StoreError> {
    let stored = store.get_json(CallClass::Bundle, IN_FORCE_KEY).await?;
    Ok(stored.map_or((InForceObject::default(), Version::ABSENT), |s| (s.value, s.version)))
}

/// Puts a validated and signed bundle in force and returns its pointer.
///
/// With an `expected_number`, the roll is accepted only if that number is in force.
pub async fn roll(
    store: &Store,
    bundle: &SignedBundle,
    operator: &str,
    expected_number: Option<u64>,
) -> Result<Pointer, RollError> {
    let digest = bundle.digest();
    store_bundle(store, bundle, &digest).await.map_err(RollError::Store)?;
    let (object, version) = read_in_force(store).await.map_err(RollError::Store)?;
    if expected_number.is_some_and(|expected| expected != object.pointer.number) {
        return Err(RollError::UnexpectedNumber { current: object.pointer });
    }
    let pointer = Pointer { number: object.pointer.number + 1, digest };
    let write_id = new_write_id();
    let next = updated_object(object, &pointer, &write_id, operator);
    let value = Bytes::from(serde_json::to_vec(&next).unwrap_or_default());
    match store.put(CallClass::Bundle, IN_FORCE_KEY, value, version, &write_id).await {
        Ok(PutOutcome::Applied(_)) => Ok(pointer),
        Ok(PutOutcome::Conflict) => resolve_conflict(store, pointer, &write_id).await,
        Err(error @ (StoreError::TooLarge { .. } | StoreError::Malformed { .. })) => {
            Err(RollError::Store(error))
        }
        Err(error) => Err(RollError::OutcomeUnknown(error)),
    }
}

async fn store_bundle(
    store: &Store,
    bundle: &SignedBundle,
    digest: &str,
) -> Result<(), StoreError> {
    let key = bundle_key(digest);
    let known = store.get_json::<SignedBundle>(CallClass::Bundle, &key).await?;
    let (known, version) = match known {
        Some(stored) => (Some(stored.value), stored.version),
        None => (None, Version::ABSENT),
    };
    if known.as_ref() == Some(bundle) {
        return Ok(());
    }
    // The key is the digest, so a concurrent write stores the same document, with signatures that
    // another daemon has verified.
    store.put_json(CallClass::Bundle, &key, bundle, version).await.map(|_| ())
}

/// Distinguishes a roll that lost to a concurrent one from a roll that took effect before another.
async fn resolve_conflict(
    store: &Store,
    pointer: Pointer,
    write_id: &str,
) -> Result<Pointer, RollError> {
    let (object, _) = read_in_force(store).await.map_err(RollError::OutcomeUnknown)?;
    if object.history.iter().any(|record| record.write_id == write_id) {
        return Ok(pointer);
    }
    let winner = object.history.last().cloned().unwrap_or_else(|| RollRecord {
        pointer: object.pointer.clone(),
        write_id: String::new(),
        operator: "unknown".to_owned(),
    });
    Err(RollError::LostRace { winner })
}

fn updated_object(
    object: InForceObject,
    pointer: &Pointer,
    write_id: &str,
    operator: &str,
) -> InForceObject {
    let mut history = object.history;
    history.push(RollRecord {
        pointer: pointer.clone(),
        write_id: write_id.to_owned(),
        operator: operator.to_owned(),
    });
    let excess = history.len().saturating_sub(MAX_HISTORY);
    history.drain(..excess);
    InForceObject { pointer: pointer.clone(), history }
}
