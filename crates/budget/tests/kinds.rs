//! Tests the limits of the kinds, the reserve, and what the smallest host holds.

use budget::Budget;
use budget::BudgetFull;
use budget::Kind;
use budget::Limits;

const MIB: usize = 1 << 20;
const SMALLEST_HOST_MB: u64 = 88;
const LARGEST_BODY_BYTES: usize = 4 * MIB;

/// Guards against clients' data that takes the memory without which peers and the store cannot answer.
#[test]
fn clients_leave_the_reserve_to_peers_and_the_store() {
    let limits = Limits { total_bytes: 1_000, reserve_bytes: 200, ..Limits::unlimited() };
    let budget = Budget::new(limits);
    let mut jobs = budget.reserve(Kind::Jobs);
    assert_eq!(jobs.resize(801), Err(BudgetFull));
    assert_eq!(jobs.resize(800), Ok(()));
    let mut output = budget.reserve(Kind::Output);
    assert_eq!(output.resize(1), Err(BudgetFull));
    let mut peer_call = budget.reserve(Kind::PeerCalls);
    assert_eq!(peer_call.resize(150), Ok(()));
    let mut store_answer = budget.reserve(Kind::StoreAnswers);
    assert_eq!(store_answer.resize(51), Err(BudgetFull));
    assert_eq!(store_answer.resize(50), Ok(()));
    assert_eq!(budget.total_used_bytes(), 1_000);
    drop((jobs, output, peer_call, store_answer));
    assert_eq!(budget.total_used_bytes(), 0);
}

/// Guards against a refused resize that changes what is reserved.
#[test]
fn refused_growth_changes_nothing() {
    let budget = Budget::new(Limits { jobs_bytes: 100, ..Limits::unlimited() });
    let mut job = budget.reserve(Kind::Jobs);
    job.resize(60).expect("it fits");
    assert_eq!(job.resize(101), Err(BudgetFull));
    assert_eq!((job.bytes(), budget.used_bytes(Kind::Jobs)), (60, 60));
    job.resize_unchecked(150);
    assert_eq!(budget.used_bytes(Kind::Jobs), 150);
    job.resize(20).expect("it shrinks");
    assert_eq!(budget.used_bytes(Kind::Jobs), 20);
}

/// Guards against shares that make the smallest host refuse a request or a job within the limits.
#[test]
fn smallest_host_holds_the_largest_body_and_job() {
    let limits = Limits::for_memory_mb(SMALLEST_HOST_MB);
    assert_eq!(Limits::for_memory_mb(1), limits, "smaller settings count as the smallest host");
    assert!(limits.large_bodies_bytes() >= 2 * LARGEST_BODY_BYTES - MIB);
    assert!(limits.jobs_bytes >= 3 * LARGEST_BODY_BYTES);
    assert!(limits.total_bytes - limits.reserve_bytes >= 4 * LARGEST_BODY_BYTES);
    let left_to_bodies = limits.total_bytes
        - limits.reserve_bytes
        - limits.jobs_bytes
        - limits.replica_answers_bytes;
    assert!(left_to_bodies >= limits.small_bodies_bytes, "{left_to_bodies}");
    assert!(limits.total_bytes <= 40 * MIB);
}
