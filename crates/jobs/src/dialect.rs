//! How jobs are spelled; the adapter of a platform implements it.

use bytes::Bytes;
use http::HeaderMap;

use crate::item::Item;
use crate::item::Listed;
use crate::item::Submission;

/// Why a submission cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadSubmission {
    /// A sentence that the client can act on.
    pub message: String,
}

/// The spelling of jobs.
pub trait JobDialect {
    /// Decodes what a client hands in.
    fn submission(&self, body: &Bytes) -> Result<Submission, BadSubmission>;

    /// Encodes results; `next` is the position after the last of them.
    fn results(&self, total: usize, next: usize, results: &[Listed]) -> Bytes;

    /// Returns the header lines of the request that runs an item.
    fn item_headers(&self, item: &Item, host: &str) -> HeaderMap;
}
