//! State of a job as callers see it.
//!
//! A final state is reported only once its record is durable, and never changes after that.

use serde::{Deserialize, Serialize};

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Complete,
    /// A task has used up its attempts.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl State {
    /// Returns whether the state is final.
    pub fn is_terminal(self) -> bool {
        matches!(self, State::Complete | State::Failed | State::Cancelled)
    }
}
