use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamore_types::resources::Resources;
use sycamore_types::selector::Selector;
use sycamore_types::{Name, id};

/// Hash of a team's name and its idempotency key.
pub type KeyHash = u128;

/// An interactive request that waits for a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Identifier of the request from the caller's door to the worker and back.
    pub id: id::Job,
    /// Team that the request counts for.
    pub team: Name,
    /// Service that is asked.
    pub service: Name,
    /// Capacity that the request takes while it runs.
    pub size: Resources,
    /// Hosts that may answer.
    pub selector: Selector,
    /// Idempotency key, if the caller gave one.
    pub key: Option<KeyHash>,
    /// Time left for the request to start.
    #[serde(rename = "patience")]
    pub start_timeout: Duration,
}
