//! Asks replicas whether they answer.

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use http::Method;
use kernel::awake;
use slots::client::Probe;
use upstream::Pool;
use wire::ReplicaRecord;

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
    fn answers(&self, replica: &ReplicaRecord) -> LocalBoxFuture<'static, bool> {
        let pool = self.pool.clone();
        let address = replica.address;
        let request = platform::replica::state_request(&replica.name);
        Box::pin(async move {
            // Idle connections may lead to a life that has ended.
            pool.forget(address);
            let call = pool.call(address, &Method::GET, request, MAX_STATE_BYTES);
            // Any answer says that the replica lives; its state is not what is asked for here.
            matches!(awake::timeout(PATIENCE, call).await, Ok(Ok(_)))
        })
    }
}
