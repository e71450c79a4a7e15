//! The order in which a soak runs its seeds.

use std::collections::VecDeque;
use std::time::Instant;

/// One run of a seed; a seed may be run several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The seed.
    pub seed: u64,
    /// The number of daemons.
    pub daemons: usize,
    /// The number of the run in this soak, starting at 0.
    pub number: usize,
}

impl Run {
    /// Returns the name of the run's folder, which is unique within the soak.
    pub fn folder_name(&self) -> String {
        format!("run-{}-seed-{}-{}", self.number, self.seed, self.daemons)
    }
}

/// New seeds that are run until a given time.
#[derive(Clone, Copy, Debug)]
pub struct FreshSeeds {
    /// The next seed.
    pub next_seed: u64,
    /// The number of daemons.
    pub daemons: usize,
    /// The time from which no further run starts.
    pub stop_at: Instant,
}

/// The runs that have not started yet.
#[derive(Debug)]
pub struct Schedule {
    seeds: VecDeque<(u64, usize)>,
    fresh: Option<FreshSeeds>,
    started: usize,
}

impl Schedule {
    /// Creates a schedule that runs `seeds`, pairs of a seed and a number of daemons, and then `fresh`
    /// ones.
    pub fn new(seeds: Vec<(u64, usize)>, fresh: Option<FreshSeeds>) -> Self {
        Self { seeds: seeds.into(), fresh, started: 0 }
    }

    /// Returns the next run to start, if any is left at `now`.
    pub fn next_run(&mut self, now: Instant) -> Option<Run> {
        let (seed, daemons) = self.seeds.pop_front().or_else(|| self.next_fresh_seed(now))?;
        self.started += 1;
        Some(Run { seed, daemons, number: self.started - 1 })
    }

    fn next_fresh_seed(&mut self, now: Instant) -> Option<(u64, usize)> {
        let fresh = self.fresh.as_mut().filter(|fresh| now < fresh.stop_at)?;
        fresh.next_seed += 1;
        Some((fresh.next_seed - 1, fresh.daemons))
    }
}
