//! An HTTP client for control calls, which reads whole responses into memory.
//!
//! It pools connections and reports whether a failed request may have been processed, so that
//! the caller knows what is safe to retry.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::Error;

/// Largest response body that is read into memory, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
///
/// Kept short because a worker can take a limited number of connections, and idle ones of
/// previous owners would add up.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest number of idle connections to one address.
const MAX_IDLE_PER_HOST: usize = 64;

/// An HTTP client with a connection pool.
///
/// Cloning is cheap; clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// Builds a client that closes connections after [`IDLE_TIMEOUT`] without use.
    pub fn new() -> Client {
        Client::with_idle_timeout(IDLE_TIMEOUT)
    }

    /// Builds a client with its own idle timeout.
    pub fn with_idle_timeout(idle_timeout: Duration) -> Client {
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .build(connector());
        Client { inner }
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if no connection was established and [`Error::Unknown`] if the
    /// request may have been processed. A timeout always counts as unknown.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let received = AtomicUsize::new(0);
        match tokio::time::timeout(timeout, self.call_without_timeout(request, &received)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Unknown(format!(
                "no complete response within {} ms, {} bytes of its body received",
                timeout.as_millis(),
                received.load(Ordering::Relaxed)
            ))),
        }
    }

    /// Adds the bytes of the response's body to `received` as they arrive.
    async fn call_without_timeout(
        &self,
        request: Request<Full<Bytes>>,
        received: &AtomicUsize,
    ) -> Result<Response<Bytes>, Error> {
        let response = self.inner.request(request).await.map_err(classify)?;
        read_body(response, received).await
    }
}

/// Builds the TCP connector that all clients of this crate use.
pub fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector
}

/// Converts an error of the underlying client.
///
/// A failure to connect becomes [`Error::NotSent`]. After any other failure the request may have
/// been sent, so it becomes [`Error::Unknown`].
pub fn classify(error: legacy::Error) -> Error {
    if error.is_connect() {
        Error::NotSent(error.to_string())
    } else {
        Error::Unknown(error.to_string())
    }
}

async fn read_body(
    response: Response<Incoming>,
    received: &AtomicUsize,
) -> Result<Response<Bytes>, Error> {
    let (parts, body) = response.into_parts();
    let body = body.map_frame(|frame| {
        received.fetch_add(frame.data_ref().map_or(0, Bytes::len), Ordering::Relaxed);
        frame
    });
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let bytes = collected.map_err(|error| Error::Unknown(error.to_string()))?.to_bytes();
    Ok(Response::from_parts(parts, bytes))
}
