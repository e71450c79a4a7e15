//! The faults of one run, drawn from its seed.

use std::fmt;

use platform_stub::replica::PartialFailure;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::flood::FloodKind;
use crate::scenario;

/// The length of the window in which all faults start, in milliseconds.
pub const FAULT_WINDOW_MS: u64 = 12_000;
/// The time before the first fault, in milliseconds; the fleet is ready by then.
pub const WARM_UP_MS: u64 = 1_000;
/// The longest time that one fault lasts, in milliseconds.
const MAX_DURATION_MS: u64 = 4_000;
/// The shortest time that one fault lasts, in milliseconds.
const MIN_DURATION_MS: u64 = 150;
/// The minimum and maximum number of faults of a run, without the extra ones of larger fleets.
const FAULT_COUNT_LIMITS: (usize, usize) = (6, 18);
/// The number of daemons for which a run has one more fault.
const DAEMONS_PER_EXTRA_FAULT: usize = 4;

/// The maximum number of clock steps of a run, without the extra ones of larger fleets.
const MAX_CLOCK_STEPS: usize = 3;
/// The number of daemons for which a run may have one more clock step.
const DAEMONS_PER_EXTRA_CLOCK_STEP: usize = 20;
/// The sizes of clock steps, in milliseconds: below `timeline::CONTACT_MS`, above it, and the
/// difference between two time zones.
const CLOCK_STEPS_MS: [i64; 3] = [2_000, 60_000, 3_600_000];
/// Combined with the seed of the run, so that clock steps use other random numbers than the faults.
const CLOCK_SEED: u64 = 0x636c_6f63_6b73;

/// The maximum number of replicas that announce their leaving in a run, without the extra ones of
/// larger fleets.
const MAX_ANNOUNCED_LEAVES: usize = 2;
/// The number of daemons for which a run may have one more replica that announces its leaving.
const DAEMONS_PER_EXTRA_LEAVE: usize = 20;
/// Combined with the seed of the run, so that announced leaves use other random numbers than the
/// other faults.
const LEAVE_SEED: u64 = 0x6c65_6176_6573;

/// The maximum number of pauses of replicas among the other faults of a run.
const MAX_REPLICA_PAUSES: usize = 2;
/// The minimum and maximum number of pauses of replicas while no other fault is active.
const CALM_PAUSE_COUNT_LIMITS: (usize, usize) = (2, 4);
/// The period in which calm pauses start, in milliseconds after the end of the other faults; it
/// begins after the contact time of the last fault.
const CALM_WINDOW_MS: (u64, u64) = (4_000, 9_500);
/// The shortest and longest time for which a sound replica is silent, in milliseconds.
const PAUSE_DURATION_MS: (u64, u64) = (800, 1_300);
/// The maximum number of replicas that are silent together, unless all are.
const MAX_REPLICAS_PER_PAUSE: usize = 3;
/// The configuration changes at most this long before a pause, in milliseconds.
const MAX_CHANGE_BEFORE_PAUSE_MS: u64 = 600;
/// Combined with the seed of the run, so that pauses of replicas use other random numbers than the
/// other faults.
const PAUSE_SEED: u64 = 0x7061_7573_6573;
/// Combined with the seed of the run for the calm pauses.
const CALM_PAUSE_SEED: u64 = 0x6361_6c6d;

/// A fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Each chunk of data is delayed by this many milliseconds.
    Delay(u64),
    /// Open and new connections are reset.
    Reset,
    /// Data from the client to the server is withheld.
    CutThere,
    /// Data from the server to the client is withheld.
    CutBack,
    /// Data in both directions is withheld.
    Silent,
}

