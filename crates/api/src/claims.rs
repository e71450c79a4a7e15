//! Online requests with a caller's key: at most one run, and the first answer for a resend.
//!
//! The claim is one conditional create before the request is dispatched, so it holds whichever
//! daemon the resend reaches and whatever happens to the first one.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use store::CallClass;
use store::PutOutcome;
use store::Store;
use store::StoreError;
use wire::Millis;
use wire::OrgName;
use wire::Reason;
use wire::Refusal;
use wire::Version;
use wire::digest::sha256_hex;

/// The longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The longest answer that is kept, in bytes.
const MAX_ANSWER_BYTES: usize = 512 << 10;
/// The wait suggested while the first request may still run.
const UNKNOWN_RETRY_AFTER_MS: Millis = 1_000;

/// The durable claim of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    request_digest: String,
    answer: Option<String>,
}

/// The claims of keyed requests.
pub struct Claims {
    store: Arc<Store>,
}

/// What a claim says to a request.
pub enum Claimed {
    /// The request may run now, and nowhere else.
    Run(Claim),
    /// The request ran before; this was its answer.
    Answered(String),
}

/// The right to run a keyed request.
pub struct Claim {
    store: Arc<Store>,
    key: String,
    record: ClaimRecord,
    version: Version,
}

impl Claims {
    /// Creates the claims over the object API.
    pub fn new(store: Arc<Store>) -> Self {
        Self { store }
    }

    /// Claims a key for a request with this body.
    pub async fn claim(&self, org: &OrgName, key: &str, body: &[u8]) -> Result<Claimed, Refusal> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let message = format!("Idempotency-Key must have 1 to {MAX_KEY_BYTES} bytes");
            return Err(Refusal::not_run(Reason::BadRequest, message));
        }
        let object_key = format!("claims/{org}/{}", sha256_hex(key.as_bytes()));
        let record = ClaimRecord { request_digest: sha256_hex(body), answer: None };
        let put =
            self.store.put_json(CallClass::Claim, &object_key, &record, Version::ABSENT).await;
        match put.map_err(unavailable)? {
            PutOutcome::Applied(version) => {
                let store = Arc::clone(&self.store);
                Ok(Claimed::Run(Claim { store, key: object_key, record, version }))
            }
            PutOutcome::Conflict => self.read_first(&object_key, &record).await,
        }
    }

    async fn read_first(&self, key: &str, record: &ClaimRecord) -> Result<Claimed, Refusal> {
        let known = self.store.get_json::<ClaimRecord>(CallClass::Claim, key).await;
        let Some(known) = known.map_err(unavailable)? else {
            return Err(unknown("the first request with this key was just refused"));
        };
        if known.value.request_digest != record.request_digest {
            let message = "the Idempotency-Key was used before with another body";
            return Err(Refusal::not_run(Reason::KeyReused, message));
        }
        match known.value.answer {
            Some(answer) => Ok(Claimed::Answered(answer)),
            None => Err(unknown("the first request with this key runs, or its answer is lost")),
        }
    }
}

impl Claim {
    /// Keeps the answer for resends; without it a resend is told that the outcome is unknown.
    pub async fn keep_answer(mut self, answer: String) {
        if answer.len() > MAX_ANSWER_BYTES {
            return;
        }
        self.record.answer = Some(answer);
        let put =
            self.store.put_json(CallClass::Claim, &self.key, &self.record, self.version).await;
        if let Err(error) = put {
            log::warn!("event=answer_not_kept key={} error=\"{error}\"", self.key);
        }
    }

    /// Gives the claim up, since the request was certainly not run.
    pub async fn release(self) {
        if let Err(error) = self.store.delete(CallClass::Claim, &self.key, self.version).await {
            log::warn!("event=claim_not_released key={} error=\"{error}\"", self.key);
        }
    }
}

fn unavailable(error: StoreError) -> Refusal {
    // The request itself is not dispatched, whether or not the claim took effect.
    let message = format!("the key could not be claimed: {error}");
    Refusal::not_run(Reason::StoreUnavailable, message).with_retry_after(UNKNOWN_RETRY_AFTER_MS)
}

fn unknown(message: &str) -> Refusal {
    Refusal::may_have_run(Reason::OutcomeUnknown, message).with_retry_after(UNKNOWN_RETRY_AFTER_MS)
}
