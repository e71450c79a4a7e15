//! The faults of one run, drawn from its seed.

use std::fmt;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The time during which faults begin, in milliseconds.
pub const FAULTS_MS: u64 = 12_000;
/// The time before the first fault, in milliseconds; the fleet is settled by then.
pub const LEAD_MS: u64 = 1_000;
/// The longest time that one fault lasts, in milliseconds.
const MAX_LASTS_MS: u64 = 4_000;
/// The shortest time that one fault lasts, in milliseconds.
const MIN_LASTS_MS: u64 = 150;
/// The fewest and the most faults of a run of the usual size; larger fleets have more.
const FAULTS: (usize, usize) = (6, 18);
/// The daemons for which a run has one fault more.
const DAEMONS_PER_FAULT: usize = 4;

/// The most jumps of clocks of a run of the usual size; larger fleets have more.
const MAX_CLOCK_STEPS: usize = 3;
/// The daemons for which a run has one jump more.
const DAEMONS_PER_CLOCK_STEP: usize = 20;
/// How far a clock jumps, in milliseconds: below and above contact times, and a time zone.
const CLOCK_STEPS_MS: [i64; 3] = [2_000, 60_000, 3_600_000];
/// Makes the numbers of the jumps others than those of the other faults.
const CLOCK_SEED: u64 = 0x636c_6f63_6b73;

/// What is wrong with a connection through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Each piece of data takes so many milliseconds more.
    Delay(u64),
    /// Connections are reset, new ones too.
    Reset,
    /// What the client sends does not arrive.
    CutThere,
    /// What the server sends does not arrive.
    CutBack,
    /// Nothing arrives.
    Silent,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed, and started again at the end.
    Kill {
        /// The daemon.
        daemon: usize,
    },
    /// A daemon is asked to stop, and started again at the end.
    Stop {
        /// The daemon.
        daemon: usize,
    },
    /// A daemon stands still.
    Pause {
        /// The daemon.
        daemon: usize,
    },
    /// A daemon reads its settings again.
    Reload {
        /// The daemon.
        daemon: usize,
    },
    /// All daemons are killed at once, and started again at the end.
    KillAll,
    /// A daemon's connections to the store misbehave.
    StoreLink {
        /// The daemon.
        daemon: usize,
        /// How.
        link: LinkFault,
    },
    /// All connections to a replica misbehave.
    ReplicaLink {
        /// The number of the replica among those that run.
        replica: usize,
        /// How.
        link: LinkFault,
    },
    /// The store turns calls away.
    StoreBusy,
    /// The store does not answer.
    StoreSilent,
    /// The store answers late.
    StoreSlow {
        /// How late, in milliseconds.
        ms: u64,
    },
    /// The store does some writes late and does not answer them.
    StoreLosesAnswers,
    /// The store cuts all connections.
    StoreResets,
    /// The store forgets its history.
    StoreForgets,
    /// A replica runs requests and does not answer.
    ReplicaSilent {
        /// The number of the replica among those that run.
        replica: usize,
    },
    /// A replica breaks streams off.
    ReplicaBreaksOff {
        /// The number of the replica among those that run.
        replica: usize,
    },
    /// A replica turns requests away.
    ReplicaFull {
        /// The number of the replica among those that run.
        replica: usize,
    },
    /// A replica is lost, and another one comes at the end.
    ReplicaCrash {
        /// The number of the replica among those that run.
        replica: usize,
    },
    /// A replica drains, and another one comes at the end.
    ReplicaDrain {
        /// The number of the replica among those that run.
        replica: usize,
    },
    /// The operator adds a route.
    Configure,
    /// A daemon's time of day jumps, and back at the end.
    ClockStep {
        /// The daemon.
        daemon: usize,
        /// By how much, in milliseconds.
        by_ms: i64,
    },
}

impl Fault {
    /// Returns whether an operator does this in the course of planned work.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Stop { .. } | Self::Reload { .. } | Self::ReplicaDrain { .. } | Self::Configure
        )
    }

    /// Returns whether nobody may notice it: changed configurations, draining replicas, clocks.
    pub fn is_harmless(self) -> bool {
        matches!(self, Self::Configure | Self::ReplicaDrain { .. } | Self::ClockStep { .. })
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

/// One fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it begins, in milliseconds of the run.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub lasts_ms: u64,
    /// What goes wrong.
    pub fault: Fault,
}

/// Returns the faults of a run in the order of their beginning.
pub fn faults(seed: u64, daemons: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = random.gen_range(FAULTS.0..=FAULTS.1) + daemons / DAEMONS_PER_FAULT;
    let mut faults: Vec<PlannedFault> = (0..count)
        .map(|_| PlannedFault {
            at_ms: LEAD_MS + random.gen_range(0..FAULTS_MS),
            lasts_ms: random.gen_range(MIN_LASTS_MS..MAX_LASTS_MS),
            fault: Fault::draw(&mut random, daemons),
        })
        .collect();
    faults.extend(clock_steps(seed, daemons));
    faults.sort_by_key(|planned| planned.at_ms);
    faults
}

/// Returns the jumps of clocks; drawn apart, so that seeds from before them keep their other faults.
fn clock_steps(seed: u64, daemons: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed ^ CLOCK_SEED);
    let count = random.gen_range(0..=MAX_CLOCK_STEPS) + daemons / DAEMONS_PER_CLOCK_STEP;
    (0..count)
        .map(|_| {
            let step_ms = CLOCK_STEPS_MS[random.gen_range(0..CLOCK_STEPS_MS.len())];
            let by_ms = if random.r#gen() { step_ms } else { -step_ms };
            PlannedFault {
                at_ms: LEAD_MS + random.gen_range(0..FAULTS_MS),
                lasts_ms: random.gen_range(MIN_LASTS_MS..MAX_LASTS_MS),
                fault: Fault::ClockStep { daemon: random.gen_range(0..daemons), by_ms },
            }
        })
        .collect()
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
