//! Owners whose link to the store is slow.

use futures::future::join_all;
use sycamore_standin::fenced::{self, Step};
use sycamore_standin::link::LinkState;

use crate::platform::Platform;
use crate::process::{Host, Process, call, until};
use crate::{KEY, submit};

/// A job with the longest payload that callers may send.
fn large_job() -> String {
    let step = Step { tasks: 1, cpu_millis: 100, memory_mib: 10, estimate_ms: 100, after: vec![] };
    fenced::job(&"x".repeat(4_000), &[step]).to_string()
}

async fn submit_large_to(url: &str) -> bool {
    let response = call("POST", url, KEY, &large_job()).await;
    response.is_some_and(|(status, _)| status == 200)
}

/// Incident inc1, the other direction: a page of the log that took longer than the time limit of
/// a write was cut off, and written again from its first byte.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_page_of_the_log_is_written_over_a_slow_link() {
    let platform = Platform::start().await;
    let link = platform.store_link(LinkState::Open).await;
    let host = Host { link_mbps: 0.8, ..Host::strong("one", link.address) };
    let process = Process::start_on(&host).await;
    until("the process serves", || submit(&process, "00000000000000a1")).await;

    // The jobs together take more than three seconds; a write has 450 ms to be answered.
    link.set_state(LinkState::Narrow(100_000));
    let submissions = (0..70).map(|number| {
        let url = process.url(&format!("{:016x}", 0xb000 + number));
        async move {
            // A submission that was not answered in time is repeated, as callers do.
            until("the job is accepted", || submit_large_to(&url)).await;
        }
    });
    join_all(submissions).await;

    process.kill().await;
}

/// An owner was replaced as one without the store while it received a large configuration from
/// the store.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_receives_a_large_configuration_stays_the_owner() {
    let platform = Platform::start().await;
    let link = platform.store_link(LinkState::Narrow(200_000)).await;
    let owner = Process::start_on(&Host::strong("one", link.address)).await;
    until("the owner serves", || submit(&owner, "00000000000000a1")).await;
    let other = Process::start(&platform, "two").await;
    until("the other process serves", || submit(&other, "00000000000000a2")).await;

    // Takes five seconds over the link of the owner.
    platform.add_queues(2, 4_200);
    let is_received = || async {
        !owner.grep(&["configuration applied", "\"store\"", "\"version\":2"]).is_empty()
            || !owner.grep(&["ownership ended"]).is_empty()
    };
    until("the owner has received it", is_received).await;

    let claims = other.grep(&["claimed ownership"]);
    assert!(claims.is_empty(), "{claims:?}");
    owner.kill().await;
    other.kill().await;
}

/// A process read the log for 13 s, was replaced meanwhile, and then answered 410 for jobs that
/// its successor had accepted. Seen with hosts of 2 Mbit/s.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_is_replaced_while_it_reads_the_log_does_not_own() {
    let platform = Platform::start().await;
    let first = Process::start(&platform, "one").await;
    for number in 0..70 {
        let url = first.url(&format!("{:016x}", 0xb000 + number));
        until("the job is accepted", || submit_large_to(&url)).await;
    }
    let link = platform.store_link(LinkState::Open).await;
    let second = Process::start_on(&Host::strong("two", link.address)).await;
    until("the second process serves", || submit(&second, "00000000000000a1")).await;

    // Reading the log takes three seconds.
    link.set_state(LinkState::Narrow(100_000));
    first.kill().await;
    let has_claimed = || async { !second.grep(&["claimed ownership"]).is_empty() };
    until("the second process has claimed", has_claimed).await;
    platform.replace_owner(9);

    let owns = || async { !second.grep(&["\"owning\""]).is_empty() };
    until("the second process owns", owns).await;
    let epoch = second.grep(&["\"owning\""])[0]["epoch"].as_u64();
    assert!(epoch.is_some_and(|epoch| epoch > 9), "{epoch:?}");
    second.kill().await;
}
