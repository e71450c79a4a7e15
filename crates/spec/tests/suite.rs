//! A short run of the checker: the unchanged protocol holds and every seeded fault is found.

use spec::suite;

/// The most states of one search over the unchanged protocol; `cargo run --release -p spec`
/// explores more.
const MAX_STATES: usize = 4_000;
/// Enough states to find every seeded fault.
const MAX_MUTATION_STATES: usize = 200_000;

#[test]
fn unchanged_protocol_holds() {
    let searches = suite::run_proofs(MAX_STATES, |_| {});
    for search in searches {
        assert!(
            search.has_expected_result(),
            "{}: {:?}",
            search.name,
            search.verdict.counterexample
        );
    }
}

#[test]
fn every_seeded_fault_is_found() {
    let searches = suite::run_mutations(MAX_MUTATION_STATES, |_| {});
    let missed: Vec<_> = searches.iter().filter(|search| !search.has_expected_result()).collect();
    assert!(missed.is_empty(), "{missed:?}");
}
