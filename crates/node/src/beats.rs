//! Heartbeats: sends what is due, takes what comes, and acts on who lives.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use catalog::ReplicaView;
use jobs::Board;
use jobs::notes::JobMessage;
use log::info;
use peers::Heartbeat;
use peers::Topic;
use peers::Transport;
use peers::heartbeat::Datagram;
use peers::heartbeat::Identity;
use peers::heartbeat::LostDaemon;
use peers::heartbeat::Readiness;
use peers::membership::MemberAction;
use peers::transport::decode;
use slots::Slots;
use store::ObjectClient;
use store::Reach;
use tokio::task::spawn_local;
use wire::DaemonName;
use wire::Millis;

use crate::knowledge::Knowledge;
use crate::knowledge::Source;

/// How often the daemon looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// How often an isolated daemon has the homes of its jobs confirmed; results that another daemon
/// shows must be seen here within a second.
const CONFIRM_EVERY: Duration = Duration::from_millis(800);
/// How often orphaned jobs are looked for.
const ORPHANS_EVERY_MS: Millis = 500;

/// Everything that heartbeats carry and change.
pub struct Beats {
    /// What the daemon knows of the platform.
    pub knowledge: Rc<Knowledge>,
    /// The socket.
    pub transport: Rc<Transport>,
    /// The replicas' slots.
    pub slots: Rc<Slots>,
    /// The jobs.
    pub board: Rc<Board>,
    /// The store.
    pub store: Rc<ObjectClient>,
}

impl Beats {
    /// Takes the messages of the transport.
    pub fn listen(self: &Rc<Self>) {
        self.on(Topic::Heartbeat, Self::take_beat);
        self.on(Topic::Members, Self::take_members);
        self.on(Topic::Jobs, Self::take_job_message);
        self.on(Topic::Replicas, Self::take_replica_news);
        self.on(Topic::Lost, Self::take_loss);
    }

    fn on(self: &Rc<Self>, topic: Topic, take: fn(&Self, &Datagram)) {
        let beats = self.clone();
        let receiver = move |datagram: &Datagram, _from: IpAddr| take(&beats, datagram);
        self.transport.on(topic, Rc::new(receiver));
    }

    /// Takes daemons that the store names.
    pub fn told(&self, members: Vec<Identity>) {
        let now_ms = self.knowledge.clock.now_ms();
        let actions = self.knowledge.membership.borrow_mut().told(now_ms, members);
        self.perform(actions);
    }

