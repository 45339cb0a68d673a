//! The admin listener: metrics and health checks over HTTP.
//!
//! Health and readiness differ: a process that can't do its work yet is healthy but not ready.

use std::convert::Infallible;
use std::future::Future;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sycamore_telemetry::metrics::Metrics;
use tokio::net::TcpListener;

/// Serves `/metrics`, `/healthz` and `/readyz` until accepting a connection fails.
///
/// Each request for `/readyz` calls `is_ready`.
pub async fn serve<F, Fut>(listener: TcpListener, metrics: Metrics, is_ready: F)
where
    F: Fn() -> Fut + Clone + Send + 'static,
    Fut: Future<Output = bool> + Send,
{
    while let Ok((socket, _)) = listener.accept().await {
        let metrics = metrics.clone();
        let is_ready = is_ready.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let (metrics, is_ready) = (metrics.clone(), is_ready.clone());
                async move { Ok::<_, Infallible>(respond(&request, &metrics, is_ready).await) }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
        });
    }
}

async fn respond<F, Fut>(
    request: &Request<Incoming>,
    metrics: &Metrics,
    is_ready: F,
) -> Response<Full<Bytes>>
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    match request.uri().path() {
        "/metrics" => text_response(StatusCode::OK, metrics.render()),
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" if is_ready().await => text_response(StatusCode::OK, "ready\n"),
        "/readyz" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
