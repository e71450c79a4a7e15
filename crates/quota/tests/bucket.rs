//! Tests that tokens which are given back do not let a bucket exceed its limit.

use quota::Limit;
use quota::bucket::Bucket;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LIMIT: Limit = Limit { rate_per_s: 10.0, burst: 10.0 };

#[test]
fn tokens_from_before_an_overflow_are_not_given_back() {
    let mut bucket = Bucket::new(0, LIMIT, 10.0);
    assert_eq!(bucket.take(0, 10), 10);
    // The bucket is full again, so that without the first take these tokens would have overflowed.
    assert_eq!(bucket.take(2_000, 10), 10);
    assert_eq!(bucket.give_back(2_000, 1, 10), 0);
    assert_eq!(bucket.give_back(2_000, 2, 10), 10);
}

#[test]
fn lowered_limit_cuts_the_level_at_once() {
    let mut bucket = Bucket::new(0, LIMIT, 10.0);
    bucket.set_limit(0, Limit { rate_per_s: 1.0, burst: 2.0 });
    assert_eq!(bucket.take(0, 10), 2);
    assert_eq!(bucket.wait_ms(0), 1_000);
}

#[test]
fn spent_tokens_stay_within_the_limit_in_every_interval() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut bucket = Bucket::new(0, LIMIT, 10.0);
        let mut now_ms = 0;
        let mut taken = Vec::new();
        let mut spent: Vec<u64> = Vec::new();
        for _ in 0..400 {
            now_ms += random.gen_range(0..200);
            let count = bucket.take(now_ms, random.gen_range(0..6));
            taken.extend((0..count).map(|_| (now_ms, bucket.last_take())));
            if random.gen_bool(0.5) && !taken.is_empty() {
                let (_, take) = taken.remove(random.gen_range(0..taken.len()));
                bucket.give_back(now_ms, take, 1);
            }
            // What is older than 6 s is spent; a token counts when it was taken.
            let (old, young): (Vec<_>, Vec<_>) =
                taken.iter().partition(|(at, _)| *at + 6_000 < now_ms);
            spent.extend(old.into_iter().map(|(at, _)| at));
            taken = young;
        }
        spent.sort_unstable();
        for (start, from_ms) in spent.iter().enumerate() {
            for (end, until_ms) in spent.iter().enumerate().skip(start) {
                let allowed = 10.0 + 10.0 * (until_ms - from_ms) as f64 / 1_000.0;
                let count = (end - start + 1) as f64;
                assert!(
                    count <= allowed + 1e-6,
                    "seed {seed}: {count} from {from_ms} to {until_ms}"
                );
            }
        }
    }
}
