use displaydoc::Display;

/// Why a call got no answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// the call was certainly not sent: {0}
    NotSent(String),
    /// the call may have been carried out: {0}
    Unknown(String),
}

impl std::error::Error for Error {}
