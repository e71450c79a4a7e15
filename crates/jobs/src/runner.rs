//! Runs the items of this daemon's jobs on slots that online requests do not use.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gate::Caller;
use gate::attempt::SendFailure;
use gate::crash_guard::SOUND_EVENTS;
use gate::exchange;
use gate::exchange::ClientRequest;
use http::Method;
use http::StatusCode;
use kernel::pause_tolerant;
use log::info;
use log::warn;
use quarantine::PromptPart;
use quarantine::Suspect;
use slots::Class;
use slots::Share;
use slots::SlotLease;
use slots::SlotRequest;
use tokio::task::spawn_local;
use tokio::time::timeout;
use upstream::Connection;
use upstream::EventPosition;
use upstream::EventSplitter;
use upstream::RunSequence;
use wire::Millis;
use wire::ReplicaName;
use wire::RequestId;

use crate::item::Item;
use crate::job::ItemRun;
use crate::job::ItemRunEnd;
use crate::job::ItemUrgency;
use crate::job::JobLimits;
use crate::manager::JobHandle;
use crate::manager::JobManager;
use crate::progress::Progress;
use crate::selection;

/// The most items that wait for a slot at the same time. Each asks one slot owner; as soon as one
/// has its slot, the next item follows.
const MAX_WAITING_FOR_SLOT: usize = 12;
/// The priority of all items: their order follows from due times and shares alone.
const ITEM_PRIORITY: u32 = 0;
/// How long an item waits for a slot before the most urgent of all waiting items is chosen anew.
const SLOT_WAIT_MS: Millis = 2_000;
/// How often the jobs are checked when nothing wakes the runner.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time that a sound replica is silent before it goes on.
const MAX_SOUND_SILENCE: Duration = Duration::from_millis(1_500);
/// How long an item waits for the head of its answer before the owner of its replica is asked to
/// probe it; the replica reads the prompts of earlier requests first.
const HEAD_SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// How long a stream may make no progress before the owner of its replica is asked to probe it.
const STREAM_SUSPECT_AFTER: Duration = Duration::from_millis(1_000);
/// How long an item waits for the head of its answer before it is run at another replica.
const HEAD_TIMEOUT: Duration = HEAD_SUSPECT_AFTER.saturating_add(MAX_SOUND_SILENCE);
/// How long the stream of an item may make no progress before it is resumed at another replica.
const STALL_TIMEOUT: Duration = STREAM_SUSPECT_AFTER.saturating_add(MAX_SOUND_SILENCE);
/// The longest output of an item, so that a replica cannot exhaust the memory of the daemon.
const MAX_OUTPUT_BYTES: usize = 1 << 20;
/// The number of events after which a running item's output is copied into the job.
const EVENTS_PER_PROGRESS_UPDATE: u32 = 16;

