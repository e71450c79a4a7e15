//! The batch lane of one replica as a pure state machine: a single owner decides how many batch
//! streams the replica runs.
//!
//! Backend servers admit whatever arrives and have no priorities, so the lane gives priority to
//! online requests by limiting the batch items that it sends. When online load rises, the lane
//! pauses batch streams at once; when capacity is free again, its window of batch streams grows
//! back gradually.

use std::collections::BTreeMap;

use kernel::settings::LanePolicy;
use wire::DaemonName;
use wire::Millis;
use wire::OrgName;
use wire::RequestId;

use crate::online_levels::REFRESH_INTERVAL_MS;
use crate::step_time::StepTimeModel;

/// How long a reported online level stays valid without a refresh.
const LEVEL_TTL_MS: Millis = 2 * REFRESH_INTERVAL_MS + REFRESH_INTERVAL_MS / 2;
/// The shortest time between two increases of the window.
const WINDOW_GROWTH_INTERVAL_MS: Millis = 100;
/// The window grows by the slots divided by this number in one step.
const WINDOW_GROWTH_DIVISOR: u32 = 8;
/// The suggested retry delay when the lane has no room for an item.
const FULL_RETRY_AFTER_MS: Millis = 100;
/// The time before its due time from which an item counts as urgent.
const URGENT_BEFORE_DUE_MS: Millis = 60_000;
/// The smallest change of the learned limit, in streams, that is applied.
const LEARNED_LIMIT_HYSTERESIS: u32 = 3;
/// The factor by which an urgent item raises the batch limit for online load.
const URGENT_FACTOR: u32 = 2;

/// The limits of one lane, from the bundle in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaneLimits {
    /// The number of streams that the replica should run concurrently.
    pub slots: u32,
    /// Slots kept free for arriving online requests, in percent.
    pub online_reserve_percent: u32,
    /// Slots that batch items may use while online requests run, until the step time is learned, in
    /// percent.
    pub batch_beside_online_percent: u32,
    /// The allowed slowdown of the steps of online requests by batch items, in percent.
    pub online_slowdown_percent: u32,
    /// How long after the last online request the batch limit for online load still applies.
    pub online_quiet_ms: Millis,
    /// How batch items share the replica with online requests.
    pub policy: LanePolicy,
    /// Whether the replica accepts batch items.
    pub accepts_batch: bool,
    /// Whether the replica accepts online requests.
    pub accepts_online: bool,
}

/// The properties of a batch item that the lane schedules by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaneItem {
    /// The id of the run.
    pub request_id: RequestId,
    /// The organisation, for fair sharing.
    pub org: OrgName,
    /// The weight of the organisation in fair sharing.
    pub weight: u32,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub due_unix_ms: Millis,
    /// Whether the item may run more than once; items that may not are paused last.
    pub idempotent: bool,
    /// Whether no other batch item may run on the replica at the same time.
    pub alone: bool,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A batch item was submitted.
    Submit(LaneItem),
    /// A daemon reported its online requests in flight on the replica.
    OnlineLevel {
        /// The daemon.
        daemon: DaemonName,
        /// The number of requests, rounded up to a reporting level.
        level: u32,
    },
    /// A batch item ended or was withdrawn.
    Ended {
        /// The id of the run.
        request_id: RequestId,
    },
    /// The median time between two tokens of the lane's streams was measured.
    StepTime {
        /// The time in microseconds.
        step_us: u64,
    },
    /// Time has passed.
    Tick,
}

/// An output of the state machine, carried out by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends the item to the replica.
    Start(RequestId),
    /// Stops the stream of the item so that it can be resumed later.
    Pause(RequestId),
    /// Resumes the stream of a paused item.
    Resume(RequestId),
    /// Returns the item to its submitter as not run.
    Reject {
        /// The id of the run.
        request_id: RequestId,
        /// When to submit the item again.
        retry_after_ms: Millis,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Queued,
    Running,
    Paused,
}

