//! When receipts are asked for, and when one is overdue.

use std::time::{Duration, Instant};

use super::super::receipts::Receipts;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A receipt for each batch would double the messages.
#[test]
fn a_receipt_is_asked_for_once_in_an_interval() {
    let (mut receipts, now) = (Receipts::default(), Instant::now());

    assert_eq!(receipts.next(now), (1, true));
    assert_eq!(receipts.take(1, now + ms(20)), Some(ms(20)));
    assert_eq!(receipts.next(now + ms(400)), (2, false));
    assert_eq!(receipts.next(now + ms(500)), (3, true));
}

/// A receipt that comes twice, or for another batch, must not count as a sign of life now.
#[test]
fn only_the_awaited_receipt_counts() {
    let (mut receipts, now) = (Receipts::default(), Instant::now());
    receipts.next(now);

    assert_eq!(receipts.take(2, now), None);
    assert_eq!(receipts.take(1, now), Some(Duration::ZERO));
    assert_eq!(receipts.take(1, now), None);
}

/// A paused or cut-off executor must be noticed although its connection stays open.
#[test]
fn a_missing_receipt_is_overdue() {
    let (mut receipts, now) = (Receipts::default(), Instant::now());
    receipts.next(now);

    assert!(!receipts.is_overdue(now + ms(650)));
    assert!(!receipts.is_overdue(now + ms(700)));
    assert!(receipts.is_overdue(now + ms(750)));
}

/// An owner that was paused must read what has arrived before it gives its executors up.
#[test]
fn a_receipt_that_arrived_during_a_pause_of_the_owner_counts() {
    let (mut receipts, now) = (Receipts::default(), Instant::now());
    receipts.next(now);

    assert!(!receipts.is_overdue(now + ms(5_000)));
    assert!(receipts.take(1, now + ms(5_001)).is_some());
    assert!(!receipts.is_overdue(now + ms(5_050)));
}
