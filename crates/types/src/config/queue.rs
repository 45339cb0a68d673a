use serde::{Deserialize, Serialize};

use crate::Name;
use crate::selector::Selector;

/// A queue for work of one team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Team that the work counts for.
    pub team: Name,
    /// Anyone may hand in work, without a key.
    #[serde(default)]
    pub is_open: bool,
    /// Hosts that work of the queue may use, besides the work's own selector.
    #[serde(default)]
    pub selector: Selector,
}
