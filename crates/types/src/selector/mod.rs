//! Label selectors, in the syntax of Kubernetes.
//!
//! A selector is a list of requirements joined by commas, all of which must
//! hold: `region=east,gpu!=none,tier in (gold,silver),disk notin (hdd),!spot,ssd`.
//! The empty selector matches everything. `!=` and `notin` also match if the
//! label is absent, as in Kubernetes.

mod requirement;

use std::fmt;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

pub use requirement::Requirement;

use crate::label;

/// Length of the longest accepted selector, in bytes.
pub const MAX_BYTES: usize = 1024;

/// A list of requirements that must all hold.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Selector(Vec<Requirement>);

/// Why a text is not a selector.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// selector is longer than 1024 bytes
    TooLong,
    /// selector has an empty requirement at byte {0}
    Empty(usize),
    /// selector has a bad label name or value `{0}`
    InvalidWord(String),
    /// selector lacks a list in parentheses after `{0}`
    MissingList(String),
}

impl std::error::Error for Error {}

impl Selector {
    /// Parses a selector. Its displayed form is accepted too.
    ///
    /// # Errors
    ///
    /// Names the first invalid requirement.
    pub fn parse(text: &str) -> Result<Selector, Error> {
        if text.len() > MAX_BYTES {
            return Err(Error::TooLong);
        }
        if text.trim().is_empty() {
            return Ok(Selector::default());
        }
        let mut requirements = Vec::new();
        let mut offset = 0;
        for part in split_outside_parentheses(text) {
            if part.trim().is_empty() {
                return Err(Error::Empty(offset));
            }
            requirements.push(Requirement::parse(part.trim())?);
            offset += part.len() + 1;
        }
        Ok(Selector(requirements))
    }

    /// Returns whether every requirement holds for `labels`.
    pub fn matches(&self, labels: &label::Set) -> bool {
        self.0.iter().all(|requirement| requirement.matches(labels))
    }

    /// Returns a selector that matches where both selectors match.
    pub fn and(&self, other: &Selector) -> Selector {
        let mut requirements = self.0.clone();
        for requirement in &other.0 {
            if !requirements.contains(requirement) {
                requirements.push(requirement.clone());
            }
        }
        Selector(requirements)
    }

    /// Returns whether the selector has no requirements and so matches everything.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

fn split_outside_parentheses(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut depth = 0_usize;
    let mut start = 0;
    for (index, c) in text.char_indices() {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            ',' if depth == 0 => {
                parts.push(&text[start..index]);
                start = index + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    parts
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, requirement) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            write!(f, "{requirement}")?;
        }
        Ok(())
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> String {
        selector.to_string()
    }
}

impl TryFrom<String> for Selector {
    type Error = Error;

    fn try_from(text: String) -> Result<Selector, Error> {
        Selector::parse(&text)
    }
}

impl std::str::FromStr for Selector {
    type Err = Error;

    fn from_str(text: &str) -> Result<Selector, Error> {
        Selector::parse(text)
    }
}
