//! Connections to other processes, opened when first used and shared by all calls.
//!
//! Control messages and bulk traffic use different connections, so that neither can
//! fill the flow-control window of the other.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use h2::client::ResponseFuture;
use http::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::Mutex;

use super::Call;
use super::connection::{self, Connection};
use crate::Error;
use crate::frame::Writer;

/// Which connection to a process a call uses.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ConnectionKind {
    /// Heartbeats and other small messages between processes.
    Control,
    /// Requests and jobs from callers.
    Traffic,
    /// Whole configurations.
    Bulk,
}

/// Silence of a connection that may be due to a busy peer or a link that other data fills. A
/// new connection needs two round trips on that link before its first call is answered.
const MIN_SILENCE: Duration = Duration::from_millis(1_200);

/// The current connection to one process, if any. The lock is held while connecting, so
/// that concurrent calls share the new connection.
type SharedConnection = Arc<Mutex<Option<Connection>>>;

/// Connections to other processes, one for each address and kind.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    connections: Arc<Mutex<HashMap<(SocketAddr, ConnectionKind), SharedConnection>>>,
    source_address: Option<IpAddr>,
}

impl Pool {
    /// Builds a pool whose connections come from `source_address`, or from the address that the
    /// system chooses.
    pub fn with_source_address(source_address: Option<IpAddr>) -> Pool {
        Pool { source_address, ..Pool::default() }
    }

    /// Makes a call that consists of one frame and reads the one frame of its response.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the peer has certainly not received the call. After any
    /// other error the call may have taken effect.
    pub async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        kind: ConnectionKind,
        command: &impl Serialize,
    ) -> Result<T, Error> {
        let call = self.open(address, kind, command, true).await?;
        let mut reader = call.response().await?;
        reader.read_frame().await
    }

    /// Makes a call like [`Pool::call`] that is given up after `timeout`.
    ///
    /// A connection on which nothing arrived meanwhile is not used again. It may have gone
    /// silent without being closed, while a new one would work.
    ///
    /// # Errors
    ///
    /// As of [`Pool::call`], and [`Error::Stalled`] after the timeout.
    pub async fn call_within<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        kind: ConnectionKind,
        command: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, Error> {
        match tokio::time::timeout(timeout, self.call(address, kind, command)).await {
            Ok(result) => result,
            Err(_) => {
                self.discard_if_silent(address, kind, timeout).await;
                Err(Error::Stalled(timeout.as_millis() as u64))
            }
        }
    }

    /// Makes a call that carries a document, in either direction, which may be too large for a
    /// limit on the whole duration of the call.
    ///
    /// `timeout` limits the wait for the response, and each pause while data is sent or
    /// received.
    ///
    /// # Errors
    ///
    /// As of [`Pool::call`].
    pub async fn fetch<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        command: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, Error> {
        let result = self.fetch_stalling(address, command, timeout).await;
        if matches!(result, Err(Error::Stalled(_))) {
            self.discard_if_silent(address, ConnectionKind::Bulk, timeout).await;
        }
        result
    }

    async fn fetch_stalling<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        command: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, Error> {
        let (writer, response) = self.start_call(address, ConnectionKind::Bulk).await?;
        let mut writer = writer.with_stall_timeout(timeout);
        writer.write_frame(command, true).await?;
        let response = tokio::time::timeout(timeout, Call::new(writer, response).response());
        let stalled = |_| Error::Stalled(timeout.as_millis() as u64);
        let reader = response.await.map_err(stalled)??;
        reader.with_stall_timeout(timeout).read_frame().await
    }

    /// Opens a stream and sends its first frame. With `end_stream`, no further data follows.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the peer has certainly not received the call. After any
    /// other error the peer may have received it.
    pub async fn open(
        &self,
        address: SocketAddr,
        kind: ConnectionKind,
        command: &impl Serialize,
        end_stream: bool,
    ) -> Result<Call, Error> {
        let (mut writer, response) = self.start_call(address, kind).await?;
        writer.write_frame(command, end_stream).await?;
        Ok(Call::new(writer, response))
    }

    /// Opens a stream.
    async fn start_call(
        &self,
        address: SocketAddr,
        kind: ConnectionKind,
    ) -> Result<(Writer, ResponseFuture), Error> {
        let mut connection = self.connection(address, kind).await?;
        let request = Request::post(format!("http://{address}/"))
            .body(())
            .map_err(|error| Error::NotSent(error.to_string()))?;
        let (response, stream) = connection
            .sender
            .send_request(request, false)
            .map_err(|error| Error::NotSent(error.to_string()))?;
        Ok((Writer::new(stream), response))
    }

    /// Returns a connection that can open another stream, connecting if necessary.
    ///
    /// The connection is established even if the caller stops waiting for it, so that the next
    /// call does not begin anew.
    async fn connection(
        &self,
        address: SocketAddr,
        kind: ConnectionKind,
    ) -> Result<Connection, Error> {
        let shared = self.connections.lock().await.entry((address, kind)).or_default().clone();
        let mut current = shared.lock_owned().await;
        if let Some(connection) = current.take()
            && let Ok(ready) = connection.ready().await
        {
            *current = Some(ready.clone());
            return Ok(ready);
        }
        let source_address = self.source_address;
        let connecting = tokio::spawn(async move {
            let ready = connection::connect(address, source_address).await?.ready().await;
            let ready = ready.map_err(|error| Error::NotSent(error.to_string()))?;
            *current = Some(ready.clone());
            Ok(ready)
        });
        connecting.await.unwrap_or_else(|error| Err(Error::NotSent(error.to_string())))
    }

    /// Removes the connection to a process if nothing has arrived on it for a time, at least
    /// [`MIN_SILENCE`]. Calls that are in flight on it go on.
    async fn discard_if_silent(&self, address: SocketAddr, kind: ConnectionKind, time: Duration) {
        let silence = time.max(MIN_SILENCE);
        let shared = self.connections.lock().await.get(&(address, kind)).cloned();
        // A locked connection is being replaced already.
        if let Some(mut current) = shared.as_ref().and_then(|shared| shared.try_lock().ok()) {
            current.take_if(|connection| connection.silence() >= silence);
        }
    }
}
