//! The scheduling constraints among the tasks of a job.

use serde::{Deserialize, Serialize};

/// How the tasks of a job are scheduled in relation to one another.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Independent tasks that each run to completion.
    #[default]
    Batch,
    /// Tasks that run all at the same time or not at all.
    Gang,
    /// Instances that run until the job is cancelled. An instance that ends is started again.
    Service,
}
