//! One job at its home, as a pure state machine.

use std::sync::Arc;

use wire::JobId;
use wire::Millis;

use crate::handover::HandedItem;
use crate::handover::HandedJob;
use crate::item::Item;
use crate::item::Listed;
use crate::item::Outcome;
use crate::pace::Pace;
use crate::progress::Progress;
use crate::progress::SavedProgress;
use crate::record;
use crate::record::ResultPart;

/// How long a finished item may wait for others before its result is written. A write costs as
/// much as a fraction of a percent of an item, a lost result costs the whole run.
const SAVE_AFTER_MS: Millis = 1_500;
/// How long before the due time results are written at once.
const DUE_SOON_MS: Millis = 2_500;
/// How long output of running items may be unwritten; a home that is lost takes no more of its
/// items' work with it. An item runs for 4 to 6 s and is worth some hundred writes.
const CHECKPOINT_MS: Millis = 2_000;
/// The pause before an item is tried again after a failure that is not its own.
const RETRY_PAUSE_MS: Millis = 60;
/// The pause before a failed item is tried again; it doubles with each failure.
const FAILED_PAUSE_MS: Millis = 150;

/// How one try of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryEnd {
    /// The whole output is there.
    Completed,
    /// The slot was needed, or the run was stopped; the next try goes on.
    Interrupted,
    /// The replica was lost or gave no usable answer; the next try goes on.
    Lost,
    /// The replica answered that it failed.
    Failed,
    /// The replica answered that the item can never be done.
    Impossible,
}

impl TryEnd {
    /// Returns the end as it appears in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Interrupted => "interrupted",
            Self::Lost => "lost",
            Self::Failed => "failed",
            Self::Impossible => "impossible",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Waiting { not_before_ms: Millis },
    Running,
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    item: Item,
    phase: Phase,
    failures: u32,
    progress: Progress,
}

/// The limits that the job's route sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLimits {
    /// How long after the submission all results are due.
    pub due_ms: Millis,
    /// How long after the submission items may be given up.
    pub retention_ms: Millis,
    /// The answers of failure after which an item is given up.
    pub max_attempts: u32,
}

/// How urgent a try is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemUrgency {
    /// Until when it can wait and still end before the due time.
    pub on_time_at_ms: Millis,
    /// What orders tries that can be on time: the due time, less what is done already.
    pub order_at_ms: Millis,
}

/// A try that the home should start.
#[derive(Clone, Debug)]
pub struct Try {
    /// The item's place in the job.
    pub place: usize,
    /// The item.
    pub item: Item,
    /// Its output so far.
    pub progress: Progress,
}

/// A job at its home.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Job {
    /// The job's id.
    pub id: JobId,
    /// The host of its route.
    pub host: Arc<str>,
    /// The path under which it was handed in.
    pub path: Arc<str>,
    /// When it was handed in, on the daemon's clock; may lie before the clock's start.
    pub submitted_ms: i64,
    /// From when its retention time counts, on the daemon's clock.
    pub kept_since_ms: i64,
    /// The revision of its record.
    pub revision: u64,
    /// The size of its record's value, in bytes.
    pub value_bytes: usize,
    /// The number of parts that the input lies in, beside the record.
    pub input_parts: usize,
    /// The parts that the first results lie in.
    pub result_parts: Vec<ResultPart>,
    /// Whether the client ended it.
    pub is_ended: bool,
    entries: Vec<Entry>,
    listed: Vec<Listed>,
    unsaved: Vec<Listed>,
    unsaved_since_ms: Option<Millis>,
    progressed_since_ms: Option<Millis>,
    needs_save: bool,
}

