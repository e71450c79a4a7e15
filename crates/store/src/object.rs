//! The object API as a trait; each protocol has an adapter that implements it.

use std::fmt;

use async_trait::async_trait;
use bytes::Bytes;
use wire::Version;

/// The maximum size of a value in the object API, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The object's version.
    pub version: Version,
    /// The id of the write that created this version.
    pub write_id: String,
    /// The value.
    pub value: Bytes,
}

/// One entry of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// The key.
    pub key: String,
    /// The object's version.
    pub version: Version,
}

/// The reason why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The object's version differs from the version that the call expected.
    Conflict,
    /// The rate limit of the API, or this daemon's share of it, is exhausted.
    RateLimited,
    /// The call certainly had no effect.
    Unavailable(String),
    /// No answer arrived; a write may have taken effect.
    Unknown(String),
    /// The value is over `MAX_VALUE_BYTES`.
    TooLarge {
        /// The value's size in bytes.
        size: usize,
    },
    /// The stored value cannot be decoded.
    Malformed {
        /// The key.
        key: String,
        /// The error in the value.
        message: String,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("the object was changed by someone else"),
            Self::RateLimited => f.write_str("the object API's rate is used up; try again later"),
            Self::Unavailable(message) => write!(f, "the object API is not available: {message}"),
            Self::Unknown(message) => write!(f, "the object API did not answer: {message}"),
            Self::TooLarge { size } => {
                write!(f, "the value has {size} bytes, and {MAX_VALUE_BYTES} are allowed")
            }
            Self::Malformed { key, message } => write!(f, "the object '{key}': {message}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The object API: versions, conditional updates and lists.
#[async_trait]
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; returns `None` if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError>;

    /// Writes an object if its version is `expected`.
    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Version,
        write_id: &str,
    ) -> Result<Version, StoreError>;

    /// Deletes an object if its version is `expected`; an absent object is not an error.
    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError>;

    /// Lists all keys that start with `prefix`, in order, over all pages.
    async fn list(&self, prefix: &str) -> Result<Vec<ListEntry>, StoreError>;

    /// Waits up to `wait_ms` until the object's version differs from `known`, and reads the object.
    async fn watch(
        &self,
        key: &str,
        known: Version,
        wait_ms: wire::Millis,
    ) -> Result<Option<Object>, StoreError>;
}
