//! Clients that send online requests and ask for added routes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use platform_stub::Client;
use platform_stub::client::Call;
use platform_stub::client::is_whole_stream;
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
use crate::observation::Ask;
use crate::observation::Attempt;
use crate::observation::Observation;
use crate::observation::RouteSeen;
use crate::observation::Seen;

/// The longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// The longest wait for an answer; the deadlines of the requests are 2 and 5 s.
const PATIENCE: Duration = Duration::from_secs(8);
/// The pause after a connection that was refused.
const AWAY: Duration = Duration::from_millis(50);
/// The pause between two questions about routes.
const ROUTE_PAUSE: Duration = Duration::from_millis(150);
/// One in so many streams is left by its client.
const LEAVERS: u32 = 12;

/// What all clients of a run share.
pub struct World {
    /// The fleet.
    pub fleet: Rc<Fleet>,
    /// What was seen.
    pub seen: RefCell<Observation>,
    /// Set when clients stop to send.
    pub stopped: CancellationToken,
}

/// Sends online requests to one daemon over one connection after the other until told to stop.
pub async fn send_requests(world: Rc<World>, daemon: usize, client: usize, seed: u64) {
    let mut random =
        StdRng::seed_from_u64(seed ^ ((daemon as u64) << 32) ^ ((client as u64) << 48));
    let mut kept = None;
    let mut count = 0;
    while !world.stopped.is_cancelled() {
        sleep(Duration::from_millis(random.gen_range(5..80))).await;
        count += 1;
        let id = format!("{daemon}-{client}-{count}");
        let (ask, call, events) = draw(&mut random, &id);
        let leaves = (ask != Ask::Lookup && random.gen_ratio(1, LEAVERS))
            .then(|| Duration::from_millis(random.gen_range(1..300)));
        let is_kept = kept.as_ref().is_some_and(Connection::is_open_and_silent);
        let sent_ms = world.fleet.now_ms();
        let mut connection = match kept.take().filter(|_| is_kept) {
            Some(connection) => connection,
            None => match Connection::open(world.fleet.ingress(daemon), CONNECT).await {
                Ok(connection) => connection,
                Err(_) => {
                    note(&world, id, ask, daemon, false, sent_ms, Seen::Unconnected);
                    sleep(AWAY).await;
                    continue;
                }
            },
        };
        let answer = tokio::select! {
            answer = timeout(PATIENCE, Client.call_on(&mut connection, &call)) => answer,
            () = leave(leaves) => {
                note(&world, id, ask, daemon, is_kept, sent_ms, Seen::Left);
                continue;
            }
        };
        let seen = match answer {
            Ok(Ok(answer)) => {
                let is_own = match ask {
                    Ask::Lookup => answer.body == plain_body(&id).as_bytes(),
                    _ => is_whole_stream(&id, events, &answer.body),
                };
                Seen::Answered { status: answer.status.as_u16(), is_own }
            }
            Ok(Err(error)) if error.is_not_sent() => Seen::Unconnected,
            Ok(Err(_)) => Seen::Cut,
            Err(_) => Seen::Late,
        };
        if matches!(seen, Seen::Answered { .. }) && connection.is_reusable() {
            kept = Some(connection);
        }
        note(&world, id, ask, daemon, is_kept, sent_ms, seen);
    }
}

fn note(
    world: &World,
    id: String,
    ask: Ask,
    daemon: usize,
    is_kept: bool,
    sent_ms: u64,
    seen: Seen,
) {
    let ended_ms = world.fleet.now_ms();
    let attempt = Attempt { id, ask, daemon, is_kept, sent_ms, ended_ms, seen };
    world.seen.borrow_mut().attempts.push(attempt);
}

async fn leave(after: Option<Duration>) {
    match after {
        Some(after) => sleep(after).await,
        None => std::future::pending().await,
    }
}

fn draw(random: &mut StdRng, id: &str) -> (Ask, Call, u64) {
    let events = random.gen_range(4..80);
    match random.gen_range(0..10) {
        0..5 => (Ask::Stream, Call::stream(STREAM, id, events), events),
        5..7 => (Ask::Resumable, Call::stream(RESUMABLE, id, events), events),
        _ => (Ask::Lookup, Call::lookup(LOOKUP, id), 0),
    }
}

/// Asks one daemon for the added routes, newest and oldest in turn, until told to stop.
pub async fn ask_for_routes(world: Rc<World>, daemon: usize) {
    let mut count = 0_usize;
    while !world.stopped.is_cancelled() {
        sleep(ROUTE_PAUSE).await;
        let routes = world.fleet.added_routes();
        if routes.is_empty() {
            continue;
        }
        count += 1;
        let number = if count.is_multiple_of(2) { routes.len() - 1 } else { count % routes.len() };
        let (prefix, added_ms) = &routes[number];
        let id = format!("route-{daemon}-{count}");
        world.seen.borrow_mut().route_ids.insert(id.clone());
        let (life, sent_ms) = (world.fleet.life(daemon), world.fleet.now_ms());
        let answer = Client.call(world.fleet.ingress(daemon), &Call::lookup(prefix, &id)).await;
        let is_known = match answer.map(|answer| answer.status.as_u16()) {
            Ok(200..300) => true,
            Ok(404) => false,
            _ => continue,
        };
        if life != world.fleet.life(daemon) {
            continue;
        }
        world.seen.borrow_mut().routes.push(RouteSeen {
            daemon,
            life,
            route: number as u64,
            added_ms: *added_ms,
            sent_ms,
            ended_ms: world.fleet.now_ms(),
            is_known,
        });
    }
}
