//! How calls for advice fail at the host that makes them.

use std::net::SocketAddr;
use std::time::Duration;

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
