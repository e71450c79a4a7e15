//! Passes a stream on to the client as it arrives, and resumes a resumable one at another replica.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::FutureExt;
use futures::stream::unfold;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use kernel::local_server::BodyStream;
use kernel::local_server::LocalBody;
use kernel::pause_tolerant;
use log::info;
use log::warn;
use slots::SlotLease;
use upstream::AnswerHead;
use upstream::Connection;
use upstream::EventPosition;
use upstream::EventSplitter;
use upstream::EventTooLong;
use upstream::RunSequence;
use wire::Millis;
use wire::Route;

use crate::attempt::Attempt;
use crate::attempt::NextAction;
use crate::attempt::SendFailure;
use crate::crash_guard::SOUND_EVENTS;
use crate::exchange;
use crate::exchange::ClientRequest;
use crate::exchange::classify_body_error;
use crate::forward::SendError;
use crate::forward::end_to_end_headers;
use crate::gateway::Gateway;
use crate::report::RequestReport;
use crate::silent_run::Call;
use crate::silent_run::ReplicaRun;
use crate::silent_run::SilentRun;
use crate::silent_run::Waited;

/// A stream is stalled when it is silent for this many times the route's objective for the gap
/// between events.
const STALL_GAP_OBJECTIVES: Millis = 3;
/// The silence inside a stream after which its replica is reported as suspect: several times the
/// pause that the prompts of other requests cause.
const EVENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// The stall limit of a route without an objective for the gap between events.
const DEFAULT_STALL_MS: Millis = 1_000;

/// A stream that is passed on from a replica to a client.
pub struct StreamRelay {
    /// The daemon's entry point, which sends the request to another replica.
    pub gateway: Rc<Gateway>,
    /// The request, kept to resume the stream.
    pub request: Rc<ClientRequest>,
    /// The route of the request.
    pub route: Arc<Route>,
    /// The state of the attempt.
    pub attempt: Attempt,
    /// The connection from which the stream is read.
    pub connection: Option<Connection>,
    /// The slot that the stream occupies.
    pub lease: Option<Rc<SlotLease>>,
    /// The run that takes the place of a silent one.
    pub replacement: Option<ReplicaRun>,
    /// What is logged when the stream ends.
    pub report: RequestReport,
    /// The events of the current run and their place after those that were passed on.
    pub sequence: RunSequence,
    /// The number of events of the current run, repeated ones included.
    pub run_events: u32,
    /// Splits the stream into events.
    pub splitter: EventSplitter,
    /// Whether the answer is a stream of events, as every success is.
    pub is_event_stream: bool,
    /// The status of the run's answer.
    pub status: StatusCode,
}

