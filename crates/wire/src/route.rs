//! The configuration in force: routes, services and limits, as operators wrote them.

use std::collections::HashMap;
use std::sync::Arc;

use crate::Millis;
use crate::RouteName;
use crate::ServiceName;
use crate::rendezvous::hash;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once for each attempt of its client.
    NonIdempotent,
    /// The answer is a series of events; not idempotent unless the route is resumable.
    Streaming,
    /// Jobs of many items that run later.
    Batch,
}

/// One of the services that share a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests, relative to the other targets' weights.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: RouteName,
    /// The host that its requests name.
    pub host: Arc<str>,
    /// The start of its requests' paths, with a slash at both ends.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a client is kept waiting for the end of an answer.
    pub timeout_ms: Option<Millis>,
    /// The time in which an answer, or a stream's first event, is on time.
    pub objective_ms: Option<Millis>,
    /// The longest pause between a stream's events that is still on time.
    pub gap_objective_ms: Option<Millis>,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
    /// The services that run its requests; never empty.
    pub targets: Vec<Target>,
    /// How many replicas one attempt of a client may be sent to.
    pub max_attempts: u32,
    /// Whether a stream may go on at another replica after the last event it got.
    pub is_resumable: bool,
    /// How long after a job was first sent all its results are due.
    pub due_ms: Option<Millis>,
    /// How long after a job was first sent its items may be given up.
    pub retention_ms: Option<Millis>,
    /// The most tokens that may wait on the route over all daemons; no limit without.
    pub max_waiting_tokens: Option<u64>,
}

impl Route {
    /// Returns whether one attempt of a client may be run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.is_resumable,
            RouteKind::NonIdempotent | RouteKind::Batch => false,
        }
    }

    /// Returns the service for one request; the same request id gets the same service.
    pub fn service_for(&self, request_id: &str) -> &ServiceName {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = if total == 0 { 0 } else { hash(request_id.as_bytes()) % total };
        for target in &self.targets {
            if point < u64::from(target.weight) {
                return &target.service;
            }
            point -= u64::from(target.weight);
        }
        &self.targets[0].service
    }

    /// Returns whether the route sends any of its requests to `service`.
    pub fn allows(&self, service: &ServiceName) -> bool {
        self.targets.iter().any(|target| target.service == *service && target.weight > 0)
    }
}

/// What a model engine can hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Tokens of running requests and cached prompt parts.
    pub memory_tokens: u64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The connections that one replica accepts from all daemons together.
    pub max_connections: u32,
    /// What its engines hold; absent for plain services.
    pub engine: Option<EngineLimits>,
}

/// What clients may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IngressLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time in which a head arrives.
    pub header_ms: Millis,
    /// How long a connection may stay without a request.
    pub idle_ms: Millis,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The version; higher ones replace lower ones.
    pub version: u64,
    /// What clients may send.
    pub limits: IngressLimits,
    routes: Vec<Arc<Route>>,
    services: HashMap<ServiceName, Service>,
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Configuration {
    /// Builds a configuration and its look-up tables.
    pub fn new(
        version: u64,
        limits: IngressLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
    ) -> Self {
        let routes: Vec<Arc<Route>> = routes.into_iter().map(Arc::new).collect();
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &routes {
            by_host.entry(Arc::clone(&route.host)).or_default().push(Arc::clone(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self { version, limits, routes, services, by_host }
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.by_host.get(host)?.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns whether any route names `host`.
    pub fn has_host(&self, host: &str) -> bool {
        self.by_host.contains_key(host)
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}
