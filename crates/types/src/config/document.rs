//! The root of the configuration, its TOML form, and its consistency checks.
//!
//! A document that names an undefined team is rejected as a whole, so a process
//! never runs with a partly valid configuration.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Error, Key, Queue, Service, Team, key};
use crate::{Name, label};

/// All settings that operators change while the cluster runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Number of shards that the racks of each failure domain are divided into.
    pub shards_per_domain: u16,
    /// Teams by name.
    pub teams: BTreeMap<Name, Team>,
    /// Queues by name.
    pub queues: BTreeMap<Name, Queue>,
    /// Interactive services by name.
    pub services: BTreeMap<Name, Service>,
    /// API keys by public name.
    pub keys: BTreeMap<Name, Key>,
    /// Labels by host name. They override the labels in the platform's host list.
    pub labels: BTreeMap<Name, label::Set>,
    /// Names of hosts that receive no new work.
    pub drained: BTreeSet<Name>,
}

impl Default for Document {
    fn default() -> Document {
        Document {
            shards_per_domain: 2,
            teams: BTreeMap::new(),
            queues: BTreeMap::new(),
            services: BTreeMap::new(),
            keys: BTreeMap::new(),
            labels: BTreeMap::new(),
            drained: BTreeSet::new(),
        }
    }
}

impl Document {
    /// Parses a document in TOML and checks it.
    ///
    /// # Errors
    ///
    /// Names the line with the syntax error, or the first invalid field.
    pub fn parse(text: &str) -> Result<Document, Error> {
        let document: Document = toml::from_str(text).map_err(|error| Error::Syntax {
            line: line_number(text, error.span().map_or(0, |span| span.start)),
            message: error.message().to_string(),
        })?;
        document.check()?;
        Ok(document)
    }

    /// Formats the document as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string_pretty(self).unwrap_or_default()
    }

    /// Checks that required values are positive and that every named team is defined.
    ///
    /// # Errors
    ///
    /// Names the first invalid field.
    pub fn check(&self) -> Result<(), Error> {
        if self.shards_per_domain == 0 {
            return Err(field_error("shards_per_domain", "must be at least 1"));
        }
        for (name, team) in &self.teams {
            if team.weight == 0 {
                return Err(field_error(&format!("teams.{name}.weight"), "must be at least 1"));
            }
        }
        for (name, queue) in &self.queues {
            self.check_team(&format!("queues.{name}.team"), &queue.team)?;
        }
        for (name, key) in &self.keys {
            self.check_team(&format!("keys.{name}.team"), &key.team)?;
        }
        for (name, service) in &self.services {
            if service.size.slots == 0 {
                return Err(field_error(
                    &format!("services.{name}.size.slots"),
                    "must be at least 1",
                ));
            }
        }
        Ok(())
    }

    fn check_team(&self, path: &str, team: &str) -> Result<(), Error> {
        if self.teams.contains_key(team) {
            return Ok(());
        }
        Err(field_error(path, &format!("team `{team}` is not defined")))
    }

    /// Returns the team whose API key has this secret.
    ///
    /// Compares all keys, each in constant time, so that the duration reveals
    /// neither which key matched nor how much of a key was right.
    pub fn team_of_secret(&self, secret: &str) -> Option<Name> {
        let hash = key::hash_secret(secret);
        let mut found = None;
        for key in self.keys.values() {
            if key.matches(&hash) {
                found = Some(key.team.clone());
            }
        }
        found
    }
}

fn field_error(path: &str, message: &str) -> Error {
    Error::Field { field: path.to_string(), message: message.to_string() }
}

fn line_number(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}