impl JobManager {
    /// Starts items and has results written until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            // Both a wake-up and a time-out lead to the same check.
            let _ = timeout(CHECK_INTERVAL, self.wake.notified()).await;
            self.check_jobs();
        }
    }

    /// Gives up expired items, starts due status writes and removals, and starts items.
    fn check_jobs(self: &Rc<Self>) {
        let now_ms = self.now_ms();
        let handles: Vec<Rc<JobHandle>> = self.jobs.borrow().values().cloned().collect();
        self.measure_jobs(&handles, now_ms);
        for handle in &handles {
            let limits = self.limits_of(&handle.job.borrow());
            handle.job.borrow_mut().give_up_expired(now_ms, limits.as_ref());
            let is_due = match &limits {
                Some(limits) => handle.job.borrow().is_write_due(now_ms, limits),
                None => handle.job.borrow().has_unwritten(),
            };
            if is_due && !handle.is_record_busy() {
                spawn_local(self.clone().write_results(handle.clone()));
            }
        }
        if !self.is_leaving.get() {
            self.remove_expired(&handles, now_ms);
            self.start_items(&handles, now_ms);
        }
    }

    fn start_items(self: &Rc<Self>, handles: &[Rc<JobHandle>], now_ms: Millis) {
        self.check_for_pause();
        loop {
            let run_time = self.run_time.get();
            let confirmed = handles.iter().filter(|handle| !handle.is_unconfirmed.get());
            let candidates = confirmed.filter_map(|handle| {
                let job = handle.job.borrow();
                let limits = self.limits_of(&job)?;
                let urgency = job.next_urgency(now_ms, &limits, &run_time)?;
                Some((urgency, job.organisation.clone(), handle))
            });
            let places = self.waiting_for_slot.borrow();
            let next = selection::next_item(now_ms, MAX_WAITING_FOR_SLOT, &places, candidates);
            drop(places);
            let Some((urgency, handle)) = next else { return };
            let Some(run) = handle.job.borrow_mut().start_next(now_ms) else { return };
            let host = handle.job.borrow().host.clone();
            let parts = self.prompt_parts(&host, &run.item);
            let blocking = self.deps.crash_guard.blocking_part(&parts);
            if let Some(suspect) = blocking.or_else(|| self.trial_of_others(handles, handle, &run))
            {
                self.hold_item(handle, &run, suspect);
                continue;
            }
            let id = RequestId::from(&*run.item.id);
            let claimed_ms = match self.deps.crash_guard.claim_trial(&id, &parts) {
                Ok(claimed_ms) => claimed_ms,
                Err(suspect) => {
                    self.hold_item(handle, &run, suspect);
                    continue;
                }
            };
            let trial = claimed_ms.map(|claimed_ms| ClaimedTrial { claimed_ms, id, parts });
            let organisation = handle.job.borrow().organisation.clone();
            self.waiting_for_slot.borrow_mut().take(&organisation);
            spawn_local(self.clone().run_item(handle.clone(), run, urgency, trial));
        }
    }

    /// Returns the parts of an item's prompt that other requests may share.
    pub(crate) fn prompt_parts(&self, host: &str, item: &Item) -> Vec<PromptPart> {
        let headers = self.deps.job_codec.encode_item_headers(item, host);
        self.deps.ingress_codec.decode_prompt_parts(&headers)
    }

    /// Returns the quarantined part of an item whose next trial is due to another held item.
    fn trial_of_others(
        &self,
        handles: &[Rc<JobHandle>],
        handle: &JobHandle,
        run: &ItemRun,
    ) -> Option<Suspect> {
        let suspect = handle.job.borrow().held_by(run.index)?;
        if !self.deps.crash_guard.is_quarantined(suspect) {
            return None;
        }
        let own = handle.job.borrow().trial_order(run.index);
        let orders =
            handles.iter().filter_map(|other| other.job.borrow().first_trial_order(suspect));
        (orders.min() < own).then_some(suspect)
    }

    fn hold_item(&self, handle: &JobHandle, run: &ItemRun, suspect: Suspect) {
        let mut job = handle.job.borrow_mut();
        if job.hold(self.now_ms(), run.index, suspect) {
            self.deps.counters.count("items_held");
            let trial_in_ms = self.deps.crash_guard.trial_due_in_ms(suspect);
            info!(
                "event=item_held item={} job={} {suspect} trial_in_ms={}",
                run.item.id,
                job.id,
                trial_in_ms.map_or("-".to_owned(), |trial_in_ms| trial_in_ms.to_string())
            );
        }
    }

    async fn run_item(
        self: Rc<Self>,
        handle: Rc<JobHandle>,
        run: ItemRun,
        urgency: ItemUrgency,
        trial: Option<ClaimedTrial>,
    ) {
        let index = run.index;
        let lease = tokio::select! {
            lease = self.acquire_slot(&handle, &run, urgency) => lease,
            () = handle.stop.cancelled() => None,
        };
        let organisation = handle.job.borrow().organisation.clone();
        self.waiting_for_slot.borrow_mut().free(&organisation);
        self.wake.notify_one();
        // This daemon may have been paused while the item waited for its slot.
        self.check_for_pause();
        let lease = lease.filter(|_| !handle.is_unconfirmed.get());
        let Some(lease) = lease else {
            if let Some(ClaimedTrial { claimed_ms, id, parts }) = &trial {
                self.deps.crash_guard.release_trial(*claimed_ms, id, parts);
            }
            let limits = self.limits_or_expired(&handle);
            let mut job = handle.job.borrow_mut();
            job.end_run(self.now_ms(), index, ItemRunEnd::Interrupted, run.progress, &limits);
            return;
        };
        let replica = lease.replica.name.clone();
        let started_ms = self.now_ms();
        let events_before = run.progress.events;
        info!(
            "event=item_sent item={} job={} replica={replica} granted={} from_event={events_before} {}",
            run.item.id,
            handle.job.borrow().id,
            lease.is_granted,
            self.deps.slots.list_state()
        );
        let mut progress = run.progress.clone();
        let (end, cause) = tokio::select! {
            end = self.stream_item(&handle, &run, &lease, trial.as_ref(), &mut progress) => end,
            () = lease.revocation.revoked() => (ItemRunEnd::Interrupted, "slot_revoked"),
            () = handle.stop.cancelled() => (ItemRunEnd::Interrupted, "job_stopped"),
        };
        drop(lease);
        let took_ms = self.now_ms().saturating_sub(started_ms);
        let summary =
            RunSummary { item: run.item.id.clone(), replica, events_before, took_ms, cause };
        self.finish_run(&handle, index, end, progress, &summary);
    }

    async fn acquire_slot(
        &self,
        handle: &JobHandle,
        run: &ItemRun,
        urgency: ItemUrgency,
    ) -> Option<SlotLease> {
        let route = self.route_of(&handle.job.borrow())?;
        let slot_request = SlotRequest {
            service: route.service_for(&run.item.id),
            class: Class::Batch,
            on_time_at_ms: urgency.on_time_at_ms,
            order_at_ms: urgency.order_at_ms,
            give_up_at_ms: self.now_ms() + SLOT_WAIT_MS,
            waits_for_replica: true,
            excluded: &[],
            share: self.item_share(handle),
        };
        self.deps.slots.acquire(&slot_request).await.ok()
    }

    /// Returns the share that a job's items count towards, or `None` where there are no organisations.
    /// Owners of builds before it ignore the shares of items.
    fn item_share(&self, handle: &JobHandle) -> Option<Share> {
        let organisation = handle.job.borrow().organisation.clone()?;
        Some(Share::new(Some(&organisation), ITEM_PRIORITY))
    }

    /// Returns the caller as whom the items of a job run; a revoked key ends no job.
    fn item_caller(&self, handle: &JobHandle) -> Caller {
        if let Some(organisation) = &handle.job.borrow().organisation {
            return Caller::Member(organisation.clone());
        }
        let in_force = self.deps.in_force.borrow();
        match in_force.current() {
            Some(configuration) if configuration.has_organisations() => Caller::Anonymous,
            _ => Caller::Unchecked,
        }
    }

    /// Runs an item on a slot and appends its output to `progress`.
    async fn stream_item(
        &self,
        handle: &JobHandle,
        run: &ItemRun,
        lease: &SlotLease,
        trial: Option<&ClaimedTrial>,
        progress: &mut Progress,
    ) -> (ItemRunEnd, &'static str) {
        let host = handle.job.borrow().host.clone();
        let headers = self.deps.job_codec.encode_item_headers(&run.item, &host);
        let prompt_parts = self.deps.ingress_codec.decode_prompt_parts(&headers);
        let guard = &self.deps.crash_guard;
        let request = ClientRequest {
            method: Method::POST,
            target: run.item.path.clone(),
            headers,
            body: run.item.body.clone(),
            id: RequestId::from(&*run.item.id),
            prompt_parts,
            is_item: true,
            caller: self.item_caller(handle),
            key: None,
        };
        let admitted = trial.map_or_else(|| guard.admit(&request), |trial| Ok(trial.claimed_ms));
        let Ok(admitted_ms) = admitted else {
            return (ItemRunEnd::Interrupted, "quarantined");
        };
        let outbound = exchange::OutboundRequest {
            request: &request,
            lease,
            deadline_left_ms: None,
            last_event: progress.last_event,
        };
        let pool = &self.deps.pool;
        let sent_ms = self.now_ms();
        let sending = exchange::send(pool, &*self.deps.ingress_codec, &outbound, HEAD_TIMEOUT);
        let sent = self.report_if_silent(lease, HEAD_SUSPECT_AFTER, sending).await;
        let mut answer = match sent {
            Ok(answer) => answer,
            Err(failure) => {
                let is_timeout = self.now_ms() >= sent_ms + HEAD_TIMEOUT.as_millis() as Millis;
                if failure == SendFailure::NoAnswer && !is_timeout {
                    guard.record_loss(&lease.replica, &request);
                }
                if !failure.may_have_run() {
                    guard.record_not_run(admitted_ms, &request);
                }
                return self.record_replica_failure(&request.id, lease, failure);
            }
        };
        match answer.head.status {
            StatusCode::UNPROCESSABLE_ENTITY => return (ItemRunEnd::Impossible, "answered_422"),
            StatusCode::INTERNAL_SERVER_ERROR => {
                self.deps.slots.record_server_error(&lease.replica, &request.id);
                return (ItemRunEnd::Failed, "answered_500");
            }
            status if !status.is_success() => {
                // Other errors are the item's fault, whichever replica runs it.
                if status.is_server_error() {
                    self.deps.slots.record_failed_run(&lease.replica, &request.id);
                }
                return self.record_replica_failure(&request.id, lease, SendFailure::ServerError);
            }
            _ if !answer.head.may_have_events() => {
                exchange::log_rejected(&request, "the body is no event stream");
                return self.record_replica_failure(&request.id, lease, SendFailure::Garbled);
            }
            _ => {}
        }
        if progress.last_event.is_none() {
            *progress = Progress::default();
        }
        let mut splitter = EventSplitter::default();
        let mut sequence = RunSequence::resume_after(progress.last_event);
        let mut reported_events = progress.events;
        let mut run_events = 0;
        let mut is_sound = false;
        loop {
            let connection = &mut answer.connection;
            let reading = read_progress(
                &request,
                connection,
                &mut splitter,
                &mut sequence,
                progress,
                &mut run_events,
            );
            let reading = pause_tolerant::timeout(STALL_TIMEOUT, reading);
            match self.report_if_silent(lease, STREAM_SUSPECT_AFTER, reading).await {
                Ok(Ok(true)) => {}
                Ok(Ok(false)) if !sequence.has_output() => {
                    // A replica that finds nothing left to resume cannot be told from one whose
                    // answer broke off, so the next run starts anew.
                    *progress = Progress::default();
                    if answer.connection.has_ended_by_close() {
                        guard.record_loss(&lease.replica, &request);
                    }
                    return self.record_replica_failure(&request.id, lease, SendFailure::BrokenOff);
                }
                Ok(Ok(false)) => {
                    if !is_sound && answer.connection.has_ended_by_close() {
                        guard.record_loss(&lease.replica, &request);
                    } else {
                        guard.record_sound(&request);
                    }
                    pool.put(answer.connection);
                    self.deps.slots.record_success(&lease.replica.name);
                    return (ItemRunEnd::Completed, "whole");
                }
                Ok(Err(failure)) => {
                    if !is_sound && failure == SendFailure::BrokenOff {
                        guard.record_loss(&lease.replica, &request);
                    }
                    return self.record_replica_failure(&request.id, lease, failure);
                }
                Err(_) => {
                    return self.record_replica_failure(&request.id, lease, SendFailure::Stalled);
                }
            }
            if !is_sound && run_events >= SOUND_EVENTS {
                is_sound = true;
                guard.record_sound(&request);
            }
            if progress.text.len() > MAX_OUTPUT_BYTES {
                warn!(
                    "event=answer_over_limit id={} peer={} reason=\"the output is too long\"",
                    run.item.id,
                    answer.connection.peer()
                );
                progress.clone_from(&run.progress);
                return self.record_replica_failure(&request.id, lease, SendFailure::Garbled);
            }
            if progress.events >= reported_events + EVENTS_PER_PROGRESS_UPDATE {
                reported_events = progress.events;
                handle.job.borrow_mut().record_progress(self.now_ms(), run.index, progress);
            }
        }
    }

    /// Waits for `work` to end; after `limit` the owner of the replica is asked to probe it, which
    /// keeps new requests away from it while it does not answer.
    async fn report_if_silent<F: Future>(
        &self,
        lease: &SlotLease,
        limit: Duration,
        work: F,
    ) -> F::Output {
        let mut work = std::pin::pin!(work);
        if let Ok(output) = pause_tolerant::timeout(limit, work.as_mut()).await {
            return output;
        }
        let replica = &lease.replica.name;
        info!("event=replica_silent replica={replica} for_ms={}", limit.as_millis());
        self.deps.slots.report_suspect(replica);
        work.await
    }

    /// Records the failure of a replica; returns the end of the run and its cause for the log.
    fn record_replica_failure(
        &self,
        request: &RequestId,
        lease: &SlotLease,
        failure: SendFailure,
    ) -> (ItemRunEnd, &'static str) {
        let replica = &lease.replica;
        if failure == SendFailure::ReplicaLeaving {
            return (ItemRunEnd::Interrupted, failure.as_str());
        }
        if failure == SendFailure::Stalled || failure == SendFailure::NoAnswer {
            self.deps.slots.report_suspect(&replica.name);
        }
        if !matches!(failure, SendFailure::TurnedAway | SendFailure::NoMemory) {
            if failure != SendFailure::ServerError {
                self.deps.slots.record_failed_run(replica, request);
            }
            self.deps.slots.record_failure(&replica.name, failure.as_str());
            self.deps.pool.close_idle(replica.address);
        }
        self.deps.counters.count_tagged("item_retried", "cause", failure.as_str());
        (ItemRunEnd::Lost, failure.as_str())
    }

    fn finish_run(
        self: &Rc<Self>,
        handle: &JobHandle,
        index: usize,
        end: ItemRunEnd,
        progress: Progress,
        summary: &RunSummary,
    ) {
        let events = progress.events;
        if end == ItemRunEnd::Completed {
            let mut run_time = self.run_time.get();
            run_time.update(events, events - summary.events_before, summary.took_ms);
            self.run_time.set(run_time);
        }
        let limits = self.limits_or_expired(handle);
        let mut job = handle.job.borrow_mut();
        job.end_run(self.now_ms(), index, end, progress, &limits);
        info!(
            "event=item_try item={} job={} end={} cause={} replica={} from_event={} events={events} \
             took_ms={}",
            summary.item,
            job.id,
            end.as_str(),
            summary.cause,
            summary.replica,
            summary.events_before,
            summary.took_ms
        );
        self.deps.counters.count_tagged("item_tries", "end", end.as_str());
        drop(job);
        self.wake.notify_one();
    }

    /// Returns the limits of a job, or limits that allow no further attempt if its route is gone.
    fn limits_or_expired(&self, handle: &JobHandle) -> JobLimits {
        let expired = JobLimits { due_ms: 0, retention_ms: 0, max_attempts: 1 };
        self.limits_of(&handle.job.borrow()).unwrap_or(expired)
    }
}

