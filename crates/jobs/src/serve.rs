//! Answers calls about jobs, from clients and for other daemons.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use gate::JobCall;
use gate::answer;
use gate::dialect::RequestMeta;
use gate::gate::JobCalls;
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
use wire::Reason;
use wire::Refusal;
use wire::Route;

use crate::adoption::Loaded;
use crate::board::Board;
use crate::board::JobCell;
use crate::board::Place;
use crate::item::Listed;
use crate::item::Submission;
use crate::job::Job;
use crate::record;
use crate::record::Home;
use crate::record::INPUT_KIND;
use crate::record::JOB_KIND;
use crate::record::JobRecord;

/// The most text that one answer carries, in bytes.
const MAX_RESULTS_BYTES: usize = 900 << 10;
/// How long a read tries the store before the client is told to come back.
const READ_PATIENCE: Duration = Duration::from_millis(1_200);
/// How long another daemon may take to answer a read, beside the time that the client waits.
const PEER_PATIENCE: Duration = Duration::from_millis(700);
/// How long a client waits for a job's acceptance if it does not say.
const DEFAULT_SUBMIT_MS: Millis = 4_000;
/// What is kept back of a client's time, so that the answer still reaches it.
const ANSWER_RESERVE_MS: Millis = 300;
/// How long an end is tried before the client is told that it is not known.
const END_PATIENCE: Duration = Duration::from_millis(2_500);
/// The wait that a client is told whose job does not fit or cannot be stored.
const RETRY_AFTER_MS: Millis = 800;
/// The times that the place of a job is looked for.
const LOOKUPS: u32 = 3;

/// Who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asker {
    /// A client.
    Client,
    /// Another daemon, which took this one for the job's home.
    Peer,
}

/// A job's record as it was written.
struct NewRecord {
    revision: u64,
    value_bytes: usize,
    input_parts: usize,
}

/// Status and body of an answer.
pub type Answered = (StatusCode, Bytes);

impl JobCalls for Board {
    fn submit(
        self: Rc<Self>,
        route: Arc<Route>,
        meta: RequestMeta,
        parts: Parts,
        body: Bytes,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        Box::pin(async move {
            let id = JobId::from(meta.id.as_str());
            let result = self.accept(&id, &route, &meta, &parts, body).await;
            match result {
                Ok(()) => answer::json(StatusCode::ACCEPTED, "{}"),
                Err(refusal) => {
                    self.parts.counters.refused(&refusal);
                    info!(
                        "event=job_refused job={id} reason={} ran={:?} message=\"{}\"",
                        refusal.reason.as_str(),
                        refusal.ran,
                        refusal.message
                    );
                    answer::refusal(&*self.parts.ingress, &refusal)
                }
            }
        })
    }

    fn call(self: Rc<Self>, call: JobCall) -> LocalBoxFuture<'static, Response<LocalBody>> {
        Box::pin(async move {
            let (status, body) = self.answer(&call, Asker::Client).await;
            answer::json(status, body)
        })
    }
}

