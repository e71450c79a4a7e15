//! HTTP handler of the operators' port.

use std::sync::Arc;

use async_trait::async_trait;
use bundle::BundleManager;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use kernel::Counters;
use kernel::http_server::Body;
use kernel::http_server::Handler;
use kernel::http_server::refusal_response;
use kernel::settings::OperatorSettings;
use log::info;

use crate::auth;
use crate::bundles::BundleRoutes;
use crate::jobs::JobRoutes;
use crate::request::RouteResult;
use crate::request::unknown_route;

/// Routes the requests that arrive at the operators' port.
pub struct AdminRoutes {
    /// Holds the bundle in force.
    pub bundle_manager: Arc<BundleManager>,
    /// Operators who may call, from the daemon's settings.
    pub operators: Vec<OperatorSettings>,
    /// The bundle routes.
    pub bundles: BundleRoutes,
    /// The job routes.
    pub jobs: Arc<JobRoutes>,
    /// The daemon's counters.
    pub counters: Counters,
}

#[async_trait]
impl Handler for AdminRoutes {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        self.route(&request).await.unwrap_or_else(|refusal| {
            self.counters.count_refusal(&refusal);
            refusal_response(&refusal)
        })
    }
}

impl AdminRoutes {
    async fn route(&self, request: &Request<Bytes>) -> RouteResult {
        let operator = auth::authenticate_operator(&self.operators, request.headers())?;
        let path = request.uri().path();
        info!("event=admin_call operator={operator} method={} path={path}", request.method());
        if let Some(rest) = path.strip_prefix("/admin/v1/organisations/") {
            return self.route_for_organisation(request, rest).await;
        }
        match (request.method(), path) {
            (&Method::POST, "/admin/v1/bundle/check") => self.bundles.check(request),
            (&Method::POST, "/admin/v1/bundle/roll") => self.bundles.roll(operator, request).await,
            (&Method::GET, "/admin/v1/bundle/status") => self.bundles.status().await,
            _ => Err(unknown_route(request)),
        }
    }

    /// Answers the job requests that an operator makes on behalf of an organisation.
    async fn route_for_organisation(&self, request: &Request<Bytes>, rest: &str) -> RouteResult {
        let (org, path) = rest.split_once('/').ok_or_else(|| unknown_route(request))?;
        let caller = auth::caller_for_organisation(&self.bundle_manager, org)?;
        match path.split_once('/').unwrap_or((path, "")) {
            ("lots", "") => self.jobs.put_lot(&caller, request).await,
            ("jobs", rest) => self.jobs.route(&caller, request, rest).await,
            _ => Err(unknown_route(request)),
        }
    }
}
