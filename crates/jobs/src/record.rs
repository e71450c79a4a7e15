//! The objects of a job in the store, and their size limits.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use wire::DaemonName;
use wire::Millis;
use wire::OrgName;

use crate::item::ItemResult;
use crate::item::Submission;
use crate::progress::SavedProgress;

/// The object kind of job records.
pub const JOB_KIND: &str = "jobs";
/// The object kind of inputs that do not fit into their job's record.
pub const INPUT_KIND: &str = "job-inputs";
/// The object kind of results that do not fit into their job's record.
pub const RESULTS_KIND: &str = "job-results";

/// The share of the store's object size limit that an input may take, in percent; the results need
/// the rest.
const INPUT_PERCENT: usize = 40;
/// The share of the store's object size limit that one part of an input or of results may take, in
/// percent.
const PART_PERCENT: usize = 85;

/// The share of the store's object size limit that the progress of unfinished items may take, in
/// percent; inputs and results leave it free.
const PROGRESS_PERCENT: usize = 8;

/// The maximum size of the fields of a result, or of saved progress, beside the item's id and text.
const OTHER_FIELDS_BYTES: usize = 128;

/// The maximum number of objects that hold one input; a daemon calls the store for each of them.
const MAX_INPUT_PARTS: usize = 1_000;

/// A daemon at one incarnation, as the home of jobs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Home {
    /// The daemon's name.
    pub daemon: DaemonName,
    /// The daemon's incarnation.
    pub incarnation: u64,
}

/// The value of a job's record, which never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The daemon that accepted the job.
    pub home: Home,
    /// The host of the job's route.
    pub host: String,
    /// The path of the job's submission.
    pub path: String,
    /// When the job was submitted, by the wall clock.
    pub submitted_unix_ms: Millis,
    /// The encoded submission; empty if it is stored in parts.
    pub input: String,
    /// The number of parts that hold the input.
    #[serde(default)]
    pub input_parts: usize,
    /// The organisation that submitted the job, if the configuration had organisations.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrgName>,
}

/// The status of a job's record, written by its home.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's home.
    pub home: Home,
    /// Whether the client ended the job.
    #[serde(default)]
    pub is_ended: bool,
    /// The parts that hold the first results.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub result_parts: Vec<ResultPart>,
    /// The results after those in the parts.
    #[serde(default)]
    pub results: Vec<ItemResult>,
    /// The progress of unfinished items.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<SavedProgress>,
}

/// A separate object that holds some of a job's results.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResultPart {
    /// The object's name, which is unique to one write.
    pub name: String,
    /// The number of results in the object.
    pub count: usize,
}

/// The value of an object that holds results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ResultsObject {
    /// The results.
    Results(Vec<ItemResult>),
    /// One result that is too large for an object, as encoded text in this many others.
    Split {
        /// The number of the objects, named by [`fragment_name`].
        fragments: usize,
    },
}

/// The reason why a record cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordError {
    /// A description of the fault.
    pub message: String,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for RecordError {}

impl JobRecord {
    /// Decodes a record's value.
    pub fn decode(json: &[u8]) -> Result<Self, RecordError> {
        let record: Self = serde_json::from_slice(json).map_err(invalid)?;
        if record.input_parts > MAX_INPUT_PARTS {
            return Err(invalid(format!("the input has {} parts", record.input_parts)));
        }
        Ok(record)
    }
}

impl JobStatus {
    /// Returns the number of results, including those in parts.
    pub fn result_count(&self) -> usize {
        count_in_parts(&self.result_parts).saturating_add(self.results.len())
    }

    /// Decodes a record's status.
    pub fn decode(json: &[u8]) -> Result<Self, RecordError> {
        serde_json::from_slice(json).map_err(invalid)
    }
}

/// Encodes a value or a part as JSON.
pub fn to_json<T: Serialize>(value: &T) -> Result<Bytes, RecordError> {
    serde_json::to_vec(value).map(Bytes::from).map_err(invalid)
}

/// Encodes a submission as text.
pub fn encode_input(submission: &Submission) -> Result<String, RecordError> {
    postcard::to_allocvec(submission).map(|bytes| STANDARD.encode(bytes)).map_err(invalid)
}

