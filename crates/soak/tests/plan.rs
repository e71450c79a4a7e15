//! Tests of the faults that are drawn from a seed.

use std::collections::BTreeSet;

use soak::plan::FAULT_WINDOW_MS;
use soak::plan::WARM_UP_MS;
use soak::plan::draw_faults;

#[test]
fn same_seed_draws_the_same_faults() {
    assert_eq!(draw_faults(7, 4), draw_faults(7, 4));
    assert_ne!(draw_faults(7, 4), draw_faults(8, 4));
}

#[test]
fn faults_are_sorted_within_the_window_and_overlap() {
    let mut overlaps = 0;
    for seed in 0..50 {
        let planned = draw_faults(seed, 4);
        assert!(planned.is_sorted_by_key(|fault| fault.start_ms));
        assert!(
            planned
                .iter()
                .all(|fault| (WARM_UP_MS..WARM_UP_MS + FAULT_WINDOW_MS).contains(&fault.start_ms))
        );
        overlaps += planned
            .windows(2)
            .filter(|two| two[1].start_ms < two[0].start_ms + two[0].duration_ms)
            .count();
    }
    assert!(overlaps > 100, "{overlaps}");
}

#[test]
fn fifty_seeds_draw_every_kind_of_fault() {
    let kind = |text: String| text.split([' ', '(']).next().unwrap_or_default().to_owned();
    let kinds: BTreeSet<String> = (0..50)
        .flat_map(|seed| draw_faults(seed, 4))
        .map(|planned| kind(planned.fault.to_string()))
        .collect();
    assert_eq!(kinds.len(), 21, "{kinds:?}");
}
