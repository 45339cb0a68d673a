//! Serves the small requests of the platform and of operators: readiness probes and metrics.
//!
//! Their listeners are apart from the callers' one, and bounded as well: whoever reaches them must
//! not take the descriptors of the process.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sycamore_intake::connection::{Connection, Limit, Registry};
use tokio::net::{TcpListener, TcpStream};

use crate::metrics::Meters;

/// Connections of one listener. A few clients probe or read metrics, each on one of its own.
const LIMIT: Limit = Limit { max: 16, max_in_shortage: 16 };

/// Delay after a failed accept, so that a lack of file descriptors causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and answers each request on them with `respond`, until the process exits.
pub(crate) async fn serve_internal<F>(meters: &Meters, listener: TcpListener, respond: F)
where
    F: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + Send + Sync + 'static,
{
    let connections = Arc::new(Registry::new(LIMIT, meters.internal_connections.clone()));
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let connection = connections.admit(|| false).await;
                tokio::spawn(serve_connection(connection, socket, respond.clone()));
            }
            Err(error) => {
                log::warn!(target: "process", error:%; "can't accept a probe or a reader of metrics");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<F>(connection: Connection, socket: TcpStream, respond: F)
where
    F: Fn(&Request<Incoming>) -> Response<Full<Bytes>>,
{
    let service = service_fn(|request| {
        connection.begin_request();
        let response = respond(&request);
        async move { Ok::<_, Infallible>(response) }
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        () = connection.evicted() => {}
        ended = serving => {
            if let Err(error) = ended {
                log::debug!("connection of a probe or a reader of metrics failed: {error}");
            }
        }
    }
}
