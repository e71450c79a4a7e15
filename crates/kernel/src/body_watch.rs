//! Stalled request bodies, whose connections may be closed for new ones.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::connection_table::ConnectionId;
use crate::connection_table::ConnectionTable;
use crate::pause_tolerant;

/// The connection was closed for a new one while the request body stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionEvicted;

/// Reports to the server's table of connections whether a request body has stalled; an extension of
/// each request of a server.
#[derive(Clone)]
pub struct BodyWatch {
    table: Arc<Mutex<ConnectionTable>>,
    id: ConnectionId,
    stall_limit: Duration,
    evicted: CancellationToken,
}

impl BodyWatch {
    /// Creates the watch of a connection's request body, which is stalled once it has brought no byte
    /// for `stall_limit`; `evicted` is cancelled when the connection must end for a new one.
    pub fn new(
        table: Arc<Mutex<ConnectionTable>>,
        id: ConnectionId,
        stall_limit: Duration,
        evicted: CancellationToken,
    ) -> Self {
        Self { table, id, stall_limit, evicted }
    }

    /// Waits for the next bytes of the body, or until the connection is closed for a new one because
    /// none came.
    pub async fn wait_for_bytes<F: Future>(
        &self,
        bytes: F,
    ) -> Result<F::Output, ConnectionEvicted> {
        let mut bytes = std::pin::pin!(bytes);
        // A pause of this process is no stall of the client.
        if let Ok(arrived) = pause_tolerant::timeout(self.stall_limit, bytes.as_mut()).await {
            return Ok(arrived);
        }
        let _stall = Stall::begin(self);
        tokio::select! {
            biased;
            () = self.evicted.cancelled() => Err(ConnectionEvicted),
            arrived = bytes => Ok(arrived),
        }
    }
}

impl fmt::Debug for BodyWatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyWatch").field("id", &self.id).finish_non_exhaustive()
    }
}

/// Marks the body as stalled until this is dropped.
struct Stall<'a> {
    watch: &'a BodyWatch,
}

impl<'a> Stall<'a> {
    fn begin(watch: &'a BodyWatch) -> Self {
        lock(&watch.table).set_stalled(watch.id);
        Self { watch }
    }
}

impl Drop for Stall<'_> {
    fn drop(&mut self) {
        lock(&self.watch.table).clear_stalled(self.watch.id);
    }
}

/// Returns the table; a panic while it was locked leaves it usable, since each change is complete.
pub(crate) fn lock(table: &Mutex<ConnectionTable>) -> MutexGuard<'_, ConnectionTable> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
