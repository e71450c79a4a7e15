//! Runs the lanes that this daemon owns and forwards items to the owners of other lanes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use fleet::LinkHandler;
use fleet::Links;
use fleet::MembershipService;
use fleet::link::LinkError;
use kernel::Clock;
use kernel::Services;
use tokio::sync::mpsc;
use wire::DaemonName;
use wire::Millis;
use wire::ReplicaName;
use wire::RequestId;
use wire::link::ItemEnd;
use wire::link::Notice;
use wire::link::OnlineLevel;
use wire::link::Reply;
use wire::link::Request;
use wire::link::RunItem;

use crate::backend::Backend;
use crate::item_task::Command;
use crate::item_task::ItemTask;
use crate::item_task::RunOutcome;
use crate::lane::Action;
use crate::lane::Event;
use crate::lane::Lane;
use crate::lane::LaneItem;
use crate::lane::LaneLimits;
use crate::replicas::Replicas;

/// How often owned lanes handle time-dependent changes, such as expired levels and window growth.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The fewest token intervals of which a median is taken.
const MIN_TOKEN_INTERVALS: usize = 3;
/// The suggested retry delay when no lane can be reached or its backend server is unreachable or
/// busy.
pub(crate) const NO_LANE_RETRY_AFTER_MS: Millis = 200;

struct OwnedLane {
    state: Lane,
    token_intervals_us: Vec<u64>,
    commands: BTreeMap<RequestId, mpsc::UnboundedSender<Command>>,
}

/// The entry point to the batch lanes of all replicas, owned by this daemon or by others.
pub struct Lanes {
    pub(crate) services: Arc<Services>,
    replicas: Arc<Replicas>,
    pub(crate) backend: Arc<dyn Backend>,
    links: Arc<Links>,
    members: Arc<MembershipService>,
    owned: Mutex<BTreeMap<ReplicaName, OwnedLane>>,
}

impl Lanes {
    /// Creates the lanes; `spawn` starts their background work.
    pub fn new(
        services: Arc<Services>,
        replicas: Arc<Replicas>,
        backend: Arc<dyn Backend>,
        links: Arc<Links>,
        members: Arc<MembershipService>,
    ) -> Arc<Self> {
        let owned = Mutex::new(BTreeMap::new());
        Arc::new(Self { services, replicas, backend, links, members, owned })
    }

