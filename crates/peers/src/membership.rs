//! Who lives, as a pure state machine over heartbeats.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;

use wire::DaemonName;
use wire::DataCentre;
use wire::Millis;
use wire::rendezvous;

use crate::heartbeat::Heartbeat;
use crate::heartbeat::Identity;
use crate::heartbeat::LostDaemon;
use crate::heartbeat::Readiness;
use crate::peer::LossWord;
use crate::peer::Peer;
use crate::peer::PeerState;

/// The shortest time between two heartbeats to one daemon.
const MIN_PERIOD_MS: Millis = 200;
/// The longest time between two heartbeats to one daemon.
const MAX_PERIOD_MS: Millis = 1_000;
/// How much the period grows with each daemon, so that the cost of a daemon stays level.
const PERIOD_PER_DAEMON_MS: Millis = 6;
/// The daemons up to which every daemon hears every other one each period; all deployments of the
/// users but their largest are below it. In larger fleets bytes between data centres cost most.
const SMALL_FLEET: usize = 96;
/// By how much daemons may differ in the size that they see while others come and go.
const UNSURE_SIZE: usize = 6;
/// In a larger fleet, the periods between two heartbeats to a daemon of another data centre.
const FAR_EVERY: u64 = 4;
/// In a larger fleet, the periods of silence after which a daemon of another data centre is left out
/// of decisions: two of its heartbeats may be lost. Those near it tell of its loss earlier.
const FAR_SUSPECT_PERIODS: Millis = 10;
/// The daemons that tell a new one of all others, and those of a data centre that tell of a loss
/// there, in a large fleet.
const TELLERS: usize = 2;
/// Heartbeats that may be lost before a daemon is left out of decisions.
const SUSPECT_PERIODS: Millis = 4;
/// Silence after which a daemon counts as lost and its jobs are taken over.
const LOST_AFTER_MS: Millis = 2_000;
/// Silence after which a lost daemon is forgotten.
const FORGET_AFTER_MS: Millis = 60_000;
/// How long after its start a daemon takes nobody's work over: it has yet to hear who lives.
const SETTLE_MS: Millis = 1_500;
/// The time between two ticks from which on this daemon counts as paused: it ticks every 50 ms.
const OWN_PAUSE_MS: Millis = 400;
/// How often a lost daemon is tried again.
const RETRY_LOST_MS: Millis = 1_000;

/// What the daemon must do or note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a heartbeat to this address.
    SendHeartbeat(IpAddr),
    /// Tell this address of the daemons that are known.
    SendMembers(IpAddr),
    /// A daemon's state changed.
    Changed {
        /// The daemon.
        name: DaemonName,
        /// The state as it appears in logs.
        state: &'static str,
        /// How long it has been silent.
        silent_ms: Millis,
    },
    /// A daemon was started again; what its life before held in memory is gone.
    Restarted(DaemonName),
    /// A daemon counts as lost.
    Lost(DaemonName),
}

/// The daemons that one daemon knows.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Identity,
    own_readiness: Readiness,
    seeds: Vec<IpAddr>,
    is_seed: bool,
    peers: BTreeMap<DaemonName, Peer>,
    started_ms: Option<Millis>,
    now_ms: Millis,
    sent_ms: Option<Millis>,
    rounds: u64,
    seeds_tried_ms: Option<Millis>,
    is_urgent: bool,
}

impl Membership {
    /// Creates the membership of a daemon that knows only seeds.
    pub fn new(own: Identity, seeds: Vec<IpAddr>) -> Self {
        let is_seed = seeds.contains(&own.ip);
        let seeds = seeds.into_iter().filter(|ip| *ip != own.ip).collect();
        Self {
            own,
            own_readiness: Readiness::Starting,
            seeds,
            is_seed,
            peers: BTreeMap::new(),
            started_ms: None,
            now_ms: 0,
            sent_ms: None,
            rounds: 0,
            seeds_tried_ms: None,
            is_urgent: false,
        }
    }

    /// Returns this daemon's own identity.
    pub fn own(&self) -> &Identity {
        &self.own
    }

    /// Returns whether this daemon takes work.
    pub fn own_readiness(&self) -> Readiness {
        self.own_readiness
    }