/// A fault that the soak injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed, and restarted when the fault ends.
    Kill {
        /// The daemon.
        daemon: usize,
    },
    /// A daemon is asked to stop, and restarted when the fault ends.
    Stop {
        /// The daemon.
        daemon: usize,
    },
    /// The process of a daemon is paused.
    Pause {
        /// The daemon.
        daemon: usize,
    },
    /// A daemon reloads its settings.
    Reload {
        /// The daemon.
        daemon: usize,
    },
    /// All daemons are killed at the same time, and restarted when the fault ends.
    KillAll,
    /// A daemon's connections to the store have a fault.
    StoreLink {
        /// The daemon.
        daemon: usize,
        /// The fault of the connections.
        link: LinkFault,
    },
    /// All connections to a replica have a fault.
    ReplicaLink {
        /// Selects one of the running replicas: its index in their list, modulo their number.
        replica: usize,
        /// The fault of the connections.
        link: LinkFault,
    },
    /// The store refuses calls.
    StoreBusy,
    /// The store does not answer.
    StoreSilent,
    /// The store answers late.
    StoreSlow {
        /// The delay of answers, in milliseconds.
        ms: u64,
    },
    /// The store applies some writes late and does not answer them.
    StoreLosesAnswers,
    /// The store closes all connections.
    StoreResets,
    /// The store discards its history of changes.
    StoreForgets,
    /// A replica runs requests and does not answer.
    ReplicaSilent {
        /// Selects one of the running replicas: its index in their list, modulo their number.
        replica: usize,
    },
    /// A replica ends streams early.
    ReplicaBreaksOff {
        /// Selects one of the running replicas: its index in their list, modulo their number.
        replica: usize,
    },
    /// A replica refuses requests.
    ReplicaFull {
        /// Selects one of the running replicas: its index in their list, modulo their number.
        replica: usize,
    },
    /// A replica crashes, and another one is started when the fault ends.
    ReplicaCrash {
        /// Selects one of the running replicas: its index in their list, modulo their number.
        replica: usize,
    },
    /// A replica drains, and another one is started.
    ReplicaDrain {
        /// Selects one of the running replicas: its index in their list, modulo their number.
        replica: usize,
    },
    /// A replica announces in its answers that it leaves, while its record says that it is ready, and
    /// another one is started.
    ReplicaLeave {
        /// Selects one of the running replicas: its index in their list, modulo their number.
        replica: usize,
    },
    /// Replicas fall silent and go on: no byte passes in either direction, and connections stay open.
    ReplicaPause {
        /// Selects the first of the replicas: its index in the list of running replicas, modulo
        /// their number.
        replica: usize,
        /// The number of replicas that are silent together, if as many run.
        count: usize,
    },
    /// A replica fails a part of its requests and reports good health.
    ReplicaFailsPart {
        /// Selects one of the running replicas: its index in their list, modulo their number.
        replica: usize,
        /// How the requests fail.
        failure: PartialFailure,
    },
    /// A replica is slow and reports good health.
    ReplicaSlow {
        /// Selects one of the running replicas: its index in their list, modulo their number.
        replica: usize,
        /// How many times as long each step takes.
        factor: u32,
    },
    /// Clients open connections to a daemon whose requests never end.
    Flood {
        /// The daemon.
        daemon: usize,
        /// What the connections send.
        kind: FloodKind,
        /// The number of connections.
        connections: usize,
    },
    /// The operator revokes a key of the rotating organisation.
    RevokeKey {
        /// The number of the key.
        key: usize,
    },
    /// The operator lowers the quota of an organisation.
    LowerQuota,
    /// The operator adds a route.
    Configure,
    /// A daemon's wall clock steps, and steps back when the fault ends.
    ClockStep {
        /// The daemon.
        daemon: usize,
        /// The size of the step, in milliseconds.
        by_ms: i64,
    },
}

impl Fault {
    /// Returns whether operators cause the fault in planned work.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Stop { .. }
                | Self::Reload { .. }
                | Self::ReplicaDrain { .. }
                | Self::ReplicaLeave { .. }
                | Self::Configure
                | Self::RevokeKey { .. }
                | Self::LowerQuota
        )
    }

    /// Returns whether clients must not notice the fault: a configuration change, a replica that
    /// drains, leaves or is silent for a while, or a clock step.
    pub fn is_harmless(self) -> bool {
        matches!(
            self,
            Self::Configure
                | Self::RevokeKey { .. }
                | Self::LowerQuota
                | Self::ReplicaDrain { .. }
                | Self::ReplicaLeave { .. }
                | Self::ReplicaPause { .. }
                | Self::ClockStep { .. }
        )
    }

    /// Returns whether a daemon is stopped, killed or paused.
    pub fn interrupts(self, interrupted: usize) -> bool {
        match self {
            Self::Kill { daemon } | Self::Stop { daemon } | Self::Pause { daemon } => {
                daemon == interrupted
            }
            Self::KillAll => true,
            _ => false,
        }
    }

    fn draw(random: &mut StdRng, daemons: usize) -> Self {
        let daemon = random.gen_range(0..daemons);
        let replica = random.gen_range(0..64);
        match random.gen_range(0..24) {
            0..=1 => Self::Kill { daemon },
            2..=4 => Self::Stop { daemon },
            5..=6 => Self::Pause { daemon },
            7 => Self::Reload { daemon },
            8 => Self::KillAll,
            9..=10 => Self::StoreLink { daemon, link: draw_link(random) },
            11..=13 => Self::ReplicaLink { replica, link: draw_link(random) },
            14 => Self::StoreBusy,
            15 => Self::StoreSilent,
            16 => Self::StoreSlow { ms: random.gen_range(50..800) },
            17 => Self::StoreLosesAnswers,
            18 => match random.r#gen() {
                true => Self::StoreResets,
                false => Self::StoreForgets,
            },
            19 => Self::ReplicaSilent { replica },
            20 => match random.r#gen() {
                true => Self::ReplicaBreaksOff { replica },
                false => Self::ReplicaFull { replica },
            },
            21 => Self::ReplicaCrash { replica },
            22 => Self::ReplicaDrain { replica },
            _ => Self::Configure,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// One fault, its start and its duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When the fault starts, in milliseconds after the injection of faults starts.
    pub start_ms: u64,
    /// How long the fault lasts, in milliseconds.
    pub duration_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// Returns the faults of a run, ordered by start time.
