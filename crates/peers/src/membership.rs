//! Membership and failure detection, as a pure state machine over heartbeats.

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
use crate::peer::LossReport;
use crate::peer::Peer;
use crate::peer::PeerState;

/// The shortest time between two heartbeats to one daemon.
const MIN_HEARTBEAT_PERIOD_MS: Millis = 200;
/// The longest time between two heartbeats to one daemon.
const MAX_HEARTBEAT_PERIOD_MS: Millis = 1_000;
/// The growth of the period with each daemon, which keeps the cost per daemon constant.
const PERIOD_PER_DAEMON_MS: Millis = 6;
/// The number of peers from which a fleet is large: daemons of other data centres then get fewer
/// heartbeats, since traffic between data centres costs most. All but the largest deployments
/// are smaller.
const LARGE_FLEET_PEERS: usize = 96;
/// By how much the peer counts of two daemons may differ while daemons start and stop.
const PEER_COUNT_TOLERANCE: usize = 6;
/// In a large fleet, the number of periods between two heartbeats to a remote daemon, that is, one
/// of another data centre.
const REMOTE_HEARTBEAT_PERIODS: u64 = 4;
/// In a large fleet, the periods of silence after which a remote daemon is suspected; two of
/// its heartbeats may be lost. Daemons of its own data centre report its loss earlier.
const REMOTE_SUSPECT_PERIODS: Millis = 10;
/// In a large fleet, the number of daemons that send a new one the member list, and of those in a
/// data centre that report a loss there.
const REPORTERS: usize = 2;
/// The heartbeats in a row that may be lost before a daemon is suspected and left out of decisions.
const SUSPECT_PERIODS: Millis = 4;
/// The silence after which a daemon counts as lost and its jobs are taken over.
const LOST_AFTER_MS: Millis = 2_000;
/// The silence after which a lost daemon is removed from the membership.
const FORGET_AFTER_MS: Millis = 60_000;
/// How long after its start a daemon takes over no work of daemons from which it has received no
/// heartbeat yet.
const SETTLE_MS: Millis = 1_500;
/// The time between two ticks, normally 50 ms, from which on this daemon counts as paused itself.
const OWN_PAUSE_THRESHOLD_MS: Millis = 400;
/// The time between two heartbeats to a silent daemon or an unknown seed.
const SILENT_RETRY_MS: Millis = 1_000;

/// An action that the daemon must take, or a change to which it must react.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a heartbeat to this address.
    SendHeartbeat(IpAddr),
    /// Send the list of known daemons to this address.
    SendMembers(IpAddr),
    /// The state of a daemon changed.
    StateChanged {
        /// The name of the daemon.
        name: DaemonName,
        /// The state as it appears in logs.
        state: &'static str,
        /// How long the daemon has been silent.
        silent_ms: Millis,
    },
    /// A daemon was restarted; what its previous incarnation held in memory is gone.
    Restarted(DaemonName),
    /// A daemon counts as lost.
    Lost(DaemonName),
}

/// The daemons that one daemon knows, with their states.
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
    seeds_contacted_ms: Option<Millis>,
    is_expedited: bool,
}

