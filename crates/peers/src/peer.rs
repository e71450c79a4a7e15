//! The state that a daemon keeps about another daemon.

use std::collections::BTreeSet;

use wire::DaemonName;
use wire::Millis;

use crate::heartbeat::Identity;
use crate::heartbeat::Readiness;

/// The most ended incarnations that are remembered for one daemon; more restarts are not expected
/// within the minute after which a silent daemon is forgotten.
const MAX_ENDED_INCARNATIONS: usize = 8;

/// The state that a daemon keeps about another daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The identity of the peer.
    pub identity: Identity,
    /// Whether the peer accepts new work.
    pub readiness: Readiness,
    /// Whether the peer can reach the store.
    pub reaches_store: bool,
    /// The version of the configuration in force at the peer.
    pub configuration_version: u64,
    /// The revision of the peer's list of replicas.
    pub replicas_revision: u64,
    /// When the last heartbeat of the peer arrived.
    pub(crate) last_heartbeat_at_ms: Option<Millis>,
    /// When this daemon first learnt of the peer.
    pub(crate) first_known_ms: Millis,
    /// When the last heartbeat was sent to the peer or received from it; the next heartbeat to a
    /// silent peer is due a fixed time later.
    pub(crate) last_sent_ms: Millis,
    /// The state of the peer according to the failure detector.
    pub(crate) state: PeerState,
    /// The incarnations that have ended. One may be higher than the current one, since an
    /// incarnation is the wall-clock time of a start and clocks can go back.
    pub(crate) ended_incarnations: BTreeSet<u64>,
    /// The latest report that the peer is lost, if any arrived since its last heartbeat.
    pub(crate) loss_report: Option<LossReport>,
}

/// A report of another daemon that a peer is lost.
#[derive(Clone, Debug)]
pub(crate) struct LossReport {
    pub(crate) reporter: DaemonName,
    pub(crate) reported_ms: Millis,
}

impl Peer {
    /// Returns the incarnations that have ended once `next` has replaced the current one.
    pub(crate) fn ended_incarnations_after(&self, next: u64) -> BTreeSet<u64> {
        let mut ended = self.ended_incarnations.clone();
        ended.insert(self.identity.incarnation);
        ended.remove(&next);
        while ended.len() > MAX_ENDED_INCARNATIONS {
            ended.pop_first();
        }
        ended
    }

    /// Returns whether a heartbeat of an incarnation is to be accepted as the peer's current one.
    ///
    /// A heartbeat of an ended or lower incarnation may be a delayed datagram of an earlier start;
    /// it is accepted only once the current incarnation has fallen silent.
    pub(crate) fn is_acceptable_incarnation(&self, incarnation: u64) -> bool {
        let is_current = incarnation >= self.identity.incarnation
            && !self.ended_incarnations.contains(&incarnation);
        is_current || self.state != PeerState::Alive
    }
}

/// The state of a peer according to the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// Other daemons or the store named the peer; no heartbeat of it has arrived yet.
    Unheard,
    /// Heartbeats arrive in time.
    Alive,
    /// Heartbeats are overdue; the peer is left out of decisions.
    Suspect,
    /// The peer has been silent for so long that other daemons take over its work.
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
