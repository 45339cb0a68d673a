//! Answers the platform's readiness probes, on a listener apart from the callers' one.
//!
//! A process that is alive but can't serve callers is not ready, so that the load balancer
//! sends them elsewhere.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sycamore_platform::site::READY_PATH;
use tokio::net::TcpListener;

use crate::node::Node;

/// Accepts connections of readiness probes until the process exits.
pub(crate) async fn serve_readiness(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let node = node.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let status = status(&node, &request);
                async move { Ok::<_, Infallible>(empty(status)) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
            if let Err(error) = connection.await {
                log::debug!("connection of a readiness probe failed: {error}");
            }
        });
    }
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
