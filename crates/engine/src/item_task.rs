//! The task that runs one batch item on a lane that this daemon owns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use kernel::counters::RetryReason;
use log::debug;
use tokio::sync::mpsc;
use wire::Millis;
use wire::link::ItemEnd;
use wire::link::RunItem;

use crate::backend::BackendError;
use crate::backend::GenerationRequest;
use crate::backend::StreamItem;
use crate::backend::TokenStream;
use crate::lanes::Lanes;
use crate::lanes::NO_LANE_RETRY_AFTER_MS;
use crate::stream;
use crate::stream::AnswerAssembler;

/// A command from the lane to the task of one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    Start,
    Pause,
    Resume,
    Reject(Millis),
    Stop,
}

/// How a start or resume of a run ended.
pub(crate) enum RunOutcome {
    Ended(ItemEnd),
    Paused,
}

/// Runs one batch item as its lane commands.
pub(crate) struct ItemTask<'a> {
    pub(crate) lanes: &'a Lanes,
    pub(crate) item: &'a RunItem,
    pub(crate) address: SocketAddr,
    pub(crate) commands: mpsc::UnboundedReceiver<Command>,
    pub(crate) answer: AnswerAssembler,
    pub(crate) may_have_started: bool,
    pub(crate) is_finished: bool,
}

impl<'a> ItemTask<'a> {
    /// Creates the task; `may_have_started` says whether the backend server may already have a run
    /// of the item.
    pub(crate) fn new(
        lanes: &'a Lanes,
        item: &'a RunItem,
        address: SocketAddr,
        commands: mpsc::UnboundedReceiver<Command>,
        may_have_started: bool,
    ) -> Self {
        let answer = AnswerAssembler::new(item.request_id.clone(), false);
        Self { lanes, item, address, commands, answer, may_have_started, is_finished: false }
    }

    /// Runs the item until it ends and notifies the lane.
    pub(crate) async fn run(&mut self) -> ItemEnd {
        let end = self.handle_commands().await;
        self.lanes.on_ended(self.item);
        end
    }

    async fn handle_commands(&mut self) -> ItemEnd {
        loop {
            let outcome = match self.commands.recv().await {
                Some(Command::Start) => self.start().await,
                Some(Command::Resume) => self.resume().await,
                Some(Command::Reject(retry_after_ms)) => {
                    return ItemEnd::NotRun { retry_after_ms };
                }
                Some(Command::Stop) | None => return self.stop().await,
                Some(Command::Pause) => continue,
            };
            match outcome {
                RunOutcome::Ended(end) => return end,
                RunOutcome::Paused => {}
            }
        }
    }

    async fn start(&mut self) -> RunOutcome {
        let request = GenerationRequest {
            request_id: self.item.request_id.clone(),
            model: self.item.model.clone(),
            prompt: self.item.prompt.clone(),
            max_tokens: self.item.max_tokens,
            generated: self.answer.tokens().to_vec(),
        };
        self.may_have_started = true;
        let timeout_ms = self.lanes.services.settings.batch.item_timeout_ms;
        let started = self.lanes.backend.generate(self.address, &request, timeout_ms);
        let started = tokio::select! {
            started = started => started,
            () = wait_for_stop(&mut self.commands) => {
                return RunOutcome::Ended(self.stop().await);
            }
        };
        match started {
            Ok(stream) => self.read_stream(stream).await,
            Err(error) => self.on_start_error(error).await,
        }
    }

    async fn on_start_error(&mut self, error: BackendError) -> RunOutcome {
        debug!("event=item_not_started request={} error=\"{error}\"", self.item.request_id);
        match error {
            BackendError::NotSent(_) | BackendError::Busy(_) => {
                self.may_have_started = false;
                RunOutcome::Ended(ItemEnd::NotRun { retry_after_ms: NO_LANE_RETRY_AFTER_MS })
            }
            BackendError::Refused(detail) => RunOutcome::Ended(ItemEnd::ItemFault { detail }),
            error => self.on_lost(error).await,
        }
    }

