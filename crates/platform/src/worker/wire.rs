//! Wire formats of the calls to workers, shared by the client and the simulated workers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamore_core::worker;
use sycamore_types::id;

/// Header of a forwarded request that carries its [`Launch`](worker::Launch) as JSON.
pub const LAUNCH_HEADER: &str = "x-launch";

/// Body of a poll, which lists the tasks of a worker and renews their leases.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Poll {
    /// Time from now for which the leases of all tasks are renewed. Zero renews none.
    pub lease: Duration,
    /// Longest time for which the worker may delay its response until something changes.
    pub wait: Duration,
    /// Finished tasks whose ends are durable, so that the worker need not report them again.
    pub forget: Vec<id::Task>,
}

/// Body of a call that stops a task.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Attempt that the worker stops.
    pub task: id::Task,
    /// How to stop it.
    pub how: worker::StopMode,
}
