//! A single requirement of a selector: its syntax and its evaluation.
//!
//! `=` and `!=` are stored as `in` and `notin` with one value and displayed that way.

use std::fmt;

use super::Error;
use crate::{Name, label};

/// A condition on one label.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Requirement {
    /// The label is present.
    Exists(Name),
    /// The label is absent.
    Absent(Name),
    /// The label is present and has one of the values.
    In(Name, Vec<Name>),
    /// The label is absent or has none of the values.
    NotIn(Name, Vec<Name>),
}

impl Requirement {
    pub(super) fn parse(text: &str) -> Result<Requirement, Error> {
        if let Some((key, value)) = text.split_once("!=") {
            return Ok(Requirement::NotIn(parse_word(key)?, vec![parse_word(value)?]));
        }
        if let Some((key, value)) = text.split_once("==").or_else(|| text.split_once('=')) {
            return Ok(Requirement::In(parse_word(key)?, vec![parse_word(value)?]));
        }
        if let Some(key) = text.strip_prefix('!') {
            return Ok(Requirement::Absent(parse_word(key)?));
        }
        match text.split_once(char::is_whitespace) {
            None => Ok(Requirement::Exists(parse_word(text)?)),
            Some((key, rest)) => Requirement::parse_list(key, rest.trim()),
        }
    }

    fn parse_list(key: &str, rest: &str) -> Result<Requirement, Error> {
        let key = parse_word(key)?;
        if let Some(list) = rest.strip_prefix("notin") {
            return Ok(Requirement::NotIn(key, parse_values(list)?));
        }
        if let Some(list) = rest.strip_prefix("in") {
            return Ok(Requirement::In(key, parse_values(list)?));
        }
        Err(Error::InvalidWord(rest.to_string()))
    }

    pub(super) fn matches(&self, labels: &label::Set) -> bool {
        match self {
            Requirement::Exists(key) => labels.get(key).is_some(),
            Requirement::Absent(key) => labels.get(key).is_none(),
            Requirement::In(key, values) => has_any(labels, key, values),
            Requirement::NotIn(key, values) => !has_any(labels, key, values),
        }
    }
}

fn has_any(labels: &label::Set, key: &str, values: &[Name]) -> bool {
    labels.get(key).is_some_and(|value| values.iter().any(|wanted| **wanted == *value))
}

fn parse_values(text: &str) -> Result<Vec<Name>, Error> {
    let inner = text
        .trim()
        .strip_prefix('(')
        .and_then(|text| text.strip_suffix(')'))
        .ok_or_else(|| Error::MissingList(text.to_string()))?;
    inner.split(',').map(parse_word).collect()
}

fn parse_word(text: &str) -> Result<Name, Error> {
    let text = text.trim();
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    if text.is_empty() || !text.chars().all(is_plain) {
        return Err(Error::InvalidWord(text.to_string()));
    }
    Ok(Name::from(text))
}

impl fmt::Display for Requirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Requirement::Exists(key) => write!(f, "{key}"),
            Requirement::Absent(key) => write!(f, "!{key}"),
            Requirement::In(key, values) => write!(f, "{key} in ({})", values.join(",")),
            Requirement::NotIn(key, values) => write!(f, "{key} notin ({})", values.join(",")),
        }
    }
}
