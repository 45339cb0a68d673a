use serde::{Deserialize, Serialize};
use sycamore_types::{Name, id};

/// How far a job has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// No task runs.
    Waiting,
    /// Some task runs.
    Running,
    /// Every task ended well.
    Done,
    /// Some task failed for good.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// What is known of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The job.
    pub id: id::Job,
    /// Team that the job counts for.
    pub team: Name,
    /// How far it has come.
    pub progress: Progress,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that ended well.
    pub done: u32,
    /// Tasks that failed for good.
    pub failed: u32,
    /// Why the job waits, in plain words. Empty when it does not.
    pub explanation: String,
}
