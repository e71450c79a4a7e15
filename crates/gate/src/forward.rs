//! Forwards a routed request to a replica: acquires a slot, sends it, and retries after a failure.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::HeaderMap;
use http::HeaderName;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use kernel::local_server::LocalBody;
use kernel::pause_tolerant;
use log::info;
use quarantine::Suspect;
use quota::Credit;
use slots::Class;
use slots::NoSlot;
use slots::SlotLease;
use slots::SlotRequest;
use slots::client::ListState;
use tokio::time::timeout;
use upstream::EventSplitter;
use upstream::RunSequence;
use wire::Millis;
use wire::OrgName;
use wire::Reason;
use wire::Refusal;
use wire::ReplicaRecord;
use wire::Route;
use wire::RouteKind;
use wire::ServiceName;

use crate::answer;
use crate::attempt::Attempt;
use crate::attempt::MIN_RETRY_AFTER_MS;
use crate::attempt::NextAction;
use crate::attempt::RetryPolicy;
use crate::attempt::SendFailure;
use crate::attempt::retry_after_ms;
use crate::caller::Caller;
use crate::codec::RequestMeta;
use crate::exchange;
use crate::exchange::ClientRequest;
use crate::exchange::ReplicaAnswer;
use crate::exchange::classify_body_error;
use crate::gateway::Gateway;
use crate::relay::StreamRelay;
use crate::report::RequestReport;
use crate::report::Sends;
use crate::silent_run::Call;
use crate::silent_run::ReplicaRun;
use crate::silent_run::SilentRun;
use crate::silent_run::Waited;
use crate::silent_run::is_usable;

/// The longest time that a request may take, whatever its deadline and its route's timeout are.
pub(crate) const MAX_WAIT_MS: Millis = 60_000;
/// The time from a granted slot to the first event: prompt processing and one decoding step.
const FIRST_EVENT_LATENCY_MS: Millis = 60;
/// The least remaining time of a request with which it is still sent.
const MIN_SEND_MS: Millis = 20;
/// The largest answer of a request that is not streaming, which is buffered until it is complete.
const MAX_BUFFERED_ANSWER_BYTES: usize = 16 << 20;
/// The time without the head of an answer after which a replica with a granted slot is reported as
/// suspect: prompt processing and one decoding step take some tens of milliseconds.
const HEAD_SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// A replica may take this many times the route's objective before another replica is looked for.
const HEAD_SILENCE_OBJECTIVES: Millis = 2;

/// The least time that a run had before its request's deadline, for the deadline to count as a failure
/// of the replica.
const MIN_COUNTED_TIMEOUT_MS: Millis = 500;

/// The headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Why a request was not sent or got no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No slot was free in time.
    NoSlot(NoSlot),
    /// The request or a part of its prompt is quarantined.
    Quarantined(Suspect),
    /// The caller's key is no longer valid, and the request was never sent to a replica that may
    /// have run it.
    CallerRefused(Refusal),
    /// The send failed.
    Failed(SendFailure),
}

