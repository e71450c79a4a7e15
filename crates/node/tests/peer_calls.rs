//! Tests the memory of peers' calls without a network.

use std::rc::Rc;

use budget::Budget;
use budget::Kind;
use budget::Limits;
use bytes::Bytes;
use http_body_util::Full;
use node::peer_calls::CallMemory;
use node::peer_calls::MAX_BODY_BYTES;
use node::peer_calls::PeerCalls;
use node::peer_calls::SMALL_BODY_BYTES;
use node::peer_calls::UnreadCall;

/// The memory of a small host, in MB.
const MEMORY_MB: u64 = 120;

fn fill_with_large_calls(calls: &Rc<PeerCalls>) -> Vec<CallMemory> {
    let mut held = Vec::new();
    loop {
        let mut memory = calls.begin();
        match memory.resize(4 << 20) {
            Ok(()) => held.push(memory),
            Err(refusal) => {
                assert_eq!(refusal, UnreadCall::Full);
                return held;
            }
        }
    }
}

// Guards against large calls that are each legal but take the memory of the host together.
#[test]
fn large_calls_together_take_half_of_the_budget_at_most() {
    let budget = Budget::new(Limits::for_memory_mb(MEMORY_MB));
    let calls = PeerCalls::new(budget.clone());
    let held = fill_with_large_calls(&calls);
    assert!(budget.used_bytes(Kind::PeerCalls) <= budget.limits().total_bytes / 2);
    assert!(held.len() >= 4, "{} calls", held.len());
    drop(held);
    assert_eq!(budget.used_bytes(Kind::PeerCalls), 0);
    assert!(!fill_with_large_calls(&calls).is_empty(), "the memory is not released");
}

// Guards against large calls that keep small ones, such as relayed writes, from being read.
#[test]
fn small_calls_fit_beside_as_many_large_ones_as_there_may_be() {
    let calls = PeerCalls::new(Budget::new(Limits::for_memory_mb(MEMORY_MB)));
    let _large = fill_with_large_calls(&calls);
    for _ in 0..4 {
        assert_eq!(calls.begin().resize(SMALL_BODY_BYTES), Ok(()));
    }
}

// Guards against a bound that refuses the largest legal call while nothing else is held.
#[test]
fn call_of_the_largest_size_is_read_on_the_smallest_host() {
    let calls = PeerCalls::new(Budget::new(Limits::for_memory_mb(88)));
    let body = Full::<Bytes>::from(vec![b'x'; MAX_BODY_BYTES]);
    let read = run(calls.read(body, Some(MAX_BODY_BYTES)));
    assert_eq!(read.map(|body| body.bytes().len()), Ok(MAX_BODY_BYTES));
}

// Guards against reading a body that is over the limit.
#[test]
fn call_over_the_limit_is_refused() {
    let calls = PeerCalls::new(Budget::unlimited());
    let body = || Full::<Bytes>::from(vec![b'x'; MAX_BODY_BYTES + 1]);
    let announced = run(calls.read(body(), Some(MAX_BODY_BYTES + 1)));
    assert_eq!(announced.err(), Some(UnreadCall::TooLarge));
    let sent = run(calls.read(body(), None));
    assert_eq!(sent.err(), Some(UnreadCall::TooLarge));
}

/// Runs a future that uses timers.
fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future)
}
