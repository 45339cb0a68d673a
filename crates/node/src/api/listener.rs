//! Accepts callers' connections and, when the process stops, closes each of them after its
//! current request.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::request::handle;
use crate::node::Node;

/// Delay after a failed accept, so that a lack of file descriptors causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which a stopping process checks whether all connections have closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// HTTP server for callers.
#[derive(Debug)]
pub(crate) struct Server {
    node: Arc<Node>,
    /// Set to `true` when connections are to close after their current request. Each open
    /// connection holds a receiver.
    closing: watch::Sender<bool>,
}

impl Server {
    pub fn new(node: Arc<Node>) -> Server {
        Server { node, closing: watch::Sender::new(false) }
    }

    /// Closes each connection after its current request, and waits until all are closed or
    /// the timeout ends.
    pub async fn close(&self, timeout: Duration) {
        self.closing.send_replace(true);
        let end = tokio::time::Instant::now() + timeout;
        while self.closing.receiver_count() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
    }
}

/// Accepts callers' connections until the process exits.
pub(crate) async fn serve(server: Arc<Server>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::spawn(serve_connection(server.clone(), socket));
            }
            Err(error) => {
                log::warn!(target: "sycamore_node::door::listener", "can't accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(server: Arc<Server>, socket: TcpStream) {
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!("can't set TCP_NODELAY on a caller's connection: {error}");
    }
    let limits = server.node.configs.current().map(|current| current.config.limits);
    let limits = limits.unwrap_or_default();
    let node = server.node.clone();
    let service = service_fn(move |request| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(handle(node, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(
            limits.header_timeout_ms.max(limits.idle_timeout_ms),
        ))
        .max_buf_size(limits.max_header_bytes.max(8_192))
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = server.closing.subscribe();
    tokio::select! {
        ended = connection.as_mut() => log_end(ended),
        // Changes only once, from `false` to `true`.
        _ = closing.changed() => {
            connection.as_mut().graceful_shutdown();
            log_end(connection.await);
        }
    }
}

fn log_end(ended: hyper::Result<()>) {
    if let Err(error) = ended {
        log::debug!("caller's connection failed: {error}");
    }
}
