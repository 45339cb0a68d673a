//! How much work an executor gets by the time that its batches take.

use std::time::{Duration, Instant};

use super::super::health::{FULL_WEIGHT, Health, Observation, slow_time};

const SLOW: Duration = Duration::from_millis(100);

fn receipt(ms: u64) -> Observation {
    Observation::Receipt(Duration::from_millis(ms))
}

/// Feeds a receipt each half second from the second given on. Returns the final time.
fn feed(health: &mut Health, from: Instant, receipts_ms: &[u64]) -> Instant {
    let mut now = from;
    for ms in receipts_ms {
        now += Duration::from_millis(500);
        health.observe(now, receipt(*ms), SLOW);
    }
    now
}

/// A burst must not move workers.
#[test]
fn a_single_late_receipt_changes_nothing() {
    let start = Instant::now();
    let mut health = Health::new(start);

    let now = feed(&mut health, start, &[10, 400, 10, 400, 10]);

    assert_eq!(health.weight(now), FULL_WEIGHT);
}

/// An overloaded host or a slow link must get less work, and none if that does not help.
#[test]
fn late_receipts_halve_the_work_until_none_is_left() {
    let start = Instant::now();
    let mut health = Health::new(start);
    let mut now = start;
    let mut weights = Vec::new();

    for _ in 0..3 {
        now = feed(&mut health, now, &[200, 200]);
        weights.push(health.weight(now));
    }

    assert_eq!(weights, [FULL_WEIGHT / 2, FULL_WEIGHT / 4, 0]);
}

/// An executor that was slow for a while must not be underused for ever.
#[test]
fn an_executor_recovers_after_good_receipts() {
    let start = Instant::now();
    let mut health = Health::new(start);
    let slowed = feed(&mut health, start, &[200, 200]);

    let early = feed(&mut health, slowed, &[10; 9]);
    assert_eq!(health.weight(early), FULL_WEIGHT / 2);
    let late = feed(&mut health, early, &[10; 2]);

    assert_eq!(health.weight(late), FULL_WEIGHT);
}

/// A peer that fails each time must not be tried every few seconds; one that failed long ago must.
#[test]
fn exclusions_grow_with_repeated_failures_only() {
    let mut now = Instant::now();
    let mut health = Health::new(now);
    let mut exclusion = |now: &mut Instant| {
        health.observe(*now, Observation::Failed, SLOW);
        let failed = *now;
        while health.is_excluded(*now) {
            *now += Duration::from_millis(500);
        }
        now.duration_since(failed).as_secs()
    };

    let repeated: Vec<u64> = (0..7).map(|_| exclusion(&mut now)).collect();
    now += Duration::from_secs(200);

    assert_eq!(repeated, [2, 4, 8, 16, 32, 60, 60]);
    assert_eq!(exclusion(&mut now), 2);
}

/// An executor that comes back must not get all its work at once.
#[test]
fn a_failed_executor_begins_with_little_work() {
    let now = Instant::now();
    let mut health = Health::new(now);

    health.observe(now, Observation::Failed, SLOW);

    assert_eq!(health.weight(now), 0);
    assert_eq!(health.weight(now + Duration::from_secs(2)), 1);
}

/// A stopping peer must get no orders that it can't finish.
#[test]
fn a_leaving_executor_gets_no_work() {
    let now = Instant::now();
    let mut health = Health::new(now);

    health.observe(now, Observation::Leaving, SLOW);

    assert_eq!(health.weight(now + Duration::from_secs(9)), 0);
    assert_eq!(health.weight(now + Duration::from_secs(10)), FULL_WEIGHT);
}

/// An owner that is late itself must not take it for the slowness of all its executors, and an
/// executor must not be its own measure.
#[test]
fn slow_is_relative_to_the_others() {
    let ms = |all: &[u64]| slow_time(all.iter().copied().map(Duration::from_millis).collect());

    assert_eq!(ms(&[]), SLOW);
    assert_eq!(ms(&[900]), SLOW);
    assert_eq!(ms(&[5, 900]), SLOW);
    assert_eq!(ms(&[5, 6, 900]), SLOW);
    assert_eq!(ms(&[200, 210, 220, 900]), Duration::from_millis(630));
}
