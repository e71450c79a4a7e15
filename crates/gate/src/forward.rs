//! The course of a routed request: slot, replica, answer, and what follows a failure.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Response;
use http::header;
use http::request::Parts;
use kernel::awake;
use kernel::local_server::LocalBody;
use log::info;
use slots::Class;
use slots::NoSlot;
use slots::SlotLease;
use slots::SlotRequest;
use tokio::time::timeout;
use upstream::EventSplitter;
use wire::Millis;
use wire::Reason;
use wire::Refusal;
use wire::Route;
use wire::RouteKind;

use crate::answer;
use crate::attempt::Attempt;
use crate::attempt::Failure;
use crate::attempt::Next;
use crate::attempt::Policy;
use crate::dialect::RequestMeta;
use crate::exchange;
use crate::exchange::Answer;
use crate::exchange::ClientRequest;
use crate::gate::Gate;
use crate::relay::Relay;
use crate::report::Report;

/// The longest that a request may take when neither its client nor its route says.
const MAX_WAIT_MS: Millis = 60_000;
/// The time from a free slot to a stream's first event: reading the prompt and a first step.
const FIRST_EVENT_MS: Millis = 60;
/// What must be left of a request's time for a send to make sense.
const MIN_SEND_MS: Millis = 20;
/// The largest answer of a plain request that is held back until it is whole, in bytes.
const MAX_WHOLE_ANSWER_BYTES: usize = 16 << 20;
/// The silence before an answer's head after which a replica with a granted slot is asked whether
/// it lives: reading a prompt and a first step take some tens of milliseconds.
const HEAD_SILENCE: Duration = Duration::from_millis(400);
/// How many times its objective a replica may take for a repeatable request before another one is
/// tried.
const PATIENCE_OBJECTIVES: Millis = 2;
/// The wait that a refused client is told, as a part of the time that it has left.
const RETRY_AFTER_PARTS: Millis = 6;
/// The shortest wait that a refused client is told.
const MIN_RETRY_AFTER_MS: Millis = 50;

/// The header lines that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Why a request was not sent, or got no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// There was no slot in time.
    NoSlot(NoSlot),
    /// The send failed.
    Failed(Failure),
}

impl Gate {
    /// Serves one routed request to its end, or up to the head of its stream.
    pub(crate) async fn forward(
        self: Rc<Self>,
        route: Arc<Route>,
        meta: RequestMeta,
        parts: Parts,
        body: Bytes,
        mut report: Report,
    ) -> Response<LocalBody> {
        let policy = Policy::of(&route, report.arrived_ms, meta.deadline_ms, MAX_WAIT_MS);
        if !self.takes(policy.give_up_at_ms) {
            let refusal = Refusal::not_run(Reason::Leaving, "this daemon is about to stop");
            return self.end(Next::Refuse(refusal.retry_after(MIN_RETRY_AFTER_MS)), report);
        }
        let mut attempt = Attempt::new(policy);
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let Parts { method, headers, .. } = parts;
        let request = ClientRequest { method, target, headers, body, id: meta.id };
        let last_event = meta.last_event;
        loop {
            let sent = self.send_once(&request, &route, &attempt, &mut report, last_event).await;
            let failure = match sent {
                Err(SendEnd::NoSlot(no_slot)) => {
                    let next = self.without_slot(&mut attempt, no_slot);
                    return self.end(next, report);
                }
                Err(SendEnd::Failed(failure)) => failure,
                Ok((lease, answer)) if self.may_do_better(&attempt, &answer) => {
                    report.tried.push(lease.replica.name.clone());
                    Failure::ServerError
                }
                Ok((lease, answer)) if route.kind == RouteKind::Streaming => {
                    let relay = Relay {
                        gate: self.clone(),
                        request,
                        route,
                        attempt,
                        connection: Some(answer.connection),
                        lease: Some(lease),
                        report,
                        last_event,
                        splitter: EventSplitter::default(),
                    };
                    return relay.into_answer(answer.head);
                }
                Ok((lease, answer)) => {
                    match self.read_answer(&attempt, lease, answer, &mut report).await {
                        Ok(answer) => return answer,
                        Err(failure) => failure,
                    }
                }
            };
            match attempt.failed(self.now_ms(), failure) {
                Next::TryAnother => self.note_retry(&request, &attempt, failure),
                next => return self.end(next, report),
            }
        }
    }

