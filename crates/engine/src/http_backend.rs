//! The HTTP implementation of the backend protocol, for model engines and plain services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use http_body_util::Limited;
use kernel::http_client::CallError;
use kernel::http_client::HttpClient;
use kernel::http_client::json_request;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::timeout;
use upstream::EventSplitter;
use wire::Millis;
use wire::RequestId;

use crate::backend::Backend;
use crate::backend::BackendError;
use crate::backend::BackendLoad;
use crate::backend::GenerationRequest;
use crate::backend::Order;
use crate::backend::ServiceRequest;
use crate::backend::StreamItem;
use crate::backend::Token;
use crate::backend::TokenStream;

/// The longest wait for the answer to a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest body of a refusal that is read for its text.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// The data of the event that ends a complete answer.
const END_OF_STREAM: &str = "[DONE]";

/// A client for backend servers over HTTP.
pub struct HttpBackend {
    client: Arc<HttpClient>,
}

impl HttpBackend {
    /// Creates the client.
    pub fn new(client: Arc<HttpClient>) -> Self {
        Self { client }
    }

    async fn stream(
        &self,
        request: Result<Request<Bytes>, CallError>,
        timeout_ms: Millis,
    ) -> Result<Box<dyn TokenStream>, BackendError> {
        let request = request.map_err(from_call_error)?;
        let time_limit = Duration::from_millis(timeout_ms);
        let response = self.client.send(request, time_limit).await.map_err(from_call_error)?;
        if !response.status().is_success() {
            return Err(self.read_refusal(response, time_limit).await);
        }
        let load = parse_load(&response);
        let stream = HttpTokenStream {
            client: Arc::clone(&self.client),
            body: response.into_body(),
            events: EventSplitter::default(),
            load,
        };
        Ok(Box::new(stream))
    }

    async fn read_refusal(
        &self,
        response: Response<hyper::body::Incoming>,
        time_limit: Duration,
    ) -> BackendError {
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_REFUSAL_BYTES).collect();
        let body = timeout(time_limit, body).await;
        let text = match body {
            Ok(Ok(collected)) => String::from_utf8_lossy(&collected.to_bytes()).into_owned(),
            _ => String::new(),
        };
        refusal_error(status, text)
    }
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    request_id: &'a str,
    generated: &'a [String],
}

#[derive(Serialize)]
struct ResumeBody<'a> {
    request_id: &'a str,
    from_index: u32,
}

#[derive(Serialize)]
struct CancelBody<'a> {
    request_id: &'a str,
    keep: bool,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fencing_number: u64,
    #[serde(flatten)]
    order: &'a Order,
}

#[derive(Deserialize)]
struct ChunkBody {
    id: RequestId,
    token_index: u32,
    choices: Vec<ChoiceBody>,
}

#[derive(Deserialize)]
struct ChoiceBody {
    text: String,
}

#[async_trait]
impl Backend for HttpBackend {
    async fn generate(
        &self,
        address: SocketAddr,
        request: &GenerationRequest,
        timeout_ms: Millis,
    ) -> Result<Box<dyn TokenStream>, BackendError> {
        let body = CompletionBody {
            model: request.model.as_str(),
            prompt: &request.prompt,
            max_tokens: request.max_tokens,
            stream: true,
            request_id: request.request_id.as_str(),
            generated: &request.generated,
        };
        let url = format!("http://{address}/v1/completions");
        self.stream(json_request(Method::POST, &url, &body), timeout_ms).await
    }

    async fn resume(
        &self,
        address: SocketAddr,
        request_id: &RequestId,
        from_index: u32,
        timeout_ms: Millis,
    ) -> Result<Box<dyn TokenStream>, BackendError> {
        let body = ResumeBody { request_id: request_id.as_str(), from_index };
        let url = format!("http://{address}/v1/resume");
        match self.stream(json_request(Method::POST, &url, &body), timeout_ms).await {
            Err(BackendError::Refused(_)) => Err(BackendError::UnknownRun),
            result => result,
        }
    }

    async fn cancel(
        &self,
        address: SocketAddr,
        request_id: &RequestId,
        keep: bool,
    ) -> Result<(), BackendError> {
        let body = CancelBody { request_id: request_id.as_str(), keep };
        let url = format!("http://{address}/v1/cancel");
        let request = json_request(Method::POST, &url, &body).map_err(from_call_error)?;
        let response = self.client.call(request, CANCEL_TIMEOUT).await.map_err(from_call_error)?;
        match response.status() {
            status if status.is_success() => Ok(()),
            StatusCode::NOT_FOUND => Err(BackendError::UnknownRun),
            status => Err(BackendError::Lost(format!("the cancel was answered {status}"))),
        }
    }

