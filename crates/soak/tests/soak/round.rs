//! Rounds with real `sycamore-node` processes.

use std::path::PathBuf;

use sycamore_soak::{Fault, Outcome, Scenario, run_round};

/// Returns the path of the `sycamore-node` that was built along with the tests.
fn program() -> PathBuf {
    let mut path = std::env::current_exe().expect("the test's own path");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    let program = path.join("sycamore-node");
    assert!(program.exists(), "run the tests of the whole workspace, or build sycamore-node first");
    program
}

/// Runs a scenario. `bug` makes the program violate the invariant of that name.
pub async fn run(scenario: &Scenario, bug: Option<&str>) -> Outcome {
    let name =
        format!("sycamore-soak-test-{}-{:?}", std::process::id(), std::thread::current().id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).expect("the directory is created");
    let environment: Vec<(String, String)> =
        bug.map(|bug| ("SYCAMORE_BREAK".to_string(), bug.to_string())).into_iter().collect();
    let outcome = run_round(scenario, &program(), &dir, false, &environment).await;
    std::fs::remove_dir_all(&dir).expect("the directory is removed");
    outcome.expect("the round runs")
}

/// Returns a round of one process without faults, cut to its first jobs.
pub fn fault_free(seed: u64, jobs: usize) -> Scenario {
    let mut scenario = Scenario::from_seed(seed, 1);
    scenario.jobs.truncate(jobs);
    scenario.faults = Vec::<Fault>::new();
    scenario
}

#[yare::parameterized(one = { 1 }, two = { 2 })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_round_with_faults_violates_no_invariant(seed: u64) {
    let outcome = run(&Scenario::from_seed(seed, 3), None).await;

    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert!(outcome.jobs > 0, "no job was accepted");
}
