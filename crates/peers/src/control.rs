//! Calls between daemons over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use tokio::time::timeout;
use upstream::Pool;
use upstream::RequestWriter;

/// How long an idle connection to a daemon is kept.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// The longest wait for a connection to a daemon; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The largest answer, in bytes: a job's record and its frame.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerFault {
    /// The peer got nothing.
    NotSent,
    /// The peer may have done what it was asked.
    Unknown,
}

/// The client of the control addresses.
pub struct ControlClient {
    pool: Pool,
}

impl Default for ControlClient {
    fn default() -> Self {
        Self { pool: Pool::new(MAX_IDLE, CONNECT_TIMEOUT) }
    }
}

impl ControlClient {
    /// Calls a peer and reads the whole answer.
    pub async fn call(
        &self,
        peer: SocketAddr,
        method: Method,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), PeerFault> {
        let mut writer = RequestWriter::new(method.as_str(), target);
        writer.header("host", peer.to_string());
        let request = writer.finish(body);
        let exchange = self.pool.call(peer, &method, request, MAX_ANSWER_BYTES);
        match timeout(limit, exchange).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(fault)) if fault.is_not_sent() => Err(PeerFault::NotSent),
            Ok(Err(_)) => Err(PeerFault::Unknown),
            Err(_) => {
                self.pool.forget(peer);
                Err(PeerFault::Unknown)
            }
        }
    }

    /// Closes idle connections whose time is over.
    pub fn sweep(&self) {
        self.pool.sweep();
    }
}