    /// Resumes the run over a new connection from the first missing token.
    pub(crate) async fn resume(&mut self) -> RunOutcome {
        let backend = Arc::clone(&self.lanes.backend);
        let from_index = self.answer.next_index();
        let timeout_ms = self.lanes.services.settings.online.first_token_ms;
        let id = &self.item.request_id;
        match backend.resume(self.address, id, from_index, timeout_ms).await {
            Ok(stream) => Box::pin(self.read_stream(stream)).await,
            Err(BackendError::UnknownRun) if self.item.idempotent => {
                // The backend server no longer has the paused run; a new run continues after the
                // received tokens.
                Box::pin(self.start()).await
            }
            Err(BackendError::UnknownRun) => RunOutcome::Ended(ItemEnd::CannotResume),
            Err(error) => Box::pin(self.on_lost(error)).await,
        }
    }

    async fn on_lost(&mut self, error: BackendError) -> RunOutcome {
        self.lanes.services.counters.count_retry(RetryReason::StreamResumed);
        match self.answer.step(stream::Event::Lost) {
            stream::Action::Resume { .. } => Box::pin(self.resume()).await,
            _ => RunOutcome::Ended(ItemEnd::BackendFault { detail: error.to_string() }),
        }
    }

    async fn read_stream(&mut self, mut stream: Box<dyn TokenStream>) -> RunOutcome {
        let timeout_ms = self.lanes.services.settings.batch.item_timeout_ms;
        let progress_ms = self.lanes.services.settings.online.stream_progress_ms;
        let mut last_token_at: Option<Instant> = None;
        loop {
            let timeout_ms = if self.answer.next_index() == 0 { timeout_ms } else { progress_ms };
            let item = tokio::select! {
                item = stream.next(timeout_ms) => item,
                command = self.commands.recv() => match command {
                    Some(Command::Pause) => {
                        drop(stream);
                        self.cancel(true).await;
                        return RunOutcome::Paused;
                    }
                    Some(Command::Stop) => {
                        drop(stream);
                        return RunOutcome::Ended(self.stop().await);
                    }
                    _ => continue,
                },
            };
            let event = match item {
                Ok(StreamItem::Token(token)) => stream::Event::Token(token),
                Ok(StreamItem::End) => stream::Event::End,
                Err(error) => return Box::pin(self.on_lost(error)).await,
            };
            match self.answer.step(event) {
                stream::Action::Emit(_) => {
                    let now = Instant::now();
                    if let Some(last) = last_token_at.replace(now) {
                        self.lanes.record_token_interval(&self.item.replica, now - last);
                    }
                }
                stream::Action::Discard => self.lanes.services.counters.count("tokens_dropped"),
                stream::Action::Finish => {
                    let text = self.answer.tokens().concat();
                    return RunOutcome::Ended(ItemEnd::Done { text });
                }
                stream::Action::Resume { .. } => return Box::pin(self.resume()).await,
                stream::Action::ContinueElsewhere | stream::Action::Fail => {
                    let detail = "the stream was lost several times".to_owned();
                    return RunOutcome::Ended(ItemEnd::BackendFault { detail });
                }
            }
        }
    }

    async fn stop(&mut self) -> ItemEnd {
        if self.may_have_started {
            self.cancel(false).await;
        }
        ItemEnd::Stopped
    }

    async fn cancel(&self, keep: bool) {
        let _ = self.lanes.backend.cancel(self.address, &self.item.request_id, keep).await;
    }
}

impl Drop for ItemTask<'_> {
    /// Cancels the run if its caller went away before the end. The backend server keeps a run that
    /// is not idempotent, so that it can be resumed.
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.lanes.on_ended(self.item);
        if self.may_have_started {
            let backend = Arc::clone(&self.lanes.backend);
            let address = self.address;
            let request_id = self.item.request_id.clone();
            let keep = !self.item.idempotent;
            tokio::spawn(async move {
                let _ = backend.cancel(address, &request_id, keep).await;
            });
        }
    }
}

/// Waits for a stop command and ignores others, which do not apply before the stream is open.
async fn wait_for_stop(commands: &mut mpsc::UnboundedReceiver<Command>) {
    loop {
        match commands.recv().await {
            Some(Command::Stop) => return,
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}
