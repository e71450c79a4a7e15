//! The server and the client of control calls between daemons.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use gate::JobCall;
use gate::answer;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use jobs::JobManager;
use jobs::access;
use jobs::serve::CallOrigin;
use kernel::Counters;
use kernel::local_server::LocalBody;
use kernel::local_server::LocalHandler;
use log::debug;
use log::info;
use peers::ControlClient;
use peers::Membership;
use peers::Topic;
use peers::control::PeerCallError;
use peers::transport::encode;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use store::ObjectClient;
use store::StoreError;
use store::call::EncodedCall;
use store::client::Relay;

use crate::configuration_transfer::COMPRESSED_QUERY;
use crate::peer_calls::PeerCalls;
use crate::platform_state::PlatformState;

/// How long a relayed call may take at the store.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Serves the control calls of other daemons.
pub struct ControlServer {
    /// The configuration and the replicas that are handed to peers.
    pub state: Rc<PlatformState>,
    /// The manager of the jobs, which answers calls about them.
    pub job_manager: Rc<JobManager>,
    /// The client of the store, to which calls are relayed.
    pub store: Rc<ObjectClient>,
    /// The memory of the bodies of the calls.
    pub calls: Rc<PeerCalls>,
    /// The counters of the daemon.
    pub counters: Counters,
}

/// A store call that a daemon relays for a peer.
#[derive(Serialize, Deserialize)]
struct RelayedCall {
    method: String,
    target: String,
    body: String,
}

impl LocalHandler for ControlServer {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<LocalBody>> {
        Box::pin(async move {
            let (status, body) = self.answer(request).await;
            answer::json(status, body)
        })
    }
}

impl ControlServer {
    async fn answer(&self, request: Request<Incoming>) -> (StatusCode, Bytes) {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        match (&parts.method, path) {
            (&Method::GET, "/configuration") => self.configuration(parts.uri.query()),
            (&Method::GET, "/replicas") => self.replicas(parts.uri.query()),
            (&Method::POST | &Method::PUT, _) => {
                let announced_bytes = announced_bytes(&parts.headers);
                match self.calls.read(body, announced_bytes).await {
                    Ok(body) => self.answer_with_body(path, body.bytes()).await,
                    Err(unread) => {
                        self.counters.count_tagged("peer_calls_unread", "reason", unread.as_str());
                        info!(
                            "event=peer_call_unread path={path} reason={unread} peer={} \
                             announced_bytes={}",
                            text_or_dash(parts.extensions.get::<SocketAddr>()),
                            text_or_dash(announced_bytes.as_ref())
                        );
                        (unread.status(), Bytes::new())
                    }
                }
            }
            (method, path) => match job_call(method, path) {
                Some(call) => {
                    let caller = access::decode_caller(parts.uri.query());
                    self.job_manager.answer(&call, &caller, CallOrigin::Peer).await
                }
                None => (StatusCode::NOT_FOUND, Bytes::new()),
            },
        }
    }

