//! The stand-in weight store: one rate for all readers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use http::Response;
use kernel::KernelError;
use kernel::http_server::Body;
use kernel::http_server::Handler;
use kernel::http_server::Server;
use kernel::http_server::json_response;
use serde_json::json;
use tokio::sync::Mutex;

use crate::platform::query;
use crate::platform::refused;

/// The stand-in weight store.
pub struct WeightStore {
    mb_per_s: f64,
    line: Mutex<()>,
}

impl WeightStore {
    /// Creates a store that sends `mb_per_s` to all readers together.
    pub fn new(mb_per_s: f64) -> Arc<Self> {
        Arc::new(Self { mb_per_s, line: Mutex::new(()) })
    }

    /// Serves on `address`.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> Result<Server, KernelError> {
        Server::bind(address, None, Arc::new(WeightHandler(Arc::clone(self))))
    }

    /// Waits as long as reading `size_mb` takes after the readers before.
    pub async fn read(&self, size_mb: f64) {
        let _turn = self.line.lock().await;
        tokio::time::sleep(Duration::from_secs_f64(size_mb / self.mb_per_s)).await;
    }
}

struct WeightHandler(Arc<WeightStore>);

#[async_trait]
impl Handler for WeightHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let size_mb = query(&request, "mb").and_then(|text| text.parse::<f64>().ok());
        match size_mb {
            Some(size_mb) if request.uri().path() == "/v1/weights" => {
                self.0.read(size_mb).await;
                json_response(200, &json!({"mb": size_mb}))
            }
            _ => refused(404),
        }
    }
}
