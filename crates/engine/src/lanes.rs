//! The adapter round the lane cores: the lanes that this daemon owns, and the way to the others.

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
use fleet::Members;
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
use crate::lane::Action;
use crate::lane::Event;
use crate::lane::Lane;
use crate::lane::LaneItem;
use crate::lane::LaneLimits;
use crate::lane_run::Attempt;
use crate::lane_run::Command;
use crate::lane_run::LaneRun;
use crate::replicas::Replicas;

/// How often lanes look for what time alone changes.
const TICK: Duration = Duration::from_millis(20);
/// Gaps between tokens from which a median is taken.
const MIN_GAPS: usize = 3;
/// The wait suggested when no lane can be reached.
pub(crate) const NO_LANE_RETRY_AFTER_MS: Millis = 200;

struct OwnLane {
    core: Lane,
    gaps_us: Vec<u64>,
    commands: BTreeMap<RequestId, mpsc::UnboundedSender<Command>>,
}

/// The batch lanes as the rest of the daemon uses them.
pub struct Lanes {
    pub(crate) services: Arc<Services>,
    replicas: Arc<Replicas>,
    pub(crate) backend: Arc<dyn Backend>,
    links: Arc<Links>,
    members: Arc<Members>,
    own: Mutex<BTreeMap<ReplicaName, OwnLane>>,
}

impl Lanes {
    /// Creates the adapter; `spawn` starts its work.
    pub fn new(
        services: Arc<Services>,
        replicas: Arc<Replicas>,
        backend: Arc<dyn Backend>,
        links: Arc<Links>,
        members: Arc<Members>,
    ) -> Arc<Self> {
        let own = Mutex::new(BTreeMap::new());
        Arc::new(Self { services, replicas, backend, links, members, own })
    }

