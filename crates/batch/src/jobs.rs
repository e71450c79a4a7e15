//! Operations of callers on jobs: storing lots, starting jobs, reading their status, cancelling.

use std::sync::Arc;

use bundle::ActiveBundle;
use bytes::Bytes;
use fleet::Links;
use fleet::MembershipService;
use kernel::Clock;
use kernel::Counters;
use log::info;
use serde::Deserialize;
use serde::Serialize;
use store::CallClass;
use store::PutOutcome;
use store::Store;
use store::StoreError;
use store::store::Stored;
use wire::JobId;
use wire::Millis;
use wire::OrgName;
use wire::Ran;
use wire::Reason;
use wire::Refusal;
use wire::Version;
use wire::digest::job_id;
use wire::digest::sha256_hex;
use wire::job::JobSpec;
use wire::job::LOT_ITEMS;
use wire::job::LedgerHead;
use wire::job::LotRef;
use wire::job::MAX_JOB_ITEMS;
use wire::job::Manifest;
use wire::job::OutcomeCounts;
use wire::link::Notice;
use wire::name::is_valid_name;
use wire::rendezvous::shard_of;

use crate::codec;
use crate::keys;
use crate::supervisor::JobSupervisor;
use crate::supervisor::shard_key;

/// Retry delay that is suggested to callers while the object API is unavailable.
const STORE_RETRY_AFTER_MS: Millis = 2_000;
/// Number of attempts at a conditional update that conflicts with concurrent updates.
const MAX_UPDATE_ATTEMPTS: u32 = 5;

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Items are waiting or running.
    Running,
    /// The job was cancelled and some items have not ended yet.
    Cancelling,
    /// Every item has an outcome.
    Finished,
    /// The job was cancelled and every item has an outcome.
    Cancelled,
}

/// Status of a job; the answer to start, status and cancel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Identifier of the job.
    pub job: JobId,
    /// Idempotency key that the caller chose for the job.
    pub key: String,
    /// State of the job.
    pub state: JobState,
    /// The number of items.
    pub items: u32,
    /// Number of recorded outcomes of each kind.
    pub outcomes: OutcomeCounts,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub due_unix_ms: Millis,
}

/// Job operations of the callers' API.
pub struct JobApi {
    store: Arc<Store>,
    links: Arc<Links>,
    members: Arc<MembershipService>,
    supervisor: Arc<JobSupervisor>,
    counters: Counters,
}

impl JobApi {
    /// Creates the job operations over the object API and the fleet.
    pub fn new(
        store: Arc<Store>,
        links: Arc<Links>,
        members: Arc<MembershipService>,
        supervisor: Arc<JobSupervisor>,
        counters: Counters,
    ) -> Self {
        Self { store, links, members, supervisor, counters }
    }

    /// Stores a lot of JSON lines; storing the same lot again has no effect.
    pub async fn put_lot(&self, org: &OrgName, lines: &[u8]) -> Result<LotRef, Refusal> {
        let items = codec::parse_lot(lines)
            .map_err(|message| Refusal::not_run(Reason::BadRequest, message))?;
        let lot = LotRef { digest: sha256_hex(lines), items: items.len() as u32 };
        let packed = codec::pack_lot(lines)
            .map_err(|message| Refusal::not_run(Reason::BadRequest, message))?;
        if packed.len() > store::object::MAX_VALUE_BYTES {
            let message = "the lot is over 1 MB when compressed; send fewer items in each lot";
            return Err(Refusal::not_run(Reason::TooLarge, message));
        }
        let key = keys::lot(org, &lot);
        let value = Bytes::from(packed);
        // The key contains the digest of the content, so a conflict means that the lot is stored.
        self.store
            .put(CallClass::Status, &key, value, Version::ABSENT, &lot.digest)
            .await
            .map_err(store_refusal)?;
        Ok(lot)
    }

