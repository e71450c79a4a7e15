//! The state machine of one job at its home, without I/O.

use std::collections::HashSet;
use std::sync::Arc;

use bytes::Bytes;
use quarantine::Suspect;
use wire::JobId;
use wire::Millis;
use wire::OrgName;

use crate::handover::ItemHandover;
use crate::handover::JobHandover;
use crate::item::Item;
use crate::item::ItemResult;
use crate::item::Outcome;
use crate::progress::Progress;
use crate::progress::SavedProgress;
use crate::record;
use crate::record::ResultPart;
use crate::run_time::RunTimeEstimate;

/// How long a finished item waits for others to be written with it. A write costs a fraction of a
/// percent of an item's run; a lost result costs the whole run.
const WRITE_DELAY_MS: Millis = 1_500;
/// How long before the due time results are written without delay.
const DUE_SOON_MS: Millis = 2_500;
/// How long output of running items may stay unwritten, which bounds the work that is lost with a
/// home. An item runs for 4 to 6 s and costs as much as some hundred writes.
const CHECKPOINT_INTERVAL_MS: Millis = 2_000;
/// How long a write that adds results may be unanswered until the home no longer answers that there
/// are none. Readers of the record may have seen them for that time and for the 700 ms that a
/// forwarded answer may take; positions must be shown again after a second.
const MAX_UNCONFIRMED_MS: Millis = 300;
/// The delay before an item runs again after a failure that it did not cause.
const RETRY_DELAY_MS: Millis = 60;
/// The base of the backoff of a failed item; it doubles with each failure, up to the fourth.
const FAILURE_BACKOFF_MS: Millis = 150;

/// How long an item with a quarantined part waits until it is checked again.
const HOLD_DELAY_MS: Millis = 1_000;

/// How one run of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemRunEnd {
    /// The output is complete.
    Completed,
    /// The slot was revoked or the run was stopped; the next run resumes the output.
    Interrupted,
    /// The replica was lost or gave no usable answer; the next run resumes the output.
    Lost,
    /// The replica answered that the item failed.
    Failed,
    /// The replica answered that the item can never succeed.
    Impossible,
}

impl ItemRunEnd {
    /// Returns the name used in logs and counters.
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
struct ItemEntry {
    item: Item,
    phase: Phase,
    failures: u32,
    progress: Progress,
    /// Because of which quarantined part the item waits.
    held_by: Option<Suspect>,
    /// When a replica was last lost or gave no usable answer as it ran the item.
    lost_ms: Option<Millis>,
    /// Whether the item's body and headers are held in the store alone, since it never runs again.
    is_released: bool,
}

/// The request body of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemBody {
    /// The body.
    Held(Bytes),
    /// The body is in the job's record alone.
    Released,
}

/// The limits that the job's route sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLimits {
    /// How long after the submission all results are due.
    pub due_ms: Millis,
    /// How long after the start of the retention time waiting items are given up.
    pub retention_ms: Millis,
    /// The number of failure answers after which an item is given up.
    pub max_attempts: u32,
}

/// The urgency of an item's next run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemUrgency {
    /// The latest start at which the run is expected to end before the due time.
    pub on_time_at_ms: Millis,
    /// The sort key of runs that can still be on time: the due time minus the work already done.
    pub order_at_ms: Millis,
}

/// The position of a held item: when its last run was lost, and its id.
pub type TrialOrder = (Option<Millis>, Arc<str>);

/// A run of an item that the home should start.
#[derive(Clone, Debug)]
pub struct ItemRun {
    /// The item's index in the job.
    pub index: usize,
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
    /// The path of its submission.
    pub path: Arc<str>,
    /// When it was submitted, on the daemon's clock; negative if before the clock's start.
    pub submitted_ms: i64,
    /// The start of its retention time, on the daemon's clock.
    pub kept_since_ms: i64,
    /// The revision of its record.
    pub revision: u64,
    /// The size of its record's value, in bytes.
    pub value_bytes: usize,
    /// The number of parts that hold the input if the record does not.
    pub input_parts: usize,
    /// The parts that hold the first results.
    pub result_parts: Vec<ResultPart>,
    /// Whether the client ended it.
    pub is_ended: bool,
    /// The organisation that submitted it, if the configuration had organisations.
    pub organisation: Option<OrgName>,
    entries: Vec<ItemEntry>,
    written: Vec<ItemResult>,
    unwritten: Vec<ItemResult>,
    unwritten_since_ms: Option<Millis>,
    progress_since_ms: Option<Millis>,
    /// When the first write of results was sent whose effect is unknown.
    unconfirmed_since_ms: Option<Millis>,
    needs_write: bool,
}