    /// Sets whether this daemon takes work; a change is told at once.
    pub fn set_own_readiness(&mut self, readiness: Readiness) {
        self.is_urgent |= self.own_readiness != readiness;
        self.own_readiness = readiness;
    }

    /// Makes the next tick tell every peer without waiting for the period.
    pub fn hurry(&mut self) {
        self.is_urgent = true;
    }

    /// Returns the time between two heartbeats.
    pub fn period_ms(&self) -> Millis {
        let daemons = self.peers.len() as Millis + 1;
        (daemons * PERIOD_PER_DAEMON_MS).clamp(MIN_PERIOD_MS, MAX_PERIOD_MS)
    }

    /// Takes a heartbeat.
    pub fn heard(&mut self, now_ms: Millis, beat: &Heartbeat) -> Vec<MemberAction> {
        let identity = &beat.identity;
        if identity.name == self.own.name {
            return Vec::new();
        }
        let mut actions = Vec::new();
        let known = self.peers.get(&identity.name);
        if known.is_some_and(|peer| !peer.is_present(identity.incarnation)) {
            return actions;
        }
        let is_new = known.is_none_or(|peer| peer.heard_ms.is_none());
        let is_restart =
            known.is_some_and(|peer| peer.identity.incarnation != identity.incarnation);
        if is_restart {
            actions.push(MemberAction::Restarted(identity.name.clone()));
        }
        let old_state = known.map_or(PeerState::Unheard, |peer| peer.state);
        let introduced_ms = known.map_or(now_ms, |peer| peer.introduced_ms);
        let over = match known {
            Some(peer) if is_restart => peer.over_after(identity.incarnation),
            Some(peer) => peer.over.clone(),
            None => BTreeSet::new(),
        };
        self.peers.insert(
            identity.name.clone(),
            Peer {
                identity: identity.clone(),
                readiness: beat.readiness,
                reaches_store: beat.reaches_store,
                configuration_version: beat.configuration_version,
                replicas_revision: beat.replicas_revision,
                heard_ms: Some(now_ms),
                introduced_ms,
                tried_ms: now_ms,
                state: PeerState::Alive,
                over,
                loss_word: None,
            },
        );
        if (is_new || is_restart) && self.is_teller_of_members(&identity.name) {
            actions.push(MemberAction::SendMembers(identity.ip));
        }
        if old_state != PeerState::Alive {
            actions.push(MemberAction::SendHeartbeat(identity.ip));
            actions.push(changed(&identity.name, PeerState::Alive, 0));
        }
        actions
    }

