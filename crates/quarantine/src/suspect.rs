//! What the crash of a replica may be attributed to: a part of a prompt, or one request that comes
//! again.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use wire::rendezvous;

use crate::part::PromptPart;

/// The hash of what stays the same when a client sends a request again under another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Returns the fingerprint of a request's fields; each is hashed by itself, so that neighbours
    /// cannot run together.
    pub fn of_fields(fields: &[&[u8]]) -> Self {
        let hashes = fields.iter().flat_map(|field| rendezvous::hash(field).to_le_bytes());
        Self(rendezvous::hash(&hashes.collect::<Vec<u8>>()))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What a crash may be attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Suspect {
    /// A part of a prompt, which requests share.
    Part(PromptPart),
    /// A request, which may come again under another id.
    Request(RequestFingerprint),
}

impl Suspect {
    /// Returns whether it is a request.
    pub fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl From<PromptPart> for Suspect {
    fn from(part: PromptPart) -> Self {
        Self::Part(part)
    }
}

/// Formats the suspect as a key and its value, as in a log line.
impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part={part}"),
            Self::Request(fingerprint) => write!(f, "fingerprint={fingerprint}"),
        }
    }
}
