//! The batch lane of one replica, as a pure core: one owner decides how much batch it carries.
//!
//! Backend servers admit what arrives and know no priority, so online requests are kept ahead
//! of batch items by what is sent: on a rise of online load the lane pauses batch streams at
//! once, and its window grows back slowly on spare capacity.

use std::collections::BTreeMap;

use kernel::settings::LanePolicy;
use wire::DaemonName;
use wire::Millis;
use wire::OrgName;
use wire::RequestId;

use crate::levels::REFRESH_MS;
use crate::step_time::StepTime;

/// How long a daemon's reported level counts without being repeated.
const LEVEL_LIFE_MS: Millis = 2 * REFRESH_MS + REFRESH_MS / 2;
/// The pause between two steps of the window upwards.
const GROW_EVERY_MS: Millis = 100;
/// The share of the slots by which the window grows in one step, as a divisor.
const GROW_DIVISOR: u32 = 8;
/// The wait suggested when the lane's queue is full.
const FULL_RETRY_AFTER_MS: Millis = 100;
/// How close to its due time an item may use the reserve, as a time left in milliseconds.
const URGENT_LEFT_MS: Millis = 60_000;
/// The smallest change of the streams beside online that is followed.
const BESIDE_STEP: u32 = 3;
/// How much more of the slots beside online urgent items may use.
const URGENT_FACTOR: u32 = 2;

/// The limits of one lane, from the bundle in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaneLimits {
    /// The streams that the replica should run at once.
    pub slots: u32,
    /// Slots left free for online arrivals, in percent.
    pub online_reserve_percent: u32,
    /// Slots that batch may use while online requests run and the step time is not learned yet,
    /// in percent.
    pub batch_beside_online_percent: u32,
    /// How much batch may slow the steps of online requests, in percent.
    pub online_slowdown_percent: u32,
    /// How long the replica is left to online requests after the last one.
    pub online_quiet_ms: Millis,
    /// How batch shares the replica with online requests.
    pub policy: LanePolicy,
    /// Whether the replica takes batch items at all.
    pub takes_batch: bool,
    /// Whether the replica takes online requests.
    pub takes_online: bool,
}

/// One batch item as the lane sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaneItem {
    /// The run.
    pub request_id: RequestId,
    /// The organisation, for fair shares.
    pub org: OrgName,
    /// The organisation's weight.
    pub weight: u32,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub due_unix_ms: Millis,
    /// Whether the item may run more than once; others are paused last.
    pub idempotent: bool,
    /// Whether the item runs with no other batch item beside it.
    pub alone: bool,
}

/// What the lane is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A batch item wants to run.
    Submit(LaneItem),
    /// A daemon's online requests in flight on the replica.
    Online {
        /// The daemon.
        daemon: DaemonName,
        /// The level.
        level: u32,
    },
    /// A batch item has ended or was withdrawn.
    Ended {
        /// The run.
        request_id: RequestId,
    },
    /// The usual time between two tokens of the lane's streams.
    StepTime {
        /// The time in microseconds.
        step_us: u64,
    },
    /// Time has passed.
    Tick,
}

/// What the adapter does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends the item to the replica.
    Start(RequestId),
    /// Stops the item's stream; it stays ready to be resumed.
    Pause(RequestId),
    /// Reads on in a paused item.
    Resume(RequestId),
    /// Gives the item back as not run.
    Reject {
        /// The run.
        request_id: RequestId,
        /// When the lane may have room.
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
    started_order: u64,
}

#[derive(Clone, Copy, Debug)]
struct Level {
    level: u32,
    told_at_ms: Millis,
}

/// The lane core.
#[derive(Debug)]
pub struct Lane {
    limits: LaneLimits,
    entries: BTreeMap<RequestId, Entry>,
    levels: BTreeMap<DaemonName, Level>,
    served: BTreeMap<OrgName, f64>,
    step_time: StepTime,
    beside: Option<u32>,
    window: u32,
    grown_at_ms: Millis,
    online_at_ms: Option<Millis>,
    opened_at_ms: Millis,
    next_order: u64,
}

