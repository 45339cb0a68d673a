//! HTTP/1 listener with limits that keep slow or numerous clients from exhausting the process.
//!
//! A handler finds its [`Connection`] in the extensions of the request, to keep it open while a whole
//! request is answered.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sycamore_intake::connection::{Answering, Connection, Registry};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::Body;

/// Largest read buffer of a connection, which bounds the head of a request, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Time within which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept, so that a lack of file descriptors causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves connections until `stopping` becomes true.
///
/// Returns at once then; each open connection still finishes its current call.
pub(crate) async fn serve<F, Fut>(
    listener: TcpListener,
    connections: Arc<Registry>,
    is_short_of_memory: impl Fn() -> bool,
    handle: F,
    mut stopping: watch::Receiver<bool>,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send,
{
    loop {
        let socket = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => socket,
                Err(error) => {
                    log::warn!("can't accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            () = wait_for_stop(&mut stopping) => return,
        };
        let connection = tokio::select! {
            connection = connections.admit(&is_short_of_memory) => Arc::new(connection),
            () = wait_for_stop(&mut stopping) => return,
        };
        let (handle, stopping) = (handle.clone(), stopping.clone());
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = connection.evicted() => {}
                () = serve_requests(socket, connection.clone(), handle, stopping) => {}
            }
        });
    }
}

async fn serve_requests<F, Fut>(
    socket: TcpStream,
    connection: Arc<Connection>,
    handle: F,
    mut stopping: watch::Receiver<bool>,
) where
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Response<Body>>,
{
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |mut request: Request<Incoming>| {
        connection.begin_request();
        request.extensions_mut().insert(connection.clone());
        let response = handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    let mut serving = std::pin::pin!(serving);
    tokio::select! {
        _ = serving.as_mut() => {}
        () = wait_for_stop(&mut stopping) => {
            serving.as_mut().graceful_shutdown();
            let _ = serving.await;
        }
    }
}

/// Keeps the connection of a whole request open until the result is dropped.
pub(crate) fn begin_answer(connection: Option<&Arc<Connection>>) -> Option<Answering> {
    connection.map(Connection::begin_answer)
}

/// Waits until `stopping` becomes true.
async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    // A dropped sender also counts as a stop, although the sender outlives all connections.
    let _ = stopping.wait_for(|stopping| *stopping).await.is_ok();
}
