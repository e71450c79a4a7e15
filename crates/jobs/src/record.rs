//! What the store keeps of a job.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use wire::DaemonName;
use wire::Millis;

use crate::item::Listed;
use crate::item::Submission;
use crate::progress::SavedProgress;

/// The kind of job records.
pub const JOB_KIND: &str = "jobs";
/// The kind of inputs that do not fit into their job's record.
pub const INPUT_KIND: &str = "job-inputs";
/// The kind of results that do not fit into their job's record.
pub const RESULTS_KIND: &str = "job-results";

/// The part of an object that inputs may take, in percent; the results need the rest.
const INPUT_PERCENT: usize = 40;
/// The part of an object that one part of an input or of results may take, in percent.
const PART_PERCENT: usize = 85;

/// The part of an object that the progress of unfinished items may take, in percent; it lies in what
/// inputs and results leave.
const PROGRESS_PERCENT: usize = 8;

/// One life of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Home {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its incarnation.
    pub incarnation: u64,
}

/// The value of a job's record; it never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The daemon that accepted the job.
    pub home: Home,
    /// The host of the job's route.
    pub host: String,
    /// The path under which the job was handed in.
    pub path: String,
    /// When it was handed in.
    pub submitted_unix_ms: Millis,
    /// The input, encoded; empty if it lies in parts.
    pub input: String,
    /// The number of parts that the input lies in.
    #[serde(default)]
    pub input_parts: usize,
}

/// The status of a job's record, written by its home.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's home.
    pub home: Home,
    /// Whether the client ended the job.
    #[serde(default)]
    pub is_ended: bool,
    /// The parts that the first results lie in.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub result_parts: Vec<ResultPart>,
    /// The results after those.
    #[serde(default)]
    pub results: Vec<Listed>,
    /// The output of items that are not listed yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<SavedProgress>,
}

/// An object of its own that holds some of a job's results.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResultPart {
    /// The object's name, which no other write has.
    pub name: String,
    /// The number of results in it.
    pub count: usize,
}

/// Why a record cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadRecord {
    /// What is wrong with it.
    pub message: String,
}

impl fmt::Display for BadRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for BadRecord {}

impl JobRecord {
    /// Decodes a record's value.
    pub fn decode(json: &[u8]) -> Result<Self, BadRecord> {
        serde_json::from_slice(json).map_err(bad)
    }
}

impl JobStatus {
    /// Returns the number of results that it lists, those in parts included.
    pub fn count(&self) -> usize {
        count_in_parts(&self.result_parts) + self.results.len()
    }

    /// Decodes a record's status.
    pub fn decode(json: &[u8]) -> Result<Self, BadRecord> {
        serde_json::from_slice(json).map_err(bad)
    }
}

/// Encodes a value or a part as JSON.
pub fn to_json<T: Serialize>(value: &T) -> Result<Bytes, BadRecord> {
    serde_json::to_vec(value).map(Bytes::from).map_err(bad)
}

/// Encodes an input as text.
pub fn encode_input(submission: &Submission) -> Result<String, BadRecord> {
    postcard::to_allocvec(submission).map(|bytes| STANDARD.encode(bytes)).map_err(bad)
}

/// Decodes an input.
pub fn decode_input(text: &str) -> Result<Submission, BadRecord> {
    let bytes = STANDARD.decode(text).map_err(bad)?;
    postcard::from_bytes(&bytes).map_err(bad)
}

/// Returns whether an encoded input fits into its job's record.
pub fn input_fits(text: &str, max_object_bytes: usize) -> bool {
    text.len() <= max_object_bytes * INPUT_PERCENT / 100
}

/// Splits an encoded input into parts that fit into one object each.
pub fn split_input(text: &str, max_object_bytes: usize) -> Vec<&str> {
    let size = (max_object_bytes * PART_PERCENT / 100).max(1);
    let mut rest = text;
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let (part, tail) = rest.split_at(size.min(rest.len()));
        parts.push(part);
        rest = tail;
    }
    parts
}

/// Returns how many of the first results must lie in a part, so that the rest fits beside
/// `value_bytes` of input; 0 if all of them fit.
pub fn overflow(results: &[Listed], value_bytes: usize, max_object_bytes: usize) -> usize {
    let room = (max_object_bytes * PART_PERCENT / 100).saturating_sub(value_bytes);
    let size = |listed: &Listed| encoded_bytes(&listed.text);
    let total: usize = results.iter().map(size).sum();
    if total <= room {
        return 0;
    }
    let limit = max_object_bytes * PART_PERCENT / 100;
    let mut sum = 0;
    let fitting = results.iter().take_while(|listed| {
        sum += size(listed);
        sum <= limit
    });
    fitting.count().max(1)
}

/// Returns the bytes that an item takes in a record with the output `text`, escapes and names included.
pub fn encoded_bytes(text: &str) -> usize {
    text.len() + text.len() / 8 + 128
}

/// Returns the bytes that the progress of unfinished items may take in a job's record.
pub fn progress_room(max_object_bytes: usize) -> usize {
    max_object_bytes * PROGRESS_PERCENT / 100
}

/// Returns the number of results in parts.
pub fn count_in_parts(parts: &[ResultPart]) -> usize {
    parts.iter().map(|part| part.count).sum()
}

/// Returns the name of one part of a job's input; whoever accepts the job writes the same parts.
pub fn input_part_name(job: &str, part: usize) -> String {
    format!("{job}.{part}")
}

/// Returns the name of a part of a job's results, of which a life of a daemon writes each only once.
pub fn result_part_name(job: &str, home: &Home, number: u64) -> String {
    format!("{job}.{}.{}.{number}", home.daemon, home.incarnation)
}

fn bad(error: impl fmt::Display) -> BadRecord {
    BadRecord { message: error.to_string() }
}
