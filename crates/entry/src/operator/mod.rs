//! HTTP interface for operators: configuration, status of the deployment, metrics and health.
//!
//! Its listener is served until the process ends, so that a stopping process can still be queried.
//! Calls are not authenticated.

mod config;
mod status;

use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::api::{Body, not_found, respond};
use crate::entry::Shared;

/// Serves one call of an operator.
pub(crate) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_string();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/metrics") => respond(StatusCode::OK, shared.meters.metrics.render()),
        (Method::GET, "/healthz") => respond(StatusCode::OK, "ok\n"),
        (Method::GET, "/readyz") => ready(&shared),
        (Method::GET, "/v1/config") => config::read(&shared),
        (Method::PUT, "/v1/config") => config::write(&shared, request).await,
        (Method::GET, "/v1/status") => status::deployment(&shared).await,
        (Method::GET, "/v1/heads") => status::heads(&shared).await,
        (Method::GET, path) => match path.strip_prefix("/v1/jobs/") {
            Some(job) => status::explain(&shared, job).await,
            None => not_found(),
        },
        _ => not_found(),
    }
}

fn ready(shared: &Shared) -> Response<Body> {
    let is_ready = shared.is_ready();
    if is_ready {
        respond(StatusCode::OK, "ready\n")
    } else {
        respond(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
