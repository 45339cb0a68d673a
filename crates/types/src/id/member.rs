//! Identifiers of the processes that form the cluster's control plane.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Identifies one process from its start to its end.
///
/// A restarted process is a new member, because it no longer knows the promises
/// that it gave to other members before the restart.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name of the process from its settings, unique in the deployment.
    pub name: Name,
    /// Random number that distinguishes this run of the process from earlier ones.
    pub incarnation: u64,
}

impl Member {
    /// Combines a process name and an incarnation into an identifier.
    pub fn new(name: &str, incarnation: u64) -> Member {
        Member { name: Name::from(name), incarnation }
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.name, self.incarnation)
    }
}
