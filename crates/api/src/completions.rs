//! Completion routes, with whole or streamed answers and optional idempotency keys.

use std::sync::Arc;

use bytes::Bytes;
use engine::OnlineDispatcher;
use engine::online::OnlineRequest;
use http::Request;
use http::Response;
use kernel::Counters;
use kernel::http_server::Body;
use kernel::http_server::BodyChunks;
use kernel::http_server::json_response;
use kernel::http_server::stream_response;
use serde_json::Value;
use serde_json::json;
use store::store::new_write_id;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
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
use crate::completion_format::AnswerBuilder;
use crate::completion_format::CompletionBody;
use crate::completion_format::CompletionKind;
use crate::request::RouteResult;
use crate::request::header_text;
use crate::request::parse_json_body;

/// Number of tokens that are buffered for a slow caller.
const TOKEN_QUEUE_LENGTH: usize = 64;
/// Event that ends a complete streamed answer.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
/// Header that marks a request as not idempotent, even if its model is marked idempotent.
const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// The completion routes of one daemon.
pub struct Completions {
    online: Arc<OnlineDispatcher>,
    admission: Arc<Admission>,
    claims: Arc<Claims>,
    counters: Counters,
}

impl Completions {
    /// Creates the routes.
    pub fn new(
        online: Arc<OnlineDispatcher>,
        admission: Arc<Admission>,
        claims: Arc<Claims>,
        counters: Counters,
    ) -> Self {
        Self { online, admission, claims, counters }
    }

    /// Answers one completion request; a request with an idempotency key runs at most once.
    pub async fn complete(
        &self,
        caller: Caller,
        request: &Request<Bytes>,
        kind: CompletionKind,
    ) -> RouteResult {
        let deadline_ms = self.admission.deadline_ms(request.headers())?;
        let body: CompletionBody = parse_json_body(request)?;
        let model = caller.active.bundle.model(&body.model).cloned().ok_or_else(|| {
            let message = format!("the bundle in force has no model '{}'", body.model);
            Refusal::not_run(Reason::UnknownModel, message)
        })?;
        let key = header_text(request.headers(), KEY_HEADER);
        let is_marked_non_idempotent =
            header_text(request.headers(), IDEMPOTENT_HEADER) == Some("false");
        let online_request = OnlineRequest {
            prompt: body.prompt(kind)?,
            max_tokens: body.max_tokens(model.max_tokens)?,
            idempotent: model.idempotent && !is_marked_non_idempotent,
            requested_model: ModelName::from(body.model.as_str()),
            model: model.name,
            active: Arc::clone(&caller.active),
            deadline_ms,
        };
        let permit = self.admission.admit(&caller.org, deadline_ms)?;
        self.counters.count("online_requests");
        let builder =
            AnswerBuilder { id: format!("cmpl-{}", new_write_id()), model: body.model, kind };
        let claim = match key {
            None => None,
            Some(key) => match self.claims.claim(&caller.org.name, key, request.body()).await? {
                ClaimOutcome::Run(claim) => Some(claim),
                ClaimOutcome::Answered(answer) => {
                    self.counters.count("answers_replayed");
                    let text = String::from_utf8_lossy(&answer);
                    return Ok(replay_answer(&builder, &text, body.stream));
                }
            },
        };
        let run = RunningRequest::start(Arc::clone(&self.online), online_request, claim, permit);
        if body.stream {
            self.stream_answer(builder, run).await
        } else {
            collect_answer(builder, run).await
        }
    }

