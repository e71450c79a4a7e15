//! Keeps quarantined requests and parts of prompts away from replicas and collects the evidence
//! about them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt::Display;
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
use quarantine::Suspect;
use tokio::task::spawn_local;
use tokio::time::sleep;
use upstream::refuses_connections;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;
use wire::RequestId;

use crate::exchange::ClientRequest;

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
/// The most requests or suspects that one log line lists, and the most trials whose outcome is awaited.
const MAX_LISTED: usize = 16;

/// What is known of a replica that lost requests.
enum Loss {
    /// A probe is under way.
    Probing(Vec<LostRequest>),
    /// Its process is gone.
    Crashed,
}

/// A request that was lost with a replica.
struct LostRequest {
    id: RequestId,
    suspects: Vec<Suspect>,
}

/// The quarantine of one daemon.
pub struct CrashGuard {
    clock: BootClock,
    counters: Counters,
    quarantine: RefCell<Quarantine>,
    losses: RefCell<HashMap<ReplicaName, Loss>>,
    /// The requests that are trials and have no outcome yet, the oldest first.
    trials: RefCell<VecDeque<RequestId>>,
    delegates: Box<dyn Delegates>,
}

impl CrashGuard {
    /// Creates a quarantine without evidence.
    pub fn new(clock: BootClock, counters: Counters, delegates: Box<dyn Delegates>) -> Self {
        Self {
            clock,
            counters,
            quarantine: RefCell::default(),
            losses: RefCell::default(),
            trials: RefCell::default(),
            delegates,
        }
    }

    /// Returns a part because of which an item must wait, if there is one.
    pub fn blocking_part(&self, parts: &[PromptPart]) -> Option<Suspect> {
        let suspects: Vec<Suspect> = parts.iter().copied().map(Suspect::Part).collect();
        let quarantine = self.quarantine.borrow();
        quarantine.blocking_suspect(self.clock.now_ms(), &suspects, &*self.delegates)
    }

    /// Checks the items of a job, each with its parts, before the job is accepted; returns the number
    /// of an item and a part because of which the job is refused.
    pub fn refuse_job(&self, items: &[Vec<PromptPart>]) -> Option<(usize, Suspect)> {
        let suspects = |parts: &Vec<PromptPart>| parts.iter().copied().map(Suspect::Part).collect();
        let items: Vec<Vec<Suspect>> = items.iter().map(suspects).collect();
        self.quarantine.borrow_mut().refuse_job(self.clock.now_ms(), &items, &*self.delegates)
    }

    /// Begins the trial of an item with a quarantined part before the item asks for a slot, so that
    /// peers learn of it early; returns its time, or `None` if the item needs no trial.
    pub fn claim_trial(
        &self,
        id: &RequestId,
        parts: &[PromptPart],
    ) -> Result<Option<Millis>, Suspect> {
        let suspects: Vec<Suspect> = parts.iter().copied().map(Suspect::Part).collect();
        if !suspects.iter().any(|suspect| self.is_quarantined(*suspect)) {
            return Ok(None);
        }
        let now_ms = self.clock.now_ms();
        let admitted = self.quarantine.borrow_mut().admit(now_ms, &suspects, &*self.delegates);
        self.log_changes_of(Some(id));
        admitted.map(|()| Some(now_ms))
    }

    /// Gives back the trial that an item without a slot claimed.
    pub fn release_trial(&self, claimed_ms: Millis, id: &RequestId, parts: &[PromptPart]) {
        let suspects: Vec<Suspect> = parts.iter().copied().map(Suspect::Part).collect();
        let now_ms = self.clock.now_ms();
        self.quarantine.borrow_mut().cancel_trials(now_ms, claimed_ms, &suspects);
        self.log_trial_end(id, "not_run");
    }

    /// Returns whether a suspect is quarantined.
    pub fn is_quarantined(&self, suspect: Suspect) -> bool {
        self.quarantine.borrow().is_quarantined(suspect)
    }

    /// Returns whether any prompt part is quarantined.
    pub fn has_quarantined_parts(&self) -> bool {
        self.quarantine.borrow().quarantined_counts().0 > 0
    }

