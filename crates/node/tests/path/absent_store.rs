//! Owners whose store does not reply. They can't tell by themselves whether they were replaced.

use std::time::Duration;

use sycamore_standin::fenced::{self, Step};

use crate::platform::Platform;
use crate::process::{Process, call, until};
use crate::{KEY, is_complete, start_serving, submit};

/// Longer than the longest lease, which is 6 s.
const ABSENCE: Duration = Duration::from_millis(9_000);

/// Starts an owner and a second process that follows it, and a job whose only task outlasts the absence
/// of the store.
async fn start_with_long_job(platform: &Platform, job: &str) -> (Process, Process) {
    let owner = start_serving(platform, "one", "00000000000000a1").await;
    let follower = start_serving(platform, "two", "00000000000000a2").await;
    submit_long_job(platform, &owner, job).await;
    (owner, follower)
}

async fn submit_long_job(platform: &Platform, owner: &Process, job: &str) {
    let accepted = || async {
        let step =
            Step { tasks: 1, cpu_millis: 1_000, memory_mib: 10, estimate_ms: 100, after: vec![] };
        let body = fenced::job("{\"ms\":12000}", &[step]).to_string();
        call("POST", &owner.url(job), KEY, &body).await.is_some_and(|(status, _)| status == 200)
    };
    until("a long job is accepted", accepted).await;
    until("its task starts", || async { platform.has_started(job) }).await;
}

/// Guards against an end of all work by owners that go on only while the store confirms them.
#[tokio::test(flavor = "multi_thread")]
async fn work_goes_on_while_the_other_processes_confirm_the_owner() {
    let platform = Platform::start().await;
    let (owner, follower) = start_with_long_job(&platform, "00000000000000a3").await;

    platform.set_store_unavailable(true);
    tokio::time::sleep(ABSENCE).await;
    platform.set_store_unavailable(false);

    until("the long job completes", || is_complete(&owner, "00000000000000a3")).await;
    assert_eq!(platform.lapsed_runs(), 0);
    assert_eq!(platform.duplicate_starts(), 0);
    owner.kill().await;
    follower.kill().await;
}

/// A process that does not reply may have become the owner. An owner that went on beside it kept tasks
/// running that its successor started again (issue 44, TWICE).
#[tokio::test(flavor = "multi_thread")]
async fn leases_end_while_a_process_that_may_be_the_owner_is_silent() {
    let platform = Platform::start().await;
    let (owner, follower) = start_with_long_job(&platform, "00000000000000a3").await;

    platform.set_store_unavailable(true);
    follower.signal("STOP").await;
    tokio::time::sleep(ABSENCE).await;
    let lapsed = platform.lapsed_runs();
    platform.set_store_unavailable(false);
    follower.signal("CONT").await;

    assert_eq!(lapsed, 1);
    until("the long job completes", || is_complete(&owner, "00000000000000a3")).await;
    until("a new job is accepted", || submit(&owner, "00000000000000a4")).await;
    until("the new job completes", || is_complete(&owner, "00000000000000a4")).await;
    let warnings = owner.grep(&["ownership is not confirmed", "\"silent\":\"two\""]);
    assert!(!warnings.is_empty());
    assert_eq!(platform.duplicate_starts(), 0);
    owner.kill().await;
    follower.kill().await;
}

/// An owner that knew of no other process took that for the consent of all. Found by a review of the fix
/// of issue 44.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_knows_no_other_process_rests_on_the_store_alone() {
    let platform = Platform::start().await;
    let owner = start_serving(&platform, "one", "00000000000000a1").await;
    submit_long_job(&platform, &owner, "00000000000000a3").await;

    platform.set_store_unavailable(true);
    tokio::time::sleep(ABSENCE).await;
    let lapsed = platform.lapsed_runs();
    platform.set_store_unavailable(false);

    assert_eq!(lapsed, 1);
    until("the long job completes", || is_complete(&owner, "00000000000000a3")).await;
    assert_eq!(platform.duplicate_starts(), 0);
    owner.kill().await;
}
