//! Edits of a configuration document by single commands.
//!
//! They change a copy in memory. Whether the whole document is still valid is checked before it
//! is written.

use rand::Rng;
use sycamore_types::Name;
use sycamore_types::config::{Document, Key, Queue};
use sycamore_types::selector::Selector;

use crate::Error;

/// Length of a key's secret before hexadecimal encoding, in bytes.
const SECRET_BYTES: usize = 32;

/// Sets fields of a team from `KEY=VALUE` arguments, and adds the team if it is not defined.
pub(crate) fn set_team(
    document: &mut Document,
    name: &str,
    fields: &[String],
) -> Result<(), Error> {
    let team = document.teams.entry(Name::from(name)).or_default();
    for field in fields {
        let (key, value) = split(field)?;
        match key {
            "weight" => team.weight = parse(key, value)?,
            "limit" => team.limit = parse(key, value)?,
            "urgent" => team.urgent = parse(key, value)?,
            _ => return Err(Error::Usage(format!("a team has no field `{key}`"))),
        }
    }
    Ok(())
}

/// Sets fields of a queue from `KEY=VALUE` arguments, and adds the queue if it is not defined.
pub(crate) fn set_queue(
    document: &mut Document,
    name: &str,
    fields: &[String],
) -> Result<(), Error> {
    let mut queue = document.queues.get(name).cloned().unwrap_or(Queue {
        team: Name::from(""),
        is_open: false,
        selector: Selector::default(),
    });
    for field in fields {
        let (key, value) = split(field)?;
        match key {
            "team" => queue.team = Name::from(value),
            "open" => queue.is_open = parse(key, value)?,
            "selector" => queue.selector = parse(key, value)?,
            _ => return Err(Error::Usage(format!("a queue has no field `{key}`"))),
        }
    }
    document.queues.insert(Name::from(name), queue);
    Ok(())
}

/// Sets labels of a host from `KEY=VALUE` arguments, which override the labels in the platform's
/// host list. An argument `KEY-` removes an override.
pub(crate) fn set_labels(
    document: &mut Document,
    host: &str,
    changes: &[String],
) -> Result<(), Error> {
    let labels = document.labels.entry(Name::from(host)).or_default();
    for change in changes {
        match change.strip_suffix('-') {
            Some(key) if !change.contains('=') => {
                labels.0.remove(key);
            }
            _ => {
                let (key, value) = split(change)?;
                labels.insert(key, value);
            }
        }
    }
    if labels.0.is_empty() {
        document.labels.remove(host);
    }
    Ok(())
}

/// Adds a key and returns its secret. The configuration holds only its hash, so the secret can't
/// be read again.
pub(crate) fn create_key(document: &mut Document, name: &str, team: &str) -> Result<String, Error> {
    if document.keys.contains_key(name) {
        return Err(Error::Refused(format!("a key named `{name}` already exists")));
    }
    let secret = hex::encode(rand::rng().random::<[u8; SECRET_BYTES]>());
    document.keys.insert(Name::from(name), Key::from_secret(team, &secret));
    Ok(secret)
}

/// Removes a key, so that calls with its secret are refused.
pub(crate) fn withdraw_key(document: &mut Document, name: &str) -> Result<(), Error> {
    match document.keys.remove(name) {
        Some(_) => Ok(()),
        None => Err(Error::Refused(format!("no key is named `{name}`"))),
    }
}

/// Splits a `KEY=VALUE` argument.
fn split(field: &str) -> Result<(&str, &str), Error> {
    field
        .split_once('=')
        .ok_or_else(|| Error::Usage(format!("`{field}` is not of the form KEY=VALUE")))
}

fn parse<T>(key: &str, value: &str) -> Result<T, Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    value.parse().map_err(|error| Error::Usage(format!("{key}: {error}")))
}

/// Returns the lines of the TOML form that only `before` has, marked with `-`, and then those that
/// only `after` has, marked with `+`.
pub(crate) fn diff(before: &Document, after: &Document) -> Vec<String> {
    let old_lines = lines_with_section(&before.to_toml());
    let new_lines = lines_with_section(&after.to_toml());
    let mut lines: Vec<String> = old_lines
        .iter()
        .filter(|line| !new_lines.contains(line))
        .map(|line| format!("- {line}"))
        .collect();
    let added = new_lines.iter().filter(|line| !old_lines.contains(line));
    lines.extend(added.map(|line| format!("+ {line}")));
    lines
}

/// Prefixes each line with the header of its TOML section, so that equal lines of different
/// sections differ.
fn lines_with_section(text: &str) -> Vec<String> {
    let mut section = "";
    let mut lines = Vec::new();
    for line in text.lines().filter(|line| !line.is_empty()) {
        if line.starts_with('[') {
            section = line;
        } else {
            lines.push(format!("{section} {line}").trim().to_string());
        }
    }
    lines
}
