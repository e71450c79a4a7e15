//! Claims of idempotency keys: an online request with a key runs at most once, and a resend gets the
//! answer of the first run.
//!
//! A key is claimed by a conditional create in the store before the request is dispatched. The claim
//! therefore holds at whichever daemon a resend arrives, even if the first daemon is lost.

use std::sync::Arc;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
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

/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Longest answer that is stored for resends.
const MAX_STORED_ANSWER_BYTES: usize = 512 << 10;
/// Retry delay suggested while the first request may still run or the store is unavailable.
const UNKNOWN_RETRY_AFTER_MS: Millis = 1_000;

/// Stored record of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    request_digest: String,
    answer: Option<String>,
    /// The answer in Base64 if it is not UTF-8.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answer_base64: Option<String>,
}

impl ClaimRecord {
    fn new(body: &[u8]) -> Self {
        Self { request_digest: sha256_hex(body), answer: None, answer_base64: None }
    }

    fn set_answer(&mut self, answer: &[u8]) {
        match std::str::from_utf8(answer) {
            Ok(text) => self.answer = Some(text.to_owned()),
            Err(_) => self.answer_base64 = Some(BASE64_STANDARD.encode(answer)),
        }
    }

    /// Returns the answer, or `None` if none is stored or it cannot be decoded.
    fn into_answer(self) -> Option<Bytes> {
        if let Some(text) = self.answer {
            return Some(Bytes::from(text));
        }
        match BASE64_STANDARD.decode(self.answer_base64?) {
            Ok(answer) => Some(Bytes::from(answer)),
            Err(error) => {
                log::warn!("event=answer_malformed error=\"{error}\"");
                None
            }
        }
    }
}

/// Claims idempotency keys in the store.
pub struct Claims {
    store: Arc<Store>,
}

/// Result of claiming a key.
pub enum ClaimOutcome {
    /// The key was free; only the holder of this claim may run the request.
    Run(Claim),
    /// The request ran before and gave this answer.
    Answered(Bytes),
}

/// Exclusive right to run the request with a key.
pub struct Claim {
    store: Arc<Store>,
    key: String,
    record: ClaimRecord,
    version: Version,
}

impl Claims {
    /// Creates the claims on top of the object API.
    pub fn new(store: Arc<Store>) -> Self {
        Self { store }
    }

    /// Claims a key for the request with this body, or returns the answer of its first run.
    pub async fn claim(
        &self,
        org: &OrgName,
        key: &str,
        body: &[u8],
    ) -> Result<ClaimOutcome, Refusal> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let message = format!("Idempotency-Key must have 1 to {MAX_KEY_BYTES} bytes");
            return Err(Refusal::not_run(Reason::BadRequest, message));
        }
        let object_key = format!("claims/{org}/{}", sha256_hex(key.as_bytes()));
        let record = ClaimRecord::new(body);
        let put =
            self.store.put_json(CallClass::Claim, &object_key, &record, Version::ABSENT).await;
        match put.map_err(store_unavailable)? {
            PutOutcome::Applied(version) => {
                let store = Arc::clone(&self.store);
                Ok(ClaimOutcome::Run(Claim { store, key: object_key, record, version }))
            }
            PutOutcome::Conflict => self.read_existing(&object_key, &record).await,
        }
    }

    async fn read_existing(
        &self,
        key: &str,
        record: &ClaimRecord,
    ) -> Result<ClaimOutcome, Refusal> {
        let existing = self.store.get_json::<ClaimRecord>(CallClass::Claim, key).await;
        let Some(existing) = existing.map_err(store_unavailable)? else {
            return Err(outcome_unknown("the first request with this key was just refused"));
        };
        if existing.value.request_digest != record.request_digest {
            let message = "the Idempotency-Key was used before with another body";
            return Err(Refusal::not_run(Reason::KeyReused, message));
        }
        match existing.value.into_answer() {
            Some(answer) => Ok(ClaimOutcome::Answered(answer)),
            None => {
                Err(outcome_unknown("the first request with this key runs, or its answer is lost"))
            }
        }
    }
}

impl Claim {
    /// Stores the answer for resends. Answers over the size limit are not stored; a resend is then
    /// told that the outcome is unknown.
    pub async fn store_answer(mut self, answer: &[u8]) {
        if answer.len() > MAX_STORED_ANSWER_BYTES {
            return;
        }
        self.record.set_answer(answer);
        let put =
            self.store.put_json(CallClass::Claim, &self.key, &self.record, self.version).await;
        if let Err(error) = put {
            log::warn!("event=answer_not_kept key={} error=\"{error}\"", self.key);
        }
    }

    /// Deletes the claim of a request that certainly did not run, so that a resend may run.
    pub async fn release(self) {
        if let Err(error) = self.store.delete(CallClass::Claim, &self.key, self.version).await {
            log::warn!("event=claim_not_released key={} error=\"{error}\"", self.key);
        }
    }
}

fn store_unavailable(error: StoreError) -> Refusal {
    // The request was not dispatched, whether or not the claim was written.
    let message = format!("the key could not be claimed: {error}");
    Refusal::not_run(Reason::StoreUnavailable, message).with_retry_after(UNKNOWN_RETRY_AFTER_MS)
}

fn outcome_unknown(message: &str) -> Refusal {
    Refusal::may_have_run(Reason::OutcomeUnknown, message).with_retry_after(UNKNOWN_RETRY_AFTER_MS)
}