    /// Takes the daemons that a peer, or the store, knows.
    pub fn told(&mut self, now_ms: Millis, members: Vec<Identity>) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        for identity in members {
            let known = self.peers.get(&identity.name);
            let is_newer = |peer: &Peer| {
                peer.identity.incarnation < identity.incarnation
                    && !peer.over.contains(&identity.incarnation)
            };
            if identity.name == self.own.name || !known.is_none_or(is_newer) {
                continue;
            }
            actions.push(MemberAction::SendHeartbeat(identity.ip));
            let peer = Peer {
                readiness: Readiness::Starting,
                reaches_store: false,
                configuration_version: 0,
                replicas_revision: 0,
                heard_ms: None,
                introduced_ms: now_ms,
                tried_ms: now_ms,
                state: PeerState::Unheard,
                over: known.map(|peer| peer.over_after(identity.incarnation)).unwrap_or_default(),
                loss_word: None,
                identity,
            };
            self.peers.insert(peer.identity.name.clone(), peer);
        }
        actions
    }

    /// Sends what is due and notes who has gone silent.
    pub fn tick(&mut self, now_ms: Millis) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        self.forgive_own_pause(now_ms);
        self.now_ms = now_ms;
        self.started_ms.get_or_insert(now_ms);
        self.note_silence(now_ms, &mut actions);
        self.try_seeds(now_ms, &mut actions);
        let is_due = self.sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + self.period_ms());
        if !is_due && !self.is_urgent {
            return actions;
        }
        let is_to_all = std::mem::take(&mut self.is_urgent) || !self.is_large();
        self.sent_ms = Some(now_ms);
        self.rounds += 1;
        for (peer, place) in self.peers.values_mut().zip(self.rounds..) {
            let is_silent = matches!(peer.state, PeerState::Lost | PeerState::Unheard);
            if is_silent && now_ms < peer.tried_ms + RETRY_LOST_MS {
                continue;
            }
            let is_far = peer.identity.data_centre != self.own.data_centre;
            if is_far && !is_to_all && !place.is_multiple_of(FAR_EVERY) {
                continue;
            }
            peer.tried_ms = now_ms;
            actions.push(MemberAction::SendHeartbeat(peer.identity.ip));
        }
        actions
    }

    /// Returns whether daemons of other data centres get fewer heartbeats.
    fn is_large(&self) -> bool {
        self.peers.len() >= SMALL_FLEET
    }

    /// Returns whether this daemon tells a new one of all others. In a large fleet the list is long,
    /// and all daemons hear of a new one at about the same time.
    fn is_teller_of_members(&self, newcomer: &DaemonName) -> bool {
        if !self.is_large() || self.is_seed {
            return true;
        }
        let others = self.alive().map(|peer| &peer.identity.name).filter(|name| *name != newcomer);
        rendezvous::is_among_heaviest(newcomer.as_str(), &self.own.name, others, TELLERS)
    }

    /// Returns whom this daemon tells that another one is lost: those far away, who hear it less
    /// often, if this is one of the tellers of the lost one's data centre.
    pub fn to_tell_of_loss(&self, name: &DaemonName) -> Vec<IpAddr> {
        let own = &self.own;
        let is_near =
            self.peers.get(name).is_some_and(|peer| peer.identity.data_centre == own.data_centre);
        if !is_near || !self.is_large() {
            return Vec::new();
        }
        let near = self.alive().filter(|peer| peer.identity.data_centre == own.data_centre);
        let near = near.map(|peer| &peer.identity.name);
        if !rendezvous::is_among_heaviest(name.as_str(), &own.name, near, TELLERS) {
            return Vec::new();
        }
        let far = self.alive().filter(|peer| peer.identity.data_centre != own.data_centre);
        far.map(|peer| peer.identity.ip).collect()
    }

    /// Takes the word of a daemon near it that a daemon is lost; its next heartbeat ends that.
    ///
    /// Two have to say so: one may only be cut off from it.
    pub fn told_lost(
        &mut self,
        now_ms: Millis,
        teller: &DaemonName,
        lost: &LostDaemon,
    ) -> Vec<MemberAction> {
        let Some(peer) = self.peers.get_mut(&lost.name) else { return Vec::new() };
        let silent_ms = now_ms.saturating_sub(peer.heard_ms.unwrap_or(peer.introduced_ms));
        let is_same = peer.identity.incarnation == lost.incarnation;
        if !is_same || silent_ms < MIN_PERIOD_MS || peer.state == PeerState::Lost {
            return Vec::new();
        }
        let word = LossWord { teller: teller.clone(), at_ms: now_ms };
        let before = peer.loss_word.replace(word);
        let is_second = before
            .is_some_and(|word| word.teller != *teller && now_ms < word.at_ms + LOST_AFTER_MS);
        if !is_second {
            return Vec::new();
        }
        peer.state = PeerState::Lost;
        vec![changed(&lost.name, PeerState::Lost, silent_ms), MemberAction::Lost(lost.name.clone())]
    }

    /// Returns the known peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns one peer.
    pub fn peer(&self, name: &DaemonName) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns the peers that were heard a moment ago.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.state == PeerState::Alive)
    }

    /// Returns the living daemons that take work, this one included if it does.
    pub fn working(&self) -> Vec<&Identity> {
        let own = (self.own_readiness == Readiness::Ready).then_some(&self.own);
        let others = self.alive().filter(|peer| peer.readiness == Readiness::Ready);
        own.into_iter().chain(others.map(|peer| &peer.identity)).collect()
    }

    /// Returns whether this daemon has heard of others and hears none of them now.
    pub fn is_isolated(&self) -> bool {
        let has_heard = self.peers.values().any(|peer| peer.heard_ms.is_some());
        has_heard && self.alive().next().is_none()
    }

    /// Replaces the addresses that are asked first.
    pub fn set_seeds(&mut self, seeds: Vec<IpAddr>) {
        self.is_seed = seeds.contains(&self.own.ip);
        self.seeds = seeds.into_iter().filter(|ip| *ip != self.own.ip).collect();
    }

    /// Returns whether a daemon is known to live.
    pub fn is_alive(&self, name: &DaemonName) -> bool {
        *name == self.own.name
            || self.peers.get(name).is_some_and(|peer| peer.state == PeerState::Alive)
    }

    /// Returns whether work of this life of a daemon must be taken over.
    pub fn is_gone(&self, name: &DaemonName, incarnation: u64) -> bool {
        if *name == self.own.name {
            return incarnation != self.own.incarnation;
        }
        match self.peers.get(name) {
            Some(peer) => {
                peer.identity.incarnation > incarnation
                    || peer.over.contains(&incarnation)
                    || peer.state == PeerState::Lost
            }
            None => self.is_settled(),
        }
    }

    /// Returns whether this daemon has had the time to hear who lives.
    pub fn is_settled(&self) -> bool {
        self.started_ms.is_some_and(|started_ms| self.now_ms >= started_ms + SETTLE_MS)
    }

    /// Returns all identities, this daemon's own included.
    pub fn identities(&self) -> Vec<Identity> {
        let others = self.peers.values().filter(|peer| peer.state != PeerState::Lost);
        std::iter::once(&self.own).chain(others.map(|peer| &peer.identity)).cloned().collect()
    }

    /// Returns the data centre of this daemon.
    pub fn data_centre(&self) -> &DataCentre {
        &self.own.data_centre
    }

    /// Counts no silence for a time in which this daemon itself did not run.
    fn forgive_own_pause(&mut self, now_ms: Millis) {
        let paused_ms = now_ms.saturating_sub(self.now_ms);
        if self.started_ms.is_none() || paused_ms < OWN_PAUSE_MS {
            return;
        }
        for peer in self.peers.values_mut() {
            let since_ms = peer.heard_ms.as_mut().unwrap_or(&mut peer.introduced_ms);
            *since_ms = (*since_ms + paused_ms).min(now_ms);
        }
    }

    fn note_silence(&mut self, now_ms: Millis, actions: &mut Vec<MemberAction>) {
        // Others may count some daemons more and send this one fewer heartbeats already.
        let is_large = self.peers.len() + UNSURE_SIZE >= SMALL_FLEET;
        let period_ms = self.period_ms();
        for (name, peer) in &mut self.peers {
            let is_far = is_large && peer.identity.data_centre != self.own.data_centre;
            let suspect_ms = period_ms * if is_far { FAR_SUSPECT_PERIODS } else { SUSPECT_PERIODS };
            let since_ms = peer.heard_ms.unwrap_or(peer.introduced_ms);
            let silent_ms = now_ms.saturating_sub(since_ms);
            let state = match peer.state {
                _ if silent_ms >= LOST_AFTER_MS.max(suspect_ms) => PeerState::Lost,
                PeerState::Alive if silent_ms >= suspect_ms => PeerState::Suspect,
                state => state,
            };
            if state == peer.state {
                continue;
            }
            peer.state = state;
            actions.push(changed(name, state, silent_ms));
            if state == PeerState::Lost {
                actions.push(MemberAction::Lost(name.clone()));
            }
        }
        self.peers.retain(|_, peer| {
            let since_ms = peer.heard_ms.unwrap_or(peer.introduced_ms);
            now_ms.saturating_sub(since_ms) < FORGET_AFTER_MS
        });
    }

    fn try_seeds(&mut self, now_ms: Millis, actions: &mut Vec<MemberAction>) {
        let is_due = self.seeds_tried_ms.is_none_or(|tried_ms| now_ms >= tried_ms + RETRY_LOST_MS);
        if !is_due {
            return;
        }
        self.seeds_tried_ms = Some(now_ms);
        let is_known = |ip: &IpAddr| self.peers.values().any(|peer| peer.identity.ip == *ip);
        let unknown = self.seeds.iter().filter(|ip| !is_known(ip));
        actions.extend(unknown.map(|ip| MemberAction::SendHeartbeat(*ip)));
    }
}

fn changed(name: &DaemonName, state: PeerState, silent_ms: Millis) -> MemberAction {
    MemberAction::Changed { name: name.clone(), state: state.as_str(), silent_ms }
}
