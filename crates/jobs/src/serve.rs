//! Answers calls about jobs from clients and from other daemons.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use gate::Caller;
use gate::JobCall;
use gate::answer;
use gate::codec::RequestMeta;
use gate::gateway::JobCallHandler;
use http::Method;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use kernel::Clock;
use kernel::local_server::LocalBody;
use log::info;
use log::warn;
use store::Call;
use store::CallClass;
use store::Reply;
use store::StoreError;
use tokio::time::timeout;
use wire::JobId;
use wire::Millis;
use wire::OrgName;
use wire::Reason;
use wire::Refusal;
use wire::Route;

use crate::access;
use crate::access::Access;
use crate::adoption::LoadedJob;
use crate::item::ItemResult;
use crate::item::Submission;
use crate::job::ItemBody;
use crate::job::Job;
use crate::manager::JobHandle;
use crate::manager::JobLocation;
use crate::manager::JobManager;
use crate::quarantine_check::Novelty;
use crate::record;
use crate::record::Home;
use crate::record::INPUT_KIND;
use crate::record::JOB_KIND;
use crate::record::JobRecord;
use crate::submissions::PendingTokens;

/// The maximum size of the results in one answer, in bytes.
const MAX_RESULTS_BYTES: usize = 900 << 10;
/// How long a read tries the store before the client is told to retry.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long another daemon may take to answer a call, in addition to the time that the client asked
/// it to wait.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a client waits for the acceptance of a job if it sends no deadline.
const DEFAULT_SUBMIT_DEADLINE_MS: Millis = 4_000;
/// The part of a client's deadline that is reserved for sending the answer back.
const ANSWER_RESERVE_MS: Millis = 300;
/// How long the write of a job's end may take before the client is told that the outcome is
/// unknown.
const END_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a read waits for the store to confirm the home of its job.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);
/// The retry delay sent to a client whose job is over the quota or cannot be stored.
const RETRY_AFTER_MS: Millis = 800;
/// How often a call looks up the home of its job before it is answered as unavailable.
const MAX_LOOKUPS: u32 = 3;

/// Where a call comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// A client.
    Client,
    /// Another daemon, which believes that this one is the job's home.
    Peer,
}

/// The outcome of the creation of a job's record.
enum Creation {
    /// The record was created.
    Created(CreatedRecord),
    /// Another daemon had created it.
    Repeated,
    /// It is the record of another organisation's job.
    Taken,
}

/// The properties of a newly created job record.
struct CreatedRecord {
    revision: u64,
    value_bytes: usize,
    input_parts: usize,
}

/// The status and body of an answer.
pub type CallAnswer = (StatusCode, Bytes);

impl JobCallHandler for JobManager {
    fn submit(
        self: Rc<Self>,
        route: Arc<Route>,
        caller: Caller,
        meta: RequestMeta,
        parts: Parts,
        body: Bytes,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        Box::pin(async move {
            let id = JobId::from(meta.id.as_str());
            let result = self.accept(&id, &route, &caller, &meta, &parts, body).await;
            match result {
                Ok(()) => answer::json(StatusCode::ACCEPTED, "{}"),
                Err(refusal) => {
                    self.deps.counters.count_refusal(&refusal);
                    info!(
                        "event=job_refused job={id} reason={} ran={:?} message=\"{}\"",
                        refusal.reason.as_str(),
                        refusal.ran,
                        refusal.message
                    );
                    answer::refusal(&*self.deps.ingress_codec, &refusal)
                }
            }
        })
    }

    fn handle_call(
        self: Rc<Self>,
        call: JobCall,
        caller: Caller,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        Box::pin(async move {
            let (status, body) = self.answer(&call, &caller, CallOrigin::Client).await;
            match self.hold_answer(body) {
                Some(body) => answer::json(status, body),
                None => answer::empty(StatusCode::SERVICE_UNAVAILABLE),
            }
        })
    }
}

