//! What is logged of a request when it ends, however it ends.

use std::rc::Rc;
use std::sync::Arc;

use log::info;
use wire::Millis;
use wire::ReplicaName;
use wire::RequestId;
use wire::Route;

use crate::gate::Gate;

/// The course of one request.
pub struct Report {
    gate: Rc<Gate>,
    id: RequestId,
    route: Arc<Route>,
    version: u64,
    /// When the request arrived.
    pub arrived_ms: Millis,
    /// How long it waited for slots.
    pub slot_wait_ms: Millis,
    /// How long after its arrival the answer began.
    pub first_ms: Option<Millis>,
    /// The replica that was tried last.
    pub replica: Option<ReplicaName>,
    /// The status of the answer.
    pub status: u16,
    /// Replicas that were tried and failed.
    pub tried: Vec<ReplicaName>,
    /// Events that were passed on.
    pub events: u32,
    /// How the request ended; `client_left` unless set.
    pub outcome: &'static str,
}

impl Report {
    /// Starts the report of a request in progress.
    pub fn new(
        gate: Rc<Gate>,
        id: &RequestId,
        route: Arc<Route>,
        version: u64,
        arrived_ms: Millis,
    ) -> Self {
        gate.in_flight.set(gate.in_flight.get() + 1);
        Self {
            gate,
            id: id.clone(),
            route,
            version,
            arrived_ms,
            slot_wait_ms: 0,
            first_ms: None,
            replica: None,
            status: 0,
            tried: Vec::new(),
            events: 0,
            outcome: "client_left",
        }
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        self.gate.in_flight.set(self.gate.in_flight.get().saturating_sub(1));
        self.gate.counters.count_tagged("requests", "outcome", self.outcome);
        let total_ms = self.gate.now_ms().saturating_sub(self.arrived_ms);
        self.gate.counters.observe("request_ms", total_ms);
        self.gate.counters.observe("slot_wait_ms", self.slot_wait_ms);
        if let Some(first_ms) = self.first_ms {
            self.gate.counters.observe("first_byte_ms", first_ms);
        }
        info!(
            "event=request id={} route={} version={} outcome={} status={} replica={} tried={} \
             slot_wait_ms={} first_ms={} events={} total_ms={total_ms}",
            self.id,
            self.route.name,
            self.version,
            self.outcome,
            self.status,
            self.replica.as_ref().map_or("-", |replica| replica.as_str()),
            self.tried.len(),
            self.slot_wait_ms,
            self.first_ms.map_or(-1, |first_ms| first_ms as i64),
            self.events,
        );
    }
}
