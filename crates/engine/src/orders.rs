//! Orders to one engine as a pure state machine: one lease holder at a time, each with a higher
//! fencing number.
//!
//! An engine that checks fencing numbers rejects the orders of a former holder itself. For an
//! engine that ignores them, a new holder first waits for the old lease to expire and for the
//! longest time that an order may be in flight. A lease has expired when its object has not changed
//! for the lease time on the clock of the reader.

use serde::Deserialize;
use serde::Serialize;
use wire::DaemonName;
use wire::Millis;
use wire::Version;

/// The stored lease on sending orders to one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The fencing number, incremented at every acquisition.
    pub number: u64,
    /// The holder, or `None` once the engine has confirmed all its orders.
    pub holder: Option<DaemonName>,
    /// The digest of the state that the engine last confirmed.
    pub ordered: String,
}

/// The timing that keeps orders of successive holders apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OrderTiming {
    /// The duration of a lease.
    pub lease_ms: Millis,
    /// The longest time between sending an order and its effect.
    pub order_timeout_ms: Millis,
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The desired state of the engine has this digest.
    SetDesired(String),
    /// The lease was read; an absent one is the default record at `Version::ABSENT`.
    LeaseRead {
        /// The lease.
        record: LeaseRecord,
        /// The version of the lease object.
        version: Version,
    },
    /// A write of the lease took effect.
    LeaseWritten {
        /// The version after the write.
        version: Version,
    },
    /// A write of the lease failed since the object has another version, or its outcome is unknown.
    LeaseWriteFailed,
    /// The engine confirmed the order.
    OrderConfirmed,
    /// The order was refused, or its outcome is unknown.
    OrderFailed,
    /// Time has passed.
    Tick,
}

/// An output of the state machine, carried out by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Reads the lease.
    ReadLease,
    /// Writes the lease if its object still has the version `expected`.
    WriteLease {
        /// The lease.
        record: LeaseRecord,
        /// The version that the object must have.
        expected: Version,
    },
    /// Sends the order with this fencing number.
    SendOrder {
        /// The fencing number.
        number: u64,
    },
    /// The engine runs the desired state; there is nothing left to do.
    Converged,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Reading,
    Waiting { record: LeaseRecord, version: Version, until_ms: Millis },
    Acquiring { record: LeaseRecord, sent_at_ms: Millis },
    AwaitingConfirmation { record: LeaseRecord, version: Version },
    Releasing,
}

/// Controls the orders that one daemon sends to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OrderController {
    own_daemon: DaemonName,
    checks_fencing: bool,
    timing: OrderTiming,
    desired_digest: String,
    phase: Phase,
    first_seen: Option<(Version, Millis)>,
}

impl OrderController {
    /// Creates a controller that waits for a desired state.
    pub fn new(own_daemon: DaemonName, checks_fencing: bool, timing: OrderTiming) -> Self {
        let desired_digest = String::new();
        Self {
            own_daemon,
            checks_fencing,
            timing,
            desired_digest,
            phase: Phase::Idle,
            first_seen: None,
        }
    }

    /// Returns whether no read, write or order is in progress.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Handles one event and returns the actions to carry out.
    pub fn step(&mut self, now_ms: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::SetDesired(digest) => self.on_set_desired(digest),
            Event::LeaseRead { record, version } => self.on_lease_read(now_ms, record, version),
            Event::LeaseWritten { version } => self.on_lease_written(now_ms, version),
            Event::LeaseWriteFailed => self.start_reading(),
            Event::OrderConfirmed => self.on_order_confirmed(),
            Event::OrderFailed => self.start_reading(),
            Event::Tick => self.on_tick(now_ms),
        }
    }

    fn on_set_desired(&mut self, digest: String) -> Vec<Action> {
        self.desired_digest = digest;
        match self.phase {
            Phase::Idle => self.start_reading(),
            _ => Vec::new(),
        }
    }

    fn start_reading(&mut self) -> Vec<Action> {
        self.phase = Phase::Reading;
        vec![Action::ReadLease]
    }

    fn on_lease_read(
        &mut self,
        now_ms: Millis,
        record: LeaseRecord,
        version: Version,
    ) -> Vec<Action> {
        if self.phase != Phase::Reading {
            return Vec::new();
        }
        if record.holder.is_none() && record.ordered == self.desired_digest {
            self.phase = Phase::Idle;
            return vec![Action::Converged];
        }
        let first_seen_ms = match self.first_seen {
            Some((seen, at_ms)) if seen == version => at_ms,
            _ => now_ms,
        };
        self.first_seen = Some((version, first_seen_ms));
        let until_ms = first_seen_ms + self.takeover_delay_ms(&record);
        self.phase = Phase::Waiting { record, version, until_ms };
        self.on_tick(now_ms)
    }

    /// Returns how long the lease must have been unchanged before it may be acquired.
    fn takeover_delay_ms(&self, record: &LeaseRecord) -> Millis {
        // An order of an earlier holder, which may be this daemon, may still be in flight.
        let is_released = record.holder.is_none();
        if is_released || self.checks_fencing {
            return 0;
        }
        self.timing.lease_ms + self.timing.order_timeout_ms
    }

    fn on_tick(&mut self, now_ms: Millis) -> Vec<Action> {
        let Phase::Waiting { record, version, until_ms } = &self.phase else {
            return Vec::new();
        };
        if now_ms < *until_ms {
            return Vec::new();
        }
        let expected = *version;
        let record = LeaseRecord {
            number: record.number + 1,
            holder: Some(self.own_daemon.clone()),
            ordered: record.ordered.clone(),
        };
        self.phase = Phase::Acquiring { record: record.clone(), sent_at_ms: now_ms };
        vec![Action::WriteLease { record, expected }]
    }

    fn on_lease_written(&mut self, now_ms: Millis, version: Version) -> Vec<Action> {
        match self.phase.clone() {
            Phase::Acquiring { record, sent_at_ms } => {
                // The lease time starts when its write is sent, which is before any other daemon
                // can see it.
                if now_ms >= sent_at_ms + self.timing.lease_ms {
                    return self.start_reading();
                }
                let number = record.number;
                self.phase = Phase::AwaitingConfirmation { record, version };
                vec![Action::SendOrder { number }]
            }
            Phase::Releasing => {
                self.phase = Phase::Idle;
                vec![Action::Converged]
            }
            _ => Vec::new(),
        }
    }

    fn on_order_confirmed(&mut self) -> Vec<Action> {
        let Phase::AwaitingConfirmation { record, version } = self.phase.clone() else {
            return Vec::new();
        };
        let record = LeaseRecord { holder: None, ordered: self.desired_digest.clone(), ..record };
        self.phase = Phase::Releasing;
        vec![Action::WriteLease { record, expected: version }]
    }
}