    /// Returns in how long the next trial of a suspect with an item is due, or `None` if it has none left.
    pub fn trial_due_in_ms(&self, suspect: Suspect) -> Option<Millis> {
        self.quarantine.borrow().trial_due_in_ms(self.clock.now_ms(), suspect)
    }

    /// Checks a request before it asks for a slot; returns a suspect because of which it is refused.
    pub fn refuse_early(&self, request: &ClientRequest) -> Option<Suspect> {
        let suspects = self.suspects_of(request);
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.refuse_early(self.clock.now_ms(), &suspects, &*self.delegates)
    }

    /// Checks a request right before it is sent; returns the time at which it was admitted, or a
    /// suspect because of which it must not be sent.
    pub fn admit(&self, request: &ClientRequest) -> Result<Millis, Suspect> {
        let suspects = self.suspects_of(request);
        let now_ms = self.clock.now_ms();
        let admitted = self.quarantine.borrow_mut().admit(now_ms, &suspects, &*self.delegates);
        self.log_changes_of(Some(&request.id));
        admitted.map(|()| now_ms)
    }

    /// Records that a request that was admitted at `admitted_ms` was not run, so that it was no trial.
    pub fn record_not_run(&self, admitted_ms: Millis, request: &ClientRequest) {
        let suspects = self.suspects_of(request);
        self.quarantine.borrow_mut().cancel_trials(self.clock.now_ms(), admitted_ms, &suspects);
        self.log_trial_end(&request.id, "not_run");
    }

    /// Records that an answer to a request has progressed or is complete.
    pub fn record_sound(&self, request: &ClientRequest) {
        let suspects = self.suspects_of(request);
        if !suspects.is_empty() {
            self.quarantine.borrow_mut().record_sound(self.clock.now_ms(), &suspects);
            self.log_changes();
            self.log_trial_end(&request.id, "sound");
        }
    }

    /// Records that the connection of a request was lost as its answer began, if the replica's
    /// process is gone: a connection may also be reset while its replica lives.
    ///
    /// All requests that are lost with a replica count alike: one probe decides for all of them.
    pub fn record_loss(self: &Rc<Self>, replica: &ReplicaRecord, request: &ClientRequest) {
        let suspects = all_suspects(request);
        if suspects.is_empty() {
            return;
        }
        self.log_trial_end(&request.id, "lost");
        let lost_request = LostRequest { id: request.id.clone(), suspects };
        let mut losses = self.losses.borrow_mut();
        if let Some(loss) = losses.get_mut(&replica.name) {
            match loss {
                Loss::Probing(lost) => lost.push(lost_request),
                Loss::Crashed => {
                    let LostRequest { id, suspects } = lost_request;
                    info!("event=request_lost_in_crash id={id} replica={}", replica.name);
                    self.record_crash(&replica.name, &suspects);
                }
            }
            return;
        }
        losses.insert(replica.name.clone(), Loss::Probing(vec![lost_request]));
        let (guard, address, name) = (self.clone(), replica.address, replica.name.clone());
        spawn_local(async move { guard.probe(address, name).await });
    }

    /// Returns the suspects of a request, without the fingerprint if there is no evidence.
    fn suspects_of(&self, request: &ClientRequest) -> Vec<Suspect> {
        if self.quarantine.borrow().has_suspects() {
            return all_suspects(request);
        }
        request.prompt_parts.iter().copied().map(Suspect::Part).collect()
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
        let loss = self.losses.borrow_mut().insert(name.clone(), Loss::Crashed);
        let lost = if let Some(Loss::Probing(lost)) = loss { lost } else { Vec::new() };
        info!(
            "event=replica_crashed replica={name} lost={} requests={}",
            lost.len(),
            join(lost.iter().map(|request| &request.id))
        );
        lost.iter().for_each(|request| self.record_crash(name, &request.suspects));
    }

    fn record_crash(&self, name: &ReplicaName, suspects: &[Suspect]) {
        let (now_ms, incarnation) = (self.clock.now_ms(), ReplicaIncarnation::from(name));
        self.quarantine.borrow_mut().record_crash(now_ms, suspects, incarnation);
        self.log_changes();
    }

    /// Merges what a peer knows.
    pub fn merge(&self, view: &QuarantineView) {
        self.quarantine.borrow_mut().merge(self.clock.now_ms(), view, &*self.delegates);
        self.log_changes();
    }

