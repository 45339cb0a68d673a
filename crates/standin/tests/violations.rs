//! The simulated workers refuse no start and count each broken rule.

use std::time::Duration;

use sycamore_core::worker::{Launch, Op, Reply, Tag};
use sycamore_platform::worker::{HttpWorker, Worker as _};
use sycamore_standin::worker::{RunTracker, Worker};
use sycamore_types::host::Host;
use sycamore_types::resources::Resources;
use sycamore_types::{id, label};

fn host(name: &str) -> Host {
    Host {
        name: name.into(),
        address: "".into(),
        rack: "r".into(),
        failure_domain: "d".into(),
        capacity: Resources { slots: 2, ..Resources::default() },
        labels: label::Set::default(),
        is_leaving: false,
    }
}

fn start(number: u128, team: &str, payload: &str) -> Op {
    let job = id::Job::new(id::Shard::new("d", 0), number);
    let tag = Tag {
        team: team.into(),
        size: Resources { slots: 1, ..Resources::default() },
        epoch: 1,
        is_interactive: false,
        label: "".into(),
    };
    let launch = Launch {
        task: id::Task { job, index: 0, attempt: 1 },
        tag,
        lease: Duration::from_secs(30),
        run_ms: 20_000,
        payload: payload.to_string(),
    };
    Op::Start { launch, not_after: Duration::MAX }
}

async fn two_workers() -> (Worker, Worker, RunTracker, HttpWorker) {
    let run_tracker = RunTracker::default();
    let one = Worker::start(host("one"), run_tracker.clone()).await.unwrap();
    let two = Worker::start(host("two"), run_tracker.clone()).await.unwrap();
    (one, two, run_tracker, HttpWorker::new())
}

#[tokio::test]
async fn an_overload_is_counted() {
    let (one, _two, run_tracker, client) = two_workers().await;
    let address = one.address().to_string();
    for number in 0..3 {
        assert_eq!(client.call(&address, start(number, "a", "")).await, Reply::Done);
    }
    assert_eq!(run_tracker.violations().overloads, 1);
}

#[tokio::test]
async fn a_double_run_is_counted() {
    let (one, two, run_tracker, client) = two_workers().await;
    for worker in [one, two] {
        let address = worker.address().to_string();
        assert_eq!(client.call(&address, start(1, "a", "")).await, Reply::Done);
    }
    assert_eq!(run_tracker.violations().double_runs, 1);
}

#[tokio::test]
async fn a_start_for_a_wrong_team_is_counted() {
    let (one, _two, run_tracker, client) = two_workers().await;
    let address = one.address().to_string();
    assert_eq!(client.call(&address, start(1, "a", "team=b")).await, Reply::Done);
    assert_eq!(run_tracker.violations().wrong_team, 1);
}

#[tokio::test]
async fn a_start_above_the_limit_of_a_team_is_counted() {
    let (one, _two, run_tracker, client) = two_workers().await;
    run_tracker.set_limits([("a".into(), 1)].into());
    let address = one.address().to_string();
    for number in 0..2 {
        client.call(&address, start(number, "a", "")).await;
    }
    assert_eq!(run_tracker.violations().over_limit, 1);
}
