//! The directory of daemons for clients and the readiness check for the platform.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use futures::future::LocalBoxFuture;
use gate::answer;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use kernel::local_server::LocalBody;
use kernel::local_server::LocalHandler;
use peers::Membership;
use peers::heartbeat::Identity;
use peers::heartbeat::Readiness;
use wire::DataCentre;
use wire::Millis;

/// The maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// The number of daemons in the client's data centre from which an answer names only these.
const MIN_LOCAL_DAEMONS: usize = 2;

/// Answers client requests for the addresses of daemons.
pub struct Directory {
    /// The membership, which knows the daemons that accept work.
    pub membership: Rc<RefCell<Membership>>,
    /// How long clients may cache an answer.
    pub keep_ms: Millis,
}

impl LocalHandler for Directory {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        let response = match platform::directory::decode_lookup(request.uri()) {
            Some(question) => {
                let addresses = self.addresses(question.data_centre.as_ref());
                if addresses.is_empty() {
                    answer::empty(StatusCode::SERVICE_UNAVAILABLE)
                } else {
                    let body = platform::directory::encode_lookup_answer(addresses, self.keep_ms);
                    answer::json(StatusCode::OK, body)
                }
            }
            None => answer::empty(StatusCode::NOT_FOUND),
        };
        Box::pin(std::future::ready(response))
    }
}

impl Directory {
    /// Returns the addresses that a client in a data centre should use.
    pub fn addresses(&self, data_centre: Option<&DataCentre>) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        let ready = membership.ready_daemons();
        let local: Vec<&&Identity> =
            ready.iter().filter(|daemon| Some(&daemon.data_centre) == data_centre).collect();
        let local: Vec<SocketAddr> = local.iter().filter_map(|daemon| daemon.ingress).collect();
        let mut addresses = if local.len() >= MIN_LOCAL_DAEMONS {
            local
        } else {
            ready.iter().filter_map(|daemon| daemon.ingress).collect()
        };
        addresses.sort_unstable();
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }
}

/// Answers the platform's readiness check.
pub struct ReadyCheck {
    /// The membership, which knows the daemon's own readiness.
    pub membership: Rc<RefCell<Membership>>,
}

impl LocalHandler for ReadyCheck {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        let is_ready = self.membership.borrow().own_readiness() == Readiness::Ready;
        let status = match platform::directory::is_readiness_check(request.uri()) {
            true if is_ready => StatusCode::OK,
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::NOT_FOUND,
        };
        Box::pin(std::future::ready(answer::empty(status)))
    }
}
