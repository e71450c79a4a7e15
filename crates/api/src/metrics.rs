//! The daemon's metrics page.

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use http::Response;
use kernel::Counters;
use kernel::http_server::Body;
use kernel::http_server::Handler;
use kernel::http_server::bytes_response;

/// Answers requests to any path with the metrics page.
pub struct MetricsPage {
    /// The daemon's counters.
    pub counters: Counters,
}

#[async_trait]
impl Handler for MetricsPage {
    async fn handle(&self, _request: Request<Bytes>) -> Response<Body> {
        bytes_response(200, "text/plain", Bytes::from(self.counters.render_page()))
    }
}
