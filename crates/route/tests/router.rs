//! Tests of the router: load spreading, prefix affinity, subsets and ejection.

use rand::SeedableRng;
use rand::rngs::StdRng;
use route::Candidate;
use route::Router;
use route::ejection::drop_ejected;
use route::router::PickError;
use route::router::PickRequest;
use wire::DaemonName;
use wire::DataCentre;
use wire::ReplicaName;

fn candidates(count: usize, slots: u32) -> Vec<Candidate> {
    (0..count)
        .map(|index| Candidate {
            replica: ReplicaName::from(format!("r{index}")),
            data_centre: DataCentre::from(format!("dc{}", index % 2)),
            slots,
        })
        .collect()
}

fn router(subset_size: usize) -> Router {
    Router::new(DaemonName::from("d"), DataCentre::from("dc0"), subset_size)
}

fn pick_request<'a>(candidates: &'a [Candidate], prefix: Option<u64>) -> PickRequest<'a> {
    PickRequest { candidates, prefix, tried: &[], queue_percent: 0 }
}

#[test]
fn a_prefix_stays_at_one_replica_until_loaded() {
    let candidates = candidates(8, 32);
    let mut router = router(24);
    let mut rng = StdRng::seed_from_u64(1);
    let first = router.pick(0, &pick_request(&candidates, Some(7)), &mut rng).expect("a replica");
    let again = router.pick(0, &pick_request(&candidates, Some(7)), &mut rng).expect("a replica");
    assert_eq!(first, again);
    for _ in 0..8 {
        router.on_start(&first);
    }
    let other = router.pick(0, &pick_request(&candidates, Some(7)), &mut rng).expect("a replica");
    assert_ne!(first, other);
}

#[test]
fn full_replicas_give_a_retry_delay() {
    let candidates = candidates(2, 1);
    let mut router = router(24);
    let mut rng = StdRng::seed_from_u64(1);
    candidates.iter().for_each(|candidate| router.on_start(&candidate.replica));
    let error = router.pick(0, &pick_request(&candidates, None), &mut rng);
    assert!(matches!(error, Err(PickError::Full { retry_after_ms }) if retry_after_ms > 0));
}

#[test]
fn ejection_applies_to_at_most_half() {
    let kept = drop_ejected(vec![1, 2, 3, 4], |member| *member <= 2);
    assert_eq!(kept, vec![3, 4]);
    let all = drop_ejected(vec![1, 2, 3, 4], |member| *member <= 3);
    assert_eq!(all.len(), 4);
}

#[test]
fn a_failing_replica_is_ejected_temporarily() {
    let candidates = candidates(4, 32);
    let mut router = router(24);
    let mut rng = StdRng::seed_from_u64(3);
    let bad = candidates[0].replica.clone();
    (0..3).for_each(|_| router.on_failure(0, &bad));
    let picked = |router: &Router, now_ms, rng: &mut StdRng| {
        (0..50).any(|_| {
            router.pick(now_ms, &pick_request(&candidates, None), rng).as_ref() == Ok(&bad)
        })
    };
    assert!(!picked(&router, 10, &mut rng));
    assert!(picked(&router, 60_000, &mut rng));
}

#[test]
fn the_subset_is_stable_and_in_own_data_centre() {
    let candidates = candidates(100, 32);
    let router = router(10);
    let mut rng = StdRng::seed_from_u64(5);
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..500 {
        seen.insert(router.pick(0, &pick_request(&candidates, None), &mut rng).expect("a replica"));
    }
    assert!(seen.len() <= 10, "{}", seen.len());
    let is_own = |name: &ReplicaName| {
        candidates.iter().any(|c| c.replica == *name && c.data_centre.as_str() == "dc0")
    };
    assert!(seen.iter().all(is_own));
}

#[test]
fn reported_batch_streams_do_not_count_as_online() {
    let candidates = candidates(2, 32);
    let mut router = router(24);
    let mut rng = StdRng::seed_from_u64(1);
    let first = router.pick(0, &pick_request(&candidates, Some(9)), &mut rng).expect("a replica");
    router.on_report(0, &first, 30);
    assert_eq!(router.pick(1, &pick_request(&candidates, Some(9)), &mut rng), Ok(first));
}
