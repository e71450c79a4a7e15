//! Loads jobs from the store and adopts those whose home is gone.

use std::rc::Rc;
use std::time::Duration;

use kernel::Clock;
use log::info;
use log::warn;
use store::Call;
use store::CallClass;
use store::Reply;
use store::StoreError;
use store::call::StoredObject;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::JobId;

use crate::item::ItemResult;
use crate::item::Submission;
use crate::job::Job;
use crate::manager::JobHandle;
use crate::manager::JobLocation;
use crate::manager::JobManager;
use crate::manager::new_handle;
use crate::record;
use crate::record::Home;
use crate::record::JOB_KIND;
use crate::record::JobRecord;
use crate::record::JobStatus;
use crate::record::RESULTS_KIND;
use crate::record::ResultPart;
use crate::record::ResultsObject;
use crate::status_writer::malformed;
use crate::status_writer::status_call;

/// How long an adoption retries the store before it is left to a later attempt or another daemon.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay before the store is asked again which daemon is a job's home.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The result of loading a job from the store.
pub enum LoadedJob {
    /// This daemon holds the job now.
    Local(Rc<JobHandle>),
    /// A live daemon is the home; the handle is a read-only copy of the record.
    Remote(Home, Rc<JobHandle>),
    /// The store has no such job.
    NotFound,
}

/// A job as decoded from its record.
struct RecordedJob {
    job: Job,
    home: Home,
}

impl JobManager {
    /// Reads a job's record and adopts the job if its home is gone, or is this daemon, which does
    /// not hold the job.
    pub async fn load(
        self: &Rc<Self>,
        id: &JobId,
        store_timeout: Duration,
    ) -> Result<LoadedJob, StoreError> {
        let call = Call::Get { kind: JOB_KIND, name: id.to_string() };
        let reply =
            self.deps.store.call_with_retries(CallClass::Claim, &call, store_timeout).await?;
        let Reply::Object(object) = reply else {
            self.forget_home(id);
            return Ok(LoadedJob::NotFound);
        };
        self.load_object(id, &object, store_timeout).await
    }

    /// Adopts a job whose home is gone.
    pub async fn adopt(self: &Rc<Self>, id: &JobId) {
        match self.load(id, ADOPT_TIMEOUT).await {
            Ok(LoadedJob::Local(_)) => {}
            Ok(LoadedJob::Remote(home, _)) => self.note_home(id, &home),
            Ok(LoadedJob::NotFound) => self.forget_home(id),
            Err(error) => warn!("event=job_not_adopted job={id} error=\"{error}\""),
        }
    }

    /// Reads from the store which daemon is the home of each unfinished job.
    ///
    /// This is needed while no heartbeat of a peer arrives: another daemon may have declared this
    /// one lost and adopted the job, and a client may have ended the job there.
    pub async fn confirm_homes(&self) {
        let handles: Vec<Rc<JobHandle>> = self.jobs.borrow().values().cloned().collect();
        for handle in handles.iter().filter(|handle| !handle.job.borrow().is_finished()) {
            if !handle.is_record_busy() && self.confirm_home(handle).await.is_err() {
                return;
            }
        }
    }

    /// Verifies with the store which daemon is the home of an unfinished local job, whose home is
    /// contested since a peer claims to be it.
    ///
    /// This daemon may have been replaced while it was paused; until the store has answered, it
    /// serves no results of the job.
    pub(crate) fn verify_contested_home(self: &Rc<Self>, id: &JobId, other: &Home) {
        let JobLocation::Local(handle) = self.locate(id) else { return };
        if self.start_home_confirmation(&handle) {
            info!("event=home_contested job={id} by={}", other.daemon);
        }
    }

    /// Has the store confirm the homes of all unfinished jobs if this daemon was paused since the
    /// last check. Until then no item is sent and no result is shown.
    pub fn check_for_pause(self: &Rc<Self>) {
        let mut detector = self.pause_detector.get();
        let paused_ms = detector.check(self.now_ms());
        self.pause_detector.set(detector);
        let Some(paused_ms) = paused_ms else { return };
        let handles: Vec<Rc<JobHandle>> = self.jobs.borrow().values().cloned().collect();
        let unconfirmed =
            handles.iter().filter(|handle| self.start_home_confirmation(handle)).count();
        info!("event=daemon_paused paused_ms={paused_ms} unconfirmed_jobs={unconfirmed}");
    }

    /// Starts to have the store confirm that this daemon is the home of an unfinished job; returns
    /// false if the job is finished or this is under way.
    pub(crate) fn start_home_confirmation(self: &Rc<Self>, handle: &Rc<JobHandle>) -> bool {
        if handle.job.borrow().is_finished() || handle.is_unconfirmed.replace(true) {
            return false;
        }
        let (manager, handle) = (self.clone(), handle.clone());
        spawn_local(async move {
            while !handle.is_deposed.get() {
                let pauses_before = manager.pauses();
                let is_confirmed = manager.confirm_home(&handle).await.is_ok();
                // An answer from before a pause proves nothing.
                if is_confirmed && manager.pauses() == pauses_before {
                    break;
                }
                if !is_confirmed {
                    sleep(CONFIRM_RETRY_DELAY).await;
                }
            }
            handle.is_unconfirmed.set(false);
            handle.changed.notify_waiters();
            manager.wake.notify_one();
        });
        true
    }

