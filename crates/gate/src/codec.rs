//! The encoding of requests and answers, which the adapter of a platform implements.

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::request::Parts;
use quarantine::PromptPart;
use upstream::RequestWriter;
use wire::Millis;
use wire::ReplicaName;
use wire::RequestId;

use crate::caller::ApiKey;
use crate::caller::Caller;

/// The values in the head of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMeta {
    /// The id of this attempt of the client.
    pub id: RequestId,
    /// How long the client waits, counted from when it sent the request.
    pub deadline_ms: Option<Millis>,
    /// The last event that the client has received of a stream that it resumes.
    pub last_event: Option<u64>,
    /// The maximum number of tokens in the answer of a model engine.
    pub max_output_tokens: Option<u64>,
    /// The parts of the prompt that other requests may share.
    pub prompt_parts: Vec<PromptPart>,
    /// The key with which the client proves its organisation.
    pub key: Option<ApiKey>,
}

/// The error for a request head that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidHead {
    /// A sentence for the client that says what to correct.
    pub message: &'static str,
}

/// The values that are added to the head of a request that is forwarded to a replica.
#[derive(Clone, Debug)]
pub struct ForwardMeta<'a> {
    /// The incarnation that must run the request; any other incarnation refuses it.
    pub replica: &'a ReplicaName,
    /// How long the replica may take.
    pub deadline_left_ms: Option<Millis>,
    /// The event after which the replica resumes a stream.
    pub last_event: Option<u64>,
    /// The sender of the request; unless it is unchecked, its credentials are replaced by the name of
    /// its organisation.
    pub caller: &'a Caller,
}

/// The values in the head of a replica's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMeta {
    /// The id of the request that the answer belongs to, if the head has one.
    pub request_id: Option<RequestId>,
    /// Whether the replica states that it has not run the request.
    pub is_not_run: bool,
    /// Whether the answer is signed by a replica.
    pub is_signed: bool,
    /// Whether the sender of the answer announces that it leaves and must get no new requests.
    pub is_leaving: bool,
    /// Whether the request was addressed to another incarnation than the sender of the answer.
    pub is_misdirected: bool,
}

/// A call of the job API other than a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Reads the results from a position on.
    Results {
        /// The job.
        job: String,
        /// The position of the first result.
        after: usize,
        /// How long the call waits for a result.
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
    /// A call that this daemon does not know.
    Unknown,
}

impl JobCall {
    /// Returns the job that the call names.
    pub fn job(&self) -> Option<&str> {
        match self {
            Self::Results { job, .. } | Self::ItemBody { job, .. } | Self::End { job } => Some(job),
            Self::Unknown => None,
        }
    }
}

/// Decodes and encodes requests, answers and calls about jobs for one platform.
pub trait IngressCodec {
    /// Decodes the head of a client's request.
    fn decode_request_head(&self, headers: &HeaderMap) -> Result<RequestMeta, InvalidHead>;

    /// Decodes the key with which a client proves its organisation.
    fn decode_key(&self, headers: &HeaderMap) -> Option<ApiKey>;

    /// Decodes the parts of a request's prompt that other requests may share.
    fn decode_prompt_parts(&self, headers: &HeaderMap) -> Vec<PromptPart>;

    /// Writes the headers of a request to a replica, including those of the client.
    fn write_forwarded_headers(
        &self,
        writer: &mut RequestWriter,
        headers: &HeaderMap,
        meta: &ForwardMeta,
    );

    /// Decodes the head of a replica's answer.
    fn decode_answer_head(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMeta;

    /// Decodes a call about a job, or returns `None` if the request is to be routed.
    fn decode_job_call(&self, parts: &Parts) -> Option<JobCall>;

    /// Encodes the body of a refusal with a message for the client.
    fn encode_refusal(&self, message: &str) -> Bytes;
}