    async fn call(
        &self,
        address: SocketAddr,
        request: &ServiceRequest,
        timeout_ms: Millis,
    ) -> Result<Bytes, BackendError> {
        let http_request = Request::post(format!("http://{address}/v1/calls/{}", request.call))
            .header("x-request-id", request.request_id.as_str())
            .body(request.body.clone())
            .map_err(|error| BackendError::Refused(error.to_string()))?;
        let time_limit = Duration::from_millis(timeout_ms);
        let response = self.client.call(http_request, time_limit).await.map_err(from_call_error)?;
        let answered_id = response.headers().get("x-request-id").map(|id| id.as_bytes().to_vec());
        let is_mismatched =
            answered_id.is_some_and(|id| id != request.request_id.as_str().as_bytes());
        if is_mismatched {
            self.client.replace_pool();
            return Err(BackendError::Lost("the answer was for another request".to_owned()));
        }
        if response.status().is_success() {
            if has_ended_before_body(&response) {
                let message = "the connection ended before the body";
                return Err(BackendError::Lost(message.to_owned()));
            }
            return Ok(response.into_body());
        }
        let text = String::from_utf8_lossy(response.body()).into_owned();
        Err(refusal_error(response.status(), text))
    }

    async fn order(
        &self,
        address: SocketAddr,
        fencing_number: u64,
        order: &Order,
        timeout_ms: Millis,
    ) -> Result<(), BackendError> {
        let body = OrderBody { fencing_number, order };
        let url = format!("http://{address}/v1/orders");
        let request = json_request(Method::POST, &url, &body).map_err(from_call_error)?;
        let time_limit = Duration::from_millis(timeout_ms);
        let response = self.client.call(request, time_limit).await.map_err(from_call_error)?;
        match response.status() {
            status if status.is_success() => Ok(()),
            StatusCode::CONFLICT => Err(BackendError::Fenced),
            status => Err(refusal_error(status, String::new())),
        }
    }
}

struct HttpTokenStream {
    client: Arc<HttpClient>,
    body: hyper::body::Incoming,
    events: EventSplitter,
    load: Option<BackendLoad>,
}

impl HttpTokenStream {
    async fn read_item(&mut self) -> Result<StreamItem, BackendError> {
        loop {
            if let Some(event) = self.events.next_event() {
                return parse_event(&event.data());
            }
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Err(BackendError::Lost(error.to_string())),
                None => return Err(BackendError::Lost("the answer ended early".to_owned())),
            };
            if let Ok(bytes) = frame.into_data() {
                let pushed = self.events.push(&bytes);
                pushed.map_err(|error| BackendError::Lost(error.to_string()))?;
            }
        }
    }
}

#[async_trait]
impl TokenStream for HttpTokenStream {
    async fn next(&mut self, timeout_ms: Millis) -> Result<StreamItem, BackendError> {
        match timeout(Duration::from_millis(timeout_ms), self.read_item()).await {
            Ok(item) => item,
            Err(_) => {
                // Other pooled connections to the same host may be unresponsive too.
                self.client.replace_pool();
                Err(BackendError::Lost(format!("no event for {timeout_ms} ms")))
            }
        }
    }

    fn load(&self) -> Option<BackendLoad> {
        self.load
    }
}

fn parse_event(data: &str) -> Result<StreamItem, BackendError> {
    if data == END_OF_STREAM {
        return Ok(StreamItem::End);
    }
    let chunk: ChunkBody = serde_json::from_str(data)
        .map_err(|error| BackendError::Lost(format!("an event cannot be read: {error}")))?;
    let text = chunk.choices.into_iter().next().map(|choice| choice.text).unwrap_or_default();
    Ok(StreamItem::Token(Token { request_id: chunk.id, index: chunk.token_index, text }))
}

fn parse_load<B>(response: &Response<B>) -> Option<BackendLoad> {
    let running = response.headers().get("x-running")?.to_str().ok()?.parse().ok()?;
    Some(BackendLoad { running })
}

/// Returns whether the body is empty although neither a length nor chunks announced its end.
fn has_ended_before_body(response: &Response<Bytes>) -> bool {
    response.body().is_empty()
        && response.status() != StatusCode::NO_CONTENT
        && !response.headers().contains_key(CONTENT_LENGTH)
        && !response.headers().contains_key(TRANSFER_ENCODING)
}

fn refusal_error(status: StatusCode, text: String) -> BackendError {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => BackendError::Busy(text),
        status if status.is_client_error() => BackendError::Refused(text),
        status => BackendError::Lost(format!("answered {status}: {text}")),
    }
}

fn from_call_error(error: CallError) -> BackendError {
    match error {
        CallError::Connect(message) => BackendError::NotSent(message),
        CallError::Lost(message) => BackendError::Lost(message),
        CallError::TimedOut => BackendError::Lost("no answer in time".to_owned()),
    }
}
