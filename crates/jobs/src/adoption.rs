//! Reading jobs from the store, and becoming the home of those whose home is gone.

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

use crate::board::Board;
use crate::board::JobCell;
use crate::board::Place;
use crate::board::new_cell;
use crate::item::Listed;
use crate::item::Submission;
use crate::job::Job;
use crate::record;
use crate::record::Home;
use crate::record::JOB_KIND;
use crate::record::JobRecord;
use crate::record::JobStatus;
use crate::saver::malformed;
use crate::saver::status_call;

/// How long the store is tried for an adoption before another daemon may try.
const ADOPT_PATIENCE: Duration = Duration::from_secs(3);
/// The pause before the store is asked again who is a job's home.
const CONFIRM_PAUSE: Duration = Duration::from_secs(1);

/// What the store says of a job.
pub enum Loaded {
    /// This daemon holds it now.
    Here(Rc<JobCell>),
    /// A living daemon is its home; what its record holds is read only.
    At(Home, Rc<JobCell>),
    /// There is no such job.
    Absent,
}

/// A job as its record holds it.
struct ReadJob {
    job: Job,
    home: Home,
}

impl Board {
    /// Reads a job's record, and becomes its home if it has none that lives.
    pub async fn load(&self, id: &JobId, patience: Duration) -> Result<Loaded, StoreError> {
        let call = Call::Get { kind: JOB_KIND, name: id.to_string() };
        let reply = self.parts.store.until(CallClass::Claim, &call, patience).await?;
        let Reply::Object(object) = reply else {
            self.unlearn(id);
            return Ok(Loaded::Absent);
        };
        self.take_object(id, &object, patience).await
    }

    /// Becomes the home of an orphan.
    pub async fn adopt(&self, id: &JobId) {
        match self.load(id, ADOPT_PATIENCE).await {
            Ok(Loaded::Here(_)) => {}
            Ok(Loaded::At(home, _)) => self.learn(id, &home),
            Ok(Loaded::Absent) => self.unlearn(id),
            Err(error) => warn!("event=job_not_adopted job={id} error=\"{error}\""),
        }
    }

    /// Asks the store who is the home of the open jobs, while no peer can tell.
    ///
    /// Another daemon may have taken this one for lost, and a client may have ended the job there.
    pub async fn confirm_homes(&self) {
        let open: Vec<Rc<JobCell>> = self.jobs.borrow().values().cloned().collect();
        for cell in open.iter().filter(|cell| !cell.job.borrow().is_over()) {
            if !cell.is_saving.get() && self.confirm_home(cell).await.is_err() {
                return;
            }
        }
    }

    /// Takes the word of another daemon that it is the home of a job that is open here.
    ///
    /// This daemon may have been replaced while it stood still; until the store has told, it shows
    /// nothing of the job.
    pub(crate) fn contest(self: &Rc<Self>, id: &JobId, other: &Home) {
        let Place::Here(cell) = self.place(id) else { return };
        if cell.job.borrow().is_over() || cell.is_contested.replace(true) {
            return;
        }
        info!("event=home_contested job={id} by={}", other.daemon);
        let board = self.clone();
        spawn_local(async move {
            while !cell.is_deposed.get() && board.confirm_home(&cell).await.is_err() {
                sleep(CONFIRM_PAUSE).await;
            }
            cell.is_contested.set(false);
        });
    }

