//! Queues, which assign submitted work to a team and restrict its hosts.

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::selector::Selector;

/// A queue for the work of one team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Team whose share and limit the work counts against.
    pub team: Name,
    /// Whether work may be submitted without an API key.
    #[serde(default)]
    pub is_open: bool,
    /// Hosts that the queue may use. A host must also match the selector of the work.
    #[serde(default)]
    pub selector: Selector,
}
