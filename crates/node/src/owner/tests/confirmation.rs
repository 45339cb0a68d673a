//! When an owner is certain that it is still the owner.

use std::time::Duration;

use crate::clock::Clock;
use crate::owner::confirmation::Confirmation;

const LEASE_MS: u64 = 6_000;

/// Long before now, so that ages differ clearly.
fn confirmed_before(ms: u64) -> (Confirmation, u64) {
    let clock = Clock::new();
    let at_ms = clock.uptime_ms().saturating_sub(ms);
    (Confirmation::new(clock, at_ms), at_ms)
}

/// The host of these tests has run for longer than the ages that they use.
#[test]
fn a_confirmation_is_as_old_as_its_call() {
    let (confirmation, _) = confirmed_before(2_000);

    assert!(confirmation.age() >= Duration::from_millis(2_000));
    assert!(confirmation.store_age() >= Duration::from_millis(2_000));
}

/// A job could be denied that a successor had accepted, if other processes alone counted: one that has
/// restarted does not remember what it accepted.
#[test]
fn other_processes_confirm_leases_but_not_denials() {
    let (confirmation, at_ms) = confirmed_before(4_000);

    let is_extended = confirmation.extend(at_ms + 4_000, LEASE_MS);

    assert!(is_extended);
    assert!(confirmation.age() < Duration::from_millis(2_000));
    assert!(confirmation.store_age() >= Duration::from_millis(4_000));
}

/// A successor that has ended since, and that nobody remembers, may have started tasks again.
#[test]
fn only_the_store_confirms_after_the_longest_lease() {
    let (confirmation, at_ms) = confirmed_before(8_000);

    let is_extended = confirmation.extend(at_ms + LEASE_MS + 1, LEASE_MS);
    let age = confirmation.age();
    confirmation.record(at_ms + LEASE_MS + 1);

    assert!(!is_extended);
    assert!(age >= Duration::from_millis(8_000));
    assert!(confirmation.age() < Duration::from_millis(4_000));
}

/// Replies overtake each other.
#[test]
fn an_earlier_confirmation_changes_nothing() {
    let (confirmation, at_ms) = confirmed_before(1_000);

    confirmation.record(at_ms - 3_000);

    assert!(confirmation.age() < Duration::from_millis(3_000));
}
