//! Clients that send with keys of organisations: over a quota, revoked and unknown ones.

use std::rc::Rc;
use std::time::Duration;

use platform_stub::Client;
use platform_stub::client::OutgoingRequest;
use platform_stub::deployment::LOOKUP;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;
use tokio::time::timeout;
use upstream::Connection;

use crate::observation::KeyRequest;
use crate::organisations::HOT;
use crate::organisations::LOWERED;
use crate::organisations::ROTATING;
use crate::organisations::ROTATING_KEYS;
use crate::organisations::UNKNOWN_KEY;
use crate::organisations::USUAL;
use crate::organisations::key;
use crate::traffic::RunContext;

/// The longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest wait for an answer; longer than the deadline of the requests, 2 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Combined with the seed of the run, so that these clients use other random numbers than the others.
const KEY_CLIENT_SEED: u64 = 0x6b65_7973;

/// Sends plain requests with different keys to one daemon until the run stops its clients, on one
/// connection as long as it stays open.
pub async fn send_with_keys(context: Rc<RunContext>, daemon: usize, client: usize, seed: u64) {
    let mut random = StdRng::seed_from_u64(
        seed ^ KEY_CLIENT_SEED ^ ((daemon as u64) << 32) ^ ((client as u64) << 48),
    );
    let mut idle_connection = None;
    let mut count = 0;
    while !context.stopped.is_cancelled() {
        sleep(Duration::from_millis(random.gen_range(20..80))).await;
        count += 1;
        let id = format!("key-{daemon}-{client}-{count}");
        let (organisation, key) = draw_key(&mut random);
        let mut call = OutgoingRequest::lookup(LOOKUP, &id).with_key(&key);
        if random.r#gen() {
            call = call.with_claimed_organisation(USUAL[0]);
        }
        if let Some(organisation) = organisation {
            context.observation.borrow_mut().record_organisation(&id, organisation);
        }
        let (starts, sent_ms) = (context.fleet.starts(daemon), context.fleet.now_ms());
        let status = send(&context, daemon, &call, &mut idle_connection).await;
        context.observation.borrow_mut().key_requests.push(KeyRequest {
            id,
            key,
            daemon,
            starts: (starts == context.fleet.starts(daemon)).then_some(starts),
            sent_ms,
            ended_ms: context.fleet.now_ms(),
            status,
        });
    }
}

/// Sends a request on the idle connection, or on a new one, and returns the status, or 0.
async fn send(
    context: &RunContext,
    daemon: usize,
    call: &OutgoingRequest,
    idle: &mut Option<Connection>,
) -> u16 {
    let mut connection = match idle.take().filter(Connection::is_open_and_silent) {
        Some(connection) => connection,
        None => match Connection::open(context.fleet.ingress(daemon), CONNECT_TIMEOUT).await {
            Ok(connection) => connection,
            Err(_) => return 0,
        },
    };
    match timeout(ANSWER_TIMEOUT, Client.call_on(&mut connection, call)).await {
        Ok(Ok(answer)) => {
            *idle = Some(connection).filter(Connection::is_reusable);
            answer.status.as_u16()
        }
        _ => 0,
    }
}

/// Returns a key and its organisation; about half of the requests are of the hot organisation.
fn draw_key(random: &mut StdRng) -> (Option<&'static str>, String) {
    match random.gen_range(0..10) {
        0..5 => (Some(HOT), key(HOT, 0)),
        5..7 => (Some(LOWERED), key(LOWERED, 0)),
        7..9 => (Some(ROTATING), key(ROTATING, random.gen_range(0..ROTATING_KEYS))),
        _ => (None, UNKNOWN_KEY.to_owned()),
    }
}
