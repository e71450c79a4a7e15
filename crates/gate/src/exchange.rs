//! Sends a request to one replica and reads the head of its answer.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::header;
use kernel::pause_tolerant;
use log::debug;
use log::info;
use quarantine::PromptPart;
use quarantine::RequestFingerprint;
use slots::SlotLease;
use upstream::AnswerHead;
use upstream::Connection;
use upstream::ConnectionPool;
use upstream::ExchangeError;
use upstream::RequestWriter;
use wire::Millis;
use wire::RequestId;

use crate::attempt::SendFailure;
use crate::caller::ApiKey;
use crate::caller::Caller;
use crate::codec::AnswerMeta;
use crate::codec::ForwardMeta;
use crate::codec::IngressCodec;
use crate::ownership;
use crate::ownership::ConnectionHistory;
use crate::ownership::Ownership;

/// The most answers to earlier requests that are skipped on one connection.
const MAX_STALE_ANSWERS: u32 = 4;
/// The largest body that is read only to be discarded, so that its connection can be reused.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// How long the body of a refusal may take, which usually arrives together with its head.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// A request of a client, kept as long as it may be sent again.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and the query.
    pub target: String,
    /// The headers as the client sent them.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The id of this attempt of the client.
    pub id: RequestId,
    /// The parts of the prompt that other requests may share.
    pub prompt_parts: Vec<PromptPart>,
    /// Whether it is an item of a job, which is never quarantined by itself.
    pub is_item: bool,
    /// The sender; for an item, of the job's submission.
    pub caller: Caller,
    /// The key that the sender sent; absent for an item.
    pub key: Option<ApiKey>,
}

impl ClientRequest {
    /// Returns a hash of what stays the same when the client sends the request again: the method,
    /// the host, the target, the body, and the caller's organisation or credentials.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let header =
            |name: HeaderName| self.headers.get(name).map_or(&b""[..], HeaderValue::as_bytes);
        let caller = match self.caller.organisation() {
            Some(organisation) => organisation.as_str().as_bytes(),
            None => header(header::AUTHORIZATION),
        };
        RequestFingerprint::of_fields(&[
            self.method.as_str().as_bytes(),
            header(header::HOST),
            self.target.as_bytes(),
            &self.body,
            caller,
        ])
    }
}

/// A replica's answer whose head has been read and whose body has not.
pub struct ReplicaAnswer {
    /// The connection from which the body is read.
    pub connection: Connection,
    /// The head of the answer.
    pub head: AnswerHead,
    /// The decoded headers that concern the request.
    pub meta: AnswerMeta,
}

/// A request on its way to one replica.
pub struct OutboundRequest<'a> {
    /// The request of the client.
    pub request: &'a ClientRequest,
    /// The slot at the replica, which also names the replica.
    pub lease: &'a SlotLease,
    /// How long the replica may take; unlimited if `None`.
    pub deadline_left_ms: Option<Millis>,
    /// The event after which the replica resumes a stream.
    pub last_event: Option<u64>,
}

