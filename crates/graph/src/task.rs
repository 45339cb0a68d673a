//! Keys of steps and tasks.
//!
//! They do not contain the attempt, so that all attempts of a task share one key.

use serde::{Deserialize, Serialize};

use crate::job;

/// Identifies a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: job::Id,
    /// Occurrence of the job, from 0. Always 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step in the job's list of steps.
    pub index: u16,
}

/// Identifies a task of a step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Index of the task in its step.
    pub index: u32,
}