    /// Sends what is due until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut orphans_ms = 0;
        loop {
            ticks.tick().await;
            let now_ms = self.knowledge.clock.now_ms();
            self.update_readiness();
            let gone = self.knowledge.replicas.borrow_mut().tick(now_ms);
            self.knowledge.replicas_changed(&gone, Source::Hold);
            self.slots.tick();
            let actions = self.knowledge.membership.borrow_mut().tick(now_ms);
            self.perform(actions);
            if now_ms >= orphans_ms + ORPHANS_EVERY_MS {
                orphans_ms = now_ms;
                self.adopt_orphans();
            }
        }
    }

    fn update_readiness(&self) {
        let knows_configuration = self.knowledge.in_force.borrow().current().is_some();
        let mut membership = self.knowledge.membership.borrow_mut();
        if knows_configuration && membership.own_readiness() == Readiness::Starting {
            membership.set_own_readiness(Readiness::Ready);
            drop(membership);
            info!("event=ready version={}", self.knowledge.in_force.borrow().version());
        }
    }

    fn adopt_orphans(&self) {
        if self.board.is_leaving() {
            return;
        }
        for job in self.board.orphans() {
            let board = self.board.clone();
            spawn_local(async move { board.adopt(&job).await });
        }
    }

    /// Has the homes of open jobs confirmed by the store for as long as no peer is heard.
    pub async fn run_isolated(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CONFIRM_EVERY).await;
            if self.knowledge.membership.borrow().is_isolated() {
                self.board.confirm_homes().await;
            }
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let membership = self.knowledge.membership.borrow();
        Heartbeat {
            identity: membership.own().clone(),
            readiness: membership.own_readiness(),
            reaches_store: self.store.reach() == Reach::Answers,
            configuration_version: self.knowledge.in_force.borrow().version(),
            replicas_revision: self.knowledge.replicas.borrow().revision(),
            riders: vec![self.slots.encode_loads(), self.board.rider()],
        }
    }

    fn perform(&self, actions: Vec<MemberAction>) {
        let is_sending =
            actions.iter().any(|action| matches!(action, MemberAction::SendHeartbeat(_)));
        let beat = is_sending.then(|| self.heartbeat());
        let news = is_sending.then(|| self.knowledge.replica_news()).flatten();
        if is_sending {
            self.slots.send_run_lists();
        }
        for action in actions {
            match action {
                MemberAction::SendHeartbeat(ip) => {
                    // First, so that the heartbeat's revision makes nobody ask for them.
                    if let Some(news) = &news {
                        self.transport.send(ip, Topic::Replicas, news);
                    }
                    if let Some(beat) = &beat {
                        self.transport.send(ip, Topic::Heartbeat, beat);
                    }
                }
                MemberAction::SendMembers(ip) => {
                    let members = self.knowledge.membership.borrow().identities();
                    self.transport.send(ip, Topic::Members, &members);
                }
                MemberAction::Changed { name, state, silent_ms } => {
                    info!("event=peer_{state} peer={name} silent_ms={silent_ms}");
                    let live = self.knowledge.membership.borrow().alive().count() + 1;
                    self.store.set_live_daemons(live);
                }
                MemberAction::Restarted(name) => {
                    info!("event=peer_restarted peer={name}");
                    self.forget_life(&name);
                }
                MemberAction::Lost(name) => {
                    self.tell_of_loss(&name);
                    self.forget_life(&name);
                }
            }
        }
    }

    fn tell_of_loss(&self, name: &DaemonName) {
        let membership = self.knowledge.membership.borrow();
        let Some(peer) = membership.peer(name) else { return };
        let lost = LostDaemon { name: name.clone(), incarnation: peer.identity.incarnation };
        for ip in membership.to_tell_of_loss(name) {
            self.transport.send(ip, Topic::Lost, &lost);
        }
    }

    fn take_loss(&self, datagram: &Datagram) {
        let Some(lost) = decode::<LostDaemon>(Topic::Lost, &datagram.payload) else { return };
        let now_ms = self.knowledge.clock.now_ms();
        let actions =
            self.knowledge.membership.borrow_mut().told_lost(now_ms, &datagram.from, &lost);
        self.perform(actions);
    }

    /// Forgets what a lost life of a daemon held in memory.
    fn forget_life(&self, name: &DaemonName) {
        self.slots.remove_holder(name);
        self.board.forget_waiting(name);
        self.board.suspect_orphans();
    }

    fn take_job_message(&self, datagram: &Datagram) {
        if let Some(message) = decode::<JobMessage>(Topic::Jobs, &datagram.payload) {
            self.board.take_message(message);
        }
    }

    fn take_replica_news(&self, datagram: &Datagram) {
        let Some(view) = decode::<ReplicaView>(Topic::Replicas, &datagram.payload) else { return };
        if self.knowledge.take_view(view) {
            return;
        }
        let membership = self.knowledge.membership.borrow();
        let control = membership.peer(&datagram.from).and_then(|peer| peer.identity.control);
        if let Some(control) = control {
            let knowledge = self.knowledge.clone();
            spawn_local(async move { knowledge.pull_all_replicas(control).await });
        }
    }

    fn take_beat(&self, datagram: &Datagram) {
        let Some(beat) = decode::<Heartbeat>(Topic::Heartbeat, &datagram.payload) else { return };
        let now_ms = self.knowledge.clock.now_ms();
        let actions = self.knowledge.membership.borrow_mut().heard(now_ms, &beat);
        self.perform(actions);
        for rider in &beat.riders {
            match rider.topic {
                Topic::Slots => self.slots.apply_loads(&rider.payload),
                Topic::Jobs => {
                    let identity = &beat.identity;
                    self.board.take_rider(&identity.name, identity.incarnation, &rider.payload);
                }
                Topic::Heartbeat | Topic::Members | Topic::Replicas | Topic::Lost => {}
            }
        }
        let Some(control) = beat.identity.control else { return };
        if beat.configuration_version > self.knowledge.in_force.borrow().version() {
            let knowledge = self.knowledge.clone();
            spawn_local(async move { knowledge.pull_configuration(control).await });
        }
        if beat.replicas_revision > self.knowledge.replicas.borrow().revision() {
            let knowledge = self.knowledge.clone();
            spawn_local(async move { knowledge.pull_replicas(control).await });
        }
    }

    fn take_members(&self, datagram: &Datagram) {
        if let Some(members) = decode::<Vec<Identity>>(Topic::Members, &datagram.payload) {
            self.told(members);
        }
    }
}