pub fn draw_faults(seed: u64, daemons: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = random.gen_range(FAULT_COUNT_LIMITS.0..=FAULT_COUNT_LIMITS.1)
        + daemons / DAEMONS_PER_EXTRA_FAULT;
    let mut faults: Vec<PlannedFault> = (0..count)
        .map(|_| PlannedFault {
            start_ms: WARM_UP_MS + random.gen_range(0..FAULT_WINDOW_MS),
            duration_ms: random.gen_range(MIN_DURATION_MS..MAX_DURATION_MS),
            fault: Fault::draw(&mut random, daemons),
        })
        .collect();
    faults.extend(draw_clock_steps(seed, daemons));
    faults.extend(draw_announced_leaves(seed, daemons));
    faults.extend(draw_pauses(seed));
    faults.extend(scenario::draw_faults(seed, daemons));
    faults.sort_by_key(|planned| planned.start_ms);
    faults
}

/// Returns the clock steps of a run; they are drawn from a separate generator, so that seeds from
/// before clock steps were added keep their other faults.
fn draw_clock_steps(seed: u64, daemons: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ CLOCK_SEED);
    let count = random.gen_range(0..=MAX_CLOCK_STEPS) + daemons / DAEMONS_PER_EXTRA_CLOCK_STEP;
    (0..count)
        .map(|_| {
            let step_ms = CLOCK_STEPS_MS[random.gen_range(0..CLOCK_STEPS_MS.len())];
            let by_ms = if random.r#gen() { step_ms } else { -step_ms };
            PlannedFault {
                start_ms: WARM_UP_MS + random.gen_range(0..FAULT_WINDOW_MS),
                duration_ms: random.gen_range(MIN_DURATION_MS..MAX_DURATION_MS),
                fault: Fault::ClockStep { daemon: random.gen_range(0..daemons), by_ms },
            }
        })
        .collect()
}

/// Returns the replicas of a run that announce their leaving; a separate generator keeps the other
/// faults of earlier seeds.
fn draw_announced_leaves(seed: u64, daemons: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ LEAVE_SEED);
    let count = random.gen_range(0..=MAX_ANNOUNCED_LEAVES) + daemons / DAEMONS_PER_EXTRA_LEAVE;
    (0..count)
        .map(|_| PlannedFault {
            start_ms: WARM_UP_MS + random.gen_range(0..FAULT_WINDOW_MS),
            duration_ms: random.gen_range(MIN_DURATION_MS..MAX_DURATION_MS),
            fault: Fault::ReplicaLeave { replica: random.gen_range(0..64) },
        })
        .collect()
}

/// Returns the pauses of replicas among the other faults; a separate generator keeps the other
/// faults of earlier seeds.
fn draw_pauses(seed: u64) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ PAUSE_SEED);
    let count = random.gen_range(0..=MAX_REPLICA_PAUSES);
    (0..count)
        .map(|_| {
            let start_ms = WARM_UP_MS + random.gen_range(0..FAULT_WINDOW_MS);
            draw_pause(&mut random, start_ms)
        })
        .collect()
}

/// Returns the faults that a run injects while no other fault is active, ordered by start time, which
/// counts from the end of the other faults: pauses of replicas, and changes of the configuration
/// shortly before about half of them.
pub fn draw_calm_faults(seed: u64) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ CALM_PAUSE_SEED);
    let count = random.gen_range(CALM_PAUSE_COUNT_LIMITS.0..=CALM_PAUSE_COUNT_LIMITS.1);
    let mut faults = Vec::new();
    for _ in 0..count {
        let start_ms = random.gen_range(CALM_WINDOW_MS.0..CALM_WINDOW_MS.1);
        faults.push(draw_pause(&mut random, start_ms));
        if random.r#gen() {
            let start_ms = start_ms - random.gen_range(0..MAX_CHANGE_BEFORE_PAUSE_MS);
            faults.push(PlannedFault { start_ms, duration_ms: 0, fault: Fault::Configure });
        }
    }
    faults.extend(scenario::draw_calm_revocation(seed));
    faults.sort_by_key(|planned| planned.start_ms);
    faults
}

fn draw_pause(random: &mut StdRng, start_ms: u64) -> PlannedFault {
    let replica = random.gen_range(0..64);
    let count = match random.gen_ratio(1, 3) {
        true => usize::MAX,
        false => random.gen_range(1..=MAX_REPLICAS_PER_PAUSE),
    };
    PlannedFault {
        start_ms,
        duration_ms: random.gen_range(PAUSE_DURATION_MS.0..=PAUSE_DURATION_MS.1),
        fault: Fault::ReplicaPause { replica, count },
    }
}

fn draw_link(random: &mut StdRng) -> LinkFault {
    match random.gen_range(0..5) {
        0 => LinkFault::Delay(random.gen_range(5..200)),
        1 => LinkFault::Reset,
        2 => LinkFault::CutThere,
        3 => LinkFault::CutBack,
        _ => LinkFault::Silent,
    }
}
