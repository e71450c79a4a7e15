//! The route of calls to plain services.

use std::sync::Arc;

use bytes::Bytes;
use engine::OnlineDispatcher;
use engine::online::OnlineServiceCall;
use http::Request;
use kernel::Counters;
use kernel::http_server::bytes_response;
use wire::ModelName;
use wire::Ran;
use wire::Reason;
use wire::Refusal;

use crate::admission::Admission;
use crate::admission::Permit;
use crate::auth::Caller;
use crate::claims::Claim;
use crate::claims::ClaimOutcome;
use crate::claims::Claims;
use crate::completions::KEY_HEADER;
use crate::request::RouteResult;
use crate::request::header_text;

/// Content type of answers. The replica's bytes are passed on unchanged, except in the answer to a
/// resend, which is stored as text.
const ANSWER_CONTENT_TYPE: &str = "application/octet-stream";

/// Admits calls to plain services and dispatches them to a replica.
pub struct ServiceCalls {
    online: Arc<OnlineDispatcher>,
    admission: Arc<Admission>,
    claims: Arc<Claims>,
    counters: Counters,
}

impl ServiceCalls {
    /// Creates the route.
    pub fn new(
        online: Arc<OnlineDispatcher>,
        admission: Arc<Admission>,
        claims: Arc<Claims>,
        counters: Counters,
    ) -> Self {
        Self { online, admission, claims, counters }
    }

    /// Answers one call; a call with an idempotency key runs at most once.
    pub async fn call(
        &self,
        caller: Caller,
        request: &Request<Bytes>,
        service: &str,
        call: &str,
    ) -> RouteResult {
        let deadline_ms = self.admission.deadline_ms(request.headers())?;
        let service_schema = caller.active.bundle.service(service);
        let call_schema =
            service_schema.and_then(|s| s.calls.iter().find(|schema| schema.name == call));
        let idempotent = call_schema.map(|schema| schema.idempotent).ok_or_else(|| {
            let message = format!("the bundle in force has no call '{service}/{call}'");
            Refusal::not_run(Reason::UnknownModel, message)
        })?;
        let permit = self.admission.admit(&caller.org, deadline_ms)?;
        self.counters.count("service_calls");
        let online_call = OnlineServiceCall {
            active: Arc::clone(&caller.active),
            service: ModelName::from(service),
            call: call.to_owned(),
            body: request.body().clone(),
            idempotent,
            deadline_ms,
        };
        let Some(key) = header_text(request.headers(), KEY_HEADER) else {
            let answer = self.online.call(&online_call).await;
            drop(permit);
            return answer.map(|body| bytes_response(200, ANSWER_CONTENT_TYPE, body));
        };
        let scoped_key = format!("{service}/{call}/{key}");
        match self.claims.claim(&caller.org.name, &scoped_key, request.body()).await? {
            ClaimOutcome::Answered(answer) => {
                self.counters.count("answers_replayed");
                Ok(bytes_response(200, ANSWER_CONTENT_TYPE, answer))
            }
            ClaimOutcome::Run(claim) => self.run_claimed(online_call, claim, permit).await,
        }
    }

    /// Runs a call with an idempotency key in a task of its own, so that it ends even if its caller
    /// disconnects.
    async fn run_claimed(
        &self,
        call: OnlineServiceCall,
        claim: Claim,
        permit: Permit,
    ) -> RouteResult {
        let online = Arc::clone(&self.online);
        let task = tokio::spawn(async move {
            let _permit = permit;
            let result = online.call(&call).await;
            match &result {
                Ok(body) => claim.store_answer(body).await,
                Err(refusal) if refusal.ran == Ran::No => claim.release().await,
                Err(_) => {}
            }
            result
        });
        let result = task.await.unwrap_or_else(|error| {
            Err(Refusal::may_have_run(Reason::BackendLost, format!("the call failed: {error}")))
        });
        result.map(|body| bytes_response(200, ANSWER_CONTENT_TYPE, body))
    }
}