/// Decodes a submission.
pub fn decode_input(text: &str) -> Result<Submission, RecordError> {
    let bytes = STANDARD.decode(text).map_err(invalid)?;
    postcard::from_bytes(&bytes).map_err(invalid)
}

/// Encodes a result that is too large for an object as text.
pub fn encode_result(result: &ItemResult) -> Result<String, RecordError> {
    postcard::to_allocvec(result).map(|bytes| STANDARD.encode(bytes)).map_err(invalid)
}

/// Decodes a result from its text.
pub fn decode_result(text: &str) -> Result<ItemResult, RecordError> {
    let bytes = STANDARD.decode(text).map_err(invalid)?;
    postcard::from_bytes(&bytes).map_err(invalid)
}

/// Returns whether an encoded input fits into its job's record.
pub fn input_fits(text: &str, max_object_bytes: usize) -> bool {
    text.len() <= max_object_bytes * INPUT_PERCENT / 100
}

/// Splits an encoded input or result into parts that fit into one object each.
pub fn split_text(text: &str, max_object_bytes: usize) -> Vec<&str> {
    let size = max_part_bytes(max_object_bytes).max(1);
    let mut rest = text;
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let (part, tail) = rest.split_at(size.min(rest.len()));
        parts.push(part);
        rest = tail;
    }
    parts
}

/// Returns how many of the first results must move into a part because all of them do not fit into
/// a record with a value of `value_bytes`; 0 if they fit.
pub fn overflow_count(
    results: &[ItemResult],
    value_bytes: usize,
    max_object_bytes: usize,
) -> usize {
    let limit = max_part_bytes(max_object_bytes);
    let room = limit.saturating_sub(value_bytes);
    let size = |result: &ItemResult| encoded_bytes(&result.item, &result.text);
    let total: usize = results.iter().map(size).sum();
    if total <= room {
        return 0;
    }
    let mut sum = 0;
    let fitting = results.iter().take_while(|result| {
        sum += size(result);
        sum <= limit
    });
    fitting.count().max(1)
}

/// Returns the size of an item with the output `text` in a record: the JSON of both and an upper
/// bound for the other fields.
pub fn encoded_bytes(item: &str, text: &str) -> usize {
    json_string_bytes(item) + json_string_bytes(text) + OTHER_FIELDS_BYTES
}

/// Returns the size of a text as a JSON string.
pub fn json_string_bytes(text: &str) -> usize {
    let escaped = |byte: u8| match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0x00..=0x1f => 6,
        _ => 1,
    };
    text.bytes().map(escaped).sum::<usize>() + 2
}

/// Returns the maximum size of one part of an input or of results, in bytes.
pub fn max_part_bytes(max_object_bytes: usize) -> usize {
    max_object_bytes * PART_PERCENT / 100
}

/// Returns the maximum size of the progress of unfinished items in a job's record, in bytes.
pub fn max_progress_bytes(max_object_bytes: usize) -> usize {
    max_object_bytes * PROGRESS_PERCENT / 100
}

/// Returns the number of results in `parts`.
pub fn count_in_parts(parts: &[ResultPart]) -> usize {
    parts.iter().fold(0, |sum, part| sum.saturating_add(part.count))
}

/// Returns the name of a part of a job's input.
///
/// It does not depend on the daemon: every daemon that accepts the same job writes the same parts.
pub fn input_part_name(job: &str, part: usize) -> String {
    format!("{job}.{part}")
}

/// Returns the name of a part of a job's results.
///
/// It contains the incarnation of the daemon, which uses each number only once.
pub fn result_part_name(job: &str, home: &Home, number: u64) -> String {
    format!("{job}.{}.{}.{number}", home.daemon, home.incarnation)
}

/// Returns the name of an object with a fragment of the result to which a part refers.
pub fn fragment_name(part: &str, fragment: usize) -> String {
    format!("{part}.{fragment}")
}

fn invalid(error: impl fmt::Display) -> RecordError {
    RecordError { message: error.to_string() }
}
