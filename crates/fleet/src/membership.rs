//! Which daemons are live, as a pure core: leases seen in the object API and heartbeats of peers.
//!
//! A lease has lapsed when its version has not changed for the lease time on the reader's own
//! clock, so no two clocks are ever compared.

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

/// What a daemon writes into its lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DaemonInfo {
    /// The daemon.
    pub daemon: DaemonName,
    /// Differs at every start of the daemon.
    pub incarnation: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Whether callers connect with TLS.
    pub callers_tls: bool,
    /// Where other daemons connect.
    pub links_address: SocketAddr,
}

/// One lease in a list answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSeen {
    /// The daemon.
    pub daemon: DaemonName,
    /// The incarnation, which is part of the lease's key.
    pub incarnation: String,
    /// The lease's version, which changes with each renewal.
    pub version: Version,
    /// Whether the daemon is stopping.
    pub leaving: bool,
}

/// The times that decide over liveness.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a lease lasts.
    pub lease_ms: Millis,
    /// How long a probed neighbour may be silent.
    pub suspect_after_ms: Millis,
}

/// What the core is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A whole list of the leases was read.
    Listed {
        /// When the list was asked for.
        began_at_ms: Millis,
        /// The leases.
        leases: Vec<LeaseSeen>,
    },
    /// A lease's content was read.
    InfoRead(DaemonInfo),
    /// A probed neighbour answered, or a peer probed this daemon.
    Heard {
        /// The peer.
        peer: DaemonName,
        /// What it said.
        heartbeat: Heartbeat,
    },
    /// A probed neighbour did not answer.
    Missed {
        /// The peer.
        peer: DaemonName,
    },
    /// Time has passed.
    Tick,
}

/// What the adapter has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the content of a lease.
    ReadInfo {
        /// The daemon.
        daemon: DaemonName,
        /// Its incarnation.
        incarnation: String,
    },
    /// The set of live daemons, or of suspects, has changed.
    ViewChanged,
    /// Remove the lease of a daemon that is long gone.
    RemoveLease {
        /// The daemon.
        daemon: DaemonName,
        /// Its incarnation.
        incarnation: String,
        /// The version that was seen last.
        version: Version,
    },
}

/// One known daemon.
#[derive(Clone, Debug)]
struct Member {
    info: Option<DaemonInfo>,
    incarnation: String,
    version: Version,
    renewed_at_ms: Millis,
    heard_at_ms: Option<Millis>,
    missed_since_ms: Option<Millis>,
    in_force: u64,
    is_leaving: bool,
    was_live: bool,
    was_suspect: bool,
}

/// What is known of one daemon, for status and decisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The daemon's own words.
    pub info: DaemonInfo,
    /// Whether it probably does not answer.
    pub suspect: bool,
    /// Whether it has missed a heartbeat since it was last heard.
    pub doubted: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// The number in force there when it was last heard.
    pub in_force: u64,
    /// How long ago it was heard, absent if never.
    pub heard_ago_ms: Option<Millis>,
}

/// What is known of the start of a daemon that owns a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerState {
    /// It holds its lease and answers.
    Alive,
    /// It has no lease, a lapsed one, or does not answer.
    Lost,
    /// No list of the leases is late enough to tell.
    Unknown,
}

/// After how many lease times a dead daemon's lease is removed.
const REMOVE_AFTER_LEASES: u64 = 4;

/// The membership core of one daemon.
pub struct Membership {
    own: DaemonInfo,
    timing: Timing,
    members: BTreeMap<DaemonName, Member>,
    list_began_at_ms: Option<Millis>,
}

impl Membership {
    /// Creates a core that knows only its own daemon.
    pub fn new(own: DaemonInfo, timing: Timing) -> Self {
        Self { own, timing, members: BTreeMap::new(), list_began_at_ms: None }
    }

    /// Takes one event and returns what to do.
    pub fn step(&mut self, now_ms: Millis, event: Event) -> Vec<Action> {
        let mut actions = match event {
            Event::Listed { began_at_ms, leases } => {
                self.list_began_at_ms = Some(began_at_ms);
                self.on_listed(now_ms, leases)
            }
            Event::InfoRead(info) => self.on_info(info),
            Event::Heard { peer, heartbeat } => self.on_heard(now_ms, &peer, &heartbeat),
            Event::Missed { peer } => self.on_missed(now_ms, &peer),
            Event::Tick => Vec::new(),
        };
        if self.refresh(now_ms) {
            actions.push(Action::ViewChanged);
        }
        actions
    }

    /// Returns the other daemons that are live, leaving ones included.
    pub fn peers(&self, now_ms: Millis) -> Vec<MemberStatus> {
        self.members
            .values()
            .filter(|member| self.is_live(member, now_ms))
            .filter_map(|member| self.status(member, now_ms))
            .collect()
    }

    /// Finds a live peer by name.
    pub fn peer(&self, now_ms: Millis, name: &DaemonName) -> Option<DaemonInfo> {
        let member = self.members.get(name).filter(|member| self.is_live(member, now_ms))?;
        member.info.clone()
    }

    /// Returns the daemons among which ownership is decided, this one included unless it leaves.
    pub fn owners(&self, now_ms: Millis, own_is_leaving: bool) -> Vec<DaemonName> {
        let peers = self
            .members
            .iter()
            .filter(|(_, member)| self.is_live(member, now_ms) && !member.is_leaving)
            .filter(|(_, member)| !is_suspect(member, now_ms, self.timing))
            .map(|(name, _)| name.clone());
        let own = (!own_is_leaving).then(|| self.own.daemon.clone());
        peers.chain(own).collect()
    }

