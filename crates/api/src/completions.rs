//! The completion routes: whole and streamed answers, with and without a caller's key.

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
use crate::claims::Claimed;
use crate::claims::Claims;
use crate::completion::AnswerHead;
use crate::completion::CompletionBody;
use crate::completion::Shape;
use crate::request::Answer;
use crate::request::header;
use crate::request::json_body;

/// Tokens that may wait for a slow caller.
const TOKEN_QUEUE: usize = 64;
/// The last event of a whole streamed answer.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
/// The header that marks a request as not idempotent, whatever its model says.
const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// The header with the caller's key.
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

    /// Answers one completion request.
    pub async fn complete(&self, caller: Caller, request: &Request<Bytes>, shape: Shape) -> Answer {
        let deadline_ms = self.admission.deadline_ms(request.headers())?;
        let body: CompletionBody = json_body(request)?;
        let model = caller.active.bundle.model(&body.model).cloned().ok_or_else(|| {
            let message = format!("the bundle in force has no model '{}'", body.model);
            Refusal::not_run(Reason::UnknownModel, message)
        })?;
        let key = header(request.headers(), KEY_HEADER);
        let is_marked = header(request.headers(), IDEMPOTENT_HEADER) == Some("false");
        let online_request = OnlineRequest {
            prompt: body.prompt(shape)?,
            max_tokens: body.max_tokens(model.max_tokens)?,
            idempotent: model.idempotent && !is_marked,
            requested_model: ModelName::from(body.model.as_str()),
            model: model.name,
            active: Arc::clone(&caller.active),
            deadline_ms,
        };
        let permit = self.admission.admit(&caller.org, deadline_ms)?;
        self.counters.count("online_requests");
        let head = AnswerHead { id: format!("cmpl-{}", new_write_id()), model: body.model, shape };
        let claim = match key {
            None => None,
            Some(key) => match self.claims.claim(&caller.org.name, key, request.body()).await? {
                Claimed::Run(claim) => Some(claim),
                Claimed::Answered(answer) => {
                    self.counters.count("answers_replayed");
                    return Ok(replay(&head, &answer, body.stream));
                }
            },
        };
        let run = Run::start(Arc::clone(&self.online), online_request, claim, permit);
        if body.stream { self.stream(head, run).await } else { whole(head, run).await }
    }

    /// Streams an answer; a refusal before the first token keeps its status.
    async fn stream(&self, head: AnswerHead, mut run: Run) -> Answer {
        let Some(first) = run.tokens.recv().await else {
            run.result().await?;
            return Ok(stream_of(vec![event(&head.chunk(None)), Bytes::from_static(DONE_EVENT)]));
        };
        let (sender, chunks) = mpsc::channel(TOKEN_QUEUE);
        let counters = self.counters.clone();
        tokio::spawn(async move {
            let mut next = Some(first);
            while let Some(text) = next {
                // A send fails when the caller is gone; dropping the run then cancels it.
                if sender.send(Ok(event(&head.chunk(Some(&text))))).await.is_err() {
                    return;
                }
                next = run.tokens.recv().await;
            }
            let last = match run.result().await {
                Ok(()) => vec![event(&head.chunk(None)), Bytes::from_static(DONE_EVENT)],
                Err(refusal) => {
                    counters.count_refusal(&refusal);
                    vec![event(&json!({"error": refusal}))]
                }
            };
            for bytes in last {
                let _ = sender.send(Ok(bytes)).await;
            }
        });
        Ok(stream_response("text/event-stream", chunks))
    }
}

/// A request in progress: its tokens, and its end.
struct Run {
    tokens: mpsc::Receiver<String>,
    task: JoinHandle<Result<(), Refusal>>,
}

impl Run {
    fn start(
        online: Arc<OnlineDispatcher>,
        request: OnlineRequest,
        claim: Option<Claim>,
        permit: Permit,
    ) -> Self {
        let (sender, tokens) = mpsc::channel(TOKEN_QUEUE);
        let task = tokio::spawn(async move {
            let _permit = permit;
            match claim {
                None => online.generate(&request, &sender).await,
                Some(claim) => run_claimed(&online, &request, claim, sender).await,
            }
        });
        Self { tokens, task }
    }

    async fn result(self) -> Result<(), Refusal> {
        drop(self.tokens);
        self.task.await.unwrap_or_else(|error| {
            Err(Refusal::may_have_run(Reason::BackendLost, format!("the request failed: {error}")))
        })
    }
}

/// Runs a keyed request to its end even if its caller goes away, since the caller may resend it.
async fn run_claimed(
    online: &OnlineDispatcher,
    request: &OnlineRequest,
    claim: Claim,
    sender: mpsc::Sender<String>,
) -> Result<(), Refusal> {
    let (inner, mut tokens) = mpsc::channel::<String>(TOKEN_QUEUE);
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
        Ok(()) => claim.keep_answer(whole).await,
        Err(refusal) if refusal.ran == Ran::No => claim.release().await,
        Err(_) => {}
    }
    result
}

async fn whole(head: AnswerHead, mut run: Run) -> Answer {
    let mut text = String::new();
    let mut tokens = 0;
    while let Some(token) = run.tokens.recv().await {
        text.push_str(&token);
        tokens += 1;
    }
    run.result().await?;
    Ok(json_response(200, &head.whole(&text, tokens)))
}

fn replay(head: &AnswerHead, answer: &str, is_streamed: bool) -> Response<Body> {
    if !is_streamed {
        return json_response(200, &head.whole(answer, 0));
    }
    let events = [
        event(&head.chunk(Some(answer))),
        event(&head.chunk(None)),
        Bytes::from_static(DONE_EVENT),
    ];
    stream_of(events.to_vec())
}

fn stream_of(events: Vec<Bytes>) -> Response<Body> {
    let (sender, chunks): (_, BodyChunks) = mpsc::channel(events.len().max(1));
    for bytes in events {
        let _ = sender.try_send(Ok(bytes));
    }
    stream_response("text/event-stream", chunks)
}

fn event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}
