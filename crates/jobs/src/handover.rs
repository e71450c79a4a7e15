//! Hands jobs over to other daemons when this one stops, including output not yet written.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use store::Reply;
use store::call::StoredObject;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::DaemonName;
use wire::JobId;
use wire::Millis;
use wire::OrgName;
use wire::rendezvous;

use crate::item::Item;
use crate::item::ItemResult;
use crate::job::Job;
use crate::manager::JobHandle;
use crate::manager::JobManager;
use crate::progress::Progress;
use crate::record;
use crate::record::Home;
use crate::record::JobRecord;
use crate::record::JobStatus;
use crate::record::ResultPart;
use crate::status::StatusWriteReply;

/// How long a successor may take to write itself into the record.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The successors that are tried before the job is left to be adopted from its record.
const MAX_SUCCESSORS: usize = 3;
/// How often a handover checks whether the job's writes and runs have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The state of a job that is sent to its successor.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobHandover {
    /// The job's id.
    pub id: JobId,
    /// The host of its route.
    pub host: String,
    /// The path of its submission.
    pub path: String,
    /// The time since its submission.
    pub age_ms: Millis,
    /// The part of the retention time that has passed.
    pub kept_ms: Millis,
    /// The revision of its record.
    pub revision: u64,
    /// The size of its record's value, in bytes.
    pub value_bytes: usize,
    /// The number of parts that hold the input if the record does not.
    pub input_parts: usize,
    /// The parts that hold the first results.
    pub result_parts: Vec<ResultPart>,
    /// Whether the client ended it.
    pub is_ended: bool,
    /// All results; the record holds the first `listed` of them.
    pub results: Vec<ItemResult>,
    /// The number of results that the record holds.
    pub listed: usize,
    /// The items.
    pub items: Vec<ItemHandover>,
}

/// The state of an item that is sent to its job's successor.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ItemHandover {
    /// The item.
    pub item: Item,
    /// The number of runs that the replica answered with a failure.
    pub failures: u32,
    /// Its output so far.
    pub progress: Progress,
}

/// What follows the state of a job; older builds neither send nor read it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandoverExtension {
    /// The organisation that submitted the job.
    pub organisation: Option<OrgName>,
}

/// Encodes the state of a job and its organisation.
pub fn encode_handover(
    handover: &JobHandover,
    organisation: Option<OrgName>,
) -> Result<Vec<u8>, postcard::Error> {
    let body = postcard::to_allocvec(handover)?;
    postcard::to_extend(&HandoverExtension { organisation }, body)
}

/// Decodes the state of a job and what follows it, which older builds do not send.
pub fn decode_handover(
    body: &[u8],
) -> Result<(JobHandover, Option<HandoverExtension>), postcard::Error> {
    let (handover, rest) = postcard::take_from_bytes(body)?;
    let extension = if rest.is_empty() { None } else { Some(postcard::from_bytes(rest)?) };
    Ok((handover, extension))
}

/// Returns the organisation in a job's record, which older builds do not hand over.
fn recorded_organisation(id: &JobId, object: &StoredObject) -> Option<OrgName> {
    match JobRecord::decode(&object.value) {
        Ok(record) => record.organisation,
        Err(error) => {
            warn!("event=job_record_malformed job={id} error=\"{error}\"");
            None
        }
    }
}

impl JobManager {
    /// Stops starting items and hands every unfinished job over to another daemon.
    pub fn hand_over_jobs(self: &Rc<Self>) {
        self.is_leaving.set(true);
        let handles: Vec<Rc<JobHandle>> = self.jobs.borrow().values().cloned().collect();
        for handle in handles {
            self.spawn_handover(handle);
        }
    }

    /// Starts a task that hands a job over, unless it is finished.
    pub(crate) fn spawn_handover(self: &Rc<Self>, handle: Rc<JobHandle>) {
        if !handle.job.borrow().is_finished() {
            spawn_local(self.clone().hand_over(handle));
        }
    }