    async fn answer_with_body(&self, path: &str, body: &[u8]) -> (StatusCode, Bytes) {
        match path.strip_prefix("/jobs/").and_then(|rest| rest.strip_suffix("/home")) {
            Some(_) => (self.job_manager.accept_handover(body).await, Bytes::new()),
            None if path == "/store" => self.relay(body).await,
            None => (StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    fn configuration(&self, query: Option<&str>) -> (StatusCode, Bytes) {
        let sender = &self.state.configuration_sender;
        if sender.is_empty() {
            return (StatusCode::NOT_FOUND, Bytes::new());
        }
        match sender.begin_transfer(query == Some(COMPRESSED_QUERY)) {
            Some(body) => (StatusCode::OK, body),
            None => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    }

    /// Returns the changes after the revision in the query, or the complete list of replicas.
    fn replicas(&self, query: Option<&str>) -> (StatusCode, Bytes) {
        let since = query.and_then(|query| query.strip_prefix("since=")?.parse().ok());
        let now_ms = self.state.clock.now_ms();
        let view = self.state.replicas.borrow().view_since(now_ms, since.unwrap_or(0));
        (StatusCode::OK, Bytes::from(encode(Topic::Replicas, &view)))
    }

    async fn relay(&self, body: &[u8]) -> (StatusCode, Bytes) {
        let call: RelayedCall = match serde_json::from_slice(body) {
            Ok(call) => call,
            Err(error) => {
                debug!("event=peer_call_malformed path=/store error=\"{error}\"");
                return (StatusCode::BAD_REQUEST, Bytes::new());
            }
        };
        let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
            return (StatusCode::BAD_REQUEST, Bytes::new());
        };
        let encoded = EncodedCall { method, target: call.target, body: Bytes::from(call.body) };
        match self.store.call_for_peer(&encoded, RELAY_TIMEOUT).await {
            // The store's status is framed in the body, so that its refusals are not taken for this
            // daemon's own.
            Ok((status, body)) => {
                let mut framed = status.as_u16().to_be_bytes().to_vec();
                framed.extend_from_slice(&body);
                (StatusCode::OK, Bytes::from(framed))
            }
            Err(StoreError::Unavailable(_)) => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            Err(_) => (StatusCode::BAD_GATEWAY, Bytes::new()),
        }
    }
}

/// Returns the length of the body that the head announces, if any.
fn announced_bytes(headers: &HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn text_or_dash(value: Option<&impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), ToString::to_string)
}

fn job_call(method: &Method, path: &str) -> Option<JobCall> {
    let mut segments = path.strip_prefix("/jobs/")?.split('/');
    let job = segments.next()?.to_owned();
    match (method, segments.next(), segments.next(), segments.next()) {
        (&Method::DELETE, None, None, None) => Some(JobCall::End { job }),
        (&Method::GET, Some("results"), Some(after), Some(wait_ms)) => Some(JobCall::Results {
            job,
            after: after.parse().ok()?,
            wait_ms: wait_ms.parse().ok()?,
        }),
        (&Method::GET, Some("items"), Some(item), None) => {
            Some(JobCall::ItemBody { job, item: item.to_owned() })
        }
        _ => None,
    }
}

/// Relays store calls through a peer that can reach the store.
pub struct PeerRelay {
    /// The membership, from which the relaying peer is chosen.
    pub membership: Rc<RefCell<Membership>>,
    /// The client for control calls to other daemons.
    pub control: Rc<ControlClient>,
}

impl Relay for PeerRelay {
    fn relay<'a>(
        &'a self,
        call: &'a EncodedCall,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Option<Option<(StatusCode, Bytes)>>> {
        Box::pin(async move {
            let relay_address = self.random_peer_with_store()?;
            let relayed = RelayedCall {
                method: call.method.to_string(),
                target: call.target.clone(),
                body: String::from_utf8_lossy(&call.body).into_owned(),
            };
            let body = serde_json::to_vec(&relayed).ok()?;
            let answered =
                self.control.call(relay_address, Method::POST, "/store", &body, timeout).await;
            match answered {
                Ok((StatusCode::OK, framed)) if framed.len() >= 2 => {
                    let code = u16::from_be_bytes([framed[0], framed[1]]);
                    Some(StatusCode::from_u16(code).ok().map(|status| (status, framed.slice(2..))))
                }
                Ok((StatusCode::SERVICE_UNAVAILABLE, _)) | Err(PeerCallError::NotSent) => None,
                Ok(_) | Err(PeerCallError::Unknown) => Some(None),
            }
        })
    }
}

impl PeerRelay {
    fn random_peer_with_store(&self) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        let reachable = membership.alive().filter(|peer| peer.reaches_store);
        let addresses: Vec<SocketAddr> =
            reachable.filter_map(|peer| peer.identity.control).collect();
        addresses.choose(&mut rand::thread_rng()).copied()
    }
}
