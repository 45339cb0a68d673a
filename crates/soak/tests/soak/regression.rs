//! Seeds that failed once, each with its cause.

use sycamore_soak::Scenario;

use crate::round::run;

/// 11 and 14: a worker that lost power came back under its id, and the stand-in let a look
/// meant for the incarnation before acknowledge ends of the new one while it waited. The platform
/// takes a look in once, on its arrival; the stand-in does now.
///
/// 1: the checker held a repeated task against the owner although the first end had gone
/// with the worker's power before it was noted.
#[yare::parameterized(eleven = { 11 }, fourteen = { 14 })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_seed_that_failed_once_keeps_the_promises(seed: u64) {
    let outcome = run(&Scenario::from_seed(seed, 3), None).await;

    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
}
