//! HTTP/1 listener with limits that keep slow or numerous clients from exhausting the process.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

use super::Body;

/// Largest read buffer of a connection, which bounds the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Time within which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest number of open connections. Further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 10_000;

/// Serves connections until `stopping` becomes true.
///
/// Returns at once then; each open connection still finishes its current call.
pub(crate) async fn serve<F, Fut>(
    listener: TcpListener,
    handle: F,
    mut stopping: watch::Receiver<bool>,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send,
{
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let socket = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => socket,
                Err(_) => continue,
            },
            () = wait_for_stop(&mut stopping) => return,
        };
        let _ = socket.set_nodelay(true);
        let handle = handle.clone();
        let mut stopping = stopping.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let service = service_fn(move |request| {
                let response = handle(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(socket), service);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                _ = connection.as_mut() => {}
                () = wait_for_stop(&mut stopping) => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
            }
        });
    }
}

/// Waits until `stopping` becomes true.
async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    // A dropped sender also counts as a stop, although the sender outlives all connections.
    let _ = stopping.wait_for(|stopping| *stopping).await.is_ok();
}
