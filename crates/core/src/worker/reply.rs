use serde::{Deserialize, Serialize};
use sycamore_types::id;
use sycamore_types::resources::Resources;

use super::Tag;

/// One task that a worker runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunningTask {
    /// Attempt that runs.
    pub task: id::Task,
    /// Note of the owner that started it.
    pub tag: Tag,
    /// What the task was last seen to use; lags behind.
    pub used: Resources,
}

/// One task that has ended and that the worker still remembers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FinishedTask {
    /// Attempt that ended.
    pub task: id::Task,
    /// The task ended by itself and reported success.
    pub is_success: bool,
    /// The task was stopped by an owner or by the end of its lease.
    pub is_stopped: bool,
}

/// What a worker runs and what has ended on it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Tasks that run.
    pub running: Vec<RunningTask>,
    /// Tasks that have ended and were not yet forgotten.
    pub finished: Vec<FinishedTask>,
}

/// What came of a call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The worker did what it was told.
    Done,
    /// Answer to a poll.
    Report(Report),
    /// The call was certainly not carried out.
    NotSent,
    /// The call may have been carried out.
    Unknown,
}
