//! What callers do with jobs: store lots, start, ask for the status, cancel.

use std::sync::Arc;

use bundle::Active;
use bytes::Bytes;
use fleet::Links;
use fleet::Members;
use kernel::Clock;
use kernel::Counters;
use log::info;
use serde::Deserialize;
use serde::Serialize;
use store::CallClass;
use store::PutEnd;
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
use wire::job::Head;
use wire::job::JobSpec;
use wire::job::LOT_ITEMS;
use wire::job::LotRef;
use wire::job::MAX_JOB_ITEMS;
use wire::job::Manifest;
use wire::job::OutcomeCounts;
use wire::link::Notice;
use wire::name::is_valid_name;
use wire::rendezvous::shard_of;

use crate::codec;
use crate::home::JobHome;
use crate::home::shard_key;
use crate::keys;

/// The wait suggested while the object API is not available.
const STORE_RETRY_AFTER_MS: Millis = 2_000;
/// Tries of an update that others race.
const UPDATE_TRIES: u32 = 5;

/// A job's state as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Items are waiting or running.
    Running,
    /// The job was cancelled and some items have not ended yet.
    Cancelling,
    /// Every item has its outcome.
    Finished,
    /// The job was cancelled and every item has its outcome.
    Cancelled,
}

/// The answer to start, status and cancel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// The caller's key.
    pub key: String,
    /// The state.
    pub state: JobState,
    /// The number of items.
    pub items: u32,
    /// Recorded outcomes.
    pub outcomes: OutcomeCounts,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub due_unix_ms: Millis,
}

/// The job side of the callers' interface.
pub struct Jobs {
    store: Arc<Store>,
    links: Arc<Links>,
    members: Arc<Members>,
    home: Arc<JobHome>,
    counters: Counters,
}

impl Jobs {
    /// Creates the job side.
    pub fn new(
        store: Arc<Store>,
        links: Arc<Links>,
        members: Arc<Members>,
        home: Arc<JobHome>,
        counters: Counters,
    ) -> Self {
        Self { store, links, members, home, counters }
    }

