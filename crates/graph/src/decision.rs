use sycamore_types::Name;

use crate::host::RunEnd;
use crate::job::{self, State};
use crate::{Rank, TaskId};

/// Something that was decided, for the record.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Team that it counts for.
    pub team: Name,
    /// Version of the configuration in force.
    pub config: u64,
    /// What was decided.
    pub verdict: Verdict,
}

/// What was decided.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// A job was accepted.
    Accepted(job::Id),
    /// A task was started.
    Placed {
        /// The task.
        task: TaskId,
        /// Number of the start.
        attempt: u32,
        /// The worker.
        host: Name,
        /// What decided.
        grounds: Grounds,
    },
    /// A run ended.
    Ended {
        /// The task.
        task: TaskId,
        /// Number of the start.
        attempt: u32,
        /// The worker.
        host: Name,
        /// How it ended.
        how: RunEnd,
    },
    /// A job has its last state.
    Closed(job::Id, State),
}

/// What decided that a task was started at this moment on this worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grounds {
    /// Rank of the step.
    pub rank: Rank,
    /// Place among all steps that waited, from 1.
    pub place: u32,
    /// Steps that waited.
    pub waiting: u32,
    /// Time since the job was due, in milliseconds.
    pub waited_ms: u64,
    /// Dominant share of the team before the decision.
    pub share: f64,
    /// Processor time that was free on the worker, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// Age of the worker's last report, in milliseconds.
    pub report_age_ms: u64,
    /// Rest of the advice ticket's life, in milliseconds, where one was needed.
    pub ticket_left_ms: Option<u64>,
}
