//! Interactive requests.
//!
//! A request is not written to the log, so that it costs no store write; only its idempotency
//! key is, if it has one.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamore_types::resources::Resources;
use sycamore_types::selector::Selector;
use sycamore_types::{Name, id};

/// Hash of a team's name and an idempotency key of that team.
pub type KeyHash = u128;

/// An interactive request that waits for a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Identifier that the entry process gave to the request. The worker sees the same one.
    pub id: id::Job,
    /// Team that the request is charged to.
    pub team: Name,
    /// Service that the request is for.
    pub service: Name,
    /// Capacity that the request takes while it runs.
    pub size: Resources,
    /// Hosts that may run the request.
    pub selector: Selector,
    /// Idempotency key, if the caller gave one.
    pub key: Option<KeyHash>,
    /// Time within which the request must start. After that it fails.
    #[serde(rename = "patience")]
    pub start_timeout: Duration,
}