    /// Accepts a job; returns once its manifest is stored in the object API.
    pub async fn start(
        &self,
        active: &ActiveBundle,
        org: &OrgName,
        spec: JobSpec,
    ) -> Result<JobStatus, Refusal> {
        let items = check_spec(&spec)?;
        let job = job_id(org, &spec.key);
        if let Some(known) = self.read_manifest(&job).await? {
            return self.answer_resend(known.value, &spec).await;
        }
        if active.bundle.model(spec.model.as_str()).is_none() {
            let message = format!("the bundle in force has no model '{}'", spec.model);
            return Err(Refusal::not_run(Reason::UnknownModel, message));
        }
        if spec.due_unix_ms <= Clock::unix_ms() {
            let message = "due_unix_ms is in the past";
            return Err(Refusal::not_run(Reason::BadRequest, message));
        }
        self.check_lots(org, &spec.lots).await?;
        let manifest = Manifest {
            job: job.clone(),
            org: org.clone(),
            spec,
            items,
            accepted_unix_ms: Clock::unix_ms(),
            cancelled: false,
        };
        self.write_open_marker(&job).await?;
        let key = keys::manifest(&job);
        let put = self.store.put_json(CallClass::Claim, &key, &manifest, Version::ABSENT).await;
        match put {
            Ok(PutOutcome::Applied(_)) => {}
            Ok(PutOutcome::Conflict) => {
                let known = self.read_manifest(&job).await?;
                let known = known.ok_or_else(|| store_refusal(StoreError::Conflict))?;
                return self.answer_resend(known.value, &manifest.spec).await;
            }
            Err(error) => {
                let mut refusal = store_refusal(error);
                refusal.ran = Ran::Unknown;
                refusal.message.push_str("; send the same job again to find out");
                return Err(refusal);
            }
        }
        info!("event=job_accepted job={job} org={org} items={items}");
        self.counters.count("jobs_accepted");
        self.notify_owner(&job).await;
        Ok(status_of(&manifest, &LedgerHead::default()))
    }

    /// Returns a job's status.
    pub async fn status(&self, org: &OrgName, job: &JobId) -> Result<JobStatus, Refusal> {
        let manifest = self.manifest_of(org, job).await?.value;
        self.status_of(&manifest).await
    }

    /// Cancels a job; items that have ended keep their outcomes.
    pub async fn cancel(&self, org: &OrgName, job: &JobId) -> Result<JobStatus, Refusal> {
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let stored = self.manifest_of(org, job).await?;
            if stored.value.cancelled {
                self.touch_marker(job).await;
                return self.status_of(&stored.value).await;
            }
            let head = self.read_head(job).await?;
            if head.finished {
                return Ok(status_of(&stored.value, &head));
            }
            let cancelled = Manifest { cancelled: true, ..stored.value };
            let key = keys::manifest(job);
            let put = self.store.put_json(CallClass::Claim, &key, &cancelled, stored.version);
            match put.await {
                Ok(PutOutcome::Applied(_)) => {
                    info!("event=job_cancelled job={job} org={org}");
                    self.counters.count("jobs_cancelled");
                    self.touch_marker(job).await;
                    self.notify_owner(job).await;
                    return self.status_of(&cancelled).await;
                }
                Ok(PutOutcome::Conflict) => {}
                Err(error) => {
                    let mut refusal = store_refusal(error);
                    refusal.ran = Ran::Unknown;
                    return Err(refusal);
                }
            }
        }
        Err(store_refusal(StoreError::Conflict))
    }

    /// Returns the manifest of a job if the job belongs to the organisation.
    pub async fn manifest_of(
        &self,
        org: &OrgName,
        job: &JobId,
    ) -> Result<Stored<Manifest>, Refusal> {
        let unknown = || Refusal::not_run(Reason::NotFound, format!("there is no job '{job}'"));
        if !is_valid_name(job.as_str()) {
            return Err(unknown());
        }
        let stored = self.read_manifest(job).await?;
        stored.filter(|stored| stored.value.org == *org).ok_or_else(unknown)
    }

    /// Returns the stored head of a job, or the default if none is stored.
    pub async fn read_head(&self, job: &JobId) -> Result<LedgerHead, Refusal> {
        let stored = self.store.get_json(CallClass::Status, &keys::head(job)).await;
        Ok(stored.map_err(store_refusal)?.map(|stored| stored.value).unwrap_or_default())
    }

    /// Returns the store from which results are read.
    pub fn store(&self) -> &Arc<Store> {
        &self.store
    }

    async fn read_manifest(&self, job: &JobId) -> Result<Option<Stored<Manifest>>, Refusal> {
        self.store.get_json(CallClass::Claim, &keys::manifest(job)).await.map_err(store_refusal)
    }

    async fn status_of(&self, manifest: &Manifest) -> Result<JobStatus, Refusal> {
        let head = self.read_head(&manifest.job).await?;
        Ok(status_of(manifest, &head))
    }

    async fn answer_resend(&self, known: Manifest, spec: &JobSpec) -> Result<JobStatus, Refusal> {
        // A resent job may have another due time; the first one remains in force.
        let resent = JobSpec { due_unix_ms: known.spec.due_unix_ms, ..spec.clone() };
        if known.spec != resent {
            let message = format!("the job key '{}' was used before with other content", spec.key);
            return Err(Refusal::not_run(Reason::KeyReused, message));
        }
        self.notify_owner(&known.job).await;
        self.status_of(&known).await
    }

    async fn check_lots(&self, org: &OrgName, lots: &[LotRef]) -> Result<(), Refusal> {
        for (index, lot) in lots.iter().enumerate() {
            let key = keys::lot(org, lot);
            let listed = self.store.list(CallClass::Status, &key).await.map_err(store_refusal)?;
            if listed.is_empty() {
                let message = format!("lots[{index}] has not been stored; send it first");
                return Err(Refusal::not_run(Reason::BadRequest, message));
            }
        }
        Ok(())
    }

    /// Writes the open-job marker, by which the owner of the shard finds the job, before the job
    /// is accepted.
    ///
    /// An existing marker gets a new version, so that a concurrent removal of it as an orphan,
    /// which is conditional on the old version, fails.
    async fn write_open_marker(&self, job: &JobId) -> Result<(), Refusal> {
        let key = keys::open_marker(job);
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let known = self.store.get(CallClass::Claim, &key).await.map_err(store_refusal)?;
            let version = known.map_or(Version::ABSENT, |object| object.version);
            let put = self.store.put_json(CallClass::Claim, &key, &OPEN_MARKER, version).await;
            if let PutOutcome::Applied(_) = put.map_err(store_refusal)? {
                return Ok(());
            }
        }
        Err(store_refusal(StoreError::Conflict))
    }

    /// Changes the version of the marker, so that the owner of the shard reads the manifest again.
    async fn touch_marker(&self, job: &JobId) {
        let key = keys::open_marker(job);
        let known = self.store.get(CallClass::Claim, &key).await;
        if let Ok(Some(object)) = known {
            let put =
                self.store.put_json(CallClass::Claim, &key, &CANCELLED_MARKER, object.version);
            let _ = put.await;
        }
    }

    async fn notify_owner(&self, job: &JobId) {
        let shard = shard_of(job.as_str());
        let Some(owner) = self.members.owner_of(&shard_key(shard)) else {
            return;
        };
        if owner == self.members.own().daemon {
            self.supervisor.on_job_changed(job.clone());
            return;
        }
        if let Some(peer) = self.members.peer(&owner) {
            let notice = Notice::JobChanged { job: job.clone() };
            let _ = self.links.notify(&peer, notice).await;
        }
    }
}

