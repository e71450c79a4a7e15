//! The configuration in force: routes, services and limits, as defined by operators.

use std::collections::HashMap;
use std::sync::Arc;

use crate::Millis;
use crate::OrgName;
use crate::Organisation;
use crate::RouteName;
use crate::ServiceName;
use crate::organisation::Organisations;
use crate::rendezvous::hash;

/// The kind of a route's requests; it determines whether they may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once for each attempt of its client.
    NonIdempotent,
    /// The answer is a series of events; not idempotent unless the route is resumable.
    Streaming,
    /// Jobs of many items that run in the background.
    Batch,
}

/// One of the services between which a route's requests are divided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: RouteName,
    /// The host that its requests name.
    pub host: Arc<str>,
    /// The prefix of its requests' paths; it starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// The kind of its requests.
    pub kind: RouteKind,
    /// The maximum time that a client waits for the end of an answer.
    pub timeout_ms: Option<Millis>,
    /// The time within which an answer, or a stream's first event, counts as on time.
    pub objective_ms: Option<Millis>,
    /// The maximum gap between a stream's events that counts as on time.
    pub gap_objective_ms: Option<Millis>,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The services that run its requests; never empty.
    pub targets: Vec<Target>,
    /// The maximum number of replicas to which one attempt of a client may be sent.
    pub max_attempts: u32,
    /// Whether a stream may be continued by another replica after the last event received.
    pub is_resumable: bool,
    /// How long after a job's first submission all its results are due.
    pub due_ms: Option<Millis>,
    /// How long after a job's first submission its items may be abandoned.
    pub retention_ms: Option<Millis>,
    /// The maximum number of tokens that wait on the route over all daemons; absent for no limit.
    pub max_waiting_tokens: Option<u64>,
    /// Whether its requests need no key although the configuration has organisations.
    pub is_open: bool,
}

impl Route {
    /// Returns whether one attempt of a client may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.is_resumable,
            RouteKind::NonIdempotent | RouteKind::Batch => false,
        }
    }

    /// Returns the service for a request; the same request id always gets the same service.
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
    pub fn has_target(&self, service: &ServiceName) -> bool {
        self.targets.iter().any(|target| target.service == *service && target.weight > 0)
    }
}

/// The capacity of a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// The maximum number of requests that run at the same time.
    pub slots: u32,
    /// The maximum number of tokens of running requests and cached prompt parts.
    pub memory_tokens: u64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The maximum number of connections that one replica accepts from all daemons together.
    pub max_connections: u32,
    /// The capacity of its engines; absent for plain services.
    pub engine: Option<EngineLimits>,
}

/// Limits on the size and the duration of clients' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IngressLimits {
    /// The maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// The maximum time until a head has arrived.
    pub header_ms: Millis,
    /// The maximum time that a connection may be idle.
    pub idle_ms: Millis,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The version; higher ones replace lower ones.
    pub version: u64,
    /// The limits on clients' requests.
    pub limits: IngressLimits,
    routes: Vec<Arc<Route>>,
    services: HashMap<ServiceName, Service>,
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// The organisations, or `None` if the configuration lists none, not even a malformed one.
    organisations: Option<Organisations>,
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
        Self { version, limits, routes, services, by_host, organisations: None }
    }

    /// Adds the organisations; from then on requests need keys.
    pub fn with_organisations(mut self, organisations: Organisations) -> Self {
        self.organisations = Some(organisations);
        self
    }

    /// Returns whether requests belong to organisations and need keys.
    pub fn has_organisations(&self) -> bool {
        self.organisations.is_some()
    }

    /// Returns all organisations, in the order of the configuration.
    pub fn organisations(&self) -> &[Arc<Organisation>] {
        self.organisations.as_ref().map_or(&[], Organisations::list)
    }

    /// Returns an organisation by its name.
    pub fn organisation(&self, name: &OrgName) -> Option<&Arc<Organisation>> {
        self.organisations.as_ref()?.by_name(name)
    }

    /// Returns the organisation that a key belongs to.
    pub fn organisation_of_key(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations.as_ref()?.by_key(key)
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
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
