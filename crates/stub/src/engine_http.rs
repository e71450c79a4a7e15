//! HTTP protocol of the stub engine.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use kernel::KernelError;
use kernel::http_server::Body;
use kernel::http_server::BodyChunks;
use kernel::http_server::Handler;
use kernel::http_server::Server;
use kernel::http_server::json_response;
use kernel::http_server::stream_response;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::engine::Engine;
use crate::engine::EngineRefusal;
use crate::engine::GenerateBody;
use crate::fault::Fault;
use crate::platform::status_response;

/// Interval at which a frozen engine checks whether the fault has ended.
const FROZEN_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);

#[derive(Deserialize)]
struct ResumeBody {
    request_id: String,
    from_index: usize,
}

#[derive(Deserialize)]
struct CancelBody {
    request_id: String,
    keep: bool,
}

/// Serves an engine over HTTP on `address`.
pub fn serve(engine: &Arc<Engine>, address: SocketAddr) -> Result<Server, KernelError> {
    Server::bind(address, None, Arc::new(EngineHandler(Arc::clone(engine))))
}

struct EngineHandler(Arc<Engine>);

#[async_trait]
impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let path = request.uri().path();
        if let Some(rest) = path.strip_prefix("/stub/") {
            return self.control(rest, request.body());
        }
        self.delay_answer().await;
        let body = request.body();
        match path {
            "/v1/completions" => self.generate(body),
            "/v1/resume" => self.resume(body),
            "/v1/cancel" => self.cancel(body),
            "/v1/orders" => self.apply_order(body),
            "/v1/load" => json_response(200, &json!({"running": self.0.reported_load()})),
            _ => status_response(404),
        }
    }
}

impl EngineHandler {
    async fn delay_answer(&self) {
        let (answer_delay, _) = self.0.delays();
        tokio::time::sleep(answer_delay).await;
        while self.0.delays().1 {
            tokio::time::sleep(FROZEN_POLL_INTERVAL).await;
        }
    }

    fn generate(&self, body: &Bytes) -> Response<Body> {
        match serde_json::from_slice::<GenerateBody>(body) {
            Ok(body) => self.token_stream(self.0.generate(body)),
            Err(error) => bad_request(&error),
        }
    }

    fn resume(&self, body: &Bytes) -> Response<Body> {
        match serde_json::from_slice::<ResumeBody>(body) {
            Ok(body) => self.token_stream(self.0.resume(&body.request_id, body.from_index)),
            Err(error) => bad_request(&error),
        }
    }

    fn cancel(&self, body: &Bytes) -> Response<Body> {
        match serde_json::from_slice::<CancelBody>(body) {
            Ok(body) => empty_response(self.0.cancel(&body.request_id, body.keep)),
            Err(error) => bad_request(&error),
        }
    }

    fn apply_order(&self, body: &Bytes) -> Response<Body> {
        match serde_json::from_slice::<Value>(body) {
            Ok(value) => {
                let fencing_number = value["fencing_number"].as_u64().unwrap_or(0);
                empty_response(self.0.apply_order(fencing_number, value.to_string()))
            }
            Err(error) => bad_request(&error),
        }
    }

    fn token_stream(&self, chunks: Result<BodyChunks, EngineRefusal>) -> Response<Body> {
        match chunks {
            Ok(chunks) => {
                let mut response = stream_response("text/event-stream", chunks);
                let running = HeaderValue::from(self.0.running() as u64);
                response.headers_mut().insert("x-running", running);
                response
            }
            Err(refusal) => status_response(status_of(refusal)),
        }
    }

    fn control(&self, path: &str, body: &Bytes) -> Response<Body> {
        match path {
            "record" => json_response(200, &self.0.record()),
            "fault" => match serde_json::from_slice::<Fault>(body) {
                Ok(fault) => {
                    self.0.set_fault(&fault);
                    json_response(200, &fault)
                }
                Err(error) => bad_request(&error),
            },
            _ => status_response(404),
        }
    }
}

fn empty_response(result: Result<(), EngineRefusal>) -> Response<Body> {
    match result {
        Ok(()) => json_response(200, &json!({})),
        Err(refusal) => status_response(status_of(refusal)),
    }
}

fn status_of(refusal: EngineRefusal) -> u16 {
    match refusal {
        EngineRefusal::Down => 503,
        EngineRefusal::Refused => 422,
        EngineRefusal::UnknownRun => 404,
        EngineRefusal::Fenced => 409,
    }
}

fn bad_request(error: &serde_json::Error) -> Response<Body> {
    json_response(400, &json!({"error": error.to_string()}))
}
