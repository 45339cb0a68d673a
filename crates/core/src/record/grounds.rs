//! The values behind a decision to start a task of a job that is a graph of steps.
//!
//! They are recorded with the decision, so that an audit can explain it without the state of
//! the scheduler at that time.

use serde::{Deserialize, Serialize};

/// The values that a decision to start a task was based on, for a job that is a graph of
/// steps.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grounds {
    /// Rank of the step among all that waited, counted from 1.
    pub place: u32,
    /// Number of steps that waited.
    pub waiting: u32,
    /// Priority class of the queue.
    pub priority: u32,
    /// Time for which the step could still wait without the job missing its objective, in
    /// milliseconds. Negative for a late job.
    pub slack_ms: i64,
    /// Time since the job was due, in milliseconds.
    pub waited_ms: u64,
    /// Dominant share of the team before the decision.
    pub share: f64,
    /// Whether the team was over its weighted share.
    pub is_over_share: bool,
    /// Whether the job was so late that its completion had no value any more.
    pub is_hopeless: bool,
    /// CPU that was free on the worker, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// Age of the worker's last report, in milliseconds.
    pub report_age_ms: u64,
    /// Time until the advice ticket expires, in milliseconds, where the queue needs one.
    pub ticket_left_ms: Option<u64>,
    /// What the team was entitled to as a part of what it had used in the past, from 0.5 to 1. Absent
    /// where past use plays no part, and in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage_factor: Option<f64>,
    /// Time for which the step had waited for its turn to ask which workers may run it, or a gang for room, in
    /// milliseconds. Absent where its rank decided its place, and in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub turn_wait_ms: Option<u64>,
}
