//! Writes frames and raw bytes to one stream, no faster than the receiver takes them.

use std::future::poll_fn;
use std::time::Duration;

use bytes::Bytes;
use h2::{Reason, SendStream};
use serde::Serialize;

use super::LENGTH_PREFIX_BYTES;
use crate::Error;

/// Encodes one frame. Cloning the result is cheap, so that many streams can send it.
///
/// # Errors
///
/// Returns an error if the value can't be encoded or is too large for a frame.
pub fn encode_frame<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    bincode::serde::encode_into_std_write(value, &mut frame, bincode::config::standard())
        .map_err(|error| Error::Malformed(error.to_string()))?;
    let length = frame.len() - LENGTH_PREFIX_BYTES;
    let prefix = u32::try_from(length).map_err(|_| Error::TooLarge(length))?;
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(frame.into())
}

/// The sending half of a stream.
#[derive(Debug)]
pub struct Writer {
    stream: SendStream<Bytes>,
    /// Longest wait for the receiver to take more data, if it is limited.
    stall_timeout: Option<Duration>,
}

impl Writer {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Writer {
        Writer { stream, stall_timeout: None }
    }

    /// Limits the wait for the receiver to take more data. However long it takes in all, data
    /// that the receiver keeps taking is sent to its end.
    pub fn with_stall_timeout(self, timeout: Duration) -> Writer {
        Writer { stall_timeout: Some(timeout), ..self }
    }

    /// Sends one frame. With `end_stream`, it is the last data of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the value can't be encoded or the stream fails.
    pub async fn write_frame<T: Serialize>(
        &mut self,
        value: &T,
        end_stream: bool,
    ) -> Result<(), Error> {
        self.write_bytes(encode_frame(value)?, end_stream).await
    }

    /// Sends raw bytes, waiting for flow-control capacity as needed. With `end_stream`, they
    /// are the last data of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails.
    pub async fn write_bytes(&mut self, mut bytes: Bytes, end_stream: bool) -> Result<(), Error> {
        while !bytes.is_empty() {
            let capacity = self.wait_for_capacity(bytes.len()).await?;
            let part = bytes.split_to(capacity.min(bytes.len()));
            self.stream.send_data(part, end_stream && bytes.is_empty())?;
            if bytes.is_empty() {
                return Ok(());
            }
        }
        if end_stream {
            self.stream.send_data(Bytes::new(), true)?;
        }
        Ok(())
    }

    /// Returns the number of bytes that may be sent now, waiting until it is above zero.
    async fn wait_for_capacity(&mut self, wanted: usize) -> Result<usize, Error> {
        let Some(timeout) = self.stall_timeout else { return self.capacity(wanted).await };
        let capacity = tokio::time::timeout(timeout, self.capacity(wanted)).await;
        capacity.unwrap_or(Err(Error::Stalled(timeout.as_millis() as u64)))
    }

    async fn capacity(&mut self, wanted: usize) -> Result<usize, Error> {
        self.stream.reserve_capacity(wanted);
        loop {
            let granted = poll_fn(|cx| self.stream.poll_capacity(cx)).await;
            match granted {
                Some(Ok(0)) => {}
                Some(Ok(capacity)) => return Ok(capacity),
                Some(Err(error)) => return Err(error.into()),
                None => return Err(Error::Truncated),
            }
        }
    }

    /// Waits until the peer resets the stream or the connection closes.
    pub async fn wait_for_reset(&mut self) {
        let _ = poll_fn(|cx| self.stream.poll_reset(cx)).await;
    }

    /// Resets the stream, so that the peer does not mistake the partial data for a complete
    /// body.
    pub fn abort(&mut self) {
        self.stream.send_reset(Reason::INTERNAL_ERROR);
    }
}
