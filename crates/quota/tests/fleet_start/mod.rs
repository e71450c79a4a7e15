//! Discovery of daemons in a simulation, with the membership that daemons use: from seeds, from the
//! lists of peers and from the store's list.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::ops::Range;

use peers::Heartbeat;
use peers::Membership;
use peers::heartbeat::Identity;
use peers::heartbeat::Readiness;
use peers::membership::MemberAction;
use wire::DaemonName;
use wire::DataCentre;

/// The number of daemons whose addresses every daemon knows from its settings.
const SEEDS: usize = 3;
const DATA_CENTRES: usize = 3;
/// The share of a processor core of the daemons, in thousandths, in turn.
const CPU_MILLIS: [u32; 5] = [500, 120, 250, 300, 200];

/// How long after its start a daemon has the configuration, and has read the store's list.
#[derive(Clone)]
pub struct StartTimes {
    pub ready_ms: Range<u64>,
    pub listed_ms: Range<u64>,
}

/// What one daemon sends another about members.
#[derive(Clone)]
pub enum MemberMessage {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// The daemons that the sender knows.
    Members(Vec<Identity>),
}

/// The membership of one simulated daemon.
pub struct Discovery {
    membership: Membership,
    complete_from_ms: Option<u64>,
}

/// What a daemon knows of the others.
pub struct Members {
    pub known: Vec<DaemonName>,
    pub reachable: Vec<DaemonName>,
    pub candidates: Vec<DaemonName>,
    pub starting: Vec<DaemonName>,
    pub is_complete: bool,
}

/// Returns the identity of a daemon by its number.
pub fn identity(number: usize, name: &DaemonName, incarnation: u64) -> Identity {
    Identity {
        name: name.clone(),
        incarnation,
        ip: address(number),
        data_centre: DataCentre::from(format!("dc-{}", number % DATA_CENTRES)),
        ingress: None,
        control: None,
        cpu_millis: CPU_MILLIS[number % CPU_MILLIS.len()],
    }
}

/// Returns the number of the daemon with an address.
pub fn number_of(ip: IpAddr) -> usize {
    match ip {
        IpAddr::V4(ip) => (u32::from(ip) & 0xffff) as usize,
        IpAddr::V6(_) => unreachable!("addresses of the simulation are of version 4"),
    }
}

fn address(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + number as u32))
}

impl Discovery {
    pub fn new(own: Identity) -> Self {
        let seeds = (0..SEEDS).map(address).collect();
        Self { membership: Membership::new(own, seeds), complete_from_ms: None }
    }

    pub fn own(&self) -> &Identity {
        self.membership.own()
    }

    pub fn set_ready(&mut self) {
        self.membership.set_own_readiness(Readiness::Ready);
    }

    pub fn tick(&mut self, now_ms: u64) -> Vec<(usize, MemberMessage)> {
        let actions = self.membership.tick(now_ms);
        self.messages(actions)
    }

    pub fn receive(&mut self, now_ms: u64, message: MemberMessage) -> Vec<(usize, MemberMessage)> {
        match message {
            MemberMessage::Heartbeat(heartbeat) => {
                let actions = self.membership.handle_heartbeat(now_ms, &heartbeat);
                self.messages(actions)
            }
            MemberMessage::Members(members) => self.add_members(now_ms, members, 3_000),
        }
    }

    /// Adds listed members, which count as all daemons after a time.
    pub fn add_members(
        &mut self,
        now_ms: u64,
        members: Vec<Identity>,
        settle_ms: u64,
    ) -> Vec<(usize, MemberMessage)> {
        let from_ms = now_ms + settle_ms;
        self.complete_from_ms = Some(self.complete_from_ms.map_or(from_ms, |at| at.min(from_ms)));
        let actions = self.membership.add_members(now_ms, members);
        self.messages(actions)
    }

    /// Returns the members as the service of quotas computes them.
    pub fn members(&self, now_ms: u64) -> Members {
        let membership = &self.membership;
        let millis = membership.peers().map(|peer| peer.identity.cpu_millis);
        let most_millis = millis.chain([self.own().cpu_millis]).max().unwrap_or_default();
        let ready = membership.ready_daemons();
        let name = |identity: &&Identity| identity.name.clone();
        let reachable: Vec<DaemonName> = ready.iter().map(name).collect();
        let large = ready.iter().filter(|identity| identity.cpu_millis * 2 >= most_millis);
        let large: Vec<DaemonName> = large.map(name).collect();
        let starting = membership.starting_daemons();
        let starting = starting.iter().filter(|identity| identity.cpu_millis * 2 >= most_millis);
        Members {
            known: membership.peers().map(|peer| peer.identity.name.clone()).collect(),
            candidates: if large.is_empty() { reachable.clone() } else { large },
            reachable,
            starting: starting.map(name).collect(),
            is_complete: self.complete_from_ms.is_some_and(|from_ms| now_ms >= from_ms),
        }
    }

    fn messages(&self, actions: Vec<MemberAction>) -> Vec<(usize, MemberMessage)> {
        let heartbeat = || Heartbeat {
            identity: self.own().clone(),
            readiness: self.membership.own_readiness(),
            reaches_store: true,
            configuration_version: 1,
            replicas_revision: 1,
            attachments: Vec::new(),
        };
        let message = |action| match action {
            MemberAction::SendHeartbeat(ip) => {
                Some((number_of(ip), MemberMessage::Heartbeat(heartbeat())))
            }
            MemberAction::SendMembers(ip) => {
                Some((number_of(ip), MemberMessage::Members(self.membership.identities())))
            }
            _ => None,
        };
        actions.into_iter().filter_map(message).collect()
    }
}
