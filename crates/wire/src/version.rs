//! The version of an object in the platform's object API.

use serde::Deserialize;
use serde::Serialize;

/// The version of an object; `Version::ABSENT` stands for an object that does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version of an object that does not exist.
    pub const ABSENT: Self = Self(0);
}
