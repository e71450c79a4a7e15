//! Content digests and identifiers derived from them.

use sha2::Digest;
use sha2::Sha256;

use crate::name::JobId;
use crate::name::OrgName;

/// Returns the SHA-256 of `bytes` as lower-case hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// Returns the job id for an organisation's job key; a resend with the same key gets the same id.
pub fn job_id(org: &OrgName, job_key: &str) -> JobId {
    let text = format!("{}\n{}\n{job_key}", org.as_str().len(), org);
    JobId::from(&sha256_hex(text.as_bytes())[..JOB_ID_HEX_DIGITS])
}

/// The length of a job id in hexadecimal digits.
const JOB_ID_HEX_DIGITS: usize = 32;
