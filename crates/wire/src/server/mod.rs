//! The receiving side of calls between processes.

use bytes::Bytes;
use h2::server::SendResponse;
use http::{Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::frame::{Reader, Writer};
use crate::{Command, Error};

/// Streams that one connection may have open at once.
const MAX_STREAMS: u32 = 4_096;

/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW: u32 = 256 * 1024;

/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;

/// One call that has come in.
#[derive(Debug)]
pub struct Incoming<C = Command> {
    /// What is asked.
    pub command: C,
    /// Raw bytes that follow.
    pub reader: Reader,
    responder: SendResponse<Bytes>,
}

impl<C> Incoming<C> {
    /// Begins the answer.
    ///
    /// # Errors
    ///
    /// Fails when the caller's stream is broken.
    pub fn respond(mut self) -> Result<(Reader, Writer), Error> {
        let mut head = Response::new(());
        *head.status_mut() = StatusCode::OK;
        let stream = self.responder.send_response(head, false)?;
        Ok((self.reader, Writer::new(stream)))
    }
}

/// Serves one connection until it ends.
///
/// Calls `handler` for each call, on a task of its own.
///
/// # Errors
///
/// Fails when the connection breaks.
pub async fn serve<S, C, F, Fut>(socket: S, handler: F) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
    C: DeserializeOwned + Send,
    F: Fn(Incoming<C>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = ()> + Send,
{
    let mut connection = h2::server::Builder::new()
        .max_concurrent_streams(MAX_STREAMS)
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
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