impl Gateway {
    /// Serves a routed request until it has its complete answer, or the head of its stream.
    pub(crate) async fn forward(
        self: Rc<Self>,
        route: Arc<Route>,
        caller: Caller,
        meta: RequestMeta,
        parts: Parts,
        body: Bytes,
        mut report: RequestReport,
    ) -> Response<LocalBody> {
        let policy =
            RetryPolicy::for_route(&route, report.arrived_ms, meta.deadline_ms, MAX_WAIT_MS);
        if !self.accepts(policy.give_up_at_ms) {
            let refusal = Refusal::not_run(Reason::Leaving, "this daemon is about to stop");
            return self.answer_without_replica(
                NextAction::Refuse(refusal.with_retry_after(MIN_RETRY_AFTER_MS)),
                report,
            );
        }
        let mut attempt = Attempt::new(policy);
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let Parts { method, mut headers, .. } = parts;
        if caller.is_checked() {
            headers.remove(header::AUTHORIZATION);
        }
        let prompt_parts = meta.prompt_parts;
        let request = ClientRequest {
            method,
            target,
            headers,
            body,
            id: meta.id,
            prompt_parts,
            is_item: false,
            caller,
            key: meta.key,
        };
        let request = Rc::new(request);
        let Some(credit) = self.unless_ending(self.request_credit(&request)).await else {
            return self.answer_at_exit(report);
        };
        let credit = match credit {
            Ok(credit) => credit.map(Rc::new),
            Err(refusal) => {
                return self.answer_without_replica(NextAction::Refuse(refusal), report);
            }
        };
        let call = Call {
            request,
            route,
            arrived_ms: report.arrived_ms,
            last_event: meta.last_event,
            credit,
        };
        let Call { request, route, .. } = &call;
        loop {
            let sending = self.send_once(&call, &mut attempt, &mut report.sends);
            let Some(sent) = self.unless_ending(sending).await else {
                return self.answer_at_exit(report);
            };
            let failure = match sent {
                Err(SendError::NoSlot(no_slot)) => {
                    let next = self.give_up_without_slot(&mut attempt, no_slot);
                    return self.answer_without_replica(next, report);
                }
                Err(SendError::Quarantined(suspect)) => {
                    info!("event=request_quarantined id={} {suspect}", request.id);
                    let next = attempt.give_up(Reason::Quarantined, None);
                    return self.answer_without_replica(next, report);
                }
                Err(SendError::CallerRefused(refusal)) => {
                    info!(
                        "event=waiting_caller_refused id={} reason={} version={} key_hash={}",
                        request.id,
                        refusal.reason.as_str(),
                        self.in_force.borrow().version(),
                        self.logged_key_hash(request.key.as_ref())
                    );
                    return self.answer_without_replica(NextAction::Refuse(refusal), report);
                }
                Err(SendError::Failed(failure)) => failure,
                Ok((lease, answer)) if self.should_retry_answer(&attempt, &answer) => {
                    let failure = SendFailure::ServerError;
                    self.record_failure(request, &lease, failure, &mut report.sends);
                    failure
                }
                Ok((lease, answer)) if is_empty_stream(&call, &answer) => {
                    let failure = SendFailure::BrokenOff;
                    self.record_failure(request, &lease, failure, &mut report.sends);
                    failure
                }
                Ok((lease, answer)) if route.kind == RouteKind::Streaming => {
                    let is_event_stream =
                        answer.head.status.is_success() && answer.head.has_body(&request.method);
                    let status = answer.head.status;
                    if status.is_server_error() {
                        // Known now: the server may drop a body that has no bytes left unread.
                        self.record_failed_run(request, &lease, SendFailure::ServerError);
                    }
                    let relay = StreamRelay {
                        gateway: self.clone(),
                        request: request.clone(),
                        route: route.clone(),
                        attempt,
                        connection: Some(answer.connection),
                        lease: Some(lease),
                        replacement: None,
                        report,
                        sequence: RunSequence::resume_after(call.last_event),
                        run_events: 0,
                        splitter: EventSplitter::default(),
                        is_event_stream,
                        status,
                    };
                    return relay.into_answer(answer.head);
                }
                Ok((lease, answer)) => {
                    let reading =
                        self.read_full_answer(request, &attempt, &lease, answer, &mut report);
                    match self.unless_ending(reading).await {
                        Some(Ok(answer)) => return answer,
                        Some(Err(failure)) => failure,
                        None => return self.answer_at_exit(report),
                    }
                }
            };
            match attempt.record_failure(self.now_ms(), failure) {
                NextAction::TryAnother => self.log_retry(request, &attempt, failure),
                next => return self.answer_without_replica(next, report),
            }
        }
    }

    /// Takes credit of the quota of the request's organisation, if it has one.
    ///
    /// The credit is taken before the first slot, so that requests over the quota are refused at once
    /// and neither hold nor wait for slots that others need.
    async fn request_credit(&self, request: &ClientRequest) -> Result<Option<Credit>, Refusal> {
        let Some(name) = request.caller.organisation() else { return Ok(None) };
        let configuration = self.in_force.borrow().current().cloned();
        let organisation = configuration.as_ref().and_then(|current| current.organisation(name));
        match organisation {
            Some(organisation) => self.quotas.admit(organisation).await,
            None => Ok(None),
        }
    }

