//! Which executor has which workers.

use std::collections::BTreeMap;

use sycamore_types::Name;

use super::super::assignment::Assignment;
use super::super::health::FULL_WEIGHT;

fn name(prefix: &str, number: usize) -> Name {
    Name::from(format!("{prefix}-{number}"))
}

fn workers() -> Vec<Name> {
    (0..3_000).map(|number| name("worker", number)).collect()
}

fn assignment(executors: usize) -> Assignment {
    let mut assignment = Assignment::default();
    for number in 0..executors {
        assignment.set_weight(&name("peer", number), FULL_WEIGHT);
    }
    assignment
}

fn executors(assignment: &mut Assignment) -> Vec<Option<Name>> {
    workers().iter().map(|worker| assignment.executor(worker).cloned()).collect()
}

fn counts(executors: &[Option<Name>]) -> BTreeMap<Name, usize> {
    let mut counts = BTreeMap::new();
    for name in executors.iter().flatten() {
        *counts.entry(name.clone()).or_default() += 1;
    }
    counts
}

/// Without peers, all workers are called directly.
#[test]
fn no_executors_have_no_workers() {
    assert_eq!(assignment(0).executor(&name("worker", 1)), None);
}

/// A poor hash would load some peers with several times the work of others.
#[test]
fn workers_are_spread_evenly() {
    let counts = counts(&executors(&mut assignment(30)));

    assert_eq!(counts.len(), 30);
    assert!(counts.values().all(|count| (60..=140).contains(count)), "{counts:?}");
}

/// The loss of one peer must not move the workers of others.
#[test]
fn a_lost_executor_moves_only_its_own_workers() {
    let mut assignment = assignment(20);
    let before = executors(&mut assignment);
    let lost = name("peer", 5);

    assignment.set_weight(&lost, 0);

    for (old, new) in before.iter().zip(executors(&mut assignment)) {
        assert!(new.as_ref() != Some(&lost));
        assert!(*old == new || old.as_ref() == Some(&lost));
    }
}

/// A peer that joins takes its share and must not move workers between others.
#[test]
fn a_new_executor_takes_workers_and_moves_no_others() {
    let mut assignment = assignment(20);
    let before = executors(&mut assignment);
    let new = name("peer", 20);

    assignment.set_weight(&new, FULL_WEIGHT);

    let after = executors(&mut assignment);
    let moved = before.iter().zip(&after).filter(|(old, now)| old != now);
    assert!(moved.clone().all(|(_, now)| now.as_ref() == Some(&new)));
    assert!((80..=220).contains(&moved.count()));
}

/// A slow executor must get less work, in proportion to its weight.
#[test]
fn weights_are_shares_of_the_work() {
    let mut assignment = assignment(10);
    let slow = name("peer", 3);

    assignment.set_weight(&slow, FULL_WEIGHT / 2);

    let counts = counts(&executors(&mut assignment));
    assert!((110..=205).contains(&counts[&slow]), "{counts:?}");
}

/// Changes are applied to workers that are assigned already; the result must be that of an
/// assignment from scratch, or a worker would move again later.
#[test]
fn changes_give_the_same_result_as_a_new_assignment() {
    let mut changed = assignment(0);
    let mut weights = BTreeMap::new();
    let mut seed: usize = 1;
    for _ in 0..200 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let (peer, weight) = (name("peer", (seed >> 33) % 12), [0, 1, 2, 4][(seed >> 41) % 4]);
        changed.set_weight(&peer, weight);
        weights.insert(peer, weight);
        changed.executor(&name("worker", seed >> 50));
    }

    let mut anew = assignment(0);
    for (peer, weight) in &weights {
        anew.set_weight(peer, *weight);
    }

    assert_eq!(executors(&mut changed), executors(&mut anew));
}

/// Names of workers that have left must not be kept for ever.
#[test]
fn forgotten_workers_are_assigned_to_the_same_executors() {
    let mut assignment = assignment(5);
    let before = executors(&mut assignment);

    assignment.limit_workers(2_999);

    assert_eq!(executors(&mut assignment), before);
}