/// Marker content of a job that is open.
const OPEN_MARKER: &str = "open";
/// Marker content of an open job that was cancelled.
const CANCELLED_MARKER: &str = "cancelled";

fn check_spec(spec: &JobSpec) -> Result<u32, Refusal> {
    let bad_request = |message: String| Err(Refusal::not_run(Reason::BadRequest, message));
    if !is_valid_name(&spec.key) {
        return bad_request("key: use 1 to 128 letters, digits, '-', '_' or '.'".to_owned());
    }
    let Some((_, full)) = spec.lots.split_last() else {
        return bad_request("lots: a job needs at least one".to_owned());
    };
    if let Some(index) = full.iter().position(|lot| lot.items != LOT_ITEMS) {
        return bad_request(format!(
            "lots[{index}]: every lot but the last holds {LOT_ITEMS} items"
        ));
    }
    let is_digest = |lot: &LotRef| lot.digest.len() == 64 && is_valid_name(&lot.digest);
    if let Some(index) = spec.lots.iter().position(|lot| !is_digest(lot) || lot.items == 0) {
        return bad_request(format!(
            "lots[{index}]: give a SHA-256 in hexadecimal and a count over 0"
        ));
    }
    let items: u64 = spec.lots.iter().map(|lot| u64::from(lot.items)).sum();
    if items > u64::from(MAX_JOB_ITEMS) {
        let message = format!("the job has {items} items, and {MAX_JOB_ITEMS} are allowed");
        return Err(Refusal::not_run(Reason::TooLarge, message));
    }
    Ok(items as u32)
}

fn status_of(manifest: &Manifest, head: &LedgerHead) -> JobStatus {
    let state = match (head.finished, manifest.cancelled) {
        (true, true) => JobState::Cancelled,
        (true, false) => JobState::Finished,
        (false, true) => JobState::Cancelling,
        (false, false) => JobState::Running,
    };
    JobStatus {
        job: manifest.job.clone(),
        key: manifest.spec.key.clone(),
        state,
        items: manifest.items,
        outcomes: head.counts,
        due_unix_ms: manifest.spec.due_unix_ms,
    }
}

/// Converts an error of the object API into a refusal.
pub fn store_refusal(error: StoreError) -> Refusal {
    let reason = match error {
        StoreError::TooLarge { .. } => Reason::TooLarge,
        _ => Reason::StoreUnavailable,
    };
    Refusal::not_run(reason, error.to_string()).with_retry_after(STORE_RETRY_AFTER_MS)
}
