//! Results of calls to workers.
//!
//! A worker keeps reporting a finished task until it is told to forget it, so that its result
//! survives a lost reply or a change of owner.

use serde::{Deserialize, Serialize};
use sycamore_types::id;
use sycamore_types::resources::Resources;

use super::Tag;

/// A task that a worker runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunningTask {
    /// Attempt that runs.
    pub task: id::Task,
    /// Metadata of the owner that started it.
    pub tag: Tag,
    /// Latest measured usage of the task, which lags behind its actual usage.
    pub used: Resources,
}

/// A task that has ended and that the worker has not been told to forget.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FinishedTask {
    /// Attempt that ended.
    pub task: id::Task,
    /// Whether the task ended by itself and reported success.
    pub is_success: bool,
    /// Whether the task was stopped by an owner or by the end of its lease.
    pub is_stopped: bool,
}

/// Reply of a worker to a poll.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Tasks that run.
    pub running: Vec<RunningTask>,
    /// Tasks that have ended and that the worker has not been told to forget.
    pub finished: Vec<FinishedTask>,
}

/// The result of a call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The worker has carried out the call.
    Done,
    /// Reply to a poll.
    Report(Report),
    /// The call was certainly not carried out.
    NotSent,
    /// The call may have been carried out.
    Unknown,
}
