//! Runs the items of this daemon's jobs on slots that online requests leave free.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gate::attempt::Failure;
use gate::exchange;
use gate::exchange::ClientRequest;
use http::Method;
use http::StatusCode;
use kernel::awake;
use log::info;
use slots::Class;
use slots::SlotLease;
use slots::SlotRequest;
use tokio::task::spawn_local;
use tokio::time::timeout;
use upstream::EventSplitter;
use wire::Millis;
use wire::ReplicaName;
use wire::RequestId;

use crate::board::Board;
use crate::board::JobCell;
use crate::job::ItemUrgency;
use crate::job::JobLimits;
use crate::job::Try;
use crate::job::TryEnd;
use crate::progress::Progress;

/// Items that wait for a slot at the same time; each asks one owner, and the next ones follow as
/// soon as one has its slot.
const MAX_ASKING: usize = 12;
/// How long an item waits for a slot before the order of the items is looked at again.
const ASK_MS: Millis = 2_000;
/// How often jobs are looked at when nothing happens.
const REVIEW: Duration = Duration::from_millis(100);
/// How long a replica may take to the head of its answer: reading the prompt behind others.
const HEAD_PATIENCE: Duration = Duration::from_millis(1_500);
/// How long a stream may be silent before its replica counts as lost.
const STALL: Duration = Duration::from_millis(1_000);
/// The events after which the job is told of a running item's output.
const PROGRESS_EVENTS: u32 = 16;

