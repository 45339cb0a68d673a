use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamore_core::worker;
use sycamore_types::id;

/// Header that carries the identity and the note of an interactive request.
pub const LAUNCH_HEADER: &str = "x-launch";

/// Body of a poll.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Poll {
    /// Renew the leases of all tasks by this much. Zero renews none.
    pub lease: Duration,
    /// Time for which the worker may wait for something to change.
    pub wait: Duration,
    /// Finished tasks that the owner has on record.
    pub forget: Vec<id::Task>,
}

/// Body of a stop.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Attempt to stop.
    pub task: id::Task,
    /// How to stop it.
    pub how: worker::StopMode,
}
