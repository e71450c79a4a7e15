//! One try at one item of a job, as a task.

use std::sync::Arc;
use std::time::Duration;

use kernel::counters::RetryReason;
use store::StoreError;
use tokio_util::sync::CancellationToken;
use wire::Millis;
use wire::ReplicaName;
use wire::RequestId;
use wire::job::Manifest;
use wire::link::ItemEnd;
use wire::link::RunItem;

use crate::inputs::Inputs;
use crate::runner::RunnerContext;

/// The wait before an item is tried again when no lane has room or its input is not there.
const NO_ROOM_RETRY_MS: Millis = 50;
/// How long a stopped try may take to end.
const STOP_WAIT: Duration = Duration::from_secs(3);

/// One try at one item.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Try {
    pub(crate) chunk: u32,
    pub(crate) item: u32,
    pub(crate) attempt: u32,
    pub(crate) resume_only: bool,
    pub(crate) alone: bool,
}

/// The task of one try: it chooses a lane, or looks for an earlier run.
pub(crate) struct TryTask {
    pub(crate) context: Arc<RunnerContext>,
    pub(crate) manifest: Arc<Manifest>,
    pub(crate) inputs: Arc<Inputs>,
    pub(crate) epoch: u64,
    pub(crate) try_: Try,
    pub(crate) stop: CancellationToken,
}

impl TryTask {
    /// Runs the try to its end.
    pub(crate) async fn run(&self) -> ItemEnd {
        let end = if self.try_.resume_only {
            self.resume_anywhere().await
        } else {
            self.run_on_a_lane().await
        };
        self.count(&end);
        end
    }

    async fn run_on_a_lane(&self) -> ItemEnd {
        let item = match self.inputs.item(self.try_.chunk, self.try_.item).await {
            Ok(item) => item,
            Err(StoreError::Malformed { message, .. }) => {
                return ItemEnd::ItemFault { detail: message };
            }
            Err(_) => return not_run(),
        };
        let Some(active) = self.context.replicas.holder().active() else {
            return not_run();
        };
        let model = &self.manifest.spec.model;
        let limit = active.bundle.model(model.as_str()).map(|model| model.max_tokens);
        if limit.is_some_and(|limit| item.max_tokens > limit) {
            let detail = format!("max_tokens is over the model's {}", limit.unwrap_or(0));
            return ItemEnd::ItemFault { detail };
        }
        let replicas = self.context.replicas.for_batch(&active, model);
        let slots = active.bundle.slots_of(model);
        let now_ms = self.context.services.clock.now_ms();
        let Some(replica) = self.context.chooser.take(now_ms, &replicas, slots) else {
            return not_run();
        };
        let end =
            self.run_item(self.run_request(replica.clone(), item.prompt, item.max_tokens)).await;
        let full_until_ms = match &end {
            ItemEnd::NotRun { retry_after_ms } => {
                Some(self.context.services.clock.now_ms() + retry_after_ms)
            }
            _ => None,
        };
        self.context.chooser.put_back(&replica, full_until_ms);
        // Other lanes may have room, so the item itself need not wait as long.
        match end {
            ItemEnd::NotRun { .. } => not_run(),
            end => end,
        }
    }

    /// Looks for an earlier run on every replica of the model.
    async fn resume_anywhere(&self) -> ItemEnd {
        let Some(active) = self.context.replicas.holder().active() else {
            return not_run();
        };
        let replicas = self.context.replicas.for_batch(&active, &self.manifest.spec.model);
        let mut worst = ItemEnd::CannotResume;
        for live in replicas {
            let request = self.run_request(live.replica.name, String::new(), 0);
            match self.run_item(request).await {
                ItemEnd::CannotResume => {}
                end
                @ (ItemEnd::NotRun { .. } | ItemEnd::BackendFault { .. } | ItemEnd::Unknown) => {
                    worst = end;
                }
                end => return end,
            }
        }
        worst
    }

    async fn run_item(&self, request: RunItem) -> ItemEnd {
        let wait_ms = self.context.services.settings.batch.item_timeout_ms;
        let run = self.context.lanes.run(request.clone(), wait_ms);
        tokio::pin!(run);
        tokio::select! {
            end = &mut run => return end,
            () = self.stop.cancelled() => {}
        }
        self.context.lanes.stop(&request);
        tokio::time::timeout(STOP_WAIT, run).await.unwrap_or(ItemEnd::Stopped)
    }

    fn run_request(&self, replica: ReplicaName, prompt: String, max_tokens: u32) -> RunItem {
        let spec = &self.manifest.spec;
        RunItem {
            replica,
            request_id: self.request_id(),
            model: spec.model.clone(),
            org: self.manifest.org.clone(),
            due_unix_ms: spec.due_unix_ms,
            prompt,
            max_tokens,
            idempotent: spec.idempotent,
            resume_only: self.try_.resume_only,
            alone: self.try_.alone,
        }
    }

    /// A non-idempotent item has one run and so one id; another one has an id for each try.
    fn request_id(&self) -> RequestId {
        let Try { chunk, item, attempt, .. } = self.try_;
        let job = &self.manifest.job;
        let id = if self.manifest.spec.idempotent {
            format!("{job}.{chunk}.{item}.{}.{attempt}", self.epoch)
        } else {
            format!("{job}.{chunk}.{item}")
        };
        RequestId::from(id)
    }

    fn count(&self, end: &ItemEnd) {
        let counters = &self.context.services.counters;
        match end {
            ItemEnd::Done { .. } => counters.count("items_done"),
            ItemEnd::ItemFault { .. } => counters.count("items_failed"),
            ItemEnd::CannotResume => counters.count("items_interrupted"),
            ItemEnd::NotRun { .. } => counters.retried(RetryReason::LaneBusy),
            ItemEnd::BackendFault { .. } | ItemEnd::Unknown => {
                counters.retried(RetryReason::ItemBackendLost);
            }
            ItemEnd::Stopped => counters.count("items_stopped"),
        }
    }
}

fn not_run() -> ItemEnd {
    ItemEnd::NotRun { retry_after_ms: NO_ROOM_RETRY_MS }
}