    /// Starts the periodic tick and registers the handler of calls from peers.
    pub fn spawn(self: &Arc<Self>) {
        self.links.add_handler(Arc::new(LaneLinkHandler(Arc::clone(self))));
        let lanes = Arc::clone(self);
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(TICK_INTERVAL);
            loop {
                tokio::select! {
                    () = lanes.services.stopped.cancelled() => return,
                    _ = ticks.tick() => lanes.tick(),
                }
            }
        });
    }

    /// Runs one batch item on the lane of its replica, here or at the daemon that owns it.
    pub async fn run(&self, item: RunItem, timeout_ms: Millis) -> ItemEnd {
        let owner = self.members.owner_of(item.replica.as_str());
        let Some(owner) = owner else {
            return ItemEnd::NotRun { retry_after_ms: NO_LANE_RETRY_AFTER_MS };
        };
        if owner == self.services.settings.daemon {
            return self.run_locally(&item).await;
        }
        let Some(peer) = self.members.peer(&owner) else {
            return ItemEnd::NotRun { retry_after_ms: NO_LANE_RETRY_AFTER_MS };
        };
        let time_limit = Duration::from_millis(timeout_ms);
        let stop = StopOnDrop::new(self, &peer, &item.request_id);
        let reply = self.links.call(&peer, Request::RunItem(item), time_limit).await;
        stop.disarm();
        match reply {
            Ok(Reply::ItemEnd(end)) => end,
            Ok(_) | Err(LinkError::NoAnswer) => {
                self.links.abandon(&owner).await;
                ItemEnd::Unknown
            }
            Err(LinkError::NotSent) => ItemEnd::NotRun { retry_after_ms: NO_LANE_RETRY_AFTER_MS },
        }
    }

    /// Stops an item passed to `run`, which then returns.
    pub fn stop(&self, item: &RunItem) {
        self.stop_item(&item.request_id);
        let Some(owner) = self.members.owner_of(item.replica.as_str()) else {
            return;
        };
        if let Some(peer) = self.members.peer(&owner) {
            let links = Arc::clone(&self.links);
            let notice = Notice::StopItem { request_id: item.request_id.clone() };
            tokio::spawn(async move {
                let _ = links.notify(&peer, notice).await;
            });
        }
    }

    /// Reports the online requests of this daemon on a replica to the owner of its lane.
    pub fn report_online_level(&self, level: OnlineLevel) {
        let own_daemon = &self.services.settings.daemon;
        let Some(owner) = self.members.owner_of(level.replica.as_str()) else {
            return;
        };
        if owner == *own_daemon {
            self.on_online_level(own_daemon.clone(), level);
            return;
        }
        let Some(peer) = self.members.peer(&owner) else {
            return;
        };
        self.services.counters.count("online_levels_sent");
        let links = Arc::clone(&self.links);
        tokio::spawn(async move {
            let _ = links.notify(&peer, Notice::Online(vec![level])).await;
        });
    }

    /// Returns the number of batch streams that run on the lanes owned here.
    pub fn running(&self) -> u32 {
        self.lock_owned().values().map(|lane| lane.state.running()).sum()
    }

    /// Waits until every batch item on the lanes owned here has ended. Lanes reject queued items
    /// once the daemon is leaving.
    pub async fn drain(&self) {
        while !self.lock_owned().values().all(|lane| lane.state.is_idle()) {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Returns the limits of a lane; a leaving daemon accepts no new batch items.
    fn lane_limits(&self, replica: &ReplicaName) -> Option<LaneLimits> {
        let limits = self.replicas.lane_limits(replica)?;
        let is_leaving = self.services.leaving.is_cancelled();
        Some(LaneLimits { accepts_batch: limits.accepts_batch && !is_leaving, ..limits })
    }

    fn on_online_level(&self, daemon: DaemonName, level: OnlineLevel) {
        let event = Event::OnlineLevel { daemon, level: level.level };
        self.step_replica(&level.replica, event);
    }

    fn tick(&self) {
        let mut owned = self.lock_owned();
        for (replica, lane) in owned.iter_mut() {
            if let Some(limits) = self.lane_limits(replica) {
                lane.state.set_limits(limits);
            }
            if let Some(step_us) = take_median(&mut lane.token_intervals_us) {
                self.step_lane(lane, Event::StepTime { step_us });
            }
            self.step_lane(lane, Event::Tick);
        }
        // Idle lanes are kept, since their online levels determine when batch items may start
        // again.
        let running: u32 = owned.values().map(|lane| lane.state.running()).sum();
        drop(owned);
        self.services.counters.set_gauge("lanes_running", u64::from(running));
    }

    fn step_replica(&self, replica: &ReplicaName, event: Event) {
        let mut owned = self.lock_owned();
        if let Some(lane) = self.get_or_open(&mut owned, replica) {
            self.step_lane(lane, event);
        }
    }

    fn get_or_open<'a>(
        &self,
        owned: &'a mut BTreeMap<ReplicaName, OwnedLane>,
        replica: &ReplicaName,
    ) -> Option<&'a mut OwnedLane> {
        if !owned.contains_key(replica) {
            let limits = self.lane_limits(replica)?;
            let state = Lane::open(self.services.clock.now_ms(), limits);
            let lane =
                OwnedLane { state, token_intervals_us: Vec::new(), commands: BTreeMap::new() };
            owned.insert(replica.clone(), lane);
        }
        owned.get_mut(replica)
    }

    fn step_lane(&self, lane: &mut OwnedLane, event: Event) {
        let now_ms = self.services.clock.now_ms();
        for action in lane.state.step(now_ms, Clock::unix_ms(), event) {
            let (request_id, command) = match action {
                Action::Start(id) => (id, Command::Start),
                Action::Pause(id) => {
                    self.services.counters.count("batch_paused");
                    (id, Command::Pause)
                }
                Action::Resume(id) => (id, Command::Resume),
                Action::Reject { request_id, retry_after_ms } => {
                    (request_id, Command::Reject(retry_after_ms))
                }
            };
            if let Some(commands) = lane.commands.get(&request_id) {
                let _ = commands.send(command);
            }
        }
    }

    async fn run_locally(&self, item: &RunItem) -> ItemEnd {
        let Some(address) = self.replicas.address(&item.replica) else {
            return ItemEnd::NotRun { retry_after_ms: NO_LANE_RETRY_AFTER_MS };
        };
        if item.resume_only {
            return self.resume_earlier_run(item, address).await;
        }
        let (sender, commands) = mpsc::unbounded_channel();
        if !self.submit(item, sender) {
            return ItemEnd::NotRun { retry_after_ms: NO_LANE_RETRY_AFTER_MS };
        }
        let mut task = ItemTask::new(self, item, address, commands, false);
        let end = task.run().await;
        task.is_finished = true;
        end
    }

    fn submit(&self, item: &RunItem, sender: mpsc::UnboundedSender<Command>) -> bool {
        let weight = self.org_weight(item);
        let mut owned = self.lock_owned();
        let Some(lane) = self.get_or_open(&mut owned, &item.replica) else {
            return false;
        };
        lane.commands.insert(item.request_id.clone(), sender);
        let item = LaneItem {
            request_id: item.request_id.clone(),
            org: item.org.clone(),
            weight,
            due_unix_ms: item.due_unix_ms,
            idempotent: item.idempotent,
            alone: item.alone,
        };
        self.step_lane(lane, Event::Submit(item));
        true
    }

    fn org_weight(&self, item: &RunItem) -> u32 {
        let active = self.replicas.bundle_manager().active();
        active
            .and_then(|active| {
                let org = active.bundle.organisations.iter().find(|org| org.name == item.org)?;
                Some(org.batch_weight)
            })
            .unwrap_or(1)
    }

    /// Resumes an earlier run of a non-idempotent item and reads it to the end. No new run is
    /// started.
    async fn resume_earlier_run(&self, item: &RunItem, address: SocketAddr) -> ItemEnd {
        let (_sender, commands) = mpsc::unbounded_channel();
        let mut task = ItemTask::new(self, item, address, commands, true);
        let end = task.resume().await;
        task.is_finished = true;
        match end {
            RunOutcome::Ended(end) => end,
            RunOutcome::Paused => ItemEnd::Unknown,
        }
    }

    /// Records the time between two tokens of a batch stream.
    pub(crate) fn record_token_interval(&self, replica: &ReplicaName, interval: Duration) {
        if let Some(lane) = self.lock_owned().get_mut(replica) {
            lane.token_intervals_us.push(interval.as_micros() as u64);
        }
    }

    pub(crate) fn on_ended(&self, item: &RunItem) {
        let mut owned = self.lock_owned();
        if let Some(lane) = owned.get_mut(&item.replica) {
            lane.commands.remove(&item.request_id);
            let request_id = item.request_id.clone();
            self.step_lane(lane, Event::Ended { request_id });
        }
    }

    fn stop_item(&self, request_id: &RequestId) {
        let owned = self.lock_owned();
        let commands = owned.values().find_map(|lane| lane.commands.get(request_id));
        if let Some(commands) = commands {
            let _ = commands.send(Command::Stop);
        }
    }

    fn lock_owned(&self) -> MutexGuard<'_, BTreeMap<ReplicaName, OwnedLane>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the median of the samples and clears them, or `None` if there are too few.