impl Job {
    /// Creates a job with the results that its record holds.
    pub fn new(
        id: JobId,
        host: &str,
        path: &str,
        submitted_ms: i64,
        items: Vec<Item>,
        listed: Vec<Listed>,
    ) -> Self {
        let is_listed = |item: &Item| listed.iter().any(|listed| listed.item == item.id);
        let phase = |item: &Item| {
            if is_listed(item) { Phase::Done } else { Phase::Waiting { not_before_ms: 0 } }
        };
        let entries = items
            .into_iter()
            .map(|item| Entry {
                phase: phase(&item),
                item,
                failures: 0,
                progress: Progress::default(),
            })
            .collect();
        Self {
            id,
            host: Arc::from(host),
            path: Arc::from(path),
            submitted_ms,
            kept_since_ms: submitted_ms,
            revision: 0,
            value_bytes: 0,
            input_parts: 0,
            result_parts: Vec::new(),
            is_ended: false,
            entries,
            listed,
            unsaved: Vec::new(),
            unsaved_since_ms: None,
            progressed_since_ms: None,
            needs_save: false,
        }
    }

    /// Creates a job that was read from its record, which is `age_ms` old by the time of day.
    ///
    /// The time of day may have jumped since, so the retention time counts from the reading: an
    /// item is given up late rather than early.
    pub fn read(
        now_ms: Millis,
        age_ms: i64,
        id: JobId,
        host: &str,
        path: &str,
        items: Vec<Item>,
        listed: Vec<Listed>,
    ) -> Self {
        let submitted_ms = now_ms as i64 - age_ms.max(0);
        let mut job = Self::new(id, host, path, submitted_ms, items, listed);
        job.kept_since_ms = now_ms as i64;
        job
    }

    /// Returns the number of items.
    pub fn total(&self) -> usize {
        self.entries.len()
    }

    /// Returns the results that may be shown.
    pub fn listed(&self) -> &[Listed] {
        &self.listed
    }

    /// Returns all results in their order, those that are not written yet last.
    pub fn results(&self) -> Vec<Listed> {
        self.listed.iter().chain(&self.unsaved).cloned().collect()
    }

    /// Returns whether it is over and was kept for `kept_ms` by the clocks of its homes.
    ///
    /// The time of day has no part in it: a jump would remove results that clients still read.
    pub fn is_kept_long_enough(&self, now_ms: Millis, kept_ms: Millis) -> bool {
        self.is_over() && now_ms as i64 >= self.kept_since_ms + kept_ms as i64
    }

    /// Returns whether nothing is left to run or to write.
    pub fn is_over(&self) -> bool {
        let is_run = self.is_ended || self.entries.iter().all(|e| e.phase == Phase::Done);
        is_run && self.unsaved.is_empty() && !self.needs_save
    }

    /// Returns the tokens of the items that no replica has finished.
    pub fn waiting_tokens(&self) -> u64 {
        if self.is_ended {
            return 0;
        }
        let open = self.entries.iter().filter(|entry| entry.phase != Phase::Done);
        open.map(|entry| entry.item.tokens).sum()
    }

    /// Returns the body of an item that has not been listed, or was listed a moment ago.
    pub fn item_body(&self, id: &str) -> Option<bytes::Bytes> {
        let entry = self.entries.iter().find(|entry| &*entry.item.id == id)?;
        Some(entry.item.body.clone())
    }

    /// Returns how urgent the next try is, or `None` if no item waits.
    pub fn next_urgency(
        &self,
        now_ms: Millis,
        limits: &JobLimits,
        pace: &Pace,
    ) -> Option<ItemUrgency> {
        if self.is_ended {
            return None;
        }
        let due_ms = (self.submitted_ms + limits.due_ms as i64).max(0) as Millis;
        let ready = self.entries.iter().filter(|entry| is_ready(entry, now_ms));
        let most = ready.max_by_key(|entry| entry.progress.events)?;
        let done_ms = pace.time_of(most.progress.events);
        Some(ItemUrgency {
            on_time_at_ms: due_ms.saturating_sub(pace.time_left(most.progress.events)),
            order_at_ms: due_ms.saturating_sub(done_ms),
        })
    }

    /// Returns the number of items that run.
    pub fn running(&self) -> usize {
        self.entries.iter().filter(|entry| entry.phase == Phase::Running).count()
    }

