//! The durations of runs at one replica, for its speed relative to its service.

use std::collections::VecDeque;

use wire::Millis;

/// The number of completed runs that count: the last second and more at 5 runs a second.
const MAX_COMPLETED: usize = 8;
/// How long a completed run counts.
const COMPLETED_TTL_MS: Millis = 3_000;
/// How long an estimate falls to 0 after its last run was forgotten, so that a replica that was slow gets
/// single requests again at first, not one of each daemon at once.
const ESTIMATE_DECAY_MS: Millis = 5_000;
/// The least number of runs for an estimate; a replica with fewer counts as usual for its service.
const MIN_RUNS: usize = 5;
/// The most runs for which one run that goes on counts; a single long answer outweighs no others.
const MAX_WEIGHT: Millis = 4;
/// The completed runs of usual duration that show a run to be long itself if they began after it: the
/// replica was not slow meanwhile.
const OVERTAKING_RUNS: usize = 2;
/// How many times longer than the median a completed run of usual duration may have taken.
const USUAL_FACTOR: Millis = 2;
/// The bound on how far an estimate may differ from the service's usual duration, as a factor.
const MAX_FACTOR: f64 = 10.0;

/// The durations of the last runs at one replica.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    completed: VecDeque<(Millis, Millis)>,
    estimate_ms: Millis,
    estimated_at_ms: Millis,
}

impl RunTimes {
    /// Records a completed run.
    pub fn record(&mut self, now_ms: Millis, run_ms: Millis) {
        if self.completed.len() >= MAX_COMPLETED {
            self.completed.pop_front();
        }
        self.completed.push_back((now_ms, run_ms));
    }

    /// Returns the duration of runs, or 0 if it is not known; `running_ms` are the ages of the runs that
    /// go on.
    pub fn estimate_ms(&mut self, now_ms: Millis, running_ms: impl Iterator<Item = Millis>) -> u16 {
        let median_ms = self.median_ms(now_ms, running_ms);
        if median_ms > 0 {
            self.estimate_ms = Millis::from(median_ms);
            self.estimated_at_ms = now_ms;
            return median_ms;
        }
        let left_ms = (self.estimated_at_ms + ESTIMATE_DECAY_MS).saturating_sub(now_ms);
        u16::try_from(self.estimate_ms * left_ms / ESTIMATE_DECAY_MS).unwrap_or(u16::MAX)
    }

    /// Returns the median duration of the last runs, or 0 if there are too few.
    ///
    /// A run that goes on counts with its age once it has lasted longer than that median, so that a
    /// replica that becomes slow is known before its first slow run ends. A run that later ones have
    /// overtaken counts once, as does each if no usual duration is known: a few long answers do not
    /// make a replica slow.
    pub fn median_ms(&self, now_ms: Millis, running_ms: impl Iterator<Item = Millis>) -> u16 {
        let is_recent = |at_ms: Millis| now_ms < at_ms + COMPLETED_TTL_MS;
        let mut times: Vec<Millis> = self
            .completed
            .iter()
            .filter(|(at_ms, _)| is_recent(*at_ms))
            .map(|(_, run_ms)| *run_ms)
            .collect();
        times.sort_unstable();
        let usual_ms = times.get(times.len() / 2).copied().unwrap_or(0);
        for age_ms in running_ms.filter(|age_ms| *age_ms > usual_ms) {
            // In that time, as many usual runs would have ended in its slot.
            let ended = age_ms.checked_div(usual_ms).unwrap_or(1).min(MAX_WEIGHT);
            let weight = if self.is_overtaken(now_ms, age_ms, usual_ms) { 1 } else { ended };
            times.extend((0..weight).map(|_| age_ms));
        }
        if times.len() < MIN_RUNS {
            return 0;
        }
        times.sort_unstable();
        u16::try_from(times[times.len() / 2]).unwrap_or(u16::MAX)
    }

    /// Returns whether usual runs began after a run of this age and have ended.
    fn is_overtaken(&self, now_ms: Millis, age_ms: Millis, usual_ms: Millis) -> bool {
        let overtaking = self.completed.iter().filter(|(at_ms, run_ms)| {
            *run_ms <= usual_ms * USUAL_FACTOR && at_ms + age_ms > now_ms + run_ms
        });
        overtaking.count() >= OVERTAKING_RUNS
    }
}

/// Returns the lower median of the known durations of a service's replicas, or 0 if none is known.
pub fn usual_ms(durations_ms: impl Iterator<Item = u16>) -> u16 {
    let mut known: Vec<u16> = durations_ms.filter(|run_ms| *run_ms > 0).collect();
    known.sort_unstable();
    known.get(known.len().saturating_sub(1) / 2).copied().unwrap_or(0)
}

/// Returns how many times longer than usual the runs of a replica take; 1 if that is not known.
pub fn slowness(run_ms: u16, usual_ms: u16) -> f64 {
    if run_ms == 0 || usual_ms == 0 {
        return 1.0;
    }
    (f64::from(run_ms) / f64::from(usual_ms)).clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
}
