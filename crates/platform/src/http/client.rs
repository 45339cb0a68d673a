//! An HTTP client for control calls, which reads whole responses into memory.
//!
//! It pools connections and reports whether a failed request may have been processed, so that
//! the caller knows what is safe to retry.

use std::error::Error as _;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::progress::{Progress, Upload};
use super::{Activity, Error};

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

/// Bytes of a request that may wait in this process, and again in the socket. What waits there
/// counts as sent, so that large buffers would hide how fast the link is.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// An HTTP client with a connection pool.
///
/// Cloning is cheap; clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Upload>,
    activity: Activity,
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
        Client::with_source_address(idle_timeout, None)
    }

    /// Builds a client that connects from `source_address`, or from the address that the system
    /// chooses.
    pub fn with_source_address(idle_timeout: Duration, source_address: Option<IpAddr>) -> Client {
        Client::with_idle_limits(idle_timeout, MAX_IDLE_PER_HOST, source_address)
    }

    /// Builds a client that keeps at most `max_idle` connections to one address without use, each
    /// for at most `idle_timeout`. It connects as [`Client::with_source_address`] does.
    pub fn with_idle_limits(
        idle_timeout: Duration,
        max_idle: usize,
        source_address: Option<IpAddr>,
    ) -> Client {
        let mut connector = connector();
        connector.set_local_address(source_address);
        connector.set_send_buffer_size(Some(SEND_BUFFER_BYTES));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .http1_max_buf_size(SEND_BUFFER_BYTES)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(max_idle)
            .build(connector);
        Client { inner, activity: Activity::default() }
    }

    /// Returns a client with the same connections that records when it receives data.
    pub fn with_activity(&self, activity: Activity) -> Client {
        Client { inner: self.inner.clone(), activity }
    }

    /// Sends a request and reads the whole response.
    ///
    /// `timeout` limits the time until the response begins, from the last part of the request
    /// that was sent. A body is given up only when it stops for one second, or for
    /// `timeout` if that is shorter, or comes slower than 8 KiB/s. A limit on its
    /// whole duration would cut a large body off on a slow link, again at each retry.
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
        self.call_limited(request, timeout, MAX_RESPONSE_BYTES as u64).await
    }

    /// Sends a request and reads the whole response unless it announces a body above
    /// `max_bytes`, which is not received then.
    ///
    /// # Errors
    ///
    /// As of [`Client::call`], and [`Error::TooLarge`] if the body is not received.
    pub async fn call_limited(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_bytes: u64,
    ) -> Result<Response<Bytes>, Error> {
        let progress = Arc::new(Progress::start(timeout, self.activity.clone()));
        let request = request.map(|body| Upload::new(body, progress.clone()));
        tokio::select! {
            // A process that was not scheduled for a while first reads what has arrived.
            biased;
            result = self.exchange(request, &progress, max_bytes) => result,
            () = progress.stalled() => Err(Error::Unknown(format!("no progress: {progress}"))),
        }
    }

    async fn exchange(
        &self,
        request: Request<Upload>,
        progress: &Progress,
        max_bytes: u64,
    ) -> Result<Response<Bytes>, Error> {
        let response = self.inner.request(request).await.map_err(classify)?;
        progress.on_response();
        let announced = response.body().size_hint().lower();
        if announced > max_bytes {
            return Err(Error::TooLarge(announced));
        }
        read_body(response, progress).await
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
        Error::NotSent(with_causes(&error))
    } else {
        Error::Unknown(with_causes(&error))
    }
}

/// Returns the text of an error with those of its causes, which tell a refused connection from one
/// that was reset.
fn with_causes(error: &legacy::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(&format!(": {error}"));
        cause = error.source();
    }
    text
}

async fn read_body(
    response: Response<Incoming>,
    progress: &Progress,
) -> Result<Response<Bytes>, Error> {
    let (parts, body) = response.into_parts();
    let body = body.map_frame(|frame| {
        progress.on_received(frame.data_ref().map_or(0, Bytes::len));
        frame
    });
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let bytes = collected.map_err(|error| Error::Unknown(error.to_string()))?.to_bytes();
    Ok(Response::from_parts(parts, bytes))
}
