//! How calls for advice fail at the host that makes them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sycamore_graph::{StepId, job};
use sycamore_standin::fenced::{Advice, AdviceMode};
use sycamore_types::Name;

use super::fixture::node;
use crate::node::Node;
use crate::peer::AdviceFailure;

const TIMEOUT: Duration = Duration::from_millis(500);

async fn service(mode: AdviceMode) -> Advice {
    Advice::start(mode).await.expect("a free port")
}

fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

async fn advise(node: &Node, timeout: Duration) -> Result<Vec<(Name, Name)>, AdviceFailure> {
    let step = StepId { job: job::Id(1), occurrence: 0, index: 0 };
    node.advise(&step, &[Name::from("worker-1")], timeout).await
}

/// Failure: a call waits without a limit while an earlier one of its host hangs, and is made although its
/// owner has given it up, so that it delays the next one.
#[tokio::test(flavor = "multi_thread")]
async fn the_wait_for_an_earlier_call_counts_against_the_timeout() {
    let service = service(AdviceMode::Silent).await;
    let node = node("host", unused_address(), Some(service.server.address));
    let earlier = node.clone();
    let earlier = tokio::spawn(async move { advise(&earlier, 4 * TIMEOUT).await });
    while service.calls() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let started = Instant::now();

    let result = advise(&node, TIMEOUT).await;

    assert_eq!(result, Err(AdviceFailure::Busy));
    assert!(started.elapsed() < 2 * TIMEOUT, "{:?}", started.elapsed());
    assert_eq!(service.calls(), 1);
    earlier.abort();
}

/// Failure: nothing tells why a call failed.
#[tokio::test(flavor = "multi_thread")]
async fn each_failure_of_the_service_has_its_cause() {
    let modes = [
        (AdviceMode::Status(503), "status"),
        (AdviceMode::ClosesConnections, "broken"),
        (AdviceMode::Silent, "timeout"),
        (AdviceMode::AllowsOthers, "malformed"),
    ];
    for (mode, expected) in modes {
        let service = service(mode).await;
        let node = node("host", unused_address(), Some(service.server.address));
        let result = advise(&node, TIMEOUT).await;
        assert_eq!(result.map_err(|failure| failure.cause()), Err(expected));
    }
    for (address, expected) in [(None, "not_configured"), (Some(unused_address()), "not_sent")] {
        let node = node("host", unused_address(), address);
        let result = advise(&node, TIMEOUT).await;
        assert_eq!(result.map_err(|failure| failure.cause()), Err(expected));
    }
}