#[derive(Clone, Debug)]
struct Entry {
    item: LaneItem,
    phase: Phase,
    start_sequence: u64,
}

#[derive(Clone, Copy, Debug)]
struct ReportedLevel {
    level: u32,
    reported_at_ms: Millis,
}

/// The batch lane of one replica.
#[derive(Debug)]
pub struct Lane {
    limits: LaneLimits,
    entries: BTreeMap<RequestId, Entry>,
    levels: BTreeMap<DaemonName, ReportedLevel>,
    weighted_starts: BTreeMap<OrgName, f64>,
    step_time: StepTimeModel,
    learned_limit: Option<u32>,
    window: u32,
    window_grown_at_ms: Millis,
    last_online_at_ms: Option<Millis>,
    admits_from_ms: Millis,
    next_start_sequence: u64,
}

impl Lane {
    /// Opens a lane. Under `LanePolicy::Yield` it starts nothing until every daemon has had time to
    /// report its online requests.
    pub fn open(now_ms: Millis, limits: LaneLimits) -> Self {
        let admission_delay_ms =
            if limits.policy == LanePolicy::Yield { REFRESH_INTERVAL_MS } else { 0 };
        Self {
            limits,
            entries: BTreeMap::new(),
            levels: BTreeMap::new(),
            weighted_starts: BTreeMap::new(),
            step_time: StepTimeModel::default(),
            learned_limit: None,
            window: 1,
            window_grown_at_ms: now_ms,
            last_online_at_ms: None,
            admits_from_ms: now_ms + admission_delay_ms,
            next_start_sequence: 0,
        }
    }

    /// Replaces the limits, for example after a new bundle came into force.
    pub fn set_limits(&mut self, limits: LaneLimits) {
        self.limits = limits;
    }

    /// Returns the number of running batch streams.
    pub fn running(&self) -> u32 {
        self.count_in_phase(Phase::Running)
    }

    /// Returns whether the lane has no items.
    pub fn is_idle(&self) -> bool {
        self.entries.is_empty()
    }