/// Reads events until `progress` has grown and adds them to `run_events`, those that are repeated
/// after a resumption too; returns false at the end of the stream.
async fn read_progress(
    request: &ClientRequest,
    connection: &mut Connection,
    splitter: &mut EventSplitter,
    sequence: &mut RunSequence,
    progress: &mut Progress,
    run_events: &mut u32,
) -> Result<bool, SendFailure> {
    let before = (progress.events, progress.last_event);
    loop {
        while let Some(event) = splitter.next_event() {
            *run_events += u32::from(event.has_data());
            match sequence.place(&event) {
                EventPosition::Next => progress.append(&event),
                EventPosition::Repeated => {}
                EventPosition::Misplaced => {
                    exchange::log_rejected(request, "an event does not continue the stream");
                    return Err(SendFailure::Garbled);
                }
            }
        }
        if (progress.events, progress.last_event) != before {
            return Ok(true);
        }
        match connection.read_body().await {
            Ok(Some(bytes)) => {
                splitter.push(&bytes).map_err(|error| {
                    exchange::log_rejected(request, &error.to_string());
                    SendFailure::Garbled
                })?;
                let kept_bytes = splitter.buffered_bytes() + progress.text.capacity();
                connection
                    .set_kept_bytes(kept_bytes)
                    .map_err(|error| exchange::classify_body_error(request, &error))?;
            }
            Ok(None) if splitter.has_partial() => return Err(SendFailure::BrokenOff),
            Ok(None) => return Ok(false),
            Err(error) => return Err(exchange::classify_body_error(request, &error)),
        }
    }
}

/// The trial of a quarantined part that an item's run is.
struct ClaimedTrial {
    claimed_ms: Millis,
    id: RequestId,
    parts: Vec<PromptPart>,
}

/// The log fields of a run that had a slot.
struct RunSummary {
    item: Arc<str>,
    cause: &'static str,
    replica: ReplicaName,
    events_before: u32,
    took_ms: Millis,
}
