//! Tests of the seeds that a soak runs and of their folders.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use soak::schedule::FreshSeeds;
use soak::schedule::Schedule;

fn all_runs(mut schedule: Schedule, now: Instant) -> Vec<soak::schedule::Run> {
    std::iter::from_fn(|| schedule.next_run(now)).collect()
}

#[test]
fn repeated_seed_runs_twice_in_separate_folders() {
    let runs = all_runs(Schedule::new(vec![(3, 4), (4, 4), (3, 4)], None), Instant::now());
    assert_eq!(runs.iter().map(|run| run.seed).collect::<Vec<_>>(), [3, 4, 3]);
    let folders: HashSet<_> = runs.iter().map(|run| run.folder_name()).collect();
    assert_eq!(folders.len(), runs.len());
}

#[test]
fn fresh_seeds_run_until_the_stop_time() {
    let now = Instant::now();
    let stop_at = now + Duration::from_secs(60);
    let fresh = FreshSeeds { next_seed: 10, daemons: 2, stop_at };
    let mut schedule = Schedule::new(vec![(1, 4)], Some(fresh));
    let seeds: Vec<_> =
        (0..3).filter_map(|_| schedule.next_run(now)).map(|run| (run.seed, run.daemons)).collect();
    assert_eq!(seeds, [(1, 4), (10, 2), (11, 2)]);
    assert_eq!(schedule.next_run(stop_at), None);
}