    /// Acquires a slot, sends the request and reads the head of its answer.
    pub(crate) async fn send_once(
        self: &Rc<Self>,
        call: &Call,
        attempt: &mut Attempt,
        sends: &mut Sends,
    ) -> Result<(Rc<SlotLease>, ReplicaAnswer), SendError> {
        let run = self.begin_run(call, attempt, sends, None).await?;
        self.await_head(run, call, attempt, sends).await.map_err(SendError::Failed)
    }

    /// Acquires a slot and sends the request; `current` is the replica of a run that goes on
    /// meanwhile.
    pub(crate) async fn begin_run(
        self: &Rc<Self>,
        call: &Call,
        attempt: &Attempt,
        sends: &mut Sends,
        current: Option<&ReplicaRecord>,
    ) -> Result<ReplicaRun, SendError> {
        let Call { request, route, .. } = call;
        if let Some(suspect) = self.crash_guard.refuse_early(request) {
            return Err(SendError::Quarantined(suspect));
        }
        let policy = attempt.policy();
        let on_time_at_ms = route.objective_ms.map_or(policy.give_up_at_ms, |objective_ms| {
            (call.arrived_ms + objective_ms).saturating_sub(FIRST_EVENT_LATENCY_MS)
        });
        let slot_asked_ms = self.now_ms();
        let latest_send_ms = policy.give_up_at_ms.saturating_sub(MIN_SEND_MS);
        let slot_request = SlotRequest {
            service: route.service_for(request.id.as_str()),
            class: Class::Online,
            on_time_at_ms,
            order_at_ms: on_time_at_ms,
            give_up_at_ms: policy.slot_deadline_ms(slot_asked_ms).min(latest_send_ms),
            waits_for_replica: attempt.may_have_run() || current.is_some(),
            excluded: &sends.tried,
            share: self.share(route, &request.caller),
        };
        let lease = self.acquire_slot(&slot_request, current).await;
        let now_ms = self.now_ms();
        sends.slot_wait_ms += now_ms.saturating_sub(slot_asked_ms);
        let lease = lease.map_err(SendError::NoSlot)?;
        if !attempt.may_have_run() && current.is_none() {
            self.check_waiting_caller(route, request.key.as_ref(), &request.caller)
                .map_err(SendError::CallerRefused)?;
        }
        let admitted_ms = self.crash_guard.admit(request).map_err(SendError::Quarantined)?;
        sends.replica = Some(lease.replica.name.clone());
        log_send(request, &lease, attempt, now_ms, self.slots.list_state());
        let lease = Rc::new(lease);
        if let Some(credit) = &call.credit {
            credit.record_sent();
        }
        let head =
            self.clone().exchange(call.clone(), lease.clone(), policy.give_up_at_ms, admitted_ms);
        Ok(ReplicaRun { lease, head: head.boxed_local() })
    }

    /// Sends a request that was admitted at `admitted_ms` and waits for the head of its answer until
    /// `give_up_at_ms`.
    async fn exchange(
        self: Rc<Self>,
        call: Call,
        lease: Rc<SlotLease>,
        give_up_at_ms: Millis,
        admitted_ms: Millis,
    ) -> Result<ReplicaAnswer, SendFailure> {
        let Call { request, last_event, .. } = &call;
        let remaining_ms = give_up_at_ms.saturating_sub(self.now_ms()).max(1);
        let outbound = exchange::OutboundRequest {
            request,
            lease: &lease,
            deadline_left_ms: Some(remaining_ms),
            last_event: *last_event,
        };
        let limit = Duration::from_millis(remaining_ms);
        let sending = exchange::send(&self.pool, &*self.codec, &outbound, limit);
        match self.wait_reporting_silence(&lease, HEAD_SILENCE_TIMEOUT, sending).await {
            Err(SendFailure::NoAnswer) if self.now_ms() >= give_up_at_ms => {
                Err(SendFailure::TimedOut)
            }
            Err(failure) => {
                if failure == SendFailure::NoAnswer {
                    self.crash_guard.record_loss(&lease.replica, request);
                }
                if !failure.may_have_run() {
                    if let Some(credit) = &call.credit {
                        credit.record_not_run();
                    }
                    self.crash_guard.record_not_run(admitted_ms, request);
                }
                Err(failure)
            }
            answer => answer,
        }
    }