    async fn hand_over(self: Rc<Self>, handle: Rc<JobHandle>) {
        let id = handle.job.borrow().id.clone();
        handle.stop.cancel();
        while handle.is_record_busy() || handle.job.borrow().running_count() > 0 {
            sleep(POLL_INTERVAL).await;
        }
        if handle.is_deposed.get() {
            return;
        }
        let Some(record_use) = handle.use_record() else { return };
        handle.job.borrow_mut().begin_write(self.now_ms());
        let handover = handle.job.borrow().to_handover(self.now_ms());
        let organisation = handle.job.borrow().organisation.clone();
        let body = match encode_handover(&handover, organisation) {
            Ok(body) => body,
            Err(error) => {
                warn!("event=job_not_handed_over job={id} error=\"{error}\"");
                return;
            }
        };
        for (successor, address) in self.successors(&id) {
            if handle.is_deposed.get() {
                return;
            }
            let target = format!("/jobs/{id}/home");
            let control = &self.deps.control;
            let answer =
                control.call(address, Method::PUT, &target, &body, SUCCESSOR_TIMEOUT).await;
            match answer {
                Ok((StatusCode::OK, _)) => {
                    info!("event=job_handed_over job={id} successor={}", successor.daemon);
                    self.complete_handover(&id, &handle, &successor);
                    record_use.retire();
                    return;
                }
                Ok((status, _)) => {
                    info!(
                        "event=successor_refused job={id} successor={} status={status}",
                        successor.daemon
                    );
                    if status == StatusCode::CONFLICT || status == StatusCode::BAD_GATEWAY {
                        self.verify_contested_home(&id, &successor);
                    }
                }
                Err(fault) => {
                    info!(
                        "event=successor_no_answer job={id} successor={} fault={fault:?}",
                        successor.daemon
                    );
                    // The successor may have written itself into the record.
                    self.verify_contested_home(&id, &successor);
                }
            }
        }
        // The record still names this daemon; another one adopts the job after this one has stopped.
        warn!("event=job_not_handed_over job={id} error=\"no daemon accepted the job\"");
    }

    fn complete_handover(&self, id: &JobId, handle: &JobHandle, successor: &Home) {
        handle.is_deposed.set(true);
        self.jobs.borrow_mut().remove(id);
        self.note_home(id, successor);
        handle.changed.notify_waiters();
    }

    fn successors(&self, id: &JobId) -> Vec<(Home, SocketAddr)> {
        let membership = self.deps.membership.borrow();
        let mut names: Vec<&DaemonName> =
            membership.ready_daemons().into_iter().map(|identity| &identity.name).collect();
        names.sort_by_key(|name| std::cmp::Reverse(rendezvous::weight(id.as_str(), name.as_str())));
        let peers = names.into_iter().filter_map(|name| membership.peer(name));
        let successors = peers.filter_map(|peer| {
            let identity = &peer.identity;
            let home = Home { daemon: identity.name.clone(), incarnation: identity.incarnation };
            Some((home, identity.control?))
        });
        successors.take(MAX_SUCCESSORS).collect()
    }

    /// Accepts a job that a stopping daemon hands over, by writing this daemon into its status.
    pub async fn accept_handover(self: &Rc<Self>, body: &[u8]) -> StatusCode {
        let (handover, extension) = match decode_handover(body) {
            Ok(decoded) => decoded,
            Err(error) => {
                warn!("event=handover_malformed error=\"{error}\"");
                return StatusCode::BAD_REQUEST;
            }
        };
        if self.is_leaving() {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        let id = handover.id.clone();
        let pauses_before = self.pauses();
        let mut job = Job::from_handover(handover, self.now_ms());
        let max_bytes = self.deps.max_object_bytes;
        let mut status = job.status(&self.own_home, max_bytes);
        if record::overflow_count(&status.results, job.value_bytes, max_bytes) > 0 {
            let in_parts = record::count_in_parts(&status.result_parts);
            status.results.truncate(job.written_results().len().saturating_sub(in_parts));
        }
        let written = self.write_claim(&id, job.revision, &mut status, SUCCESSOR_TIMEOUT).await;
        let is_extended = extension.is_some();
        job.organisation = extension.and_then(|extension| extension.organisation);
        let revision = match written {
            Ok(Reply::Object(object)) => {
                if !is_extended {
                    job.organisation = recorded_organisation(&id, &object);
                }
                object.revision
            }
            Ok(Reply::Conflict(Some(object))) => match JobStatus::decode(&object.status) {
                // An earlier attempt took effect, but its answer was lost.
                Ok(found) if found == status => {
                    if !is_extended {
                        job.organisation = recorded_organisation(&id, &object);
                    }
                    object.revision
                }
                _ => return StatusCode::CONFLICT,
            },
            Ok(_) => return StatusCode::CONFLICT,
            Err(error) => {
                info!("event=handover_not_accepted job={id} error=\"{error}\"");
                return StatusCode::BAD_GATEWAY;
            }
        };
        job.apply_write_reply(
            self.now_ms(),
            &self.own_home,
            &status,
            StatusWriteReply::Applied(revision),
        );
        info!(
            "event=handover_accepted job={id} listed={} total={}",
            job.written_results().len(),
            job.total()
        );
        self.add_job_since(job, pauses_before);
        StatusCode::OK
    }
}