    /// Forgets suspects without recent requests.
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
        self.log_changes_of(None);
    }

    /// Logs the changes since the last call; `id` is the request that caused them, if one did.
    fn log_changes_of(&self, id: Option<&RequestId>) {
        let changes = self.quarantine.borrow_mut().take_changes();
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.log_change(change, id);
        }
        let (parts, requests) = self.quarantine.borrow().quarantined_counts();
        self.counters.set_gauge("quarantined_parts", parts as u64);
        self.counters.set_gauge("quarantined_fingerprints", requests as u64);
    }

    fn log_change(&self, change: Change, id: Option<&RequestId>) {
        match change {
            Change::Marked { suspect, crashes } => {
                info!("event={}_marked {suspect} crashes={crashes}", kind_of(suspect));
            }
            Change::Quarantined { suspect, crashes } => {
                self.counters.count(match suspect {
                    Suspect::Part(_) => "parts_quarantined",
                    Suspect::Request(_) => "fingerprints_quarantined",
                });
                info!(
                    "event={}_quarantined {suspect} crashes={crashes} {}",
                    kind_of(suspect),
                    self.describe_evidence(suspect)
                );
            }
            Change::TrialBegun { suspect } => {
                let id_text = id.map_or("-", RequestId::as_str);
                info!("event={}_trial {suspect} id={id_text}", kind_of(suspect));
                self.remember_trial(id);
            }
            Change::Lifted { suspect } => {
                self.counters.count(match suspect {
                    Suspect::Part(_) => "parts_released",
                    Suspect::Request(_) => "fingerprints_released",
                });
                info!("event={}_released {suspect}", kind_of(suspect));
            }
        }
    }

    /// Returns the log fields of the evidence against a suspect: each crash with its age, the age of
    /// the last sound answer known here, and which other suspects its crashes count against.
    fn describe_evidence(&self, suspect: Suspect) -> String {
        let quarantine = self.quarantine.borrow();
        let Some(evidence) = quarantine.evidence(self.clock.now_ms(), suspect) else {
            return String::new();
        };
        let incarnations =
            evidence.crashes.iter().map(|crash| format!("{}:{}", crash.incarnation, crash.age_ms));
        let sound_age = evidence.sound_age_ms.map_or("-".to_owned(), |age_ms| age_ms.to_string());
        format!(
            "incarnations={} sound_age_ms={sound_age} beside={}",
            join(incarnations),
            join(quarantine.suspects_beside(suspect))
        )
    }

    fn remember_trial(&self, id: Option<&RequestId>) {
        let Some(id) = id else { return };
        let mut trials = self.trials.borrow_mut();
        if !trials.contains(id) {
            trials.push_back(id.clone());
        }
        if trials.len() > MAX_LISTED {
            trials.pop_front();
        }
    }

    /// Logs the outcome of a request that was a trial.
    fn log_trial_end(&self, id: &RequestId, outcome: &str) {
        let mut trials = self.trials.borrow_mut();
        let Some(index) = trials.iter().position(|trial| trial == id) else { return };
        trials.remove(index);
        info!("event=trial_ended id={id} outcome={outcome}");
    }
}

/// Returns the first part of the name of events about a suspect.
fn kind_of(suspect: Suspect) -> &'static str {
    match suspect {
        Suspect::Part(_) => "part",
        Suspect::Request(_) => "fingerprint",
    }
}

/// Returns a bounded list for a log line.
fn join(values: impl IntoIterator<Item = impl Display>) -> String {
    let mut listed = Vec::new();
    let mut count = 0;
    for value in values {
        count += 1;
        if count <= MAX_LISTED {
            listed.push(value.to_string());
        }
    }
    match (count, count.saturating_sub(MAX_LISTED)) {
        (0, _) => "-".to_owned(),
        (_, 0) => listed.join(","),
        (_, more) => format!("{},+{more}", listed.join(",")),
    }
}

/// Returns the suspects of a request: its parts, and itself unless it is an item.
fn all_suspects(request: &ClientRequest) -> Vec<Suspect> {
    let parts = request.prompt_parts.iter().copied().map(Suspect::Part);
    let itself = (!request.is_item).then(|| Suspect::Request(request.fingerprint()));
    itself.into_iter().chain(parts).collect()
}