impl StreamRelay {
    /// Returns the answer to the client, whose body passes the stream on.
    pub fn into_answer(mut self, head: AnswerHead) -> Response<LocalBody> {
        self.attempt.record_answer_start();
        self.report.status = head.status.as_u16();
        self.report.first_ms = Some(self.gateway.now_ms().saturating_sub(self.report.arrived_ms));
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

    async fn next_part(&mut self) -> Result<Option<Bytes>, SendFailure> {
        if !self.is_event_stream {
            return self.read_part().await;
        }
        loop {
            match self.read_events().await {
                Err(failure) if self.attempt.policy().is_resumable => self.resume(failure).await?,
                Err(failure) => {
                    if let Some(lease) = &self.lease {
                        self.gateway.record_failed_run(&self.request, lease, failure);
                    }
                    return Err(failure);
                }
                finished => return finished,
            }
        }
    }

    /// Waits for complete events and returns them, or `None` at the end of the stream.
    async fn read_events(&mut self) -> Result<Option<Bytes>, SendFailure> {
        let (silence_ms, remaining_ms) = (self.stall_ms(), self.remaining_ms()?);
        let (Some(mut connection), Some(lease)) = (self.connection.take(), self.lease.take())
        else {
            return Err(SendFailure::BrokenOff);
        };
        let gateway = self.gateway.clone();
        let limit = Duration::from_millis(silence_ms.min(remaining_ms));
        let reading = pause_tolerant::timeout(limit, self.read_until_event(&mut connection));
        let result = gateway.wait_reporting_silence(&lease, EVENT_SILENCE_TIMEOUT, reading).await;
        let result = match result {
            Ok(result) => result,
            Err(_) if silence_ms < remaining_ms => {
                if limit < EVENT_SILENCE_TIMEOUT {
                    gateway.report_silence(&lease, limit);
                }
                self.read_or_replace(&mut connection, &lease).await
            }
            Err(_) => Err(SendFailure::TimedOut),
        };
        self.connection = Some(connection);
        self.lease = Some(lease);
        if matches!(result, Err(SendFailure::BrokenOff)) {
            self.record_loss();
        }
        result
    }

    /// Waits for events of a silent run, or for a run at another replica that takes its place.
    async fn read_or_replace(
        &mut self,
        connection: &mut Connection,
        lease: &Rc<SlotLease>,
    ) -> Result<Option<Bytes>, SendFailure> {
        let call = self.call();
        let mut silent =
            SilentRun::new(&self.gateway, &call, &self.attempt, &self.report.sends, lease);
        let limit = Duration::from_millis(self.remaining_ms()?);
        let reading = pause_tolerant::timeout(limit, self.read_until_event(connection));
        let reading = reading.map(|result| result.unwrap_or(Err(SendFailure::TimedOut)));
        let waited = silent.wait(reading, |_| true).await;
        (self.attempt, self.report.sends) = silent.into_parts();
        match waited {
            Waited::Progress(events) => Ok(events),
            Waited::Failed(failure) => Err(failure),
            Waited::Replaced(replacement, failure) => {
                self.replacement = Some(replacement);
                Err(failure)
            }
        }
    }

    /// Returns the request with what a send after the last event needs.
    fn call(&self) -> Call {
        Call {
            request: self.request.clone(),
            route: self.route.clone(),
            arrived_ms: self.report.arrived_ms,
            last_event: self.sequence.last_event(),
            // The credit was spent by the first send.
            credit: None,
        }
    }

    async fn read_until_event(
        &mut self,
        connection: &mut Connection,
    ) -> Result<Option<Bytes>, SendFailure> {
        loop {
            if let Some(events) = self.take_events()? {
                return Ok(Some(events));
            }
            match connection.read_body().await {
                Ok(Some(bytes)) if self.splitter.push(&bytes).is_err() => {
                    warn!(
                        "event=answer_over_limit id={} peer={} reason=\"{EventTooLong}\"",
                        self.request.id,
                        connection.peer()
                    );
                    return Err(SendFailure::Garbled);
                }
                Ok(Some(_)) => {
                    let kept_bytes = self.splitter.buffered_bytes();
                    connection
                        .set_kept_bytes(kept_bytes)
                        .map_err(|error| classify_body_error(&self.request, &error))?;
                }
                Ok(None) if self.is_complete(connection) => return Ok(None),
                Ok(None) => return Err(SendFailure::BrokenOff),
                Err(error) => return Err(classify_body_error(&self.request, &error)),
            }
        }
    }

    /// Returns whether the stream is complete, now that the body of the current run has ended.
    ///
    /// A run has at least one event, unless the client itself asked for the rest of a stream that
    /// has none left.
    fn is_complete(&self, connection: &Connection) -> bool {
        let client_may_have_all = self.report.events == 0
            && self.sequence.last_event().is_some()
            && !connection.has_ended_by_close();
        !self.splitter.has_partial() && (self.sequence.has_output() || client_may_have_all)
    }

    /// Returns whether another replica can continue the stream, which needs the id of an event.
    fn can_resume(&self) -> bool {
        self.attempt.policy().is_resumable
            && (!self.sequence.has_output() || self.sequence.last_event().is_some())
    }

    /// Returns how long the stream may go without a complete event.
    fn stall_ms(&self) -> Millis {
        if !self.can_resume() {
            return Millis::MAX;
        }
        self.route.gap_objective_ms.map_or(DEFAULT_STALL_MS, |gap_ms| gap_ms * STALL_GAP_OBJECTIVES)
    }

    /// Takes the complete events that have arrived, without those that the client already has.
    fn take_events(&mut self) -> Result<Option<Bytes>, SendFailure> {
        let mut events = BytesMut::new();
        while !self.sequence.has_misplaced()
            && let Some(event) = self.splitter.next_event()
        {
            self.record_run_events(u32::from(event.has_data()));
            let mut position = EventPosition::Next;
            if self.attempt.policy().is_resumable {
                position = self.sequence.place(&event);
            } else {
                self.sequence.append(&event);
            }
            match position {
                EventPosition::Next => {
                    self.report.events += 1;
                    events.extend_from_slice(&event.raw);
                }
                EventPosition::Repeated => {
                    self.gateway.counters.count("stream_events_repeated");
                }
                EventPosition::Misplaced => {}
            }
        }
        if events.is_empty() && self.sequence.has_misplaced() {
            exchange::log_rejected(&self.request, "an event does not continue the stream");
            return Err(SendFailure::Garbled);
        }
        Ok((!events.is_empty()).then(|| events.freeze()))
    }

    /// Waits for the next part of an answer that is not a stream of events.
    async fn read_part(&mut self) -> Result<Option<Bytes>, SendFailure> {
        let limit_ms = self.remaining_ms()?;
        let (Some(connection), Some(lease)) = (&mut self.connection, &self.lease) else {
            return Err(SendFailure::BrokenOff);
        };
        let reading =
            pause_tolerant::timeout(Duration::from_millis(limit_ms), connection.read_body());
        let waiting = self.gateway.wait_reporting_silence(lease, EVENT_SILENCE_TIMEOUT, reading);
        let failure = match waiting.await {
            Ok(Ok(part)) => return Ok(part),
            Ok(Err(error)) => classify_body_error(&self.request, &error),
            Err(_) => SendFailure::TimedOut,
        };
        if failure == SendFailure::BrokenOff {
            self.record_loss();
        }
        Err(failure)
    }

    /// Counts events of the current run; the answer is sound once there are enough.
    fn record_run_events(&mut self, count: u32) {
        let previous = self.run_events;
        self.run_events += count;
        if previous < SOUND_EVENTS && self.run_events >= SOUND_EVENTS {
            self.gateway.crash_guard.record_sound(&self.request);
        }
    }

    /// Records that the connection was lost, if it was lost as the answer began.
    fn record_loss(&self) {
        if let Some(lease) = self.lease.as_ref().filter(|_| self.run_events < SOUND_EVENTS) {
            self.gateway.crash_guard.record_loss(&lease.replica, &self.request);
        }
    }

    /// Resumes the stream at another replica after the last event that was passed on.
    async fn resume(&mut self, failure: SendFailure) -> Result<(), SendFailure> {
        self.connection = None;
        self.splitter.clear();
        if let Some(lease) = self.lease.take() {
            self.gateway.record_failure(&self.request, &lease, failure, &mut self.report.sends);
        }
        if !self.can_resume() {
            return Err(failure);
        }
        let mut failure = failure;
        loop {
            let replacement = self.replacement.take();
            if replacement.is_some() {
                self.attempt.record_ended_run(failure);
            } else {
                match self.attempt.record_failure(self.gateway.now_ms(), failure) {
                    NextAction::TryAnother => {}
                    NextAction::Abort(failure) => return Err(failure),
                    NextAction::Refuse(_) => return Err(failure),
                }
            }
            let last_event = self.sequence.last_event();
            self.gateway.counters.count_tagged("stream_resumed", "cause", failure.as_str());
            info!(
                "event=stream_resumed id={} after={} cause={}",
                self.request.id,
                last_event.map_or(-1, |id| id as i64),
                failure.as_str()
            );
            let call = self.call();
            let Self { gateway, attempt, report, .. } = self;
            let sent = match replacement {
                Some(run) => gateway
                    .await_head(run, &call, attempt, &mut report.sends)
                    .await
                    .map_err(SendError::Failed),
                None => gateway.send_once(&call, attempt, &mut report.sends).await,
            };
            failure = match sent {
                Ok((lease, answer)) if !answer.head.status.is_success() => {
                    if answer.head.status.is_server_error() {
                        gateway.record_failed_run(&call.request, &lease, SendFailure::ServerError);
                    }
                    SendFailure::ServerError
                }
                Ok((lease, answer)) if !answer.head.may_have_events() => {
                    exchange::log_rejected(&call.request, "the body is no event stream");
                    let failure = SendFailure::Garbled;
                    gateway.record_failure(&call.request, &lease, failure, &mut report.sends);
                    failure
                }
                Ok((lease, answer)) => {
                    self.status = answer.head.status;
                    self.lease = Some(lease);
                    self.connection = Some(answer.connection);
                    self.run_events = 0;
                    self.sequence = RunSequence::resume_after(last_event);
                    return Ok(());
                }
                Err(SendError::Failed(failure)) => failure,
                // The caller of a started stream is not checked again.
                Err(SendError::CallerRefused(_)) => return Err(SendFailure::BrokenOff),
                Err(SendError::NoSlot(_)) => return Err(SendFailure::Stalled),
                Err(SendError::Quarantined(suspect)) => {
                    info!("event=request_quarantined id={} {suspect}", self.request.id);
                    return Err(SendFailure::BrokenOff);
                }
            };
        }
    }

    /// Returns how much of the request's time is left.
    fn remaining_ms(&self) -> Result<Millis, SendFailure> {
        match self.attempt.policy().give_up_at_ms.saturating_sub(self.gateway.now_ms()) {
            0 => Err(SendFailure::TimedOut),
            remaining_ms => Ok(remaining_ms),
        }
    }

    fn finish(&mut self) {
        self.report.outcome = "answered";
        if let Some(connection) = self.connection.take() {
            if connection.has_ended_by_close() {
                self.record_loss();
            } else if self.is_event_stream {
                self.gateway.crash_guard.record_sound(&self.request);
            }
            self.gateway.pool.put(connection);
        }
        let slots = &self.gateway.slots;
        let is_failure = self.status.is_server_error() && slots.replicas_may_degrade();
        if let Some(lease) = self.lease.take().filter(|_| !is_failure) {
            slots.record_success(&lease.replica.name);
        }
    }
}
