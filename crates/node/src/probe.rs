//! State requests to replicas.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use gate::IngressCodec;
use http::Method;
use kernel::pause_tolerant;
use log::info;
use log::warn;
use platform::ingress::PlatformIngressCodec;
use slots::client::Probe;
use slots::client::ProbeResult;
use upstream::AnswerHead;
use upstream::ConnectionPool;
use upstream::ExchangeError;
use wire::ReplicaRecord;
use wire::ReplicaState;

/// The timeout of a state request, which needs no slot and takes a few milliseconds.
const STATE_TIMEOUT: Duration = Duration::from_millis(250);
/// The size limit of a state.
const MAX_STATE_BYTES: usize = 256 << 10;

/// Requests the state of replicas.
pub struct StateProbe {
    /// The pool of connections to replicas.
    pub pool: Rc<ConnectionPool>,
}

impl Probe for StateProbe {
    fn fetch_state(
        &self,
        replica: &ReplicaRecord,
        use_new_connection: bool,
    ) -> LocalBoxFuture<'static, ProbeResult> {
        let pool = self.pool.clone();
        let (name, address) = (replica.name.clone(), replica.address);
        let request = platform::replica::encode_state_request(&name);
        Box::pin(async move {
            if use_new_connection {
                pool.close_idle(address);
            }
            let mut result = ProbeResult::default();
            let fetching = fetch_own_state(&pool, address, request, &mut result);
            let Ok(Ok(body)) = pause_tolerant::timeout(STATE_TIMEOUT, fetching).await else {
                pool.close_idle(address);
                return result;
            };
            // Any answer shows that the replica is alive, even one without a readable state.
            let state = platform::replica::decode_state(&body).unwrap_or_else(|error| {
                warn!("event=replica_state_unreadable replica={name} error=\"{error}\"");
                ReplicaState::default()
            });
            ProbeResult { state: Some(state), ..result }
        })
    }
}

/// Requests the state, again on a new connection if the answer belongs to an earlier request on an
/// idle one, and records what the heads announce.
async fn fetch_own_state(
    pool: &ConnectionPool,
    address: SocketAddr,
    request: Bytes,
    result: &mut ProbeResult,
) -> Result<Bytes, ExchangeError> {
    let is_own = Cell::new(true);
    let mut read_announcement = |head: &AnswerHead| {
        let meta = PlatformIngressCodec.decode_answer_head(head.status, &head.headers);
        result.is_leaving |= meta.is_leaving;
        result.is_misdirected |= meta.is_misdirected;
        // A state request has no id that its answer could repeat.
        is_own.set(meta.request_id.is_none());
    };
    let method = Method::GET;
    let call = pool.call_with_head(
        address,
        &method,
        request.clone(),
        MAX_STATE_BYTES,
        &mut read_announcement,
    );
    let (_, body) = call.await?;
    if is_own.get() {
        return Ok(body);
    }
    info!("event=stale_state_skipped peer={address}");
    pool.close_idle(address);
    let call =
        pool.call_with_head(address, &method, request, MAX_STATE_BYTES, &mut read_announcement);
    call.await.map(|(_, body)| body)
}