    /// Stores a lot of JSON lines; the same lot sent twice is stored once.
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
        // The key names the content, so a conflict means that the lot is there.
        self.store
            .put(CallClass::Status, &key, value, Version::ABSENT, &lot.digest)
            .await
            .map_err(store_refusal)?;
        Ok(lot)
    }

    /// Accepts a job; the answer comes after its manifest is in the object API.
    pub async fn start(
        &self,
        active: &Active,
        org: &OrgName,
        spec: JobSpec,
    ) -> Result<JobStatus, Refusal> {
        let items = check_spec(&spec)?;
        let job = job_id(org, &spec.key);
        if let Some(known) = self.read_manifest(&job).await? {
            return self.same_job(known.value, &spec).await;
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
        self.mark_open(&job).await?;
        let key = keys::manifest(&job);
        let put = self.store.put_json(CallClass::Claim, &key, &manifest, Version::ABSENT).await;
        match put {
            Ok(PutEnd::Applied(_)) => {}
            Ok(PutEnd::Conflict) => {
                let known = self.read_manifest(&job).await?;
                let known = known.ok_or_else(|| store_refusal(StoreError::Conflict))?;
                return self.same_job(known.value, &manifest.spec).await;
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
        self.tell_home(&job).await;
        Ok(status_of(&manifest, &Head::default()))
    }

    /// Returns a job's status.
    pub async fn status(&self, org: &OrgName, job: &JobId) -> Result<JobStatus, Refusal> {
        let manifest = self.manifest_of(org, job).await?.value;
        self.status_of(&manifest).await
    }

    /// Cancels a job; items that have ended keep their outcome.
    pub async fn cancel(&self, org: &OrgName, job: &JobId) -> Result<JobStatus, Refusal> {
        for _ in 0..UPDATE_TRIES {
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
                Ok(PutEnd::Applied(_)) => {
                    info!("event=job_cancelled job={job} org={org}");
                    self.counters.count("jobs_cancelled");
                    self.touch_marker(job).await;
                    self.tell_home(job).await;
                    return self.status_of(&cancelled).await;
                }
                Ok(PutEnd::Conflict) => {}
                Err(error) => {
                    let mut refusal = store_refusal(error);
                    refusal.ran = Ran::Unknown;
                    return Err(refusal);
                }
            }
        }
        Err(store_refusal(StoreError::Conflict))
    }

    /// Returns the manifest of an organisation's job.
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

    /// Returns the recorded head of a job.
    pub async fn read_head(&self, job: &JobId) -> Result<Head, Refusal> {
        let stored = self.store.get_json(CallClass::Status, &keys::head(job)).await;
        Ok(stored.map_err(store_refusal)?.map(|stored| stored.value).unwrap_or_default())
    }

    /// Returns the object API, for reading results.
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

    async fn same_job(&self, known: Manifest, spec: &JobSpec) -> Result<JobStatus, Refusal> {
        // A resend may name another due time; the first one stays.
        let resent = JobSpec { due_unix_ms: known.spec.due_unix_ms, ..spec.clone() };
        if known.spec != resent {
            let message = format!("the job key '{}' was used before with other content", spec.key);
            return Err(Refusal::not_run(Reason::KeyReused, message));
        }
        self.tell_home(&known.job).await;
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

    /// Writes the marker by which the job's home finds it, before the job is accepted.
    ///
    /// A marker that is there gets a new version, so that its removal as an orphan, which names
    /// the version, cannot come after this.
    async fn mark_open(&self, job: &JobId) -> Result<(), Refusal> {
        let key = keys::open_marker(job);
        for _ in 0..UPDATE_TRIES {
            let known = self.store.get(CallClass::Claim, &key).await.map_err(store_refusal)?;
            let version = known.map_or(Version::ABSENT, |object| object.version);
            let put = self.store.put_json(CallClass::Claim, &key, &OPEN, version).await;
            if let PutEnd::Applied(_) = put.map_err(store_refusal)? {
                return Ok(());
            }
        }
        Err(store_refusal(StoreError::Conflict))
    }

    /// Changes the marker's version, so that the home reads the manifest again.
    async fn touch_marker(&self, job: &JobId) {
        let key = keys::open_marker(job);
        let known = self.store.get(CallClass::Claim, &key).await;
        if let Ok(Some(object)) = known {
            let put = self.store.put_json(CallClass::Claim, &key, &CANCELLED, object.version);
            let _ = put.await;
        }
    }

    async fn tell_home(&self, job: &JobId) {
        let shard = shard_of(job.as_str());
        let Some(owner) = self.members.owner_of(&shard_key(shard)) else {
            return;
        };
        if owner == self.members.own().daemon {
            self.home.on_job_changed(job.clone());
            return;
        }
        if let Some(peer) = self.members.peer(&owner) {
            let notice = Notice::JobChanged { job: job.clone() };
            let _ = self.links.notify(&peer, notice).await;
        }
    }
}

const OPEN: &str = "open";
const CANCELLED: &str = "cancelled";

fn check_spec(spec: &JobSpec) -> Result<u32, Refusal> {
    let bad = |message: String| Err(Refusal::not_run(Reason::BadRequest, message));
    if !is_valid_name(&spec.key) {
        return bad("key: use 1 to 128 letters, digits, '-', '_' or '.'".to_owned());
    }
    let Some((_, full)) = spec.lots.split_last() else {
        return bad("lots: a job needs at least one".to_owned());
    };
    if let Some(index) = full.iter().position(|lot| lot.items != LOT_ITEMS) {
        return bad(format!("lots[{index}]: every lot but the last holds {LOT_ITEMS} items"));
    }
    let is_digest = |lot: &LotRef| lot.digest.len() == 64 && is_valid_name(&lot.digest);
    if let Some(index) = spec.lots.iter().position(|lot| !is_digest(lot) || lot.items == 0) {
        return bad(format!("lots[{index}]: give a SHA-256 in hexadecimal and a count over 0"));
    }
    let items: u64 = spec.lots.iter().map(|lot| u64::from(lot.items)).sum();
    if items > u64::from(MAX_JOB_ITEMS) {
        let message = format!("the job has {items} items, and {MAX_JOB_ITEMS} are allowed");
        return Err(Refusal::not_run(Reason::TooLarge, message));
    }
    Ok(items as u32)
}

fn status_of(manifest: &Manifest, head: &Head) -> JobStatus {
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

/// Turns a failure of the object API into a refusal.
pub fn store_refusal(error: StoreError) -> Refusal {
    let reason = match error {
        StoreError::TooLarge { .. } => Reason::TooLarge,
        _ => Reason::StoreUnavailable,
    };
    Refusal::not_run(reason, error.to_string()).retry_after(STORE_RETRY_AFTER_MS)
}
