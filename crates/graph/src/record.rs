use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use crate::host::RunEnd;
use crate::job::{Id, Spec, State};
use crate::{StepId, TaskId};

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// A job was accepted.
    Accepted {
        /// Name of the job.
        job: Id,
        /// Its queue.
        queue: Name,
        /// Its team.
        team: Name,
        /// Time of acceptance, in milliseconds since 1970.
        at_unix_ms: u64,
        /// What is to be done.
        spec: Spec,
    },
    /// A run ended.
    Ended(Ended),
    /// A job has its last state.
    Closed(Closed),
    /// A worker may hold runs of this owner from now on.
    HostUsed {
        /// Name of the worker.
        host: Name,
        /// What the worker can hold, for the time that a successor can't see it.
        capacity: Resources,
    },
    /// A worker gets no new work; only these runs may be there from now on.
    HostLeaving {
        /// Name of the worker.
        host: Name,
        /// Tasks and numbers of their starts.
        runs: Vec<(TaskId, u32)>,
    },
    /// A worker holds nothing any more.
    HostReleased {
        /// Name of the worker.
        host: Name,
    },
    /// Everything known of a job that is not closed. Replaces earlier records of it.
    #[serde(rename = "Image")]
    Snapshot(Snapshot),
}

/// The end of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ended {
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: u32,
    /// How it ended.
    pub how: RunEnd,
    /// Progress that was saved. Empty for none.
    pub checkpoint: Name,
}

/// The last state of a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Closed {
    /// Name of the job.
    pub job: Id,
    /// Its queue.
    pub queue: Name,
    /// Its team.
    pub team: Name,
    /// The last state.
    pub state: State,
    /// Time of the end, in milliseconds since 1970.
    pub at_unix_ms: u64,
}

/// Everything that must last of a job that is not closed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Name of the job.
    pub job: Id,
    /// Its queue.
    pub queue: Name,
    /// Its team.
    pub team: Name,
    /// Time of acceptance, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// What is to be done.
    pub spec: Spec,
    /// A task has started.
    pub has_started: bool,
    /// Tasks that are not as new: task, done, failed attempts, last attempt, checkpoint.
    pub tasks: Vec<(StepId, u32, bool, Vec<u32>, u32, Name)>,
}
