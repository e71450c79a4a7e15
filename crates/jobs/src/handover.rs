//! Hands jobs to another home when this daemon stops, with the output that is not written yet.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use store::CallClass;
use store::Reply;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::DaemonName;
use wire::JobId;
use wire::Millis;
use wire::rendezvous;

use crate::board::Board;
use crate::board::JobCell;
use crate::item::Item;
use crate::item::Listed;
use crate::job::Job;
use crate::ledger::Met;
use crate::progress::Progress;
use crate::record;
use crate::record::Home;
use crate::record::JobStatus;
use crate::record::ResultPart;
use crate::saver::status_call;

/// How long one heir may take to write itself into the record.
const HEIR_PATIENCE: Duration = Duration::from_millis(1_500);
/// The heirs that are asked before the job is left to be adopted from its record.
const MAX_HEIRS: usize = 3;
/// How often a write in progress is looked at.
const POLL: Duration = Duration::from_millis(10);

/// A job on its way to another home.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandedJob {
    /// The job's id.
    pub id: JobId,
    /// The host of its route.
    pub host: String,
    /// The path under which it was handed in.
    pub path: String,
    /// How long ago it was handed in.
    pub age_ms: Millis,
    /// How long its retention time has counted.
    pub kept_ms: Millis,
    /// The revision of its record.
    pub revision: u64,
    /// The size of its record's value, in bytes.
    pub value_bytes: usize,
    /// The number of parts that the input lies in, beside the record.
    pub input_parts: usize,
    /// The parts that the first results lie in.
    pub result_parts: Vec<ResultPart>,
    /// Whether the client ended it.
    pub is_ended: bool,
    /// All results; the record holds the first `listed` of them.
    pub results: Vec<Listed>,
    /// The number of results that the record holds.
    pub listed: usize,
    /// The items.
    pub items: Vec<HandedItem>,
}

/// An item on its way to another home.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandedItem {
    /// The item.
    pub item: Item,
    /// The answers of failure that it got.
    pub failures: u32,
    /// Its output so far.
    pub progress: Progress,
}

impl Board {
    /// Starts no more items, and hands every open job to another home.
    pub fn leave(self: &Rc<Self>) {
        self.is_leaving.set(true);
        let cells: Vec<Rc<JobCell>> = self.jobs.borrow().values().cloned().collect();
        for cell in cells {
            self.hand_over_later(cell);
        }
    }

    /// Hands a job over in a task of its own.
    pub(crate) fn hand_over_later(self: &Rc<Self>, cell: Rc<JobCell>) {
        if !cell.job.borrow().is_over() {
            spawn_local(self.clone().hand_over(cell));
        }
    }

    async fn hand_over(self: Rc<Self>, cell: Rc<JobCell>) {
        let id = cell.job.borrow().id.clone();
        cell.stop.cancel();
        while cell.is_saving.get() || cell.job.borrow().running() > 0 {
            sleep(POLL).await;
        }
        if cell.is_deposed.get() {
            return;
        }
        cell.is_saving.set(true);
        let body = postcard::to_allocvec(&cell.job.borrow().to_handed(self.now_ms()));
        let body = match body {
            Ok(body) => body,
            Err(error) => {
                warn!("event=job_not_handed_over job={id} error=\"{error}\"");
                return;
            }
        };
        for (heir, address) in self.heirs(&id) {
            let target = format!("/jobs/{id}/home");
            let control = &self.parts.control;
            let answered = control.call(address, Method::PUT, &target, &body, HEIR_PATIENCE).await;
            match answered {
                Ok((StatusCode::OK, _)) => {
                    info!("event=job_handed_over job={id} heir={}", heir.daemon);
                    self.let_go(&id, &cell, &heir);
                    return;
                }
                Ok((status, _)) => {
                    info!("event=heir_refused job={id} heir={} status={status}", heir.daemon)
                }
                Err(fault) => {
                    info!("event=heir_silent job={id} heir={} fault={fault:?}", heir.daemon)
                }
            }
        }
        // The record still names this daemon; others adopt the job when it has stopped.
        cell.is_saving.set(false);
        warn!("event=job_not_handed_over job={id} error=\"no heir took it\"");
    }

    fn let_go(&self, id: &JobId, cell: &JobCell, heir: &Home) {
        cell.is_deposed.set(true);
        self.jobs.borrow_mut().remove(id);
        self.learn(id, heir);
        cell.changed.notify_waiters();
    }

    fn heirs(&self, id: &JobId) -> Vec<(Home, SocketAddr)> {
        let membership = self.parts.membership.borrow();
        let mut names: Vec<&DaemonName> =
            membership.ready_daemons().into_iter().map(|identity| &identity.name).collect();
        names.sort_by_key(|name| std::cmp::Reverse(rendezvous::weight(id.as_str(), name.as_str())));
        let peers = names.into_iter().filter_map(|name| membership.peer(name));
        let heirs = peers.filter_map(|peer| {
            let identity = &peer.identity;
            let home = Home { daemon: identity.name.clone(), incarnation: identity.incarnation };
            Some((home, identity.control?))
        });
        heirs.take(MAX_HEIRS).collect()
    }

    /// Becomes the home of a job that a stopping daemon hands over.
    pub async fn inherit(self: &Rc<Self>, body: &[u8]) -> StatusCode {
        let handed: HandedJob = match postcard::from_bytes(body) {
            Ok(handed) => handed,
            Err(error) => {
                warn!("event=handed_job_malformed error=\"{error}\"");
                return StatusCode::BAD_REQUEST;
            }
        };
        if self.is_leaving() {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        let id = handed.id.clone();
        let mut job = Job::from_handed(handed, self.now_ms());
        let max_bytes = self.parts.max_object_bytes;
        let mut status = job.status(&self.own, max_bytes);
        if record::overflow(&status.results, job.value_bytes, max_bytes) > 0 {
            let in_parts = record::count_in_parts(&status.result_parts);
            status.results.truncate(job.listed().len().saturating_sub(in_parts));
        }
        let call = match status_call(&id, job.revision, &status) {
            Ok(call) => call,
            Err(error) => {
                warn!("event=handed_job_malformed job={id} error=\"{error}\"");
                return StatusCode::BAD_REQUEST;
            }
        };
        let written = self.parts.store.until(CallClass::Claim, &call, HEIR_PATIENCE).await;
        let revision = match written {
            Ok(Reply::Object(object)) => object.revision,
            Ok(Reply::Conflict(Some(object))) => match JobStatus::decode(&object.status) {
                // The answer to an earlier try was lost after it took effect.
                Ok(found) if found == status => object.revision,
                _ => return StatusCode::CONFLICT,
            },
            Ok(_) => return StatusCode::CONFLICT,
            Err(error) => {
                info!("event=job_not_inherited job={id} error=\"{error}\"");
                return StatusCode::BAD_GATEWAY;
            }
        };
        job.write_met(self.now_ms(), &self.own, &status, Met::Applied(revision));
        info!("event=job_inherited job={id} listed={} total={}", job.listed().len(), job.total());
        self.hold(job);
        StatusCode::OK
    }
}
