//! The server side of calls between processes.
//!
//! Each call runs in its own task, so a slow call doesn't delay others on the same
//! connection.

use bytes::Bytes;
use h2::server::SendResponse;
use http::{Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::frame::{Reader, Writer};
use crate::{Command, Error};

/// Largest number of streams that are open at once on one connection.
const MAX_STREAMS: u32 = 4_096;

/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// A call received from another process.
#[derive(Debug)]
pub struct Incoming<C = Command> {
    /// First frame of the call.
    pub command: C,
    /// Reads the data after the first frame.
    pub reader: Reader,
    responder: SendResponse<Bytes>,
}

impl<C> Incoming<C> {
    /// Starts the response. Returns the reader of the call and the writer of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream has failed.
    pub fn respond(mut self) -> Result<(Reader, Writer), Error> {
        let mut head = Response::new(());
        *head.status_mut() = StatusCode::OK;
        let stream = self.responder.send_response(head, false)?;
        Ok((self.reader, Writer::new(stream)))
    }
}

/// Serves one connection until it closes.
///
/// Runs `handler` in a separate task for each call. A stream whose first frame can't be
/// read is dropped without a response.
///
/// # Errors
///
/// Returns an error if the connection fails.
pub async fn serve<S, C, F, Fut>(socket: S, handler: F) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
    C: DeserializeOwned + Send,
    F: Fn(Incoming<C>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = ()> + Send,
{
    let mut connection = h2::server::Builder::new()
        .max_concurrent_streams(MAX_STREAMS)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake::<_, Bytes>(socket)
        .await?;
    while let Some(accepted) = connection.accept().await {
        let (request, responder) = accepted?;
        let handler = handler.clone();
        tokio::spawn(async move {
            let mut reader = Reader::new(request.into_body());
            if let Ok(command) = reader.read_frame::<C>().await {
                handler(Incoming { command, reader, responder }).await;
            }
        });
    }
    Ok(())
}
