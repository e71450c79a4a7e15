//! The task of one batch item on a lane that this daemon owns.

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
use crate::backend::Generation;
use crate::backend::StreamItem;
use crate::backend::TokenStream;
use crate::lanes::Lanes;
use crate::lanes::NO_LANE_RETRY_AFTER_MS;
use crate::stream;
use crate::stream::Assembly;

/// What the lane tells the task of one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    Start,
    Pause,
    Resume,
    Reject(Millis),
    Stop,
}

/// How one stretch of a run ended.
pub(crate) enum Attempt {
    Ended(ItemEnd),
    Paused,
}

/// The task of one item on a lane that this daemon owns.
pub(crate) struct LaneRun<'a> {
    pub(crate) lanes: &'a Lanes,
    pub(crate) item: &'a RunItem,
    pub(crate) address: SocketAddr,
    pub(crate) commands: mpsc::UnboundedReceiver<Command>,
    pub(crate) assembly: Assembly,
    pub(crate) may_run: bool,
    pub(crate) is_over: bool,
}

impl<'a> LaneRun<'a> {
    /// Prepares the task; `may_run` says whether a run may exist already.
    pub(crate) fn new(
        lanes: &'a Lanes,
        item: &'a RunItem,
        address: SocketAddr,
        commands: mpsc::UnboundedReceiver<Command>,
        may_run: bool,
    ) -> Self {
        let assembly = Assembly::new(item.request_id.clone(), false);
        Self { lanes, item, address, commands, assembly, may_run, is_over: false }
    }

    /// Runs the item as the lane says.
    pub(crate) async fn drive(&mut self) -> ItemEnd {
        let end = self.drive_inner().await;
        self.lanes.on_ended(self.item);
        end
    }

    async fn drive_inner(&mut self) -> ItemEnd {
        loop {
            let attempt = match self.commands.recv().await {
                Some(Command::Start) => self.start().await,
                Some(Command::Resume) => self.resume().await,
                Some(Command::Reject(retry_after_ms)) => {
                    return ItemEnd::NotRun { retry_after_ms };
                }
                Some(Command::Stop) | None => return self.stop().await,
                Some(Command::Pause) => continue,
            };
            match attempt {
                Attempt::Ended(end) => return end,
                Attempt::Paused => {}
            }
        }
    }

    async fn start(&mut self) -> Attempt {
        let generation = Generation {
            request_id: self.item.request_id.clone(),
            model: self.item.model.clone(),
            prompt: self.item.prompt.clone(),
            max_tokens: self.item.max_tokens,
            generated: self.assembly.tokens().to_vec(),
        };
        self.may_run = true;
        let wait_ms = self.lanes.services.settings.batch.item_timeout_ms;
        let started = self.lanes.backend.generate(self.address, &generation, wait_ms);
        let started = tokio::select! {
            started = started => started,
            () = stop_wanted(&mut self.commands) => {
                return Attempt::Ended(self.stop().await);
            }
        };
        match started {
            Ok(stream) => self.pump(stream).await,
            Err(error) => self.on_start_error(error).await,
        }
    }

    async fn on_start_error(&mut self, error: BackendError) -> Attempt {
        debug!("event=item_not_started request={} error=\"{error}\"", self.item.request_id);
        match error {
            BackendError::NotSent(_) | BackendError::Busy(_) => {
                self.may_run = false;
                Attempt::Ended(ItemEnd::NotRun { retry_after_ms: NO_LANE_RETRY_AFTER_MS })
            }
            BackendError::Refused(detail) => Attempt::Ended(ItemEnd::ItemFault { detail }),
            error => self.on_lost(error).await,
        }
    }

    /// Reads on over a new connection, from the first token that is missing.
    pub(crate) async fn resume(&mut self) -> Attempt {
        let backend = Arc::clone(&self.lanes.backend);
        let from_index = self.assembly.next_index();
        let wait_ms = self.lanes.services.settings.online.first_token_ms;
        let id = &self.item.request_id;
        match backend.resume(self.address, id, from_index, wait_ms).await {
            Ok(stream) => Box::pin(self.pump(stream)).await,
            Err(BackendError::UnknownRun) if self.item.idempotent => {
                // The backend server dropped the paused run; it goes on after the known tokens.
                Box::pin(self.start()).await
            }
            Err(BackendError::UnknownRun) => Attempt::Ended(ItemEnd::CannotResume),
            Err(error) => Box::pin(self.on_lost(error)).await,
        }
    }

    async fn on_lost(&mut self, error: BackendError) -> Attempt {
        self.lanes.services.counters.retried(RetryReason::StreamResumed);
        match self.assembly.step(stream::Event::Lost) {
            stream::Action::Resume { .. } => Box::pin(self.resume()).await,
            _ => Attempt::Ended(ItemEnd::BackendFault { detail: error.to_string() }),
        }
    }

    async fn pump(&mut self, mut stream: Box<dyn TokenStream>) -> Attempt {
        let wait_ms = self.lanes.services.settings.batch.item_timeout_ms;
        let progress_ms = self.lanes.services.settings.online.stream_progress_ms;
        let mut last_token_at: Option<Instant> = None;
        loop {
            let wait_ms = if self.assembly.next_index() == 0 { wait_ms } else { progress_ms };
            let item = tokio::select! {
                item = stream.next(wait_ms) => item,
                command = self.commands.recv() => match command {
                    Some(Command::Pause) => {
                        drop(stream);
                        self.cancel(true).await;
                        return Attempt::Paused;
                    }
                    Some(Command::Stop) => {
                        drop(stream);
                        return Attempt::Ended(self.stop().await);
                    }
                    _ => continue,
                },
            };
            let event = match item {
                Ok(StreamItem::Token(token)) => stream::Event::Token(token),
                Ok(StreamItem::End) => stream::Event::End,
                Err(error) => return Box::pin(self.on_lost(error)).await,
            };
            match self.assembly.step(event) {
                stream::Action::Emit(_) => {
                    let now = Instant::now();
                    if let Some(last) = last_token_at.replace(now) {
                        self.lanes.on_gap(&self.item.replica, now - last);
                    }
                }
                stream::Action::Drop => self.lanes.services.counters.count("tokens_dropped"),
                stream::Action::Finish => {
                    let text = self.assembly.tokens().concat();
                    return Attempt::Ended(ItemEnd::Done { text });
                }
                stream::Action::Resume { .. } => return Box::pin(self.resume()).await,
                stream::Action::Continue | stream::Action::Fail => {
                    let detail = "the stream was lost several times".to_owned();
                    return Attempt::Ended(ItemEnd::BackendFault { detail });
                }
            }
        }
    }

    async fn stop(&mut self) -> ItemEnd {
        if self.may_run {
            self.cancel(false).await;
        }
        ItemEnd::Stopped
    }

    async fn cancel(&self, keep: bool) {
        let _ = self.lanes.backend.cancel(self.address, &self.item.request_id, keep).await;
    }
}

impl Drop for LaneRun<'_> {
    /// The caller is gone: an idempotent run ends, another one stays ready to be resumed.
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        self.lanes.on_ended(self.item);
        if self.may_run {
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

/// Waits for a stop; other commands have no meaning before the stream is open.
async fn stop_wanted(commands: &mut mpsc::UnboundedReceiver<Command>) {
    loop {
        match commands.recv().await {
            Some(Command::Stop) => return,
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}
