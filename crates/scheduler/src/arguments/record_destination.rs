//! The setting for the destination of decision records.
//!
//! It is written as `none`, `file:PATH` or `tcp:IP:PORT`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use displaydoc::Display;

/// Destination of decision records.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum RecordDestination {
    /// The records are discarded.
    #[default]
    Nowhere,
    /// The records are appended to a file, which is created if it is missing.
    File(PathBuf),
    /// The records are sent to a collector over TCP.
    Tcp(SocketAddr),
}

/// The error of parsing a [`RecordDestination`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ParseError {
    /// must be `none`, `file:PATH` or `tcp:IP:PORT`
    Malformed,
}

impl std::error::Error for ParseError {}

impl FromStr for RecordDestination {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<RecordDestination, ParseError> {
        if text == "none" {
            return Ok(RecordDestination::Nowhere);
        }
        if let Some(path) = text.strip_prefix("file:").filter(|path| !path.is_empty()) {
            return Ok(RecordDestination::File(PathBuf::from(path)));
        }
        let address = text.strip_prefix("tcp:").ok_or(ParseError::Malformed)?;
        address.parse().map(RecordDestination::Tcp).map_err(|_| ParseError::Malformed)
    }
}
