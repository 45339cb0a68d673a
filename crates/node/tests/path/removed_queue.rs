//! Jobs go on after the configuration has removed their queue.

use std::time::{Duration, Instant};

use sycamore_standin::fenced::{self, Step};

use crate::platform::Platform;
use crate::process::{Process, call, until};
use crate::{KEY, start_serving, submit};

const JOB: &str = "00000000000000a2";

/// Returns a job of two steps of one task.
fn job_of_two_steps(task_ms: u64) -> String {
    let step =
        Step { tasks: 1, cpu_millis: 1_000, memory_mib: 10, estimate_ms: 100, after: vec![] };
    let second = Step { after: vec![0], ..step };
    fenced::job(&format!("{{\"ms\":{task_ms}}}"), &[step, second]).to_string()
}

/// Removes the queue of all jobs, and waits until the processes know it.
async fn remove_queue(platform: &Platform, processes: &[&Process]) {
    platform.replace_queue(2);
    for process in processes {
        let is_applied =
            || async { !process.grep(&["configuration applied", "\"version\":2"]).is_empty() };
        until("the queue is removed", is_applied).await;
    }
}

/// The next owner knew the queues of the newest configuration only, and never started the second
/// step. The review showed LOST (review/3). The test also guards what the engine's tests can't:
/// the definition reaches the store and is read from it.
#[tokio::test(flavor = "multi_thread")]
async fn the_steps_of_a_removed_queue_start_under_the_next_owner() {
    let platform = Platform::start().await;
    let first = start_serving(&platform, "one", "00000000000000a1").await;
    let second = Process::start(&platform, "two").await;
    until("the second process serves", || submit(&second, "00000000000000a3")).await;
    let body = job_of_two_steps(4_000);
    let response = call("POST", &first.url(JOB), KEY, &body).await;
    assert_eq!(response.map(|(status, _)| status), Some(200));
    until("the first step runs", || async { platform.has_started(JOB) }).await;

    remove_queue(&platform, &[&first, &second]).await;
    first.kill().await;

    let second_step = format!("{JOB}.0.1.");
    until("the second step starts", || async { platform.has_started(&second_step) }).await;
    assert_eq!(platform.duplicate_starts(), 0);
    second.kill().await;
}

/// Guards against compaction that removes the definition of a queue with the page beside which it is
/// stored, or that leaves its key behind.
#[tokio::test(flavor = "multi_thread")]
async fn compaction_carries_the_definition_of_a_queue_over() {
    let platform = Platform::start().await;
    let first = start_serving(&platform, "one", "00000000000000a1").await;
    let stored = platform.definition_keys();
    // The log is compacted once it has over 400 pages of which the first is 20 s old.
    let end = Instant::now() + Duration::from_secs(120);
    let small_job = job_of_two_steps(1);
    for number in 0x1_0000_u64.. {
        if platform.definition_keys() != stored {
            break;
        }
        assert!(Instant::now() < end, "no compaction");
        call("POST", &first.url(&format!("{number:016x}")), KEY, &small_job).await;
    }
    let carried_over = platform.definition_keys();
    let second = start_serving(&platform, "two", "00000000000000a3").await;
    let response = call("POST", &first.url(JOB), KEY, &job_of_two_steps(4_000)).await;
    assert_eq!(response.map(|(status, _)| status), Some(200));
    until("the first step runs", || async { platform.has_started(JOB) }).await;
    remove_queue(&platform, &[&first, &second]).await;

    first.kill().await;

    assert_eq!((stored.len(), carried_over.len()), (1, 1), "{stored:?}, {carried_over:?}");
    let second_step = format!("{JOB}.0.1.");
    until("the second step starts", || async { platform.has_started(&second_step) }).await;
    second.kill().await;
}
