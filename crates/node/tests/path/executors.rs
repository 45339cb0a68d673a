//! Owners whose calls to workers go through another process.

use std::time::Duration;

use sycamore_standin::fenced::{self, Step};

use crate::platform::Platform;
use crate::process::{Host, Process, call, until};
use crate::{KEY, is_complete, submit};

/// Makes an owner use executors from the first worker on.
const ALWAYS: (&str, &str) = ("SYCAMORE_EXECUTOR_MIN_WORKERS", "1");

/// Longer than the lease of a worker and than all timeouts of an executor.
const LONG_RUN_MS: u64 = 9_000;

async fn start_process(platform: &Platform, name: &str) -> Process {
    Process::start_with(&Host::strong(name, platform.address), &[ALWAYS]).await
}

/// Starts an owner and a peer that carries out its calls.
async fn start_pair(platform: &Platform) -> (Process, Process) {
    let owner = start_process(platform, "one").await;
    until("the owner serves", || submit(&owner, "00000000000000a1")).await;
    let peer = start_process(platform, "two").await;
    until("the peer carries calls", || async { carried_out(&owner).await > 0 }).await;
    (owner, peer)
}

/// Returns the value of a metric of a process, summed over its labels that contain a text.
async fn metric(process: &Process, name: &str, label: &str) -> u64 {
    let Some((_, text)) = call("GET", &process.metrics_url(), "", "").await else { return 0 };
    let lines = text.lines().filter(|line| line.starts_with(name) && line.contains(label));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>() as u64
}

async fn carried_out(owner: &Process) -> u64 {
    metric(owner, "executor_orders_total", "carried out").await
}

/// Submits a job with one task that outlasts a lease.
async fn submit_long(process: &Process, id: &str) -> bool {
    let step =
        Step { tasks: 3, cpu_millis: 500, memory_mib: 10, estimate_ms: 9_000, after: vec![] };
    let body = fenced::job(&format!("{{\"ms\":{LONG_RUN_MS}}}"), &[step]).to_string();
    call("POST", &process.url(id), KEY, &body).await.is_some_and(|(status, _)| status == 200)
}

/// Jobs must run through a peer as they do directly.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_complete_through_an_executor() {
    let platform = Platform::start().await;
    let (owner, peer) = start_pair(&platform).await;
    let before = carried_out(&owner).await;

    until("a job is accepted", || submit(&owner, "00000000000000a2")).await;
    until("the job completes", || is_complete(&owner, "00000000000000a2")).await;

    // Three starts, and polls that report their ends.
    assert!(carried_out(&owner).await >= before + 4);
    assert_eq!(owner.grep(&["begins to use executors"]).len(), 1);
    assert_eq!(platform.duplicate_starts(), 0);
    owner.kill().await;
    peer.kill().await;
}

/// A peer that dies must not cost a lease: runs that were started through it must go on.
#[tokio::test(flavor = "multi_thread")]
async fn runs_outlive_the_executor_that_started_them() {
    let platform = Platform::start().await;
    let (owner, peer) = start_pair(&platform).await;
    until("a long job is accepted", || submit_long(&owner, "00000000000000a2")).await;
    tokio::time::sleep(Duration::from_millis(500)).await;

    peer.kill().await;

    until("the job completes", || is_complete(&owner, "00000000000000a2")).await;
    until("a new job is accepted", || submit(&owner, "00000000000000a3")).await;
    until("the new job completes", || is_complete(&owner, "00000000000000a3")).await;
    assert_eq!(platform.lapsed_runs(), 0);
    assert_eq!(platform.duplicate_starts(), 0);
    owner.kill().await;
}

/// A paused peer answers nothing and closes nothing. When it goes on, it must not disturb what has
/// been called directly meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn runs_outlive_a_pause_of_their_executor() {
    let platform = Platform::start().await;
    let (owner, peer) = start_pair(&platform).await;
    until("a long job is accepted", || submit_long(&owner, "00000000000000a2")).await;
    tokio::time::sleep(Duration::from_millis(500)).await;

    peer.signal("STOP").await;
    until("a new job is accepted", || submit(&owner, "00000000000000a3")).await;
    until("the new job completes", || is_complete(&owner, "00000000000000a3")).await;
    peer.signal("CONT").await;

    until("the long job completes", || is_complete(&owner, "00000000000000a2")).await;
    assert_eq!(platform.lapsed_runs(), 0);
    assert_eq!(platform.duplicate_starts(), 0);
    owner.kill().await;
    peer.kill().await;
}

/// An owner that dies leaves orders at its executor, which becomes the owner itself.
#[tokio::test(flavor = "multi_thread")]
async fn an_executor_takes_over_from_its_owner() {
    let platform = Platform::start().await;
    let (owner, peer) = start_pair(&platform).await;
    until("a long job is accepted", || submit_long(&owner, "00000000000000a2")).await;

    owner.kill().await;

    until("the peer serves", || submit(&peer, "00000000000000a3")).await;
    until("the long job completes", || is_complete(&peer, "00000000000000a2")).await;
    assert_eq!(platform.lapsed_runs(), 0);
    assert_eq!(platform.duplicate_starts(), 0);
    peer.kill().await;
}
