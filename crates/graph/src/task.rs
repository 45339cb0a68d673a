use serde::{Deserialize, Serialize};

use crate::job;

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: job::Id,
    /// Occurrence, from 0. Always 0 for a job without a schedule.
    pub occurrence: u32,
    /// Place of the step in the job, from 0.
    pub index: u16,
}

/// One task of a step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Place of the task in its step, from 0.
    pub index: u32,
}