fn take_median(samples: &mut Vec<u64>) -> Option<u64> {
    if samples.len() < MIN_TOKEN_INTERVALS {
        return None;
    }
    samples.sort_unstable();
    let median = samples[samples.len() / 2];
    samples.clear();
    Some(median)
}

/// Notifies the owner of the lane when the caller of a remote run goes away.
struct StopOnDrop<'a> {
    lanes: &'a Lanes,
    peer: fleet::DaemonInfo,
    request_id: RequestId,
    is_armed: bool,
}

impl<'a> StopOnDrop<'a> {
    fn new(lanes: &'a Lanes, peer: &fleet::DaemonInfo, request_id: &RequestId) -> Self {
        Self { lanes, peer: peer.clone(), request_id: request_id.clone(), is_armed: true }
    }

    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let links = Arc::clone(&self.lanes.links);
        let peer = self.peer.clone();
        let notice = Notice::StopItem { request_id: self.request_id.clone() };
        tokio::spawn(async move {
            let _ = links.notify(&peer, notice).await;
        });
    }
}

struct LaneLinkHandler(Arc<Lanes>);

#[async_trait]
impl LinkHandler for LaneLinkHandler {
    async fn handle_call(&self, _from: &DaemonName, request: &Request) -> Option<Reply> {
        let Request::RunItem(item) = request else {
            return None;
        };
        Some(Reply::ItemEnd(self.0.run_locally(item).await))
    }

    fn handle_notice(&self, from: &DaemonName, notice: &Notice) {
        match notice {
            Notice::Online(levels) => {
                for level in levels {
                    self.0.on_online_level(from.clone(), level.clone());
                }
            }
            Notice::StopItem { request_id } => self.0.stop_item(request_id),
            _ => {}
        }
    }
}
