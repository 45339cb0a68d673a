//! Checks that the soak reports bugs that are injected into the real program, each of which
//! violates one invariant. Release builds of the program have no such switch.
#![cfg(debug_assertions)]

use sycamore_soak::{Invariant, Job, Scenario};

use crate::round::{fault_free, run};

/// Number of jobs in a round with an injected bug: enough to fill the workers and the limits
/// of the teams.
const JOB_COUNT: usize = 60;

async fn assert_reported(scenario: &Scenario, bug: &str, invariant: Invariant) {
    let outcome = run(scenario, Some(bug)).await;
    let found: Vec<Invariant> =
        outcome.violations.iter().map(|violation| violation.invariant).collect();
    assert!(found.contains(&invariant), "{bug}: {found:?}");
}

#[yare::parameterized(
    once = { "once", Invariant::Once },
    capacity = { "capacity", Invariant::Capacity },
    order = { "order", Invariant::Order },
    limit = { "limit", Invariant::Limit },
    kept = { "kept", Invariant::Kept },
    truth = { "truth", Invariant::Truth },
    running = { "running", Invariant::Running },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_injected_bug_is_reported(bug: &str, invariant: Invariant) {
    let mut scenario = fault_free(7, JOB_COUNT);
    for job in &mut scenario.jobs {
        // Jobs start at the same time and run long enough to overlap.
        job.at_ms = 0;
        job.work_ms = 500;
    }
    if bug == "kept" {
        // A lost job never ends, so a single one is submitted, without a cancel.
        scenario.jobs.truncate(1);
        scenario.jobs[0].cancel_after_ms = None;
    }
    assert_reported(&scenario, bug, invariant).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn attempts_beyond_the_limit_are_reported() {
    let mut scenario = fault_free(7, 3);
    for job in &mut scenario.jobs {
        job.failing = 8;
        job.work_ms = 50;
    }
    assert_reported(&scenario, "attempts", Invariant::Attempts).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_start_after_a_cancel_is_reported() {
    let mut scenario = fault_free(7, 1);
    let job = &mut scenario.jobs[0];
    *job = Job { cancel_after_ms: Some(0), work_ms: 3_500, ..job.clone() };
    job.steps.truncate(1);
    // The second step starts well after the response to the cancel.
    job.steps.push(sycamore_soak::Step { is_after: true, ..job.steps[0].clone() });
    assert_reported(&scenario, "asked", Invariant::Asked).await;
}