    /// Returns whether a start of a daemon, first seen as an owner at `seen_at_ms`, still runs.
    ///
    /// Only a list that was asked for after the owner was seen can show that it has no lease, and
    /// only a list can show that a lease was not renewed.
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
        let is_listed_since = self.list_began_at_ms.is_some_and(|began_ms| began_ms > seen_at_ms);
        let absent = if is_listed_since { OwnerState::Lost } else { OwnerState::Unknown };
        let Some(member) = self.members.get(daemon) else {
            return absent;
        };
        // Incarnations of later starts sort after earlier ones.
        match member.incarnation.as_str().cmp(incarnation) {
            Ordering::Greater => return OwnerState::Lost,
            Ordering::Less => return absent,
            Ordering::Equal => {}
        }
        let has_lapsed = self
            .list_began_at_ms
            .is_some_and(|began_ms| began_ms >= member.renewed_at_ms + self.timing.lease_ms);
        if has_lapsed || is_suspect(member, now_ms, self.timing) {
            OwnerState::Lost
        } else {
            OwnerState::Alive
        }
    }

    /// Returns the neighbours that this daemon probes: the next ones on a ring of hashed names.
    pub fn neighbours(&self, now_ms: Millis, count: usize) -> Vec<DaemonInfo> {
        let place = |daemon: &DaemonName| rendezvous::weight("ring", daemon.as_str());
        let own_place = place(&self.own.daemon);
        let mut peers = self.peers(now_ms);
        peers.sort_by_key(|peer| place(&peer.info.daemon).wrapping_sub(own_place));
        peers.into_iter().take(count).map(|peer| peer.info).collect()
    }

    fn on_listed(&mut self, now_ms: Millis, leases: Vec<LeaseSeen>) -> Vec<Action> {
        let mut actions = Vec::new();
        let listed: Vec<DaemonName> = leases.iter().map(|lease| lease.daemon.clone()).collect();
        for lease in newest_incarnations(leases) {
            if lease.daemon == self.own.daemon {
                continue;
            }
            self.on_lease(now_ms, lease, &mut actions);
        }
        // A lease that was taken back ends the membership at once.
        self.members.retain(|daemon, _| listed.contains(daemon));
        actions.extend(self.removals(now_ms));
        actions
    }

    fn on_lease(&mut self, now_ms: Millis, lease: LeaseSeen, actions: &mut Vec<Action>) {
        let known = self.members.get_mut(&lease.daemon);
        if let Some(member) = known.filter(|member| member.incarnation == lease.incarnation) {
            if member.version != lease.version {
                member.version = lease.version;
                member.renewed_at_ms = now_ms;
            }
            member.is_leaving |= lease.leaving;
            if member.info.is_none() {
                actions.push(read_info(&lease));
            }
            return;
        }
        actions.push(read_info(&lease));
        let member = Member {
            info: None,
            incarnation: lease.incarnation,
            version: lease.version,
            renewed_at_ms: now_ms,
            heard_at_ms: None,
            missed_since_ms: None,
            in_force: 0,
            is_leaving: lease.leaving,
            was_live: false,
            was_suspect: false,
        };
        self.members.insert(lease.daemon, member);
    }

    fn on_info(&mut self, info: DaemonInfo) -> Vec<Action> {
        if let Some(member) = self.members.get_mut(&info.daemon)
            && member.incarnation == info.incarnation
        {
            member.info = Some(info);
        }
        Vec::new()
    }

    fn on_heard(
        &mut self,
        now_ms: Millis,
        peer: &DaemonName,
        heartbeat: &Heartbeat,
    ) -> Vec<Action> {
        let known = self.members.get_mut(peer);
        // Late words of an earlier start say nothing of this one.
        if let Some(member) = known.filter(|known| known.incarnation == heartbeat.incarnation) {
            member.heard_at_ms = Some(now_ms);
            member.missed_since_ms = None;
            member.in_force = member.in_force.max(heartbeat.in_force);
            member.is_leaving |= heartbeat.leaving;
        }
        Vec::new()
    }

    fn on_missed(&mut self, now_ms: Millis, peer: &DaemonName) -> Vec<Action> {
        if let Some(member) = self.members.get_mut(peer) {
            member.missed_since_ms.get_or_insert(now_ms);
        }
        Vec::new()
    }

    fn refresh(&mut self, now_ms: Millis) -> bool {
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

    fn removals(&self, now_ms: Millis) -> Vec<Action> {
        let remove_after_ms = REMOVE_AFTER_LEASES * self.timing.lease_ms;
        let owners = self.owners(now_ms, false);
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
            suspect: is_suspect(member, now_ms, self.timing),
            doubted: member.missed_since_ms.is_some(),
            leaving: member.is_leaving,
            in_force: member.in_force,
            heard_ago_ms: member.heard_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
        })
    }
}

fn is_suspect(member: &Member, now_ms: Millis, timing: Timing) -> bool {
    member.missed_since_ms.is_some_and(|since_ms| now_ms >= since_ms + timing.suspect_after_ms)
}

fn read_info(lease: &LeaseSeen) -> Action {
    Action::ReadInfo { daemon: lease.daemon.clone(), incarnation: lease.incarnation.clone() }
}

/// Keeps, for each daemon, the lease with the highest version; a leaving daemon stays leaving.
fn newest_incarnations(leases: Vec<LeaseSeen>) -> Vec<LeaseSeen> {
    let mut newest: BTreeMap<DaemonName, LeaseSeen> = BTreeMap::new();
    for lease in leases {
        let is_newer = newest.get(&lease.daemon).is_none_or(|known| known.version < lease.version);
        if is_newer {
            newest.insert(lease.daemon.clone(), lease);
        }
    }
    newest.into_values().collect()
}
