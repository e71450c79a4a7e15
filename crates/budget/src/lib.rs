//! The bytes that the process may hold for its clients, replicas, peers and store, by kind.
//!
//! The accounting and the decisions have no clock, socket or task: callers pass the time and wait
//! themselves. Reservations release their bytes when they are dropped. The budget is shared by a lock
//! that is held only for the accounting, because bodies that hold a reservation must be `Send`.

pub mod answers;
pub mod bodies;
mod body_table;
pub mod limits;
pub mod reservation;
mod usage;

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

pub use answers::AnswerRefusal;
pub use answers::AnswerReservation;
pub use bodies::BodyClaim;
pub use bodies::BodyRefusal;
pub use bodies::BodyReservation;
pub use limits::Kind;
pub use limits::Limits;
pub use reservation::BudgetFull;
pub use reservation::Reservation;
use wire::Millis;

use crate::body_table::BodyTable;
use crate::usage::Usage;

/// The byte budget of the process.
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    usage: Usage,
    bodies: BodyTable,
}

impl Budget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: Limits) -> Arc<Self> {
        Arc::new(Self { limits, state: Mutex::default() })
    }

    /// Creates a budget that refuses nothing.
    pub fn unlimited() -> Arc<Self> {
        Self::new(Limits::unlimited())
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the bytes of one kind that are in use.
    pub fn used_bytes(&self, kind: Kind) -> usize {
        self.lock().usage.of_kind(kind)
    }

    /// Returns the bytes of all kinds that are in use.
    pub fn total_used_bytes(&self) -> usize {
        self.lock().usage.total()
    }

    /// Creates a reservation of no bytes.
    pub fn reserve(self: &Arc<Self>, kind: Kind) -> Reservation {
        Reservation::new(self.clone(), kind)
    }

    /// Registers a request body of which nothing has been read.
    pub fn begin_body(self: &Arc<Self>, client: Option<IpAddr>, now_ms: Millis) -> BodyReservation {
        let id = self.lock().bodies.insert(client, now_ms);
        BodyReservation::new(self.clone(), id)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
