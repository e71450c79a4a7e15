//! Stub plain service, which answers each call and counts its runs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use http::Response;
use kernel::KernelError;
use kernel::http_server::Body;
use kernel::http_server::Handler;
use kernel::http_server::Server;
use kernel::http_server::bytes_response;
use kernel::http_server::json_response;
use serde_json::json;

use crate::fault::Fault;
use crate::platform::broken_response;
use crate::platform::status_response;

/// Interval at which a frozen service checks whether the fault has ended.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Default)]
struct State {
    runs: HashMap<Bytes, u32>,
    drop_answers: u32,
    is_down: bool,
    is_frozen: bool,
    answer_delay: Duration,
}

/// A stub plain service.
#[derive(Default)]
pub struct Service {
    state: Mutex<State>,
}

impl Service {
    /// Creates a service.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Serves the service on `address`.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> Result<Server, KernelError> {
        Server::bind(address, None, Arc::new(ServiceHandler(Arc::clone(self))))
    }

    /// Returns how often a call with this body was run.
    pub fn run_count(&self, body: &[u8]) -> u32 {
        self.state().runs.get(body).copied().unwrap_or(0)
    }

    /// Injects a fault; `Heal` ends all faults.
    pub fn set_fault(&self, fault: &Fault) {
        let mut state = self.state();
        match fault {
            Fault::Down | Fault::Restart => state.is_down = true,
            Fault::Freeze | Fault::Silence => state.is_frozen = true,
            Fault::Slow { wait_ms } => state.answer_delay = Duration::from_millis(*wait_ms),
            Fault::DropAnswers { count } => state.drop_answers = *count,
            Fault::Heal => {
                state.is_down = false;
                state.is_frozen = false;
                state.answer_delay = Duration::ZERO;
                state.drop_answers = 0;
            }
        }
    }

    async fn call(&self, request: Request<Bytes>) -> Response<Body> {
        if self.state().is_down {
            return status_response(503);
        }
        let is_dropped = {
            let mut state = self.state();
            *state.runs.entry(request.body().clone()).or_default() += 1;
            let is_dropped = state.drop_answers > 0;
            state.drop_answers = state.drop_answers.saturating_sub(1);
            is_dropped
        };
        let answer_delay = self.state().answer_delay;
        tokio::time::sleep(answer_delay).await;
        while self.state().is_frozen {
            tokio::time::sleep(FROZEN_POLL_INTERVAL).await;
        }
        if is_dropped {
            return broken_response();
        }
        let mut text = b"done:".to_vec();
        text.extend_from_slice(request.body());
        let mut response = bytes_response(200, "application/octet-stream", Bytes::from(text));
        if let Some(id) = request.headers().get("x-request-id") {
            response.headers_mut().insert("x-request-id", id.clone());
        }
        response
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct ServiceHandler(Arc<Service>);

#[async_trait]
impl Handler for ServiceHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        match request.uri().path() {
            "/stub/fault" => match serde_json::from_slice::<Fault>(request.body()) {
                Ok(fault) => {
                    self.0.set_fault(&fault);
                    json_response(200, &fault)
                }
                Err(error) => json_response(400, &json!({"error": error.to_string()})),
            },
            path if path.starts_with("/v1/calls/") => self.0.call(request).await,
            _ => status_response(404),
        }
    }
}