/// Sends a request and waits up to `limit` for the head of its answer.
pub async fn send(
    pool: &ConnectionPool,
    codec: &dyn IngressCodec,
    outbound: &OutboundRequest<'_>,
    limit: Duration,
) -> Result<ReplicaAnswer, SendFailure> {
    let request = outbound.request;
    let replica = &outbound.lease.replica;
    let mut connection = match pool.get_for_request(replica.address, request.id.as_str()).await {
        Ok(connection) => connection,
        Err(error) => {
            debug!(
                "event=connect_failed id={} replica={} error=\"{error}\"",
                request.id, replica.name
            );
            return Err(SendFailure::Unreachable);
        }
    };
    if !outbound.lease.is_usable() {
        pool.put(connection);
        return Err(SendFailure::ReplicaLeaving);
    }
    let forward = ForwardMeta {
        replica: &replica.name,
        deadline_left_ms: outbound.deadline_left_ms,
        last_event: outbound.last_event,
        caller: &request.caller,
    };
    let mut writer = RequestWriter::new(request.method.as_str(), &request.target);
    codec.write_forwarded_headers(&mut writer, &request.headers, &forward);
    let history = ConnectionHistory {
        is_reused: connection.has_carried_requests(),
        has_same_id: connection.has_carried(request.id.as_str()),
    };
    let head = writer.finish_head(request.body.len());
    connection.queue_request_with_id(head, request.body.clone(), request.id.as_str());
    let exchange = read_own_head(&mut connection, codec, outbound, history);
    let (head, meta) = match pause_tolerant::timeout(limit, exchange).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            debug!(
                "event=send_failed id={} replica={} error=\"{error}\"",
                request.id, replica.name
            );
            return Err(classify_and_log(request, &error));
        }
        Err(_) if !connection.has_sent() => return Err(SendFailure::Unreachable),
        Err(_) => return Err(SendFailure::NoAnswer),
    };
    if meta.is_not_run {
        let discarded = connection.read_whole_body(MAX_DISCARDED_BYTES);
        match pause_tolerant::timeout(DISCARD_TIMEOUT, discarded).await {
            Ok(Ok(_)) => pool.put(connection),
            Ok(Err(error)) => {
                debug!("event=refusal_not_discarded id={} error=\"{error}\"", request.id);
            }
            Err(_) => info!(
                "event=connection_closed id={} peer={} reason=\"the body of a refusal did not end\"",
                request.id,
                connection.peer()
            ),
        }
        return Err(SendFailure::TurnedAway);
    }
    if head.headers.contains_key(header::CONTENT_ENCODING) {
        log_rejected(request, "the body has a coding, and clients ask for none");
        return Err(SendFailure::Garbled);
    }
    if head.status.is_success() && !meta.is_signed {
        log_rejected(request, "the success is not signed");
        return Err(SendFailure::Garbled);
    }
    Ok(ReplicaAnswer { connection, head, meta })
}

/// Reads heads until one belongs to the request, and discards answers to earlier requests.
///
/// A connection with such an answer is not reused, since more of them may follow.
async fn read_own_head(
    connection: &mut Connection,
    codec: &dyn IngressCodec,
    outbound: &OutboundRequest<'_>,
    history: ConnectionHistory,
) -> Result<(AnswerHead, AnswerMeta), ExchangeError> {
    let request = outbound.request;
    for _ in 0..MAX_STALE_ANSWERS {
        let head = connection.read_head(&request.method).await?;
        let meta = codec.decode_answer_head(head.status, &head.headers);
        if meta.is_leaving {
            outbound.lease.record_leaving(meta.is_misdirected);
        }
        match ownership::of_answer(&meta, &request.id, history) {
            Ownership::Own => return Ok((head, meta)),
            Ownership::Unknown => {
                return Err(ExchangeError::Malformed("the refusal has no request id"));
            }
            Ownership::Earlier => {}
        }
        info!(
            "event=stale_answer_skipped id={} peer={} status={} not_run={}",
            request.id,
            connection.peer(),
            head.status.as_u16(),
            meta.is_not_run
        );
        connection.close_after_answer();
        connection.read_whole_body(MAX_DISCARDED_BYTES).await?;
    }
    Err(ExchangeError::Malformed("only answers of other requests came"))
}

/// Logs that the answer of a replica is not passed on.
pub fn log_rejected(request: &ClientRequest, reason: &str) {
    info!("event=answer_rejected id={} reason=\"{reason}\"", request.id);
}

/// Returns the failure of the request that an error of the connection causes, and logs why an answer
/// is rejected.
fn classify_and_log(request: &ClientRequest, error: &ExchangeError) -> SendFailure {
    let failure = classify_error(error);
    if failure == SendFailure::Garbled {
        log_rejected(request, &error.to_string());
    }
    failure
}

fn classify_error(error: &ExchangeError) -> SendFailure {
    match error {
        ExchangeError::Connect(_) | ExchangeError::NothingSent => SendFailure::Unreachable,
        ExchangeError::Lost(_) => SendFailure::NoAnswer,
        ExchangeError::Malformed(_) | ExchangeError::OverLimit(_) => SendFailure::Garbled,
        ExchangeError::NoMemory => SendFailure::NoMemory,
    }
}

/// Returns the failure of the request that an error inside the body of its answer causes, and logs why
/// the answer is rejected.
pub fn classify_body_error(request: &ClientRequest, error: &ExchangeError) -> SendFailure {
    match classify_and_log(request, error) {
        failure @ (SendFailure::Garbled | SendFailure::NoMemory) => failure,
        _ => SendFailure::BrokenOff,
    }
}
