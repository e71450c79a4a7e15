//! Keeps quarantined parts of prompts away from replicas and collects the evidence about them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kernel::BootClock;
use kernel::Counters;
use log::info;
use quarantine::Change;
use quarantine::Delegates;
use quarantine::PromptPart;
use quarantine::Quarantine;
use quarantine::QuarantineView;
use quarantine::ReplicaIncarnation;
use tokio::task::spawn_local;
use tokio::time::sleep;
use upstream::refuses_connections;
use wire::ReplicaName;
use wire::ReplicaRecord;

/// How long a replica may take to accept or refuse the connection that shows whether it crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The number of events from which an answer shows that its prompt does not crash replicas.
pub const SOUND_EVENTS: u32 = 2;

/// The delays before the probes of a replica that lost a request: its listener may close a moment
/// after its connections.
const PROBE_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(50)];
/// How long further losses at a crashed replica count without a probe: a new process may already
/// listen at its address.
const CRASH_MEMORY: Duration = Duration::from_millis(1_000);

/// What is known of a replica that lost requests.
enum Loss {
    /// A probe is under way; the parts of each lost request.
    Probing(Vec<Vec<PromptPart>>),
    /// Its process is gone.
    Crashed,
}

/// The quarantine of one daemon.
pub struct PromptGuard {
    clock: BootClock,
    counters: Counters,
    quarantine: RefCell<Quarantine>,
    losses: RefCell<HashMap<ReplicaName, Loss>>,
    delegates: Box<dyn Delegates>,
}

impl PromptGuard {
    /// Creates a quarantine without evidence.
    pub fn new(clock: BootClock, counters: Counters, delegates: Box<dyn Delegates>) -> Self {
        let (quarantine, losses) = (RefCell::default(), RefCell::default());
        Self { clock, counters, quarantine, losses, delegates }
    }

    /// Returns a part because of which a request must not ask for a slot, if there is one.
    pub fn blocking_part(&self, parts: &[PromptPart]) -> Option<PromptPart> {
        let quarantine = self.quarantine.borrow();
        quarantine.blocking_part(self.clock.now_ms(), parts, &*self.delegates)
    }

    /// Checks a request right before it is sent; returns a part because of which it must not be.
    pub fn admit(&self, parts: &[PromptPart]) -> Result<(), PromptPart> {
        let now_ms = self.clock.now_ms();
        let admitted = self.quarantine.borrow_mut().admit(now_ms, parts, &*self.delegates);
        self.log_changes();
        admitted
    }

    /// Records that an answer to a request with these parts has progressed or is complete.
    pub fn record_sound(&self, parts: &[PromptPart]) {
        if !parts.is_empty() {
            self.quarantine.borrow_mut().record_sound(self.clock.now_ms(), parts);
            self.log_changes();
        }
    }

    /// Records that the connection of a request was lost as its answer began, if the replica's
    /// process is gone: a connection may also be reset while its replica lives.
    ///
    /// All requests that are lost with a replica count alike: one probe decides for all of them.
    pub fn record_loss(self: &Rc<Self>, replica: &ReplicaRecord, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        let mut losses = self.losses.borrow_mut();
        if let Some(loss) = losses.get_mut(&replica.name) {
            match loss {
                Loss::Probing(lost) => lost.push(parts.to_vec()),
                Loss::Crashed => self.record_crash(&replica.name, parts),
            }
            return;
        }
        losses.insert(replica.name.clone(), Loss::Probing(vec![parts.to_vec()]));
        let (guard, address, name) = (self.clone(), replica.address, replica.name.clone());
        spawn_local(async move { guard.probe(address, name).await });
    }

    async fn probe(&self, address: SocketAddr, name: ReplicaName) {
        for delay in PROBE_DELAYS {
            sleep(delay).await;
            if refuses_connections(address, CONNECT_TIMEOUT).await {
                self.confirm_crash(&name);
                sleep(CRASH_MEMORY).await;
                break;
            }
        }
        self.losses.borrow_mut().remove(&name);
    }

    fn confirm_crash(&self, name: &ReplicaName) {
        self.counters.count("part_crashes");
        info!("event=replica_crashed replica={name}");
        let loss = self.losses.borrow_mut().insert(name.clone(), Loss::Crashed);
        if let Some(Loss::Probing(lost)) = loss {
            lost.iter().for_each(|parts| self.record_crash(name, parts));
        }
    }

    fn record_crash(&self, name: &ReplicaName, parts: &[PromptPart]) {
        let (now_ms, incarnation) = (self.clock.now_ms(), ReplicaIncarnation::from(name));
        self.quarantine.borrow_mut().record_crash(now_ms, parts, incarnation);
        self.log_changes();
    }

    /// Merges what a peer knows.
    pub fn merge(&self, view: &QuarantineView) {
        self.quarantine.borrow_mut().merge(self.clock.now_ms(), view, &*self.delegates);
        self.log_changes();
    }

    /// Forgets parts without recent requests.
    pub fn tick(&self) {
        self.quarantine.borrow_mut().tick(self.clock.now_ms());
        self.log_changes();
    }

    /// Returns the message to send to every peer at once because of a change of this daemon.
    pub fn take_push(&self) -> Option<QuarantineView> {
        self.quarantine.borrow_mut().take_push(self.clock.now_ms())
    }

    /// Returns the recent changes of this daemon, which are sent to every peer with a heartbeat.
    pub fn recent_view(&self) -> Option<QuarantineView> {
        self.quarantine.borrow().recent_view(self.clock.now_ms())
    }

    /// Returns all that is known, which a few peers get with each round of heartbeats.
    pub fn complete_view(&self) -> Option<QuarantineView> {
        self.quarantine.borrow().complete_view(self.clock.now_ms())
    }

    fn log_changes(&self) {
        let changes = self.quarantine.borrow_mut().take_changes();
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Change::Marked { part, crashes } => {
                    info!("event=part_marked part={part} crashes={crashes}");
                }
                Change::Quarantined { part, crashes } => {
                    self.counters.count("parts_quarantined");
                    info!("event=part_quarantined part={part} crashes={crashes}");
                }
                Change::TrialBegun { part } => info!("event=part_trial part={part}"),
                Change::Lifted { part } => {
                    self.counters.count("parts_released");
                    info!("event=part_released part={part}");
                }
            }
        }
        let count = self.quarantine.borrow().quarantined_count();
        self.counters.set_gauge("quarantined_parts", count as u64);
    }
}
