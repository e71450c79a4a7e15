//! The faults that a seed stands for.

use std::collections::BTreeSet;

use soak::plan::FAULTS_MS;
use soak::plan::LEAD_MS;
use soak::plan::faults;

#[test]
fn a_seed_always_stands_for_the_same_faults() {
    assert_eq!(faults(7, 4), faults(7, 4));
    assert_ne!(faults(7, 4), faults(8, 4));
}

#[test]
fn faults_begin_in_order_and_in_time_and_overlap() {
    let mut overlaps = 0;
    for seed in 0..50 {
        let planned = faults(seed, 4);
        assert!(planned.is_sorted_by_key(|fault| fault.at_ms));
        assert!(planned.iter().all(|fault| (LEAD_MS..LEAD_MS + FAULTS_MS).contains(&fault.at_ms)));
        overlaps +=
            planned.windows(2).filter(|two| two[1].at_ms < two[0].at_ms + two[0].lasts_ms).count();
    }
    assert!(overlaps > 100, "{overlaps}");
}

#[test]
fn fifty_seeds_meet_every_kind_of_fault() {
    let kind = |text: String| text.split([' ', '(']).next().unwrap_or_default().to_owned();
    let kinds: BTreeSet<String> = (0..50)
        .flat_map(|seed| faults(seed, 4))
        .map(|planned| kind(planned.fault.to_string()))
        .collect();
    assert_eq!(kinds.len(), 20, "{kinds:?}");
}
