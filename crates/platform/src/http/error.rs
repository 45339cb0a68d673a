//! The error of an HTTP call.
//!
//! Its kinds tell apart what may be repeated safely and what may already have taken effect.

use displaydoc::Display;

/// The error of a call that got no complete response.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// the request was not sent: {0}
    NotSent(String),
    /// the request may have been processed: {0}
    Unknown(String),
    /// the response of {0} bytes is larger than asked for
    TooLarge(u64),
}

impl std::error::Error for Error {}
