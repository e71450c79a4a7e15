//! Asks replicas for their state.

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use http::Method;
use kernel::awake;
use log::warn;
use slots::client::Probe;
use upstream::Pool;
use wire::ReplicaRecord;
use wire::ReplicaState;

/// How long a replica may take; the call needs no slot and takes a few milliseconds.
const PATIENCE: Duration = Duration::from_millis(250);
/// The largest state that is read, in bytes.
const MAX_STATE_BYTES: usize = 256 << 10;

/// Asks replicas for their state.
pub struct StateProbe {
    /// Connections to replicas.
    pub pool: Rc<Pool>,
}

impl Probe for StateProbe {
    fn fetch_state(
        &self,
        replica: &ReplicaRecord,
        use_new_connection: bool,
    ) -> LocalBoxFuture<'static, Option<ReplicaState>> {
        let pool = self.pool.clone();
        let (name, address) = (replica.name.clone(), replica.address);
        let request = platform::replica::state_request(&name);
        Box::pin(async move {
            if use_new_connection {
                pool.forget(address);
            }
            let call = pool.call(address, &Method::GET, request, MAX_STATE_BYTES);
            let Ok(Ok((_, body))) = awake::timeout(PATIENCE, call).await else {
                pool.forget(address);
                return None;
            };
            // Any answer says that the replica lives, also one that holds no numbers.
            let state = platform::replica::decode_state(&body).unwrap_or_else(|error| {
                warn!("event=replica_state_unreadable replica={name} error=\"{error}\"");
                ReplicaState::default()
            });
            Some(state)
        })
    }
}