impl JobManager {
    /// Answers a call about a job, here or through the job's home.
    pub async fn answer(
        self: &Rc<Self>,
        call: &JobCall,
        caller: &Caller,
        origin: CallOrigin,
    ) -> CallAnswer {
        let job = match call {
            JobCall::Results { job, .. } | JobCall::ItemBody { job, .. } | JobCall::End { job } => {
                JobId::from(job.as_str())
            }
            JobCall::Unknown => return (StatusCode::NOT_FOUND, Bytes::new()),
        };
        let mut denied_by = None;
        let mut was_end_forwarded = false;
        for _ in 0..MAX_LOOKUPS {
            let home = match self.locate(&job) {
                JobLocation::Local(handle) => {
                    if let Some(status) = self.deny(caller, &handle.job.borrow(), origin) {
                        return (status, Bytes::new());
                    }
                    match self.answer_here(call, &handle).await {
                        Some(answer) => return answer,
                        None if origin == CallOrigin::Peer
                            || self.has_unconfirmed(call, &handle) =>
                        {
                            break;
                        }
                        None => continue,
                    }
                }
                _ if origin == CallOrigin::Peer => return (StatusCode::NOT_FOUND, Bytes::new()),
                JobLocation::Remote(home) => Some(home),
                JobLocation::Unknown => None,
            };
            if let Some(address) = home.as_ref().and_then(|home| self.control_address(home)) {
                match self.forward_to_peer(address, call, caller).await {
                    // The home denies the caller.
                    Some((StatusCode::FORBIDDEN, _)) => {
                        return (StatusCode::NOT_FOUND, Bytes::new());
                    }
                    Some(answer) if answer.0 != StatusCode::NOT_FOUND => return answer,
                    Some(_) => {
                        self.forget_home(&job);
                        denied_by = home;
                    }
                    None => was_end_forwarded |= matches!(call, JobCall::End { .. }),
                }
            }
            match self.load(&job, READ_TIMEOUT).await {
                Ok(LoadedJob::Local(_)) => {}
                Ok(LoadedJob::NotFound) => return (StatusCode::NOT_FOUND, Bytes::new()),
                Ok(LoadedJob::Remote(home, handle)) => {
                    if let Some(status) = self.deny(caller, &handle.job.borrow(), origin) {
                        return (status, Bytes::new());
                    }
                    if denied_by.as_ref() == Some(&home) {
                        // That daemon wrote the record or a claim, but never received the store's
                        // answer.
                        self.notify_home(&job, &home.daemon);
                    }
                    self.note_home(&job, &home);
                    let answer = match self.answer_from_input(call, &handle).await {
                        Some(answer) => Some(answer),
                        None => self.answer_from_memory(call, &handle),
                    };
                    if let Some(answer) = answer {
                        info!(
                            "event=answered_from_record job={job} home={} listed={} revision={}",
                            home.daemon,
                            handle.job.borrow().written_results().len(),
                            handle.job.borrow().revision
                        );
                        return answer;
                    }
                }
                Err(error) => {
                    warn!("event=job_not_read job={job} error=\"{error}\"");
                    break;
                }
            }
        }
        // 503 would promise that the job was not ended, which its home may have done.
        let status = if was_end_forwarded {
            StatusCode::BAD_GATEWAY
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, Bytes::new())
    }

    /// Answers as the job's home; returns `None` if this daemon is not the home or cannot be sure.
    async fn answer_here(
        self: &Rc<Self>,
        call: &JobCall,
        handle: &Rc<JobHandle>,
    ) -> Option<CallAnswer> {
        if let JobCall::End { .. } = call {
            return Some(self.end_job(handle).await);
        }
        if let JobCall::Results { after, wait_ms, .. } = call {
            self.wait_for_result(handle, *after, *wait_ms).await;
        }
        self.check_for_pause();
        if handle.is_unconfirmed.get() {
            self.wait_for_confirmation(handle).await;
        }
        if handle.is_deposed.get() || handle.is_unconfirmed.get() {
            return None;
        }
        if self.has_unconfirmed(call, handle) {
            self.deps.counters.count("results_unconfirmed");
            info!(
                "event=results_unconfirmed job={} listed={}",
                handle.job.borrow().id,
                handle.job.borrow().written_results().len()
            );
            return None;
        }
        match self.answer_from_input(call, handle).await {
            Some(answer) => Some(answer),
            None => self.answer_from_memory(call, handle),
        }
    }

    /// Returns whether the call asks for results that the job's record may hold although this home
    /// got no answer to its write of them.
    fn has_unconfirmed(&self, call: &JobCall, handle: &JobHandle) -> bool {
        let JobCall::Results { after, .. } = call else { return false };
        !handle.is_deposed.get() && !handle.job.borrow().can_answer_from(self.now_ms(), *after)
    }

