//! Job routes for callers, and for operators who act for an organisation.

use std::sync::Arc;

use batch::JobApi;
use batch::jobs::store_refusal;
use batch::results;
use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use kernel::http_server::bytes_response;
use kernel::http_server::json_response;
use wire::JobId;
use wire::Reason;
use wire::Refusal;
use wire::job::JobSpec;

use crate::auth::Caller;
use crate::request::RouteResult;
use crate::request::parse_json_body;
use crate::request::query_field;
use crate::request::unknown_route;

/// Header with the number of the next lot of results.
pub const NEXT_LOT_HEADER: &str = "x-next-lot";

/// The job routes of one daemon.
pub struct JobRoutes {
    jobs: Arc<JobApi>,
}

impl JobRoutes {
    /// Creates the routes.
    pub fn new(jobs: Arc<JobApi>) -> Self {
        Self { jobs }
    }

    /// Stores the lot in the request's body.
    pub async fn put_lot(&self, caller: &Caller, request: &Request<Bytes>) -> RouteResult {
        let lot = self.jobs.put_lot(&caller.org.name, request.body()).await?;
        Ok(json_response(200, &lot))
    }

    /// Answers a request below `/v1/jobs`; `path` is the rest of its path without the leading slash.
    pub async fn route(
        &self,
        caller: &Caller,
        request: &Request<Bytes>,
        path: &str,
    ) -> RouteResult {
        let org = &caller.org.name;
        let (job, rest) = path.split_once('/').unwrap_or((path, ""));
        let id = JobId::from(job);
        match (request.method(), job.is_empty(), rest) {
            (&Method::POST, true, "") => {
                let spec: JobSpec = parse_json_body(request)?;
                let status = self.jobs.start(&caller.active, org, spec).await?;
                Ok(json_response(200, &status))
            }
            (&Method::GET, false, "") => Ok(json_response(200, &self.jobs.status(org, &id).await?)),
            (&Method::POST, false, "cancel") => {
                Ok(json_response(200, &self.jobs.cancel(org, &id).await?))
            }
            (&Method::GET, false, "results") => self.read_results(caller, request, &id).await,
            _ => Err(unknown_route(request)),
        }
    }

    /// Returns the recorded results of one lot as JSON Lines, and names the next lot in a header.
    async fn read_results(
        &self,
        caller: &Caller,
        request: &Request<Bytes>,
        job: &JobId,
    ) -> RouteResult {
        let lot: u32 = query_field(request, "lot").unwrap_or("0").parse().map_err(|_| {
            Refusal::not_run(Reason::BadRequest, "the query field 'lot' must be a number")
        })?;
        let manifest = self.jobs.manifest_of(&caller.org.name, job).await?.value;
        let head = self.jobs.read_head(job).await?;
        let lines = results::read_lot(self.jobs.store(), &manifest, &head, lot).await;
        let lines = lines.map_err(store_refusal)?;
        let mut response = bytes_response(200, "application/jsonl", Bytes::from(lines));
        if lot + 1 < manifest.spec.lots.len() as u32 {
            response.headers_mut().insert(NEXT_LOT_HEADER, HeaderValue::from(lot + 1));
        }
        Ok(response)
    }
}
