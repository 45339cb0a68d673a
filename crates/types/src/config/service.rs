use serde::{Deserialize, Serialize};

use crate::resources::Resources;
use crate::selector::Selector;

/// An interactive service that workers answer for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Size that each request takes while it runs.
    pub size: Resources,
    /// Hosts that answer for the service.
    #[serde(default)]
    pub selector: Selector,
    /// Time a request may take from arrival to the end of its answer, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

const fn default_timeout_ms() -> u64 {
    10_000
}
