//! Items and their results.

use std::sync::Arc;

use bytes::Bytes;
use http::header;
use serde::Deserialize;
use serde::Serialize;

/// One item of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Item {
    /// The item's id, which is also the id of the request that runs it.
    pub id: Arc<str>,
    /// The path of the request.
    pub path: String,
    /// The headers of the request.
    pub headers: Vec<(String, String)>,
    /// The body of the request.
    pub body: Bytes,
    /// The tokens of the prompt plus the maximum tokens of the answer.
    pub tokens: u64,
}

/// A job as a client submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The items.
    pub items: Vec<Item>,
}

impl Submission {
    /// Removes the credentials in the headers of the items, so that no key gets into the store.
    pub fn remove_credentials(&mut self) {
        for item in &mut self.items {
            let is_kept = |name: &str| !name.eq_ignore_ascii_case(header::AUTHORIZATION.as_str());
            item.headers.retain(|(name, _)| is_kept(name));
        }
    }

    /// Returns the sum of the tokens of all items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().fold(0, |sum, item| sum.saturating_add(item.tokens))
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The item ran to its end; the text is its complete output.
    Completed,
    /// The item cannot succeed or is no longer run: its attempts or retention time are used up, or
    /// its route is gone.
    GivenUp,
}

/// The result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's id.
    pub item: Arc<str>,
    /// How the item ended.
    pub outcome: Outcome,
    /// The item's output; empty unless it was completed.
    pub text: Arc<str>,
}