    /// Waits for the head of the answer of a run, or of a run that replaces it because it is silent.
    pub(crate) async fn await_head(
        self: &Rc<Self>,
        mut run: ReplicaRun,
        call: &Call,
        attempt: &mut Attempt,
        sends: &mut Sends,
    ) -> Result<(Rc<SlotLease>, ReplicaAnswer), SendFailure> {
        let silence = Duration::from_millis(head_silence_ms(attempt.policy(), &call.route));
        loop {
            let waited = match pause_tolerant::timeout(silence, run.head.as_mut()).await {
                Ok(Ok(answer)) => Waited::Progress(answer),
                Ok(Err(failure)) => Waited::Failed(failure),
                Err(_) => {
                    let mut silent = SilentRun::new(self, call, attempt, sends, &run.lease);
                    let has_answer_started = attempt.has_answer_started();
                    let is_usable = |answer: &_| is_usable(answer, has_answer_started);
                    let waited = silent.wait(run.head.as_mut(), is_usable).await;
                    (*attempt, *sends) = silent.into_parts();
                    waited
                }
            };
            match waited {
                Waited::Progress(answer) => return Ok((run.lease, answer)),
                Waited::Failed(failure) => {
                    self.record_failure(&call.request, &run.lease, failure, sends);
                    return Err(failure);
                }
                Waited::Replaced(replacement, failure) => {
                    self.record_failure(&call.request, &run.lease, failure, sends);
                    attempt.record_ended_run(failure);
                    run = replacement;
                }
            }
        }
    }

    /// Waits for `work`, and reports the replica as suspect once `work` has taken longer than
    /// `silence`, so that the owner of its slots probes it.
    ///
    /// Only a replica with a granted slot is reported.
    pub(crate) async fn wait_reporting_silence<T>(
        &self,
        lease: &SlotLease,
        silence: Duration,
        work: impl Future<Output = T>,
    ) -> T {
        let mut work = std::pin::pin!(work);
        if let Ok(done) = pause_tolerant::timeout(silence, work.as_mut()).await {
            return done;
        }
        self.report_silence(lease, silence);
        work.await
    }

    /// Reports a replica with a granted slot as suspect to the owner of its slots.
    pub(crate) fn report_silence(&self, lease: &SlotLease, silence: Duration) {
        if lease.is_granted {
            info!(
                "event=replica_silent replica={} for_ms={}",
                lease.replica.name,
                silence.as_millis()
            );
            self.slots.report_suspect(&lease.replica.name);
        }
    }

    /// Reads the complete answer of a request that is not streaming, so that an answer that breaks
    /// off can still be replaced by that of another replica.
    async fn read_full_answer(
        &self,
        request: &ClientRequest,
        attempt: &Attempt,
        lease: &SlotLease,
        mut answer: ReplicaAnswer,
        report: &mut RequestReport,
    ) -> Result<Response<LocalBody>, SendFailure> {
        let remaining_ms = attempt.policy().give_up_at_ms.saturating_sub(self.now_ms()).max(1);
        let reading = answer.connection.read_whole_body(MAX_BUFFERED_ANSWER_BYTES);
        let failure = match timeout(Duration::from_millis(remaining_ms), reading).await {
            Ok(Ok(body)) if has_ended_before_body(&answer, &body) => {
                self.crash_guard.record_loss(&lease.replica, request);
                SendFailure::BrokenOff
            }
            Ok(Ok(body)) => {
                let is_success = answer.head.status.is_success();
                if answer.connection.has_ended_by_close() {
                    self.crash_guard.record_loss(&lease.replica, request);
                } else if is_success {
                    self.crash_guard.record_sound(request);
                }
                self.pool.put(answer.connection);
                self.record_complete_answer(request, lease, answer.head.status);
                report.outcome = "answered";
                report.status = answer.head.status.as_u16();
                report.first_ms = Some(self.now_ms().saturating_sub(report.arrived_ms));
                let mut response = Response::new(LocalBody::full(body));
                *response.status_mut() = answer.head.status;
                *response.headers_mut() = end_to_end_headers(answer.head.headers);
                response.headers_mut().remove(header::CONTENT_LENGTH);
                return Ok(response);
            }
            Ok(Err(error)) => {
                let failure = classify_body_error(request, &error);
                if failure == SendFailure::BrokenOff {
                    self.crash_guard.record_loss(&lease.replica, request);
                }
                failure
            }
            Err(_) => SendFailure::Stalled,
        };
        self.record_failure(request, lease, failure, &mut report.sends);
        Err(failure)
    }