    /// Starts the lanes' clock and takes calls from peers.
    pub fn spawn(self: &Arc<Self>) {
        self.links.add_handler(Arc::new(LaneHandler(Arc::clone(self))));
        let lanes = Arc::clone(self);
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(TICK);
            loop {
                tokio::select! {
                    () = lanes.services.stopped.cancelled() => return,
                    _ = ticks.tick() => lanes.tick(),
                }
            }
        });
    }

    /// Runs one batch item on the lane of its replica, wherever its owner is.
    pub async fn run(&self, item: RunItem, wait_ms: Millis) -> ItemEnd {
        let owner = self.members.owner_of(item.replica.as_str());
        let Some(owner) = owner else {
            return ItemEnd::NotRun { retry_after_ms: NO_LANE_RETRY_AFTER_MS };
        };
        if owner == self.services.settings.daemon {
            return self.run_here(&item).await;
        }
        let Some(peer) = self.members.peer(&owner) else {
            return ItemEnd::NotRun { retry_after_ms: NO_LANE_RETRY_AFTER_MS };
        };
        let wait = Duration::from_millis(wait_ms);
        let stop = StopOnDrop::new(self, &peer, &item.request_id);
        let reply = self.links.call(&peer, Request::RunItem(item), wait).await;
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

    /// Stops an item that `run` is running; `run` then returns.
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

    /// Tells the owner of a replica's lane of this daemon's online requests there.
    pub fn report(&self, level: OnlineLevel) {
        let own = &self.services.settings.daemon;
        let Some(owner) = self.members.owner_of(level.replica.as_str()) else {
            return;
        };
        if owner == *own {
            self.on_level(own.clone(), level);
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

    /// Returns the batch streams that run on the lanes owned here.
    pub fn running(&self) -> u32 {
        self.own().values().map(|lane| lane.core.running()).sum()
    }

    /// Waits until every batch item that runs here has ended; queued ones are given back.
    pub async fn drain(&self) {
        while !self.own().values().all(|lane| lane.core.is_idle()) {
            tokio::time::sleep(TICK).await;
        }
    }

    /// Returns a lane's limits; a leaving daemon starts nothing new.
    fn limits(&self, replica: &ReplicaName) -> Option<LaneLimits> {
        let limits = self.replicas.lane_limits(replica)?;
        let is_leaving = self.services.leaving.is_cancelled();
        Some(LaneLimits { takes_batch: limits.takes_batch && !is_leaving, ..limits })
    }

    fn on_level(&self, daemon: DaemonName, level: OnlineLevel) {
        let event = Event::Online { daemon, level: level.level };
        self.step(&level.replica, event);
    }

    fn tick(&self) {
        let mut own = self.own();
        for (replica, lane) in own.iter_mut() {
            if let Some(limits) = self.limits(replica) {
                lane.core.set_limits(limits);
            }
            if let Some(step_us) = take_median(&mut lane.gaps_us) {
                self.step_lane(lane, Event::StepTime { step_us });
            }
            self.step_lane(lane, Event::Tick);
        }
        // An idle lane is kept: its levels say when batch may start again.
        let running: u32 = own.values().map(|lane| lane.core.running()).sum();
        drop(own);
        self.services.counters.gauge("lanes_running", u64::from(running));
    }

    fn step(&self, replica: &ReplicaName, event: Event) {
        let mut own = self.own();
        if let Some(lane) = self.lane(&mut own, replica) {
            self.step_lane(lane, event);
        }
    }

    fn lane<'a>(
        &self,
        own: &'a mut BTreeMap<ReplicaName, OwnLane>,
        replica: &ReplicaName,
    ) -> Option<&'a mut OwnLane> {
        if !own.contains_key(replica) {
            let limits = self.limits(replica)?;
            let core = Lane::open(self.services.clock.now_ms(), limits);
            let lane = OwnLane { core, gaps_us: Vec::new(), commands: BTreeMap::new() };
            own.insert(replica.clone(), lane);
        }
        own.get_mut(replica)
    }

    fn step_lane(&self, lane: &mut OwnLane, event: Event) {
        let now_ms = self.services.clock.now_ms();
        for action in lane.core.step(now_ms, Clock::unix_ms(), event) {
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

    async fn run_here(&self, item: &RunItem) -> ItemEnd {
        let Some(address) = self.replicas.address(&item.replica) else {
            return ItemEnd::NotRun { retry_after_ms: NO_LANE_RETRY_AFTER_MS };
        };
        if item.resume_only {
            return self.resume_only(item, address).await;
        }
        let (sender, commands) = mpsc::unbounded_channel();
        if !self.submit(item, sender) {
            return ItemEnd::NotRun { retry_after_ms: NO_LANE_RETRY_AFTER_MS };
        }
        let mut run = LaneRun::new(self, item, address, commands, false);
        let end = run.drive().await;
        run.is_over = true;
        end
    }

    fn submit(&self, item: &RunItem, sender: mpsc::UnboundedSender<Command>) -> bool {
        let weight = self.weight_of(item);
        let mut own = self.own();
        let Some(lane) = self.lane(&mut own, &item.replica) else {
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

    fn weight_of(&self, item: &RunItem) -> u32 {
        let active = self.replicas.holder().active();
        active
            .and_then(|active| {
                let org = active.bundle.organisations.iter().find(|org| org.name == item.org)?;
                Some(org.batch_weight)
            })
            .unwrap_or(1)
    }

    /// Reads an earlier run of a non-idempotent item to its end; it is never run anew.
    async fn resume_only(&self, item: &RunItem, address: SocketAddr) -> ItemEnd {
        let (_keep_open, commands) = mpsc::unbounded_channel();
        let mut run = LaneRun::new(self, item, address, commands, true);
        let end = run.resume().await;
        run.is_over = true;
        match end {
            Attempt::Ended(end) => end,
            Attempt::Paused => ItemEnd::Unknown,
        }
    }

    /// Records the time between two tokens of a batch stream.
    pub(crate) fn on_gap(&self, replica: &ReplicaName, gap: Duration) {
        if let Some(lane) = self.own().get_mut(replica) {
            lane.gaps_us.push(gap.as_micros() as u64);
        }
    }

    pub(crate) fn on_ended(&self, item: &RunItem) {
        let mut own = self.own();
        if let Some(lane) = own.get_mut(&item.replica) {
            lane.commands.remove(&item.request_id);
            let request_id = item.request_id.clone();
            self.step_lane(lane, Event::Ended { request_id });
        }
    }

    fn stop_item(&self, request_id: &RequestId) {
        let own = self.own();
        let commands = own.values().find_map(|lane| lane.commands.get(request_id));
        if let Some(commands) = commands {
            let _ = commands.send(Command::Stop);
        }
    }

    fn own(&self) -> MutexGuard<'_, BTreeMap<ReplicaName, OwnLane>> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the median of the samples and forgets them.
fn take_median(samples: &mut Vec<u64>) -> Option<u64> {
    if samples.len() < MIN_GAPS {
        return None;
    }
    samples.sort_unstable();
    let median = samples[samples.len() / 2];
    samples.clear();
    Some(median)
}

/// Tells the lane's owner when the caller of a remote run goes away.
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

struct LaneHandler(Arc<Lanes>);

#[async_trait]
impl LinkHandler for LaneHandler {
    async fn call(&self, _from: &DaemonName, request: &Request) -> Option<Reply> {
        let Request::RunItem(item) = request else {
            return None;
        };
        Some(Reply::ItemEnd(self.0.run_here(item).await))
    }

    fn notice(&self, from: &DaemonName, notice: &Notice) {
        match notice {
            Notice::Online(levels) => {
                for level in levels {
                    self.0.on_level(from.clone(), level.clone());
                }
            }
            Notice::StopItem { request_id } => self.0.stop_item(request_id),
            _ => {}
        }
    }
}
