//! Answers the platform's readiness probes, on a listener apart from the callers' one.
//!
//! A process that is alive but can't serve callers is not ready, so that the load balancer
//! sends them elsewhere.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use sycamore_platform::site::READY_PATH;
use tokio::net::TcpListener;

use super::internal::serve_internal;
use crate::node::Node;

/// Accepts connections of readiness probes until the process exits.
pub(crate) async fn serve_readiness(node: Arc<Node>, listener: TcpListener) {
    let probed = node.clone();
    serve_internal(&node.meters, listener, move |request| empty(status(&probed, request))).await;
}

fn status(node: &Node, request: &Request<Incoming>) -> StatusCode {
    if request.uri().path() != READY_PATH {
        StatusCode::NOT_FOUND
    } else if node.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
