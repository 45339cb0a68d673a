//! The status of a job, computed from the state of its tasks when a caller queries it.

use serde::{Deserialize, Serialize};
use sycamore_types::{Name, id};

/// The state of a job, summed up over its tasks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// No task is running, and the job has not ended.
    Waiting,
    /// At least one task is running.
    Running,
    /// Every task succeeded.
    Done,
    /// The job has ended, and at least one task failed permanently.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// The status of a job, as callers see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The job.
    pub id: id::Job,
    /// Team that the job is charged to.
    pub team: Name,
    /// The state of the job.
    pub progress: Progress,
    /// Number of tasks that wait.
    pub waiting: u32,
    /// Number of tasks that run.
    pub running: u32,
    /// Number of tasks that succeeded.
    pub done: u32,
    /// Number of tasks that failed permanently.
    pub failed: u32,
    /// Why the job waits, as a sentence for people. Empty when no task waits.
    pub explanation: String,
}
