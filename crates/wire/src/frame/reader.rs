//! Reads frames and raw bytes from one stream.
//!
//! A frame's length is checked before its body is buffered, which bounds the memory that a peer can
//! use.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use h2::RecvStream;
use serde::de::DeserializeOwned;

use super::{LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES};
use crate::Error;

/// The receiving half of a stream.
#[derive(Debug)]
pub struct Reader {
    stream: RecvStream,
    buf: BytesMut,
    /// Longest pause between two parts of the data, if it is limited.
    stall_timeout: Option<Duration>,
}

impl Reader {
    pub(crate) fn new(stream: RecvStream) -> Reader {
        Reader { stream, buf: BytesMut::new(), stall_timeout: None }
    }

    /// Limits the pause between two parts of the data. However long it takes in all, data
    /// that keeps arriving is read to its end.
    pub fn with_stall_timeout(self, timeout: Duration) -> Reader {
        Reader { stall_timeout: Some(timeout), ..self }
    }

    /// Reads one frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails or ends early, or if the frame is too large or
    /// malformed.
    pub async fn read_frame<T: DeserializeOwned>(&mut self) -> Result<T, Error> {
        self.fill_to(LENGTH_PREFIX_BYTES).await?;
        let length = self.buf.get_u32() as usize;
        if length > MAX_FRAME_BYTES {
            return Err(Error::TooLarge(length));
        }
        self.fill_to(length).await?;
        let bytes = self.buf.split_to(length);
        let decoded = bincode::serde::decode_from_slice(&bytes, bincode::config::standard());
        decoded.map(|(value, _)| value).map_err(|error| Error::Malformed(error.to_string()))
    }

    /// Receives data until the buffer holds at least `needed` bytes.
    async fn fill_to(&mut self, needed: usize) -> Result<(), Error> {
        while self.buf.len() < needed {
            match self.receive().await? {
                Some(bytes) => self.buf.extend_from_slice(&bytes),
                None => return Err(Error::Truncated),
            }
        }
        Ok(())
    }

    /// Reads the next raw bytes, as many as are available. Returns `None` at the end of the
    /// stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails before its end.
    pub async fn read_bytes(&mut self) -> Result<Option<Bytes>, Error> {
        if !self.buf.is_empty() {
            return Ok(Some(self.buf.split().freeze()));
        }
        self.receive().await
    }

    async fn receive(&mut self) -> Result<Option<Bytes>, Error> {
        let received = match self.stall_timeout {
            Some(timeout) => tokio::time::timeout(timeout, self.stream.data())
                .await
                .map_err(|_| Error::Stalled(timeout.as_millis() as u64))?,
            None => self.stream.data().await,
        };
        let Some(received) = received else {
            return Ok(None);
        };
        let bytes = received?;
        let _ = self.stream.flow_control().release_capacity(bytes.len());
        Ok(Some(bytes))
    }
}
