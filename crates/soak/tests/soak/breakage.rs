//! Each promise, broken on purpose in the real program, is caught. Release builds of the
//! program have no such switch.
#![cfg(debug_assertions)]

use sycamore_soak::{Job, Promise, Scenario};

use crate::round::{calm, play};

/// Jobs of a round with a breakage: enough to fill workers and limits.
const JOBS: usize = 60;

async fn is_caught(scenario: &Scenario, broken: &str, promise: Promise) {
    let outcome = play(scenario, Some(broken)).await;
    let found: Vec<Promise> = outcome.breaches.iter().map(|breach| breach.promise).collect();
    assert!(found.contains(&promise), "{broken}: {found:?}");
}

#[yare::parameterized(
    once = { "once", Promise::Once },
    capacity = { "capacity", Promise::Capacity },
    order = { "order", Promise::Order },
    limit = { "limit", Promise::Limit },
    kept = { "kept", Promise::Kept },
    truth = { "truth", Promise::Truth },
    running = { "running", Promise::Running },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_breakage_is_caught(broken: &str, promise: Promise) {
    let mut scenario = calm(7, JOBS);
    for job in &mut scenario.jobs {
        // All at once, and long enough to meet each other.
        job.at_ms = 0;
        job.work_ms = 500;
    }
    if broken == "kept" {
        // Nothing that is lost ever ends.
        scenario.jobs.truncate(1);
        scenario.jobs[0].cancel_after_ms = None;
    }
    is_caught(&scenario, broken, promise).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn further_attempts_are_caught() {
    let mut scenario = calm(7, 3);
    for job in &mut scenario.jobs {
        job.failing = 8;
        job.work_ms = 50;
    }
    is_caught(&scenario, "attempts", Promise::Attempts).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn work_after_a_cancel_is_caught() {
    let mut scenario = calm(7, 1);
    let job = &mut scenario.jobs[0];
    *job = Job { cancel_after_ms: Some(0), work_ms: 3_500, ..job.clone() };
    job.steps.truncate(1);
    // The second step begins well after the cancel was answered.
    job.steps.push(sycamore_soak::Step { is_after: true, ..job.steps[0].clone() });
    is_caught(&scenario, "asked", Promise::Asked).await;
}
