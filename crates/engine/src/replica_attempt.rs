//! One attempt at an online request on one replica, with its stream resumed over new connections.

use std::net::SocketAddr;

use kernel::counters::RetryReason;
use log::info;
use tokio::sync::mpsc;
use wire::Millis;
use wire::Reason;
use wire::Refusal;
use wire::ReplicaName;

use crate::backend::BackendError;
use crate::backend::GenerationRequest;
use crate::backend::StreamItem;
use crate::backend::TokenStream;
use crate::online::OnlineDispatcher;
use crate::online::OnlineRequest;
use crate::online::lock;
use crate::stream;
use crate::stream::AnswerAssembler;

/// How an attempt on one replica ended.
pub(crate) enum AttemptEnd {
    /// The answer is complete.
    Finished,
    /// The replica certainly did not run the request.
    NotRun { reason: RetryReason, message: String },
    /// The replica was lost; the request continues on another one.
    ContinueElsewhere { message: String },
    /// The request ends with a refusal.
    Refused(Refusal),
}

/// An attempt to run a request on one replica.
pub(crate) struct ReplicaAttempt<'a> {
    pub(crate) online: &'a OnlineDispatcher,
    pub(crate) request: &'a OnlineRequest,
    pub(crate) replica: &'a ReplicaName,
    pub(crate) address: SocketAddr,
}

