//! The ids of prompt parts and of replica incarnations, in the short form that daemons exchange.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use wire::ReplicaName;
use wire::rendezvous;

/// A part of a prompt that requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PromptPart(u64);

impl PromptPart {
    /// Returns the part with an id: its value if it is hexadecimal and short, or else its hash.
    pub fn from_id(id: &str) -> Self {
        let is_hexadecimal = id.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = if is_hexadecimal { u64::from_str_radix(id, 16).ok() } else { None };
        Self(value.unwrap_or_else(|| rendezvous::hash(id.as_bytes())))
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The hash of the name of a replica's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaIncarnation(u32);

impl From<&ReplicaName> for ReplicaIncarnation {
    fn from(name: &ReplicaName) -> Self {
        Self(rendezvous::hash(name.as_str().as_bytes()) as u32)
    }
}

impl fmt::Display for ReplicaIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
