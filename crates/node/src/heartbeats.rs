//! Heartbeats: sends those that are due, handles received ones and acts on membership changes.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use catalog::ContactReport;
use catalog::Incarnation;
use catalog::ReplicaView;
use catalog::SendTime;
use gate::CrashGuard;
use jobs::JobManager;
use jobs::message::JobMessage;
use log::debug;
use log::info;
use peers::Heartbeat;
use peers::Topic;
use peers::Transport;
use peers::heartbeat::Attachment;
use peers::heartbeat::Datagram;
use peers::heartbeat::Identity;
use peers::heartbeat::LostDaemon;
use peers::heartbeat::Readiness;
use peers::membership::MemberAction;
use peers::transport::decode;
use peers::transport::decode_extension;
use peers::transport::decode_prefix;
use peers::transport::encode;
use quarantine::QuarantineView;
use quota::Quotas;
use rand::seq::SliceRandom;
use slots::Slots;
use store::ObjectClient;
use store::Reachability;
use tokio::task::spawn_local;
use wire::DaemonName;
use wire::Millis;

use crate::leaving_notices::LeavingNotices;
use crate::platform_state::PlatformState;

/// The time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How often an isolated daemon has the homes of its jobs confirmed; results that another daemon
/// shows must be visible here within a second.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(800);
/// The time between two searches for orphaned jobs.
const ORPHAN_SEARCH_INTERVAL_MS: Millis = 500;

/// The number of peers that get the complete quarantine with each round of heartbeats.
const QUARANTINE_PEERS: usize = 3;

/// Sends and handles heartbeats and the other datagrams between daemons.
pub struct HeartbeatService {
    /// The daemon's copy of the platform's state.
    pub state: Rc<PlatformState>,
    /// The transport for datagrams.
    pub transport: Rc<Transport>,
    /// The allocation of replica slots.
    pub slots: Rc<Slots>,
    /// The manager of the jobs.
    pub job_manager: Rc<JobManager>,
    /// The client of the store.
    pub store: Rc<ObjectClient>,
    /// The announcements of replicas that are sent to peers.
    pub leaving_notices: RefCell<LeavingNotices>,
    /// The quarantine of prompt parts and requests.
    pub crash_guard: Rc<CrashGuard>,
    /// The request quotas of organisations.
    pub quotas: Rc<Quotas>,
}

impl HeartbeatService {
    /// Registers the handlers of datagrams at the transport.
    pub fn listen(self: &Rc<Self>) {
        self.register(Topic::Heartbeat, Self::handle_heartbeat);
        self.register(Topic::Members, Self::handle_members);
        self.register(Topic::Jobs, Self::handle_job_message);
        self.register(Topic::Replicas, Self::handle_replica_view);
        self.register(Topic::Lost, Self::handle_loss_report);
        self.register(Topic::Leaving, Self::handle_leaving_notices);
        self.register(Topic::Quarantine, Self::handle_quarantine_view);
        self.quotas.listen();
    }

    fn register(self: &Rc<Self>, topic: Topic, handle: fn(&Self, &Datagram)) {
        let service = self.clone();
        let handler = move |datagram: &Datagram, _from: IpAddr| handle(&service, datagram);
        self.transport.set_handler(topic, Rc::new(handler));
    }

    /// Adds daemons that a peer or the store names to the membership.
    pub fn add_members(&self, members: Vec<Identity>, is_from_store: bool) {
        let now_ms = self.state.clock.now_ms();
        let actions = self.state.membership.borrow_mut().add_members(now_ms, members);
        self.perform(actions);
        self.quotas.record_member_list(is_from_store);
    }

