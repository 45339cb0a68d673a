//! Establishes HTTP/2 connections to other processes.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::client::SendRequest;
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::io::InspectReader;

use crate::Error;

/// Time limit for the TCP connection and the HTTP/2 handshake together.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// A connection on which calls can be started. Clones use the same one.
#[derive(Clone, Debug)]
pub(super) struct Connection {
    pub sender: SendRequest<Bytes>,
    /// When data last arrived from the peer.
    last_heard: Arc<Mutex<Instant>>,
}

impl Connection {
    /// Waits until another call can be started.
    pub async fn ready(self) -> Result<Connection, h2::Error> {
        Ok(Connection { sender: self.sender.ready().await?, ..self })
    }

    /// Returns the time since data last arrived from the peer.
    pub fn silence(&self) -> Duration {
        self.last_heard.lock().unwrap_or_else(PoisonError::into_inner).elapsed()
    }
}

/// Connects to a process, from `source_address` if it is given. A spawned task drives the
/// connection until it closes.
pub(super) async fn connect(
    address: SocketAddr,
    source_address: Option<IpAddr>,
) -> Result<Connection, Error> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, handshake(address, source_address));
    match connecting.await {
        Ok(result) => result,
        Err(_) => Err(Error::NotSent(format!(
            "could not connect to {address} within {} ms",
            CONNECT_TIMEOUT.as_millis()
        ))),
    }
}

async fn open_socket(
    address: SocketAddr,
    source_address: Option<IpAddr>,
) -> std::io::Result<TcpStream> {
    let Some(source_address) = source_address else { return TcpStream::connect(address).await };
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.bind(SocketAddr::new(source_address, 0))?;
    socket.connect(address).await
}

async fn handshake(
    address: SocketAddr,
    source_address: Option<IpAddr>,
) -> Result<Connection, Error> {
    let not_sent = |error: std::io::Error| Error::NotSent(format!("{address}: {error}"));
    let socket = open_socket(address, source_address).await.map_err(not_sent)?;
    socket.set_nodelay(true).map_err(not_sent)?;
    let last_heard = Arc::new(Mutex::new(Instant::now()));
    let heard = last_heard.clone();
    let socket = InspectReader::new(socket, move |_: &[u8]| {
        *heard.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    });
    let (sender, connection) = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake::<_, Bytes>(socket)
        .await
        .map_err(|error| Error::NotSent(error.to_string()))?;
    tokio::spawn(async move {
        // Each caller gets the error of the connection on its own stream.
        let _ = connection.await;
    });
    Ok(Connection { sender, last_heard })
}