impl Board {
    /// Answers a call about a job.
    pub async fn answer(self: &Rc<Self>, call: &JobCall, asker: Asker) -> Answered {
        let job = match call {
            JobCall::Results { job, .. } | JobCall::ItemBody { job, .. } | JobCall::End { job } => {
                JobId::from(job.as_str())
            }
            JobCall::Unknown => return (StatusCode::NOT_FOUND, Bytes::new()),
        };
        let mut denied_by = None;
        for _ in 0..LOOKUPS {
            let home = match self.place(&job) {
                Place::Here(cell) => match self.answer_here(call, &cell).await {
                    Some(answered) => return answered,
                    None if asker == Asker::Peer => break,
                    None => continue,
                },
                _ if asker == Asker::Peer => return (StatusCode::NOT_FOUND, Bytes::new()),
                Place::At(home) => Some(home),
                Place::Unknown => None,
            };
            if let Some(address) = home.as_ref().and_then(|home| self.control_of(home)) {
                match self.ask_peer(address, call).await {
                    Some(answered) if answered.0 != StatusCode::NOT_FOUND => return answered,
                    Some(_) => {
                        self.unlearn(&job);
                        denied_by = home;
                    }
                    None => {}
                }
            }
            match self.load(&job, READ_PATIENCE).await {
                Ok(Loaded::Here(_)) => {}
                Ok(Loaded::Absent) => return (StatusCode::NOT_FOUND, Bytes::new()),
                Ok(Loaded::At(home, cell)) => {
                    if denied_by.as_ref() == Some(&home) {
                        // It wrote the record, or a claim, and was never told so.
                        self.call_home(&job, &home.daemon);
                    }
                    self.learn(&job, &home);
                    if let Some(answered) = self.answer_from_record(call, &cell) {
                        return answered;
                    }
                }
                Err(error) => {
                    warn!("event=job_not_read job={job} error=\"{error}\"");
                    break;
                }
            }
        }
        (StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
    }

    /// Answers as the job's home; `None` if this daemon turns out not to be it, or is not sure.
    async fn answer_here(self: &Rc<Self>, call: &JobCall, cell: &Rc<JobCell>) -> Option<Answered> {
        if let JobCall::End { .. } = call {
            return Some(self.end(cell).await);
        }
        if let JobCall::Results { after, wait_ms, .. } = call {
            self.wait_for_result(cell, *after, *wait_ms).await;
        }
        if cell.is_deposed.get() || cell.is_contested.get() {
            return None;
        }
        self.answer_from_record(call, cell)
    }

    /// Answers from what the job's record held when it was read; an end needs the home.
    fn answer_from_record(&self, call: &JobCall, cell: &JobCell) -> Option<Answered> {
        match call {
            JobCall::Results { after, .. } => Some(self.results(cell, *after)),
            JobCall::ItemBody { item, .. } => match cell.job.borrow().item_body(item) {
                Some(body) => Some((StatusCode::OK, body)),
                None => Some((StatusCode::NOT_FOUND, Bytes::new())),
            },
            JobCall::End { .. } => None,
            JobCall::Unknown => Some((StatusCode::NOT_FOUND, Bytes::new())),
        }
    }

    async fn wait_for_result(&self, cell: &JobCell, after: usize, wait_ms: Millis) {
        let arrived = async {
            loop {
                let changed = cell.changed.notified();
                let is_there = cell.job.borrow().listed().len() > after;
                let is_home = !cell.is_deposed.get() && !cell.is_contested.get();
                if is_there || !is_home || cell.job.borrow().is_over() {
                    return;
                }
                changed.await;
            }
        };
        // Without a result in time the answer is an empty list.
        let _ = timeout(Duration::from_millis(wait_ms), arrived).await;
    }

    fn results(&self, cell: &JobCell, after: usize) -> Answered {
        let job = cell.job.borrow();
        let listed = job.listed().get(after..).unwrap_or_default();
        let mut bytes = 0;
        let fitting = listed.iter().take_while(|listed| {
            let is_first = bytes == 0;
            bytes += listed.text.len() + listed.item.len() + 64;
            is_first || bytes <= MAX_RESULTS_BYTES
        });
        let results: Vec<Listed> = fitting.cloned().collect();
        let next = after + results.len();
        (StatusCode::OK, self.parts.dialect.results(job.total(), next, &results))
    }

    /// Ends a job; the answer says so only after the record does.
    async fn end(self: &Rc<Self>, cell: &Rc<JobCell>) -> Answered {
        let id = cell.job.borrow().id.clone();
        let is_news = !cell.job.borrow().is_ended;
        cell.job.borrow_mut().end();
        if is_news {
            info!("event=job_end_asked job={id}");
        }
        let saver = self.clone();
        let saved = cell.clone();
        tokio::task::spawn_local(async move { saver.save(saved).await });
        let written = async {
            loop {
                let changed = cell.changed.notified();
                if cell.is_deposed.get() {
                    return false;
                }
                if !cell.job.borrow().has_unsaved() {
                    return true;
                }
                changed.await;
            }
        };
        match timeout(END_PATIENCE, written).await {
            Ok(true) => {
                cell.stop.cancel();
                (StatusCode::OK, Bytes::new())
            }
            _ => (StatusCode::BAD_GATEWAY, Bytes::new()),
        }
    }

    fn control_of(&self, home: &Home) -> Option<SocketAddr> {
        let membership = self.parts.membership.borrow();
        if !membership.is_alive(&home.daemon) {
            return None;
        }
        membership.peer(&home.daemon)?.identity.control
    }

    async fn ask_peer(&self, peer: SocketAddr, call: &JobCall) -> Option<Answered> {
        let (method, target, wait_ms) = match call {
            JobCall::Results { job, after, wait_ms } => {
                (Method::GET, format!("/jobs/{job}/results/{after}/{wait_ms}"), *wait_ms)
            }
            JobCall::ItemBody { job, item } => {
                (Method::GET, format!("/jobs/{job}/items/{item}"), 0)
            }
            JobCall::End { job } => {
                (Method::DELETE, format!("/jobs/{job}"), END_PATIENCE.as_millis() as Millis)
            }
            JobCall::Unknown => return None,
        };
        let limit = PEER_PATIENCE + Duration::from_millis(wait_ms);
        let answered = self.parts.control.call(peer, method, &target, &[], limit).await;
        answered.ok().filter(|(status, _)| !status.is_server_error())
    }

    async fn accept(
        self: &Rc<Self>,
        id: &JobId,
        route: &Route,
        meta: &RequestMeta,
        parts: &Parts,
        body: Bytes,
    ) -> Result<(), Refusal> {
        if !matches!(self.place(id), Place::Unknown) {
            info!("event=job_repeated job={id}");
            return Ok(());
        }
        let submission = self
            .parts
            .dialect
            .submission(&body)
            .map_err(|bad| Refusal::not_run(Reason::BadRequest, bad.message))?;
        drop(body);
        self.check_quota(id, route, &submission)?;
        let wait_ms = meta.deadline_ms.unwrap_or(DEFAULT_SUBMIT_MS);
        let patience = Duration::from_millis(wait_ms.saturating_sub(ANSWER_RESERVE_MS).max(1));
        let submitted_ms = self.now_ms();
        let host = &*route.host;
        let path = parts.uri.path();
        let written = timeout(patience, self.write_record(id, host, path, &submission, patience));
        let record =
            match written.await {
                Ok(Ok(record)) => record,
                Ok(Err(StoreError::Unavailable(message))) => {
                    return Err(Refusal::not_run(Reason::StoreUnavailable, message)
                        .retry_after(RETRY_AFTER_MS));
                }
                Ok(Err(StoreError::RateLimited)) => {
                    let message = "the store takes no more calls now";
                    return Err(Refusal::not_run(Reason::StoreUnavailable, message)
                        .retry_after(RETRY_AFTER_MS));
                }
                Ok(Err(error)) => {
                    return Err(Refusal::unknown(Reason::StoreUnavailable, error.to_string()));
                }
                Err(_) => {
                    let message = "the store did not answer in time";
                    return Err(Refusal::unknown(Reason::StoreUnavailable, message));
                }
            };
        let Some(record) = record else {
            info!("event=job_repeated job={id}");
            return Ok(());
        };
        let mut job =
            Job::new(id.clone(), host, path, submitted_ms as i64, submission.items, Vec::new());
        job.revision = record.revision;
        job.value_bytes = record.value_bytes;
        job.input_parts = record.input_parts;
        self.parts.counters.count("jobs_accepted");
        info!(
            "event=job_accepted job={id} route={} items={} took_ms={} waiting_tokens={}",
            route.name,
            job.total(),
            self.now_ms().saturating_sub(submitted_ms),
            self.waiting_tokens(route)
        );
        let cell = self.hold(job);
        if self.is_leaving() {
            self.hand_over_later(cell);
        }
        Ok(())
    }

    fn check_quota(
        &self,
        id: &JobId,
        route: &Route,
        submission: &Submission,
    ) -> Result<(), Refusal> {
        let Some(max_tokens) = route.max_waiting_tokens else { return Ok(()) };
        let waiting = self.waiting_tokens(route);
        let tokens = submission.tokens();
        if waiting + tokens <= max_tokens {
            return Ok(());
        }
        info!("event=job_over_quota job={id} tokens={tokens} waiting={waiting} max={max_tokens}");
        let message = "too many tokens wait on the route";
        Err(Refusal::not_run(Reason::RateLimit, message).retry_after(RETRY_AFTER_MS))
    }

    /// Writes a job's record; returns `None` if it exists already.
    async fn write_record(
        self: &Rc<Self>,
        id: &JobId,
        host: &str,
        path: &str,
        submission: &Submission,
        patience: Duration,
    ) -> Result<Option<NewRecord>, StoreError> {
        let malformed = |error: record::BadRecord| StoreError::Malformed {
            key: id.to_string(),
            message: error.message,
        };
        let max_bytes = self.parts.max_object_bytes;
        let input = record::encode_input(submission).map_err(malformed)?;
        let mut value = JobRecord {
            home: self.own.clone(),
            host: host.to_owned(),
            path: path.to_owned(),
            submitted_unix_ms: Clock::unix_ms(),
            input: String::new(),
            input_parts: 0,
        };
        if record::input_fits(&input, max_bytes) {
            value.input = input;
        } else {
            let parts = record::split_input(&input, max_bytes);
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
        let new_record = |revision| Some(NewRecord { revision, value_bytes, input_parts });
        let call = Call::Create { kind: JOB_KIND, name: id.to_string(), value };
        match self.parts.store.until(CallClass::Claim, &call, patience).await? {
            Reply::Object(object) => Ok(new_record(object.revision)),
            Reply::Conflict(Some(object)) => {
                let record = JobRecord::decode(&object.value).map_err(malformed)?;
                if record.home == self.own && object.status.is_empty() {
                    // The answer to an earlier try was lost after it took effect.
                    return Ok(new_record(object.revision));
                }
                // The home may have given up before it heard that the record was made.
                self.call_home(id, &record.home.daemon);
                self.learn(id, &record.home);
                Ok(None)
            }
            Reply::Conflict(None) => Ok(None),
            _ => Err(StoreError::Unknown("the store's answer makes no sense".to_owned())),
        }
    }
}
