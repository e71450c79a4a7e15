//! What a run has in addition to its plan: replicas that degrade, organisations, floods, and the
//! contracts of its daemons.

use platform_stub::replica::PartialFailure;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::flood::FloodKind;
use crate::plan::FAULT_WINDOW_MS;
use crate::plan::Fault;
use crate::plan::PlannedFault;
use crate::plan::WARM_UP_MS;

/// The first seed whose runs may have a scenario; lower seeds keep the runs that they had before.
pub const FIRST_SCENARIO_SEED: u64 = 100;
/// Combined with the seed of the run, so that scenarios use other random numbers than the plan.
const SCENARIO_SEED: u64 = 0x7363_656e_6172;

/// The maximum number of degraded replicas of a run.
const MAX_DEGRADATIONS: usize = 2;
/// The shortest and longest time for which a replica is degraded, in milliseconds.
const DEGRADATION_MS: (u64, u64) = (2_000, 6_000);
/// Combined with the seed of the run for the degraded replicas.
const DEGRADATION_SEED: u64 = 0x6465_6772_6164;

/// The period in which a key is revoked while no other fault is active, in milliseconds after the end
/// of the other faults.
const CALM_REVOCATION_MS: (u64, u64) = (3_100, 8_000);
/// Combined with the seed of the run for the operator's changes to organisations.
const OPERATOR_SEED: u64 = 0x6f70_6572_6174;

/// The maximum number of floods of a run.
const MAX_FLOODS: usize = 2;
/// The minimum and maximum number of connections of a flood; all floods of a run together stay far
/// below the descriptors that the soak may open.
const FLOOD_CONNECTIONS: (usize, usize) = (50, 250);
/// The shortest and longest time of a flood, in milliseconds.
const FLOOD_MS: (u64, u64) = (1_500, 5_000);
/// Combined with the seed of the run for the floods.
const FLOOD_SEED: u64 = 0x666c_6f6f_6473;

/// What a run has beside its faults.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scenario {
    /// The optional parts of the platform's contract that apply to the daemons.
    pub contracts: Vec<String>,
    /// Whether the configuration has organisations.
    pub has_organisations: bool,
}

impl Scenario {
    /// Returns the scenario of a seed.
    pub fn draw(seed: u64) -> Self {
        if seed < FIRST_SCENARIO_SEED {
            return Self::default();
        }
        let mut random = StdRng::seed_from_u64(seed ^ SCENARIO_SEED);
        let contracts = if random.r#gen() { vec!["health".to_owned()] } else { Vec::new() };
        Self { contracts, has_organisations: random.r#gen() }
    }
}

/// Returns the key that the operator revokes and the quota that is lowered among the other faults.
pub fn draw_operator_changes(seed: u64) -> Vec<PlannedFault> {
    if !Scenario::draw(seed).has_organisations {
        return Vec::new();
    }
    let mut random = StdRng::seed_from_u64(seed ^ OPERATOR_SEED);
    [Fault::RevokeKey { key: 0 }, Fault::LowerQuota]
        .map(|fault| PlannedFault {
            start_ms: WARM_UP_MS + random.gen_range(0..FAULT_WINDOW_MS),
            duration_ms: 0,
            fault,
        })
        .into()
}

/// Returns the key that the operator revokes while no other fault is active.
pub fn draw_calm_revocation(seed: u64) -> Option<PlannedFault> {
    let mut random = StdRng::seed_from_u64(!seed ^ OPERATOR_SEED);
    let start_ms = random.gen_range(CALM_REVOCATION_MS.0..CALM_REVOCATION_MS.1);
    let fault = Fault::RevokeKey { key: 1 };
    Scenario::draw(seed).has_organisations.then_some(PlannedFault {
        start_ms,
        duration_ms: 0,
        fault,
    })
}

/// Returns the replicas that fail a part of their requests or become slow with good health.
pub fn draw_degradations(seed: u64) -> Vec<PlannedFault> {
    if seed < FIRST_SCENARIO_SEED {
        return Vec::new();
    }
    let mut random = StdRng::seed_from_u64(seed ^ DEGRADATION_SEED);
    let count = random.gen_range(0..=MAX_DEGRADATIONS);
    (0..count)
        .map(|_| PlannedFault {
            start_ms: WARM_UP_MS + random.gen_range(0..FAULT_WINDOW_MS),
            duration_ms: random.gen_range(DEGRADATION_MS.0..DEGRADATION_MS.1),
            fault: draw_degradation(&mut random),
        })
        .collect()
}

/// Returns the floods of a run.
pub fn draw_floods(seed: u64, daemons: usize) -> Vec<PlannedFault> {
    if seed < FIRST_SCENARIO_SEED {
        return Vec::new();
    }
    let mut random = StdRng::seed_from_u64(seed ^ FLOOD_SEED);
    let count = random.gen_range(0..=MAX_FLOODS);
    (0..count)
        .map(|_| PlannedFault {
            start_ms: WARM_UP_MS + random.gen_range(0..FAULT_WINDOW_MS),
            duration_ms: random.gen_range(FLOOD_MS.0..FLOOD_MS.1),
            fault: Fault::Flood {
                daemon: random.gen_range(0..daemons),
                kind: draw_flood_kind(&mut random),
                connections: random.gen_range(FLOOD_CONNECTIONS.0..=FLOOD_CONNECTIONS.1),
            },
        })
        .collect()
}

fn draw_flood_kind(random: &mut StdRng) -> FloodKind {
    match random.gen_range(0..4) {
        0 => FloodKind::StoppedBodies,
        1 => FloodKind::TinyChunks,
        2 => FloodKind::EndlessHeads,
        _ => FloodKind::SilentConnections,
    }
}

fn draw_degradation(random: &mut StdRng) -> Fault {
    let replica = random.gen_range(0..64);
    match random.gen_range(0..4) {
        0 => Fault::ReplicaFailsPart { replica, failure: PartialFailure::ServerError },
        1 => Fault::ReplicaFailsPart { replica, failure: PartialFailure::Hang },
        2 => Fault::ReplicaFailsPart { replica, failure: PartialFailure::Reset },
        _ => Fault::ReplicaSlow { replica, factor: random.gen_range(7..=8) },
    }
}
