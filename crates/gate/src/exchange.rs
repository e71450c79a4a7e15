//! Sends a request to one replica and reads the head of its answer.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use kernel::pause_tolerant;
use log::debug;
use quarantine::PromptPart;
use slots::SlotLease;
use upstream::AnswerHead;
use upstream::Connection;
use upstream::ConnectionPool;
use upstream::ExchangeError;
use upstream::RequestWriter;
use wire::Millis;
use wire::RequestId;

use crate::attempt::SendFailure;
use crate::codec::AnswerMeta;
use crate::codec::ForwardMeta;
use crate::codec::IngressCodec;

/// The most answers to earlier requests that are skipped on one connection.
const MAX_STALE_ANSWERS: u32 = 4;
/// The largest body that is read only to be discarded, so that its connection can be reused.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

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
    let mut connection = match pool.get(replica.address).await {
        Ok(connection) => connection,
        Err(error) => {
            debug!(
                "event=connect_failed id={} replica={} error=\"{error}\"",
                request.id, replica.name
            );
            return Err(SendFailure::Unreachable);
        }
    };
    let forward = ForwardMeta {
        replica: &replica.name,
        deadline_left_ms: outbound.deadline_left_ms,
        last_event: outbound.last_event,
    };
    let mut writer = RequestWriter::new(request.method.as_str(), &request.target);
    codec.write_forwarded_headers(&mut writer, &request.headers, &forward);
    connection.queue_request(writer.finish(&request.body));
    let exchange = read_own_head(&mut connection, codec, request);
    let (head, meta) = match pause_tolerant::timeout(limit, exchange).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            debug!(
                "event=send_failed id={} replica={} error=\"{error}\"",
                request.id, replica.name
            );
            return Err(classify_error(&error));
        }
        Err(_) if !connection.has_sent() => return Err(SendFailure::Unreachable),
        Err(_) => return Err(SendFailure::NoAnswer),
    };
    if meta.is_not_run {
        if connection.read_whole_body(MAX_DISCARDED_BYTES).await.is_ok() {
            pool.put(connection);
        }
        return Err(SendFailure::TurnedAway);
    }
    Ok(ReplicaAnswer { connection, head, meta })
}

/// Reads heads until one belongs to the request, and discards answers to earlier requests.
async fn read_own_head(
    connection: &mut Connection,
    codec: &dyn IngressCodec,
    request: &ClientRequest,
) -> Result<(AnswerHead, AnswerMeta), ExchangeError> {
    for _ in 0..MAX_STALE_ANSWERS {
        let head = connection.read_head(&request.method).await?;
        let meta = codec.decode_answer_head(head.status, &head.headers);
        let is_own = meta.request_id.as_ref().is_none_or(|id| *id == request.id);
        if is_own {
            return Ok((head, meta));
        }
        debug!("event=stale_answer_skipped id={}", request.id);
        connection.read_whole_body(MAX_DISCARDED_BYTES).await?;
    }
    Err(ExchangeError::Malformed("only answers of other requests came"))
}

/// Returns the failure of the request that an error of the connection causes.
pub fn classify_error(error: &ExchangeError) -> SendFailure {
    match error {
        ExchangeError::Connect(_) | ExchangeError::NothingSent => SendFailure::Unreachable,
        ExchangeError::Lost(_) => SendFailure::NoAnswer,
        ExchangeError::Malformed(_) => SendFailure::Garbled,
    }
}
