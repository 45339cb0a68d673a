//! Accepts callers' connections, as many as the process can afford, and, when the process stops,
//! closes each of them after its current request.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sycamore_intake::connection::{Connection, Limit, RECEIVE_BUFFER_BYTES, Registry};
use sycamore_platform::site::Limits;
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
    connections: Arc<Registry>,
    /// Set to `true` when connections are to close after their current request. Each open
    /// connection holds a receiver.
    closing: watch::Sender<bool>,
}

impl Server {
    pub fn new(node: Arc<Node>) -> Server {
        let (settings, meters) = (&node.settings, &node.meters);
        let connection_bytes = RECEIVE_BUFFER_BYTES + Limits::default().max_header_bytes;
        let limit =
            Limit::of_callers(settings.max_descriptors, settings.memory_bytes, connection_bytes);
        let connections = Arc::new(Registry::new(limit, meters.caller_connections.clone()));
        Server { node, connections, closing: watch::Sender::new(false) }
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
                let is_short_of_memory = || server.node.bodies.is_process_short();
                let connection = server.connections.admit(is_short_of_memory).await;
                tokio::spawn(serve_connection(server.clone(), Arc::new(connection), socket));
            }
            Err(error) => {
                log::warn!(target: "sycamore_node::door::listener", "can't accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection until it ends or has to be closed for another one.
async fn serve_connection(server: Arc<Server>, connection: Arc<Connection>, socket: TcpStream) {
    tokio::select! {
        // A request whose connection is to be closed must not be passed on to the owner.
        biased;
        () = connection.evicted() => {}
        () = serve_requests(server, connection.clone(), socket) => {}
    }
}

async fn serve_requests(server: Arc<Server>, connection: Arc<Connection>, socket: TcpStream) {
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!("can't set TCP_NODELAY on a caller's connection: {error}");
    }
    let limits = server.node.configs.current().map(|current| current.config.limits);
    let limits = limits.unwrap_or_default();
    let node = server.node.clone();
    let service = service_fn(move |request| {
        let (node, connection) = (node.clone(), connection.clone());
        async move { Ok::<_, Infallible>(handle(node, &connection, request).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(
            limits.header_timeout_ms.max(limits.idle_timeout_ms),
        ))
        .max_buf_size(limits.max_header_bytes.max(8_192))
        .serve_connection(TokioIo::new(socket), service);
    let mut serving = std::pin::pin!(serving);
    let mut closing = server.closing.subscribe();
    tokio::select! {
        ended = serving.as_mut() => log_end(ended),
        // Changes only once, from `false` to `true`.
        _ = closing.changed() => {
            serving.as_mut().graceful_shutdown();
            log_end(serving.await);
        }
    }
}

fn log_end(ended: hyper::Result<()>) {
    if let Err(error) = ended {
        log::debug!("caller's connection failed: {error}");
    }
}
