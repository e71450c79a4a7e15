//! The metrics page of the daemon.

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

/// Serves the counters of the daemon as a metrics page.
pub struct MetricsPage {
    /// The counters on the page.
    pub counters: Counters,
}

impl LocalHandler for MetricsPage {
    fn handle(
        self: Rc<Self>,
        _request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        self.counters.set_gauge("log_lines_dropped", log_writer::dropped_lines());
        let mut response = Response::new(LocalBody::full(self.counters.render_page()));
        response
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
        Box::pin(std::future::ready(response))
    }
}
