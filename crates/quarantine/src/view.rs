//! What daemons tell each other about suspects. Ages replace times, since daemons share no clock.

use serde::Deserialize;
use serde::Serialize;

use crate::part::PromptPart;
use crate::part::ReplicaIncarnation;
use crate::suspect::RequestFingerprint;
use crate::suspect::Suspect;

/// The most suspects in one message.
pub const MAX_VIEW_SUSPECTS: usize = 16;
/// The size limit of an encoded message, which fits an Ethernet frame.
pub const MAX_VIEW_BYTES: usize = 1_400;

/// The suspects that one daemon reports to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct QuarantineView {
    /// The parts, the most suspect first.
    pub parts: Vec<PartView>,
    /// The requests, the most suspect first. Older builds ignore the bytes after the parts.
    pub requests: Vec<RequestView>,
    /// The trials of each suspect: of the parts, then of the requests. Older builds ignore them.
    pub trial_counts: Vec<TrialCounts>,
}

impl QuarantineView {
    /// Decodes a message, which ends after the parts if its sender is of an older build.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (parts, rest) = postcard::take_from_bytes(bytes)?;
        let (requests, rest) = take_or_empty(rest)?;
        let (trial_counts, _) = take_or_empty(rest)?;
        Ok(Self { parts, requests, trial_counts })
    }

    /// Returns the suspects with their evidence and trials, without those beyond the limit.
    pub(crate) fn suspects(
        &self,
    ) -> impl Iterator<Item = (Suspect, &EvidenceView, Option<TrialCounts>)> {
        let counts = |index: usize| self.trial_counts.get(index).copied();
        let requests = self.requests.iter().enumerate().map(move |(index, view)| {
            let counts = counts(self.parts.len() + index);
            (Suspect::Request(view.fingerprint), &view.evidence, counts)
        });
        let parts =
            self.parts.iter().enumerate().map(move |(index, view)| {
                (Suspect::Part(view.part), &view.evidence, counts(index))
            });
        requests.chain(parts).take(MAX_VIEW_SUSPECTS)
    }
}

/// Decodes a list, which is empty if the message ends before it.
fn take_or_empty<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(Vec<T>, &'a [u8]), postcard::Error> {
    if bytes.is_empty() { Ok((Vec::new(), bytes)) } else { postcard::take_from_bytes(bytes) }
}

/// The trials of one suspect; each number only grows, so that peers merge them as maxima.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialCounts {
    /// The number of trials that began.
    pub begun: u32,
    /// The number of those that reached no replica.
    pub cancelled: u32,
}

/// What a daemon knows of one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartView {
    /// The part.
    pub part: PromptPart,
    /// The evidence about it.
    pub evidence: EvidenceView,
}

/// What a daemon knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestView {
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// The evidence about it.
    pub evidence: EvidenceView,
}

/// The evidence about one suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceView {
    /// The crashes of replicas that lost a request to which the suspect belongs.
    pub crashes: Vec<CrashView>,
    /// The age of the latest sound answer that the sender itself received.
    pub sound_age_ms: Option<u32>,
    /// The age of the latest request.
    pub requested_age_ms: u32,
    /// The number of trials so far, without those that reached no replica.
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