    /// Returns the answer to a request that is still open when the process is about to exit.
    fn answer_at_exit(&self, report: RequestReport) -> Response<LocalBody> {
        let refusal = if report.sends.replica.is_some() {
            Refusal::may_have_run(Reason::Deadline, "this daemon stopped before the answer came")
        } else {
            Refusal::not_run(Reason::Leaving, "this daemon stopped before a slot was free")
                .with_retry_after(MIN_RETRY_AFTER_MS)
        };
        self.answer_without_replica(NextAction::Refuse(refusal), report)
    }

    /// Returns the answer to a request that got no complete answer from a replica.
    fn answer_without_replica(
        &self,
        next: NextAction,
        mut report: RequestReport,
    ) -> Response<LocalBody> {
        let refusal = match next {
            NextAction::Refuse(refusal) => refusal,
            NextAction::TryAnother | NextAction::Abort(_) => Refusal::may_have_run(
                Reason::BackendLost,
                "the replica's answer could not be completed",
            ),
        };
        report.outcome = refusal.reason.as_str();
        self.counters.count_refusal(&refusal);
        let answer = answer::refusal(&*self.codec, &refusal);
        report.status = answer.status().as_u16();
        answer
    }

    /// Records a failed send and excludes the replica from the next sends of the request.
    ///
    /// The failure also counts towards the ejection of the replica, unless the replica only refused
    /// the request or the request's time was over.
    pub(crate) fn record_failure(
        &self,
        request: &ClientRequest,
        lease: &SlotLease,
        failure: SendFailure,
        sends: &mut Sends,
    ) {
        self.record_failed_run(request, lease, failure);
        let replica = &lease.replica;
        if !matches!(
            failure,
            SendFailure::TurnedAway
                | SendFailure::ReplicaLeaving
                | SendFailure::TimedOut
                | SendFailure::ServerError
                | SendFailure::NoMemory
        ) {
            self.slots.record_failure(&replica.name, failure.as_str());
            self.pool.close_idle(replica.address);
        }
        sends.tried.push(replica.name.clone());
    }

    /// Records a run for the owner of the replica, unless the failure says nothing about the replica.
    pub(crate) fn record_failed_run(
        &self,
        request: &ClientRequest,
        lease: &SlotLease,
        failure: SendFailure,
    ) {
        let replica = &lease.replica;
        match failure {
            SendFailure::TurnedAway | SendFailure::ReplicaLeaving | SendFailure::NoMemory => {}
            SendFailure::ServerError => self.slots.record_server_error(replica, &request.id),
            SendFailure::TimedOut
                if self.now_ms() < lease.acquired_at_ms + MIN_COUNTED_TIMEOUT_MS => {}
            _ => self.slots.record_failed_run(replica, &request.id),
        }
    }

    /// Records a complete answer that is passed on to the client.
    pub(crate) fn record_complete_answer(
        &self,
        request: &ClientRequest,
        lease: &SlotLease,
        status: StatusCode,
    ) {
        if status.is_server_error() && self.slots.replicas_may_degrade() {
            self.record_failed_run(request, lease, SendFailure::ServerError);
        } else {
            self.slots.record_success(&lease.replica.name);
        }
    }

