//! Receives one body.

use std::sync::Arc;
use std::time::Instant;

use bytes::{Buf, Bytes};
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::Reservation;
use super::budget::{Budget, Full};

/// Why a body was not received.
#[derive(Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// body too large
    TooLarge,
    /// no memory for the body
    NoMemory,
    /// body broken off
    BrokenOff,
    /// body not sent in time
    Timeout,
}

impl std::error::Error for Error {}

impl From<Full> for Error {
    fn from(_: Full) -> Error {
        Error::NoMemory
    }
}

/// Returns a whole body of at most `max_bytes`, with the memory that is reserved for it.
///
/// What arrives of a body after it was refused is read and dropped until the deadline, so that its
/// sender can read the response: closing a connection with unread data resets it.
///
/// # Errors
///
/// Returns an error as soon as it is clear that the body will not be received.
pub async fn receive<B>(
    budget: &Arc<Budget>,
    mut body: B,
    max_bytes: usize,
    deadline: Instant,
) -> Result<(Vec<u8>, Reservation), Error>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    let received = tokio::time::timeout_at(deadline.into(), collect(budget, &mut body, max_bytes));
    let received = received.await.unwrap_or(Err(Error::Timeout));
    if let Err(Error::TooLarge | Error::NoMemory) = received {
        let rest = discard(body, max_bytes);
        tokio::spawn(tokio::time::timeout_at(deadline.into(), rest));
    }
    received
}

async fn collect<B>(
    budget: &Arc<Budget>,
    body: &mut B,
    max_bytes: usize,
) -> Result<(Vec<u8>, Reservation), Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let size = body.size_hint();
    let expected = usize::try_from(size.lower()).unwrap_or(usize::MAX);
    if expected > max_bytes {
        return Err(Error::TooLarge);
    }
    let exact = size.exact().and_then(|bytes| usize::try_from(bytes).ok());
    let buffer = budget.begin(expected, exact.unwrap_or(max_bytes))?;
    let mut received = 0;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = buffer.refused() => return Err(Error::NoMemory),
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| Error::BrokenOff)?;
        if let Some(part) = frame.data_ref() {
            received += part.remaining();
            if received > max_bytes {
                return Err(Error::TooLarge);
            }
            buffer.append(part)?;
        }
    }
    Ok(buffer.complete()?)
}

/// Reads a body, at most `max_bytes` of it, and drops it.
async fn discard<B>(mut body: B, max_bytes: usize)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut discarded = 0;
    while discarded <= max_bytes {
        let Some(Ok(frame)) = body.frame().await else { return };
        discarded += frame.data_ref().map_or(0, Buf::remaining);
    }
}