    /// Reads a job's record and drops the job if the record names another home.
    async fn confirm_home(&self, handle: &JobHandle) -> Result<(), StoreError> {
        let id = handle.job.borrow().id.clone();
        let call = Call::Get { kind: JOB_KIND, name: id.to_string() };
        let object = match self.deps.store.call_once(CallClass::Claim, &call).await {
            Ok(Reply::Object(object)) => object,
            Ok(Reply::Absent) => {
                self.drop_deposed_job(&id, None);
                return Ok(());
            }
            Ok(_) => return Ok(()),
            Err(error) => {
                info!("event=home_not_confirmed job={id} error=\"{error}\"");
                return Err(error);
            }
        };
        let (record, status) = match decode_record(&id, &object) {
            Ok(decoded) => decoded,
            Err(error) => {
                warn!("event=job_record_malformed job={id} error=\"{error}\"");
                return Ok(());
            }
        };
        let home = status.map_or(record.home, |status| status.home);
        if home != self.own_home {
            self.drop_deposed_job(&id, Some(&home));
        }
        Ok(())
    }

    /// Decodes a job from its stored object and adopts it if its home is gone, or is this daemon,
    /// which does not hold the job.
    pub async fn load_object(
        self: &Rc<Self>,
        id: &JobId,
        object: &StoredObject,
        store_timeout: Duration,
    ) -> Result<LoadedJob, StoreError> {
        let pauses_before = self.pauses();
        let RecordedJob { job, home } = self.read_job(id, object, store_timeout).await?;
        if let JobLocation::Local(handle) = self.locate(id) {
            return Ok(LoadedJob::Local(handle));
        }
        let is_gone =
            self.deps.membership.borrow().has_incarnation_ended(&home.daemon, home.incarnation);
        if !job.is_finished() && !is_gone && home != self.own_home {
            return Ok(LoadedJob::Remote(home, Rc::new(new_handle(job))));
        }
        if job.is_finished() && !is_gone {
            return Ok(LoadedJob::Remote(home, Rc::new(new_handle(job))));
        }
        if job.has_all_results() {
            return Ok(LoadedJob::Local(self.add_job_since(job, pauses_before)));
        }
        // A late write of the former home may still add results to a job that was ended.
        self.claim(id, job, store_timeout).await
    }

    /// Adopts a job by writing this daemon into its status.
    ///
    /// The write is conditional on the record's revision, so that only one of several daemons wins.
    async fn claim(
        self: &Rc<Self>,
        id: &JobId,
        mut job: Job,
        store_timeout: Duration,
    ) -> Result<LoadedJob, StoreError> {
        let pauses_before = self.pauses();
        let mut claimed = job.status(&self.own_home, self.deps.max_object_bytes);
        match self.write_claim(id, job.revision, &mut claimed, store_timeout).await? {
            Reply::Object(object) => job.revision = object.revision,
            Reply::Conflict(Some(object)) => {
                let found = JobStatus::decode(&object.status).ok();
                let is_own_claim = found.as_ref() == Some(&claimed);
                match found.map(|status| status.home) {
                    // An earlier attempt took effect, but its answer was lost.
                    Some(_) if is_own_claim => job.revision = object.revision,
                    // Another claim of this daemon took effect, on a record with more results.
                    Some(home) if home == self.own_home => {
                        job = self.read_job(id, &object, store_timeout).await?.job;
                    }
                    // The winner may have written more results than were read here before.
                    Some(home) => {
                        self.note_home(id, &home);
                        let RecordedJob { job, .. } =
                            self.read_job(id, &object, store_timeout).await?;
                        return Ok(LoadedJob::Remote(home, Rc::new(new_handle(job))));
                    }
                    None => return Err(StoreError::Conflict),
                }
            }
            Reply::Absent => return Ok(LoadedJob::NotFound),
            _ => return Err(StoreError::Conflict),
        }
        if let JobLocation::Local(handle) = self.locate(id) {
            return Ok(LoadedJob::Local(handle));
        }
        self.deps.counters.count("jobs_adopted");
        info!(
            "event=job_adopted job={id} revision={} listed={} total={}",
            job.revision,
            job.written_results().len(),
            job.total()
        );
        Ok(LoadedJob::Local(self.add_job_since(job, pauses_before)))
    }

