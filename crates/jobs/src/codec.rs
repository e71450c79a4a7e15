//! The encoding of jobs on the wire, implemented by the adapter of a platform.

use bytes::Bytes;
use http::HeaderMap;

use crate::item::Item;
use crate::item::ItemResult;
use crate::item::Submission;

/// The reason why a submission is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSubmission {
    /// A description of the fault, for the client.
    pub message: String,
}

/// Decodes submissions and encodes results and item requests of one platform.
pub trait JobCodec {
    /// Decodes the body of a submission.
    fn decode_submission(&self, body: &Bytes) -> Result<Submission, InvalidSubmission>;

    /// Encodes a page of results; `next` is the position after the last of them.
    fn encode_results(&self, total: usize, next: usize, results: &[ItemResult]) -> Bytes;

    /// Returns the headers of the request that runs an item.
    fn encode_item_headers(&self, item: &Item, host: &str) -> HeaderMap;
}
