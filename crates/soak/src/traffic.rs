//! Clients that send online requests and test whether daemons know added routes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use platform_stub::Client;
use platform_stub::client::OutgoingRequest;
use platform_stub::client::is_complete_stream;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::RESUMABLE;
use platform_stub::deployment::STREAM;
use platform_stub::replica::plain_body;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use upstream::Connection;

use crate::fleet::Fleet;
use crate::observation::ClientRequest;
use crate::observation::Observation;
use crate::observation::RequestKind;
use crate::observation::RequestOutcome;
use crate::observation::RouteQuery;
use crate::organisations;
use crate::organisations::OPERATOR;
use crate::organisations::USUAL;

/// The longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest wait for an answer; longer than the deadlines of the requests, 2 and 5 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// The pause after a connection could not be opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// The pause between two tests of routes.
const ROUTE_QUERY_INTERVAL: Duration = Duration::from_millis(150);
/// The client leaves one stream in this many, on average.
const STREAMS_PER_LEAVE: u32 = 12;

/// The state that all clients of a run share.
pub struct RunContext {
    /// The fleet under test.
    pub fleet: Rc<Fleet>,
    /// What the clients have observed.
    pub observation: RefCell<Observation>,
    /// Cancelled when the clients must stop sending.
    pub stopped: CancellationToken,
}

impl RunContext {
    /// Returns the organisation of an ordinary client, if the run has organisations.
    pub fn organisation(&self, client: usize) -> Option<&'static str> {
        self.fleet.has_organisations().then(|| USUAL[client % USUAL.len()])
    }

    /// Returns a request with the key of an organisation, if it has one, and records the organisation
    /// of what the request runs.
    pub fn sign<'a>(
        &self,
        request: OutgoingRequest,
        organisation: Option<&'static str>,
        ids: impl IntoIterator<Item = &'a str>,
    ) -> OutgoingRequest {
        let Some(organisation) = organisation else { return request };
        for id in ids {
            self.observation.borrow_mut().record_organisation(id, organisation);
        }
        request.with_key(&organisations::key(organisation, 0))
    }
}

/// Sends online requests to one daemon, one at a time, until the run stops its clients.
///
/// A connection is reused while it is open; otherwise a new one is opened.
pub async fn send_requests(context: Rc<RunContext>, daemon: usize, client: usize, seed: u64) {
    let mut random =
        StdRng::seed_from_u64(seed ^ ((daemon as u64) << 32) ^ ((client as u64) << 48));
    let mut idle_connection = None;
    let mut count = 0;
    while !context.stopped.is_cancelled() {
        sleep(Duration::from_millis(random.gen_range(5..80))).await;
        count += 1;
        let id = format!("{daemon}-{client}-{count}");
        let (kind, call, events) = draw_request(&mut random, &id);
        let call = context.sign(call, context.organisation(client), [id.as_str()]);
        let leave_after = (kind != RequestKind::Lookup && random.gen_ratio(1, STREAMS_PER_LEAVE))
            .then(|| Duration::from_millis(random.gen_range(1..300)));
        let is_connection_reused =
            idle_connection.as_ref().is_some_and(Connection::is_open_and_silent);
        let sent_ms = context.fleet.now_ms();
        let mut connection = match idle_connection.take().filter(|_| is_connection_reused) {
            Some(connection) => connection,
            None => match Connection::open(context.fleet.ingress(daemon), CONNECT_TIMEOUT).await {
                Ok(connection) => connection,
                Err(_) => {
                    record(&context, id, kind, daemon, false, sent_ms, RequestOutcome::Unconnected);
                    sleep(RECONNECT_PAUSE).await;
                    continue;
                }
            },
        };
        let answer = tokio::select! {
            answer = timeout(ANSWER_TIMEOUT, Client.call_on(&mut connection, &call)) => answer,
            () = wait_to_leave(leave_after) => {
                record(&context, id, kind, daemon, is_connection_reused, sent_ms, RequestOutcome::Left);
                continue;
            }
        };
        let outcome = match answer {
            Ok(Ok(answer)) => {
                let is_own = match kind {
                    RequestKind::Lookup => answer.body == plain_body(&id).as_bytes(),
                    _ => is_complete_stream(&id, events, &answer.body),
                };
                RequestOutcome::Answered { status: answer.status.as_u16(), is_own }
            }
            Ok(Err(error)) if error.is_not_sent() => RequestOutcome::Unconnected,
            Ok(Err(_)) => RequestOutcome::Cut,
            Err(_) => RequestOutcome::Late,
        };
        if matches!(outcome, RequestOutcome::Answered { .. }) && connection.is_reusable() {
            idle_connection = Some(connection);
        }
        record(&context, id, kind, daemon, is_connection_reused, sent_ms, outcome);
    }
}

fn record(
    context: &RunContext,
    id: String,
    kind: RequestKind,
    daemon: usize,
    is_connection_reused: bool,
    sent_ms: u64,
    outcome: RequestOutcome,
) {
    let ended_ms = context.fleet.now_ms();
    let request =
        ClientRequest { id, kind, daemon, is_connection_reused, sent_ms, ended_ms, outcome };
    context.observation.borrow_mut().requests.push(request);
}

async fn wait_to_leave(after: Option<Duration>) {
    match after {
        Some(after) => sleep(after).await,
        None => std::future::pending().await,
    }
}

fn draw_request(random: &mut StdRng, id: &str) -> (RequestKind, OutgoingRequest, u64) {
    let events = random.gen_range(4..80);
    match random.gen_range(0..10) {
        0..5 => (RequestKind::Stream, OutgoingRequest::stream(STREAM, id, events), events),
        5..7 => (RequestKind::Resumable, OutgoingRequest::stream(RESUMABLE, id, events), events),
        _ => (RequestKind::Lookup, OutgoingRequest::lookup(LOOKUP, id), 0),
    }
}

/// Sends requests for the added routes to one daemon until the run stops its clients; every second
/// request is for the newest route.
pub async fn query_routes(context: Rc<RunContext>, daemon: usize) {
    let mut count = 0_usize;
    while !context.stopped.is_cancelled() {
        sleep(ROUTE_QUERY_INTERVAL).await;
        let routes = context.fleet.added_routes();
        if routes.is_empty() {
            continue;
        }
        count += 1;
        let number = if count.is_multiple_of(2) { routes.len() - 1 } else { count % routes.len() };
        let (prefix, added_ms) = &routes[number];
        let id = format!("route-{daemon}-{count}");
        context.observation.borrow_mut().route_request_ids.insert(id.clone());
        let (starts, sent_ms) = (context.fleet.starts(daemon), context.fleet.now_ms());
        let organisation = context.fleet.has_organisations().then_some(OPERATOR);
        let call = context.sign(OutgoingRequest::lookup(prefix, &id), organisation, [id.as_str()]);
        let answer = Client.call(context.fleet.ingress(daemon), &call).await;
        let is_known = match answer.map(|answer| answer.status.as_u16()) {
            Ok(200..300) => true,
            Ok(404) => false,
            _ => continue,
        };
        if starts != context.fleet.starts(daemon) {
            continue;
        }
        context.observation.borrow_mut().route_queries.push(RouteQuery {
            daemon,
            starts,
            route: number as u64,
            added_ms: *added_ms,
            sent_ms,
            ended_ms: context.fleet.now_ms(),
            is_known,
        });
    }
}
