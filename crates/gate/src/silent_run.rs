//! A run whose replica is silent, and the search for another replica while it goes on.

use std::future::pending;
use std::future::ready;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use log::info;
use quota::Credit;
use slots::NoSlot;
use slots::SlotLease;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::Millis;
use wire::Route;

use crate::attempt::Attempt;
use crate::attempt::SendFailure;
use crate::attempt::SilenceAction;
use crate::exchange::ClientRequest;
use crate::exchange::ReplicaAnswer;
use crate::forward::SendError;
use crate::gateway::Gateway;
use crate::report::Sends;

/// The longest time that two runs of a request are open at engines at the same time.
const MAX_ENGINE_OVERLAP: Duration = Duration::from_millis(250);
/// The pause after a search for another replica that was in vain.
const SEARCH_PAUSE: Duration = Duration::from_millis(200);

/// A request with what its sends need.
#[derive(Clone)]
pub struct Call {
    /// The request.
    pub request: Rc<ClientRequest>,
    /// The route of the request.
    pub route: Arc<Route>,
    /// When the request arrived.
    pub arrived_ms: Millis,
    /// The event after which a replica resumes the stream.
    pub last_event: Option<u64>,
    /// The credit of the organisation's quota, if it has one.
    pub credit: Option<Rc<Credit>>,
}

/// A request that was sent to a replica; dropping it closes its connection.
pub struct ReplicaRun {
    /// The slot that the run occupies.
    pub lease: Rc<SlotLease>,
    /// The head of the answer.
    pub head: LocalBoxFuture<'static, Result<ReplicaAnswer, SendFailure>>,
}

/// How the wait for a silent run ended.
pub enum Waited<T> {
    /// The run went on.
    Progress(T),
    /// The run failed, and no other one has begun.
    Failed(SendFailure),
    /// Another run takes its place.
    Replaced(ReplicaRun, SendFailure),
}

/// A run whose replica is silent, and the run at another replica that may take its place.
pub struct SilentRun {
    gateway: Rc<Gateway>,
    call: Call,
    attempt: Attempt,
    sends: Sends,
    current: Rc<SlotLease>,
    replacement: Option<ReplicaRun>,
    began_ms: Millis,
    has_logged_wait: bool,
}

impl SilentRun {
    /// Creates the state of a run that has just been found silent.
    pub fn new(
        gateway: &Rc<Gateway>,
        call: &Call,
        attempt: &Attempt,
        sends: &Sends,
        current: &Rc<SlotLease>,
    ) -> Self {
        Self {
            gateway: gateway.clone(),
            call: call.clone(),
            attempt: attempt.clone(),
            sends: sends.clone(),
            current: current.clone(),
            replacement: None,
            began_ms: gateway.now_ms(),
            has_logged_wait: false,
        }
    }

    /// Returns the state of the attempt and its sends after the wait.
    pub fn into_parts(self) -> (Attempt, Sends) {
        (self.attempt, self.sends)
    }

    /// Waits until the silent run goes on or fails, or until another run takes its place, which it
    /// also does if the silent one goes on with progress that is not usable.
    pub async fn wait<T>(
        &mut self,
        current: impl Future<Output = Result<T, SendFailure>>,
        is_usable: impl Fn(&T) -> bool,
    ) -> Waited<T> {
        info!(
            "event=run_silent id={} replica={} runs={}",
            self.call.request.id,
            self.current.replica.name,
            self.attempt.runs()
        );
        let ended = tokio::select! {
            biased;
            ended = current => ended,
            () = self.replace() => Err(SendFailure::Stalled),
        };
        let replacement = self.replacement.take();
        let replacement_name = replacement.as_ref().map(|run| run.lease.replica.name.clone());
        let (outcome, waited) = match (ended, replacement) {
            (Ok(progress), None) => ("continued", Waited::Progress(progress)),
            (Ok(progress), Some(run)) if !is_usable(&progress) => {
                ("replaced", Waited::Replaced(run, SendFailure::ServerError))
            }
            (Ok(progress), Some(_)) => {
                self.attempt.record_ended_run(SendFailure::NoAnswer);
                self.sends.replica = Some(self.current.replica.name.clone());
                ("continued", Waited::Progress(progress))
            }
            (Err(failure), None) => ("failed", Waited::Failed(failure)),
            (Err(failure), Some(run)) => ("replaced", Waited::Replaced(run, failure)),
        };
        self.gateway.counters.count_tagged("silent_runs", "outcome", outcome);
        info!(
            "event=run_silence_ended id={} replica={} outcome={outcome} replacement={} after_ms={}",
            self.call.request.id,
            self.current.replica.name,
            replacement_name.as_ref().map_or("-", |name| name.as_str()),
            self.gateway.now_ms().saturating_sub(self.began_ms)
        );
        waited
    }

