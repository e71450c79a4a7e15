//! Looks for jobs whose home is gone and of which no living daemon was told.
//!
//! Homes tell every daemon of their jobs, so such jobs are left behind only by a daemon that was
//! lost right after it accepted one, or by a fleet that was lost as a whole. The records are
//! therefore read after a daemon was lost or started, and now and then to remove old ones; each
//! range of names by one daemon.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use peers::Topic;
use store::Call;
use store::CallClass;
use store::Reply;
use store::StoreError;
use store::call::StoredObject;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::DaemonName;
use wire::JobId;
use wire::Millis;
use wire::rendezvous;

use crate::board::Board;
use crate::board::Place;
use crate::notes::JobMessage;
use crate::record::JOB_KIND;
use crate::record::JobRecord;
use crate::record::JobStatus;

/// The first characters at which the ranges of names begin; ids are hexadecimal numbers, and
/// other names fall into the first or last range.
const RANGES: [&str; 16] =
    ["", "1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "c", "d", "e", "f"];
/// How long after a loss the records are read: by then the loss is known to all, and stale
/// answers of the store show the jobs accepted before it.
const SWEEP_AFTER_MS: [Millis; 2] = [2_500, 8_000];
/// How often the records are read although nobody was lost, to remove what has been kept for long
/// enough; a job is kept for some minutes.
pub(crate) const CLEAN_EVERY_MS: Millis = 600_000;
/// The pause between two pages, so that a sweep leaves the processor to requests.
const PAGE_PAUSE: Duration = Duration::from_millis(100);
/// How often the daemon looks whether a sweep is due.
const REVIEW: Duration = Duration::from_millis(500);
/// How long one page is tried.
const PAGE_PATIENCE: Duration = Duration::from_secs(5);

impl Board {
    /// Notes that jobs may have been left behind.
    pub fn suspect_orphans(&self) {
        let now_ms = self.now_ms();
        let due = SWEEP_AFTER_MS.iter().map(|after_ms| now_ms + after_ms);
        let mut sweeps = self.sweeps.borrow_mut();
        sweeps.retain(|due_ms| *due_ms <= now_ms + SWEEP_AFTER_MS[0]);
        sweeps.extend(due);
    }

    /// Reads the records after losses until the task is dropped.
    pub async fn run_sweeps(self: Rc<Self>) {
        let mut clean_at_ms = CLEAN_EVERY_MS;
        loop {
            sleep(REVIEW).await;
            let now_ms = self.now_ms();
            if now_ms >= clean_at_ms {
                clean_at_ms = now_ms + CLEAN_EVERY_MS;
                self.forget_unheld();
                self.sweeps.borrow_mut().push(now_ms);
            }
            let before = self.sweeps.borrow().len();
            self.sweeps.borrow_mut().retain(|due_ms| *due_ms > now_ms);
            if self.sweeps.borrow().len() == before || self.is_leaving() {
                continue;
            }
            for (place, first) in RANGES.iter().enumerate() {
                if !self.is_sweeper(first) {
                    continue;
                }
                let end = RANGES.get(place + 1).copied();
                if let Err(error) = self.sweep(first, end).await {
                    warn!("event=sweep_failed range={first:?} error=\"{error}\"");
                    self.sweeps.borrow_mut().push(now_ms + SWEEP_AFTER_MS[0]);
                }
            }
        }
    }

    fn is_sweeper(&self, range: &str) -> bool {
        let membership = self.parts.membership.borrow();
        let working = membership.ready_daemons();
        let names = working.iter().map(|identity| &identity.name);
        rendezvous::owner(&format!("sweep/{range}"), names) == Some(&self.own.daemon)
    }

    async fn sweep(self: &Rc<Self>, first: &str, end: Option<&str>) -> Result<(), StoreError> {
        let mut after = first.to_owned();
        let mut orphans = 0;
        loop {
            let call = Call::Page { kind: JOB_KIND, after: after.clone(), may_be_stale: true };
            let reply = self.parts.store.until(CallClass::Status, &call, PAGE_PATIENCE).await?;
            let Reply::Page(page) = reply else { break };
            for object in &page.objects {
                if end.is_some_and(|end| object.name.as_str() > end) {
                    break;
                }
                orphans += usize::from(self.look_at(object));
            }
            let last = page.objects.last().map(|object| object.name.clone());
            let is_past = |name: &String| end.is_some_and(|end| name.as_str() > end);
            match last {
                Some(last) if page.has_more && !is_past(&last) => after = last,
                _ => break,
            }
            sleep(PAGE_PAUSE).await;
        }
        if orphans > 0 {
            info!("event=orphans_found range={first:?} jobs={orphans}");
        }
        Ok(())
    }

    /// Has a job adopted if it needs a home; returns whether it does.
    fn look_at(self: &Rc<Self>, object: &StoredObject) -> bool {
        let id = JobId::from(object.name.as_str());
        if let Place::Here(_) = self.place(&id) {
            return false;
        }
        let home = match (JobRecord::decode(&object.value), JobStatus::decode(&object.status)) {
            (Ok(record), Ok(status)) if status.is_ended => {
                self.remove_unheld(&id, &record, status);
                return false;
            }
            (Ok(_), Ok(status)) => status.home,
            (Ok(record), Err(_)) => record.home,
            (Err(error), _) => {
                warn!("event=job_record_malformed job={id} error=\"{error}\"");
                return false;
            }
        };
        let told = match self.place(&id) {
            Place::At(told) => Some(told),
            Place::Here(_) | Place::Unknown => None,
        };
        let membership = self.parts.membership.borrow();
        let is_gone = |home: &crate::record::Home| {
            membership.has_incarnation_ended(&home.daemon, home.incarnation)
        };
        if !is_gone(&home) || told.as_ref().is_some_and(|told| !is_gone(told)) {
            return false;
        }
        let working: Vec<&DaemonName> =
            membership.ready_daemons().into_iter().map(|identity| &identity.name).collect();
        let Some(heir) = rendezvous::owner(id.as_str(), working).cloned() else { return false };
        drop(membership);
        self.call_home(&id, &heir);
        true
    }

    /// Has a daemon look whether it must be a job's home.
    pub(crate) fn call_home(self: &Rc<Self>, id: &JobId, daemon: &DaemonName) {
        let ip = self.parts.membership.borrow().peer(daemon).map(|peer| peer.identity.ip);
        let message = JobMessage::Adopt { job: id.clone() };
        match ip {
            Some(ip) => self.parts.transport.send(ip, Topic::Jobs, &message),
            None if *daemon == self.own.daemon => self.take_message(message),
            None => warn!("event=home_not_called job={id} daemon={daemon} error=\"it is unknown\""),
        }
    }

    /// Takes a message of another daemon.
    pub fn take_message(self: &Rc<Self>, message: JobMessage) {
        match message {
            JobMessage::Adopt { job } => {
                let board = self.clone();
                spawn_local(async move { board.adopt(&job).await });
            }
        }
    }
}
