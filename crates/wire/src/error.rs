use displaydoc::Display;

/// Why a call between processes failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// the call was certainly not sent: {0}
    NotSent(String),
    /// the call may have been carried out: {0}
    Unknown(String),
    /// a frame of {0} bytes is larger than allowed
    TooLarge(usize),
    /// a frame could not be read: {0}
    Malformed(String),
    /// the stream ended within a frame
    Truncated,
}

impl std::error::Error for Error {}

impl Error {
    /// Tells whether the peer certainly has seen nothing of the call.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Error::NotSent(_))
    }
}

impl From<h2::Error> for Error {
    fn from(error: h2::Error) -> Error {
        Error::Unknown(error.to_string())
    }
}
