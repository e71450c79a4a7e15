//! Tests of rate limits, concurrency limits, deadlines and the retry budget.

use admit::OrgLimiter;
use admit::RetryBudget;
use admit::limits::OrgLimit;
use wire::OrgName;
use wire::Ran;
use wire::Reason;

const LIMIT: OrgLimit = OrgLimit { requests_per_s: 10.0, max_in_flight: 5 };

#[test]
fn a_rate_is_divided_among_live_daemons() {
    let mut limiter = OrgLimiter::new();
    limiter.set_live_daemons(2);
    let org = OrgName::from("o");
    let admitted = (0..10_000)
        .filter(|now_ms| {
            let is_admitted = limiter.admit(*now_ms, &org, LIMIT, u64::MAX).is_ok();
            if is_admitted {
                limiter.on_end(&org);
            }
            is_admitted
        })
        .count();
    assert!((50..=62).contains(&admitted), "{admitted}");
}

#[test]
fn refusals_give_a_reason_and_say_not_run() {
    let mut limiter = OrgLimiter::new();
    let org = OrgName::from("o");
    let past = limiter.admit(100, &org, LIMIT, 100).expect_err("the deadline has passed");
    assert_eq!((past.reason, past.ran), (Reason::Deadline, Ran::No));
    for _ in 0..5 {
        limiter.admit(100, &org, LIMIT, 200).expect("within the limit");
    }
    let full = limiter.admit(100, &org, LIMIT, 200).expect_err("too many in flight");
    assert_eq!(full.reason, Reason::ConcurrencyLimit);
    assert!(full.retry_after_ms.is_some());
}

#[test]
fn retries_are_limited_to_a_share_of_requests() {
    let mut budget = RetryBudget::new(0.1);
    while budget.take_retry() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_request();
        retries += u32::from(budget.take_retry());
    }
    assert!((95..=100).contains(&retries), "{retries}");
}