impl Membership {
    /// Creates the membership of a daemon that knows only the addresses of seeds.
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
            seeds_contacted_ms: None,
            is_expedited: false,
        }
    }

    /// Returns the identity of this daemon.
    pub fn own(&self) -> &Identity {
        &self.own
    }

    /// Returns whether this daemon accepts new work.
    pub fn own_readiness(&self) -> Readiness {
        self.own_readiness
    }

    /// Sets whether this daemon accepts new work; a change makes the next tick send heartbeats.
    pub fn set_own_readiness(&mut self, readiness: Readiness) {
        self.is_expedited |= self.own_readiness != readiness;
        self.own_readiness = readiness;
    }

    /// Makes the next tick send a heartbeat to every peer without waiting for the period.
    pub fn expedite_heartbeats(&mut self) {
        self.is_expedited = true;
    }

    /// Returns the time between two heartbeats to one daemon.
    pub fn period_ms(&self) -> Millis {
        let daemons = self.peers.len() as Millis + 1;
        (daemons * PERIOD_PER_DAEMON_MS).clamp(MIN_HEARTBEAT_PERIOD_MS, MAX_HEARTBEAT_PERIOD_MS)
    }

    /// Returns the longest time between two heartbeats from one daemon that runs.
    pub fn longest_period_ms(&self) -> Millis {
        let periods = if self.is_large_fleet() { REMOTE_HEARTBEAT_PERIODS } else { 1 };
        self.period_ms() * periods
    }

    /// Handles a heartbeat of another daemon.
    pub fn handle_heartbeat(&mut self, now_ms: Millis, heartbeat: &Heartbeat) -> Vec<MemberAction> {
        let identity = &heartbeat.identity;
        if identity.name == self.own.name {
            return Vec::new();
        }
        let mut actions = Vec::new();
        let known = self.peers.get(&identity.name);
        if known.is_some_and(|peer| !peer.is_acceptable_incarnation(identity.incarnation)) {
            return actions;
        }
        let is_new = known.is_none_or(|peer| peer.last_heartbeat_at_ms.is_none());
        let is_restarted =
            known.is_some_and(|peer| peer.identity.incarnation != identity.incarnation);
        if is_restarted {
            actions.push(MemberAction::Restarted(identity.name.clone()));
        }
        let old_state = known.map_or(PeerState::Unheard, |peer| peer.state);
        let first_known_ms = known.map_or(now_ms, |peer| peer.first_known_ms);
        let ended_incarnations = match known {
            Some(peer) if is_restarted => peer.ended_incarnations_after(identity.incarnation),
            Some(peer) => peer.ended_incarnations.clone(),
            None => BTreeSet::new(),
        };
        self.peers.insert(
            identity.name.clone(),
            Peer {
                identity: identity.clone(),
                readiness: heartbeat.readiness,
                reaches_store: heartbeat.reaches_store,
                configuration_version: heartbeat.configuration_version,
                replicas_revision: heartbeat.replicas_revision,
                last_heartbeat_at_ms: Some(now_ms),
                first_known_ms,
                last_sent_ms: now_ms,
                state: PeerState::Alive,
                ended_incarnations,
                loss_report: None,
            },
        );
        if (is_new || is_restarted) && self.is_member_list_sender(&identity.name) {
            actions.push(MemberAction::SendMembers(identity.ip));
        }
        if old_state != PeerState::Alive {
            actions.push(MemberAction::SendHeartbeat(identity.ip));
            actions.push(state_changed(&identity.name, PeerState::Alive, 0));
        }
        actions
    }

    /// Adds the daemons that a peer or the store names.
    pub fn add_members(&mut self, now_ms: Millis, members: Vec<Identity>) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        for identity in members {
            let known = self.peers.get(&identity.name);
            let is_newer = |peer: &Peer| {
                peer.identity.incarnation < identity.incarnation
                    && !peer.ended_incarnations.contains(&identity.incarnation)
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
                last_heartbeat_at_ms: None,
                first_known_ms: now_ms,
                last_sent_ms: now_ms,
                state: PeerState::Unheard,
                ended_incarnations: known
                    .map(|peer| peer.ended_incarnations_after(identity.incarnation))
                    .unwrap_or_default(),
                loss_report: None,
                identity,
            };
            self.peers.insert(peer.identity.name.clone(), peer);
        }
        actions
    }

    /// Returns the heartbeats that are due and the changes in state of silent daemons.
    pub fn tick(&mut self, now_ms: Millis) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        self.exclude_own_pause(now_ms);
        self.now_ms = now_ms;
        self.started_ms.get_or_insert(now_ms);
        self.update_states(now_ms, &mut actions);
        self.contact_seeds(now_ms, &mut actions);
        let is_due = self.sent_ms.is_none_or(|sent_ms| now_ms >= sent_ms + self.period_ms());
        if !is_due && !self.is_expedited {
            return actions;
        }
        let is_for_all = std::mem::take(&mut self.is_expedited) || !self.is_large_fleet();
        self.sent_ms = Some(now_ms);
        self.rounds += 1;
        for (peer, turn) in self.peers.values_mut().zip(self.rounds..) {
            let is_silent = matches!(peer.state, PeerState::Lost | PeerState::Unheard);
            if is_silent && now_ms < peer.last_sent_ms + SILENT_RETRY_MS {
                continue;
            }
            let is_remote = peer.identity.data_centre != self.own.data_centre;
            if is_remote && !is_for_all && !turn.is_multiple_of(REMOTE_HEARTBEAT_PERIODS) {
                continue;
            }
            peer.last_sent_ms = now_ms;
            actions.push(MemberAction::SendHeartbeat(peer.identity.ip));
        }
        actions
    }

    /// Returns whether the fleet is so large that remote daemons get fewer heartbeats.
    fn is_large_fleet(&self) -> bool {
        self.peers.len() >= LARGE_FLEET_PEERS
    }

    /// Returns whether this daemon sends the member list to a new one. In a large fleet only a few
    /// do: the list is long, and all daemons learn of a new one at about the same time.
    fn is_member_list_sender(&self, new_daemon: &DaemonName) -> bool {
        if !self.is_large_fleet() || self.is_seed {
            return true;
        }
        let others =
            self.alive().map(|peer| &peer.identity.name).filter(|name| *name != new_daemon);
        rendezvous::is_among_highest(new_daemon.as_str(), &self.own.name, others, REPORTERS)
    }

    /// Returns the addresses to which this daemon reports that another one is lost: in a large
    /// fleet those of the remote daemons, which get fewer heartbeats, if this daemon is one of the
    /// reporters of the lost one's data centre.
    pub fn loss_report_targets(&self, name: &DaemonName) -> Vec<IpAddr> {
        let own = &self.own;
        let is_same_data_centre =
            self.peers.get(name).is_some_and(|peer| peer.identity.data_centre == own.data_centre);
        if !is_same_data_centre || !self.is_large_fleet() {
            return Vec::new();
        }
        let local = self.alive().filter(|peer| peer.identity.data_centre == own.data_centre);
        let local = local.map(|peer| &peer.identity.name);
        if !rendezvous::is_among_highest(name.as_str(), &own.name, local, REPORTERS) {
            return Vec::new();
        }
        let remote = self.alive().filter(|peer| peer.identity.data_centre != own.data_centre);
        remote.map(|peer| peer.identity.ip).collect()
    }

    /// Handles the report of another daemon that a daemon is lost.
    ///
    /// The daemon counts as lost, until its next heartbeat, once a second daemon reports it: a
    /// single reporter may itself be cut off from it.
    pub fn handle_loss_report(
        &mut self,
        now_ms: Millis,
        reporter: &DaemonName,
        lost: &LostDaemon,
    ) -> Vec<MemberAction> {
        let Some(peer) = self.peers.get_mut(&lost.name) else { return Vec::new() };
        let silent_ms =
            now_ms.saturating_sub(peer.last_heartbeat_at_ms.unwrap_or(peer.first_known_ms));
        let is_same_incarnation = peer.identity.incarnation == lost.incarnation;
        if !is_same_incarnation
            || silent_ms < MIN_HEARTBEAT_PERIOD_MS
            || peer.state == PeerState::Lost
        {
            return Vec::new();
        }
        let report = LossReport { reporter: reporter.clone(), reported_ms: now_ms };
        let previous = peer.loss_report.replace(report);
        let is_second = previous.is_some_and(|previous| {
            previous.reporter != *reporter && now_ms < previous.reported_ms + LOST_AFTER_MS
        });
        if !is_second {
            return Vec::new();
        }
        peer.state = PeerState::Lost;
        vec![
            state_changed(&lost.name, PeerState::Lost, silent_ms),
            MemberAction::Lost(lost.name.clone()),
        ]
    }

    /// Returns the known peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns one peer.
    pub fn peer(&self, name: &DaemonName) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns the peers whose heartbeats arrive in time.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.state == PeerState::Alive)
    }

    /// Returns the live daemons that accept new work, this one included if it does.
    pub fn ready_daemons(&self) -> Vec<&Identity> {
        let own = (self.own_readiness == Readiness::Ready).then_some(&self.own);
        let others = self.alive().filter(|peer| peer.readiness == Readiness::Ready);
        own.into_iter().chain(others.map(|peer| &peer.identity)).collect()
    }

    /// Returns the daemons that are not known to be lost and do not accept work yet, this one included.
    pub fn starting_daemons(&self) -> Vec<&Identity> {
        let own = (self.own_readiness == Readiness::Starting).then_some(&self.own);
        let others = self.peers.values().filter(|peer| {
            peer.readiness == Readiness::Starting
                && matches!(peer.state, PeerState::Alive | PeerState::Unheard)
        });
        own.into_iter().chain(others.map(|peer| &peer.identity)).collect()
    }

    /// Returns whether this daemon has received heartbeats before and none of its peers is alive
    /// now.
    pub fn is_isolated(&self) -> bool {
        let has_received = self.peers.values().any(|peer| peer.last_heartbeat_at_ms.is_some());
        has_received && self.alive().next().is_none()
    }

    /// Replaces the addresses of the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<IpAddr>) {
        self.is_seed = seeds.contains(&self.own.ip);
        self.seeds = seeds.into_iter().filter(|ip| *ip != self.own.ip).collect();
    }

    /// Returns whether a daemon is known to be alive.
    pub fn is_alive(&self, name: &DaemonName) -> bool {
        *name == self.own.name
            || self.peers.get(name).is_some_and(|peer| peer.state == PeerState::Alive)
    }

    /// Returns whether an incarnation of a daemon has ended, so that its work must be taken over.
    pub fn has_incarnation_ended(&self, name: &DaemonName, incarnation: u64) -> bool {
        if *name == self.own.name {
            return incarnation != self.own.incarnation;
        }
        match self.peers.get(name) {
            Some(peer) => {
                peer.identity.incarnation > incarnation
                    || peer.ended_incarnations.contains(&incarnation)
                    || peer.state == PeerState::Lost
            }
            None => self.is_settled(),
        }
    }

    /// Returns whether this daemon has run for long enough to have received heartbeats of all
    /// others.
    pub fn is_settled(&self) -> bool {
        self.started_ms.is_some_and(|started_ms| self.now_ms >= started_ms + SETTLE_MS)
    }

    /// Returns the identities of all daemons that are not lost, this one included.
    pub fn identities(&self) -> Vec<Identity> {
        let others = self.peers.values().filter(|peer| peer.state != PeerState::Lost);
        std::iter::once(&self.own).chain(others.map(|peer| &peer.identity)).cloned().collect()
    }

    /// Returns the data centre of this daemon.
    pub fn data_centre(&self) -> &DataCentre {
        &self.own.data_centre
    }

    /// Excludes the time in which this daemon itself was paused from the silence of its peers.
    fn exclude_own_pause(&mut self, now_ms: Millis) {
        let paused_ms = now_ms.saturating_sub(self.now_ms);
        if self.started_ms.is_none() || paused_ms < OWN_PAUSE_THRESHOLD_MS {
            return;
        }
        for peer in self.peers.values_mut() {
            let since_ms = peer.last_heartbeat_at_ms.as_mut().unwrap_or(&mut peer.first_known_ms);
            *since_ms = (*since_ms + paused_ms).min(now_ms);
        }
    }

    fn update_states(&mut self, now_ms: Millis, actions: &mut Vec<MemberAction>) {
        // Others may already see a large fleet and send fewer heartbeats to this daemon.
        let may_be_large_fleet = self.peers.len() + PEER_COUNT_TOLERANCE >= LARGE_FLEET_PEERS;
        let period_ms = self.period_ms();
        for (name, peer) in &mut self.peers {
            let has_fewer_heartbeats =
                may_be_large_fleet && peer.identity.data_centre != self.own.data_centre;
            let suspect_ms = period_ms
                * if has_fewer_heartbeats { REMOTE_SUSPECT_PERIODS } else { SUSPECT_PERIODS };
            let since_ms = peer.last_heartbeat_at_ms.unwrap_or(peer.first_known_ms);
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
            actions.push(state_changed(name, state, silent_ms));
            if state == PeerState::Lost {
                actions.push(MemberAction::Lost(name.clone()));
            }
        }
        self.peers.retain(|_, peer| {
            let since_ms = peer.last_heartbeat_at_ms.unwrap_or(peer.first_known_ms);
            now_ms.saturating_sub(since_ms) < FORGET_AFTER_MS
        });
    }

    fn contact_seeds(&mut self, now_ms: Millis, actions: &mut Vec<MemberAction>) {
        let is_due =
            self.seeds_contacted_ms.is_none_or(|sent_ms| now_ms >= sent_ms + SILENT_RETRY_MS);
        if !is_due {
            return;
        }
        self.seeds_contacted_ms = Some(now_ms);
        let is_known = |ip: &IpAddr| self.peers.values().any(|peer| peer.identity.ip == *ip);
        let unknown = self.seeds.iter().filter(|ip| !is_known(ip));
        actions.extend(unknown.map(|ip| MemberAction::SendHeartbeat(*ip)));
    }
}

fn state_changed(name: &DaemonName, state: PeerState, silent_ms: Millis) -> MemberAction {
    MemberAction::StateChanged { name: name.clone(), state: state.as_str(), silent_ms }
}
