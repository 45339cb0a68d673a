//! A call in flight and its response.
//!
//! The two halves can be separated, because the response may arrive before the
//! request body is sent completely.

use h2::client::ResponseFuture;

use crate::Error;
use crate::frame::{Reader, Writer};

/// A call whose first frame has been sent.
#[derive(Debug)]
pub struct Call {
    /// Sends the rest of the request to the peer.
    pub writer: Writer,
    response: ResponseFuture,
}

impl Call {
    pub(crate) fn new(writer: Writer, response: ResponseFuture) -> Call {
        Call { writer, response }
    }

    /// Splits the call into the writer of its request and the pending response.
    pub fn split(self) -> (Writer, PendingResponse) {
        (self.writer, PendingResponse { response: self.response })
    }

    /// Waits for the start of the response and returns a reader for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails before the response starts.
    pub async fn response(self) -> Result<Reader, Error> {
        PendingResponse { response: self.response }.wait().await
    }
}

/// A response that has not arrived yet.
#[derive(Debug)]
pub struct PendingResponse {
    response: ResponseFuture,
}

impl PendingResponse {
    /// Waits for the start of the response and returns a reader for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails before the response starts.
    pub async fn wait(self) -> Result<Reader, Error> {
        let response = self.response.await?;
        Ok(Reader::new(response.into_body()))
    }
}