    /// Runs the periodic work until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut searched_ms = 0;
        loop {
            ticks.tick().await;
            let now_ms = self.state.clock.now_ms();
            self.job_manager.check_for_pause();
            self.update_readiness();
            self.state.record_store_answer(&self.store);
            self.state.end_holds();
            self.slots.tick();
            self.send_leaving_notices(now_ms);
            self.crash_guard.tick();
            self.push_quarantine();
            let configuration = self.state.in_force.borrow().current().cloned();
            self.quotas.tick(configuration.as_deref());
            let actions = self.state.membership.borrow_mut().tick(now_ms);
            self.perform(actions);
            if now_ms >= searched_ms + ORPHAN_SEARCH_INTERVAL_MS {
                searched_ms = now_ms;
                self.adopt_orphans();
            }
        }
    }

    /// Sends this daemon's changes of the quarantine to every peer at once.
    fn push_quarantine(&self) {
        let Some(view) = self.crash_guard.take_push() else { return };
        for peer in self.state.membership.borrow().alive() {
            self.transport.send(peer.identity.ip, Topic::Quarantine, &view);
        }
    }

    /// Sends the quarantine with a round of heartbeats: recent changes to all, in case their first
    /// datagram was lost, and the rest to a few peers, so that it reaches daemons that were
    /// restarted or cut off.
    fn send_quarantine(&self, peers: &[IpAddr]) {
        if let Some(view) = self.crash_guard.recent_view() {
            for ip in peers {
                self.transport.send(*ip, Topic::Quarantine, &view);
            }
        }
        if let Some(view) = self.crash_guard.complete_view() {
            for ip in peers.choose_multiple(&mut rand::thread_rng(), QUARANTINE_PEERS) {
                self.transport.send(*ip, Topic::Quarantine, &view);
            }
        }
    }

    fn update_readiness(&self) {
        let knows_configuration = self.state.in_force.borrow().current().is_some();
        let mut membership = self.state.membership.borrow_mut();
        if knows_configuration && membership.own_readiness() == Readiness::Starting {
            membership.set_own_readiness(Readiness::Ready);
            drop(membership);
            info!("event=ready version={}", self.state.in_force.borrow().version());
        }
    }

    /// Sends the new announcements of replicas to all peers.
    fn send_leaving_notices(&self, now_ms: Millis) {
        let new = self.slots.take_unshared_leaving();
        if new.is_empty() {
            return;
        }
        let new = self.leaving_notices.borrow_mut().record(now_ms, new);
        for peer in self.state.membership.borrow().alive() {
            self.transport.send(peer.identity.ip, Topic::Leaving, &new);
        }
    }

    /// Returns the recent announcements to send with a heartbeat, or `None` if there are none.
    fn recent_leaving_notices(&self) -> Option<Vec<Incarnation>> {
        let recent = self.leaving_notices.borrow_mut().recent(self.state.clock.now_ms());
        (!recent.is_empty()).then_some(recent)
    }

    fn handle_leaving_notices(&self, datagram: &Datagram) {
        if let Some(notices) = decode::<Vec<Incarnation>>(Topic::Leaving, &datagram.payload) {
            self.slots.apply_leaving_report(&notices);
        }
    }

    fn adopt_orphans(&self) {
        if self.job_manager.is_leaving() {
            return;
        }
        for job in self.job_manager.orphaned_jobs() {
            let job_manager = self.job_manager.clone();
            spawn_local(async move { job_manager.adopt(&job).await });
        }
    }

    /// Has the store confirm the homes of unfinished jobs while this daemon is isolated.
    pub async fn confirm_homes_while_isolated(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CONFIRM_INTERVAL).await;
            if self.state.membership.borrow().is_isolated() {
                self.job_manager.confirm_homes().await;
            }
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let membership = self.state.membership.borrow();
        let mut attachments = vec![self.slots.encode_loads(), self.job_manager.encode_jobs()];
        attachments.extend(self.encode_contact());
        Heartbeat {
            identity: membership.own().clone(),
            readiness: membership.own_readiness(),
            reaches_store: self.store.reachability() == Reachability::Reachable,
            configuration_version: self.state.in_force.borrow().version(),
            replicas_revision: self.state.replicas.borrow().revision(),
            attachments,
        }
    }

    /// Encodes the report on the store's answers and the time at which it is sent. Older builds ignore the
    /// time, or both.
    fn encode_contact(&self) -> Option<Attachment> {
        let now_ms = self.state.clock.now_ms();
        let report = self.state.replicas.borrow().contact().report(now_ms)?;
        let payload = encode(Topic::Replicas, &(report, now_ms));
        Some(Attachment { topic: Topic::Replicas, payload })
    }

    fn merge_contact(&self, sender: &Identity, payload: &[u8]) {
        let decoded = decode_prefix::<ContactReport>(Topic::Replicas, payload);
        let Some((report, rest)) = decoded else { return };
        let now_ms = self.state.clock.now_ms();
        let mut replicas = self.state.replicas.borrow_mut();
        let Some(sent_ms) = decode_extension::<Millis>(Topic::Replicas, rest) else {
            return replicas.merge_contact(now_ms, report);
        };
        let sent = SendTime { sender: &sender.name, incarnation: sender.incarnation, sent_ms };
        replicas.merge_sent_contact(now_ms, sent, report);
    }

    fn perform(&self, actions: Vec<MemberAction>) {
        let sends_heartbeat =
            actions.iter().any(|action| matches!(action, MemberAction::SendHeartbeat(_)));
        let heartbeat = sends_heartbeat.then(|| self.heartbeat());
        let changes = sends_heartbeat.then(|| self.state.recent_replica_changes()).flatten();
        let leaving = sends_heartbeat.then(|| self.recent_leaving_notices()).flatten();
        if sends_heartbeat {
            self.slots.send_run_lists();
            let targets = actions.iter().filter_map(|action| match action {
                MemberAction::SendHeartbeat(ip) => Some(*ip),
                _ => None,
            });
            self.send_quarantine(&targets.collect::<Vec<_>>());
        }
        for action in actions {
            match action {
                MemberAction::SendHeartbeat(ip) => {
                    // Sent before the heartbeat, whose newer revision would otherwise make the peer
                    // request the changes.
                    if let Some(changes) = &changes {
                        self.transport.send(ip, Topic::Replicas, changes);
                    }
                    if let Some(leaving) = &leaving {
                        self.transport.send(ip, Topic::Leaving, leaving);
                    }
                    if let Some(heartbeat) = &heartbeat {
                        self.transport.send(ip, Topic::Heartbeat, heartbeat);
                    }
                }
                MemberAction::SendMembers(ip) => {
                    let members = self.state.membership.borrow().identities();
                    self.transport.send(ip, Topic::Members, &members);
                    if let Some(view) = self.crash_guard.complete_view() {
                        self.transport.send(ip, Topic::Quarantine, &view);
                    }
                }
                MemberAction::StateChanged { name, state, silent_ms } => {
                    info!("event=peer_{state} peer={name} silent_ms={silent_ms}");
                    let live = self.state.membership.borrow().alive().count() + 1;
                    self.store.set_live_daemons(live);
                }
                MemberAction::Restarted(name) => {
                    info!("event=peer_restarted peer={name}");
                    self.release_incarnation(&name);
                }
                MemberAction::Lost(name) => {
                    self.report_loss(&name);
                    self.release_incarnation(&name);
                }
            }
        }
    }

    fn report_loss(&self, name: &DaemonName) {
        let membership = self.state.membership.borrow();
        let Some(peer) = membership.peer(name) else { return };
        let lost = LostDaemon { name: name.clone(), incarnation: peer.identity.incarnation };
        for ip in membership.loss_report_targets(name) {
            self.transport.send(ip, Topic::Lost, &lost);
        }
    }

    fn handle_loss_report(&self, datagram: &Datagram) {
        let Some(lost) = decode::<LostDaemon>(Topic::Lost, &datagram.payload) else { return };
        let now_ms = self.state.clock.now_ms();
        let actions =
            self.state.membership.borrow_mut().handle_loss_report(now_ms, &datagram.from, &lost);
        self.perform(actions);
    }

    /// Releases what an ended incarnation held in memory and starts a search for its orphaned jobs.
    fn release_incarnation(&self, name: &DaemonName) {
        self.slots.remove_holder(name);
        self.job_manager.forget_waiting_tokens(name);
        self.job_manager.schedule_sweeps();
    }

    fn handle_job_message(&self, datagram: &Datagram) {
        if let Some(message) = decode::<JobMessage>(Topic::Jobs, &datagram.payload) {
            self.job_manager.handle_message(message);
        }
    }

    fn handle_quarantine_view(&self, datagram: &Datagram) {
        match QuarantineView::decode(&datagram.payload) {
            Ok(view) => self.crash_guard.merge(&view),
            Err(error) => {
                debug!("event=datagram_malformed topic={:?} error=\"{error}\"", Topic::Quarantine);
            }
        }
    }

    fn handle_replica_view(&self, datagram: &Datagram) {
        let Some(view) = decode::<ReplicaView>(Topic::Replicas, &datagram.payload) else { return };
        if self.state.merge_peer_view(view) {
            return;
        }
        let membership = self.state.membership.borrow();
        let address = membership.peer(&datagram.from).and_then(|peer| peer.identity.control);
        if let Some(address) = address {
            let state = self.state.clone();
            spawn_local(async move { state.pull_complete_list(address).await });
        }
    }

    fn handle_heartbeat(&self, datagram: &Datagram) {
        let Some(heartbeat) = decode::<Heartbeat>(Topic::Heartbeat, &datagram.payload) else {
            return;
        };
        let now_ms = self.state.clock.now_ms();
        let actions = self.state.membership.borrow_mut().handle_heartbeat(now_ms, &heartbeat);
        self.perform(actions);
        for attachment in &heartbeat.attachments {
            match attachment.topic {
                Topic::Slots => self.slots.apply_loads(&attachment.payload),
                Topic::Jobs => {
                    let identity = &heartbeat.identity;
                    self.job_manager.apply_jobs(
                        &identity.name,
                        identity.incarnation,
                        &attachment.payload,
                    );
                }
                Topic::Replicas => {
                    self.merge_contact(&heartbeat.identity, &attachment.payload);
                }
                Topic::Heartbeat
                | Topic::Members
                | Topic::Lost
                | Topic::Leaving
                | Topic::Quarantine
                | Topic::Quotas => {}
            }
        }
        self.state.in_force.borrow_mut().record_reported(heartbeat.configuration_version);
        let Some(address) = heartbeat.identity.control else { return };
        if heartbeat.configuration_version > self.state.in_force.borrow().version() {
            let state = self.state.clone();
            spawn_local(async move { state.pull_configuration(address).await });
        }
        if heartbeat.replicas_revision > self.state.replicas.borrow().revision() {
            let state = self.state.clone();
            spawn_local(async move { state.pull_replicas(address).await });
        }
    }

    fn handle_members(&self, datagram: &Datagram) {
        if let Some(members) = decode::<Vec<Identity>>(Topic::Members, &datagram.payload) {
            self.add_members(members, false);
        }
    }
}
