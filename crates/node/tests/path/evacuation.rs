//! Evacuation of the failure domain of the worker.

use std::time::{Duration, Instant};

use sycamore_standin::link::LinkState;

use crate::platform::Platform;
use crate::process::{Host, Process, call, until};
use crate::{KEY, is_complete, submit};

/// Time after the store has acknowledged an evacuation from which no task may start (rule EVAC).
const EVACUATION_TIME: Duration = Duration::from_millis(5_000);

/// Pause between two jobs of a test that submits them all the time.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(50);

async fn start(platform: &Platform, name: &str) -> Process {
    start_behind(name, platform.address).await
}

async fn start_behind(name: &str, store: std::net::SocketAddr) -> Process {
    let evacuation_ms = Some(EVACUATION_TIME.as_millis() as u64);
    Process::start_on(&Host { evacuation_ms, ..Host::strong(name, store) }).await
}

/// Submits jobs with names from `first` on for a time. Not all of them have to be accepted.
async fn submit_all_the_time(process: &Process, first: u64, time: Duration) {
    let end = Instant::now() + time;
    for number in first.. {
        if Instant::now() >= end {
            return;
        }
        submit(process, &format!("{number:016x}")).await;
        tokio::time::sleep(SUBMIT_INTERVAL).await;
    }
}

/// Returns how many tasks started later than the bound after `evacuated`.
fn late_starts(platform: &Platform, evacuated: Instant) -> usize {
    let is_late = |at: &&Instant| **at > evacuated + EVACUATION_TIME;
    platform.start_times().iter().filter(is_late).count()
}

/// Failure: nothing reads the key, or only its first change, or only the owner that was there when
/// it was set.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_starts_in_an_evacuated_domain_whoever_owns() {
    let platform = Platform::start().await;
    let first = start(&platform, "one").await;
    until("the process serves", || submit(&first, "00000000000000a1")).await;
    until("the job is complete", || is_complete(&first, "00000000000000a1")).await;
    let long_job = job_of(1_500);
    let accepted = call("POST", &first.url("00000000000000a2"), KEY, &long_job).await;
    assert_eq!(accepted.map(|(status, _)| status), Some(200));
    until("the job runs", || async { platform.start_times().len() == 4 }).await;

    platform.evacuate();
    let evacuated = Instant::now();
    let is_begun = || async { !first.grep(&["evacuation begun"]).is_empty() };
    until("the owner knows of the evacuation", is_begun).await;
    assert!(evacuated.elapsed() < EVACUATION_TIME, "after {:?}", evacuated.elapsed());
    let line = first.grep(&["evacuation begun"]).remove(0);
    assert_eq!(
        (&line["domain"], &line["workers"], &line["runs"]),
        (&"a".into(), &1.into(), &1.into())
    );
    submit_all_the_time(&first, 0xb00, EVACUATION_TIME + Duration::from_secs(1)).await;
    assert_eq!(late_starts(&platform, evacuated), 0);
    until("the work from before is complete", || is_complete(&first, "00000000000000a2")).await;

    platform.end_evacuation();
    until("the jobs that waited complete", || is_complete(&first, "0000000000000b00")).await;
    assert_eq!(first.grep(&["evacuation ended"]).len(), 1);

    platform.evacuate();
    let evacuated = Instant::now();
    let second = start(&platform, "two").await;
    first.kill().await;
    submit_all_the_time(&second, 0xc00, EVACUATION_TIME + Duration::from_secs(2)).await;
    let accepted_last = || submit(&second, "00000000000000a3");
    until("the next owner serves", accepted_last).await;
    assert_eq!(late_starts(&platform, evacuated), 0);

    platform.end_evacuation();
    until("the jobs that waited complete", || is_complete(&second, "00000000000000a3")).await;
    assert_eq!(platform.duplicate_starts(), 0);
    second.kill().await;
}

/// Failure: an owner that has lost the store when the key is written goes on placing tasks, or its
/// successor places some before it has read the key.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_lost_the_store_starts_nothing_after_the_bound() {
    let platform = Platform::start().await;
    let link = platform.store_link(LinkState::Open).await;
    let owner = start_behind("one", link.address).await;
    until("the owner serves", || submit(&owner, "00000000000000a1")).await;
    let second = start(&platform, "two").await;
    until("the second process serves", || submit(&second, "00000000000000a2")).await;

    link.set_state(LinkState::Silent);
    platform.evacuate();
    let evacuated = Instant::now();
    submit_all_the_time(&second, 0xb00, EVACUATION_TIME + Duration::from_secs(3)).await;

    assert_eq!(late_starts(&platform, evacuated), 0);
    platform.end_evacuation();
    until("a job is accepted", || submit(&second, "00000000000000a3")).await;
    until("the job completes", || is_complete(&second, "00000000000000a3")).await;
    assert_eq!(platform.duplicate_starts(), 0);
    owner.kill().await;
    second.kill().await;
}

/// Failure: a deployment without the setting follows the key.
#[tokio::test(flavor = "multi_thread")]
async fn the_key_has_no_effect_without_the_setting() {
    let platform = Platform::start().await;
    let process = Process::start(&platform, "one").await;
    until("the process serves", || submit(&process, "00000000000000a1")).await;

    platform.evacuate();
    tokio::time::sleep(Duration::from_secs(1)).await;

    until("a job is accepted", || submit(&process, "00000000000000a2")).await;
    until("the job completes", || is_complete(&process, "00000000000000a2")).await;
    assert!(process.grep(&["\"kind\":\"evacuation\""]).is_empty());
    process.kill().await;
}

/// A job of one task that takes this long, in milliseconds.
pub fn job_of(ms: u64) -> String {
    let step = sycamore_standin::fenced::Step {
        tasks: 1,
        cpu_millis: 1_000,
        memory_mib: 10,
        estimate_ms: ms,
        after: vec![],
    };
    sycamore_standin::fenced::job(&format!("{{\"ms\":{ms}}}"), &[step]).to_string()
}