impl Job {
    /// Creates a job from its items and the results in its record.
    pub fn new(
        id: JobId,
        host: &str,
        path: &str,
        submitted_ms: i64,
        items: Vec<Item>,
        written: Vec<ItemResult>,
    ) -> Self {
        let is_written = |item: &Item| written.iter().any(|result| result.item == item.id);
        let phase = |item: &Item| {
            if is_written(item) { Phase::Done } else { Phase::Waiting { not_before_ms: 0 } }
        };
        let entries = items
            .into_iter()
            .map(|item| ItemEntry {
                phase: phase(&item),
                item,
                failures: 0,
                progress: Progress::default(),
                held_by: None,
                lost_ms: None,
                is_released: false,
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
            organisation: None,
            entries,
            written,
            unwritten: Vec::new(),
            unwritten_since_ms: None,
            progress_since_ms: None,
            unconfirmed_since_ms: None,
            needs_write: false,
        }
    }

    /// Creates a job from its record, which is `age_ms` old by the wall clock.
    ///
    /// The wall clock may have jumped since, so the retention time starts with the reading: an item
    /// is given up late rather than early.
    pub fn from_record(
        now_ms: Millis,
        age_ms: i64,
        id: JobId,
        host: &str,
        path: &str,
        items: Vec<Item>,
        written: Vec<ItemResult>,
    ) -> Self {
        let submitted_ms = (now_ms as i64).saturating_sub(age_ms.max(0));
        let mut job = Self::new(id, host, path, submitted_ms, items, written);
        job.kept_since_ms = now_ms as i64;
        job
    }

    /// Returns the number of items.
    pub fn total(&self) -> usize {
        self.entries.len()
    }

    /// Returns the results in the job's record, which are those that clients may see.
    pub fn written_results(&self) -> &[ItemResult] {
        &self.written
    }

    /// Returns all results in order; those not yet written come last.
    pub fn results(&self) -> Vec<ItemResult> {
        self.written.iter().chain(&self.unwritten).cloned().collect()
    }

    /// Returns whether the job is finished and its homes have kept it for `keep_ms`.
    ///
    /// Only monotonic clocks count: a jump of the wall clock would remove results that clients still
    /// read.
    pub fn is_removable(&self, now_ms: Millis, keep_ms: Millis) -> bool {
        self.is_finished() && now_ms as i64 >= self.kept_since_ms.saturating_add(signed_ms(keep_ms))
    }

    /// Returns whether nothing is left to run or to write.
    pub fn is_finished(&self) -> bool {
        let is_done = self.is_ended || self.entries.iter().all(|e| e.phase == Phase::Done);
        is_done && self.unwritten.is_empty() && !self.needs_write
    }

    /// Returns whether the record holds a result of every item, so that it cannot change.
    pub fn has_all_results(&self) -> bool {
        self.written.len() == self.entries.len()
    }

    /// Returns the sum of the tokens of unfinished items.
    pub fn waiting_tokens(&self) -> u64 {
        if self.is_ended {
            return 0;
        }
        let open = self.entries.iter().filter(|entry| entry.phase != Phase::Done);
        open.fold(0, |sum, entry| sum.saturating_add(entry.item.tokens))
    }

    /// Returns the bytes of the items' requests and of their output so far.
    pub(crate) fn items_held_bytes(&self) -> usize {
        let sizes = self.entries.iter().map(|entry| {
            let headers = entry.item.headers.iter();
            let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
            entry.item.body.len()
                + entry.item.path.len()
                + header_bytes
                + entry.progress.text.capacity()
        });
        sizes.sum()
    }

    /// Returns the bytes of the results.
    pub(crate) fn results_held_bytes(&self) -> usize {
        self.written.iter().chain(&self.unwritten).map(|result| result.text.len()).sum()
    }

    /// Returns the request body of an item, or `None` if the job has no such item.
    pub fn item_body(&self, id: &str) -> Option<ItemBody> {
        let entry = self.entries.iter().find(|entry| &*entry.item.id == id)?;
        if entry.is_released {
            return Some(ItemBody::Released);
        }
        Some(ItemBody::Held(entry.item.body.clone()))
    }

    /// Releases the inputs of items that never run again: those listed with their results, and all once
    /// the end of the job is written.
    ///
    /// Designed for jobs of 0.8 MB on a host of 88 MB, where the inputs of 24 finished jobs would fill the
    /// part of the budget for jobs until their retention ends. A finished job keeps only its results in
    /// memory; the job's record keeps the inputs for a home that adopts the job, and for clients that read
    /// them.
    pub(crate) fn release_inputs(&mut self) {
        let is_end_written = self.is_ended && !self.needs_write;
        let listed: HashSet<Arc<str>> =
            self.written.iter().map(|result| result.item.clone()).collect();
        for entry in &mut self.entries {
            if is_end_written || listed.contains(&entry.item.id) {
                entry.item.body = Bytes::new();
                entry.item.headers = Vec::new();
                entry.is_released = true;
            }
        }
    }

    /// Returns the urgency of the next run, or `None` if no item is ready.
    pub fn next_urgency(
        &self,
        now_ms: Millis,
        limits: &JobLimits,
        run_time: &RunTimeEstimate,
    ) -> Option<ItemUrgency> {
        if self.is_ended {
            return None;
        }
        let due_ms = self.submitted_ms.saturating_add(signed_ms(limits.due_ms)).max(0) as Millis;
        let ready = self.entries.iter().filter(|entry| is_ready(entry, now_ms));
        let most = ready.max_by_key(|entry| entry.progress.events)?;
        let done_ms = run_time.expected_ms(most.progress.events);
        Some(ItemUrgency {
            on_time_at_ms: due_ms.saturating_sub(run_time.expected_left_ms(most.progress.events)),
            order_at_ms: due_ms.saturating_sub(done_ms),
        })
    }

    /// Returns the number of running items.
    pub fn running_count(&self) -> usize {
        self.entries.iter().filter(|entry| entry.phase == Phase::Running).count()
    }

    /// Starts the ready item with the most output, the first in the job among equals.
    pub fn start_next(&mut self, now_ms: Millis) -> Option<ItemRun> {
        if self.is_ended {
            return None;
        }
        let ready = self.entries.iter().enumerate().filter(|(_, entry)| is_ready(entry, now_ms));
        let (index, _) = ready
            .max_by_key(|(index, entry)| (entry.progress.events, std::cmp::Reverse(*index)))?;
        let entry = &mut self.entries[index];
        entry.phase = Phase::Running;
        let progress = entry.progress.clone();
        Some(ItemRun { index, item: entry.item.clone(), progress })
    }

    /// Holds an item that was started but not sent, since a part of its prompt is quarantined;
    /// returns whether it was not held before.
    pub fn hold(&mut self, now_ms: Millis, index: usize, suspect: Suspect) -> bool {
        let Some(entry) = self.entries.get_mut(index) else { return false };
        if entry.phase == Phase::Running {
            entry.phase = Phase::Waiting { not_before_ms: now_ms + HOLD_DELAY_MS };
        }
        entry.held_by.replace(suspect).is_none()
    }

    /// Returns the part because of which an item was held before its run, if it was.
    pub fn held_by(&self, index: usize) -> Option<Suspect> {
        self.entries.get(index)?.held_by
    }

    /// Returns the position of an item among all that wait for a trial of the same part: the one whose
    /// last run was lost longest ago, or that had none, comes first.
    pub fn trial_order(&self, index: usize) -> Option<TrialOrder> {
        self.entries.get(index).map(trial_order_of)
    }

    /// Returns the first position of the held items with a part.
    pub fn first_trial_order(&self, suspect: Suspect) -> Option<TrialOrder> {
        if self.is_ended {
            return None;
        }
        let is_held =
            |entry: &&ItemEntry| entry.held_by == Some(suspect) && entry.phase != Phase::Done;
        self.entries.iter().filter(is_held).map(trial_order_of).min()
    }

    /// Updates the output of a running item.
    pub fn record_progress(&mut self, now_ms: Millis, index: usize, progress: &Progress) {
        let Some(entry) = self.entries.get_mut(index) else { return };
        if entry.phase == Phase::Running {
            entry.progress.clone_from(progress);
            self.progress_since_ms.get_or_insert(now_ms);
        }
    }

    /// Returns the progress of as many unfinished items, in order, as fit into `max_bytes`.
    pub fn saved_progress(&self, max_bytes: usize) -> Vec<SavedProgress> {
        let mut left = max_bytes;
        let open = self.entries.iter().filter(|entry| entry.phase != Phase::Done);
        open.filter(|entry| entry.progress.events > 0 || entry.failures > 0)
            .take_while(|entry| {
                let size = record::encoded_bytes(&entry.item.id, &entry.progress.text);
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

    /// Restores the progress of unfinished items from the job's record.
    pub fn restore_progress(&mut self, saved: Vec<SavedProgress>) {
        for saved in saved {
            let entry = self.entries.iter_mut().find(|entry| entry.item.id == saved.item);
            if let Some(entry) = entry.filter(|entry| entry.phase != Phase::Done) {
                entry.failures = saved.failures;
                entry.progress = saved.progress;
            }
        }
    }

    /// Applies the end of an item's run.
    pub fn end_run(
        &mut self,
        now_ms: Millis,
        index: usize,
        end: ItemRunEnd,
        progress: Progress,
        limits: &JobLimits,
    ) {
        let Some(entry) = self.entries.get_mut(index) else { return };
        if entry.phase != Phase::Running {
            return;
        }
        if end != ItemRunEnd::Interrupted {
            entry.held_by = None;
        }
        if end == ItemRunEnd::Lost {
            entry.lost_ms = Some(now_ms);
        }
        let delay_ms = match end {
            ItemRunEnd::Completed => {
                let text = Arc::from(progress.text);
                self.finish_item(now_ms, index, Outcome::Completed, text);
                return;
            }
            ItemRunEnd::Impossible => {
                self.finish_item(now_ms, index, Outcome::GivenUp, Arc::from(""));
                return;
            }
            ItemRunEnd::Failed => {
                entry.failures += 1;
                if entry.failures >= limits.max_attempts {
                    self.finish_item(now_ms, index, Outcome::GivenUp, Arc::from(""));
                    return;
                }
                FAILURE_BACKOFF_MS << entry.failures.min(4)
            }
            ItemRunEnd::Lost => RETRY_DELAY_MS,
            ItemRunEnd::Interrupted => 0,
        };
        entry.phase = Phase::Waiting { not_before_ms: now_ms + delay_ms };
        entry.progress = progress;
    }

    /// Gives up the waiting items if the retention time has passed or the route is gone.
    pub fn give_up_expired(&mut self, now_ms: Millis, limits: Option<&JobLimits>) {
        let is_expired = limits.is_none_or(|limits| {
            now_ms as i64 >= self.kept_since_ms.saturating_add(signed_ms(limits.retention_ms))
        });
        if !is_expired || self.is_ended {
            return;
        }
        for index in 0..self.entries.len() {
            if matches!(self.entries[index].phase, Phase::Waiting { .. }) {
                self.finish_item(now_ms, index, Outcome::GivenUp, Arc::from(""));
            }
        }
    }

    /// Ends the job: its results remain, and no further item runs.
    pub fn end(&mut self) {
        if !self.is_ended {
            self.is_ended = true;
            self.needs_write = true;
        }
    }

    /// Returns whether the job's status must be written now.
    pub fn is_write_due(&self, now_ms: Millis, limits: &JobLimits) -> bool {
        if self.needs_write {
            return true;
        }
        if self
            .progress_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + CHECKPOINT_INTERVAL_MS)
        {
            return true;
        }
        let Some(since_ms) = self.unwritten_since_ms else { return false };
        let is_all_done = self.entries.iter().all(|entry| entry.phase == Phase::Done);
        let due_ms = self.submitted_ms.saturating_add(signed_ms(limits.due_ms));
        is_all_done
            || now_ms >= since_ms + WRITE_DELAY_MS
            || now_ms as i64 + DUE_SOON_MS as i64 >= due_ms
    }

    /// Returns whether results or the end of the job are not written yet.
    pub fn has_unwritten(&self) -> bool {
        self.needs_write || !self.unwritten.is_empty()
    }

    /// Records that a write of all results is sent, or that another daemon is asked to write them.
    ///
    /// Until [`Self::mark_written`], the record may hold more results than this home knows.
    pub fn begin_write(&mut self, now_ms: Millis) {
        if !self.unwritten.is_empty() {
            self.unconfirmed_since_ms.get_or_insert(now_ms);
        }
    }

    /// Returns whether the home may answer that there are no results from position `after` on: no
    /// reader of the record can have seen one for longer than `MAX_UNCONFIRMED_MS`.
    pub fn can_answer_from(&self, now_ms: Millis, after: usize) -> bool {
        after < self.written.len()
            || self
                .unconfirmed_since_ms
                .is_none_or(|since_ms| now_ms < since_ms + MAX_UNCONFIRMED_MS)
    }

    /// Marks the first `count` results as written, and the job's end too if `is_ended`.
    pub fn mark_written(&mut self, now_ms: Millis, revision: u64, count: usize, is_ended: bool) {
        self.revision = revision;
        let newly_written = count.saturating_sub(self.written.len()).min(self.unwritten.len());
        self.written.extend(self.unwritten.drain(..newly_written));
        self.unwritten_since_ms = (!self.unwritten.is_empty()).then_some(now_ms);
        self.progress_since_ms = None;
        self.unconfirmed_since_ms = None;
        self.needs_write = self.is_ended && !is_ended;
        self.release_inputs();
    }

    /// Returns the state that is sent to the job's successor.
    pub fn to_handover(&self, now_ms: Millis) -> JobHandover {
        let items = self.entries.iter().map(|entry| ItemHandover {
            item: entry.item.clone(),
            failures: entry.failures,
            progress: entry.progress.clone(),
        });
        JobHandover {
            id: self.id.clone(),
            host: self.host.to_string(),
            path: self.path.to_string(),
            age_ms: (now_ms as i64).saturating_sub(self.submitted_ms).max(0) as Millis,
            kept_ms: (now_ms as i64).saturating_sub(self.kept_since_ms).max(0) as Millis,
            revision: self.revision,
            value_bytes: self.value_bytes,
            input_parts: self.input_parts,
            result_parts: self.result_parts.clone(),
            is_ended: self.is_ended,
            results: self.results(),
            listed: self.written.len(),
            items: items.collect(),
        }
    }

    /// Creates a job from the state that its previous home sent.
    pub fn from_handover(handover: JobHandover, now_ms: Millis) -> Self {
        let submitted_ms = now_ms as i64 - signed_ms(handover.age_ms);
        let progress: Vec<(u32, Progress)> =
            handover.items.iter().map(|item| (item.failures, item.progress.clone())).collect();
        let items = handover.items.into_iter().map(|item| item.item).collect();
        let results = handover.results;
        let mut job =
            Self::new(handover.id, &handover.host, &handover.path, submitted_ms, items, results);
        job.unwritten = job.written.split_off(handover.listed.min(job.written.len()));
        job.unwritten_since_ms = (!job.unwritten.is_empty()).then_some(now_ms);
        for (entry, (failures, progress)) in job.entries.iter_mut().zip(progress) {
            entry.failures = failures;
            entry.progress = progress;
        }
        job.kept_since_ms = now_ms as i64 - signed_ms(handover.kept_ms);
        job.revision = handover.revision;
        job.value_bytes = handover.value_bytes;
        job.input_parts = handover.input_parts;
        job.result_parts = handover.result_parts;
        job.is_ended = handover.is_ended;
        job.release_inputs();
        job
    }

    fn finish_item(&mut self, now_ms: Millis, index: usize, outcome: Outcome, text: Arc<str>) {
        let entry = &mut self.entries[index];
        entry.phase = Phase::Done;
        entry.progress = Progress::default();
        let item = entry.item.id.clone();
        self.unwritten.push(ItemResult { item, outcome, text });
        self.unwritten_since_ms.get_or_insert(now_ms);
    }
}

/// Returns a duration as a signed number; one that is too large acts like the largest.
fn signed_ms(duration_ms: Millis) -> i64 {
    i64::try_from(duration_ms).unwrap_or(i64::MAX)
}

fn trial_order_of(entry: &ItemEntry) -> TrialOrder {
    (entry.lost_ms, entry.item.id.clone())
}

fn is_ready(entry: &ItemEntry, now_ms: Millis) -> bool {
    matches!(entry.phase, Phase::Waiting { not_before_ms } if not_before_ms <= now_ms)
}
