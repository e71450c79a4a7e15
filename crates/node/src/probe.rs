//! State requests to replicas.

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use http::Method;
use kernel::pause_tolerant;
use log::warn;
use slots::client::Probe;
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
    ) -> LocalBoxFuture<'static, Option<ReplicaState>> {
        let pool = self.pool.clone();
        let (name, address) = (replica.name.clone(), replica.address);
        let request = platform::replica::encode_state_request(&name);
        Box::pin(async move {
            if use_new_connection {
                pool.close_idle(address);
            }
            let call = pool.call(address, &Method::GET, request, MAX_STATE_BYTES);
            let Ok(Ok((_, body))) = pause_tolerant::timeout(STATE_TIMEOUT, call).await else {
                pool.close_idle(address);
                return None;
            };
            // Any answer shows that the replica is alive, even one without a readable state.
            let state = platform::replica::decode_state(&body).unwrap_or_else(|error| {
                warn!("event=replica_state_unreadable replica={name} error=\"{error}\"");
                ReplicaState::default()
            });
            Some(state)
        })
    }
}
