//! Tests which request bodies are admitted, which are evicted and which never are.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Wake;
use std::task::Waker;

use budget::BodyClaim;
use budget::BodyRefusal;
use budget::BodyReservation;
use budget::Budget;
use budget::Kind;
use budget::Limits;
use budget::bodies::MIN_PROGRESS_BYTES;
use budget::bodies::MIN_STALL_MS;
use budget::bodies::SMALL_BODY_BYTES;
use bytes::Bytes;

const LIMIT_BYTES: usize = 10 * 100_000;
const SMALL_BYTES: usize = 2 * 100_000;
const BODY_BYTES: usize = 100_000;

fn limits() -> Limits {
    Limits {
        request_bodies_bytes: LIMIT_BYTES,
        small_bodies_bytes: SMALL_BYTES,
        ..Limits::unlimited()
    }
}

fn client(number: u8) -> Option<IpAddr> {
    Some(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)))
}

/// Fills what large bodies may use; body `i` made its last progress at `10 * i`.
fn fill(budget: &Arc<Budget>, address: Option<IpAddr>) -> Vec<BodyReservation> {
    (0..8)
        .map(|index| {
            let mut body = budget.begin_body(address, 10 * index);
            assert_eq!(body.claim(BODY_BYTES, 10 * index), Ok(BodyClaim::Granted));
            body
        })
        .collect()
}

fn is_evicted(body: &BodyReservation) -> bool {
    body.poll_evicted(&mut Context::from_waker(Waker::noop())).is_ready()
}

#[derive(Default)]
struct WakeCount(AtomicUsize);

