//! Identifiers of shards. One scheduler process at a time owns a shard and schedules
//! the work on its hosts.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Identifies a set of whole racks in one failure domain that has one owner at a time.
///
/// Displayed as `domain-index`, which is also the name of the shard in the store.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Shard {
    /// Failure domain in which all racks of the shard lie.
    pub domain: Name,
    /// Index within the failure domain.
    pub index: u16,
}

impl Shard {
    /// Combines a failure domain and an index into an identifier.
    pub fn new(domain: &str, index: u16) -> Shard {
        Shard { domain: Name::from(domain), index }
    }

    /// Parses the displayed form. Returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Shard> {
        let (domain, index) = text.rsplit_once('-')?;
        if domain.is_empty() {
            return None;
        }
        Some(Shard::new(domain, index.parse().ok()?))
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.domain, self.index)
    }
}

impl From<Shard> for String {
    fn from(shard: Shard) -> String {
        shard.to_string()
    }
}

impl TryFrom<String> for Shard {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Shard, &'static str> {
        Shard::parse(&text).ok_or("a shard is written as DOMAIN-INDEX")
    }
}
