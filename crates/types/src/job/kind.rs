use serde::{Deserialize, Serialize};

/// How the tasks of a job relate to one another.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Independent tasks that each run to their end.
    #[default]
    Batch,
    /// Tasks of which all run at once, or none.
    Gang,
    /// Instances that are kept running until the job is cancelled.
    Service,
}
