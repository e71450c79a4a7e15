//! HTTP handler of the callers' port.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use bundle::BundleManager;
use bytes::Bytes;
use fleet::MembershipService;
use fleet::endpoints;
use http::Method;
use http::Request;
use http::Response;
use kernel::Counters;
use kernel::http_server::Body;
use kernel::http_server::Handler;
use kernel::http_server::json_response;
use kernel::http_server::refusal_response;
use serde_json::json;
use wire::Millis;
use wire::Reason;
use wire::Refusal;

use crate::auth;
use crate::completion_format::CompletionKind;
use crate::completions::Completions;
use crate::jobs::JobRoutes;
use crate::request::RouteResult;
use crate::request::query_field;
use crate::request::unknown_route;
use crate::service_calls::ServiceCalls;

/// Routes the requests that arrive at the callers' port.
pub struct CallerRoutes {
    /// Holds the bundle in force.
    pub bundle_manager: Arc<BundleManager>,
    /// The daemons of the fleet.
    pub members: Arc<MembershipService>,
    /// The completion routes.
    pub completions: Completions,
    /// The route of calls to plain services.
    pub service_calls: ServiceCalls,
    /// The job routes.
    pub jobs: Arc<JobRoutes>,
    /// The daemon's counters.
    pub counters: Counters,
    /// How long callers may cache an endpoints answer.
    pub endpoints_keep_ms: Millis,
    /// Whether new requests are refused because the daemon is stopping.
    pub is_closed: AtomicBool,
}

#[async_trait]
impl Handler for CallerRoutes {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        self.route(&request).await.unwrap_or_else(|refusal| {
            self.counters.count_refusal(&refusal);
            refusal_response(&refusal)
        })
    }
}

impl CallerRoutes {
    async fn route(&self, request: &Request<Bytes>) -> RouteResult {
        let path = request.uri().path();
        if path == "/healthz" {
            return Ok(json_response(200, &json!({"live": true})));
        }
        if path == "/v1/endpoints" && request.method() == Method::GET {
            return Ok(self.list_endpoints(request));
        }
        if self.is_closed.load(Ordering::Acquire) {
            let message = "this daemon is stopping; ask for the endpoints again";
            return Err(Refusal::not_run(Reason::Leaving, message).with_retry_after(0));
        }
        let caller = auth::authenticate_caller(&self.bundle_manager, request.headers())?;
        if let Some(rest) = path.strip_prefix("/v1/jobs") {
            return self.jobs.route(&caller, request, rest.trim_start_matches('/')).await;
        }
        if let Some(rest) = path.strip_prefix("/v1/services/") {
            let (service, call) = rest.split_once('/').ok_or_else(|| unknown_route(request))?;
            return match *request.method() {
                Method::POST => self.service_calls.call(caller, request, service, call).await,
                _ => Err(unknown_route(request)),
            };
        }
        match (request.method(), path) {
            (&Method::POST, "/v1/completions") => {
                self.completions.complete(caller, request, CompletionKind::Text).await
            }
            (&Method::POST, "/v1/chat/completions") => {
                self.completions.complete(caller, request, CompletionKind::Chat).await
            }
            (&Method::POST, "/v1/lots") => self.jobs.put_lot(&caller, request).await,
            (&Method::GET, "/v1/models") => {
                let models = caller.active.bundle.models.iter();
                let data: Vec<_> =
                    models.map(|model| json!({"id": model.name, "object": "model"})).collect();
                Ok(json_response(200, &json!({"object": "list", "data": data})))
            }
            _ => Err(unknown_route(request)),
        }
    }

    fn list_endpoints(&self, request: &Request<Bytes>) -> Response<Body> {
        let data_centre = query_field(request, "data_centre");
        // Requests without a caller name get a new random spread over the daemons each time.
        let random = store::store::new_write_id();
        let caller = query_field(request, "caller").unwrap_or(&random);
        let serving = self.members.serving_daemons();
        let answer = endpoints::for_caller(&serving, caller, data_centre, self.endpoints_keep_ms);
        json_response(200, &answer)
    }
}
