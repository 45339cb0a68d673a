//! The stand-ins refuse nothing, and notice each rule that is broken.

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
    let ledger = RunTracker::default();
    let one = Worker::start(host("one"), ledger.clone()).await.unwrap();
    let two = Worker::start(host("two"), ledger.clone()).await.unwrap();
    (one, two, ledger, HttpWorker::new())
}

#[tokio::test]
async fn an_overload_is_noticed() {
    let (one, _two, ledger, client) = two_workers().await;
    let address = one.address().to_string();
    for number in 0..3 {
        assert_eq!(client.call(&address, start(number, "a", "")).await, Reply::Done);
    }
    assert_eq!(ledger.violations().overloads, 1);
}

#[tokio::test]
async fn a_double_run_is_noticed() {
    let (one, two, ledger, client) = two_workers().await;
    for worker in [one, two] {
        let address = worker.address().to_string();
        assert_eq!(client.call(&address, start(1, "a", "")).await, Reply::Done);
    }
    assert_eq!(ledger.violations().double_runs, 1);
}

#[tokio::test]
async fn a_start_for_a_wrong_team_is_noticed() {
    let (one, _two, ledger, client) = two_workers().await;
    let address = one.address().to_string();
    assert_eq!(client.call(&address, start(1, "a", "team=b")).await, Reply::Done);
    assert_eq!(ledger.violations().wrong_team, 1);
}

#[tokio::test]
async fn a_limit_that_is_passed_is_noticed() {
    let (one, _two, ledger, client) = two_workers().await;
    ledger.set_limits([("a".into(), 1)].into());
    let address = one.address().to_string();
    for number in 0..2 {
        client.call(&address, start(number, "a", "")).await;
    }
    assert_eq!(ledger.violations().over_limit, 1);
}
