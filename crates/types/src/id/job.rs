//! Identifiers of jobs and interactive requests.

use std::fmt;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::Shard;

/// Identifies a job or an interactive request by its home shard and a random number.
///
/// Displayed as `SHARD.HEX`, so that any entry process can find the shard that
/// holds the job from the identifier alone.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Shard that schedules the job and stores its state.
    pub home: Shard,
    /// Random number that distinguishes the job from others in the shard.
    pub number: u128,
}

/// Why a text is not the identifier of a job or a task attempt.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ParseError {
    /// a job identifier is written as SHARD.HEX
    Malformed,
}

impl std::error::Error for ParseError {}

impl Job {
    /// Combines a shard and a random number into an identifier.
    pub fn new(home: Shard, number: u128) -> Job {
        Job { home, number }
    }

    /// Parses the displayed form.
    ///
    /// # Errors
    ///
    /// Returns an error if the text does not have the form `SHARD.HEX`.
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
