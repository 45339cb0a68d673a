//! Shares, limits and permissions of teams.

use serde::{Deserialize, Serialize};

/// The share of the fleet and the permissions that a team is granted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// Weight of the team's share relative to other teams when the fleet is fully used.
    pub weight: u32,
    /// Largest number of tasks and requests that the team runs at once across the fleet.
    pub limit: u32,
    /// Whether the team may submit urgent jobs.
    pub urgent: bool,
}

impl Default for Team {
    fn default() -> Team {
        Team { weight: 1, limit: 100, urgent: false }
    }
}
