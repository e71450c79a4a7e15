//! A pool of idle connections by address.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use budget::Budget;
use budget::Kind;
use bytes::Bytes;
use http::Method;
use http::StatusCode;

use crate::connection::Connection;
use crate::connection::ExchangeError;
use crate::head::AnswerHead;

/// A connection is not reused this long before its keep-alive time ends: longer than a round trip
/// and a delayed wake-up of this process together.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;

/// Idle connections that can carry another request.
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    max_idle: Duration,
    connect_timeout: Duration,
    budget: Arc<Budget>,
    kind: Kind,
}

impl ConnectionPool {
    /// Creates an empty pool, which keeps a connection for its keep-alive time and at most for
    /// `max_idle`.
    pub fn new(max_idle: Duration, connect_timeout: Duration) -> Self {
        let budget = Budget::unlimited();
        Self::with_budget(max_idle, connect_timeout, budget, Kind::ReplicaAnswers)
    }

    /// Like [`Self::new`], with a limit for the memory of all answers together, which count as `kind`.
    pub fn with_budget(
        max_idle: Duration,
        connect_timeout: Duration,
        budget: Arc<Budget>,
        kind: Kind,
    ) -> Self {
        Self { idle: RefCell::new(HashMap::new()), max_idle, connect_timeout, budget, kind }
    }

    async fn open(&self, peer: SocketAddr) -> Result<Connection, ExchangeError> {
        let budget = self.budget.clone();
        Connection::open_with_budget(peer, self.connect_timeout, budget, self.kind).await
    }

    /// Returns the most recently used idle connection to `peer`, or opens one.
    pub async fn get(&self, peer: SocketAddr) -> Result<Connection, ExchangeError> {
        match self.take_idle(peer) {
            Some(connection) => Ok(connection),
            None => self.open(peer).await,
        }
    }

    /// Returns an idle connection to `peer` that has not carried a request with this id, or opens
    /// one.
    ///
    /// An earlier answer to the same request may still arrive on a connection that has.
    pub async fn get_for_request(
        &self,
        peer: SocketAddr,
        id: &str,
    ) -> Result<Connection, ExchangeError> {
        match self.take_idle_where(peer, |connection| !connection.has_carried(id)) {
            Some(connection) => Ok(connection),
            None => self.open(peer).await,
        }
    }

    /// Sends a request and reads its complete answer of at most `max_bytes`.
    ///
    /// If the connection was closed while it was idle, the request is sent again on a new one; the
    /// server received no byte of it.
    pub async fn call(
        &self,
        peer: SocketAddr,
        method: &Method,
        request: Bytes,
        max_bytes: usize,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        self.call_with_head(peer, method, request, max_bytes, |_| ()).await
    }

    /// Like [`Self::call`], and passes the head of the answer to `on_head` before it reads the body.
    pub async fn call_with_head(
        &self,
        peer: SocketAddr,
        method: &Method,
        request: Bytes,
        max_bytes: usize,
        on_head: impl FnOnce(&AnswerHead),
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let mut connection = self.get(peer).await?;
        connection.queue_request(request.clone());
        let head = match connection.read_head(method).await {
            Err(ExchangeError::NothingSent) => {
                connection = self.open(peer).await?;
                connection.queue_request(request);
                connection.read_head(method).await?
            }
            head => head?,
        };
        on_head(&head);
        let body = connection.read_whole_body(max_bytes).await?;
        self.put(connection);
        Ok((head.status, body))
    }

    /// Takes an idle connection to `peer` that is still open, if there is one.
    pub fn take_idle(&self, peer: SocketAddr) -> Option<Connection> {
        self.take_idle_where(peer, |_| true)
    }

    fn take_idle_where(
        &self,
        peer: SocketAddr,
        is_suitable: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&peer)?;
        while let Some(index) = connections.iter().rposition(&is_suitable) {
            let connection = connections.remove(index);
            if self.is_within_keep_alive(&connection) && connection.is_open_and_silent() {
                return Some(connection);
            }
        }
        if connections.is_empty() {
            idle.remove(&peer);
        }
        None
    }

    /// Keeps a connection for another request, or closes it if it cannot carry one.
    pub fn put(&self, mut connection: Connection) {
        if connection.is_reusable() {
            connection.mark_idle();
            self.idle.borrow_mut().entry(connection.peer()).or_default().push(connection);
        }
    }

    /// Closes all idle connections to `peer`.
    pub fn close_idle(&self, peer: SocketAddr) {
        self.idle.borrow_mut().remove(&peer);
    }

    /// Closes the idle connections whose keep-alive time is over.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| self.is_within_keep_alive(connection));
            !connections.is_empty()
        });
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    fn is_within_keep_alive(&self, connection: &Connection) -> bool {
        let keep_alive = connection.keep_alive_timeout().unwrap_or(self.max_idle);
        let margin = Duration::from_millis(KEEP_ALIVE_MARGIN_MS).min(keep_alive / 2);
        connection.idle_time() < keep_alive.saturating_sub(margin).min(self.max_idle)
    }
}