    /// Answers from the state in memory; returns `None` for an end, which only the home can write.
    fn answer_from_memory(&self, call: &JobCall, handle: &JobHandle) -> Option<CallAnswer> {
        match call {
            JobCall::Results { after, .. } => Some(self.results(handle, *after)),
            JobCall::ItemBody { item, .. } => match handle.job.borrow().item_body(item) {
                Some(ItemBody::Held(body)) => Some((StatusCode::OK, body)),
                // Such a read is answered from the record.
                Some(ItemBody::Released) => Some((StatusCode::SERVICE_UNAVAILABLE, Bytes::new())),
                None => Some((StatusCode::NOT_FOUND, Bytes::new())),
            },
            JobCall::End { .. } => None,
            JobCall::Unknown => Some((StatusCode::NOT_FOUND, Bytes::new())),
        }
    }

    async fn wait_for_confirmation(&self, handle: &JobHandle) {
        let confirmed = async {
            loop {
                let changed = handle.changed.notified();
                if handle.is_deposed.get() || !handle.is_unconfirmed.get() {
                    return;
                }
                changed.await;
            }
        };
        // After a time-out the client is told to ask again.
        let _ = timeout(CONFIRM_TIMEOUT, confirmed).await;
    }

    async fn wait_for_result(&self, handle: &JobHandle, after: usize, wait_ms: Millis) {
        let new_results = async {
            loop {
                let changed = handle.changed.notified();
                let has_new = handle.job.borrow().written_results().len() > after;
                let is_home = !handle.is_deposed.get() && !handle.is_unconfirmed.get();
                if has_new || !is_home || handle.job.borrow().is_finished() {
                    return;
                }
                changed.await;
            }
        };
        // If no result arrives in time, the answer is an empty list.
        let _ = timeout(Duration::from_millis(wait_ms), new_results).await;
    }

    fn results(&self, handle: &JobHandle, after: usize) -> CallAnswer {
        let job = handle.job.borrow();
        let written = job.written_results().get(after..).unwrap_or_default();
        let mut bytes = 0;
        let fitting = written.iter().take_while(|result| {
            let is_first = bytes == 0;
            bytes += record::encoded_bytes(&result.item, &result.text);
            is_first || bytes <= MAX_RESULTS_BYTES
        });
        let results: Vec<ItemResult> = fitting.cloned().collect();
        let next = after + results.len();
        (StatusCode::OK, self.deps.job_codec.encode_results(job.total(), next, &results))
    }

    /// Ends a job; answers with success only after the end is written into the record.
    async fn end_job(self: &Rc<Self>, handle: &Rc<JobHandle>) -> CallAnswer {
        let id = handle.job.borrow().id.clone();
        let is_first = !handle.job.borrow().is_ended;
        handle.job.borrow_mut().end();
        if is_first {
            info!("event=job_end_requested job={id}");
        }
        let writer = self.clone();
        let written_handle = handle.clone();
        tokio::task::spawn_local(async move { writer.write_results(written_handle).await });
        let written = async {
            loop {
                let changed = handle.changed.notified();
                if handle.is_deposed.get() {
                    return false;
                }
                if !handle.job.borrow().has_unwritten() {
                    return true;
                }
                changed.await;
            }
        };
        match timeout(END_TIMEOUT, written).await {
            Ok(true) => {
                handle.stop.cancel();
                (StatusCode::OK, Bytes::new())
            }
            _ => (StatusCode::BAD_GATEWAY, Bytes::new()),
        }
    }

    fn control_address(&self, home: &Home) -> Option<SocketAddr> {
        let membership = self.deps.membership.borrow();
        if !membership.is_alive(&home.daemon) {
            return None;
        }
        membership.peer(&home.daemon)?.identity.control
    }

    async fn forward_to_peer(
        &self,
        peer: SocketAddr,
        call: &JobCall,
        caller: &Caller,
    ) -> Option<CallAnswer> {
        let (method, target, wait_ms) = match call {
            JobCall::Results { job, after, wait_ms } => {
                (Method::GET, format!("/jobs/{job}/results/{after}/{wait_ms}"), *wait_ms)
            }
            JobCall::ItemBody { job, item } => {
                (Method::GET, format!("/jobs/{job}/items/{item}"), 0)
            }
            JobCall::End { job } => {
                (Method::DELETE, format!("/jobs/{job}"), END_TIMEOUT.as_millis() as Millis)
            }
            JobCall::Unknown => return None,
        };
        let target = format!("{target}{}", access::encode_caller(caller));
        let limit = PEER_TIMEOUT + Duration::from_millis(wait_ms);
        let answer = self.deps.control.call(peer, method, &target, &[], limit).await;
        answer.ok().filter(|(status, _)| !status.is_server_error())
    }