    /// Streams an answer. The first token is awaited before the response starts, so that a refusal
    /// before it is sent with its own HTTP status.
    async fn stream_answer(&self, builder: AnswerBuilder, mut run: RunningRequest) -> RouteResult {
        let Some(first) = run.tokens.recv().await else {
            run.finish().await?;
            return Ok(stream_events(vec![
                sse_event(&builder.build_chunk(None)),
                Bytes::from_static(DONE_EVENT),
            ]));
        };
        let (sender, chunks) = mpsc::channel(TOKEN_QUEUE_LENGTH);
        let counters = self.counters.clone();
        tokio::spawn(async move {
            let mut next = Some(first);
            while let Some(text) = next {
                // A failed send means that the caller disconnected; dropping the run cancels it,
                // unless the request has an idempotency key.
                if sender.send(Ok(sse_event(&builder.build_chunk(Some(&text))))).await.is_err() {
                    return;
                }
                next = run.tokens.recv().await;
            }
            let last = match run.finish().await {
                Ok(()) => {
                    vec![sse_event(&builder.build_chunk(None)), Bytes::from_static(DONE_EVENT)]
                }
                Err(refusal) => {
                    counters.count_refusal(&refusal);
                    vec![sse_event(&json!({"error": refusal}))]
                }
            };
            for bytes in last {
                let _ = sender.send(Ok(bytes)).await;
            }
        });
        Ok(stream_response("text/event-stream", chunks))
    }
}

/// A request in progress: the tokens as they are generated, and the task that returns its result.
struct RunningRequest {
    tokens: mpsc::Receiver<String>,
    task: JoinHandle<Result<(), Refusal>>,
}

impl RunningRequest {
    fn start(
        online: Arc<OnlineDispatcher>,
        request: OnlineRequest,
        claim: Option<Claim>,
        permit: Permit,
    ) -> Self {
        let (sender, tokens) = mpsc::channel(TOKEN_QUEUE_LENGTH);
        let task = tokio::spawn(async move {
            let _permit = permit;
            match claim {
                None => online.generate(&request, &sender).await,
                Some(claim) => run_claimed(&online, &request, claim, sender).await,
            }
        });
        Self { tokens, task }
    }

    async fn finish(self) -> Result<(), Refusal> {
        drop(self.tokens);
        self.task.await.unwrap_or_else(|error| {
            Err(Refusal::may_have_run(Reason::BackendLost, format!("the request failed: {error}")))
        })
    }
}

/// Runs a request with an idempotency key to its end even if its caller disconnects, since the caller
/// may resend it.
async fn run_claimed(
    online: &OnlineDispatcher,
    request: &OnlineRequest,
    claim: Claim,
    sender: mpsc::Sender<String>,
) -> Result<(), Refusal> {
    let (inner, mut tokens) = mpsc::channel::<String>(TOKEN_QUEUE_LENGTH);
    let forward = async {
        let mut whole = String::new();
        while let Some(text) = tokens.recv().await {
            whole.push_str(&text);
            let _ = sender.send(text).await;
        }
        whole
    };
    let generate = async {
        let result = online.generate(request, &inner).await;
        drop(inner);
        result
    };
    let (result, whole) = tokio::join!(generate, forward);
    match &result {
        Ok(()) => claim.store_answer(whole.as_bytes()).await,
        Err(refusal) if refusal.ran == Ran::No => claim.release().await,
        Err(_) => {}
    }
    result
}

async fn collect_answer(builder: AnswerBuilder, mut run: RunningRequest) -> RouteResult {
    let mut text = String::new();
    let mut tokens = 0;
    while let Some(token) = run.tokens.recv().await {
        text.push_str(&token);
        tokens += 1;
    }
    run.finish().await?;
    Ok(json_response(200, &builder.build_whole(&text, tokens)))
}

fn replay_answer(builder: &AnswerBuilder, answer: &str, is_streamed: bool) -> Response<Body> {
    if !is_streamed {
        return json_response(200, &builder.build_whole(answer, 0));
    }
    let events = [
        sse_event(&builder.build_chunk(Some(answer))),
        sse_event(&builder.build_chunk(None)),
        Bytes::from_static(DONE_EVENT),
    ];
    stream_events(events.to_vec())
}

fn stream_events(events: Vec<Bytes>) -> Response<Body> {
    let (sender, chunks): (_, BodyChunks) = mpsc::channel(events.len().max(1));
    for bytes in events {
        let _ = sender.try_send(Ok(bytes));
    }
    stream_response("text/event-stream", chunks)
}

fn sse_event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}
