//! The seeds that a soak has still to run.

use std::collections::VecDeque;
use std::time::Instant;

/// One run of a seed; the same seed may have several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The seed.
    pub seed: u64,
    /// The number of daemons.
    pub daemons: usize,
    /// The number of the run in this soak, from 0.
    pub number: usize,
}

impl Run {
    /// The name of the run's folder, which no other run of the soak has.
    pub fn folder_name(&self) -> String {
        format!("run-{}-seed-{}-{}", self.number, self.seed, self.daemons)
    }
}

/// Fresh seeds that are run until a time.
#[derive(Clone, Copy, Debug)]
pub struct Fresh {
    /// The next seed.
    pub next_seed: u64,
    /// The number of daemons.
    pub daemons: usize,
    /// When no further run begins.
    pub until: Instant,
}

/// The runs that are left.
#[derive(Debug)]
pub struct Schedule {
    seeds: VecDeque<(u64, usize)>,
    fresh: Option<Fresh>,
    started: usize,
}

impl Schedule {
    /// Runs each of `seeds`, which are pairs of a seed and a number of daemons, then fresh ones.
    pub fn new(seeds: Vec<(u64, usize)>, fresh: Option<Fresh>) -> Self {
        Self { seeds: seeds.into(), fresh, started: 0 }
    }

    /// The next run to start, if any is left at `now`.
    pub fn next_run(&mut self, now: Instant) -> Option<Run> {
        let (seed, daemons) = self.seeds.pop_front().or_else(|| self.next_fresh(now))?;
        self.started += 1;
        Some(Run { seed, daemons, number: self.started - 1 })
    }

    fn next_fresh(&mut self, now: Instant) -> Option<(u64, usize)> {
        let fresh = self.fresh.as_mut().filter(|fresh| now < fresh.until)?;
        fresh.next_seed += 1;
        Some((fresh.next_seed - 1, fresh.daemons))
    }
}
