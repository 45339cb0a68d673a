//! Errors of calls between processes.
//!
//! The kinds differ in whether the peer may have acted on the call, which decides
//! whether the caller may retry it.

use displaydoc::Display;

/// Why a call between processes failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// call was not sent: {0}
    NotSent(String),
    /// call failed and may have taken effect: {0}
    Unknown(String),
    /// frame of {0} bytes exceeds the size limit
    TooLarge(usize),
    /// frame could not be encoded or decoded: {0}
    Malformed(String),
    /// stream ended before the data was complete
    Truncated,
    /// no data arrived for {0} ms
    Stalled(u64),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns `true` if the peer has certainly not received any part of the call.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Error::NotSent(_))
    }
}

impl From<h2::Error> for Error {
    fn from(error: h2::Error) -> Error {
        Error::Unknown(error.to_string())
    }
}
