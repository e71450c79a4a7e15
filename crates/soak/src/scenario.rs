//! What a run has in addition to its plan: replicas that degrade, and the contracts of its daemons.

use platform_stub::replica::PartialFailure;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

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

/// What a run has beside its faults.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scenario {
    /// The optional parts of the platform's contract that apply to the daemons.
    pub contracts: Vec<String>,
}

impl Scenario {
    /// Returns the scenario of a seed.
    pub fn draw(seed: u64) -> Self {
        if seed < FIRST_SCENARIO_SEED {
            return Self::default();
        }
        let mut random = StdRng::seed_from_u64(seed ^ SCENARIO_SEED);
        let contracts = if random.r#gen() { vec!["health".to_owned()] } else { Vec::new() };
        Self { contracts }
    }
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

fn draw_degradation(random: &mut StdRng) -> Fault {
    let replica = random.gen_range(0..64);
    match random.gen_range(0..4) {
        0 => Fault::ReplicaFailsPart { replica, failure: PartialFailure::ServerError },
        1 => Fault::ReplicaFailsPart { replica, failure: PartialFailure::Hang },
        2 => Fault::ReplicaFailsPart { replica, failure: PartialFailure::Reset },
        _ => Fault::ReplicaSlow { replica, factor: random.gen_range(7..=8) },
    }
}