impl Wake for WakeCount {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against eviction of the wrong body, and against bytes that are granted while the evicted
/// body still holds them.
#[test]
fn body_without_progress_for_longest_gives_way() {
    let budget = Budget::new(limits());
    let mut held = fill(&budget, None);
    let now_ms = 100 + MIN_STALL_MS;
    held[0].record_received(MIN_PROGRESS_BYTES, now_ms);
    let wakes = Arc::new(WakeCount::default());
    let waker = Waker::from(wakes.clone());
    assert!(held[1].poll_evicted(&mut Context::from_waker(&waker)).is_pending());

    let mut new = budget.begin_body(None, now_ms);
    assert_eq!(new.claim(BODY_BYTES, now_ms), Ok(BodyClaim::AfterEviction));
    assert_eq!(wakes.0.load(Ordering::Relaxed), 1, "the evicted body's task is not woken");
    let evicted: Vec<bool> = held.iter().map(is_evicted).collect();
    assert_eq!(evicted.iter().filter(|evicted| **evicted).count(), 1);
    assert!(evicted[1]);
    assert_eq!(new.claim(BODY_BYTES, now_ms), Ok(BodyClaim::AfterEviction), "no second eviction");
    assert_eq!(held.iter().filter(|body| is_evicted(body)).count(), 1);
    assert_eq!(held[1].claim(2 * BODY_BYTES, now_ms), Err(BodyRefusal::Evicted));
    let victim = held.remove(1);
    assert_eq!(victim.complete(Bytes::from_static(b"x")), Err(BodyRefusal::Evicted));
    assert_eq!(new.claim(BODY_BYTES, now_ms), Ok(BodyClaim::Granted));
    assert_eq!(budget.used_bytes(Kind::RequestBodies), 8 * BODY_BYTES);
    drop((held, new));
    assert_eq!(budget.total_used_bytes(), 0);
}

/// Guards against refused claims that evict, and against eviction of bodies that make progress.
#[test]
fn bodies_with_progress_stay_and_the_new_one_is_refused() {
    let budget = Budget::new(limits());
    let held = fill(&budget, None);
    let now_ms = MIN_STALL_MS + 5;
    let mut new = budget.begin_body(None, now_ms);
    assert_eq!(new.claim(2 * BODY_BYTES, now_ms), Err(BodyRefusal::Full));
    assert!(held.iter().all(|body| !is_evicted(body)), "evicted for a claim that was refused");
    assert_eq!(new.bytes(), 0);
}

/// Guards against single bytes now and then that count as progress.
#[test]
fn trickle_is_no_progress() {
    let budget = Budget::new(limits());
    let mut held = fill(&budget, None);
    let now_ms = 100 + MIN_STALL_MS;
    held[0].record_received(2, now_ms);
    let mut new = budget.begin_body(None, now_ms);
    assert_eq!(new.claim(BODY_BYTES, now_ms), Ok(BodyClaim::AfterEviction));
    assert!(is_evicted(&held[0]));
}

/// Guards against the eviction of a request that may have been forwarded.
#[test]
fn complete_bodies_are_never_evicted() {
    let budget = Budget::new(limits());
    let complete: Vec<Bytes> = fill(&budget, None)
        .into_iter()
        .map(|body| body.complete(Bytes::from(vec![0; BODY_BYTES])).expect("not evicted"))
        .collect();
    let now_ms = 100 * MIN_STALL_MS;
    let mut new = budget.begin_body(None, now_ms);
    assert_eq!(new.claim(BODY_BYTES, now_ms), Err(BodyRefusal::Full));
    assert_eq!(budget.used_bytes(Kind::RequestBodies), 8 * BODY_BYTES);
    drop(complete);
    assert_eq!(new.claim(BODY_BYTES, now_ms), Ok(BodyClaim::Granted));
}

/// Guards against a flood of large bodies that makes ordinary requests fail.
#[test]
fn small_bodies_fit_beside_a_flood_that_makes_progress() {
    let budget = Budget::new(limits());
    let flood = fill(&budget, None);
    let mut small = Vec::new();
    for _ in 0..SMALL_BYTES / SMALL_BODY_BYTES {
        let mut body = budget.begin_body(None, 0);
        assert_eq!(body.claim(SMALL_BODY_BYTES, 0), Ok(BodyClaim::Granted));
        small.push(body);
    }
    assert!(flood.iter().all(|body| !is_evicted(body)));
}

/// Guards against one client that holds the budget while others want room.
#[test]
fn client_over_its_share_gives_way_to_others() {
    let budget = Budget::new(Limits { client_share_bytes: 3 * BODY_BYTES, ..limits() });
    let mut greedy = fill(&budget, client(1));
    let now_ms = 80;
    for body in &mut greedy {
        body.record_received(MIN_PROGRESS_BYTES, now_ms);
    }
    let mut own = budget.begin_body(client(1), now_ms);
    assert_eq!(own.claim(BODY_BYTES, now_ms), Err(BodyRefusal::Full));
    let mut other = budget.begin_body(client(2), now_ms);
    assert_eq!(other.claim(BODY_BYTES, now_ms), Ok(BodyClaim::AfterEviction));
    greedy.retain(|body| !is_evicted(body));
    assert_eq!(greedy.len(), 7);
    assert_eq!(other.claim(BODY_BYTES, now_ms), Ok(BodyClaim::Granted));
    let later_ms = now_ms + 10 * MIN_STALL_MS;
    for body in &mut greedy {
        body.record_received(MIN_PROGRESS_BYTES, later_ms);
    }
    assert_eq!(own.claim(BODY_BYTES, later_ms), Err(BodyRefusal::Full), "it takes from others");
    assert!(!is_evicted(&other));
}

/// Guards against a share that applies although nobody else wants room.
#[test]
fn one_client_may_use_all_while_nobody_else_wants_room() {
    let budget = Budget::new(Limits { client_share_bytes: BODY_BYTES, ..limits() });
    assert_eq!(fill(&budget, client(1)).len(), 8);
}

/// Guards against a body that waits for room that can never be free.
#[test]
fn body_over_the_limit_never_fits() {
    let budget = Budget::new(limits());
    let mut body = budget.begin_body(None, 0);
    assert_eq!(body.claim(LIMIT_BYTES - SMALL_BYTES + 1, 0), Err(BodyRefusal::NeverFits));
    assert_eq!(body.claim(LIMIT_BYTES - SMALL_BYTES, 0), Ok(BodyClaim::Granted));
    assert_eq!(body.poll_evicted(&mut Context::from_waker(Waker::noop())), Poll::Pending);
}

/// Guards against sums that drift from what the reservations hold, over seeded sequences of events.
#[test]
fn usage_equals_what_is_held_and_stays_within_the_limit() {
    for seed in 1..=200_u64 {
        let mut random = seed;
        let mut next = |bound: u64| {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            random % bound
        };
        let budget = Budget::new(Limits { client_share_bytes: 3 * BODY_BYTES, ..limits() });
        let mut bodies: Vec<BodyReservation> = Vec::new();
        let mut complete: Vec<(Bytes, usize)> = Vec::new();
        let mut now_ms = 0;
        for _ in 0..300 {
            now_ms += next(60);
            match next(6) {
                0 | 1 => bodies.push(budget.begin_body(client(next(4) as u8), now_ms)),
                2 | 3 if !bodies.is_empty() => {
                    let index = next(bodies.len() as u64) as usize;
                    let wanted = bodies[index].bytes() + next(BODY_BYTES as u64) as usize;
                    let _ = bodies[index].claim(wanted, now_ms);
                    bodies[index].record_received(next(2_000) as usize, now_ms);
                }
                4 if !bodies.is_empty() => {
                    let body = bodies.swap_remove(next(bodies.len() as u64) as usize);
                    let bytes = body.bytes();
                    if let Ok(body) = body.complete(Bytes::from_static(b"x")) {
                        complete.push((body, bytes));
                    }
                }
                _ if !complete.is_empty() => {
                    complete.swap_remove(next(complete.len() as u64) as usize);
                }
                _ => bodies.retain(|body| !is_evicted(body)),
            }
            let held: usize = bodies.iter().map(BodyReservation::bytes).sum();
            let kept: usize = complete.iter().map(|(_, bytes)| *bytes).sum();
            assert_eq!(budget.used_bytes(Kind::RequestBodies), held + kept, "seed {seed}");
            assert!(held + kept <= LIMIT_BYTES, "seed {seed}: {}", held + kept);
        }
    }
}
