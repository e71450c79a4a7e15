//! What daemons tell each other about prompt parts. Ages replace times, since daemons share no
//! clock.

use serde::Deserialize;
use serde::Serialize;

use crate::part::PromptPart;
use crate::part::ReplicaIncarnation;

/// The most parts in one message.
pub const MAX_VIEW_PARTS: usize = 16;
/// The size limit of an encoded message, which fits an Ethernet frame.
pub const MAX_VIEW_BYTES: usize = 1_400;

/// The parts that one daemon reports to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineView {
    /// The parts, the most suspect first.
    pub parts: Vec<PartView>,
}

/// What a daemon knows of one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartView {
    /// The part.
    pub part: PromptPart,
    /// The crashes of replicas that lost a request with the part.
    pub crashes: Vec<CrashView>,
    /// The age of the latest sound answer that the sender itself received.
    pub sound_age_ms: Option<u32>,
    /// The age of the latest request with the part.
    pub requested_age_ms: u32,
    /// The number of trials so far.
    pub trials: u8,
    /// The age of the latest trial.
    pub trial_age_ms: u32,
}

/// One crash of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashView {
    /// The incarnation that crashed.
    pub incarnation: ReplicaIncarnation,
    /// The age of the crash.
    pub age_ms: u32,
}
