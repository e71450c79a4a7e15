//! The announcements of replicas that they leave, which this daemon received and sends to its peers.

use std::collections::VecDeque;

use catalog::Incarnation;
use wire::Millis;

/// How long an announcement is sent with every heartbeat, since a datagram may be lost.
const RESEND_PERIOD_MS: Millis = 1_000;
/// The most announcements in one datagram, some 30 bytes each. Peers receive the further ones from
/// the replicas themselves.
pub const MAX_NOTICES: usize = 12;

/// The announcements that were received from replicas and not from a peer.
#[derive(Clone, Debug, Default)]
pub struct LeavingNotices {
    recent: VecDeque<(Millis, Incarnation)>,
}

impl LeavingNotices {
    /// Records new announcements and returns those to send to all peers at once.
    pub fn record(&mut self, now_ms: Millis, mut new: Vec<Incarnation>) -> Vec<Incarnation> {
        new.truncate(MAX_NOTICES);
        self.recent.extend(new.iter().map(|incarnation| (now_ms, incarnation.clone())));
        new
    }

    /// Returns the newest of the recent announcements, which are sent with heartbeats.
    pub fn recent(&mut self, now_ms: Millis) -> Vec<Incarnation> {
        let is_old = |at_ms: Millis| now_ms >= at_ms + RESEND_PERIOD_MS;
        while self.recent.front().is_some_and(|(at_ms, _)| is_old(*at_ms)) {
            self.recent.pop_front();
        }
        let newest = self.recent.iter().rev().take(MAX_NOTICES);
        newest.map(|(_, incarnation)| incarnation.clone()).collect()
    }
}
