//! Liveness of daemons, as a pure state machine over leases in the object API and heartbeats.
//!
//! A lease has expired when its version has not changed for the lease time on the reader's own
//! clock, so clocks of different daemons are never compared.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wire::DaemonName;
use wire::DataCentre;
use wire::Millis;
use wire::Version;
use wire::link::Heartbeat;
use wire::rendezvous;

/// The content of a daemon's lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DaemonInfo {
    /// The name of the daemon.
    pub daemon: DaemonName,
    /// The incarnation, new at each start of the daemon.
    pub incarnation: String,
    /// The data centre of the daemon.
    pub data_centre: DataCentre,
    /// The address for callers.
    pub callers_address: SocketAddr,
    /// Whether callers connect with TLS.
    pub callers_tls: bool,
    /// The address for links from other daemons.
    pub links_address: SocketAddr,
}

/// One lease in a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedLease {
    /// The name of the daemon.
    pub daemon: DaemonName,
    /// The incarnation, which is part of the lease's key.
    pub incarnation: String,
    /// The lease's version, which changes with each renewal.
    pub version: Version,
    /// Whether the daemon is stopping.
    pub is_leaving: bool,
}

/// The time limits of liveness.
#[derive(Clone, Copy, Debug)]
pub struct LivenessTiming {
    /// The time after which a lease that is not renewed expires.
    pub lease_ms: Millis,
    /// The time from a peer's first missed heartbeat until it is suspected.
    pub suspect_after_ms: Millis,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// All leases were listed.
    LeasesListed {
        /// When the listing was requested.
        began_at_ms: Millis,
        /// The leases.
        leases: Vec<ListedLease>,
    },
    /// The content of a lease was read.
    LeaseRead(DaemonInfo),
    /// A peer answered a probe, probed this daemon or announced that it leaves.
    HeartbeatReceived {
        /// The peer.
        peer: DaemonName,
        /// The heartbeat that it sent.
        heartbeat: Heartbeat,
    },
    /// A peer did not answer a probe from this daemon or another one.
    HeartbeatMissed {
        /// The peer.
        peer: DaemonName,
    },
    /// Time has passed; nothing else has happened.
    Tick,
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the content of a lease.
    ReadLease {
        /// The daemon that holds the lease.
        daemon: DaemonName,
        /// The incarnation of the daemon.
        incarnation: String,
    },
    /// The set of live daemons, or of suspects, has changed.
    ViewChanged,
    /// Remove a lease that expired long ago.
    RemoveLease {
        /// The daemon that held the lease.
        daemon: DaemonName,
        /// The incarnation of the daemon.
        incarnation: String,
        /// The version of the lease when it was last listed.
        version: Version,
    },
}

/// The state of one other daemon.
#[derive(Clone, Debug)]
struct Member {
    info: Option<DaemonInfo>,
    incarnation: String,
    version: Version,
    renewed_at_ms: Millis,
    last_heartbeat_at_ms: Option<Millis>,
    missed_since_ms: Option<Millis>,
    number_in_force: u64,
    is_leaving: bool,
    was_live: bool,
    was_suspect: bool,
}

/// The status of one other daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The content of the daemon's lease.
    pub info: DaemonInfo,
    /// Whether the daemon has been silent for longer than the suspicion time.
    #[serde(rename = "suspect")]
    pub is_suspect: bool,
    /// Whether the daemon has missed a heartbeat since its last one.
    #[serde(rename = "doubted")]
    pub has_missed_heartbeat: bool,
    /// Whether the daemon is stopping.
    #[serde(rename = "leaving")]
    pub is_leaving: bool,
    /// The number of the bundle in force there, as of its last heartbeat.
    pub in_force: u64,
    /// The time since its last heartbeat; `None` if there was none.
    #[serde(rename = "heard_ago_ms")]
    pub last_heartbeat_age_ms: Option<Millis>,
}

/// Whether an incarnation of a daemon that owns jobs still runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerState {
    /// The incarnation holds its lease and is not suspected.
    Alive,
    /// The incarnation has no lease or an expired one, or is suspected.
    Lost,
    /// No listing of the leases is recent enough to decide.
    Unknown,
}

/// A lease is removed after this many lease times without a renewal.
const REMOVE_AFTER_LEASE_TIMES: u64 = 4;

/// The other daemons that one daemon knows, and their liveness.
pub struct Membership {
    own: DaemonInfo,
    timing: LivenessTiming,
    members: BTreeMap<DaemonName, Member>,
    list_began_at_ms: Option<Millis>,
}

