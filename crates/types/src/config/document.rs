use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Error, Key, Queue, Service, Team, key};
use crate::{Name, label};

/// Everything that operators steer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Shards that the racks of each failure domain are divided into.
    pub shards_per_domain: u16,
    /// Teams by name.
    pub teams: BTreeMap<Name, Team>,
    /// Queues by name.
    pub queues: BTreeMap<Name, Queue>,
    /// Interactive services by name.
    pub services: BTreeMap<Name, Service>,
    /// Keys by their public name.
    pub keys: BTreeMap<Name, Key>,
    /// Labels laid over those that the platform lists, by host.
    pub labels: BTreeMap<Name, label::Set>,
    /// Hosts that get no new work.
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
    /// Reads and checks a document in TOML.
    ///
    /// # Errors
    ///
    /// Names the line, or the field, that can't be used.
    pub fn parse(text: &str) -> Result<Document, Error> {
        let document: Document = toml::from_str(text).map_err(|error| Error::Syntax {
            line: line_of(text, error.span().map_or(0, |span| span.start)),
            message: error.message().to_string(),
        })?;
        document.check()?;
        Ok(document)
    }

    /// Writes the document in TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string_pretty(self).unwrap_or_default()
    }

    /// Checks that the parts of the document agree.
    ///
    /// # Errors
    ///
    /// Names the first field that can't be used.
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

    /// Returns the team that a secret speaks for.
    ///
    /// All keys are compared, each in constant time, so that the time taken
    /// says nothing about which key was close.
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

fn line_of(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}
