//! Orders to one engine, as a pure core: one holder at a time, each with a higher number.
//!
//! An engine that checks the number refuses a deposed holder's order by itself. For one that
//! ignores it, a new holder first waits out the old lease and the longest time that an order may
//! be under way. A lease has lapsed when its object has not changed for the lease time on the
//! reader's own clock.

use serde::Deserialize;
use serde::Serialize;
use wire::DaemonName;
use wire::Millis;
use wire::Version;

/// The durable lease on giving orders to one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The fencing number, raised by one at every taking.
    pub number: u64,
    /// The holder; absent once its orders have all been answered.
    pub holder: Option<DaemonName>,
    /// The digest of what the engine was last ordered, and confirmed, to run.
    pub ordered: String,
}

/// The times that order the holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OrderTiming {
    /// How long a lease lasts.
    pub lease_ms: Millis,
    /// The longest time from sending an order to its effect.
    pub order_ms: Millis,
}

/// What the core is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The engine should run what has this digest.
    Want(String),
    /// The lease was read; the default at `Version::ABSENT` if there is none.
    LeaseRead {
        /// The lease.
        record: LeaseRecord,
        /// Its version.
        version: Version,
    },
    /// A write of the lease took effect.
    LeaseWritten {
        /// The version it made.
        version: Version,
    },
    /// A write of the lease met another version, or its end is not known.
    LeaseLost,
    /// The engine confirmed the order.
    OrderDone,
    /// The order was refused or its end is not known.
    OrderFailed,
    /// Time has passed.
    Tick,
}

/// What the adapter does.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Reads the lease.
    ReadLease,
    /// Writes the lease if it has the version `expected`.
    WriteLease {
        /// The lease.
        record: LeaseRecord,
        /// The version that must be there.
        expected: Version,
    },
    /// Gives the order under this number.
    SendOrder {
        /// The fencing number.
        number: u64,
    },
    /// The engine runs what is wanted.
    Settled,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Reading,
    Waiting { record: LeaseRecord, version: Version, until_ms: Millis },
    Taking { record: LeaseRecord, sent_at_ms: Millis },
    Ordering { record: LeaseRecord, version: Version },
    Releasing,
}

/// The order core of one daemon for one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Orders {
    own: DaemonName,
    checks_fencing: bool,
    timing: OrderTiming,
    wanted: String,
    phase: Phase,
    seen: Option<(Version, Millis)>,
}

impl Orders {
    /// Creates the core.
    pub fn new(own: DaemonName, checks_fencing: bool, timing: OrderTiming) -> Self {
        let wanted = String::new();
        Self { own, checks_fencing, timing, wanted, phase: Phase::Idle, seen: None }
    }

    /// Returns whether nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Takes one event and returns what to do.
    pub fn step(&mut self, now_ms: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Want(digest) => self.on_want(digest),
            Event::LeaseRead { record, version } => self.on_read(now_ms, record, version),
            Event::LeaseWritten { version } => self.on_written(now_ms, version),
            Event::LeaseLost => self.read_again(),
            Event::OrderDone => self.on_done(),
            Event::OrderFailed => self.read_again(),
            Event::Tick => self.on_tick(now_ms),
        }
    }

    fn on_want(&mut self, digest: String) -> Vec<Action> {
        self.wanted = digest;
        match self.phase {
            Phase::Idle => self.read_again(),
            _ => Vec::new(),
        }
    }

    fn read_again(&mut self) -> Vec<Action> {
        self.phase = Phase::Reading;
        vec![Action::ReadLease]
    }

    fn on_read(&mut self, now_ms: Millis, record: LeaseRecord, version: Version) -> Vec<Action> {
        if self.phase != Phase::Reading {
            return Vec::new();
        }
        if record.holder.is_none() && record.ordered == self.wanted {
            self.phase = Phase::Idle;
            return vec![Action::Settled];
        }
        let first_seen_ms = match self.seen {
            Some((seen, at_ms)) if seen == version => at_ms,
            _ => now_ms,
        };
        self.seen = Some((version, first_seen_ms));
        let until_ms = first_seen_ms + self.wait_ms(&record);
        self.phase = Phase::Waiting { record, version, until_ms };
        self.on_tick(now_ms)
    }

    /// Returns how long to wait before the lease may be taken.
    fn wait_ms(&self, record: &LeaseRecord) -> Millis {
        // An order of an earlier holder, this daemon included, may still be under way.
        let is_settled = record.holder.is_none();
        if is_settled || self.checks_fencing {
            return 0;
        }
        self.timing.lease_ms + self.timing.order_ms
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
            holder: Some(self.own.clone()),
            ordered: record.ordered.clone(),
        };
        self.phase = Phase::Taking { record: record.clone(), sent_at_ms: now_ms };
        vec![Action::WriteLease { record, expected }]
    }

    fn on_written(&mut self, now_ms: Millis, version: Version) -> Vec<Action> {
        match self.phase.clone() {
            Phase::Taking { record, sent_at_ms } => {
                // The lease counts from the sending of its write, before any other can see it.
                if now_ms >= sent_at_ms + self.timing.lease_ms {
                    return self.read_again();
                }
                let number = record.number;
                self.phase = Phase::Ordering { record, version };
                vec![Action::SendOrder { number }]
            }
            Phase::Releasing => {
                self.phase = Phase::Idle;
                vec![Action::Settled]
            }
            _ => Vec::new(),
        }
    }

    fn on_done(&mut self) -> Vec<Action> {
        let Phase::Ordering { record, version } = self.phase.clone() else {
            return Vec::new();
        };
        let record = LeaseRecord { holder: None, ordered: self.wanted.clone(), ..record };
        self.phase = Phase::Releasing;
        vec![Action::WriteLease { record, expected: version }]
    }
}
