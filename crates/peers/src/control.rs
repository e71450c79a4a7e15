//! Control calls between daemons over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use budget::Budget;
use budget::Kind;
use bytes::Bytes;
use http::Method;
use http::StatusCode;
use tokio::time::timeout;
use upstream::ConnectionPool;
use upstream::RequestWriter;

/// How long an idle connection to a daemon is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout of a connect to a daemon; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The size limit of an answer, enough for a job's record and its framing.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerCallError {
    /// The request was not sent.
    NotSent,
    /// The outcome is unknown: the peer may have executed the request.
    Unknown,
}

/// The client for the control addresses of other daemons.
pub struct ControlClient {
    pool: ConnectionPool,
}

impl Default for ControlClient {
    fn default() -> Self {
        Self { pool: ConnectionPool::new(IDLE_TIMEOUT, CONNECT_TIMEOUT) }
    }
}

impl ControlClient {
    /// Creates a client whose answers count towards `budget`.
    pub fn with_budget(budget: Arc<Budget>) -> Self {
        let kind = Kind::PeerCalls;
        Self { pool: ConnectionPool::with_budget(IDLE_TIMEOUT, CONNECT_TIMEOUT, budget, kind) }
    }

    /// Calls a peer and returns the status and the complete body of its answer.
    pub async fn call(
        &self,
        peer: SocketAddr,
        method: Method,
        target: &str,
        body: &[u8],
        call_timeout: Duration,
    ) -> Result<(StatusCode, Bytes), PeerCallError> {
        let mut writer = RequestWriter::new(method.as_str(), target);
        writer.header("host", peer.to_string());
        let request = writer.finish(body);
        let exchange = self.pool.call(peer, &method, request, MAX_ANSWER_BYTES);
        match timeout(call_timeout, exchange).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) if error.is_not_sent() => Err(PeerCallError::NotSent),
            Ok(Err(_)) => Err(PeerCallError::Unknown),
            Err(_) => {
                self.pool.close_idle(peer);
                Err(PeerCallError::Unknown)
            }
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        self.pool.close_expired();
    }
}
