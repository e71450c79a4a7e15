//! The operators' port.

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
use crate::request::Answer;
use crate::request::no_route;

/// The handler of the operators' port.
pub struct AdminRoutes {
    /// The bundle in force.
    pub bundle_manager: Arc<BundleManager>,
    /// Who may call.
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
    async fn route(&self, request: &Request<Bytes>) -> Answer {
        let operator = auth::operator(&self.operators, request.headers())?;
        let path = request.uri().path();
        info!("event=admin_call operator={operator} method={} path={path}", request.method());
        if let Some(rest) = path.strip_prefix("/admin/v1/organisations/") {
            return self.for_organisation(request, rest).await;
        }
        match (request.method(), path) {
            (&Method::POST, "/admin/v1/bundle/check") => self.bundles.check(request),
            (&Method::POST, "/admin/v1/bundle/roll") => self.bundles.roll(operator, request).await,
            (&Method::GET, "/admin/v1/bundle/status") => self.bundles.status().await,
            _ => Err(no_route(request)),
        }
    }

    /// Answers job calls that an operator makes for an organisation.
    async fn for_organisation(&self, request: &Request<Bytes>, rest: &str) -> Answer {
        let (org, path) = rest.split_once('/').ok_or_else(|| no_route(request))?;
        let caller = auth::caller_by_name(&self.bundle_manager, org)?;
        match path.split_once('/').unwrap_or((path, "")) {
            ("lots", "") => self.jobs.put_lot(&caller, request).await,
            ("jobs", rest) => self.jobs.route(&caller, request, rest).await,
            _ => Err(no_route(request)),
        }
    }
}
