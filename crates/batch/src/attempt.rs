//! An attempt to run one item of a job, as a task.

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

use crate::lot_cache::LotCache;
use crate::runner::RunnerContext;

/// Delay before an item is retried when all lanes are full or its input cannot be read.
const LANE_FULL_RETRY_MS: Millis = 50;
/// How long a stopped attempt may take to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Parameters of an attempt at an item.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) chunk: u32,
    pub(crate) item: u32,
    pub(crate) number: u32,
    pub(crate) resume_only: bool,
    pub(crate) alone: bool,
}

/// Task of one attempt: runs the item on a lane, or looks for an earlier run to resume.
pub(crate) struct AttemptTask {
    pub(crate) context: Arc<RunnerContext>,
    pub(crate) manifest: Arc<Manifest>,
    pub(crate) lots: Arc<LotCache>,
    pub(crate) epoch: u64,
    pub(crate) attempt: Attempt,
    pub(crate) stop: CancellationToken,
}

impl AttemptTask {
    /// Runs the attempt to its end and counts its result.
    pub(crate) async fn run(&self) -> ItemEnd {
        let end = if self.attempt.resume_only {
            self.resume_on_any_replica().await
        } else {
            self.run_on_lane().await
        };
        self.count_end(&end);
        end
    }

    async fn run_on_lane(&self) -> ItemEnd {
        let item = match self.lots.read_item(self.attempt.chunk, self.attempt.item).await {
            Ok(item) => item,
            Err(StoreError::Malformed { message, .. }) => {
                return ItemEnd::ItemFault { detail: message };
            }
            Err(_) => return not_run(),
        };
        let Some(active) = self.context.replicas.bundle_manager().active() else {
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
        let Some(replica) = self.context.lane_selector.acquire(now_ms, &replicas, slots) else {
            return not_run();
        };
        let end =
            self.run_item(self.build_request(replica.clone(), item.prompt, item.max_tokens)).await;
        let full_until_ms = match &end {
            ItemEnd::NotRun { retry_after_ms } => {
                Some(self.context.services.clock.now_ms() + retry_after_ms)
            }
            _ => None,
        };
        self.context.lane_selector.release(&replica, full_until_ms);
        // Other lanes may be free, so the item is retried sooner than on the full lane.
        match end {
            ItemEnd::NotRun { .. } => not_run(),
            end => end,
        }
    }

    /// Looks for an earlier run of the item on every replica of the model and resumes it.
    async fn resume_on_any_replica(&self) -> ItemEnd {
        let Some(active) = self.context.replicas.bundle_manager().active() else {
            return not_run();
        };
        let replicas = self.context.replicas.for_batch(&active, &self.manifest.spec.model);
        let mut final_end = ItemEnd::CannotResume;
        for live in replicas {
            let request = self.build_request(live.replica.name, String::new(), 0);
            match self.run_item(request).await {
                ItemEnd::CannotResume => {}
                end
                @ (ItemEnd::NotRun { .. } | ItemEnd::BackendFault { .. } | ItemEnd::Unknown) => {
                    final_end = end;
                }
                end => return end,
            }
        }
        final_end
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
        tokio::time::timeout(STOP_TIMEOUT, run).await.unwrap_or(ItemEnd::Stopped)
    }

    fn build_request(&self, replica: ReplicaName, prompt: String, max_tokens: u32) -> RunItem {
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
            resume_only: self.attempt.resume_only,
            alone: self.attempt.alone,
        }
    }

    /// Returns the request id: one id per attempt for an idempotent item, and a single id for a
    /// non-idempotent item, which has at most one run.
    fn request_id(&self) -> RequestId {
        let Attempt { chunk, item, number: attempt, .. } = self.attempt;
        let job = &self.manifest.job;
        let id = if self.manifest.spec.idempotent {
            format!("{job}.{chunk}.{item}.{}.{attempt}", self.epoch)
        } else {
            format!("{job}.{chunk}.{item}")
        };
        RequestId::from(id)
    }

    fn count_end(&self, end: &ItemEnd) {
        let counters = &self.context.services.counters;
        match end {
            ItemEnd::Done { .. } => counters.count("items_done"),
            ItemEnd::ItemFault { .. } => counters.count("items_failed"),
            ItemEnd::CannotResume => counters.count("items_interrupted"),
            ItemEnd::NotRun { .. } => counters.count_retry(RetryReason::LaneBusy),
            ItemEnd::BackendFault { .. } | ItemEnd::Unknown => {
                counters.count_retry(RetryReason::ItemBackendLost);
            }
            ItemEnd::Stopped => counters.count("items_stopped"),
        }
    }
}

fn not_run() -> ItemEnd {
    ItemEnd::NotRun { retry_after_ms: LANE_FULL_RETRY_MS }
}
