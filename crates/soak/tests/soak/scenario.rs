//! Checks that a scenario depends on its seed alone and that all kinds of faults occur.

use sycamore_soak::Scenario;

#[test]
fn a_seed_gives_the_same_scenario_again() {
    let (first, again) = (Scenario::from_seed(5, 4), Scenario::from_seed(5, 4));
    assert_eq!(format!("{first:?}"), format!("{again:?}"));
}

#[test]
fn seeds_differ() {
    let (first, other) = (Scenario::from_seed(5, 4), Scenario::from_seed(6, 4));
    assert_ne!(format!("{first:?}"), format!("{other:?}"));
}

#[test]
fn every_kind_of_fault_occurs() {
    let faults = (0..200).flat_map(|seed| Scenario::from_seed(seed, 3).faults);
    let kinds: std::collections::BTreeSet<&str> = faults.map(|fault| fault.kind.name()).collect();
    assert_eq!(kinds.len(), 10, "{kinds:?}");
}
