//! Sweeps the job records for jobs whose home is gone and that no live daemon knows.
//!
//! Homes report their jobs to every daemon, so such jobs remain only if a daemon is lost right after
//! it accepted one, or if the whole fleet is lost. The records are therefore read after the loss or
//! start of a daemon, and periodically to remove expired ones. One daemon reads each range of names.

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

use crate::manager::JobLocation;
use crate::manager::JobManager;
use crate::message::JobMessage;
use crate::record::JOB_KIND;
use crate::record::JobRecord;
use crate::record::JobStatus;

/// The prefixes at which the ranges of names begin; ids are hexadecimal numbers, and other names fall
/// into the first or last range.
const RANGES: [&str; 16] =
    ["", "1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "c", "d", "e", "f"];
/// The times after a loss at which the records are read: by then all daemons know of the loss, and
/// stale answers of the store contain the jobs accepted before it.
const SWEEP_AFTER_MS: [Millis; 2] = [2_500, 8_000];
/// The interval at which the records are read although no daemon was lost, to remove expired jobs; a
/// job is kept for some minutes.
pub(crate) const CLEAN_INTERVAL_MS: Millis = 600_000;
/// The delay between two pages, so that a sweep leaves the processor to requests.
const PAGE_DELAY: Duration = Duration::from_millis(100);
/// How often the daemon checks whether a sweep is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long the read of one page is tried.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

impl JobManager {
    /// Schedules sweeps because jobs may have been orphaned.
    pub fn schedule_sweeps(&self) {
        let now_ms = self.now_ms();
        let due = SWEEP_AFTER_MS.iter().map(|after_ms| now_ms + after_ms);
        let mut sweeps_due_ms = self.sweeps_due_ms.borrow_mut();
        sweeps_due_ms.retain(|due_ms| *due_ms <= now_ms + SWEEP_AFTER_MS[0]);
        sweeps_due_ms.extend(due);
    }

    /// Runs the sweeps that are due until the task is dropped.
    pub async fn run_sweeps(self: Rc<Self>) {
        let mut clean_at_ms = CLEAN_INTERVAL_MS;
        loop {
            sleep(CHECK_INTERVAL).await;
            let now_ms = self.now_ms();
            if now_ms >= clean_at_ms {
                clean_at_ms = now_ms + CLEAN_INTERVAL_MS;
                self.forget_unheld();
                self.sweeps_due_ms.borrow_mut().push(now_ms);
            }
            let before = self.sweeps_due_ms.borrow().len();
            self.sweeps_due_ms.borrow_mut().retain(|due_ms| *due_ms > now_ms);
            if self.sweeps_due_ms.borrow().len() == before || self.is_leaving() {
                continue;
            }
            for (index, first) in RANGES.iter().enumerate() {
                if !self.is_sweeper(first) {
                    continue;
                }
                let end = RANGES.get(index + 1).copied();
                if let Err(error) = self.sweep(first, end).await {
                    warn!("event=sweep_failed range={first:?} error=\"{error}\"");
                    self.sweeps_due_ms.borrow_mut().push(now_ms + SWEEP_AFTER_MS[0]);
                }
            }
        }
    }

    fn is_sweeper(&self, range: &str) -> bool {
        let membership = self.deps.membership.borrow();
        let ready = membership.ready_daemons();
        let names = ready.iter().map(|identity| &identity.name);
        rendezvous::owner(&format!("sweep/{range}"), names) == Some(&self.own_home.daemon)
    }

    async fn sweep(self: &Rc<Self>, first: &str, end: Option<&str>) -> Result<(), StoreError> {
        let mut after = first.to_owned();
        let mut orphans = 0;
        loop {
            let call = Call::Page { kind: JOB_KIND, after: after.clone(), may_be_stale: true };
            let reply =
                self.deps.store.call_with_retries(CallClass::Status, &call, PAGE_TIMEOUT).await?;
            let Reply::Page(page) = reply else { break };
            for object in &page.objects {
                if end.is_some_and(|end| object.name.as_str() > end) {
                    break;
                }
                orphans += usize::from(self.process_record(object));
            }
            let last = page.objects.last().map(|object| object.name.clone());
            let is_past = |name: &String| end.is_some_and(|end| name.as_str() > end);
            match last {
                Some(last) if page.has_more && !is_past(&last) => after = last,
                _ => break,
            }
            sleep(PAGE_DELAY).await;
        }
        if orphans > 0 {
            info!("event=orphans_found range={first:?} jobs={orphans}");
        }
        Ok(())
    }

    /// Removes an expired ended job, or has the successor adopt a job whose home is gone.
    ///
    /// Returns whether a successor was asked to adopt the job.
    fn process_record(self: &Rc<Self>, object: &StoredObject) -> bool {
        let id = JobId::from(object.name.as_str());
        if let JobLocation::Local(_) = self.locate(&id) {
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
        let reported = match self.locate(&id) {
            JobLocation::Remote(reported) => Some(reported),
            JobLocation::Local(_) | JobLocation::Unknown => None,
        };
        let membership = self.deps.membership.borrow();
        let is_gone = |home: &crate::record::Home| {
            membership.has_incarnation_ended(&home.daemon, home.incarnation)
        };
        if !is_gone(&home) || reported.as_ref().is_some_and(|reported| !is_gone(reported)) {
            return false;
        }
        let ready: Vec<&DaemonName> =
            membership.ready_daemons().into_iter().map(|identity| &identity.name).collect();
        let Some(successor) = rendezvous::owner(id.as_str(), ready).cloned() else {
            return false;
        };
        drop(membership);
        self.notify_home(&id, &successor);
        true
    }

    /// Asks a daemon to adopt a job, or to confirm that it is the job's home.
    pub(crate) fn notify_home(self: &Rc<Self>, id: &JobId, daemon: &DaemonName) {
        let ip = self.deps.membership.borrow().peer(daemon).map(|peer| peer.identity.ip);
        let message = JobMessage::Adopt { job: id.clone() };
        match ip {
            Some(ip) => self.deps.transport.send(ip, Topic::Jobs, &message),
            None if *daemon == self.own_home.daemon => self.handle_message(message),
            None => {
                warn!("event=home_not_notified job={id} daemon={daemon} error=\"unknown member\"")
            }
        }
    }

    /// Handles a message from another daemon.
    pub fn handle_message(self: &Rc<Self>, message: JobMessage) {
        match message {
            JobMessage::Adopt { job } => {
                let manager = self.clone();
                spawn_local(async move { manager.adopt(&job).await });
            }
        }
    }
}
