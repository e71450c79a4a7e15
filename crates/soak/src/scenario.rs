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

/// Combined with the seed of the run for the operator's changes, so that each kind of trouble uses
/// other random numbers.
const OPERATOR_SEED: u64 = 0x6f70_6572_6174;
/// The period in which a key is revoked while no other fault is active, in milliseconds after the end
/// of the other faults.
const CALM_REVOCATION_MS: (u64, u64) = (3_100, 8_000);

/// The bounds within which one kind of trouble is drawn.
struct Bounds {
    /// Combined with the seed of the run.
    seed: u64,
    /// The maximum number of faults of a run.
    max_count: usize,
    /// The shortest and longest time of a fault, in milliseconds.
    duration_ms: (u64, u64),
}

/// Replicas that fail a part of their requests or become slow with good health.
const DEGRADATIONS: Bounds =
    Bounds { seed: 0x6465_6772_6164, max_count: 2, duration_ms: (2_000, 6_000) };
/// The ways in which a replica fails a part of its requests.
const FAILURES: [PartialFailure; 3] =
    [PartialFailure::ServerError, PartialFailure::Hang, PartialFailure::Reset];

/// Clients that flood a daemon.
const FLOODS: Bounds = Bounds { seed: 0x666c_6f6f_6473, max_count: 2, duration_ms: (1_500, 5_000) };
/// What the connections of a flood send.
const FLOOD_KINDS: [FloodKind; 4] = [
    FloodKind::StoppedBodies,
    FloodKind::TinyChunks,
    FloodKind::EndlessHeads,
    FloodKind::SilentConnections,
];
/// The minimum and maximum number of connections of a flood; all floods of a run together stay far
/// below the descriptors that the soak may open.
const FLOOD_CONNECTIONS: (usize, usize) = (50, 250);

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

/// Returns what the scenario of a seed adds to the faults of its plan.
pub fn draw_faults(seed: u64, daemons: usize) -> Vec<PlannedFault> {
    if seed < FIRST_SCENARIO_SEED {
        return Vec::new();
    }
    let mut faults = draw_operator_changes(seed);
    faults.extend(DEGRADATIONS.draw(seed, draw_degradation));
    faults.extend(FLOODS.draw(seed, |random| Fault::Flood {
        daemon: random.gen_range(0..daemons),
        kind: FLOOD_KINDS[random.gen_range(0..FLOOD_KINDS.len())],
        connections: random.gen_range(FLOOD_CONNECTIONS.0..=FLOOD_CONNECTIONS.1),
    }));
    faults
}

/// Returns the key that the operator revokes while no other fault is active.
pub fn draw_calm_revocation(seed: u64) -> Option<PlannedFault> {
    let mut random = StdRng::seed_from_u64(!seed ^ OPERATOR_SEED);
    let start_ms = random.gen_range(CALM_REVOCATION_MS.0..CALM_REVOCATION_MS.1);
    let revocation = PlannedFault { start_ms, duration_ms: 0, fault: Fault::RevokeKey { key: 1 } };
    Scenario::draw(seed).has_organisations.then_some(revocation)
}

/// Returns the key that the operator revokes and the quota that is lowered among the other faults.
fn draw_operator_changes(seed: u64) -> Vec<PlannedFault> {
    if !Scenario::draw(seed).has_organisations {
        return Vec::new();
    }
    let mut random = StdRng::seed_from_u64(seed ^ OPERATOR_SEED);
    let mut start_ms = || WARM_UP_MS + random.gen_range(0..FAULT_WINDOW_MS);
    [Fault::RevokeKey { key: 0 }, Fault::LowerQuota]
        .map(|fault| PlannedFault { start_ms: start_ms(), duration_ms: 0, fault })
        .into()
}

fn draw_degradation(random: &mut StdRng) -> Fault {
    let replica = random.gen_range(0..64);
    match FAILURES.get(random.gen_range(0..=FAILURES.len())) {
        Some(failure) => Fault::ReplicaFailsPart { replica, failure: *failure },
        None => Fault::ReplicaSlow { replica, factor: random.gen_range(7..=8) },
    }
}

impl Bounds {
    fn draw(&self, seed: u64, fault: impl Fn(&mut StdRng) -> Fault) -> Vec<PlannedFault> {
        let mut random = StdRng::seed_from_u64(seed ^ self.seed);
        let count = random.gen_range(0..=self.max_count);
        (0..count)
            .map(|_| PlannedFault {
                start_ms: WARM_UP_MS + random.gen_range(0..FAULT_WINDOW_MS),
                duration_ms: random.gen_range(self.duration_ms.0..self.duration_ms.1),
                fault: fault(&mut random),
            })
            .collect()
    }
}
