//! Checks that a scenario depends on its seed alone and that all kinds of faults occur.

use sycamore_soak::{FaultKind, Scenario};

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

/// Failure: a draw for partitions changed the jobs or faults that a recorded seed repeats.
#[test]
fn a_partition_leaves_the_other_faults_and_most_jobs_as_they_were() {
    for seed in 0..50 {
        let (without, with) = (Scenario::from_seed(seed, 3), Scenario::from_seed(seed, 3));
        let with = with.with_partition(100);

        let is_other = |fault: &&sycamore_soak::Fault| fault.kind.name() != "partition";
        let others: Vec<_> = with.faults.iter().filter(is_other).collect();
        assert_eq!(format!("{others:?}"), format!("{:?}", without.faults));
        assert_eq!(with.faults.len(), without.faults.len() + 1);
        let shared = with
            .jobs
            .iter()
            .zip(&without.jobs)
            .filter(|(a, b)| format!("{a:?}") == format!("{b:?}"));
        assert!(shared.count() > 170, "seed {seed}");
        assert_eq!(format!("{:?}", with.config_changes), format!("{:?}", without.config_changes));
    }
}

/// Failure: a share of 0 changed rounds, or partitions separated nobody or hit every round.
#[test]
fn the_share_of_rounds_with_a_partition_is_as_asked_for() {
    let partitions = |percent| {
        let rounds = (0..200).map(move |seed| Scenario::from_seed(seed, 3).with_partition(percent));
        rounds.flat_map(|round| round.faults).filter_map(|fault| match fault.kind {
            FaultKind::Partition(group) => Some((group, fault.for_ms)),
            _ => None,
        })
    };

    assert_eq!(partitions(0).count(), 0);
    assert!((30..70).contains(&partitions(25).count()));
    for (group, for_ms) in partitions(100) {
        assert!((1..3).contains(&group.processes.len()), "{group:?}");
        assert!((1..6).contains(&group.workers.len()), "{group:?}");
        assert!((9_000..=25_000).contains(&for_ms), "{for_ms}");
    }
}