impl Board {
    /// Starts items and writes results until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            // A wake-up that comes early only looks at the jobs sooner.
            let _ = timeout(REVIEW, self.wake.notified()).await;
            self.review();
        }
    }

    /// Looks at every job: what must be given up, written or started.
    fn review(self: &Rc<Self>) {
        let now_ms = self.now_ms();
        let cells: Vec<Rc<JobCell>> = self.jobs.borrow().values().cloned().collect();
        for cell in &cells {
            let limits = self.limits_of(&cell.job.borrow());
            cell.job.borrow_mut().give_up_old(now_ms, limits.as_ref());
            let is_due = match &limits {
                Some(limits) => cell.job.borrow().is_save_due(now_ms, limits),
                None => cell.job.borrow().has_unsaved(),
            };
            if is_due && !cell.is_saving.get() {
                spawn_local(self.clone().save(cell.clone()));
            }
        }
        if !self.is_leaving.get() {
            self.remove_old(&cells, now_ms);
            self.start_items(&cells, now_ms);
        }
    }

    fn start_items(self: &Rc<Self>, cells: &[Rc<JobCell>], now_ms: Millis) {
        while self.asking.get() < MAX_ASKING {
            let pace = self.pace.get();
            let next = cells
                .iter()
                .filter_map(|cell| {
                    let job = cell.job.borrow();
                    let limits = self.limits_of(&job)?;
                    Some((job.next_urgency(now_ms, &limits, &pace)?, cell))
                })
                .min_by_key(|(urgency, _)| (urgency.on_time_at_ms < now_ms, urgency.order_at_ms));
            let Some((urgency, cell)) = next else { return };
            let Some(item) = cell.job.borrow_mut().start_next(now_ms) else { return };
            self.asking.set(self.asking.get() + 1);
            spawn_local(self.clone().run_item(cell.clone(), item, urgency));
        }
    }

    async fn run_item(self: Rc<Self>, cell: Rc<JobCell>, item: Try, urgency: ItemUrgency) {
        let place = item.place;
        let lease = tokio::select! {
            lease = self.slot_for(&cell, &item, urgency) => lease,
            () = cell.stop.cancelled() => None,
        };
        self.asking.set(self.asking.get().saturating_sub(1));
        self.wake.notify_one();
        let Some(lease) = lease else {
            let limits = self.limits_or_none(&cell);
            let mut job = cell.job.borrow_mut();
            job.try_ended(self.now_ms(), place, TryEnd::Interrupted, item.progress, &limits);
            return;
        };
        let replica = lease.replica.name.clone();
        let started_ms = self.now_ms();
        let before = item.progress.events;
        let mut progress = item.progress.clone();
        let (end, cause) = tokio::select! {
            end = self.stream_item(&cell, &item, &lease, &mut progress) => end,
            () = lease.revocation.revoked() => (TryEnd::Interrupted, "slot_revoked"),
            () = cell.stop.cancelled() => (TryEnd::Interrupted, "job_stopped"),
        };
        drop(lease);
        let took_ms = self.now_ms().saturating_sub(started_ms);
        let ran = Ran { item: item.item.id.clone(), replica, before, took_ms, cause };
        self.try_ended(&cell, place, end, progress, &ran);
    }

    async fn slot_for(
        &self,
        cell: &JobCell,
        item: &Try,
        urgency: ItemUrgency,
    ) -> Option<SlotLease> {
        let route = self.route_of(&cell.job.borrow())?;
        let slot_request = SlotRequest {
            service: route.service_for(&item.item.id),
            class: Class::Batch,
            on_time_at_ms: urgency.on_time_at_ms,
            order_at_ms: urgency.order_at_ms,
            give_up_at_ms: self.now_ms() + ASK_MS,
            excluded: &[],
        };
        self.parts.slots.acquire(&slot_request).await.ok()
    }

    /// Runs an item on a slot and collects its output.
    async fn stream_item(
        &self,
        cell: &JobCell,
        item: &Try,
        lease: &SlotLease,
        progress: &mut Progress,
    ) -> (TryEnd, &'static str) {
        let host = cell.job.borrow().host.clone();
        let request = ClientRequest {
            method: Method::POST,
            target: item.item.path.clone(),
            headers: self.parts.dialect.item_headers(&item.item, &host),
            body: item.item.body.clone(),
            id: RequestId::from(&*item.item.id),
        };
        let send = exchange::Send {
            request: &request,
            lease,
            deadline_left_ms: None,
            last_event: progress.last_event,
        };
        let pool = &self.parts.pool;
        let sent = exchange::send(pool, &*self.parts.ingress, &send, HEAD_PATIENCE).await;
        let mut answer = match sent {
            Ok(answer) => answer,
            Err(failure) => return self.lost(lease, failure),
        };
        match answer.head.status {
            StatusCode::UNPROCESSABLE_ENTITY => return (TryEnd::Impossible, "answered_422"),
            StatusCode::INTERNAL_SERVER_ERROR => return (TryEnd::Failed, "answered_500"),
            status if !status.is_success() => return self.lost(lease, Failure::ServerError),
            _ => {}
        }
        let mut splitter = EventSplitter::default();
        let mut told = progress.events;
        loop {
            match awake::timeout(STALL, answer.connection.read_body()).await {
                Ok(Ok(Some(bytes))) => {
                    if splitter.push(&bytes).is_err() {
                        return self.lost(lease, Failure::Garbled);
                    }
                }
                Ok(Ok(None)) if splitter.has_partial() => {
                    return self.lost(lease, Failure::BrokenOff);
                }
                Ok(Ok(None)) => {
                    pool.put(answer.connection);
                    self.parts.slots.record_success(&lease.replica.name);
                    return (TryEnd::Completed, "whole");
                }
                Ok(Err(_)) => return self.lost(lease, Failure::BrokenOff),
                Err(_) => return self.lost(lease, Failure::Stalled),
            }
            while let Some(event) = splitter.next_event() {
                progress.take(&event);
            }
            if progress.events >= told + PROGRESS_EVENTS {
                told = progress.events;
                cell.job.borrow_mut().progressed(self.now_ms(), item.place, progress);
            }
        }
    }

    fn lost(&self, lease: &SlotLease, failure: Failure) -> (TryEnd, &'static str) {
        let replica = &lease.replica;
        if failure == Failure::Stalled || failure == Failure::NoAnswer {
            self.parts.slots.report_suspect(&replica.name);
        }
        if failure != Failure::TurnedAway {
            self.parts.slots.record_failure(&replica.name, failure.as_str());
            self.parts.pool.forget(replica.address);
        }
        self.parts.counters.count_tagged("item_retried", "cause", failure.as_str());
        (TryEnd::Lost, failure.as_str())
    }

    fn try_ended(
        self: &Rc<Self>,
        cell: &JobCell,
        place: usize,
        end: TryEnd,
        progress: Progress,
        ran: &Ran,
    ) {
        let events = progress.events;
        if end == TryEnd::Completed {
            let mut pace = self.pace.get();
            pace.learn(events, events - ran.before, ran.took_ms);
            self.pace.set(pace);
        }
        let limits = self.limits_or_none(cell);
        let mut job = cell.job.borrow_mut();
        job.try_ended(self.now_ms(), place, end, progress, &limits);
        info!(
            "event=item_try item={} job={} end={} cause={} replica={} from_event={} events={events} \
             took_ms={}",
            ran.item,
            job.id,
            end.as_str(),
            ran.cause,
            ran.replica,
            ran.before,
            ran.took_ms
        );
        self.parts.counters.count_tagged("item_tries", "end", end.as_str());
        drop(job);
        self.wake.notify_one();
    }

    /// Returns the limits of a job; one whose route is gone may not be tried again.
    fn limits_or_none(&self, cell: &JobCell) -> JobLimits {
        let gone = JobLimits { due_ms: 0, retention_ms: 0, max_attempts: 1 };
        self.limits_of(&cell.job.borrow()).unwrap_or(gone)
    }
}

/// A try that had a slot.
struct Ran {
    item: Arc<str>,
    cause: &'static str,
    replica: ReplicaName,
    before: u32,
    took_ms: Millis,
}