    /// Handles one event and returns the actions to carry out.
    pub fn step(&mut self, now_ms: Millis, unix_ms: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Submit(item) => self.on_submit(item, &mut actions),
            Event::OnlineLevel { daemon, level } => {
                self.levels.insert(daemon, ReportedLevel { level, reported_at_ms: now_ms });
            }
            Event::Ended { request_id } => {
                self.entries.remove(&request_id);
            }
            Event::StepTime { step_us } => {
                let streams = self.running() + self.online_in_flight();
                self.step_time.add_sample(streams, step_us);
                self.update_learned_limit();
            }
            Event::Tick => self.remove_expired(now_ms),
        }
        self.adjust_streams(now_ms, unix_ms, &mut actions);
        actions
    }

    fn on_submit(&mut self, item: LaneItem, actions: &mut Vec<Action>) {
        let is_full = self.count_in_phase(Phase::Queued) >= self.queue_limit();
        if is_full || !self.limits.accepts_batch {
            let request_id = item.request_id;
            actions.push(Action::Reject { request_id, retry_after_ms: FULL_RETRY_AFTER_MS });
            return;
        }
        let entry = Entry { item, phase: Phase::Queued, start_sequence: 0 };
        self.entries.insert(entry.item.request_id.clone(), entry);
    }

    fn remove_expired(&mut self, now_ms: Millis) {
        self.levels.retain(|_, level| now_ms < level.reported_at_ms + LEVEL_TTL_MS);
        let orgs: Vec<OrgName> =
            self.entries.values().map(|entry| entry.item.org.clone()).collect();
        self.weighted_starts.retain(|org, _| orgs.contains(org));
    }

    /// Adjusts the running streams to the limit: pauses surplus streams at once and starts others
    /// only as the window grows.
    fn adjust_streams(&mut self, now_ms: Millis, unix_ms: Millis, actions: &mut Vec<Action>) {
        let online = self.online_in_flight();
        if online > 0 {
            self.last_online_at_ms = Some(now_ms);
        }
        if !self.limits.accepts_batch {
            self.reject_queued(actions);
        }
        let limit = self.stream_limit(now_ms, unix_ms, online);
        self.window = self.window.min(limit.max(1));
        while self.running() > limit {
            let Some(request_id) = self.next_to_pause() else {
                break;
            };
            self.set_phase(&request_id, Phase::Paused);
            actions.push(Action::Pause(request_id));
        }
        self.grow_window(now_ms, limit);
        while self.running() < limit.min(self.window) {
            let Some((request_id, phase)) = self.next_to_run(unix_ms) else {
                break;
            };
            self.mark_started(&request_id);
            actions.push(match phase {
                Phase::Paused => Action::Resume(request_id),
                Phase::Queued | Phase::Running => Action::Start(request_id),
            });
        }
    }

    fn reject_queued(&mut self, actions: &mut Vec<Action>) {
        let queued = |entry: &Entry| entry.phase == Phase::Queued;
        let rejected: Vec<RequestId> = self
            .entries
            .values()
            .filter(|entry| queued(entry))
            .map(|entry| entry.item.request_id.clone())
            .collect();
        self.entries.retain(|_, entry| !queued(entry));
        actions.extend(
            rejected.into_iter().map(|request_id| Action::Reject {
                request_id,
                retry_after_ms: FULL_RETRY_AFTER_MS,
            }),
        );
    }

    fn stream_limit(&self, now_ms: Millis, unix_ms: Millis, online: u32) -> u32 {
        let limits = &self.limits;
        if !limits.accepts_batch {
            // Running and paused items may finish, but no new item starts.
            return self.running() + self.count_in_phase(Phase::Paused);
        }
        if now_ms < self.admits_from_ms {
            return 0;
        }
        if limits.policy != LanePolicy::Yield || !limits.accepts_online {
            return limits.slots;
        }
        let reserve = limits.slots * limits.online_reserve_percent / 100;
        let unreserved = limits.slots.saturating_sub(reserve);
        let had_online_recently =
            self.last_online_at_ms.is_some_and(|at_ms| now_ms < at_ms + limits.online_quiet_ms);
        if online == 0 && !had_online_recently {
            return unreserved;
        }
        let batch_limit = self.batch_limit_under_online_load();
        let batch_limit =
            if self.has_urgent(unix_ms) { batch_limit * URGENT_FACTOR } else { batch_limit };
        unreserved.saturating_sub(online).min(batch_limit)
    }

    /// Returns how many batch streams may run while online requests run.
    fn batch_limit_under_online_load(&self) -> u32 {
        let configured = self.limits.slots * self.limits.batch_beside_online_percent / 100;
        self.learned_limit.unwrap_or(configured)
    }

    /// Updates the learned limit from the fitted step time. Small changes are ignored, since each
    /// would pause or resume streams.
    fn update_learned_limit(&mut self) {
        let Some(line) = self.step_time.fit() else {
            return;
        };
        let percent = self.limits.online_slowdown_percent;
        let learned =
            line.max_added_streams(self.online_in_flight(), percent).min(self.limits.slots);
        let is_within_hysteresis = self
            .learned_limit
            .is_some_and(|current| current.abs_diff(learned) < LEARNED_LIMIT_HYSTERESIS);
        if !is_within_hysteresis {
            let current = self.learned_limit.unwrap_or(learned);
            self.learned_limit = Some((current * 3 + learned) / 4);
        }
    }

    fn grow_window(&mut self, now_ms: Millis, limit: u32) {
        let step = (self.limits.slots / WINDOW_GROWTH_DIVISOR).max(1);
        if self.window < limit && now_ms >= self.window_grown_at_ms + WINDOW_GROWTH_INTERVAL_MS {
            self.window = (self.window + step).min(limit);
            self.window_grown_at_ms = now_ms;
        }
    }

    fn online_in_flight(&self) -> u32 {
        self.levels.values().map(|level| level.level).sum()
    }

    fn has_urgent(&self, unix_ms: Millis) -> bool {
        self.entries.values().any(|entry| is_urgent(&entry.item, unix_ms))
    }

    /// Chooses the item to pause: idempotent items first, then the latest due, then the latest
    /// started.
    fn next_to_pause(&self) -> Option<RequestId> {
        self.entries
            .values()
            .filter(|entry| entry.phase == Phase::Running)
            .max_by_key(|entry| {
                (entry.item.idempotent, entry.item.due_unix_ms, entry.start_sequence)
            })
            .map(|entry| entry.item.request_id.clone())
    }

    /// Chooses the item to run next: paused items first, then urgent ones, then the earliest due
    /// item of the organisation with the fewest weighted starts.
    fn next_to_run(&self, unix_ms: Millis) -> Option<(RequestId, Phase)> {
        let has_running = self.running() > 0;
        if self.entries.values().any(|e| e.phase == Phase::Running && e.item.alone) {
            return None;
        }
        self.entries
            .values()
            .filter(|entry| entry.phase != Phase::Running)
            .filter(|entry| !entry.item.alone || !has_running)
            .min_by(|a, b| self.schedule_key(a, unix_ms).total_cmp(&self.schedule_key(b, unix_ms)))
            .map(|entry| (entry.item.request_id.clone(), entry.phase))
    }

    fn schedule_key(&self, entry: &Entry, unix_ms: Millis) -> ScheduleKey {
        ScheduleKey {
            is_queued: entry.phase == Phase::Queued,
            is_not_urgent: !is_urgent(&entry.item, unix_ms),
            weighted_starts: self.weighted_starts.get(&entry.item.org).copied().unwrap_or(0.0),
            due_unix_ms: entry.item.due_unix_ms,
        }
    }

    fn mark_started(&mut self, request_id: &RequestId) {
        self.next_start_sequence += 1;
        let sequence = self.next_start_sequence;
        let lowest = self.weighted_starts.values().copied().fold(f64::INFINITY, f64::min);
        if let Some(entry) = self.entries.get_mut(request_id) {
            if entry.phase == Phase::Queued {
                // A new organisation starts at the lowest count of the others; from zero it would
                // be preferred until it had caught up.
                let initial = if lowest.is_finite() { lowest } else { 0.0 };
                let weighted_starts =
                    self.weighted_starts.entry(entry.item.org.clone()).or_insert(initial);
                *weighted_starts += 1.0 / f64::from(entry.item.weight.max(1));
            }
            entry.phase = Phase::Running;
            entry.start_sequence = sequence;
        }
    }

    fn set_phase(&mut self, request_id: &RequestId, phase: Phase) {
        if let Some(entry) = self.entries.get_mut(request_id) {
            entry.phase = phase;
        }
    }

    fn count_in_phase(&self, phase: Phase) -> u32 {
        self.entries.values().filter(|entry| entry.phase == phase).count() as u32
    }

    fn queue_limit(&self) -> u32 {
        (self.limits.slots / 2).max(2)
    }
}

fn is_urgent(item: &LaneItem, unix_ms: Millis) -> bool {
    item.due_unix_ms < unix_ms + URGENT_BEFORE_DUE_MS
}

/// The sort key of items that are waiting to run; the smallest runs first.
struct ScheduleKey {
    is_queued: bool,
    is_not_urgent: bool,
    weighted_starts: f64,
    due_unix_ms: Millis,
}

impl ScheduleKey {
    fn total_cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.is_queued, self.is_not_urgent)
            .cmp(&(other.is_queued, other.is_not_urgent))
            .then_with(|| self.weighted_starts.total_cmp(&other.weighted_starts))
            .then_with(|| self.due_unix_ms.cmp(&other.due_unix_ms))
    }
}
