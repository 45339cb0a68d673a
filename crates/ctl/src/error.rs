//! Errors of the operators' command line.
//!
//! The variant decides the exit code, so that scripts can tell the causes apart without matching
//! messages.

use displaydoc::Display;

/// The reason why a command failed.
///
/// `Refused` means that the entry process or a local check rejected the command, `Conflict` that
/// another operator changed the configuration since it was read. `Unreachable` includes malformed
/// responses.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// {0}
    Usage(String),
    /// {path}: {message}
    File {
        /// Path of the configuration file.
        path: String,
        /// Cause, with the line for a syntax error.
        message: String,
    },
    /// {0}
    Unreachable(String),
    /// {0}
    Conflict(String),
    /// {0}
    Refused(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit code of the program for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Refused(_) => 1,
            Error::Usage(_) | Error::File { .. } => 2,
            Error::Unreachable(_) => 3,
            Error::Conflict(_) => 4,
        }
    }
}