    /// Writes the status with which this daemon becomes the home; leaves the progress out of it if
    /// the store finds it too large, since the results alone fitted before.
    pub(crate) async fn write_claim(
        &self,
        id: &JobId,
        revision: u64,
        claimed: &mut JobStatus,
        store_timeout: Duration,
    ) -> Result<Reply, StoreError> {
        let store = &self.deps.store;
        let call = status_call(id, revision, claimed)?;
        match store.call_with_retries(CallClass::Claim, &call, store_timeout).await {
            Err(StoreError::TooLarge { size }) => {
                warn!("event=job_claim_too_large job={id} bytes={size}");
                claimed.progress.clear();
                let call = status_call(id, revision, claimed)?;
                store.call_with_retries(CallClass::Claim, &call, store_timeout).await
            }
            reply => reply,
        }
    }

    async fn read_job(
        &self,
        id: &JobId,
        object: &StoredObject,
        store_timeout: Duration,
    ) -> Result<RecordedJob, StoreError> {
        let (value, status) = decode_record(id, object)?;
        let submission = self.read_input(id, &value, store_timeout).await?;
        let mut results = Vec::new();
        if let Some(status) = &status {
            for part in &status.result_parts {
                results.extend(self.read_results(id, &part.name, store_timeout).await?);
            }
            results.extend(status.results.iter().cloned());
        }
        let age_ms = (Clock::unix_ms() as i64).saturating_sub_unsigned(value.submitted_unix_ms);
        let (now_ms, items) = (self.now_ms(), submission.items);
        let mut job =
            Job::from_record(now_ms, age_ms, id.clone(), &value.host, &value.path, items, results);
        job.value_bytes = object.value.len();
        job.input_parts = value.input_parts;
        job.organisation = value.organisation;
        job.apply_record(object.revision, status.as_ref());
        Ok(RecordedJob { job, home: status.map_or(value.home, |status| status.home) })
    }

    /// Reads the input to which a job's record refers.
    pub(crate) async fn read_input(
        &self,
        id: &JobId,
        value: &JobRecord,
        store_timeout: Duration,
    ) -> Result<Submission, StoreError> {
        let mut input = value.input.clone();
        for part in 0..value.input_parts {
            let name = record::input_part_name(id.as_str(), part);
            input.push_str(
                &self.read_part::<String>(record::INPUT_KIND, name, store_timeout).await?,
            );
        }
        record::decode_input(&input).map_err(|error| malformed(id, error.message))
    }

    async fn read_results(
        &self,
        id: &JobId,
        part: &str,
        store_timeout: Duration,
    ) -> Result<Vec<ItemResult>, StoreError> {
        let fragments = match self.read_part(RESULTS_KIND, part.to_owned(), store_timeout).await? {
            ResultsObject::Results(results) => return Ok(results),
            ResultsObject::Split { fragments } => fragments,
        };
        let mut text = String::new();
        for fragment in 0..fragments {
            let name = record::fragment_name(part, fragment);
            text.push_str(&self.read_part::<String>(RESULTS_KIND, name, store_timeout).await?);
        }
        let result = record::decode_result(&text);
        result.map(|result| vec![result]).map_err(|error| malformed(id, error.message))
    }

    /// Returns how many objects hold the result to which a part refers; 0 if the part holds it.
    pub(crate) async fn fragment_count(
        &self,
        part: &ResultPart,
        store_timeout: Duration,
    ) -> Result<usize, StoreError> {
        if part.count != 1 {
            return Ok(0);
        }
        let call = Call::Get { kind: RESULTS_KIND, name: part.name.clone() };
        let reply =
            self.deps.store.call_with_retries(CallClass::Status, &call, store_timeout).await?;
        let Reply::Object(object) = reply else { return Ok(0) };
        match serde_json::from_slice(&object.value) {
            Ok(ResultsObject::Split { fragments }) => Ok(fragments),
            Ok(ResultsObject::Results(_)) => Ok(0),
            Err(error) => {
                warn!("event=job_part_malformed part={} error=\"{error}\"", part.name);
                Ok(0)
            }
        }
    }

    async fn read_part<T: serde::de::DeserializeOwned>(
        &self,
        kind: &'static str,
        name: String,
        store_timeout: Duration,
    ) -> Result<T, StoreError> {
        let call = Call::Get { kind, name: name.clone() };
        match self.deps.store.call_with_retries(CallClass::Claim, &call, store_timeout).await? {
            Reply::Object(object) => serde_json::from_slice(&object.value)
                .map_err(|error| StoreError::Malformed { key: name, message: error.to_string() }),
            _ => Err(StoreError::Malformed {
                key: name,
                message: "the object does not exist".to_owned(),
            }),
        }
    }
}

pub(crate) fn decode_record(
    id: &JobId,
    object: &StoredObject,
) -> Result<(JobRecord, Option<JobStatus>), StoreError> {
    let malformed = |error: record::RecordError| malformed(id, error.message);
    let value = JobRecord::decode(&object.value).map_err(malformed)?;
    let status = match object.status.is_empty() {
        true => None,
        false => Some(JobStatus::decode(&object.status).map_err(malformed)?),
    };
    Ok((value, status))
}
