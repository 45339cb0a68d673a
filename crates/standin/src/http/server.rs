//! HTTP/1 server whose handlers can close a connection instead of responding, as a failing
//! system does.

use std::borrow::Cow;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Body of a response.
pub(crate) type Body = Full<Bytes>;

/// A server on loopback. It stops accepting connections when it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Starts passing the requests on a free port to `handle`.
    ///
    /// If `handle` returns `None`, the connection is closed without a response. `connections`
    /// counts the open connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be bound.
    pub async fn start<F, Fut>(connections: Arc<AtomicI64>, handle: F) -> std::io::Result<Server>
    where
        F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Option<Response<Body>>> + Send + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, connections, handle));
        Ok(Server { address, task })
    }
}

async fn accept<F, Fut>(listener: TcpListener, connections: Arc<AtomicI64>, handle: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    while let Ok((socket, _)) = listener.accept().await {
        let _ = socket.set_nodelay(true);
        let handle = handle.clone();
        let connections = connections.clone();
        tokio::spawn(async move {
            connections.fetch_add(1, Ordering::Relaxed);
            let service = service_fn(move |request| respond(handle(request)));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
            connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Turns a missing response into the error that closes the connection.
async fn respond(
    response: impl Future<Output = Option<Response<Body>>>,
) -> Result<Response<Body>, ConnectionCut> {
    response.await.ok_or(ConnectionCut)
}

/// Makes `hyper` close a connection without a response.
#[derive(Debug)]
struct ConnectionCut;

impl std::fmt::Display for ConnectionCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection cut on purpose")
    }
}

impl std::error::Error for ConnectionCut {}

impl From<Infallible> for ConnectionCut {
    fn from(never: Infallible) -> ConnectionCut {
        match never {}
    }
}

/// Builds a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<Body> {
    response(status, Bytes::new())
}

/// Builds a response with a body.
pub(crate) fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Returns the value of a parameter in a query string.
pub(crate) fn query_parameter<'a>(
    query_string: Option<&'a str>,
    name: &str,
) -> Option<Cow<'a, str>> {
    query_string?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| percent_decode_str(value).decode_utf8_lossy())
}
