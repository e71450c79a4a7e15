//! The metrics page.

use std::rc::Rc;

use futures::future::LocalBoxFuture;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use kernel::Counters;
use kernel::local_server::LocalBody;
use kernel::local_server::LocalHandler;
use kernel::log_writer;

/// Serves the daemon's counters.
pub struct MetricsPage {
    /// The counters.
    pub counters: Counters,
}

impl LocalHandler for MetricsPage {
    fn handle(
        self: Rc<Self>,
        _request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        self.counters.gauge("log_lines_dropped", log_writer::dropped_lines());
        let mut answer = Response::new(LocalBody::full(self.counters.page()));
        answer
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
        Box::pin(std::future::ready(answer))
    }
}
