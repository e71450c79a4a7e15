//! Tests that bodies are read within their limits and the memory budget.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use budget::Budget;
use budget::Kind;
use budget::Limits;
use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use futures::stream;
use gate::body::BodyFailure;
use gate::body::BodyLimits;
use gate::body::BodyReader;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use kernel::BootClock;
use kernel::body_watch::BodyWatch;
use kernel::connection_table::Admission;
use kernel::connection_table::ConnectionId;
use kernel::connection_table::ConnectionTable;
use tokio_util::sync::CancellationToken;
use wire::Millis;
use wire::Ran;
use wire::Reason;

const MIB: usize = 1 << 20;
const LIMITS: BodyLimits =
    BodyLimits { max_bytes: 4 * MIB, idle_ms: 10_000, give_up_at_ms: Millis::MAX };

type Part = Result<Frame<Bytes>, io::Error>;

/// Returns the clock that all bodies of the process share.
fn clock() -> BootClock {
    static CLOCK: OnceLock<BootClock> = OnceLock::new();
    *CLOCK.get_or_init(BootClock::start)
}

fn reader(budget: &Arc<Budget>, announced: Option<usize>, limits: BodyLimits) -> BodyReader {
    BodyReader::new(budget, clock(), None, announced, limits)
}

/// Returns a body of chunks of the same size, which stay slices of one buffer.
fn chunks(total: usize, chunk: usize) -> StreamBody<impl Stream<Item = Part> + Unpin> {
    let buffer = Bytes::from(vec![7; total]);
    let parts = (0..total.div_ceil(chunk))
        .map(move |index| buffer.slice(index * chunk..total.min((index + 1) * chunk)));
    StreamBody::new(stream::iter(parts.map(|part| Ok(Frame::data(part)))))
}

/// Returns a body of one part that never ends.
fn stalled(first: usize) -> StreamBody<impl Stream<Item = Part> + Unpin> {
    let first = stream::iter([Ok(Frame::data(Bytes::from(vec![7; first])))]);
    StreamBody::new(first.chain(stream::pending()))
}

/// Guards against sizes up to the limit that the smallest host refuses, and against memory that is
/// counted differently from what is held.
#[tokio::test]
async fn bodies_up_to_the_limit_are_read_whatever_their_framing() {
    for bytes in [0, 1, 100, 4_095, 4_097, 65_536, MIB + 3, 4 * MIB] {
        for (announced, chunk) in
            [(Some(bytes), 16 << 10), (None, 16 << 10), (None, 1_021), (None, 2)]
        {
            let budget = Budget::new(Limits::for_memory_mb(88));
            let body = chunks(bytes, chunk);
            let body = reader(&budget, announced, LIMITS).read(body).await.expect("it is read");
            assert_eq!((body.len(), body.iter().all(|byte| *byte == 7)), (bytes, true));
            assert_eq!(budget.used_bytes(Kind::RequestBodies), bytes, "chunks of {chunk}");
            drop(body);
            assert_eq!(budget.total_used_bytes(), 0);
        }
    }
}

/// Guards against a body without bytes that waits for memory.
#[tokio::test]
async fn empty_bodies_need_no_memory() {
    let budget = Budget::new(Limits { total_bytes: 0, ..Limits::unlimited() });
    let empty = reader(&budget, None, LIMITS).read(Empty::<Bytes>::new()).await;
    assert_eq!(empty.map(|body| body.len()).map_err(|unread| unread.failure), Ok(0));
}

/// Guards against bodies over the limit that are read to their end.
#[tokio::test]
async fn bodies_over_the_limit_are_refused_at_the_head_or_when_they_exceed_it() {
    let budget = Budget::new(Limits::for_memory_mb(88));
    let announced = reader(&budget, Some(4 * MIB + 1), LIMITS).read(stalled(1)).await;
    let announced = announced.expect_err("it is refused");
    assert_eq!((announced.failure, announced.received_bytes), (BodyFailure::TooLarge, 0));
    let sent = reader(&budget, None, LIMITS).read(chunks(100 * MIB, 64 << 10)).await;
    let sent = sent.expect_err("it is refused");
    assert_eq!((sent.failure, sent.received_bytes), (BodyFailure::TooLarge, 4 * MIB + (64 << 10)));
    let limits = BodyLimits { max_bytes: 64 * MIB, ..LIMITS };
    let never = reader(&budget, Some(32 * MIB), limits).read(stalled(1)).await;
    assert_eq!(never.expect_err("it cannot fit").failure, BodyFailure::TooLarge);
    assert_eq!(budget.total_used_bytes(), 0);
}

/// Guards against bodies that hold memory although nothing comes, or next to nothing.
#[tokio::test]
async fn silent_slow_and_late_bodies_end() {
    let budget = Budget::unlimited();
    let limits = BodyLimits { idle_ms: 40, ..LIMITS };
    let idle = reader(&budget, None, limits).read(stalled(10)).await;
    assert_eq!(idle.expect_err("it is silent").failure, BodyFailure::Idle);

    let trickle = stream::unfold((), |()| async {
        tokio::time::sleep(Duration::from_millis(15)).await;
        Some((Ok::<_, Infallible>(Frame::data(Bytes::from_static(b"x"))), ()))
    });
    let trickle = reader(&budget, None, limits).read(StreamBody::new(Box::pin(trickle))).await;
    assert_eq!(trickle.expect_err("it is too slow").failure, BodyFailure::Trickle);

    let clock = clock();
    let limits = BodyLimits { give_up_at_ms: clock.now_ms() + 30, ..LIMITS };
    let late = BodyReader::new(&budget, clock, None, None, limits).read(stalled(10)).await;
    assert_eq!(late.expect_err("it is late").failure, BodyFailure::Late);
    assert_eq!(budget.total_used_bytes(), 0);
}