    /// Takes the next item that waits; those with the most output so far go first.
    pub fn start_next(&mut self, now_ms: Millis) -> Option<Try> {
        if self.is_ended {
            return None;
        }
        let ready = self.entries.iter().enumerate().filter(|(_, entry)| is_ready(entry, now_ms));
        let (place, _) = ready
            .max_by_key(|(place, entry)| (entry.progress.events, std::cmp::Reverse(*place)))?;
        let entry = &mut self.entries[place];
        entry.phase = Phase::Running;
        let progress = entry.progress.clone();
        Some(Try { place, item: entry.item.clone(), progress })
    }

    /// Notes what a running item has put out so far.
    pub fn progressed(&mut self, now_ms: Millis, place: usize, progress: &Progress) {
        let Some(entry) = self.entries.get_mut(place) else { return };
        if entry.phase == Phase::Running {
            entry.progress.clone_from(progress);
            self.progressed_since_ms.get_or_insert(now_ms);
        }
    }

    /// Returns the progress of unfinished items, as much as fits into `max_bytes`.
    pub fn saved_progress(&self, max_bytes: usize) -> Vec<SavedProgress> {
        let mut left = max_bytes;
        let open = self.entries.iter().filter(|entry| entry.phase != Phase::Done);
        open.filter(|entry| entry.progress.events > 0 || entry.failures > 0)
            .take_while(|entry| {
                let size = record::encoded_bytes(&entry.progress.text);
                let fits = size <= left;
                left = left.saturating_sub(size);
                fits
            })
            .map(|entry| SavedProgress {
                item: entry.item.id.clone(),
                failures: entry.failures,
                progress: entry.progress.clone(),
            })
            .collect()
    }

    /// Takes the progress of items that another home wrote.
    pub fn restore(&mut self, saved: Vec<SavedProgress>) {
        for saved in saved {
            let entry = self.entries.iter_mut().find(|entry| entry.item.id == saved.item);
            if let Some(entry) = entry.filter(|entry| entry.phase != Phase::Done) {
                entry.failures = saved.failures;
                entry.progress = saved.progress;
            }
        }
    }

    /// Takes the end of a try.
    pub fn try_ended(
        &mut self,
        now_ms: Millis,
        place: usize,
        end: TryEnd,
        progress: Progress,
        limits: &JobLimits,
    ) {
        let Some(entry) = self.entries.get_mut(place) else { return };
        if entry.phase != Phase::Running {
            return;
        }
        let pause_ms = match end {
            TryEnd::Completed => {
                let text = Arc::from(progress.text);
                self.finish(now_ms, place, Outcome::Completed, text);
                return;
            }
            TryEnd::Impossible => {
                self.finish(now_ms, place, Outcome::GivenUp, Arc::from(""));
                return;
            }
            TryEnd::Failed => {
                entry.failures += 1;
                if entry.failures >= limits.max_attempts {
                    self.finish(now_ms, place, Outcome::GivenUp, Arc::from(""));
                    return;
                }
                FAILED_PAUSE_MS << entry.failures.min(4)
            }
            TryEnd::Lost => RETRY_PAUSE_MS,
            TryEnd::Interrupted => 0,
        };
        entry.phase = Phase::Waiting { not_before_ms: now_ms + pause_ms };
        entry.progress = progress;
    }

    /// Gives the items up that are past the retention time, or whose route is gone.
    pub fn give_up_old(&mut self, now_ms: Millis, limits: Option<&JobLimits>) {
        let is_over = limits
            .is_none_or(|limits| now_ms as i64 >= self.kept_since_ms + limits.retention_ms as i64);
        if !is_over || self.is_ended {
            return;
        }
        for place in 0..self.entries.len() {
            if matches!(self.entries[place].phase, Phase::Waiting { .. }) {
                self.finish(now_ms, place, Outcome::GivenUp, Arc::from(""));
            }
        }
    }

    /// Ends the job; what is listed stays listed, and nothing more runs.
    pub fn end(&mut self) {
        if !self.is_ended {
            self.is_ended = true;
            self.needs_save = true;
        }
    }

