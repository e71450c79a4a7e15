//! Tests the bound of the bodies of requests to the product's own interface, without a network.

use std::convert::Infallible;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use futures::stream::iter;
use futures::stream::pending;
use kernel::request_body::MAX_BODY_BYTES;
use kernel::request_body::RequestBodies;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::Reason;

const LIMIT_BYTES: usize = 16 << 20;
const LARGE_BYTES: usize = 4 << 20;

fn client(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

/// Returns a body in parts of `part_bytes`.
fn body(bytes: usize, part_bytes: usize) -> impl Stream<Item = Result<Bytes, Infallible>> + Unpin {
    let part = Bytes::from(vec![b'x'; part_bytes]);
    iter((0..bytes / part_bytes).map(move |_| Ok(part.clone())))
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Begins bodies of many clients that stop short of their end.
async fn begin_stalled_bodies(bodies: &Rc<RequestBodies>) {
    for number in 0..40 {
        let bodies = bodies.clone();
        spawn_local(async move {
            let stalled = body(LARGE_BYTES, 64 << 10).chain(pending());
            bodies.read(client(number), stalled).await
        });
    }
    sleep(Duration::from_millis(50)).await;
}

// Guards against bodies that are each legal but take the memory of the host together.
#[test]
fn bodies_that_stop_short_of_their_end_stay_within_the_bound() {
    run(async {
        let bodies = Rc::new(RequestBodies::with_limit(LIMIT_BYTES));
        begin_stalled_bodies(&bodies).await;
        assert!(bodies.held_bytes() > LARGE_BYTES, "{} bytes", bodies.held_bytes());
        assert!(bodies.held_bytes() <= LIMIT_BYTES, "{} bytes", bodies.held_bytes());
    });
}

// Guards against stalled bodies that keep those of ordinary callers from being read.
#[test]
fn ordinary_bodies_are_read_beside_stalled_ones() {
    run(async {
        let bodies = Rc::new(RequestBodies::with_limit(LIMIT_BYTES));
        begin_stalled_bodies(&bodies).await;
        let small = bodies.read(client(200), body(1 << 10, 1 << 10)).await;
        assert_eq!(small.map(|body| body.len()), Ok(1 << 10));
        // After this time the others have stalled.
        sleep(Duration::from_millis(300)).await;
        let large = bodies.read(client(200), body(LARGE_BYTES, 64 << 10)).await;
        assert_eq!(large.map(|body| body.len()), Ok(LARGE_BYTES));
    });
}

// Guards against a cost in memory for each chunk.
#[test]
fn body_in_tiny_chunks_takes_no_more_than_twice_its_size() {
    run(async {
        let bodies = RequestBodies::default();
        let read = bodies.read(client(1), body(1 << 20, 2)).await.expect("it is read");
        assert_eq!(read.len(), 1 << 20);
        assert!(bodies.held_bytes() <= 2 << 20, "{} bytes", bodies.held_bytes());
        drop(read);
        assert_eq!(bodies.held_bytes(), 0);
    });
}

// Guards against a bound that refuses the largest legal body while nothing else is held.
#[test]
fn largest_body_is_read_and_a_larger_one_is_refused() {
    run(async {
        let bodies = RequestBodies::default();
        let largest = bodies.read(client(1), body(MAX_BODY_BYTES, 1 << 10)).await;
        assert_eq!(largest.map(|body| body.len()), Ok(MAX_BODY_BYTES));
        let larger = bodies.read(client(1), body(MAX_BODY_BYTES + (1 << 10), 1 << 10)).await;
        assert_eq!(larger.map_err(|refusal| refusal.reason), Err(Reason::TooLarge));
    });
}
