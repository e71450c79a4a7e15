//! One online request at one replica: its stream, resumed over new connections.

use std::net::SocketAddr;

use kernel::counters::RetryReason;
use log::info;
use tokio::sync::mpsc;
use wire::Millis;
use wire::Reason;
use wire::Refusal;
use wire::ReplicaName;

use crate::backend::BackendError;
use crate::backend::Generation;
use crate::backend::StreamItem;
use crate::backend::TokenStream;
use crate::online::Online;
use crate::online::OnlineRequest;
use crate::online::lock;
use crate::stream;
use crate::stream::Assembly;

/// How one replica's part in a request ended.
pub(crate) enum PartEnd {
    /// The answer is whole.
    Finished,
    /// The replica certainly did not run the request.
    NotRun { reason: RetryReason, message: String },
    /// The replica was lost; the answer goes on elsewhere.
    Continue { message: String },
    /// The request ends here.
    Refused(Refusal),
}

/// One request at one replica.
pub(crate) struct Part<'a> {
    pub(crate) online: &'a Online,
    pub(crate) request: &'a OnlineRequest,
    pub(crate) replica: &'a ReplicaName,
    pub(crate) address: SocketAddr,
}

impl Part<'_> {
    /// Runs the request at the replica until its answer is whole, lost or refused.
    pub(crate) async fn run(
        &self,
        assembly: &mut Assembly,
        tokens: &mpsc::Sender<String>,
    ) -> PartEnd {
        let _in_flight = self.online.begin(self.replica);
        let started_ms = self.now_ms();
        let generation = Generation {
            request_id: assembly.request_id().clone(),
            model: self.request.target.clone(),
            prompt: self.request.prompt.clone(),
            max_tokens: self.request.max_tokens,
            generated: assembly.tokens().to_vec(),
        };
        let wait_ms = self.wait_ms(self.online.services.settings.online.first_token_ms);
        let backend = &self.online.backend;
        let started = tokio::select! {
            started = backend.generate(self.address, &generation, wait_ms) => started,
            () = tokens.closed() => {
                self.cancel(assembly).await;
                return PartEnd::Refused(caller_gone());
            }
        };
        let stream = match started {
            Ok(stream) => stream,
            Err(error) => match self.on_start_error(error, assembly).await {
                Ok(stream) => stream,
                Err(end) => return end,
            },
        };
        self.pump(assembly, stream, tokens, started_ms).await
    }

    /// Decides what a failed start means; a run that may exist is looked for by its id.
    async fn on_start_error(
        &self,
        error: BackendError,
        assembly: &mut Assembly,
    ) -> Result<Box<dyn TokenStream>, PartEnd> {
        let message = error.to_string();
        match error {
            BackendError::NotSent(_) => {
                self.on_failure();
                Err(PartEnd::NotRun { reason: RetryReason::BackendConnect, message })
            }
            BackendError::Busy(_) => {
                Err(PartEnd::NotRun { reason: RetryReason::BackendBusy, message })
            }
            BackendError::Refused(text) => {
                Err(PartEnd::Refused(Refusal::not_run(Reason::BackendRefused, text)))
            }
            _ => self.resume(assembly, message).await,
        }
    }

    async fn pump(
        &self,
        assembly: &mut Assembly,
        mut stream: Box<dyn TokenStream>,
        tokens: &mpsc::Sender<String>,
        started_ms: Millis,
    ) -> PartEnd {
        let settings = &self.online.services.settings.online;
        self.on_load(stream.as_ref());
        let mut is_first = true;
        loop {
            if self.now_ms() >= self.request.deadline_ms {
                self.cancel(assembly).await;
                let message = "the deadline passed while the answer was made";
                return PartEnd::Refused(Refusal::unknown(Reason::Deadline, message));
            }
            let limit_ms =
                if is_first { settings.first_token_ms } else { settings.stream_progress_ms };
            let item = tokio::select! {
                item = stream.next(self.wait_ms(limit_ms)) => item,
                () = tokens.closed() => {
                    self.cancel(assembly).await;
                    return PartEnd::Refused(caller_gone());
                }
            };
            let (event, message) = match item {
                Ok(StreamItem::Token(token)) => (stream::Event::Token(token), String::new()),
                Ok(StreamItem::End) => (stream::Event::End, String::new()),
                Err(error) => (stream::Event::Lost, error.to_string()),
            };
            match assembly.step(event) {
                stream::Action::Emit(text) => {
                    if is_first {
                        let took_ms = self.now_ms().saturating_sub(started_ms);
                        lock(&self.online.router).on_first_token(self.replica, took_ms);
                        is_first = false;
                    }
                    if tokens.send(text).await.is_err() {
                        self.cancel(assembly).await;
                        return PartEnd::Refused(caller_gone());
                    }
                }
                stream::Action::Drop => self.online.services.counters.count("tokens_dropped"),
                stream::Action::Finish => return PartEnd::Finished,
                stream::Action::Resume { .. } => match self.resume(assembly, message).await {
                    Ok(resumed) => stream = resumed,
                    Err(end) => return end,
                },
                stream::Action::Continue => return self.continue_elsewhere(message),
                stream::Action::Fail => return lost(message),
            }
        }
    }

    /// Reads on over a new connection to the same replica.
    async fn resume(
        &self,
        assembly: &mut Assembly,
        mut message: String,
    ) -> Result<Box<dyn TokenStream>, PartEnd> {
        loop {
            self.online.services.counters.retried(RetryReason::StreamResumed);
            info!(
                "event=stream_resumed replica={} request={} token={} cause=\"{message}\"",
                self.replica,
                assembly.request_id(),
                assembly.next_index()
            );
            let wait_ms = self.wait_ms(self.online.services.settings.online.stream_progress_ms);
            let id = assembly.request_id().clone();
            let index = assembly.next_index();
            let event = match self.online.backend.resume(self.address, &id, index, wait_ms).await {
                Ok(stream) => return Ok(stream),
                Err(BackendError::UnknownRun) => stream::Event::UnknownRun,
                Err(error) => {
                    message = error.to_string();
                    stream::Event::Lost
                }
            };
            match assembly.step(event) {
                stream::Action::Resume { .. } if self.now_ms() < self.request.deadline_ms => {}
                stream::Action::Continue => return Err(self.continue_elsewhere(message)),
                _ => return Err(lost(message)),
            }
        }
    }

    fn continue_elsewhere(&self, message: String) -> PartEnd {
        self.on_failure();
        PartEnd::Continue { message }
    }

    fn on_failure(&self) {
        lock(&self.online.router).on_failure(self.now_ms(), self.replica);
    }

    fn on_load(&self, stream: &dyn TokenStream) {
        if let Some(load) = stream.load() {
            lock(&self.online.router).on_report(self.now_ms(), self.replica, load.running);
        }
    }

    async fn cancel(&self, assembly: &Assembly) {
        let _ = self.online.backend.cancel(self.address, assembly.request_id(), false).await;
    }

    fn wait_ms(&self, limit_ms: Millis) -> Millis {
        let left_ms = self.request.deadline_ms.saturating_sub(self.now_ms());
        limit_ms.min(left_ms).max(1)
    }

    fn now_ms(&self) -> Millis {
        self.online.services.clock.now_ms()
    }
}

fn lost(message: String) -> PartEnd {
    let text = format!("the answer was lost and the request may have run: {message}");
    PartEnd::Refused(Refusal::unknown(Reason::BackendLost, text))
}

fn caller_gone() -> Refusal {
    Refusal::unknown(Reason::Deadline, "the caller closed the connection")
}
