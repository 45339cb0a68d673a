//! Rounds in which some processes and workers are separated from the others.

use sycamore_soak::{Fault, FaultKind, Group, Scenario, Step, StoreLink};

use crate::round::run;

/// Number of tasks that run when the partition begins.
const TASK_COUNT: usize = 6;

/// Returns a round in which process 0 owns and starts long tasks at once. The other processes have
/// slower links, so that they let it claim first.
fn long_tasks() -> Scenario {
    let mut scenario = Scenario::from_seed(1, 3);
    scenario.store_links.fill(StoreLink::Slow);
    scenario.store_links[0] = StoreLink::Fast;
    scenario.jobs.truncate(TASK_COUNT);
    for job in &mut scenario.jobs {
        (job.team, job.at_ms, job.work_ms) = (0, 0, 16_000);
        (job.failing, job.is_deadly, job.cancel_after_ms) = (0, false, None);
        // Two of them fit on a worker, so that some run on each half of the workers, and each half
        // has room for those of the other.
        job.steps = vec![Step { tasks: 1, cpu_millis: 3_000, is_after: false }];
    }
    scenario.faults = Vec::new();
    scenario
}

/// Separates process 0 and half of the workers from the others for longer than a lease, and
/// checks that no task runs twice. Returns the number of starts.
async fn assert_no_task_runs_twice(has_store: bool) -> u64 {
    let mut scenario = long_tasks();
    let group = Group { processes: vec![0], workers: vec![0, 2, 4], has_store };
    let kind = FaultKind::Partition(group);
    scenario.faults = vec![Fault { at_ms: 2_000, for_ms: 13_000, kind }];

    let outcome = run(&scenario, None).await;

    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    outcome.starts
}

/// Failure (issue 44): an owner that was cut off from the store and its peers went on renewing the
/// leases of runs on workers that it still reached. Its successor did not reach them, waited for
/// one lease and started their tasks again.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_cut_off_together_with_workers_lets_no_task_run_twice() {
    let starts = assert_no_task_runs_twice(false).await;

    assert!(starts > TASK_COUNT as u64, "the partition hit no task");
}

/// Failure (issue 44): an owner that had nothing to write to the store, which it reached, did not
/// notice for seconds that it was replaced, and renewed leases like one that is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_cut_off_from_its_peers_alone_lets_no_task_run_twice() {
    let starts = assert_no_task_runs_twice(true).await;

    // Both sides own in turn and reach the store, so that a lease need not expire.
    assert!(starts >= TASK_COUNT as u64, "{starts} starts");
}
