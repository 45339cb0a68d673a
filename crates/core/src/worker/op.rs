use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamore_types::id;

use super::Tag;

/// Everything a worker needs to run one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Launch {
    /// Attempt to run.
    pub task: id::Task,
    /// Note of the owner, given back when the worker is listed.
    pub tag: Tag,
    /// The worker stops the task when the lease is not renewed for this long.
    pub lease: Duration,
    /// Declared run time in milliseconds.
    pub run_ms: u64,
    /// Given to the task.
    pub payload: String,
}

/// How a task is to be stopped.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// Stop now.
    Kill,
    /// Save the task's progress, then stop.
    Checkpoint,
}

/// A call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Starts a task, unless the owner's clock has passed `not_after`.
    Start {
        /// What to run.
        launch: Launch,
        /// Monotonic time of this process after which the call must not be sent.
        not_after: Duration,
    },
    /// Lists what the worker runs, renews leases and forgets finished tasks.
    Poll {
        /// Renew the leases of all tasks by this much. Zero renews none.
        lease: Duration,
        /// Time for which the worker may wait for something to change.
        wait: Duration,
        /// Finished tasks that the owner has on record.
        forget: Vec<id::Task>,
    },
    /// Stops a task.
    Stop {
        /// Attempt to stop.
        task: id::Task,
        /// How to stop it.
        how: StopMode,
    },
}