impl Lane {
    /// Opens a lane; it waits until the daemons had time to report their online requests.
    pub fn open(now_ms: Millis, limits: LaneLimits) -> Self {
        let wait_ms = if limits.policy == LanePolicy::Yield { REFRESH_MS } else { 0 };
        Self {
            limits,
            entries: BTreeMap::new(),
            levels: BTreeMap::new(),
            served: BTreeMap::new(),
            step_time: StepTime::default(),
            beside: None,
            window: 1,
            grown_at_ms: now_ms,
            online_at_ms: None,
            opened_at_ms: now_ms + wait_ms,
            next_order: 0,
        }
    }

    /// Sets the limits of a new bundle.
    pub fn set_limits(&mut self, limits: LaneLimits) {
        self.limits = limits;
    }

    /// Returns the batch streams that run now.
    pub fn running(&self) -> u32 {
        self.count(Phase::Running)
    }

    /// Returns whether the lane has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes one event and returns what to do.
    pub fn step(&mut self, now_ms: Millis, unix_ms: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Submit(item) => self.on_submit(item, &mut actions),
            Event::Online { daemon, level } => {
                self.levels.insert(daemon, Level { level, told_at_ms: now_ms });
            }
            Event::Ended { request_id } => {
                self.entries.remove(&request_id);
            }
            Event::StepTime { step_us } => {
                let streams = self.running() + self.online();
                self.step_time.add(streams, step_us);
                self.learn_beside();
            }
            Event::Tick => self.forget(now_ms),
        }
        self.settle(now_ms, unix_ms, &mut actions);
        actions
    }

    fn on_submit(&mut self, item: LaneItem, actions: &mut Vec<Action>) {
        let is_full = self.count(Phase::Queued) >= self.queue_limit();
        if is_full || !self.limits.takes_batch {
            let request_id = item.request_id;
            actions.push(Action::Reject { request_id, retry_after_ms: FULL_RETRY_AFTER_MS });
            return;
        }
        let entry = Entry { item, phase: Phase::Queued, started_order: 0 };
        self.entries.insert(entry.item.request_id.clone(), entry);
    }

    fn forget(&mut self, now_ms: Millis) {
        self.levels.retain(|_, level| now_ms < level.told_at_ms + LEVEL_LIFE_MS);
        let orgs: Vec<OrgName> =
            self.entries.values().map(|entry| entry.item.org.clone()).collect();
        self.served.retain(|org, _| orgs.contains(org));
    }

    /// Brings the running streams to the limit: down at once, up by the window.
    fn settle(&mut self, now_ms: Millis, unix_ms: Millis, actions: &mut Vec<Action>) {
        let online = self.online();
        if online > 0 {
            self.online_at_ms = Some(now_ms);
        }
        if !self.limits.takes_batch {
            self.reject_queued(actions);
        }
        let limit = self.limit(now_ms, unix_ms, online);
        self.window = self.window.min(limit.max(1));
        while self.running() > limit {
            let Some(request_id) = self.next_to_pause() else {
                break;
            };
            self.set_phase(&request_id, Phase::Paused);
            actions.push(Action::Pause(request_id));
        }
        self.grow(now_ms, limit);
        while self.running() < limit.min(self.window) {
            let Some((request_id, phase)) = self.next_to_run(unix_ms) else {
                break;
            };
            self.start(&request_id);
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

    fn limit(&self, now_ms: Millis, unix_ms: Millis, online: u32) -> u32 {
        let limits = &self.limits;
        if !limits.takes_batch {
            // Runs in progress may end; nothing new is started.
            return self.running() + self.count(Phase::Paused);
        }
        if now_ms < self.opened_at_ms {
            return 0;
        }
        if limits.policy != LanePolicy::Yield || !limits.takes_online {
            return limits.slots;
        }
        let reserve = limits.slots * limits.online_reserve_percent / 100;
        let free = limits.slots.saturating_sub(reserve);
        let was_online =
            self.online_at_ms.is_some_and(|at_ms| now_ms < at_ms + limits.online_quiet_ms);
        if online == 0 && !was_online {
            return free;
        }
        let beside = self.beside_online();
        let beside = if self.has_urgent(unix_ms) { beside * URGENT_FACTOR } else { beside };
        free.saturating_sub(online).min(beside)
    }

    /// Returns the streams that batch may run beside online requests.
    fn beside_online(&self) -> u32 {
        let untaught = self.limits.slots * self.limits.batch_beside_online_percent / 100;
        self.beside.unwrap_or(untaught)
    }

    /// Follows the learned step time; small changes are passed over, since each would pause and
    /// resume streams.
    fn learn_beside(&mut self) {
        let Some(line) = self.step_time.line() else {
            return;
        };
        let percent = self.limits.online_slowdown_percent;
        let learned = line.streams_beside(self.online(), percent).min(self.limits.slots);
        let is_close = self.beside.is_some_and(|known| known.abs_diff(learned) < BESIDE_STEP);
        if !is_close {
            let known = self.beside.unwrap_or(learned);
            self.beside = Some((known * 3 + learned) / 4);
        }
    }

    fn grow(&mut self, now_ms: Millis, limit: u32) {
        let step = (self.limits.slots / GROW_DIVISOR).max(1);
        if self.window < limit && now_ms >= self.grown_at_ms + GROW_EVERY_MS {
            self.window = (self.window + step).min(limit);
            self.grown_at_ms = now_ms;
        }
    }

    fn online(&self) -> u32 {
        self.levels.values().map(|level| level.level).sum()
    }

    fn has_urgent(&self, unix_ms: Millis) -> bool {
        self.entries.values().any(|entry| is_urgent(&entry.item, unix_ms))
    }

    /// Chooses whom to pause: idempotent items first, then the latest due, then the newest.
    fn next_to_pause(&self) -> Option<RequestId> {
        self.entries
            .values()
            .filter(|entry| entry.phase == Phase::Running)
            .max_by_key(|entry| {
                (entry.item.idempotent, entry.item.due_unix_ms, entry.started_order)
            })
            .map(|entry| entry.item.request_id.clone())
    }

    /// Chooses what runs next: paused items, then urgent ones, then the least served
    /// organisation's earliest due.
    fn next_to_run(&self, unix_ms: Millis) -> Option<(RequestId, Phase)> {
        let has_running = self.running() > 0;
        if self.entries.values().any(|e| e.phase == Phase::Running && e.item.alone) {
            return None;
        }
        self.entries
            .values()
            .filter(|entry| entry.phase != Phase::Running)
            .filter(|entry| !entry.item.alone || !has_running)
            .min_by(|a, b| self.order_key(a, unix_ms).total_cmp(&self.order_key(b, unix_ms)))
            .map(|entry| (entry.item.request_id.clone(), entry.phase))
    }

    fn order_key(&self, entry: &Entry, unix_ms: Millis) -> OrderKey {
        OrderKey {
            is_queued: entry.phase == Phase::Queued,
            is_patient: !is_urgent(&entry.item, unix_ms),
            served: self.served.get(&entry.item.org).copied().unwrap_or(0.0),
            due_unix_ms: entry.item.due_unix_ms,
        }
    }

    fn start(&mut self, request_id: &RequestId) {
        self.next_order += 1;
        let order = self.next_order;
        let floor = self.served.values().copied().fold(f64::INFINITY, f64::min);
        if let Some(entry) = self.entries.get_mut(request_id) {
            if entry.phase == Phase::Queued {
                // A new organisation starts level with the least served one, not at zero.
                let start = if floor.is_finite() { floor } else { 0.0 };
                let served = self.served.entry(entry.item.org.clone()).or_insert(start);
                *served += 1.0 / f64::from(entry.item.weight.max(1));
            }
            entry.phase = Phase::Running;
            entry.started_order = order;
        }
    }

    fn set_phase(&mut self, request_id: &RequestId, phase: Phase) {
        if let Some(entry) = self.entries.get_mut(request_id) {
            entry.phase = phase;
        }
    }

    fn count(&self, phase: Phase) -> u32 {
        self.entries.values().filter(|entry| entry.phase == phase).count() as u32
    }

    fn queue_limit(&self) -> u32 {
        (self.limits.slots / 2).max(2)
    }
}

fn is_urgent(item: &LaneItem, unix_ms: Millis) -> bool {
    item.due_unix_ms < unix_ms + URGENT_LEFT_MS
}

/// The order in which items run; the smallest first.
struct OrderKey {
    is_queued: bool,
    is_patient: bool,
    served: f64,
    due_unix_ms: Millis,
}

impl OrderKey {
    fn total_cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.is_queued, self.is_patient)
            .cmp(&(other.is_queued, other.is_patient))
            .then_with(|| self.served.total_cmp(&other.served))
            .then_with(|| self.due_unix_ms.cmp(&other.due_unix_ms))
    }
}
