//! The metrics page of the daemon.

use std::rc::Rc;
use std::sync::Arc;

use budget::Budget;
use budget::Kind;
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
    /// The memory that the process holds for others.
    pub budget: Arc<Budget>,
}

/// Sets the gauges of the bytes that are held, in total and by kind.
pub fn set_budget_gauges(counters: &Counters, budget: &Budget) {
    counters.set_gauge("bytes_held", budget.total_used_bytes() as u64);
    for kind in Kind::ALL {
        let name = format!("bytes_held_{}", kind.as_str());
        counters.set_gauge(&name, budget.used_bytes(kind) as u64);
    }
}

impl LocalHandler for MetricsPage {
    fn handle(
        self: Rc<Self>,
        _request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        set_budget_gauges(&self.counters, &self.budget);
        self.counters.set_gauge("log_lines_dropped", log_writer::dropped_lines());
        let mut response = Response::new(LocalBody::full(self.counters.render_page()));
        response
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
        Box::pin(std::future::ready(response))
    }
}