    async fn accept(
        self: &Rc<Self>,
        id: &JobId,
        route: &Route,
        caller: &Caller,
        meta: &RequestMeta,
        parts: &Parts,
        body: Bytes,
    ) -> Result<(), Refusal> {
        if let Novelty::Repeated = self.check_id(id, caller).await? {
            info!("event=job_repeated job={id}");
            return Ok(());
        }
        let reserved = self.reserve_submission(id, body.len())?;
        let mut submission = self
            .deps
            .job_codec
            .decode_submission(&body)
            .map_err(|bad| Refusal::not_run(Reason::BadRequest, bad.message))?;
        drop(body);
        if caller.is_checked() {
            submission.remove_credentials();
        }
        let wait_ms = meta.deadline_ms.unwrap_or(DEFAULT_SUBMIT_DEADLINE_MS);
        let store_timeout = Duration::from_millis(wait_ms.saturating_sub(ANSWER_RESERVE_MS).max(1));
        let checked = self.check_quarantine(id, &route.host, caller, &submission, store_timeout);
        if let Novelty::Repeated = checked.await? {
            info!("event=job_repeated job={id}");
            return Ok(());
        }
        let organisation = caller.organisation();
        let pending_tokens = self.check_quota(id, route, organisation, &submission)?;
        let pauses_before = self.pauses();
        let submitted_ms = self.now_ms();
        let host = &*route.host;
        let path = parts.uri.path();
        let record = self.new_record(host, path, organisation);
        let writing = self.write_record(id, record, caller, &submission, store_timeout);
        let creation = match timeout(store_timeout, writing).await {
            Ok(Ok(creation)) => creation,
            Ok(Err(StoreError::Unavailable(message))) => {
                return Err(Refusal::not_run(Reason::StoreUnavailable, message)
                    .with_retry_after(RETRY_AFTER_MS));
            }
            Ok(Err(StoreError::RateLimited)) => {
                let message = "the store's call rate is exceeded";
                return Err(Refusal::not_run(Reason::StoreUnavailable, message)
                    .with_retry_after(RETRY_AFTER_MS));
            }
            Ok(Err(error)) => {
                return Err(Refusal::may_have_run(Reason::StoreUnavailable, error.to_string()));
            }
            Err(_) => {
                let message = "the store did not answer in time";
                return Err(Refusal::may_have_run(Reason::StoreUnavailable, message));
            }
        };
        let record = match creation {
            Creation::Created(record) => record,
            Creation::Repeated => {
                info!("event=job_repeated job={id}");
                return Ok(());
            }
            Creation::Taken => return Err(id_taken()),
        };
        let mut job =
            Job::new(id.clone(), host, path, submitted_ms as i64, submission.items, Vec::new());
        job.revision = record.revision;
        job.value_bytes = record.value_bytes;
        job.input_parts = record.input_parts;
        job.organisation = organisation.cloned();
        self.deps.counters.count("jobs_accepted");
        info!(
            "event=job_accepted job={id} route={} items={} took_ms={} waiting_tokens={}",
            route.name,
            job.total(),
            self.now_ms().saturating_sub(submitted_ms),
            self.waiting_tokens(route, organisation)
        );
        drop((reserved, pending_tokens));
        let handle = self.add_job_since(job, pauses_before);
        if self.is_leaving() {
            self.spawn_handover(handle);
        }
        Ok(())
    }

    /// Returns whether a job with this id is known to this daemon, or a refusal if it is one of
    /// another organisation.
    async fn check_id(self: &Rc<Self>, id: &JobId, caller: &Caller) -> Result<Novelty, Refusal> {
        let handle = match self.locate(id) {
            JobLocation::Unknown => return Ok(Novelty::New),
            JobLocation::Local(handle) => handle,
            JobLocation::Remote(_) if *caller == Caller::Unchecked => {
                return Ok(Novelty::Repeated);
            }
            JobLocation::Remote(_) => match self.load(id, READ_TIMEOUT).await {
                Ok(LoadedJob::Local(handle) | LoadedJob::Remote(_, handle)) => handle,
                Ok(LoadedJob::NotFound) => return Ok(Novelty::New),
                Err(error) => {
                    // The home reports the job, so that it was accepted.
                    info!("event=job_owner_not_read job={id} error=\"{error}\"");
                    return Ok(Novelty::Repeated);
                }
            },
        };
        self.check_owner(&handle, caller)
    }