    /// Drops a job whose record names another home.
    async fn confirm_home(&self, cell: &JobCell) -> Result<(), StoreError> {
        let id = cell.job.borrow().id.clone();
        let call = Call::Get { kind: JOB_KIND, name: id.to_string() };
        let object = match self.parts.store.once(CallClass::Claim, &call).await {
            Ok(Reply::Object(object)) => object,
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
        if home != self.own {
            self.drop_job(&id, Some(&home));
        }
        Ok(())
    }

    /// Takes a job's record as it was read.
    pub async fn take_object(
        &self,
        id: &JobId,
        object: &StoredObject,
        patience: Duration,
    ) -> Result<Loaded, StoreError> {
        let ReadJob { job, home } = self.read_job(id, object, patience).await?;
        if let Place::Here(cell) = self.place(id) {
            return Ok(Loaded::Here(cell));
        }
        let is_gone =
            self.parts.membership.borrow().has_incarnation_ended(&home.daemon, home.incarnation);
        if !job.is_over() && !is_gone && home != self.own {
            return Ok(Loaded::At(home, Rc::new(new_cell(job))));
        }
        if job.is_over() {
            return Ok(if is_gone {
                Loaded::Here(self.hold(job))
            } else {
                Loaded::At(home, Rc::new(new_cell(job)))
            });
        }
        self.claim(id, job, patience).await
    }

    /// Writes this daemon into a job's status; the condition lets one of several daemons win.
    async fn claim(
        &self,
        id: &JobId,
        mut job: Job,
        patience: Duration,
    ) -> Result<Loaded, StoreError> {
        let claimed = job.status(&self.own, self.parts.max_object_bytes);
        let call = status_call(id, job.revision, &claimed)?;
        match self.parts.store.until(CallClass::Claim, &call, patience).await? {
            Reply::Object(object) => job.revision = object.revision,
            Reply::Conflict(Some(object)) => {
                let winner = JobStatus::decode(&object.status).ok().map(|status| status.home);
                match winner {
                    // The answer to an earlier try was lost after it took effect.
                    Some(home) if home == self.own => job.revision = object.revision,
                    // The winner may have listed more than was read here before.
                    Some(home) => {
                        self.learn(id, &home);
                        let ReadJob { job, .. } = self.read_job(id, &object, patience).await?;
                        return Ok(Loaded::At(home, Rc::new(new_cell(job))));
                    }
                    None => return Err(StoreError::Conflict),
                }
            }
            Reply::Absent => return Ok(Loaded::Absent),
            _ => return Err(StoreError::Conflict),
        }
        if let Place::Here(cell) = self.place(id) {
            return Ok(Loaded::Here(cell));
        }
        self.parts.counters.count("jobs_adopted");
        info!(
            "event=job_adopted job={id} revision={} listed={} total={}",
            job.revision,
            job.listed().len(),
            job.total()
        );
        Ok(Loaded::Here(self.hold(job)))
    }

    async fn read_job(
        &self,
        id: &JobId,
        object: &StoredObject,
        patience: Duration,
    ) -> Result<ReadJob, StoreError> {
        let (value, status) = decode_record(id, object)?;
        let malformed = |error: record::BadRecord| malformed(id, error.message);
        let mut input = value.input.clone();
        for part in 0..value.input_parts {
            let name = record::input_part_name(id.as_str(), part);
            input.push_str(&self.read_part::<String>(record::INPUT_KIND, name, patience).await?);
        }
        let submission: Submission = record::decode_input(&input).map_err(malformed)?;
        let mut listed = Vec::new();
        if let Some(status) = &status {
            for part in &status.result_parts {
                let (kind, name) = (record::RESULTS_KIND, part.name.clone());
                listed.extend(self.read_part::<Vec<Listed>>(kind, name, patience).await?);
            }
            listed.extend(status.results.iter().cloned());
        }
        let age_ms = Clock::unix_ms() as i64 - value.submitted_unix_ms as i64;
        let (now_ms, items) = (self.now_ms(), submission.items);
        let mut job =
            Job::read(now_ms, age_ms, id.clone(), &value.host, &value.path, items, listed);
        job.value_bytes = object.value.len();
        job.input_parts = value.input_parts;
        job.take_record(object.revision, status.as_ref());
        Ok(ReadJob { job, home: status.map_or(value.home, |status| status.home) })
    }

    async fn read_part<T: serde::de::DeserializeOwned>(
        &self,
        kind: &'static str,
        name: String,
        patience: Duration,
    ) -> Result<T, StoreError> {
        let call = Call::Get { kind, name: name.clone() };
        match self.parts.store.until(CallClass::Claim, &call, patience).await? {
            Reply::Object(object) => serde_json::from_slice(&object.value)
                .map_err(|error| StoreError::Malformed { key: name, message: error.to_string() }),
            _ => Err(StoreError::Malformed { key: name, message: "it is missing".to_owned() }),
        }
    }
}

fn decode_record(
    id: &JobId,
    object: &StoredObject,
) -> Result<(JobRecord, Option<JobStatus>), StoreError> {
    let malformed = |error: record::BadRecord| malformed(id, error.message);
    let value = JobRecord::decode(&object.value).map_err(malformed)?;
    let status = match object.status.is_empty() {
        true => None,
        false => Some(JobStatus::decode(&object.status).map_err(malformed)?),
    };
    Ok((value, status))
}
