use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::{self, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::Error;

/// Largest answer that is read into memory, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Time within which a connection must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
///
/// Workers count connections, and those of an owner before must not add up.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle connections kept to one address.
const MAX_IDLE_PER_HOST: usize = 64;

/// An HTTP client that keeps connections open.
///
/// Cloning is cheap and shares the connections.
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
    /// Builds a client.
    pub fn new() -> Client {
        Client::with_idle_timeout(IDLE_TIMEOUT)
    }

    /// Builds a client that keeps idle connections for so long.
    pub fn with_idle_timeout(idle_timeout: Duration) -> Client {
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .build(connector());
        Client { inner }
    }

    /// Makes a call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Tells whether the call may have been carried out. A timeout never
    /// proves that it was not.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        match tokio::time::timeout(timeout, self.call_without_timeout(request)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Unknown(format!("no answer for {} ms", timeout.as_millis()))),
        }
    }

    async fn call_without_timeout(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, Error> {
        let response = self.inner.request(request).await.map_err(classify)?;
        read_body(response).await
    }
}

/// Builds the connector that all clients use.
pub fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector
}

/// Tells a failure to connect from one after the request may have been sent.
pub fn classify(error: legacy::Error) -> Error {
    if error.is_connect() {
        Error::NotSent(error.to_string())
    } else {
        Error::Unknown(error.to_string())
    }
}

async fn read_body(response: Response<Incoming>) -> Result<Response<Bytes>, Error> {
    let (parts, body) = response.into_parts();
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let bytes = collected.map_err(|error| Error::Unknown(error.to_string()))?.to_bytes();
    Ok(Response::from_parts(parts, bytes))
}
