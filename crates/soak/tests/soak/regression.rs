//! Seeds of rounds that failed in the past, each with the cause of the failure.

use sycamore_soak::Scenario;

use crate::round::run;

/// Seeds 11 and 14: a worker lost power and came back under the same id. The simulated worker
/// let a waiting poll that was meant for the previous incarnation acknowledge ends of the new
/// one. It now applies what a poll acknowledges once, when the poll arrives, as the platform
/// does.
///
/// Seed 754: the checker took the end of a run for that of an earlier run with the same number,
/// whose worker had lost power before the end was acknowledged.
///
/// Seed 1, which runs in `round.rs`, on the code before incident inc1: processes behind slow
/// links never received a large configuration.
///
/// The same seed: the checker reported a repeated task as a violation,
/// although the worker had lost power before the first end was acknowledged.
#[yare::parameterized(eleven = { 11 }, fourteen = { 14 }, seven_five_four = { 754 })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_seed_that_failed_before_violates_no_invariant(seed: u64) {
    let outcome = run(&Scenario::from_seed(seed, 3), None).await;

    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
}