    /// Takes a slot, sends the request and reads the head of its answer.
    pub(crate) async fn send_once(
        &self,
        request: &ClientRequest,
        route: &Route,
        attempt: &Attempt,
        report: &mut Report,
        last_event: Option<u64>,
    ) -> Result<(SlotLease, Answer), SendEnd> {
        let policy = attempt.policy();
        let on_time_at_ms = route.objective_ms.map_or(policy.give_up_at_ms, |objective_ms| {
            (report.arrived_ms + objective_ms).saturating_sub(FIRST_EVENT_MS)
        });
        let asked_ms = self.now_ms();
        let latest_ms = policy.give_up_at_ms.saturating_sub(MIN_SEND_MS);
        let slot_request = SlotRequest {
            service: route.service_for(request.id.as_str()),
            class: Class::Online,
            on_time_at_ms,
            order_at_ms: on_time_at_ms,
            give_up_at_ms: policy.slot_by_ms(asked_ms).min(latest_ms),
            excluded: &report.tried,
        };
        let lease = self.lease(&slot_request).await;
        let now_ms = self.now_ms();
        report.slot_wait_ms += now_ms.saturating_sub(asked_ms);
        let lease = lease.map_err(SendEnd::NoSlot)?;
        report.replica = Some(lease.replica.name.clone());
        note_send(request, &lease, attempt, now_ms);
        let left_ms = policy.give_up_at_ms.saturating_sub(now_ms).max(1);
        let mut limit_ms = left_ms;
        if let (true, Some(objective_ms)) = (policy.is_repeatable, route.objective_ms) {
            limit_ms = limit_ms.min(objective_ms * PATIENCE_OBJECTIVES);
        }
        let deadline_left_ms = Some(left_ms);
        let send = exchange::Send { request, lease: &lease, deadline_left_ms, last_event };
        let limit = Duration::from_millis(limit_ms);
        let sending = exchange::send(&self.pool, &*self.dialect, &send, limit);
        let failure = match self.watched(&lease, HEAD_SILENCE, sending).await {
            Ok(answer) => return Ok((lease, answer)),
            Err(Failure::NoAnswer) if self.now_ms() >= policy.give_up_at_ms => Failure::TimedOut,
            Err(failure) => failure,
        };
        self.note_failure(&lease, failure, report);
        Err(SendEnd::Failed(failure))
    }

    /// Waits for a replica, and has its owner ask whether it lives when it is silent for too long.
    pub(crate) async fn watched<T>(
        &self,
        lease: &SlotLease,
        silence: Duration,
        work: impl Future<Output = T>,
    ) -> T {
        let mut work = std::pin::pin!(work);
        if let Ok(done) = awake::timeout(silence, work.as_mut()).await {
            return done;
        }
        if lease.is_granted {
            info!(
                "event=replica_silent replica={} for_ms={}",
                lease.replica.name,
                silence.as_millis()
            );
            self.slots.report_suspect(&lease.replica.name);
        }
        work.await
    }

    /// Reads the whole answer of a plain request, so that a broken one can still be replaced.
    async fn read_answer(
        &self,
        attempt: &Attempt,
        lease: SlotLease,
        mut answer: Answer,
        report: &mut Report,
    ) -> Result<Response<LocalBody>, Failure> {
        let left_ms = attempt.policy().give_up_at_ms.saturating_sub(self.now_ms()).max(1);
        let read = answer.connection.read_whole_body(MAX_WHOLE_ANSWER_BYTES);
        let failure = match timeout(Duration::from_millis(left_ms), read).await {
            Ok(Ok(body)) => {
                self.pool.put(answer.connection);
                self.slots.record_success(&lease.replica.name);
                report.outcome = "answered";
                report.status = answer.head.status.as_u16();
                report.first_ms = Some(self.now_ms().saturating_sub(report.arrived_ms));
                let mut response = Response::new(LocalBody::full(body));
                *response.status_mut() = answer.head.status;
                *response.headers_mut() = end_to_end_headers(answer.head.headers);
                response.headers_mut().remove(header::CONTENT_LENGTH);
                return Ok(response);
            }
            Ok(Err(_)) => Failure::BrokenOff,
            Err(_) => Failure::Stalled,
        };
        self.note_failure(&lease, failure, report);
        Err(failure)
    }