    /// Refuses a submission with the id of another organisation's job.
    pub(crate) fn check_owner(
        &self,
        handle: &JobHandle,
        caller: &Caller,
    ) -> Result<Novelty, Refusal> {
        let is_denied = self.deny(caller, &handle.job.borrow(), CallOrigin::Client).is_some();
        if is_denied { Err(id_taken()) } else { Ok(Novelty::Repeated) }
    }

    fn check_quota(
        &self,
        id: &JobId,
        route: &Route,
        organisation: Option<&OrgName>,
        submission: &Submission,
    ) -> Result<PendingTokens, Refusal> {
        let tokens = submission.tokens();
        let pending = || self.add_pending_submission(route, organisation, tokens);
        let Some(max_tokens) = route.max_waiting_tokens else { return Ok(pending()) };
        let waiting = self.waiting_tokens(route, organisation);
        if waiting.saturating_add(tokens) <= max_tokens {
            return Ok(pending());
        }
        info!(
            "event=job_over_quota job={id} organisation=\"{}\" tokens={tokens} waiting={waiting} \
             max={max_tokens}",
            organisation.map_or("-", OrgName::as_str).escape_debug()
        );
        let message = "too many tokens wait on the route";
        Err(Refusal::not_run(Reason::RateLimit, message).with_retry_after(RETRY_AFTER_MS))
    }

    fn new_record(&self, host: &str, path: &str, organisation: Option<&OrgName>) -> JobRecord {
        JobRecord {
            home: self.own_home.clone(),
            host: host.to_owned(),
            path: path.to_owned(),
            submitted_unix_ms: Clock::unix_ms(),
            input: String::new(),
            input_parts: 0,
            organisation: organisation.cloned(),
        }
    }

    /// Creates a job's record unless it exists.
    async fn write_record(
        self: &Rc<Self>,
        id: &JobId,
        mut value: JobRecord,
        caller: &Caller,
        submission: &Submission,
        store_timeout: Duration,
    ) -> Result<Creation, StoreError> {
        let malformed = |error: record::RecordError| StoreError::Malformed {
            key: id.to_string(),
            message: error.message,
        };
        let max_bytes = self.deps.max_object_bytes;
        let input = record::encode_input(submission).map_err(malformed)?;
        if record::input_fits(&input, max_bytes) {
            value.input = input;
        } else {
            let parts = record::split_text(&input, max_bytes);
            value.input_parts = parts.len();
            for (part, text) in parts.into_iter().enumerate() {
                let name = record::input_part_name(id.as_str(), part);
                let value = record::to_json(&text).map_err(malformed)?;
                self.write_part(INPUT_KIND, name, value).await?;
            }
        }
        let input_parts = value.input_parts;
        let value = record::to_json(&value).map_err(malformed)?;
        let value_bytes = value.len();
        let created =
            |revision| Creation::Created(CreatedRecord { revision, value_bytes, input_parts });
        let call = Call::Create { kind: JOB_KIND, name: id.to_string(), value };
        match self.deps.store.call_with_retries(CallClass::Claim, &call, store_timeout).await? {
            Reply::Object(object) => Ok(created(object.revision)),
            Reply::Conflict(Some(object)) => {
                let record = JobRecord::decode(&object.value).map_err(malformed)?;
                // A job without an owner is one of a caller without a key.
                let access = access::access(caller, record.organisation.as_ref(), true);
                if access == Access::Denied {
                    return Ok(Creation::Taken);
                }
                if record.home == self.own_home && object.status.is_empty() {
                    // An earlier attempt took effect, but its answer was lost.
                    return Ok(created(object.revision));
                }
                // The home may have given up before it received the answer that the record exists.
                self.notify_home(id, &record.home.daemon);
                self.note_home(id, &record.home);
                Ok(Creation::Repeated)
            }
            Reply::Conflict(None) => Ok(Creation::Repeated),
            _ => Err(StoreError::Unknown("the store's answer is of an unexpected kind".to_owned())),
        }
    }
}

fn id_taken() -> Refusal {
    Refusal::not_run(Reason::KeyReused, "another organisation has a job with this id")
}
