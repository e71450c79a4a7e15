//! Items and their results.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// One item of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Item {
    /// The item's id, which is also the id of the request that runs it.
    pub id: Arc<str>,
    /// The path of that request.
    pub path: String,
    /// Its header lines.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Bytes,
    /// The tokens of the prompt and the most tokens of the answer, summed.
    pub tokens: u64,
}

/// What a client hands in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The items.
    pub items: Vec<Item>,
}

impl Submission {
    /// Returns the tokens of all items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).sum()
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The text is the item's whole output.
    Completed,
    /// The item cannot be done, or is not done any more.
    GivenUp,
}

/// One listed result.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Listed {
    /// The item.
    pub item: Arc<str>,
    /// How it ended.
    pub outcome: Outcome,
    /// Its output; empty unless it completed.
    pub text: Arc<str>,
}
