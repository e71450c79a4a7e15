//! A short run of the checker: the proofs hold and every seeded fault is found.

use spec::suite;

/// The states of one search here; `cargo run --release -p spec` explores more.
const STATES: usize = 4_000;
/// The states that the slowest seeded fault needs.
const MUTANT_STATES: usize = 200_000;

#[test]
fn proofs_hold() {
    let searches = suite::prove(STATES, |_| {});
    for search in searches {
        assert!(search.is_good(), "{}: {:?}", search.name, search.verdict.counterexample);
    }
}

#[test]
fn every_seeded_fault_is_found() {
    let searches = suite::hunt(MUTANT_STATES, |_| {});
    let missed: Vec<_> = searches.iter().filter(|search| !search.is_good()).collect();
    assert!(missed.is_empty(), "{missed:?}");
}
