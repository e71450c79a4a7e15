//! State requests to replicas.

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use gate::IngressCodec;
use http::Method;
use kernel::pause_tolerant;
use log::warn;
use platform::ingress::PlatformIngressCodec;
use slots::client::Probe;
use slots::client::ProbeResult;
use upstream::AnswerHead;
use upstream::ConnectionPool;
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
            let read_announcement = |head: &AnswerHead| {
                let meta = PlatformIngressCodec.decode_answer_head(head.status, &head.headers);
                result.is_leaving = meta.is_leaving;
                result.is_misdirected = meta.is_misdirected;
            };
            let call = pool.call_with_head(
                address,
                &Method::GET,
                request,
                MAX_STATE_BYTES,
                read_announcement,
            );
            let Ok(Ok((_, body))) = pause_tolerant::timeout(STATE_TIMEOUT, call).await else {
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
