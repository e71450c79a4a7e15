//! What follows a message to an owner or a holder, where builds from before it ignore it.

use peers::Topic;
use peers::transport::decode_extension;
use serde::Deserialize;
use serde::Serialize;
use wire::Millis;

use crate::fair_share::Share;
use crate::message::ToHolder;
use crate::message::ToOwner;
use crate::outcomes::OutcomeReport;

/// The parts that follow a message; a message has one of them at most, which its type determines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Extension {
    /// The organisation and the priority of a request for a slot.
    pub share: Option<Share>,
    /// The outcomes that go with a release or a list of runs.
    pub outcomes: Option<OutcomeReport>,
}

impl Extension {
    /// Decodes the bytes that follow `message`.
    pub fn decode(message: &ToOwner, rest: &[u8]) -> Self {
        match message {
            ToOwner::Ask { .. } => {
                Self { share: decode_extension(Topic::Slots, rest), outcomes: None }
            }
            ToOwner::Release { .. } | ToOwner::Held { .. } => {
                Self { share: None, outcomes: decode_extension(Topic::Slots, rest) }
            }
            ToOwner::Suspect { .. } => Self::default(),
        }
    }
}

/// What follows an early refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expectation {
    /// How long until a slot is expected for the request.
    pub slot_in_ms: Millis,
}

impl Expectation {
    /// Returns when a slot is expected for a request whose refusal arrives now.
    pub fn slot_at_ms(self, now_ms: Millis) -> Millis {
        now_ms.saturating_add(self.slot_in_ms)
    }

    /// Decodes the bytes that follow `message`.
    pub fn decode(message: &ToHolder, rest: &[u8]) -> Option<Self> {
        let ToHolder::Refused { .. } = message else { return None };
        decode_extension(Topic::Slots, rest)
    }
}
