//! Passes the events of a stream on as they arrive; a resumable stream goes on at another replica.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::stream::unfold;
use http::Response;
use http::header::CONTENT_LENGTH;
use kernel::awake;
use kernel::local_server::BodyStream;
use kernel::local_server::LocalBody;
use log::info;
use slots::SlotLease;
use upstream::AnswerHead;
use upstream::Connection;
use upstream::EventSplitter;
use wire::Millis;
use wire::Route;

use crate::attempt::Attempt;
use crate::attempt::Failure;
use crate::attempt::Next;
use crate::exchange::ClientRequest;
use crate::exchange::failure_of;
use crate::forward::SendEnd;
use crate::forward::end_to_end_headers;
use crate::gate::Gate;
use crate::report::Report;

/// How many pauses of the longest allowed length a stream may make before it counts as stalled.
const STALL_PAUSES: Millis = 3;
/// The silence inside a stream after which its replica is asked whether it lives: several times the
/// pause that reading the prompts of others makes.
const EVENT_SILENCE: Duration = Duration::from_millis(300);
/// The stall limit of a route that names no longest pause.
const DEFAULT_STALL_MS: Millis = 1_000;

/// A stream on its way from a replica to a client.
pub struct Relay {
    /// The gate, for another replica.
    pub gate: Rc<Gate>,
    /// The request.
    pub request: ClientRequest,
    /// The route.
    pub route: Arc<Route>,
    /// The course of the attempt.
    pub attempt: Attempt,
    /// The connection on which the stream comes.
    pub connection: Option<Connection>,
    /// The slot that the stream holds.
    pub lease: Option<SlotLease>,
    /// What is logged at the end.
    pub report: Report,
    /// The last event that the client has.
    pub last_event: Option<u64>,
    /// Splits the bytes of a resumable stream.
    pub splitter: EventSplitter,
}

impl Relay {
    /// Returns the answer, whose body passes the stream on.
    pub fn into_answer(mut self, head: AnswerHead) -> Response<LocalBody> {
        self.attempt.answer_started();
        self.report.status = head.status.as_u16();
        self.report.first_ms = Some(self.gate.now_ms().saturating_sub(self.report.arrived_ms));
        let status = head.status;
        let mut headers = end_to_end_headers(head.headers);
        if self.attempt.policy().is_resumable {
            headers.remove(CONTENT_LENGTH);
        }
        let mut answer = Response::new(LocalBody::Stream(self.into_body()));
        *answer.status_mut() = status;
        *answer.headers_mut() = headers;
        answer
    }

    fn into_body(self) -> BodyStream {
        Box::pin(unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next_part().await {
                Ok(Some(part)) => Some((Ok(part), Some(relay))),
                Ok(None) => {
                    relay.finish();
                    None
                }
                Err(failure) => {
                    relay.report.outcome = failure.as_str();
                    let error = io::Error::new(io::ErrorKind::ConnectionAborted, failure.as_str());
                    Some((Err(error), None))
                }
            }
        }))
    }

    async fn next_part(&mut self) -> Result<Option<Bytes>, Failure> {
        if self.attempt.policy().is_resumable {
            return self.next_events().await;
        }
        let part = self.read(self.left_ms()).await?;
        self.report.events += u32::from(part.is_some());
        Ok(part)
    }

    /// Returns the whole events that have arrived.
    async fn next_events(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            if let Some(events) = self.take_events() {
                return Ok(Some(events));
            }
            let stall_ms = self
                .route
                .gap_objective_ms
                .map_or(DEFAULT_STALL_MS, |gap_ms| gap_ms * STALL_PAUSES);
            let failure = match self.read(stall_ms.min(self.left_ms())).await {
                Ok(Some(bytes)) => match self.splitter.push(&bytes) {
                    Ok(()) => continue,
                    Err(_) => Failure::Garbled,
                },
                Ok(None) if self.splitter.has_partial() => Failure::BrokenOff,
                Ok(None) => return Ok(None),
                Err(failure) => failure,
            };
            self.resume(failure).await?;
        }
    }

    fn take_events(&mut self) -> Option<Bytes> {
        let mut events = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            let is_repeated = match (event.id, self.last_event) {
                (Some(id), Some(last)) => id <= last,
                _ => false,
            };
            if is_repeated {
                self.gate.counters.count("stream_events_repeated");
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            self.report.events += 1;
            events.extend_from_slice(&event.raw);
        }
        (!events.is_empty()).then(|| events.freeze())
    }

    async fn read(&mut self, limit_ms: Millis) -> Result<Option<Bytes>, Failure> {
        let (Some(connection), Some(lease)) = (&mut self.connection, &self.lease) else {
            return Err(Failure::BrokenOff);
        };
        let read = awake::timeout(Duration::from_millis(limit_ms), connection.read_body());
        match self.gate.watched(lease, EVENT_SILENCE, read).await {
            Ok(Ok(part)) => Ok(part),
            Ok(Err(fault)) => Err(match failure_of(&fault) {
                Failure::Garbled => Failure::Garbled,
                _ => Failure::BrokenOff,
            }),
            Err(_) => Err(Failure::Stalled),
        }
    }

    /// Goes on at another replica after the last event that was passed on.
    async fn resume(&mut self, failure: Failure) -> Result<(), Failure> {
        self.connection = None;
        self.splitter.clear();
        if let Some(lease) = self.lease.take() {
            self.gate.note_failure(&lease, failure, &mut self.report);
        }
        let mut failure = failure;
        loop {
            match self.attempt.failed(self.gate.now_ms(), failure) {
                Next::TryAnother => {}
                Next::Cut(failure) => return Err(failure),
                Next::Refuse(_) => return Err(failure),
            }
            self.gate.counters.count_tagged("stream_resumed", "cause", failure.as_str());
            info!(
                "event=stream_resumed id={} after={} cause={}",
                self.request.id,
                self.last_event.map_or(-1, |id| id as i64),
                failure.as_str()
            );
            let Self { gate, request, route, attempt, report, last_event, .. } = self;
            failure = match gate.send_once(request, route, attempt, report, *last_event).await {
                Ok((lease, answer)) if answer.head.status.is_success() => {
                    self.lease = Some(lease);
                    self.connection = Some(answer.connection);
                    return Ok(());
                }
                Ok(_) => Failure::ServerError,
                Err(SendEnd::Failed(failure)) => failure,
                Err(SendEnd::NoSlot(_)) => return Err(Failure::Stalled),
            };
        }
    }

    fn left_ms(&self) -> Millis {
        self.attempt.policy().give_up_at_ms.saturating_sub(self.gate.now_ms()).max(1)
    }

    fn finish(&mut self) {
        self.report.outcome = "answered";
        if let Some(connection) = self.connection.take() {
            self.gate.pool.put(connection);
        }
        if let Some(lease) = self.lease.take() {
            self.gate.slots.record_success(&lease.replica.name);
        }
    }
}
