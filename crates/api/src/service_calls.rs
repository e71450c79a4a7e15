//! The route to plain services.

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
use crate::claims::Claimed;
use crate::claims::Claims;
use crate::completions::KEY_HEADER;
use crate::request::Answer;
use crate::request::header;

/// The type of answers, which are passed on as they are.
const ANSWER_TYPE: &str = "application/octet-stream";

/// The route to plain services.
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

    /// Answers one call.
    pub async fn call(
        &self,
        caller: Caller,
        request: &Request<Bytes>,
        service: &str,
        call: &str,
    ) -> Answer {
        let deadline_ms = self.admission.deadline_ms(request.headers())?;
        let known = caller.active.bundle.service(service);
        let known = known.and_then(|s| s.calls.iter().find(|known| known.name == call));
        let idempotent = known.map(|known| known.idempotent).ok_or_else(|| {
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
        let Some(key) = header(request.headers(), KEY_HEADER) else {
            let answer = self.online.call(&online_call).await;
            drop(permit);
            return answer.map(|body| bytes_response(200, ANSWER_TYPE, body));
        };
        let scoped_key = format!("{service}/{call}/{key}");
        match self.claims.claim(&caller.org.name, &scoped_key, request.body()).await? {
            Claimed::Answered(answer) => {
                self.counters.count("answers_replayed");
                Ok(bytes_response(200, ANSWER_TYPE, Bytes::from(answer)))
            }
            Claimed::Run(claim) => self.run_claimed(online_call, claim, permit).await,
        }
    }

    /// Runs a keyed call to its end even if its caller goes away.
    async fn run_claimed(&self, call: OnlineServiceCall, claim: Claim, permit: Permit) -> Answer {
        let online = Arc::clone(&self.online);
        let task = tokio::spawn(async move {
            let _permit = permit;
            let result = online.call(&call).await;
            match &result {
                Ok(body) => {
                    claim.keep_answer(String::from_utf8_lossy(body).into_owned()).await;
                }
                Err(refusal) if refusal.ran == Ran::No => claim.release().await,
                Err(_) => {}
            }
            result
        });
        let result = task.await.unwrap_or_else(|error| {
            Err(Refusal::may_have_run(Reason::BackendLost, format!("the call failed: {error}")))
        });
        result.map(|body| bytes_response(200, ANSWER_TYPE, body))
    }
}
