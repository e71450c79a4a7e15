//! The replicas of a model or service: those that the bundle names and the host list contains.

use std::net::SocketAddr;
use std::sync::Arc;

use bundle::ActiveBundle;
use bundle::BundleManager;
use bundle::schema::Replica;
use bundle::schema::Role;
use kernel::settings::LanePolicy;
use route::Candidate;
use store::HostState;
use store::hosts::HostList;
use store::hosts::Hosts;
use wire::ModelName;
use wire::ReplicaName;

use crate::lane::LaneLimits;

/// A replica that may receive new work.
#[derive(Clone, Debug)]
pub struct LiveReplica {
    /// The entry of the replica in the bundle.
    pub replica: Replica,
    /// The address that the replica listens on.
    pub address: SocketAddr,
}

/// Looks up replicas in the bundle in force and the host list.
pub struct Replicas {
    bundle_manager: Arc<BundleManager>,
    hosts: Arc<HostList>,
    policy: LanePolicy,
}

impl Replicas {
    /// Creates the look-up for one lane policy.
    pub fn new(
        bundle_manager: Arc<BundleManager>,
        hosts: Arc<HostList>,
        policy: LanePolicy,
    ) -> Self {
        Self { bundle_manager, hosts, policy }
    }

    /// Returns the manager of the bundle in force.
    pub fn bundle_manager(&self) -> &BundleManager {
        &self.bundle_manager
    }

    /// Returns the latest host list.
    pub fn hosts(&self) -> Hosts {
        self.hosts.latest()
    }

    /// Returns the replicas of `target` that may receive new online requests.
    pub fn for_online(&self, active: &ActiveBundle, target: &ModelName) -> Vec<Candidate> {
        let slots = active.bundle.slots_of(target);
        self.live(active, target)
            .into_iter()
            .filter(|live| self.accepts_online(active, &live.replica))
            .map(|live| Candidate {
                replica: live.replica.name,
                data_centre: live.replica.data_centre,
                slots,
            })
            .collect()
    }

    /// Returns the replicas of `target` that may receive new batch items.
    pub fn for_batch(&self, active: &ActiveBundle, target: &ModelName) -> Vec<LiveReplica> {
        self.live(active, target)
            .into_iter()
            .filter(|live| self.accepts_batch(active, &live.replica))
            .collect()
    }

    /// Returns the address of a replica. A leaving replica keeps it for streams in progress.
    pub fn address(&self, replica: &ReplicaName) -> Option<SocketAddr> {
        self.hosts().get(replica).map(|entry| entry.address)
    }

    /// Returns whether a replica may receive new work.
    pub fn is_live(&self, replica: &ReplicaName) -> bool {
        self.hosts().get(replica).is_some_and(|entry| entry.state == HostState::Live)
    }

    /// Returns the limits of the lane of a replica, or `None` if the bundle does not name it.
    pub fn lane_limits(&self, replica: &ReplicaName) -> Option<LaneLimits> {
        let active = self.bundle_manager.active()?;
        let entry = active.bundle.replicas.iter().find(|known| known.name == *replica)?;
        let rules = &active.bundle.rules;
        Some(LaneLimits {
            slots: active.bundle.slots_of(&entry.runs),
            online_reserve_percent: rules.online_reserve_percent,
            batch_beside_online_percent: rules.batch_beside_online_percent,
            online_slowdown_percent: rules.online_slowdown_percent,
            online_quiet_ms: rules.online_quiet_ms,
            policy: self.policy,
            accepts_batch: self.is_live(replica) && self.accepts_batch(&active, entry),
            accepts_online: self.accepts_online(&active, entry),
        })
    }

    fn live(&self, active: &ActiveBundle, target: &ModelName) -> Vec<LiveReplica> {
        let hosts = self.hosts();
        active
            .bundle
            .replicas_of(target)
            .filter_map(|replica| {
                let entry = hosts.get(&replica.name)?;
                let is_live = entry.state == HostState::Live;
                is_live.then(|| LiveReplica { replica: replica.clone(), address: entry.address })
            })
            .collect()
    }

    fn accepts_online(&self, active: &ActiveBundle, replica: &Replica) -> bool {
        match self.policy {
            LanePolicy::Partition => !is_in_batch_partition(active, replica),
            LanePolicy::Yield | LanePolicy::Fixed => replica.role != Role::Batch,
        }
    }

    fn accepts_batch(&self, active: &ActiveBundle, replica: &Replica) -> bool {
        match self.policy {
            LanePolicy::Partition => is_in_batch_partition(active, replica),
            LanePolicy::Yield | LanePolicy::Fixed => replica.role != Role::Online,
        }
    }
}

/// Returns whether a replica belongs to the batch partition, which is every second replica of its
/// model.
fn is_in_batch_partition(active: &ActiveBundle, replica: &Replica) -> bool {
    let position = active.bundle.replicas_of(&replica.runs).position(|r| r.name == replica.name);
    position.is_some_and(|position| position % 2 == 1)
}