    /// Returns whether the results must be written now.
    pub fn is_save_due(&self, now_ms: Millis, limits: &JobLimits) -> bool {
        if self.needs_save {
            return true;
        }
        if self.progressed_since_ms.is_some_and(|since_ms| now_ms >= since_ms + CHECKPOINT_MS) {
            return true;
        }
        let Some(since_ms) = self.unsaved_since_ms else { return false };
        let is_all_done = self.entries.iter().all(|entry| entry.phase == Phase::Done);
        let due_ms = self.submitted_ms + limits.due_ms as i64;
        is_all_done
            || now_ms >= since_ms + SAVE_AFTER_MS
            || now_ms as i64 + DUE_SOON_MS as i64 >= due_ms
    }

    /// Returns whether anything is not written yet.
    pub fn has_unsaved(&self) -> bool {
        self.needs_save || !self.unsaved.is_empty()
    }

    /// Notes that the record holds the first `count` results, and the end if `is_ended`.
    pub fn saved(&mut self, now_ms: Millis, revision: u64, count: usize, is_ended: bool) {
        self.revision = revision;
        let fresh = count.saturating_sub(self.listed.len()).min(self.unsaved.len());
        self.listed.extend(self.unsaved.drain(..fresh));
        self.unsaved_since_ms = (!self.unsaved.is_empty()).then_some(now_ms);
        self.progressed_since_ms = None;
        self.needs_save = self.is_ended && !is_ended;
    }

    /// Returns the job as it is handed to another home.
    pub fn to_handed(&self, now_ms: Millis) -> HandedJob {
        let items = self.entries.iter().map(|entry| HandedItem {
            item: entry.item.clone(),
            failures: entry.failures,
            progress: entry.progress.clone(),
        });
        HandedJob {
            id: self.id.clone(),
            host: self.host.to_string(),
            path: self.path.to_string(),
            age_ms: (now_ms as i64 - self.submitted_ms).max(0) as Millis,
            kept_ms: (now_ms as i64 - self.kept_since_ms).max(0) as Millis,
            revision: self.revision,
            value_bytes: self.value_bytes,
            input_parts: self.input_parts,
            result_parts: self.result_parts.clone(),
            is_ended: self.is_ended,
            results: self.results(),
            listed: self.listed.len(),
            items: items.collect(),
        }
    }

    /// Returns a job that another home handed over.
    pub fn from_handed(handed: HandedJob, now_ms: Millis) -> Self {
        let submitted_ms = now_ms as i64 - handed.age_ms as i64;
        let progress: Vec<(u32, Progress)> =
            handed.items.iter().map(|item| (item.failures, item.progress.clone())).collect();
        let items = handed.items.into_iter().map(|item| item.item).collect();
        let results = handed.results;
        let mut job =
            Self::new(handed.id, &handed.host, &handed.path, submitted_ms, items, results);
        job.unsaved = job.listed.split_off(handed.listed.min(job.listed.len()));
        job.unsaved_since_ms = (!job.unsaved.is_empty()).then_some(now_ms);
        for (entry, (failures, progress)) in job.entries.iter_mut().zip(progress) {
            entry.failures = failures;
            entry.progress = progress;
        }
        job.kept_since_ms = now_ms as i64 - handed.kept_ms as i64;
        job.revision = handed.revision;
        job.value_bytes = handed.value_bytes;
        job.input_parts = handed.input_parts;
        job.result_parts = handed.result_parts;
        job.is_ended = handed.is_ended;
        job
    }

    fn finish(&mut self, now_ms: Millis, place: usize, outcome: Outcome, text: Arc<str>) {
        let entry = &mut self.entries[place];
        entry.phase = Phase::Done;
        entry.progress = Progress::default();
        let item = entry.item.id.clone();
        self.unsaved.push(Listed { item, outcome, text });
        self.unsaved_since_ms.get_or_insert(now_ms);
    }
}

fn is_ready(entry: &Entry, now_ms: Millis) -> bool {
    matches!(entry.phase, Phase::Waiting { not_before_ms } if not_before_ms <= now_ms)
}
