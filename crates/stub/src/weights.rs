//! Stub weight store, which has one transfer rate for all readers together.

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

use crate::platform::query_field;
use crate::platform::status_response;

/// A stub weight store that serves its readers one after the other.
pub struct WeightStore {
    mb_per_s: f64,
    read_lock: Mutex<()>,
}

impl WeightStore {
    /// Creates a store whose readers share `mb_per_s`.
    pub fn new(mb_per_s: f64) -> Arc<Self> {
        Arc::new(Self { mb_per_s, read_lock: Mutex::new(()) })
    }

    /// Serves the store on `address`.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> Result<Server, KernelError> {
        Server::bind(address, None, Arc::new(WeightHandler(Arc::clone(self))))
    }

    /// Waits for the readers ahead and then for as long as reading `size_mb` takes.
    pub async fn read(&self, size_mb: f64) {
        let _guard = self.read_lock.lock().await;
        tokio::time::sleep(Duration::from_secs_f64(size_mb / self.mb_per_s)).await;
    }
}

struct WeightHandler(Arc<WeightStore>);

#[async_trait]
impl Handler for WeightHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let size_mb = query_field(&request, "mb").and_then(|text| text.parse::<f64>().ok());
        match size_mb {
            Some(size_mb) if request.uri().path() == "/v1/weights" => {
                self.0.read(size_mb).await;
                json_response(200, &json!({"mb": size_mb}))
            }
            _ => status_response(404),
        }
    }
}
