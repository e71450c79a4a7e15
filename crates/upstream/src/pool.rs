//! Idle connections, kept by address for the next request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;

use crate::connection::Connection;
use crate::connection::Fault;

/// How long before the end of the granted idle time a connection is no longer used, in
/// milliseconds; more than a round trip and a slow wake-up together.
const IDLE_MARGIN_MS: u64 = 500;

/// Idle connections.
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    max_idle: Duration,
    connect_timeout: Duration,
}

impl Pool {
    /// Creates an empty pool; connections without a granted idle time are kept for `max_idle`.
    pub fn new(max_idle: Duration, connect_timeout: Duration) -> Self {
        Self { idle: RefCell::new(HashMap::new()), max_idle, connect_timeout }
    }

    /// Returns the most recently used idle connection to `peer`, or opens one.
    pub async fn get(&self, peer: SocketAddr) -> Result<Connection, Fault> {
        match self.take_idle(peer) {
            Some(connection) => Ok(connection),
            None => Connection::open(peer, self.connect_timeout).await,
        }
    }

    /// Sends a request and reads the whole answer of at most `max_bytes`.
    ///
    /// A connection that was closed while it was idle is replaced; nothing was done on it.
    pub async fn call(
        &self,
        peer: SocketAddr,
        method: &Method,
        request: Bytes,
        max_bytes: usize,
    ) -> Result<(StatusCode, Bytes), Fault> {
        let mut connection = self.get(peer).await?;
        connection.begin(request.clone());
        let head = match connection.read_head(method).await {
            Err(Fault::NothingSent) => {
                connection = Connection::open(peer, self.connect_timeout).await?;
                connection.begin(request);
                connection.read_head(method).await?
            }
            head => head?,
        };
        let body = connection.read_whole_body(max_bytes).await?;
        self.put(connection);
        Ok((head.status, body))
    }

    /// Takes an idle connection that is still open.
    pub fn take_idle(&self, peer: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&peer)?;
        while let Some(connection) = connections.pop() {
            if self.is_fresh(&connection) && connection.is_quiet() {
                return Some(connection);
            }
        }
        idle.remove(&peer);
        None
    }

    /// Keeps a connection for the next request if it can carry one.
    pub fn put(&self, mut connection: Connection) {
        if connection.is_reusable() {
            connection.rest();
            self.idle.borrow_mut().entry(connection.peer()).or_default().push(connection);
        }
    }

    /// Closes the idle connections to `peer`.
    pub fn forget(&self, peer: SocketAddr) {
        self.idle.borrow_mut().remove(&peer);
    }

    /// Closes idle connections whose time is over.
    pub fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| self.is_fresh(connection));
            !connections.is_empty()
        });
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    fn is_fresh(&self, connection: &Connection) -> bool {
        let granted = connection.keep_alive().unwrap_or(self.max_idle);
        let margin = Duration::from_millis(IDLE_MARGIN_MS).min(granted / 2);
        connection.idle_for() < granted.saturating_sub(margin).min(self.max_idle)
    }
}
