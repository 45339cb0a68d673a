use serde::{Deserialize, Serialize};

/// What decided that a task of a graph was started at this moment on this worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grounds {
    /// Place of the step among all that waited, from 1.
    pub place: u32,
    /// Steps that waited.
    pub waiting: u32,
    /// Priority class of the queue.
    pub priority: u32,
    /// Time left until the job must go on to meet its objective, in milliseconds.
    pub slack_ms: i64,
    /// Time since the job was due, in milliseconds.
    pub waited_ms: u64,
    /// Dominant share of the team before the decision.
    pub share: f64,
    /// The team was over its weighted share.
    pub is_over_share: bool,
    /// The job can't earn anything any more.
    pub is_hopeless: bool,
    /// Processor time that was free on the worker, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// Age of the worker's last report, in milliseconds.
    pub report_age_ms: u64,
    /// Rest of the advice ticket's life, in milliseconds, where one was needed.
    pub ticket_left_ms: Option<u64>,
}