impl ReplicaAttempt<'_> {
    /// Runs the request on the replica until the answer is complete, lost or refused.
    pub(crate) async fn run(
        &self,
        answer: &mut AnswerAssembler,
        tokens: &mpsc::Sender<String>,
    ) -> AttemptEnd {
        let _in_flight = self.online.track_in_flight(self.replica);
        let started_ms = self.now_ms();
        let request = GenerationRequest {
            request_id: answer.request_id().clone(),
            model: self.request.requested_model.clone(),
            prompt: self.request.prompt.clone(),
            max_tokens: self.request.max_tokens,
            generated: answer.tokens().to_vec(),
        };
        let timeout_ms =
            self.capped_timeout_ms(self.online.services.settings.online.first_token_ms);
        let backend = &self.online.backend;
        let started = tokio::select! {
            started = backend.generate(self.address, &request, timeout_ms) => started,
            () = tokens.closed() => {
                self.cancel(answer).await;
                return AttemptEnd::Refused(caller_disconnected());
            }
        };
        let stream = match started {
            Ok(stream) => stream,
            Err(error) => match self.on_start_error(error, answer).await {
                Ok(stream) => stream,
                Err(end) => return end,
            },
        };
        self.read_stream(answer, stream, tokens, started_ms).await
    }

    /// Handles a failed start: resumes a run that may exist by its id, or ends the attempt.
    async fn on_start_error(
        &self,
        error: BackendError,
        answer: &mut AnswerAssembler,
    ) -> Result<Box<dyn TokenStream>, AttemptEnd> {
        let message = error.to_string();
        match error {
            BackendError::NotSent(_) => {
                self.record_failure();
                Err(AttemptEnd::NotRun { reason: RetryReason::BackendConnect, message })
            }
            BackendError::Busy(_) => {
                Err(AttemptEnd::NotRun { reason: RetryReason::BackendBusy, message })
            }
            BackendError::Refused(text) => {
                Err(AttemptEnd::Refused(Refusal::not_run(Reason::BackendRefused, text)))
            }
            _ => self.resume(answer, message).await,
        }
    }

    async fn read_stream(
        &self,
        answer: &mut AnswerAssembler,
        mut stream: Box<dyn TokenStream>,
        tokens: &mpsc::Sender<String>,
        started_ms: Millis,
    ) -> AttemptEnd {
        let settings = &self.online.services.settings.online;
        self.record_load(stream.as_ref());
        let mut is_first = true;
        loop {
            if self.now_ms() >= self.request.deadline_ms {
                self.cancel(answer).await;
                let message = "the deadline passed while the answer was made";
                return AttemptEnd::Refused(Refusal::may_have_run(Reason::Deadline, message));
            }
            let limit_ms =
                if is_first { settings.first_token_ms } else { settings.stream_progress_ms };
            let item = tokio::select! {
                item = stream.next(self.capped_timeout_ms(limit_ms)) => item,
                () = tokens.closed() => {
                    self.cancel(answer).await;
                    return AttemptEnd::Refused(caller_disconnected());
                }
            };
            let (event, message) = match item {
                Ok(StreamItem::Token(token)) => (stream::Event::Token(token), String::new()),
                Ok(StreamItem::End) => (stream::Event::End, String::new()),
                Err(error) => (stream::Event::Lost, error.to_string()),
            };
            match answer.step(event) {
                stream::Action::Emit(text) => {
                    if is_first {
                        let took_ms = self.now_ms().saturating_sub(started_ms);
                        lock(&self.online.router).on_first_token(self.replica, took_ms);
                        is_first = false;
                    }
                    if tokens.send(text).await.is_err() {
                        self.cancel(answer).await;
                        return AttemptEnd::Refused(caller_disconnected());
                    }
                }
                stream::Action::Discard => self.online.services.counters.count("tokens_dropped"),
                stream::Action::Finish => return AttemptEnd::Finished,
                stream::Action::Resume { .. } => match self.resume(answer, message).await {
                    Ok(resumed) => stream = resumed,
                    Err(end) => return end,
                },
                stream::Action::ContinueElsewhere => return self.continue_elsewhere(message),
                stream::Action::Fail => return refuse_as_lost(message),
            }
        }
    }

    /// Resumes the run over a new connection to the same replica.
    async fn resume(
        &self,
        answer: &mut AnswerAssembler,
        mut message: String,
    ) -> Result<Box<dyn TokenStream>, AttemptEnd> {
        loop {
            self.online.services.counters.count_retry(RetryReason::StreamResumed);
            info!(
                "event=stream_resumed replica={} request={} token={} cause=\"{message}\"",
                self.replica,
                answer.request_id(),
                answer.next_index()
            );
            let timeout_ms =
                self.capped_timeout_ms(self.online.services.settings.online.stream_progress_ms);
            let id = answer.request_id().clone();
            let index = answer.next_index();
            let event = match self.online.backend.resume(self.address, &id, index, timeout_ms).await
            {
                Ok(stream) => return Ok(stream),
                Err(BackendError::UnknownRun) => stream::Event::UnknownRun,
                Err(error) => {
                    message = error.to_string();
                    stream::Event::Lost
                }
            };
            match answer.step(event) {
                stream::Action::Resume { .. } if self.now_ms() < self.request.deadline_ms => {}
                stream::Action::ContinueElsewhere => return Err(self.continue_elsewhere(message)),
                _ => return Err(refuse_as_lost(message)),
            }
        }
    }

    fn continue_elsewhere(&self, message: String) -> AttemptEnd {
        self.record_failure();
        AttemptEnd::ContinueElsewhere { message }
    }

    fn record_failure(&self) {
        lock(&self.online.router).on_failure(self.now_ms(), self.replica);
    }

    fn record_load(&self, stream: &dyn TokenStream) {
        if let Some(load) = stream.load() {
            lock(&self.online.router).on_report(self.now_ms(), self.replica, load.running);
        }
    }

    async fn cancel(&self, answer: &AnswerAssembler) {
        let _ = self.online.backend.cancel(self.address, answer.request_id(), false).await;
    }

    fn capped_timeout_ms(&self, limit_ms: Millis) -> Millis {
        let left_ms = self.request.deadline_ms.saturating_sub(self.now_ms());
        limit_ms.min(left_ms).max(1)
    }

    fn now_ms(&self) -> Millis {
        self.online.services.clock.now_ms()
    }
}

fn refuse_as_lost(message: String) -> AttemptEnd {
    let text = format!("the answer was lost and the request may have run: {message}");
    AttemptEnd::Refused(Refusal::may_have_run(Reason::BackendLost, text))
}

fn caller_disconnected() -> Refusal {
    Refusal::may_have_run(Reason::Deadline, "the caller closed the connection")
}
