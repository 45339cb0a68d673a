//! Names of jobs.
//!
//! The caller chooses the name, so that a repeated submission is recognised as the same job.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Length of a job name, in hexadecimal digits.
const DIGITS: usize = 16;

/// Name of a job, chosen by its caller and written as 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Id(pub u64);

/// a job name has 16 lower-case hexadecimal digits
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct ParseError;

impl std::error::Error for ParseError {}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Id {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Id, ParseError> {
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != DIGITS || !text.bytes().all(is_digit) {
            return Err(ParseError);
        }
        u64::from_str_radix(text, 16).map(Id).map_err(|_| ParseError)
    }
}
