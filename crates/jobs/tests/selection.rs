//! Tests of the choice of the item that waits for a slot next.

use jobs::job::ItemUrgency;
use jobs::selection::next_item;
use jobs::slot_places::SlotPlaces;
use wire::OrgName;

/// Guards against a home in overload that computes the next item of all its jobs each time that it is
/// woken, though none can wait.
#[test]
fn candidates_are_not_computed_when_no_place_is_free() {
    let mut places = SlotPlaces::default();
    places.take(&None);
    let mut computed = 0;
    let candidates = (0..1_000_u32).map(|job| {
        computed += 1;
        (ItemUrgency { on_time_at_ms: 2_000, order_at_ms: 1_000 }, None::<OrgName>, job)
    });
    assert!(next_item(1_000, 1, &places, candidates).is_none());
    assert_eq!(computed, 0);
}

/// Guards against places that one organisation takes from another which has an item that can still be
/// on time, and against places that stay empty.
#[test]
fn place_goes_to_the_organisation_below_its_part() {
    let (first, second) = (Some(OrgName::from("first")), Some(OrgName::from("second")));
    let mut places = SlotPlaces::default();
    places.take(&first);
    places.take(&first);
    let urgency = |order_at_ms| ItemUrgency { on_time_at_ms: 2_000, order_at_ms };
    let of_first = (urgency(100), first.clone(), 1);
    let of_second = (urgency(900), second.clone(), 2);
    let next = next_item(1_000, 4, &places, vec![of_first.clone(), of_second]);
    assert_eq!(next.map(|(_, job)| job), Some(2));
    let next = next_item(1_000, 4, &places, vec![of_first]);
    assert_eq!(next.map(|(_, job)| job), Some(1));
    places.free(&first);
    assert_eq!(places.taken(), 1);
}
