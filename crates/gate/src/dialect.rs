//! How requests and answers are spelled; the adapter of a platform implements it.

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::request::Parts;
use upstream::RequestWriter;
use wire::Millis;
use wire::ReplicaName;
use wire::RequestId;

/// What the head of a request says of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMeta {
    /// The id of this attempt of the client.
    pub id: RequestId,
    /// How long the client waits, from the moment at which it sent the request.
    pub deadline_ms: Option<Millis>,
    /// The last event that the client already has of a stream that it resumes.
    pub last_event: Option<u64>,
    /// The most tokens that the answer may have, for requests to model engines.
    pub max_output_tokens: Option<u64>,
}

/// Why a head cannot be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadHead {
    /// A sentence that the client can act on.
    pub message: &'static str,
}

/// What is added to a request on its way to a replica.
#[derive(Clone, Debug)]
pub struct ForwardMeta<'a> {
    /// The incarnation that must run the request; any other one refuses it.
    pub replica: &'a ReplicaName,
    /// How long the replica may take.
    pub deadline_left_ms: Option<Millis>,
    /// The event after which a stream is to go on.
    pub last_event: Option<u64>,
}

/// What the head of a replica's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMeta {
    /// The request that the answer belongs to, if it says so.
    pub request_id: Option<RequestId>,
    /// Whether the replica states that it has not run the request.
    pub is_not_run: bool,
    /// Whether the answer is signed by a replica.
    pub is_signed: bool,
}

/// A call about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Reads results from a position on.
    Results {
        /// The job.
        job: String,
        /// The first position.
        after: usize,
        /// How long the call may wait for a result.
        wait_ms: Millis,
    },
    /// Reads the body of one item.
    ItemBody {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// Ends the job.
    End {
        /// The job.
        job: String,
    },
    /// No call that this daemon knows.
    Unknown,
}

/// The spelling of requests, answers and calls about jobs.
pub trait IngressDialect {
    /// Decodes the head of a client's request.
    fn request_meta(&self, headers: &HeaderMap) -> Result<RequestMeta, BadHead>;

    /// Writes the header lines of a request to a replica, the client's own ones included.
    fn write_forward(&self, writer: &mut RequestWriter, headers: &HeaderMap, meta: &ForwardMeta);

    /// Decodes the head of a replica's answer.
    fn answer_meta(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMeta;

    /// Decodes a call about a job, or returns `None` for requests that are routed.
    fn job_call(&self, parts: &Parts) -> Option<JobCall>;

    /// Encodes the body of a refusal.
    fn refusal_body(&self, message: &str) -> Bytes;
}