    /// Begins a run at another replica, and returns once the silent one is to be ended.
    async fn replace(&mut self) {
        while self.attempt.next_on_silence(self.gateway.now_ms()) == SilenceAction::SearchReplica {
            if self.begin_replacement().await && self.await_replacement_head().await {
                return;
            }
            sleep(SEARCH_PAUSE).await;
        }
        self.log_wait("no_run_left");
        pending().await
    }

    /// Sends the request to another replica if one has a slot.
    async fn begin_replacement(&mut self) -> bool {
        let Self { gateway, call, attempt, sends, current, .. } = self;
        let begun = gateway.begin_run(call, attempt, sends, Some(&current.replica)).await;
        let reason = match begun {
            Ok(run) => {
                self.replacement = Some(run);
                return true;
            }
            Err(SendError::NoSlot(NoSlot::NoReplica)) => "no_replica",
            Err(SendError::NoSlot(NoSlot::Full | NoSlot::Late { .. })) => "full",
            Err(SendError::Quarantined(_)) => "quarantined",
            Err(SendError::CallerRefused(_)) => "caller_refused",
            Err(SendError::Failed(failure)) => failure.as_str(),
        };
        self.log_wait(reason);
        false
    }

    /// Waits for the head of the other run; returns whether that run takes the place of the silent
    /// one, which it also does if its head has not come within the overlap.
    async fn await_replacement_head(&mut self) -> bool {
        let has_answer_started = self.attempt.has_answer_started();
        let overlap = self.max_overlap();
        let Some(run) = &mut self.replacement else { return false };
        let failure = match timeout(overlap, run.head.as_mut()).await {
            Err(_) => return true,
            Ok(Ok(answer)) if is_usable(&answer, has_answer_started) => {
                run.head = ready(Ok(answer)).boxed_local();
                return true;
            }
            Ok(Ok(_)) => SendFailure::ServerError,
            Ok(Err(failure)) => failure,
        };
        if let Some(run) = self.replacement.take() {
            let request = &self.call.request;
            self.gateway.record_failure(request, &run.lease, failure, &mut self.sends);
        }
        self.attempt.record_ended_run(failure);
        self.sends.replica = Some(self.current.replica.name.clone());
        self.log_wait(failure.as_str());
        false
    }

    /// Returns how long both runs may be open: a plain request waits for whichever answers first.
    fn max_overlap(&self) -> Duration {
        let Call { request, route, .. } = &self.call;
        if self.gateway.has_engine(route.service_for(request.id.as_str())) {
            return MAX_ENGINE_OVERLAP;
        }
        let give_up_at_ms = self.attempt.policy().give_up_at_ms;
        Duration::from_millis(give_up_at_ms.saturating_sub(self.gateway.now_ms()))
    }

    /// Logs once why the silent run is still awaited.
    fn log_wait(&mut self, reason: &str) {
        if self.has_logged_wait {
            return;
        }
        self.has_logged_wait = true;
        self.gateway.counters.count_tagged("silent_runs_awaited", "reason", reason);
        info!(
            "event=run_awaited id={} replica={} reason={reason}",
            self.call.request.id, self.current.replica.name
        );
    }
}

/// Returns whether an answer may take the place of that of a silent run.
pub(crate) fn is_usable(answer: &ReplicaAnswer, has_answer_started: bool) -> bool {
    let status = answer.head.status;
    if has_answer_started {
        return status.is_success() && answer.head.may_have_events();
    }
    !status.is_server_error()
}