    fn log_retry(&self, request: &ClientRequest, attempt: &Attempt, failure: SendFailure) {
        self.counters.count_tagged("request_retried", "cause", failure.as_str());
        info!(
            "event=request_retried id={} cause={} runs={} left_ms={}",
            request.id,
            failure.as_str(),
            attempt.runs(),
            attempt.policy().give_up_at_ms.saturating_sub(self.now_ms())
        );
    }

    fn should_retry_answer(&self, attempt: &Attempt, answer: &ReplicaAnswer) -> bool {
        answer.head.status.is_server_error() && attempt.can_run_again(self.now_ms())
    }

    fn give_up_without_slot(&self, attempt: &mut Attempt, no_slot: NoSlot) -> NextAction {
        let remaining_ms = attempt.policy().give_up_at_ms.saturating_sub(self.now_ms());
        let (reason, slot_in_ms) = match no_slot {
            NoSlot::NoReplica => (Reason::NoBackend, None),
            NoSlot::Full => (Reason::Overload, None),
            NoSlot::Late { slot_in_ms } => (Reason::Overload, Some(slot_in_ms)),
        };
        attempt.give_up(reason, Some(retry_after_ms(remaining_ms, slot_in_ms)))
    }

    /// Returns whether the replicas of a service are engines, whose slots have owners.
    pub(crate) fn has_engine(&self, service: &ServiceName) -> bool {
        self.in_force
            .borrow()
            .current()
            .and_then(|configuration| configuration.service(service))
            .is_some_and(|service| service.engine.is_some())
    }

    async fn acquire_slot(
        &self,
        request: &SlotRequest<'_>,
        current: Option<&ReplicaRecord>,
    ) -> Result<SlotLease, NoSlot> {
        let has_engine = self.has_engine(request.service);
        match current {
            None if has_engine => self.slots.acquire(request).await,
            None => self.slots.acquire_without_owner(request).ok_or(NoSlot::NoReplica),
            Some(current) if has_engine => self.slots.acquire_elsewhere(request, current).await,
            Some(current) => self
                .slots
                .acquire_elsewhere_without_owner(request, current)
                .ok_or(NoSlot::NoReplica),
        }
    }
}

/// Returns how long the head of an answer is awaited before another replica is looked for.
fn head_silence_ms(policy: &RetryPolicy, route: &Route) -> Millis {
    match route.objective_ms {
        Some(objective_ms) if policy.is_repeatable => objective_ms * HEAD_SILENCE_OBJECTIVES,
        _ => Millis::MAX,
    }
}

/// Logs that a request is sent to a replica, with the load by which the replica was chosen.
fn log_send(
    request: &ClientRequest,
    lease: &SlotLease,
    attempt: &Attempt,
    now_ms: Millis,
    list: ListState,
) {
    let (load, age_ms) = lease.load.unwrap_or_default();
    info!(
        "event=request_sent id={} replica={} granted={} slots={} online={} batch={} waiting={} \
         load_age_ms={age_ms} runs={} left_ms={} {list} organisation=\"{}\"",
        request.id,
        lease.replica.name,
        lease.is_granted,
        load.slots,
        load.online,
        load.batch,
        load.online_waiting,
        attempt.runs(),
        attempt.policy().give_up_at_ms.saturating_sub(now_ms),
        request.caller.organisation().map_or("-", OrgName::as_str).escape_debug()
    );
}

/// Returns whether the head of a success announces a stream without an event, although the client
/// has not asked for the rest of a stream that may have none left.
fn is_empty_stream(call: &Call, answer: &ReplicaAnswer) -> bool {
    call.route.kind == RouteKind::Streaming
        && call.last_event.is_none()
        && answer.head.status.is_success()
        && answer.head.has_body(&call.request.method)
        && answer.connection.has_complete_answer()
}

/// Returns whether the connection ended after the head of a success, which announced no end of the
/// body by a length or chunks.
fn has_ended_before_body(answer: &ReplicaAnswer, body: &[u8]) -> bool {
    answer.head.status.is_success() && body.is_empty() && answer.connection.has_ended_by_close()
}

/// Removes the headers that apply only to the connection to the replica.
pub(crate) fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}
