//! The call budget: the fleet's rate limit and the priority of urgent classes.

use store::budget::CallBudget;
use store::budget::CallClass;

fn count_taken(budget: &mut CallBudget, class: CallClass, from_ms: u64, to_ms: u64) -> usize {
    (from_ms..to_ms).filter(|now_ms| budget.take_call(*now_ms, class).is_ok()).count()
}

#[test]
fn rate_is_divided_by_live_daemons() {
    let mut budget = CallBudget::new(100.0, 0);
    budget.set_live_daemons(10);
    count_taken(&mut budget, CallClass::Lease, 0, 5_000);
    let steady = count_taken(&mut budget, CallClass::Lease, 5_000, 15_000);
    assert!((98..=102).contains(&steady), "{steady}");
}

#[test]
fn status_calls_leave_tokens_for_leases() {
    let mut budget = CallBudget::new(100.0, 0);
    while budget.take_call(0, CallClass::Status).is_ok() {}
    assert!(budget.take_call(0, CallClass::Ledger).is_ok());
    while budget.take_call(0, CallClass::Ledger).is_ok() {}
    assert!(budget.take_call(0, CallClass::Lease).is_ok());
}

#[test]
fn refused_call_gets_the_wait_until_its_token() {
    let mut budget = CallBudget::new(100.0, 0);
    while budget.take_call(0, CallClass::Lease).is_ok() {}
    let wait_ms = budget.take_call(0, CallClass::Lease).expect_err("the budget is exhausted");
    assert!(budget.take_call(wait_ms, CallClass::Lease).is_ok());
}
