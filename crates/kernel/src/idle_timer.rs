//! The time for which a client's connection has waited for a request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::pause_tolerant;

/// Measures how long a connection has been idle, that is, without a request whose head is complete.
#[derive(Clone)]
pub struct IdleTimer {
    state: Rc<IdleState>,
}

struct IdleState {
    limit: Box<dyn Fn() -> Duration>,
    requests: Cell<usize>,
    idle_since: Cell<Instant>,
    limit_when_idle: Cell<Duration>,
}

impl IdleTimer {
    /// Creates the timer of a connection that was just opened; `limit` returns the limit in force.
    pub fn new(limit: impl Fn() -> Duration + 'static) -> Self {
        let state = IdleState {
            requests: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            limit_when_idle: Cell::new(limit()),
            limit: Box::new(limit),
        };
        Self { state: Rc::new(state) }
    }

    /// Marks the connection as busy until the returned value is dropped.
    pub fn begin_request(&self) -> BusyConnection {
        self.state.requests.set(self.state.requests.get() + 1);
        BusyConnection { state: self.state.clone() }
    }

    /// Waits until the connection has been idle for longer than the limit when it became idle and
    /// the one in force.
    pub async fn expired(&self) {
        while let Some(left) = self.state.left() {
            // The time-out is the purpose of the wait.
            let _ = pause_tolerant::timeout(left, std::future::pending::<()>()).await;
        }
    }
}

impl IdleState {
    /// Returns the time until the connection may expire, or `None` if it has expired.
    fn left(&self) -> Option<Duration> {
        let limit = (self.limit)();
        if self.requests.get() > 0 {
            return Some(limit);
        }
        let limit = limit.max(self.limit_when_idle.get());
        Some(limit.saturating_sub(self.idle_since.get().elapsed())).filter(|left| !left.is_zero())
    }
}

/// A request in progress on a connection.
pub struct BusyConnection {
    state: Rc<IdleState>,
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        let left = self.state.requests.get().saturating_sub(1);
        self.state.requests.set(left);
        self.state.idle_since.set(Instant::now());
        self.state.limit_when_idle.set((self.state.limit)());
    }
}
