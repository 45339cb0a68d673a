//! New versions of the configuration reach a process whose link to the store is slow.

use std::time::{Duration, Instant};

use sycamore_standin::link::{LinkState, Proxy};

use crate::platform::Platform;
use crate::process::{Host, Process, call, until};
use crate::{KEY, submit};

/// Carries a configuration of 1 MB in about three seconds.
const SLOW_LINK: LinkState = LinkState::Narrow(350_000);

/// Time within which a confirmed version must be in force on the users' sites.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);

async fn start_behind(link: &Proxy, name: &str) -> Process {
    let process = Process::start_on(&Host::strong(name, link.address)).await;
    until("the process serves", || submit(&process, "00000000000000a1")).await;
    process
}

async fn serves_queue(process: &Process, prefix: &str) -> bool {
    let response = call("GET", &process.address(prefix), KEY, "").await;
    response.is_some_and(|(status, _)| status == 200)
}

/// Incident inc1: each copy was cut off at the time limit of its call, however much had arrived.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_configuration_arrives_over_a_slow_link() {
    let platform = Platform::start().await;
    let link = platform.store_link(SLOW_LINK).await;
    let process = start_behind(&link, "one").await;

    platform.add_queues(2, 4_200);

    until("an added queue is served", || serves_queue(&process, "/added-4199/")).await;
    let failures = process.grep(&["configuration not received"]);
    assert!(failures.is_empty(), "{failures:?}");
    process.kill().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_without_the_store_gets_the_configuration_of_the_owner() {
    let platform = Platform::start().await;
    let owner = Process::start(&platform, "one").await;
    until("the owner serves", || submit(&owner, "00000000000000b1")).await;
    let link = platform.store_link(LinkState::Open).await;
    let process = start_behind(&link, "two").await;

    link.set_state(LinkState::Silent);
    platform.add_queues(2, 4_200);

    until("an added queue is served", || serves_queue(&process, "/added-4199/")).await;
    // The line is written after the version has come into force.
    let is_from_peer = || async {
        !process.grep(&["configuration applied", "\"peer\"", "\"version\":2"]).is_empty()
    };
    until("the log tells where the version came from", is_from_peer).await;
    owner.kill().await;
    process.kill().await;
}

/// A watch reports every version that was missed, so a slow link fell behind further with each.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_link_carries_the_newest_of_many_versions_in_time() {
    let platform = Platform::start().await;
    let link = platform.store_link(SLOW_LINK).await;
    let process = start_behind(&link, "one").await;

    for version in 2..=13 {
        platform.add_queues(version, 1_500 + version as usize);
        tokio::time::sleep(Duration::from_millis(330)).await;
    }
    let last_written = Instant::now();
    until("the last version is served", || serves_queue(&process, "/added-1512/")).await;

    assert!(last_written.elapsed() < APPLY_TIMEOUT, "{:?}", last_written.elapsed());
    process.kill().await;
}
