//! What one daemon knows of another one.

use std::collections::BTreeSet;

use wire::DaemonName;
use wire::Millis;

use crate::heartbeat::Identity;
use crate::heartbeat::Readiness;

/// The incarnations of one daemon that are remembered as over; more starts within a minute, after
/// which a silent daemon is forgotten, are not expected.
const MAX_OVER: usize = 8;

/// What one daemon knows of another.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Who it is.
    pub identity: Identity,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Whether the store answers it.
    pub reaches_store: bool,
    /// The version of its configuration.
    pub configuration_version: u64,
    /// The revision of its list of replicas.
    pub replicas_revision: u64,
    /// When it was heard last.
    pub(crate) heard_ms: Option<Millis>,
    /// When this daemon learnt of it.
    pub(crate) introduced_ms: Millis,
    /// When it was sent a heartbeat last.
    pub(crate) tried_ms: Millis,
    /// How sure it is that it lives.
    pub(crate) state: PeerState,
    /// Incarnations that are over; one may be higher than the current one, since a start's number
    /// is its time of day and clocks go back.
    pub(crate) over: BTreeSet<u64>,
    /// Who said last that it is lost, since it was heard.
    pub(crate) loss_word: Option<LossWord>,
}

/// The word of a daemon that another one is lost.
#[derive(Clone, Debug)]
pub(crate) struct LossWord {
    pub(crate) teller: DaemonName,
    pub(crate) at_ms: Millis,
}

impl Peer {
    /// Returns the incarnations that are over once `next` has taken the place of this one.
    pub(crate) fn over_after(&self, next: u64) -> BTreeSet<u64> {
        let mut over = self.over.clone();
        over.insert(self.identity.incarnation);
        over.remove(&next);
        while over.len() > MAX_OVER {
            over.pop_first();
        }
        over
    }

    /// Returns whether a heartbeat of an incarnation is of the peer's present start.
    ///
    /// One that is over or has a lower number may be a late datagram of an earlier start; it counts
    /// once the known start has gone silent.
    pub(crate) fn is_present(&self, incarnation: u64) -> bool {
        let is_later =
            incarnation >= self.identity.incarnation && !self.over.contains(&incarnation);
        is_later || self.state != PeerState::Alive
    }
}

/// How sure it is that a peer lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It was told of and has not been heard itself.
    Unheard,
    /// It was heard a moment ago.
    Alive,
    /// Heartbeats are missing.
    Suspect,
    /// It has been silent for so long that others take its work over.
    Lost,
}

impl PeerState {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unheard => "unheard",
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Lost => "lost",
        }
    }
}
