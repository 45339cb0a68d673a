//! Calls to workers.
//!
//! A start has a time limit and a lease: the limit keeps a delayed start from being sent after
//! another owner may have taken over, and the lease stops a task that no owner renews.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamore_types::id;

use super::Tag;

/// Everything a worker needs to run one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Launch {
    /// Attempt that the worker runs.
    pub task: id::Task,
    /// Metadata of the owner, returned with every poll of the worker.
    pub tag: Tag,
    /// The worker stops the task if the lease is not renewed for this long.
    pub lease: Duration,
    /// Declared run time in milliseconds.
    pub run_ms: u64,
    /// Input of the task.
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
    /// Starts a task.
    Start {
        /// What to run.
        launch: Launch,
        /// Monotonic time of this process after which the call must not be sent.
        not_after: Duration,
    },
    /// Lists what the worker runs, renews leases and forgets finished tasks.
    Poll {
        /// Time from now for which all leases are renewed. Zero renews none.
        lease: Duration,
        /// Longest time for which the worker may delay its reply until something changes.
        wait: Duration,
        /// Finished tasks whose ends are durable, so that the worker need not report them again.
        forget: Vec<id::Task>,
    },
    /// Stops a task.
    Stop {
        /// Attempt that the worker stops.
        task: id::Task,
        /// How to stop it.
        how: StopMode,
    },
}
