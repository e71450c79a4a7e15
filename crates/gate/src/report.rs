//! The log line and the metrics of a request, written when it ends in any way.

use std::rc::Rc;
use std::sync::Arc;

use log::info;
use wire::Millis;
use wire::ReplicaName;
use wire::RequestId;
use wire::Route;

use crate::gateway::Gateway;

/// The sends of a request so far.
#[derive(Clone, Debug, Default)]
pub struct Sends {
    /// How long the request has waited for slots.
    pub slot_wait_ms: Millis,
    /// The replica of the last send.
    pub replica: Option<ReplicaName>,
    /// The replicas whose sends failed.
    pub tried: Vec<ReplicaName>,
}

/// What is known of a request so far; dropping it logs the request and updates the metrics.
pub struct RequestReport {
    gateway: Rc<Gateway>,
    id: RequestId,
    route: Arc<Route>,
    version: u64,
    /// When the request arrived, on the daemon's clock.
    pub arrived_ms: Millis,
    /// The sends so far.
    pub sends: Sends,
    /// The time from the request's arrival to the start of its answer.
    pub first_ms: Option<Millis>,
    /// The HTTP status of the answer, or 0 before there is one.
    pub status: u16,
    /// The number of stream events that were passed on to the client.
    pub events: u32,
    /// How the request ended; `client_left` unless set.
    pub outcome: &'static str,
}

impl RequestReport {
    /// Starts the report of a request and counts the request as in flight.
    pub fn new(
        gateway: Rc<Gateway>,
        id: &RequestId,
        route: Arc<Route>,
        version: u64,
        arrived_ms: Millis,
    ) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        Self {
            gateway,
            id: id.clone(),
            route,
            version,
            arrived_ms,
            sends: Sends::default(),
            first_ms: None,
            status: 0,
            events: 0,
            outcome: "client_left",
        }
    }
}

impl Drop for RequestReport {
    fn drop(&mut self) {
        self.gateway.in_flight.set(self.gateway.in_flight.get().saturating_sub(1));
        self.gateway.counters.count_tagged("requests", "outcome", self.outcome);
        let total_ms = self.gateway.now_ms().saturating_sub(self.arrived_ms);
        self.gateway.counters.observe("request_ms", total_ms);
        self.gateway.counters.observe("slot_wait_ms", self.sends.slot_wait_ms);
        if let Some(first_ms) = self.first_ms {
            self.gateway.counters.observe("first_byte_ms", first_ms);
        }
        info!(
            "event=request id={} route={} version={} outcome={} status={} replica={} tried={} \
             slot_wait_ms={} first_ms={} events={} total_ms={total_ms}",
            self.id,
            self.route.name,
            self.version,
            self.outcome,
            self.status,
            self.sends.replica.as_ref().map_or("-", |replica| replica.as_str()),
            self.sends.tried.len(),
            self.sends.slot_wait_ms,
            self.first_ms.map_or(-1, |first_ms| first_ms as i64),
            self.events,
        );
    }
}
