//! Entries of the log, from which a successor rebuilds the state of the previous owner.
//!
//! The encoding stores no names: the order of variants and fields is part of the format.

use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use crate::catalog::Queue;
use crate::host::RunEnd;
use crate::job::{Id, Spec, State};
use crate::{StepId, TaskId};

/// One entry of the log, from which a successor rebuilds the owner's state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// A job was accepted.
    Accepted {
        /// Name of the job.
        job: Id,
        /// Queue of the job.
        queue: Name,
        /// Team that owns the job.
        team: Name,
        /// Time of acceptance, in milliseconds since 1970.
        at_unix_ms: u64,
        /// Specification of the job.
        spec: Spec,
    },
    /// A run ended.
    Ended(Ended),
    /// A job reached its final state.
    Closed(Closed),
    /// A host may have runs of this owner from now on.
    HostUsed {
        /// Name of the host.
        host: Name,
        /// Capacity of the host. A successor counts all of it as used until the host
        /// reports to it or loses its lease.
        capacity: Resources,
    },
    /// A host gets no new tasks and may have only these runs from now on.
    HostLeaving {
        /// Name of the host.
        host: Name,
        /// Tasks and attempt numbers of the runs.
        runs: Vec<(TaskId, u32)>,
    },
    /// A host has no runs any more.
    HostReleased {
        /// Name of the host.
        host: Name,
    },
    /// State of a job that is not closed. Replaces all earlier records of the job.
    #[serde(rename = "Image")]
    Snapshot(Snapshot),
    /// Use of the teams in the past. Replaces all earlier records of it.
    TeamUse(TeamUse),
    /// The definition of a queue that has jobs. Replaces earlier ones up to its version. Not part of
    /// an encoded page, since older builds can't read one with it.
    QueueDefined(QueueDefined),
}

/// The definition of a queue in a version of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueueDefined {
    /// Name of the queue.
    pub name: Name,
    /// Version of the configuration.
    pub version: u64,
    /// The definition.
    pub queue: Queue,
}

/// Decayed use of the teams at one time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamUse {
    /// Time, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// Use of each team, in seconds of the whole capacity.
    pub teams: Vec<(Name, f64)>,
}

/// The end of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ended {
    /// Task of the run.
    pub task: TaskId,
    /// Attempt number of the run.
    pub attempt: u32,
    /// How the run ended.
    pub how: RunEnd,
    /// Checkpoint that the run saved. Empty for none.
    pub checkpoint: Name,
}

/// The final state of a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Closed {
    /// Name of the job.
    pub job: Id,
    /// Queue of the job.
    pub queue: Name,
    /// Team that owns the job.
    pub team: Name,
    /// The final state.
    pub state: State,
    /// Time at which the final state was decided, in milliseconds since 1970.
    pub at_unix_ms: u64,
}

/// A task in a snapshot: step, index of the task, whether it is done, failed attempts, last attempt,
/// checkpoint (empty for none).
pub type TaskRow = (StepId, u32, bool, Vec<u32>, u32, Name);

/// What a successor needs to continue a job that is not closed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Name of the job.
    pub job: Id,
    /// Queue of the job.
    pub queue: Name,
    /// Team that owns the job.
    pub team: Name,
    /// Time of acceptance, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// Specification of the job.
    pub spec: Spec,
    /// A task of the job has started.
    pub has_started: bool,
    /// Tasks that have been started, failed or done.
    pub tasks: Vec<TaskRow>,
}
