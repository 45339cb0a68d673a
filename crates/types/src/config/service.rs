//! Interactive services, whose requests are forwarded to workers.

use serde::{Deserialize, Serialize};

use crate::resources::Resources;
use crate::selector::Selector;

/// An interactive service that runs on workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Resources that each request occupies while it runs.
    pub size: Resources,
    /// Hosts that serve the requests.
    #[serde(default)]
    pub selector: Selector,
    /// Time limit of a request, in milliseconds: from its arrival to the head of its response, and
    /// again for the body.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

const fn default_timeout_ms() -> u64 {
    10_000
}
