use h2::client::ResponseFuture;

use crate::Error;
use crate::frame::{Reader, Writer};

/// One call under way.
#[derive(Debug)]
pub struct Call {
    /// Raw bytes to the peer.
    pub writer: Writer,
    response: ResponseFuture,
}

impl Call {
    pub(crate) fn new(writer: Writer, response: ResponseFuture) -> Call {
        Call { writer, response }
    }

    /// Splits the call into its sending half and the answer to come.
    pub fn split(self) -> (Writer, PendingResponse) {
        (self.writer, PendingResponse { response: self.response })
    }

    /// Waits for the answer to begin.
    ///
    /// # Errors
    ///
    /// Fails when the stream breaks.
    pub async fn response(self) -> Result<Reader, Error> {
        PendingResponse { response: self.response }.wait().await
    }
}

/// An answer that has not begun.
#[derive(Debug)]
pub struct PendingResponse {
    response: ResponseFuture,
}

impl PendingResponse {
    /// Waits for the answer to begin.
    ///
    /// # Errors
    ///
    /// Fails when the stream breaks.
    pub async fn wait(self) -> Result<Reader, Error> {
        let response = self.response.await?;
        Ok(Reader::new(response.into_body()))
    }
}
