//! Tests of the scenarios that are drawn from a seed.

use std::collections::BTreeSet;

use soak::plan::Fault;
use soak::plan::draw_calm_faults;
use soak::plan::draw_faults;
use soak::scenario::FIRST_SCENARIO_SEED;
use soak::scenario::Scenario;

/// Guards against changes of the runs of seeds that are known from before scenarios existed.
#[test]
fn low_seeds_have_no_scenario() {
    let is_new = |fault| {
        matches!(
            fault,
            Fault::ReplicaFailsPart { .. }
                | Fault::ReplicaSlow { .. }
                | Fault::RevokeKey { .. }
                | Fault::LowerQuota
                | Fault::Flood { .. }
        )
    };
    for seed in 0..FIRST_SCENARIO_SEED {
        assert_eq!(Scenario::draw(seed), Scenario::default());
        assert!(!draw_faults(seed, 4).iter().any(|planned| is_new(planned.fault)));
        assert!(!draw_calm_faults(seed).iter().any(|planned| is_new(planned.fault)));
    }
}

/// Guards against a kind of trouble that fifty seeds never show.
#[test]
fn fifty_seeds_draw_every_kind_of_scenario() {
    let seeds = FIRST_SCENARIO_SEED..FIRST_SCENARIO_SEED + 50;
    let scenarios: Vec<Scenario> = seeds.clone().map(Scenario::draw).collect();
    let with_health = scenarios.iter().filter(|scenario| !scenario.contracts.is_empty()).count();
    assert!((15..35).contains(&with_health), "{with_health}");
    let with_organisations: Vec<u64> =
        seeds.clone().filter(|seed| Scenario::draw(*seed).has_organisations).collect();
    assert!((15..35).contains(&with_organisations.len()), "{with_organisations:?}");
    for seed in with_organisations {
        let faults: Vec<Fault> = draw_faults(seed, 4).iter().map(|planned| planned.fault).collect();
        assert!(faults.contains(&Fault::RevokeKey { key: 0 }), "{faults:?}");
        assert!(faults.contains(&Fault::LowerQuota), "{faults:?}");
        let calm: Vec<Fault> = draw_calm_faults(seed).iter().map(|planned| planned.fault).collect();
        assert!(calm.contains(&Fault::RevokeKey { key: 1 }), "{calm:?}");
    }
    let degradations: BTreeSet<String> = seeds
        .clone()
        .flat_map(|seed| draw_faults(seed, 4))
        .filter_map(|planned| match planned.fault {
            Fault::ReplicaFailsPart { failure, .. } => Some(format!("{failure:?}")),
            Fault::ReplicaSlow { .. } => Some("Slow".to_owned()),
            _ => None,
        })
        .collect();
    assert_eq!(degradations.len(), 4, "{degradations:?}");
    let floods: BTreeSet<String> = seeds
        .flat_map(|seed| draw_faults(seed, 4))
        .filter_map(|planned| match planned.fault {
            Fault::Flood { kind, .. } => Some(format!("{kind:?}")),
            _ => None,
        })
        .collect();
    assert_eq!(floods.len(), 4, "{floods:?}");
}
