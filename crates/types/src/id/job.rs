use std::fmt;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::Shard;

/// A job or an interactive request: its home shard and a random number.
///
/// Displayed as `SHARD.HEX`, so that any entry host can tell from the
/// identifier alone which shard answers for the job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Shard that keeps the job's record.
    pub home: Shard,
    /// Random part.
    pub number: u128,
}

/// Tells why a text is not a job identifier.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ParseError {
    /// a job identifier is written as SHARD.HEX
    Malformed,
}

impl std::error::Error for ParseError {}

impl Job {
    /// Builds an identifier.
    pub fn new(home: Shard, number: u128) -> Job {
        Job { home, number }
    }

    /// Reads the displayed form.
    pub fn parse(text: &str) -> Result<Job, ParseError> {
        let (home, number) = text.rsplit_once('.').ok_or(ParseError::Malformed)?;
        let home = Shard::parse(home).ok_or(ParseError::Malformed)?;
        let number = u128::from_str_radix(number, 16).map_err(|_| ParseError::Malformed)?;
        Ok(Job { home, number })
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:032x}", self.home, self.number)
    }
}