    /// Ends a request without a replica's answer.
    fn end(&self, next: Next, mut report: Report) -> Response<LocalBody> {
        let refusal = match next {
            Next::Refuse(refusal) => refusal,
            Next::TryAnother | Next::Cut(_) => {
                Refusal::unknown(Reason::BackendLost, "the replica's answer could not be completed")
            }
        };
        report.outcome = refusal.reason.as_str();
        self.counters.refused(&refusal);
        let answer = answer::refusal(&*self.dialect, &refusal);
        report.status = answer.status().as_u16();
        answer
    }

    /// Notes a failed send: the replica is left out for a while unless it only was full.
    pub(crate) fn note_failure(&self, lease: &SlotLease, failure: Failure, report: &mut Report) {
        let replica = &lease.replica;
        if !matches!(failure, Failure::TurnedAway | Failure::TimedOut) {
            self.slots.record_failure(&replica.name, failure.as_str());
            self.pool.forget(replica.address);
        }
        report.tried.push(replica.name.clone());
    }

    fn note_retry(&self, request: &ClientRequest, attempt: &Attempt, failure: Failure) {
        self.counters.count_tagged("request_retried", "cause", failure.as_str());
        info!(
            "event=request_retried id={} cause={} runs={} left_ms={}",
            request.id,
            failure.as_str(),
            attempt.runs(),
            attempt.policy().give_up_at_ms.saturating_sub(self.now_ms())
        );
    }

    fn may_do_better(&self, attempt: &Attempt, answer: &Answer) -> bool {
        answer.head.status.is_server_error() && attempt.may_run_again_after(self.now_ms())
    }

    fn without_slot(&self, attempt: &mut Attempt, no_slot: NoSlot) -> Next {
        let left_ms = attempt.policy().give_up_at_ms.saturating_sub(self.now_ms());
        let retry_after_ms = (left_ms / RETRY_AFTER_PARTS).max(MIN_RETRY_AFTER_MS);
        let reason = match no_slot {
            NoSlot::NoReplica => Reason::NoBackend,
            NoSlot::Full => Reason::Overload,
        };
        attempt.gave_up(reason, Some(retry_after_ms))
    }

    async fn lease(&self, request: &SlotRequest<'_>) -> Result<SlotLease, NoSlot> {
        let has_engine = self
            .in_force
            .borrow()
            .current()
            .and_then(|configuration| configuration.service(request.service))
            .is_some_and(|service| service.engine.is_some());
        if has_engine {
            return self.slots.acquire(request).await;
        }
        self.slots.acquire_without_owner(request).ok_or(NoSlot::NoReplica)
    }
}

/// Logs what decided that a request goes to a replica.
fn note_send(request: &ClientRequest, lease: &SlotLease, attempt: &Attempt, now_ms: Millis) {
    let (load, age_ms) = lease.load.unwrap_or_default();
    info!(
        "event=request_sent id={} replica={} granted={} slots={} online={} batch={} waiting={} \
         load_age_ms={age_ms} runs={} left_ms={}",
        request.id,
        lease.replica.name,
        lease.is_granted,
        load.slots,
        load.online,
        load.batch,
        load.online_waiting,
        attempt.runs(),
        attempt.policy().give_up_at_ms.saturating_sub(now_ms)
    );
}

/// Drops the header lines that concern only the connection to the replica.
pub(crate) fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}
