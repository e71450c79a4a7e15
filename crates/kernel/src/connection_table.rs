//! The open connections of a server, and the decision which of them is closed at the bound.

use std::collections::BTreeMap;

/// The share of the bound that connections without a complete request keep while those that carried
/// requests before are idle, as a divisor: a new connection has time to send its first head.
const UNUSED_SHARE_DIVISOR: usize = 4;

/// The key of a connection.
pub type ConnectionId = u64;

/// The decision about a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is opened.
    Open(ConnectionId),
    /// It is opened, and an idle one is closed for it.
    Replace {
        /// The new connection.
        opened: ConnectionId,
        /// The connection to close.
        closed: ConnectionId,
    },
    /// It is opened, and one whose request body has stalled is closed for it.
    Evict {
        /// The new connection.
        opened: ConnectionId,
        /// The connection whose request is refused and which is closed.
        evicted: ConnectionId,
    },
    /// It is refused, since every open connection is busy.
    Refuse,
}

#[derive(Clone, Copy, Debug, Default)]
struct Connection {
    /// The position in the order in which connections became idle; `None` while it is busy.
    idle_position: Option<u64>,
    /// The position in the order in which request bodies stalled; `None` unless its body is stalled.
    stall_position: Option<u64>,
    /// Whether it has carried a complete request.
    is_used: bool,
}

/// The open connections of a server.
///
/// At the bound an idle connection is closed for a new one. Designed for clients that open
/// connections and send nothing, or heads that never end, beside clients that keep a few idle
/// connections. The former are closed first, the oldest of them first. If none is idle, the connection
/// whose request body stalled first is closed: designed for clients that send all but the end of
/// bodies on every connection.
#[derive(Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Idle connections that have carried no request, in the order in which they became idle.
    unused: BTreeMap<u64, ConnectionId>,
    /// Idle connections that have carried requests, in the order in which they became idle.
    used: BTreeMap<u64, ConnectionId>,
    /// Busy connections with stalled request bodies, in the order in which they stalled.
    stalled: BTreeMap<u64, ConnectionId>,
    next_id: ConnectionId,
    next_position: u64,
}

impl ConnectionTable {
    /// Creates the table of a server that has at most `max_connections` open connections.
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            connections: BTreeMap::new(),
            unused: BTreeMap::new(),
            used: BTreeMap::new(),
            stalled: BTreeMap::new(),
            next_id: 0,
            next_position: 0,
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Decides about a new connection, which is idle at first; a connection to close is no longer
    /// counted.
    pub fn admit(&mut self) -> Admission {
        if self.connections.len() < self.max_connections {
            return Admission::Open(self.open());
        }
        if let Some(closed) = self.choose_victim() {
            self.remove(closed);
            return Admission::Replace { opened: self.open(), closed };
        }
        if let Some(evicted) = self.stalled.values().next().copied() {
            self.remove(evicted);
            return Admission::Evict { opened: self.open(), evicted };
        }
        Admission::Refuse
    }

    fn open(&mut self) -> ConnectionId {
        let opened = self.next_id;
        self.next_id += 1;
        self.connections.insert(opened, Connection::default());
        self.set_idle(opened);
        opened
    }

    /// Marks a connection as carrying a request or as having bytes to send.
    pub fn set_busy(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.is_used = true;
        if let Some(position) = connection.idle_position.take() {
            self.unused.remove(&position);
            self.used.remove(&position);
        }
    }

    /// Marks a connection as idle, such that it may be closed for a new one.
    pub fn set_idle(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.idle_position.is_some() {
            return;
        }
        let position = self.next_position;
        self.next_position += 1;
        connection.idle_position = Some(position);
        if let Some(position) = connection.stall_position.take() {
            self.stalled.remove(&position);
        }
        if connection.is_used {
            self.used.insert(position, id);
        } else {
            self.unused.insert(position, id);
        }
    }

    /// Marks the request body of a busy connection as stalled, such that the connection may be closed
    /// for a new one.
    pub fn set_stalled(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.idle_position.is_some() || connection.stall_position.is_some() {
            return;
        }
        let position = self.next_position;
        self.next_position += 1;
        connection.stall_position = Some(position);
        self.stalled.insert(position, id);
    }

    /// Marks the request body of a connection as no longer stalled.
    pub fn clear_stalled(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Some(position) = connection.stall_position.take() {
            self.stalled.remove(&position);
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        if let Some(position) = connection.idle_position {
            self.unused.remove(&position);
            self.used.remove(&position);
        }
        if let Some(position) = connection.stall_position {
            self.stalled.remove(&position);
        }
    }

    fn choose_victim(&self) -> Option<ConnectionId> {
        let unused = self.unused.values().next();
        let used = self.used.values().next();
        let is_unused_over_share = self.unused.len() > self.max_connections / UNUSED_SHARE_DIVISOR;
        let victim = if is_unused_over_share { unused } else { used.or(unused) };
        victim.copied()
    }
}
