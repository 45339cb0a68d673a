//! Errors in a configuration document, with their position in it.

use displaydoc::Display;

/// Why a configuration document was rejected.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// line {line}: {message}
    Syntax {
        /// Line in the file, from 1.
        line: usize,
        /// What the reader expected, with the field.
        message: String,
    },
    /// field `{field}`: {message}
    Field {
        /// Path of the field.
        field: String,
        /// What is wrong with it.
        message: String,
    },
}

impl std::error::Error for Error {}