impl Membership {
    /// Creates the membership of a daemon that knows no other one.
    pub fn new(own: DaemonInfo, timing: LivenessTiming) -> Self {
        Self { own, timing, members: BTreeMap::new(), list_began_at_ms: None }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn step(&mut self, now_ms: Millis, event: Event) -> Vec<Action> {
        let mut actions = match event {
            Event::LeasesListed { began_at_ms, leases } => {
                self.list_began_at_ms = Some(began_at_ms);
                self.on_leases_listed(now_ms, leases)
            }
            Event::LeaseRead(info) => self.on_lease_read(info),
            Event::HeartbeatReceived { peer, heartbeat } => {
                self.on_heartbeat(now_ms, &peer, &heartbeat)
            }
            Event::HeartbeatMissed { peer } => self.on_heartbeat_missed(now_ms, &peer),
            Event::Tick => Vec::new(),
        };
        if self.update_view(now_ms) {
            actions.push(Action::ViewChanged);
        }
        actions
    }

    /// Returns the other live daemons, including those that are leaving.
    pub fn peers(&self, now_ms: Millis) -> Vec<MemberStatus> {
        self.members
            .values()
            .filter(|member| self.is_live(member, now_ms))
            .filter_map(|member| self.status(member, now_ms))
            .collect()
    }

    /// Returns the live peer of this name.
    pub fn peer(&self, now_ms: Millis, name: &DaemonName) -> Option<DaemonInfo> {
        let member = self.members.get(name).filter(|member| self.is_live(member, now_ms))?;
        member.info.clone()
    }

    /// Returns the daemons that may own shards and lanes, this one included unless it is leaving.
    pub fn eligible_owners(&self, now_ms: Millis, own_is_leaving: bool) -> Vec<DaemonName> {
        let peers = self
            .members
            .iter()
            .filter(|(_, member)| self.is_live(member, now_ms) && !member.is_leaving)
            .filter(|(_, member)| !is_suspect(member, now_ms, self.timing))
            .map(|(name, _)| name.clone());
        let own = (!own_is_leaving).then(|| self.own.daemon.clone());
        peers.chain(own).collect()
    }

    /// Returns whether the incarnation of `daemon` that was first seen as an owner at `seen_at_ms`
    /// still runs.
    ///
    /// Only a listing requested after that time can prove that the owner has no lease, and only a
    /// listing can prove that its lease was not renewed.
    pub fn owner_state(
        &self,
        now_ms: Millis,
        seen_at_ms: Millis,
        daemon: &DaemonName,
        incarnation: &str,
    ) -> OwnerState {
        if *daemon == self.own.daemon {
            return OwnerState::Lost;
        }
        let has_later_listing = self.list_began_at_ms.is_some_and(|began_ms| began_ms > seen_at_ms);
        let absent = if has_later_listing { OwnerState::Lost } else { OwnerState::Unknown };
        let Some(member) = self.members.get(daemon) else {
            return absent;
        };
        // Later incarnations sort after earlier ones.
        match member.incarnation.as_str().cmp(incarnation) {
            Ordering::Greater => return OwnerState::Lost,
            Ordering::Less => return absent,
            Ordering::Equal => {}
        }
        let has_expired = self
            .list_began_at_ms
            .is_some_and(|began_ms| began_ms >= member.renewed_at_ms + self.timing.lease_ms);
        if has_expired || is_suspect(member, now_ms, self.timing) {
            OwnerState::Lost
        } else {
            OwnerState::Alive
        }
    }

    /// Returns the neighbours that this daemon probes: its successors on a ring of hashed names.
    pub fn neighbours(&self, now_ms: Millis, count: usize) -> Vec<DaemonInfo> {
        let ring_position = |daemon: &DaemonName| rendezvous::weight("ring", daemon.as_str());
        let own_position = ring_position(&self.own.daemon);
        let mut peers = self.peers(now_ms);
        peers.sort_by_key(|peer| ring_position(&peer.info.daemon).wrapping_sub(own_position));
        peers.into_iter().take(count).map(|peer| peer.info).collect()
    }

    fn on_leases_listed(&mut self, now_ms: Millis, leases: Vec<ListedLease>) -> Vec<Action> {
        let mut actions = Vec::new();
        let listed: Vec<DaemonName> = leases.iter().map(|lease| lease.daemon.clone()).collect();
        for lease in newest_leases(leases) {
            if lease.daemon == self.own.daemon {
                continue;
            }
            self.on_listed_lease(now_ms, lease, &mut actions);
        }
        // A daemon whose lease was removed stops being a member at once.
        self.members.retain(|daemon, _| listed.contains(daemon));
        actions.extend(self.expired_lease_removals(now_ms));
        actions
    }

    fn on_listed_lease(&mut self, now_ms: Millis, lease: ListedLease, actions: &mut Vec<Action>) {
        let known = self.members.get_mut(&lease.daemon);
        if let Some(member) = known.filter(|member| member.incarnation == lease.incarnation) {
            if member.version != lease.version {
                member.version = lease.version;
                member.renewed_at_ms = now_ms;
            }
            // A leaving daemon stays marked as leaving while its earlier lease is still listed.
            member.is_leaving |= lease.is_leaving;
            if member.info.is_none() {
                actions.push(read_lease(&lease));
            }
            return;
        }
        actions.push(read_lease(&lease));
        let member = Member {
            info: None,
            incarnation: lease.incarnation,
            version: lease.version,
            renewed_at_ms: now_ms,
            last_heartbeat_at_ms: None,
            missed_since_ms: None,
            number_in_force: 0,
            is_leaving: lease.is_leaving,
            was_live: false,
            was_suspect: false,
        };
        self.members.insert(lease.daemon, member);
    }

    fn on_lease_read(&mut self, info: DaemonInfo) -> Vec<Action> {
        if let Some(member) = self.members.get_mut(&info.daemon)
            && member.incarnation == info.incarnation
        {
            member.info = Some(info);
        }
        Vec::new()
    }

    fn on_heartbeat(
        &mut self,
        now_ms: Millis,
        peer: &DaemonName,
        heartbeat: &Heartbeat,
    ) -> Vec<Action> {
        let known = self.members.get_mut(peer);
        // A delayed heartbeat of an earlier incarnation says nothing about this one.
        if let Some(member) = known.filter(|known| known.incarnation == heartbeat.incarnation) {
            member.last_heartbeat_at_ms = Some(now_ms);
            member.missed_since_ms = None;
            member.number_in_force = member.number_in_force.max(heartbeat.in_force);
            member.is_leaving |= heartbeat.leaving;
        }
        Vec::new()
    }

    fn on_heartbeat_missed(&mut self, now_ms: Millis, peer: &DaemonName) -> Vec<Action> {
        if let Some(member) = self.members.get_mut(peer) {
            member.missed_since_ms.get_or_insert(now_ms);
        }
        Vec::new()
    }

    fn update_view(&mut self, now_ms: Millis) -> bool {
        let timing = self.timing;
        let mut has_changed = false;
        for member in self.members.values_mut() {
            let is_live = member.info.is_some() && now_ms < member.renewed_at_ms + timing.lease_ms;
            let is_suspect = is_suspect(member, now_ms, timing) || member.is_leaving;
            has_changed |= is_live != member.was_live || is_suspect != member.was_suspect;
            member.was_live = is_live;
            member.was_suspect = is_suspect;
        }
        has_changed
    }

    fn expired_lease_removals(&self, now_ms: Millis) -> Vec<Action> {
        let remove_after_ms = REMOVE_AFTER_LEASE_TIMES * self.timing.lease_ms;
        let owners = self.eligible_owners(now_ms, false);
        self.members
            .iter()
            .filter(|(_, member)| now_ms >= member.renewed_at_ms + remove_after_ms)
            .filter(|(name, _)| rendezvous::owner(name.as_str(), &owners) == Some(&self.own.daemon))
            .map(|(name, member)| Action::RemoveLease {
                daemon: name.clone(),
                incarnation: member.incarnation.clone(),
                version: member.version,
            })
            .collect()
    }

    fn is_live(&self, member: &Member, now_ms: Millis) -> bool {
        member.info.is_some() && now_ms < member.renewed_at_ms + self.timing.lease_ms
    }

    fn status(&self, member: &Member, now_ms: Millis) -> Option<MemberStatus> {
        Some(MemberStatus {
            info: member.info.clone()?,
            is_suspect: is_suspect(member, now_ms, self.timing),
            has_missed_heartbeat: member.missed_since_ms.is_some(),
            is_leaving: member.is_leaving,
            in_force: member.number_in_force,
            last_heartbeat_age_ms: member
                .last_heartbeat_at_ms
                .map(|at_ms| now_ms.saturating_sub(at_ms)),
        })
    }
}

fn is_suspect(member: &Member, now_ms: Millis, timing: LivenessTiming) -> bool {
    member.missed_since_ms.is_some_and(|since_ms| now_ms >= since_ms + timing.suspect_after_ms)
}

fn read_lease(lease: &ListedLease) -> Action {
    Action::ReadLease { daemon: lease.daemon.clone(), incarnation: lease.incarnation.clone() }
}

/// Returns, for each daemon, the lease with the highest version.
fn newest_leases(leases: Vec<ListedLease>) -> Vec<ListedLease> {
    let mut newest: BTreeMap<DaemonName, ListedLease> = BTreeMap::new();
    for lease in leases {
        let is_newer = newest.get(&lease.daemon).is_none_or(|known| known.version < lease.version);
        if is_newer {
            newest.insert(lease.daemon.clone(), lease);
        }
    }
    newest.into_values().collect()
}
