//! One send of a request to one replica, up to the head of its answer.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use kernel::awake;
use log::debug;
use slots::SlotLease;
use upstream::AnswerHead;
use upstream::Connection;
use upstream::Fault;
use upstream::Pool;
use upstream::RequestWriter;
use wire::Millis;
use wire::RequestId;

use crate::attempt::Failure;
use crate::dialect::AnswerMeta;
use crate::dialect::ForwardMeta;
use crate::dialect::IngressDialect;

/// Answers of earlier requests that are skipped on one connection.
const MAX_CROSSED: u32 = 4;
/// The largest body of an answer that is read only to be skipped, in bytes.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// A client's request, kept for as long as it may be sent again.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The header lines as the client sent them.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The id of this attempt of the client.
    pub id: RequestId,
}

/// An answer whose head was read.
pub struct Answer {
    /// The connection on which the body follows.
    pub connection: Connection,
    /// The head.
    pub head: AnswerHead,
    /// What the head says.
    pub meta: AnswerMeta,
}

/// One send.
pub struct Send<'a> {
    /// The request.
    pub request: &'a ClientRequest,
    /// The slot at the replica.
    pub lease: &'a SlotLease,
    /// How long the replica may take; as long as it likes without.
    pub deadline_left_ms: Option<Millis>,
    /// The event after which a stream is to go on.
    pub last_event: Option<u64>,
}

/// Sends a request and waits for the head of its own answer.
pub async fn send(
    pool: &Pool,
    dialect: &dyn IngressDialect,
    send: &Send<'_>,
    limit: Duration,
) -> Result<Answer, Failure> {
    let request = send.request;
    let replica = &send.lease.replica;
    let mut connection = match pool.get(replica.address).await {
        Ok(connection) => connection,
        Err(fault) => {
            debug!(
                "event=connect_failed id={} replica={} error=\"{fault}\"",
                request.id, replica.name
            );
            return Err(Failure::Unreachable);
        }
    };
    let forward = ForwardMeta {
        replica: &replica.name,
        deadline_left_ms: send.deadline_left_ms,
        last_event: send.last_event,
    };
    let mut writer = RequestWriter::new(request.method.as_str(), &request.target);
    dialect.write_forward(&mut writer, &request.headers, &forward);
    connection.begin(writer.finish(&request.body));
    let exchange = own_head(&mut connection, dialect, request);
    let (head, meta) = match awake::timeout(limit, exchange).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(fault)) => {
            debug!(
                "event=send_failed id={} replica={} error=\"{fault}\"",
                request.id, replica.name
            );
            return Err(failure_of(&fault));
        }
        Err(_) if !connection.has_sent() => return Err(Failure::Unreachable),
        Err(_) => return Err(Failure::NoAnswer),
    };
    if meta.is_not_run {
        if connection.read_whole_body(MAX_SKIPPED_BYTES).await.is_ok() {
            pool.put(connection);
        }
        return Err(Failure::TurnedAway);
    }
    Ok(Answer { connection, head, meta })
}

/// Reads heads until one belongs to the request.
async fn own_head(
    connection: &mut Connection,
    dialect: &dyn IngressDialect,
    request: &ClientRequest,
) -> Result<(AnswerHead, AnswerMeta), Fault> {
    for _ in 0..MAX_CROSSED {
        let head = connection.read_head(&request.method).await?;
        let meta = dialect.answer_meta(head.status, &head.headers);
        let is_own = meta.request_id.as_ref().is_none_or(|id| *id == request.id);
        if is_own {
            return Ok((head, meta));
        }
        debug!("event=crossed_answer_skipped id={}", request.id);
        connection.read_whole_body(MAX_SKIPPED_BYTES).await?;
    }
    Err(Fault::Malformed("only answers of other requests came"))
}

/// Returns what a fault of the connection means for the request.
pub fn failure_of(fault: &Fault) -> Failure {
    match fault {
        Fault::Connect(_) | Fault::NothingSent => Failure::Unreachable,
        Fault::Lost(_) => Failure::NoAnswer,
        Fault::Malformed(_) => Failure::Garbled,
    }
}