/// Guards against a stalled body that keeps its connection at the bound, and against a refusal that is
/// untrue because the body still counts as read.
#[tokio::test]
async fn stalled_body_gives_way_to_a_new_connection() {
    let (table, id) = full_table();
    let evicted = CancellationToken::new();
    let stall_limit = Duration::from_millis(20);
    let watch = BodyWatch::new(table.clone(), id, stall_limit, evicted.clone());
    let budget = Budget::unlimited();
    let reading = reader(&budget, None, LIMITS).with_watch(Some(watch)).read(stalled(10));
    let admitting = async {
        assert_eq!(table.lock().expect("the table").admit(), Admission::Refuse);
        loop {
            tokio::time::sleep(Duration::from_millis(5)).await;
            let admission = table.lock().expect("the table").admit();
            if let Admission::Evict { evicted: chosen, .. } = admission {
                assert_eq!(chosen, id);
                evicted.cancel();
                return;
            }
        }
    };
    let (read, ()) = tokio::join!(reading, admitting);
    let unread = read.expect_err("it gives way");
    assert_eq!(unread.failure, BodyFailure::Stalled);
    let refusal = unread.failure.refusal();
    assert_eq!((refusal.reason, refusal.reason.http_status()), (Reason::SlowBody, 408));
    assert_eq!(refusal.ran, Ran::No);
    assert_eq!(budget.total_used_bytes(), 0);
}

/// Guards against cutting a body that was slow once, and against a complete one that counts as stalled.
#[tokio::test]
async fn body_that_continues_after_a_stall_is_read() {
    let (table, id) = full_table();
    let stall_limit = Duration::from_millis(20);
    let watch = BodyWatch::new(table.clone(), id, stall_limit, CancellationToken::new());
    let parts = stream::unfold(0, |sent| async move {
        tokio::time::sleep(Duration::from_millis(60)).await;
        let part = Ok::<_, Infallible>(Frame::data(Bytes::from_static(b"x")));
        (sent < 3).then_some((part, sent + 1))
    });
    let body = StreamBody::new(Box::pin(parts));
    let read = reader(&Budget::unlimited(), None, LIMITS).with_watch(Some(watch)).read(body).await;
    assert_eq!(read.expect("it is read").len(), 3);
    assert_eq!(table.lock().expect("the table").admit(), Admission::Refuse);
}

/// Returns the table of a server whose only connection is busy, and its id.
fn full_table() -> (Arc<Mutex<ConnectionTable>>, ConnectionId) {
    let mut table = ConnectionTable::new(1);
    let Admission::Open(id) = table.admit() else { panic!("the table is full") };
    table.set_busy(id);
    (Arc::new(Mutex::new(table)), id)
}

/// Guards against a body that ends early and counts as complete.
#[tokio::test]
async fn broken_bodies_are_refused() {
    let budget = Budget::unlimited();
    let parts: [Part; 2] =
        [Ok(Frame::data(Bytes::from_static(b"x"))), Err(io::Error::other("reset"))];
    let broken = reader(&budget, None, LIMITS).read(StreamBody::new(stream::iter(parts))).await;
    assert_eq!(broken.expect_err("it is broken").failure, BodyFailure::Broken);
}

/// Guards against stalled bodies that keep ordinary requests from being served, and against more
/// memory than the limit while they give way.
#[tokio::test(flavor = "current_thread")]
async fn stalled_bodies_give_way_to_large_and_small_ones() {
    let budget = Budget::new(Limits::for_memory_mb(88));
    let local = tokio::task::LocalSet::new();
    let run = async {
        let flood: Vec<_> = (0..60)
            .map(|_| {
                let reader = reader(&budget, Some(4 * MIB), LIMITS);
                tokio::task::spawn_local(reader.read(stalled(MIB)))
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let limit = budget.limits().request_bodies_bytes;
        let held = budget.used_bytes(Kind::RequestBodies);
        assert!(held > limit / 2 && held <= limit, "{held}");
        for bytes in [100, 20_000] {
            let small = reader(&budget, Some(bytes), LIMITS).read(chunks(bytes, 1_000)).await;
            assert_eq!(small.expect("beside a full budget").len(), bytes);
        }
        tokio::time::sleep(Duration::from_millis(budget::bodies::MIN_STALL_MS + 50)).await;
        let large = reader(&budget, None, LIMITS).read(chunks(4 * MIB, 16 << 10)).await;
        assert_eq!(large.expect("stalled bodies give way").len(), 4 * MIB);
        let mut failures = Vec::new();
        for task in flood {
            task.abort();
            if let Ok(ended) = task.await {
                failures.push(ended.expect_err("it stalls").failure);
            }
        }
        assert!(failures.contains(&BodyFailure::Evicted), "{failures:?}");
        assert!(failures.contains(&BodyFailure::Full), "{failures:?}");
    };
    local.run_until(run).await;
    assert_eq!(budget.total_used_bytes(), 0);
}

/// Guards against a body in one part that is copied into a buffer of another size.
#[tokio::test]
async fn body_in_one_part_is_counted_exactly() {
    let budget = Budget::new(Limits::for_memory_mb(88));
    let body = Full::new(Bytes::from(vec![1; 9_999]));
    let body = reader(&budget, Some(9_999), LIMITS).read(body).await.expect("it is read");
    assert_eq!((body.len(), budget.total_used_bytes()), (9_999, 9_999));
}
