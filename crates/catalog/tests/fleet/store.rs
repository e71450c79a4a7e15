//! The store of the records, whose records lapse unless their replicas renew them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use catalog::ReplicaChange;
use wire::Millis;
use wire::ReplicaName;
use wire::ReplicaRecord;

/// How often a replica renews its record.
const BEAT_MS: Millis = 1_200;
/// How long a record stays without a renewal.
const LAPSE_MS: Millis = 3_600;

/// How long a new record takes at most to be seen by all daemons in touch.
const SEEN_MS: Millis = 2_000;

/// How calls fail while there is no path to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    Silent,
    Refused,
}

/// A call of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    List,
    Changes(u64),
    /// A call for something else, which shows only that the store answers.
    Other,
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    List(u64, Vec<ReplicaRecord>),
    Changes(u64, Vec<(u64, ReplicaChange)>),
    Other,
}

/// A watch call that waits for a change.
pub struct Waiting {
    pub daemon: usize,
    pub id: u64,
    pub since: u64,
    pub until_ms: Millis,
}

/// One replica, whether or not it has a record.
#[derive(Clone, Debug)]
pub struct Replica {
    pub record: ReplicaRecord,
    /// Whether it runs and accepts requests.
    pub is_live: bool,
    /// Whether it renews its record.
    pub is_beating: bool,
    pub next_beat_ms: Millis,
    pub lapses_ms: Millis,
    pub is_listed: bool,
    /// When its first record was written.
    pub arrived_ms: Option<Millis>,
    /// When its record was first draining or gone for good.
    pub departed_ms: Option<Millis>,
}

impl Replica {
    /// Returns whether its record was there for long enough before an outage to be known.
    pub fn is_known(&self, now_ms: Millis, went_down_ms: Option<Millis>) -> bool {
        let Some(arrived_ms) = self.arrived_ms else { return false };
        let is_seen =
            went_down_ms.is_none_or(|at_ms| !(arrived_ms..arrived_ms + SEEN_MS).contains(&at_ms));
        is_seen && now_ms >= arrived_ms + SEEN_MS
    }
}

#[derive(Default)]
pub struct Store {
    pub failure: Option<Failure>,
    /// When it last went down.
    pub went_down_ms: Option<Millis>,
    /// When it was last down.
    pub down_ms: Option<Millis>,
    pub revision: u64,
    pub replicas: Vec<Replica>,
    pub waiting: Vec<Waiting>,
    changes: Vec<(u64, ReplicaChange)>,
}

impl Store {
    pub fn arrive(&mut self, now_ms: Millis) {
        let number = self.replicas.len();
        let record = ReplicaRecord {
            name: format!("r{number}").as_str().into(),
            service: "engines".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
            data_centre: "a".into(),
            slots: 8,
            is_draining: false,
            cold_left_ms: 0,
            started_unix_ms: 1 + number as Millis,
        };
        self.replicas.push(Replica {
            record,
            is_live: true,
            is_beating: true,
            next_beat_ms: now_ms,
            lapses_ms: now_ms,
            is_listed: false,
            arrived_ms: None,
            departed_ms: None,
        });
    }

    /// Sets a replica's record draining; while the store is down the replica just ends.
    pub fn drain(&mut self, now_ms: Millis, number: usize) {
        if self.failure.is_some() {
            return self.stop(number);
        }
        let replica = &mut self.replicas[number];
        if replica.is_live && replica.is_listed {
            replica.is_live = false;
            replica.record.is_draining = true;
            replica.departed_ms = Some(now_ms);
            self.write(number);
        }
    }

    /// Removes a replica's record, which lapses instead while the store is down.
    pub fn remove(&mut self, now_ms: Millis, number: usize) {
        self.stop(number);
        if self.failure.is_none() {
            self.unlist(now_ms, number);
        }
    }

    /// Ends a replica, whose record lapses later.
    pub fn stop(&mut self, number: usize) {
        self.replicas[number].is_live = false;
        self.replicas[number].is_beating = false;
    }

    /// Renews and lapses records.
    pub fn tick(&mut self, now_ms: Millis, renewal_ms: impl Fn(usize) -> Millis) {
        for number in 0..self.replicas.len() {
            let replica = &mut self.replicas[number];
            if replica.is_beating && replica.next_beat_ms <= now_ms {
                if self.failure.is_some() {
                    replica.next_beat_ms = now_ms + renewal_ms(number);
                    continue;
                }
                replica.next_beat_ms = now_ms + BEAT_MS;
                replica.lapses_ms = now_ms + LAPSE_MS;
                if !replica.is_listed {
                    replica.is_listed = true;
                    replica.arrived_ms.get_or_insert(now_ms);
                    self.write(number);
                }
            } else if replica.lapses_ms <= now_ms {
                self.unlist(now_ms, number);
            }
        }
    }

    /// Returns the answer to a call that arrives, or `None` if it waits.
    pub fn answer(&self, call: Call) -> Option<Reply> {
        match call {
            Call::Other => Some(Reply::Other),
            Call::List => {
                let listed = self.replicas.iter().filter(|replica| replica.is_listed);
                let records = listed.map(|replica| replica.record.clone()).collect();
                Some(Reply::List(self.revision, records))
            }
            Call::Changes(since) => (self.revision > since).then(|| self.changes_since(since)),
        }
    }

    /// Returns the latest change of each replica after a revision.
    pub fn changes_since(&self, since: u64) -> Reply {
        let newer = self.changes.iter().filter(|(revision, _)| *revision > since);
        let latest: BTreeMap<&ReplicaName, &(u64, ReplicaChange)> =
            newer.map(|change| (name(&change.1), change)).collect();
        let mut changes: Vec<(u64, ReplicaChange)> = latest.into_values().cloned().collect();
        changes.sort_by_key(|(revision, _)| *revision);
        Reply::Changes(self.revision, changes)
    }

    fn write(&mut self, number: usize) {
        self.revision += 1;
        let record = self.replicas[number].record.clone();
        self.changes.push((self.revision, ReplicaChange::Set(record)));
    }

    fn unlist(&mut self, now_ms: Millis, number: usize) {
        let replica = &mut self.replicas[number];
        if !std::mem::replace(&mut replica.is_listed, false) {
            return;
        }
        if !replica.is_live {
            replica.departed_ms.get_or_insert(now_ms);
        }
        self.revision += 1;
        self.changes.push((self.revision, ReplicaChange::Gone(replica.record.name.clone())));
    }
}

fn name(change: &ReplicaChange) -> &ReplicaName {
    match change {
        ReplicaChange::Set(record) => &record.name,
        ReplicaChange::Gone(name) => name,
    }
}
